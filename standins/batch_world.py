"""Runs the batch side of several instances in virtual time, with faults.

Everything is determined by the seed. Each rule that must always hold is
checked at the moment at which a worker carries out a start; what breaks one is
collected in `violations`.
"""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
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
from sapphirestall_core.batch import worker_messages
from sapphirestall_core.batch import workers as core_workers
from standins import batch_store
from standins import batch_worker

STORE_S = 0.004
CALL_TIMEOUT_S = 0.9
POLL_S = 0.02
# Lists that grow with the jobs of a deployment.
LONG_LISTS = (records.LIVE_PREFIX, records.PROGRESS_PREFIX)
LIMITS = state.Limits(worker_lease_s=6.0, stop_s=0.4, retention_s=120.0)
QUEUE = model.Queue("batch", "host", "/jobs/", "service", 1, 3, 2.0, 1.0)


@attrs.define(eq=False)
class Node:
    """One instance of the system and its faults.

    Attributes:
        store_cut: Whether its calls to the store get no answer.
        cut_workers: Workers that it can't reach.
        frozen_until: Nothing is handled before this time.
    """

    name: str
    batch: state.Batch
    alive: bool = True
    store_cut: bool = False
    cut_workers: set[str] = attrs.field(factory=set)
    frozen_until: float = 0.0
    logs: list[tuple[float, messages.Log]] = attrs.field(factory=list)


HoldName = tuple[str, int, worker_messages.Target, bool]


def name_hold(node: Node, call: worker_messages.HoldLease) -> HoldName:
    """Returns what at most one hold in flight may have in common."""
    return (node.name, call.token, call.target, call.wait_s > 0)


@attrs.define
class BatchWorld:
    """Instances, workers and the store under one virtual clock.

    Attributes:
        delay_s: Range of the time in which an order reaches a worker.
        late_share: Share of starts that get no answer and happen later.
        list_s: Range of the time after which the answer to a list of job
            records or progress is taken.
        history_lost_share: Share of follows that the store has no history for.
        all_replies_name_life: Whether all replies name the life of the worker,
            and not only listings.
        late_orders_outlive: Whether a later life of a worker carries out late
            orders of the life before.
        run_s: Range of the durations of tasks.
        fail_share: Share of runs that fail.
        unheard_share: Share of starts that happen but whose answer is lost.
        holds: Holds in flight, by instance, token, life of a worker and
            whether they wait.
        most_holds: Most that were in flight of one kind at one worker.
    """

    seed: int
    rng: random.Random = attrs.field(init=False)
    now: float = 100.0
    store: batch_store.BatchStore = attrs.field(factory=batch_store.BatchStore)
    nodes: list[Node] = attrs.field(factory=list)
    workers: dict[str, batch_worker.BatchWorker] = attrs.field(factory=dict)
    listed: dict[str, model.WorkerEntry] = attrs.field(factory=dict)
    configuration: model.Configuration = model.Configuration(1, (QUEUE,))
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    answers: dict[str, caller_messages.Answer] = attrs.field(factory=dict)
    jobs: dict[str, tuple[model.Step, ...]] = attrs.field(factory=dict)
    done: set[model.TaskName] = attrs.field(factory=set)
    noted: set[model.TaskName] = attrs.field(factory=set)
    started_at: dict[model.TaskName, float] = attrs.field(factory=dict)
    done_at: dict[tuple[model.TaskName, int], float] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    starts: int = 0
    late_share: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    lost_share: float = 0.0
    list_s: tuple[float, float] = (STORE_S / 2, STORE_S / 2)
    history_lost_share: float = 0.0
    fail_share: float = 0.0
    unheard_share: float = 0.0
    holds: "collections.Counter[HoldName]" = attrs.field(
        factory=collections.Counter
    )
    most_holds: int = 0
    run_s: tuple[float, float] = (0.5, 2.0)
    all_replies_name_life: bool = False
    late_orders_outlive: bool = False

    def __attrs_post_init__(self) -> None:
        """Seeds the world's own randomness."""
        self.rng = random.Random(self.seed)

    def add_node(
        self, name: str, data_centre: str, processors: float = 1.0
    ) -> Node:
        """Starts an instance."""
        identity = state.Identity(
            name,
            f"{next(self.numbers):x}",
            data_centre,
            0.0,
            LIMITS,
            processors,
        )
        node = Node(name, instance.build(identity))
        self.nodes.append(node)
        self.feed(node, messages.Started())
        return node

    def add_worker(
        self,
        name: str,
        data_centre: str,
        cpu_millis: int = 8000,
        rack: str = "",
    ) -> batch_worker.BatchWorker:
        """Adds a worker and lists it."""
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
            entry, LIMITS.worker_lease_s, self.now
        )
        self.workers[name] = worker
        self.listed[name] = entry
        return worker

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        entry = (self.now + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            action()
        self.now = end

    def kill(self, node: Node) -> None:
        """Ends an instance at once."""
        node.alive = False

    def feed(self, node: Node, event: messages.Event) -> None:
        """Hands an event to an instance and performs its effects."""
        if not node.alive:
            return
        if node.frozen_until > self.now:
            delay_s = node.frozen_until - self.now
            self.at(delay_s, lambda: self.feed(node, event))
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
        """Hands in a job; the answer appears in `answers`."""
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
        self.feed(node, event)
        return call_id

    def call(
        self,
        node: Node,
        kind: type[caller_messages.CallerCalled],
        path: str,
    ) -> str:
        """Makes another call; the answer appears in `answers`."""
        call_id = f"{node.name}-{next(self.numbers)}"
        self.feed(node, kind(call_id, "host", path, 3.0))
        return call_id

    def get_state(self, job_id: str) -> model.JobState | None:
        """Returns the stored state of a job."""
        found = self.store.find(records.make_state_key(job_id))
        if found is None:
            return None
        assert isinstance(found.value, records.StateRecord)
        return found.value.state

    def list_runs(self) -> list[tuple[str, model.TaskName, int]]:
        """Returns all runs, with their workers."""
        for worker in self.workers.values():
            worker.advance(self.now)
        return [
            (name, task, number)
            for name, worker in self.workers.items()
            for task, number in worker.running
        ]

    def find_owner(self, name: str) -> Node | None:
        """Returns the instance that the store names as a partition's owner."""
        found = self.store.find(records.make_owner_key(name))
        for node in self.nodes:
            if node.alive and found is not None:
                partition = node.batch.partitions.get(name)
                if partition and partition.token == found.create_revision:
                    return node
        return None

    def begin_run(
        self,
        worker: batch_worker.BatchWorker,
        call: worker_messages.StartRun,
    ) -> worker_messages.Reply:
        """Carries out a start on a worker, and checks what must hold."""
        clock_ms = worker.read_clock(self.now)
        refusal = self._refuse(worker, call, clock_ms)
        if refusal:
            return worker_messages.Rejected(refusal, clock_ms)
        key = (call.task, call.number)
        if key in worker.running:
            return worker_messages.Done(clock_ms)
        worker.extend(call.lease_end_ms, self.now)
        step = self.jobs[call.task.job_id][call.task.step]
        self._check(worker, call.task, step)
        ends_at = None
        if not step.long_running:
            ends_at = self.now + self.rng.uniform(*self.run_s)
        kind = model.EndKind.DONE
        if self.rng.random() < self.fail_share:
            kind = model.EndKind.FAILED
        worker.running[key] = batch_worker.Running(step, ends_at, kind)
        self.starts += 1
        return worker_messages.Done(clock_ms)

    def begin_hold(self, node: Node, call: worker_messages.HoldLease) -> None:
        """Counts a hold that an instance sends."""
        key = name_hold(node, call)
        self.holds[key] += 1
        self.most_holds = max(self.most_holds, self.holds[key])
        if self.holds[key] > 1:
            self.violations.append(f"holds: {key} at {self.now:.3f}")

    def end_hold(self, node: Node, call: worker_messages.HoldLease) -> None:
        """Counts a hold that was answered or given up."""
        self.holds[name_hold(node, call)] -= 1

    def names_another_life(
        self, call: worker_messages.WorkerCall, reply: worker_messages.Reply
    ) -> bool:
        """Tells whether a reply says that it comes from a later life."""
        worker = self.workers.get(call.target.worker_id)
        if (
            worker is None
            or worker.entry.started_at_ms == call.target.started_at_ms
        ):
            return False
        if isinstance(reply, worker_messages.NoAnswer):
            return False
        return self.all_replies_name_life or isinstance(
            reply, worker_messages.Listing
        )

    def note_done(self, worker: batch_worker.BatchWorker) -> None:
        """Records the tasks that a worker lists as done."""
        for end in worker.ended:
            if end.kind is model.EndKind.DONE:
                self.done.add(end.task)
                self.done_at.setdefault((end.task, end.number), self.now)

    def note_acknowledged(
        self, worker: batch_worker.BatchWorker, position: int
    ) -> None:
        """Records the ends that a worker may forget.

        A start between such an end and its acknowledgement is a repeat,
        unless the lease lapsed in between: then nobody could know of the end.
        """
        for end in worker.ended:
            if end.position > position or end.kind is not model.EndKind.DONE:
                continue
            if end.position <= worker.lapsed_position:
                continue
            self.noted.add(end.task)
            started = self.started_at.get(end.task, 0.0)
            if started > self.done_at[(end.task, end.number)]:
                self.violations.append(f"repeated: {end} at {self.now:.3f}")

    def _is_step_done(self, job_id: str, step: int) -> bool:
        return all(
            model.TaskName(job_id, 0, step, index) in self.done
            for index in range(self.jobs[job_id][step].count)
        )

    def _refuse(
        self,
        worker: batch_worker.BatchWorker,
        call: worker_messages.StartRun,
        clock_ms: int,
    ) -> str:
        if call.number <= worker.voided.get(call.task, 0):
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
            self.note_done(other_worker)
        self.started_at[task] = self.now
        if task in self.noted and not step.long_running:
            self.violations.append(f"done before: {name}")
        if not all(
            self._is_step_done(task.job_id, earlier) for earlier in step.after
        ):
            self.violations.append(f"order: {name}")
        amount = step.amount
        if step.fills:
            amount = attrs.evolve(amount, cpu_millis=0)
        after = worker.count_reserved().plus(amount)
        if not after.fits(worker.entry.capacity):
            self.violations.append(f"capacity: {name}")


@functools.singledispatch
def perform(effect: messages.Effect, world: BatchWorld, node: Node) -> None:
    """Performs one effect of an instance."""


@perform.register
def _(effect: messages.StartTimer, world: BatchWorld, node: Node) -> None:
    factor = 1 + effect.jitter * world.rng.uniform(-1, 1)
    event = messages.TimerFired(effect.timer)
    world.at(effect.delay_s * factor, lambda: world.feed(node, event))


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
    found = None if node.store_cut else world.configuration
    event = configuration.ConfigurationRead(found)
    world.at(STORE_S, lambda: world.feed(node, event))


@perform.register
def _(effect: core_workers.ReadEntries, world: BatchWorld, node: Node) -> None:
    entries = None if node.store_cut else tuple(world.listed.values())
    event = core_workers.EntriesRead(entries)
    world.at(STORE_S, lambda: world.feed(node, event))


@perform.register
def _(
    effect: store_messages.StoreEffect, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now

    def answer(outcome: store_messages.Outcome) -> None:
        event = store_messages.StoreReply(effect.purpose, outcome, sent_at)
        world.feed(node, event)

    if node.store_cut:
        lost = store_messages.Unavailable(True, "no answer")
        world.at(CALL_TIMEOUT_S, lambda: answer(lost))
        return

    def carry_out() -> None:
        world.store.expire(world.now)
        outcome = batch_store.apply(effect, world.store, world.now)
        if world.rng.random() < world.lost_share:
            lost = store_messages.Unavailable(True, "answer lost")
            world.at(CALL_TIMEOUT_S, lambda: answer(lost))
            return
        delay_s = STORE_S / 2
        if isinstance(effect, store_messages.StoreList) and (
            effect.prefix.startswith(LONG_LISTS)
        ):
            delay_s = world.rng.uniform(*world.list_s)
        world.at(delay_s, lambda: answer(outcome))

    world.at(STORE_S / 2, carry_out)


@perform.register
def _(
    effect: store_messages.StoreFollow, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now
    lost = world.rng.random() < world.history_lost_share

    def poll() -> None:
        world.store.expire(world.now)
        changes = world.store.list_changes(effect.prefix, effect.after_revision)
        outcome: store_messages.Outcome
        if node.store_cut:
            outcome = store_messages.Unavailable(False, "no answer")
        elif lost:
            outcome = store_messages.HistoryLost()
        elif changes or world.now - sent_at >= effect.wait_s:
            outcome = store_messages.Followed(changes, world.store.revision)
        else:
            world.at(POLL_S, poll)
            return
        event = store_messages.StoreReply(effect.purpose, outcome, sent_at)
        world.feed(node, event)

    world.at(STORE_S, poll)


@perform.register
def _(
    effect: worker_messages.WorkerCall, world: BatchWorld, node: Node
) -> None:
    sent_at = world.now
    worker_id = effect.target.worker_id

    if isinstance(effect, worker_messages.HoldLease):
        world.begin_hold(node, effect)

    def answer(reply: worker_messages.Reply) -> None:
        if isinstance(effect, worker_messages.HoldLease):
            world.end_hold(node, effect)
        if world.names_another_life(effect, reply):
            reply = worker_messages.Rejected("reborn")
        event = worker_messages.WorkerReplied(effect, reply, sent_at)
        world.feed(node, event)

    def lose() -> None:
        answer(worker_messages.NoAnswer("no answer"))

    if worker_id not in world.workers or worker_id in node.cut_workers:
        world.at(CALL_TIMEOUT_S, lose)
        return
    unheard_s = draw_unheard(effect, world)
    if unheard_s is not None:
        world.at(unheard_s, carry_late(world, effect))
        world.at(CALL_TIMEOUT_S, lose)
        return
    delay_s = world.rng.uniform(*world.delay_s)
    world.at(delay_s, lambda: carry_out(effect, world, answer))


def draw_unheard(
    call: worker_messages.WorkerCall, world: BatchWorld
) -> float | None:
    """Returns when a call without an answer happens; None if it gets one."""
    if not isinstance(call, worker_messages.StartRun):
        return None
    if world.unheard_share and world.rng.random() < world.unheard_share:
        return world.delay_s[0]
    if world.rng.random() < world.late_share:
        return world.rng.uniform(2, 12)
    return None


def carry_late(
    world: BatchWorld, call: worker_messages.WorkerCall
) -> Callable[[], None]:
    """Returns an action that carries out an order nobody waits for.

    The order is lost with the life of the worker that it was sent to, unless
    the world says otherwise.
    """

    def act() -> None:
        worker = world.workers[call.target.worker_id]
        same = worker.entry.started_at_ms == call.target.started_at_ms
        if same or world.late_orders_outlive:
            carry_out(call, world, lambda _: None)

    return act


Answer = Callable[[worker_messages.Reply], None]


def carry_out(
    call: worker_messages.WorkerCall, world: BatchWorld, answer: Answer
) -> None:
    """Carries out a call on the worker's present life.

    A call names the worker by its id alone, so a later life than the one that
    the caller means carries it out as well.
    """
    worker = world.workers[call.target.worker_id]
    worker.advance(world.now)
    if call.token < worker.fence:
        clock_ms = worker.read_clock(world.now)
        answer(worker_messages.Rejected("fence", clock_ms))
        return
    worker.fence = call.token
    serve(call, world, worker, answer)


@functools.singledispatch
def serve(
    call: worker_messages.WorkerCall,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    """Carries out a call that the worker's fence lets through."""
    answer(worker_messages.Done(worker.read_clock(world.now)))


@serve.register
def _(
    call: worker_messages.StartRun,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    answer(world.begin_run(worker, call))


@serve.register
def _(
    call: worker_messages.StopRun,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    run = worker.running.get((call.task, call.number))
    if run is not None:
        run.stops_at = run.stops_at or world.now + batch_worker.STOP_S
    voided = worker.voided.get(call.task, 0)
    worker.voided[call.task] = max(voided, call.number)
    answer(worker_messages.Done(worker.read_clock(world.now)))


@serve.register
def _(
    call: worker_messages.HoldLease,
    world: BatchWorld,
    worker: batch_worker.BatchWorker,
    answer: Answer,
) -> None:
    world.note_done(worker)
    world.note_acknowledged(worker, call.acknowledged)
    worker.acknowledge(call.acknowledged)
    worker.extend(call.lease_end_ms, world.now)
    until = world.now + call.wait_s

    def poll() -> None:
        if world.workers[call.target.worker_id] is not worker:
            answer(worker_messages.NoAnswer("the worker has ended"))
            return
        worker.advance(world.now)
        world.note_done(worker)
        if worker.ended or world.now >= until:
            answer(worker.list_all(world.now))
        else:
            world.at(POLL_S, poll)

    poll()
