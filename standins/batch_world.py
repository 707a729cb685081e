"""Simulation of batch instances in virtual time, with faults.

The seed determines the whole run. The simulation checks invariants whenever a
worker carries out a start, and describes what breaks them in `violations`.
"""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import math
import random

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import configuration
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages
from standins import batch_call_faults
from standins import batch_paths
from standins import batch_store
from standins import batch_worker

STORE_DELAY_S = 0.004
CALL_TIMEOUT_S = 0.9
POLL_INTERVAL_S = 0.02
# Range of the time after which a late write is carried out, in seconds.
LATE_WRITE_S = (1.0, 6.0)
# Prefixes whose lists grow with the number of jobs of a deployment. Their
# answers may take longer.
LONG_LISTS = (records.LIVE_PREFIX, records.PROGRESS_PREFIX)
LIMITS = state.Limits(worker_lease_s=6.0, stop_s=0.4, retention_s=120.0)
# Reply to a call in flight at a worker that ends: its host closes the
# connection. Later calls get no answer.
EXITED = worker_messages.NoAnswer("the worker has ended", closed=True)
QUEUE = model.Queue("batch", "host", "/jobs/", "service", 1, 3, 2.0, 1.0)


@attrs.define(eq=False)
class Node:
    """One instance of the system and its faults.

    Attributes:
        name: Name of the instance.
        batch: State of its batch core.
        alive: Whether the process runs.
        store_unreachable: Whether its calls to the store get no answer.
        unreachable_workers: Workers that its calls do not reach.
        paused_until: Time before which it handles no event.
        logs: Log lines, each with the time at which it was written.
    """

    name: str
    batch: state.Batch
    alive: bool = True
    store_unreachable: bool = False
    unreachable_workers: set[str] = attrs.field(factory=set)
    paused_until: float = 0.0
    logs: list[tuple[float, messages.Log]] = attrs.field(factory=list)


PollKey = tuple[str, int, worker_messages.Target, bool]


def identify_poll(node: Node, call: worker_messages.HoldLease) -> PollKey:
    """Returns the key of a poll in flight.

    At most one poll with the same key may be in flight.
    """
    return (node.name, call.token, call.target, call.wait_s > 0)


@attrs.define
class BatchWorld:
    """Instances, workers and the store under one virtual clock.

    Attributes:
        seed: Seed of the random numbers.
        rng: Random numbers of the simulation.
        now: Virtual time, in seconds.
        store: The store.
        nodes: All instances, also those that have ended.
        workers: Current incarnation of each worker, by id.
        listed_workers: The platform's list of workers, by id.
        configuration: The operators' configuration.
        queue: Heap of pending actions, each with its time and a number that
            keeps the order of actions at the same time.
        numbers: Source of unique numbers.
        answers: Answers to callers, by call id.
        jobs: Steps of each submitted job.
        done_tasks: Tasks that a worker has listed as done.
        acknowledged_tasks: Tasks whose end as done was acknowledged.
        started_at: When the last run of each task started.
        violations: Descriptions of broken invariants.
        starts: Number of runs that were started.
        late_start_fraction: Fraction of starts that get no answer and are
            carried out seconds later.
        late_start_s: Range of the time after which a late start is carried out,
            in seconds.
        call_delay_s: Range of the time that a call to a worker takes to arrive,
            in seconds.
        lost_answer_fraction: Fraction of store calls that take effect but get
            no answer.
        late_write_fraction: Fraction of transactions that get no answer and are
            carried out seconds later, if their condition still holds.
        list_delay_s: Range of the time that the answer to a list of job records
            or progress records takes, in seconds.
        worker_list_delay_s: Time that the answer to a read of the list of
            workers takes, in seconds.
        lost_history_fraction: Fraction of watches for which the store has no
            history.
        failure_fraction: Fraction of runs that fail.
        hopeless_jobs: Jobs of which all runs fail.
        unanswered_start_fraction: Fraction of starts that are carried out at
            once but get no answer.
        late_poll_fraction: Fraction of long polls that the worker answers only
            after their whole wait, although a run has ended meanwhile.
        polls_in_flight: Number of polls in flight, by instance, token,
            incarnation of the worker and whether they wait.
        max_polls_in_flight: Largest number of such polls at any time.
        run_duration_s: Range of the durations of runs, in seconds.
        all_replies_name_incarnation: Whether all replies name the incarnation
            of the worker, and not only listings.
        late_commands_survive_restart: Whether a later incarnation of a worker
            carries out late commands that were sent to an earlier one.
        limits: Time limits of the deployment.
        isolated_data_centres: Data centres that reach neither the store nor
            each other nor the rest.
        isolated_workers: Workers that no instance reaches.
        path_cuts: Paths of single instances that are cut.
        call_faults: Single calls that are refused or get no answer.
        store_down: Whether the store answers no calls.
    """

    seed: int
    rng: random.Random = attrs.field(init=False)
    now: float = 100.0
    store: batch_store.BatchStore = attrs.field(factory=batch_store.BatchStore)
    nodes: list[Node] = attrs.field(factory=list)
    workers: dict[str, batch_worker.BatchWorker] = attrs.field(factory=dict)
    listed_workers: dict[str, model.WorkerEntry] = attrs.field(factory=dict)
    configuration: model.Configuration = model.Configuration(1, (QUEUE,))
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    answers: dict[str, caller_messages.Answer] = attrs.field(factory=dict)
    jobs: dict[str, tuple[model.Step, ...]] = attrs.field(factory=dict)
    done_tasks: set[model.TaskName] = attrs.field(factory=set)
    acknowledged_tasks: set[model.TaskName] = attrs.field(factory=set)
    started_at: dict[model.TaskName, float] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    starts: int = 0
    late_start_fraction: float = 0.0
    late_start_s: tuple[float, float] = (2, 12)
    call_delay_s: tuple[float, float] = (0.0005, 0.003)
    lost_answer_fraction: float = 0.0
    late_write_fraction: float = 0.0
    list_delay_s: tuple[float, float] = (STORE_DELAY_S / 2, STORE_DELAY_S / 2)
    worker_list_delay_s: float = STORE_DELAY_S
    lost_history_fraction: float = 0.0
    failure_fraction: float = 0.0
    hopeless_jobs: set[str] = attrs.field(factory=set)
    unanswered_start_fraction: float = 0.0
    late_poll_fraction: float = 0.0
    polls_in_flight: "collections.Counter[PollKey]" = attrs.field(
        factory=collections.Counter
    )
    max_polls_in_flight: int = 0
    run_duration_s: tuple[float, float] = (0.5, 2.0)
    all_replies_name_incarnation: bool = False
    late_commands_survive_restart: bool = False
    limits: state.Limits = LIMITS
    isolated_data_centres: set[str] = attrs.field(factory=set)
    isolated_workers: set[str] = attrs.field(factory=set)
    path_cuts: batch_paths.PathCuts = attrs.field(factory=batch_paths.PathCuts)
    call_faults: batch_call_faults.CallFaults = attrs.field(
        factory=batch_call_faults.CallFaults
    )
    store_down: bool = False

    def __attrs_post_init__(self) -> None:
        """Seeds the random numbers of the simulation."""
        self.rng = random.Random(self.seed)

    def store_division(self, racks_per_partition: int) -> None:
        """Stores the division that instances adopt when they start."""
        record = records.DivisionRecord(racks_per_partition)
        self.store.revision += 1
        self.store.put(store_messages.Put(records.DIVISION_KEY, record))

    def find_partition(self, worker_id: str) -> str:
        """Returns the name of the partition that a worker belongs to."""
        found = self.store.find(records.DIVISION_KEY)
        assert found is not None
        assert isinstance(found.value, records.DivisionRecord)
        division = model.Division(found.value.racks_per_partition)
        return division.find_partition(self.workers[worker_id].entry)

    def add_node(
        self, name: str, data_centre: str, processors: float = 1.0
    ) -> Node:
        """Starts an instance."""
        identity = state.Identity(
            name,
            f"{next(self.numbers):x}",
            data_centre,
            0.0,
            self.limits,
            processors,
            f"{name}:1",
        )
        node = Node(name, instance.build(identity))
        self.nodes.append(node)
        self.deliver(node, messages.Started())
        return node

    def add_worker(
        self,
        name: str,
        data_centre: str,
        cpu_millis: int = 8000,
        rack: str = "",
    ) -> batch_worker.BatchWorker:
        """Starts a worker and adds it to the platform's list."""
        entry = model.WorkerEntry(
            name,
            int(self.now * 1000),
            QUEUE.service,
            f"{name}:1",
            data_centre,
            resources.Vector(cpu_millis, 64_000, 0),
            ("a", rack or "r1"),
            False,
            rack,
        )
        worker = batch_worker.BatchWorker(
            entry, self.limits.worker_lease_s, self.now
        )
        self.workers[name] = worker
        self.listed_workers[name] = entry
        return worker

    def restart_worker(self, name: str, entry: model.WorkerEntry) -> None:
        """Starts a new incarnation of a worker that has ended."""
        entry = attrs.evolve(entry, started_at_ms=int(self.now * 1000))
        self.workers[name] = batch_worker.BatchWorker(
            entry, self.limits.worker_lease_s, self.now
        )
        self.listed_workers[name] = entry

    def drain_worker(self, name: str) -> None:
        """Makes a worker announce that it will leave."""
        entry = attrs.evolve(self.listed_workers[name], draining=True)
        self.listed_workers[name] = entry

    def end_worker(self, name: str) -> None:
        """Ends a worker, which the platform's list then lacks."""
        del self.workers[name]
        self.listed_workers.pop(name, None)

    def reaches_store(self, node: Node) -> bool:
        """Returns whether the store answers an instance."""
        data_centre = node.batch.identity.data_centre
        return not (
            self.store_down
            or node.store_unreachable
            or self.path_cuts.is_store_cut(node.name)
            or data_centre in self.isolated_data_centres
        )

    def reaches_worker(self, node: Node, worker_id: str) -> bool:
        """Returns whether calls of an instance get answers of a worker."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return worker_id in self.call_faults.replaced_workers
        return not self._is_path_cut(node, worker_id, worker.entry.data_centre)

    def is_cut_off(self, node: Node, call: worker_messages.WorkerCall) -> bool:
        """Returns whether a worker, or its host, cannot answer a call."""
        data_centre = model.get_data_centre(call.partition)
        return self._is_path_cut(node, call.target.worker_id, data_centre)

    def _is_path_cut(
        self, node: Node, worker_id: str, data_centre: str
    ) -> bool:
        if worker_id in self.isolated_workers | node.unreachable_workers:
            return True
        if self.path_cuts.is_worker_cut(node.name, worker_id):
            return True
        data_centres = {node.batch.identity.data_centre, data_centre}
        return len(data_centres) > 1 and bool(
            data_centres & self.isolated_data_centres
        )

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        entry = (self.now + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Runs the simulation for a number of seconds."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            action()
        self.now = end

    def kill(self, node: Node) -> None:
        """Ends an instance without a shutdown."""
        node.alive = False

    def deliver(self, node: Node, event: messages.Event) -> None:
        """Passes an event to an instance and performs its effects.

        A paused instance gets the event when its pause ends.
        """
        if not node.alive:
            return
        if node.paused_until > self.now:
            delay_s = node.paused_until - self.now
            self.schedule(delay_s, lambda: self.deliver(node, event))
            return
        for effect in instance.handle(event, node.batch, self.now):
            perform(effect, self, node)

    def submit(
        self,
        node: Node,
        job_id: str,
        *steps: model.Step,
        prefix: str = QUEUE.prefix,
    ) -> str:
        """Submits a job; returns the call id, the key of its answer."""
        call_id = f"{node.name}-{next(self.numbers)}"
        self.jobs[job_id] = steps
        event = caller_messages.SubmitCalled(
            call_id,
            "host",
            prefix + job_id,
            3.0,
            "x",
            steps,
            model.Schedule(),
        )
        self.deliver(node, event)
        return call_id

    def call(
        self,
        node: Node,
        kind: type[caller_messages.CallerCalled],
        path: str,
    ) -> str:
        """Makes another kind of caller's call and returns the call id."""
        call_id = f"{node.name}-{next(self.numbers)}"
        self.deliver(node, kind(call_id, "host", path, 3.0))
        return call_id

    def get_state(self, job_id: str) -> model.JobState | None:
        """Returns the state of a job in the store, or None if there is none."""
        found = self.store.find(records.make_state_key(job_id))
        if found is None:
            return None
        assert isinstance(found.value, records.StateRecord)
        return found.value.state

    def list_runs(self) -> list[tuple[str, model.TaskName, int]]:
        """Returns the worker, task and number of each run."""
        for worker in self.workers.values():
            worker.advance(self.now)
        return [
            (name, task, number)
            for name, worker in self.workers.items()
            for task, number in worker.running
        ]

    def find_owner(self, name: str) -> Node | None:
        """Returns the live instance that owns a partition.

        Returns:
            The instance, or None if the store names no owner or the owner has
            not learned of its ownership yet.
        """
        found = self.store.find(records.make_owner_key(name))
        for node in self.nodes:
            if node.alive and found is not None:
                partition = node.batch.partitions.get(name)
                if partition and partition.token == found.create_revision:
                    return node
        return None

    def start_run(
        self,
        worker: batch_worker.BatchWorker,
        call: worker_messages.StartRun,
    ) -> worker_messages.Reply:
        """Carries out a start on a worker and checks the invariants."""
        clock_ms = worker.read_clock(self.now)
        refusal = self._refuse(worker, call, clock_ms)
        if refusal:
            return worker_messages.Rejected(refusal, clock_ms)
        key = (call.task, call.number)
        if key in worker.running:
            return worker_messages.Done(clock_ms)
        worker.extend_lease(call.lease_end_ms, self.now)
        step = self.jobs[call.task.job_id][call.task.step]
        self._check(worker, call.task, step)
        ends_at = None
        if not step.long_running:
            begins_at = max(self.now, worker.stalls_until)
            ends_at = begins_at + self.rng.uniform(*self.run_duration_s)
        kind = model.EndKind.DONE
        if (
            self.rng.random() < self.failure_fraction
            or call.task.job_id in self.hopeless_jobs
        ):
            kind = model.EndKind.FAILED
        if self.now < worker.fails_until:
            kind = model.EndKind.FAILED
            ends_at = self.now + batch_worker.FAILURE_DELAY_S
        worker.running[key] = self.make_run(call, step, ends_at, kind)
        self.starts += 1
        return worker_messages.Done(clock_ms)

    def make_run(
        self,
        call: worker_messages.StartRun,
        step: model.Step,
        done_at: float | None,
        kind: model.EndKind,
    ) -> batch_worker.ActiveRun:
        """Makes the run that a start requests."""
        return batch_worker.ActiveRun(step, done_at, kind)

    def start_poll(self, node: Node, call: worker_messages.HoldLease) -> None:
        """Counts a poll that an instance sends."""
        key = identify_poll(node, call)
        self.polls_in_flight[key] += 1
        self.max_polls_in_flight = max(
            self.max_polls_in_flight, self.polls_in_flight[key]
        )
        if self.polls_in_flight[key] > 1:
            self.violations.append(f"polls: {key} at {self.now:.3f}")

    def finish_poll(self, node: Node, call: worker_messages.HoldLease) -> None:
        """Counts a poll that was answered or has timed out."""
        self.polls_in_flight[identify_poll(node, call)] -= 1

    def names_other_incarnation(
        self, call: worker_messages.WorkerCall, reply: worker_messages.Reply
    ) -> bool:
        """Returns whether a reply names another incarnation than the call.

        Workers name their incarnation in their replies; which kinds of replies
        do so depends on `all_replies_name_incarnation`.
        """
        worker = self.workers.get(call.target.worker_id)
        if (
            worker is None
            or worker.entry.started_at_ms == call.target.started_at_ms
        ):
            return False
        if isinstance(reply, worker_messages.NoAnswer):
            return False
        return self.all_replies_name_incarnation or isinstance(
            reply, worker_messages.Listing
        )

    def record_done(self, worker: batch_worker.BatchWorker) -> None:
        """Records the tasks that a worker lists as done."""
        for end in worker.ended:
            if end.kind is model.EndKind.DONE:
                self.done_tasks.add(end.task)

    def record_acknowledged(
        self, worker: batch_worker.BatchWorker, position: int
    ) -> None:
        """Records the ended runs that a worker may discard.

        A start between the end of a run and its acknowledgement repeats work
        that is done, which is a violation. It is none if the lease expired in
        between, because the owner could not learn of the end then.
        """
        for end in worker.ended:
            if end.position > position or end.kind is not model.EndKind.DONE:
                continue
            if end.position <= worker.expired_position:
                continue
            self.acknowledged_tasks.add(end.task)
            started = self.started_at.get(end.task, 0.0)
            if started > worker.ended_at[end.position]:
                self.violations.append(f"repeated: {end} at {self.now:.3f}")

    def _is_step_done(self, job_id: str, step: int) -> bool:
        return all(
            model.TaskName(job_id, 0, step, index) in self.done_tasks
            for index in range(self.jobs[job_id][step].count)
        )

    def _refuse(
        self,
        worker: batch_worker.BatchWorker,
        call: worker_messages.StartRun,
        clock_ms: int,
    ) -> str:
        if call.number <= worker.voided_numbers.get(call.task, 0):
            return "old"
        return "late" if call.lease_end_ms < clock_ms else ""

    def _check(
        self,
        worker: batch_worker.BatchWorker,
        task: model.TaskName,
        step: model.Step,
    ) -> None:
        name = f"{task.job_id}.{task.step}.{task.index} at {self.now:.3f}"
        for other, running, _ in self.list_runs():
            if running == task:
                self.violations.append(f"twice: {name}, runs on {other}")
        for other_worker in self.workers.values():
            self.record_done(other_worker)
        self.started_at[task] = self.now
        if task in self.acknowledged_tasks and not step.long_running:
            self.violations.append(f"done before: {name}")
        if not all(
            self._is_step_done(task.job_id, earlier) for earlier in step.after
        ):
            self.violations.append(f"order: {name}")
        amount = step.amount
        if step.fills:
            amount = attrs.evolve(amount, cpu_millis=0)
        after = worker.sum_reserved().plus(amount)
        if not after.fits(worker.entry.capacity):
            self.violations.append(f"capacity: {name}")


@functools.singledispatch
def perform(effect: messages.Effect, world: BatchWorld, node: Node) -> None:
    """Performs one effect of an instance.

    Effects of other types are ignored.
    """


@perform.register
def _(effect: messages.StartTimer, world: BatchWorld, node: Node) -> None:
    factor = 1 + effect.jitter * world.rng.uniform(-1, 1)
    event = messages.TimerFired(effect.timer)
    world.schedule(effect.delay_s * factor, lambda: world.deliver(node, event))


@perform.register
def _(effect: messages.Log, world: BatchWorld, node: Node) -> None:
    node.logs.append((world.now, effect))


@perform.register
def _(effect: messages.Exit, world: BatchWorld, node: Node) -> None:
    node.alive = False


@perform.register
def _(
    effect: caller_messages.AnswerCaller, world: BatchWorld, node: Node
) -> None:
    world.answers[effect.call_id] = effect.answer


@perform.register
def _(
    effect: configuration.ReadConfiguration, world: BatchWorld, node: Node
) -> None:
    event = configuration.ConfigurationRead(None)
    if world.reaches_store(node):
        event = configuration.ConfigurationRead(
            world.configuration, world.store.revision
        )
    world.schedule(STORE_DELAY_S, lambda: world.deliver(node, event))


@perform.register
def _(effect: worker_list.ReadEntries, world: BatchWorld, node: Node) -> None:
    entries = None
    if world.reaches_store(node):
        entries = tuple(world.listed_workers.values())
    event = worker_list.EntriesRead(entries, world.now)
    delay_s = world.worker_list_delay_s
    world.schedule(delay_s, lambda: world.deliver(node, event))


@perform.register
def _(
    effect: store_messages.StoreEffect, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now

    def answer(outcome: store_messages.Outcome) -> None:
        event = store_messages.StoreReply(effect.purpose, outcome, sent_at)
        world.deliver(node, event)

    if not world.reaches_store(node):
        lost = store_messages.Unavailable(True, "no answer")
        world.schedule(CALL_TIMEOUT_S, lambda: answer(lost))
        return
    fault = world.call_faults.take_store_fault(node.name, effect.purpose)
    if fault is not None:
        if fault is batch_call_faults.StoreFault.ANSWER_LOST:
            carry_out = functools.partial(write_late, effect, world)
            world.schedule(STORE_DELAY_S / 2, carry_out)
        delay_s, failure = describe_store_fault(fault)
        world.schedule(delay_s, lambda: answer(failure))
        return

    def execute_call() -> None:
        world.store.expire_leases(world.now)
        outcome = batch_store.apply(effect, world.store, world.now)
        if world.rng.random() < world.lost_answer_fraction:
            lost = store_messages.Unavailable(True, "answer lost")
            world.schedule(CALL_TIMEOUT_S, lambda: answer(lost))
            return
        delay_s = STORE_DELAY_S / 2
        if isinstance(effect, store_messages.StoreList) and (
            effect.prefix.startswith(LONG_LISTS)
        ):
            delay_s = world.rng.uniform(*world.list_delay_s)
        world.schedule(delay_s, lambda: answer(outcome))

    if draw_late_write(effect, world):
        late_s = world.rng.uniform(*LATE_WRITE_S)
        world.schedule(late_s, functools.partial(write_late, effect, world))
        lost = store_messages.Unavailable(True, "late write")
        world.schedule(CALL_TIMEOUT_S, lambda: answer(lost))
        return
    world.schedule(STORE_DELAY_S / 2, execute_call)


def describe_store_fault(
    fault: batch_call_faults.StoreFault,
) -> tuple[float, store_messages.Unavailable]:
    """Returns the delay, in seconds, and the outcome of a failed store call."""
    refused = fault is batch_call_faults.StoreFault.REFUSED
    delay_s = STORE_DELAY_S if refused else CALL_TIMEOUT_S
    return delay_s, store_messages.Unavailable(not refused, fault.value)


def draw_late_write(
    effect: store_messages.StoreEffect, world: BatchWorld
) -> bool:
    """Returns whether a store call is a write that is carried out late."""
    if not isinstance(effect, store_messages.StoreTransaction):
        return False
    # Without late writes, seeds draw the same numbers as before.
    fraction = world.late_write_fraction
    return fraction > 0 and world.rng.random() < fraction


def write_late(effect: store_messages.StoreEffect, world: BatchWorld) -> None:
    """Carries out a write whose caller got no answer."""
    world.store.expire_leases(world.now)
    batch_store.apply(effect, world.store, world.now)


@perform.register
def _(
    effect: store_messages.StoreFollow, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now
    lost = world.rng.random() < world.lost_history_fraction
    fault = world.call_faults.take_store_fault(node.name, effect.purpose)
    if fault is not None:
        delay_s, failure = describe_store_fault(fault)
        reply = store_messages.StoreReply(effect.purpose, failure, sent_at)
        world.schedule(delay_s, lambda: world.deliver(node, reply))
        return

    def poll() -> None:
        world.store.expire_leases(world.now)
        changes = world.store.list_changes(effect.prefix, effect.after_revision)
        outcome: store_messages.Outcome
        if not world.reaches_store(node):
            outcome = store_messages.Unavailable(False, "no answer")
        elif lost:
            outcome = store_messages.HistoryLost()
        elif changes or world.now - sent_at >= effect.wait_s:
            outcome = store_messages.Followed(changes, world.store.revision)
        else:
            world.schedule(POLL_INTERVAL_S, poll)
            return
        event = store_messages.StoreReply(effect.purpose, outcome, sent_at)
        world.deliver(node, event)

    world.schedule(STORE_DELAY_S, poll)


@perform.register
def _(
    effect: worker_messages.WorkerCall, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now
    worker_id = effect.target.worker_id

    if isinstance(effect, worker_messages.HoldLease):
        world.start_poll(node, effect)

    def answer(reply: worker_messages.Reply) -> None:
        if world.is_cut_off(node, effect):
            # The connection was cut after the call had reached the worker.
            lose()
        else:
            finish(reply)

    def finish(reply: worker_messages.Reply) -> None:
        deliver_reply(world, node, effect, reply, sent_at)

    def lose() -> None:
        delay_s, lost = describe_cut(world, worker_id)
        world.schedule(delay_s, lambda: finish(lost))

    if not world.reaches_worker(node, worker_id):
        lose()
        return
    unanswered_s = draw_unanswered_delay(effect, world)
    if unanswered_s is not None:
        world.schedule(unanswered_s, make_late_command(world, effect))
        lose()
        return
    delay_s = world.rng.uniform(*world.call_delay_s)
    if (node.name, worker_id) in world.call_faults.refusing_workers:
        refusal = worker_messages.Rejected("unhealthy")
        world.schedule(delay_s, lambda: answer(refusal))
        return
    world.schedule(delay_s, lambda: execute(effect, world, answer))


def deliver_reply(
    world: BatchWorld,
    node: Node,
    call: worker_messages.WorkerCall,
    reply: worker_messages.Reply,
    sent_at: float,
) -> None:
    """Passes the reply to a call that was sent at some time to its caller."""
    if isinstance(call, worker_messages.HoldLease):
        world.finish_poll(node, call)
    if world.names_other_incarnation(call, reply):
        reply = worker_messages.Rejected("reborn")
    event = worker_messages.WorkerReplied(call, reply, sent_at)
    world.deliver(node, event)


def describe_cut(
    world: BatchWorld, worker_id: str
) -> tuple[float, worker_messages.NoAnswer]:
    """Returns the delay, in seconds, and the reply of a call that is cut."""
    is_reset = worker_id in world.call_faults.resetting_workers
    delay_s = world.call_delay_s[0] if is_reset else CALL_TIMEOUT_S
    return delay_s, worker_messages.NoAnswer("no answer", closed=is_reset)


def draw_unanswered_delay(
    call: worker_messages.WorkerCall, world: BatchWorld
) -> float | None:
    """Returns the delay after which a call without an answer is carried out.

    Returns:
        The delay in seconds, or None if the call gets an answer.
    """
    if not isinstance(call, worker_messages.StartRun):
        return None
    if call.target.worker_id in world.call_faults.starts_ignored_by:
        return math.inf
    if (
        world.unanswered_start_fraction
        and world.rng.random() < world.unanswered_start_fraction
    ):
        return world.call_delay_s[0]
    if world.rng.random() < world.late_start_fraction:
        return world.rng.uniform(*world.late_start_s)
    return None


def make_late_command(
    world: BatchWorld, call: worker_messages.WorkerCall
) -> Callable[[], None]:
    """Makes an action that carries out a command without an answer.

    The command is lost if the worker has restarted since, unless
    `late_commands_survive_restart` is set.
    """

    def act() -> None:
        worker = world.workers.get(call.target.worker_id)
        if worker is None:
            return
        same = worker.entry.started_at_ms == call.target.started_at_ms
        if same or world.late_commands_survive_restart:
            execute(call, world, lambda _: None)

    return act


def draw_late_poll(world: BatchWorld) -> bool:
    """Returns whether a worker answers a long poll only after its wait."""
    # Without late polls, seeds draw the same numbers as before.
    fraction = world.late_poll_fraction
    return fraction > 0 and world.rng.random() < fraction


Answer = Callable[[worker_messages.Reply], None]


def execute(
    call: worker_messages.WorkerCall, world: BatchWorld, answer: Answer
) -> None:
    """Carries out a call on the current incarnation of a worker.

    A call reaches the worker by its id alone, so it is carried out by a later
    incarnation than the one that it was meant for as well.
    """
    worker_id = call.target.worker_id
    if worker_id in world.call_faults.replaced_workers:
        answer(worker_messages.Rejected("replaced"))
        return
    worker = world.workers.get(worker_id)
    if worker is None:
        answer(EXITED)
        return
    worker.advance(world.now)
    if call.token < worker.fence:
        clock_ms = worker.read_clock(world.now)
        answer(worker_messages.Rejected("fence", clock_ms))
        return
    worker.fence = call.token
    if world.now < worker.unhealthy_until:
        clock_ms = worker.read_clock(world.now)
        answer(worker_messages.Rejected("unhealthy", clock_ms))
        return
    apply_call(call, world, worker, answer)


@functools.singledispatch
def apply_call(
    call: worker_messages.WorkerCall,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    """Carries out a call whose fencing token the worker has accepted."""
    answer(worker_messages.Done(worker.read_clock(world.now)))


@apply_call.register
def _(
    call: worker_messages.StartRun,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    answer(world.start_run(worker, call))


@apply_call.register
def _(
    call: worker_messages.StopRun,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    run = worker.running.get((call.task, call.number))
    if run is not None:
        run.stops_at = run.stops_at or world.now + batch_worker.STOP_DELAY_S
    voided = worker.voided_numbers.get(call.task, 0)
    worker.voided_numbers[call.task] = max(voided, call.number)
    answer(worker_messages.Done(worker.read_clock(world.now)))


@apply_call.register
def _(
    call: worker_messages.PaceRun,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    worker.set_pace((call.task, call.number), call.percent)
    answer(worker_messages.Done(worker.read_clock(world.now)))


@apply_call.register
def _(
    call: worker_messages.HoldLease,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    world.record_done(worker)
    world.record_acknowledged(worker, call.acknowledged)
    worker.acknowledge(call.acknowledged)
    worker.extend_lease(call.lease_end_ms, world.now)
    until = world.now + call.wait_s
    is_late = draw_late_poll(world)

    def poll() -> None:
        if world.workers.get(call.target.worker_id) is not worker:
            answer(EXITED)
            return
        worker.advance(world.now)
        world.record_done(worker)
        if (worker.ended and not is_late) or world.now >= until:
            answer(worker.make_listing(world.now))
        else:
            world.schedule(POLL_INTERVAL_S, poll)

    poll()
