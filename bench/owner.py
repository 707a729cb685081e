"""Simulated owner that runs a policy against modelled workers.

It replaces the event handlers of batch work for one data centre: it polls,
starts, evicts and requeues tasks, and takes every decision from `scheduling`.
Messages have no delay and are never lost; the failure tests cover delay and
loss.
"""

import collections
import functools
import itertools
import random

import attrs

from bench import baselines
from bench import choices
from bench import measurements
from bench import model
from sapphirestall_core import attempts
from sapphirestall_core import controller
from sapphirestall_core import jobs
from sapphirestall_core import ownership
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import scheduling
from sapphirestall_core import task_messages
from sapphirestall_core import worker_reports
from standins import worker_model
from standins import world_workers

POLL_PERIOD_S = 2.0
EPOCH = 1
OWNER = "bench"
CHECKPOINT_RANGE_S = (0.2, 1.5)
MAX_PREEMPTION_PLANS = 16


@attrs.define
class WaitingTask:
    """A task that waits for a worker.

    Attributes:
        waiting_since: Time at which it was enqueued, in seconds.
        work_left_s: Run time left after its checkpoint, in seconds; None if the
            task starts from the beginning.
        started_before: Whether an earlier attempt of the task was started.
        exempt: Whether its team's quota or the floor of non-urgent work has
            refused it, so that the bound on urgent starts does not apply.
        reason: Reason code of its latest refusal.
    """

    record: jobs.JobRecord
    task: int
    waiting_since: float
    work_left_s: float | None = None
    started_before: bool = False
    exempt: bool = False
    reason: str = ""


@attrs.define
class Host:
    """A modelled worker and the times of its polls, in seconds."""

    location: model.WorkerLocation
    worker: worker_model.Worker
    next_poll_at: float
    alive: bool = True
    last_report_at: float = 0.0


@attrs.define
class Eviction:
    """An eviction in progress; the task is stopped after its checkpoint."""

    host: Host
    name: task_messages.AttemptName
    ends_at: float


@attrs.define
class Owner:
    """Owner of all workers of one data centre, under one policy."""

    hosts: dict[str, Host]
    rules: policy.Policy
    scheduling_state: scheduling.SchedulingState
    measurements: measurements.Measurements
    rng: random.Random
    queues: dict[tuple[int, str, str, int], collections.deque[WaitingTask]] = (
        attrs.field(factory=dict)
    )
    records: dict[str, jobs.JobRecord] = attrs.field(factory=dict)
    cancelled: set[str] = attrs.field(factory=set)
    running: dict[task_messages.AttemptName, WaitingTask] = attrs.field(
        factory=dict
    )
    evictions: list[Eviction] = attrs.field(factory=list)
    failures: dict[str, set[str]] = attrs.field(factory=dict)
    attempts: int = 0

    def get_strategy(self) -> placement.Strategy:
        """Returns the strategy under test."""
        return self.scheduling_state.strategy

    def list_responding(self, now: float) -> list[str]:
        """Returns the workers that answered a recent poll."""
        return [
            worker_id
            for worker_id, host in self.hosts.items()
            if host.alive and now - host.last_report_at <= 2 * POLL_PERIOD_S
        ]

    def submit(self, record: jobs.JobRecord, now: float) -> None:
        """Accepts a job, or refuses it if its tasks fit on no worker."""
        if not any(
            record.declared.fits(model.compute_batch_capacity(host.worker))
            for host in self.hosts.values()
        ):
            self.measurements.refusals["job_too_large"] += 1
            return
        self.records[record.job_id] = record
        for task in range(record.task_count):
            self.enqueue(WaitingTask(record, task, now))

    def enqueue(self, waiting: WaitingTask) -> None:
        """Adds a task to the queue of its urgency, kind, team and size."""
        record = waiting.record
        key = (
            -record.urgency,
            record.kind,
            record.team,
            record.declared.cpu_millis,
        )
        self.queues.setdefault(key, collections.deque()).append(waiting)

    def cancel(self, job_id: str, now: float) -> None:
        """Stops the running tasks of a job and removes the waiting ones."""
        self.cancelled.add(job_id)
        for queue in self.queues.values():
            for waiting in [w for w in queue if w.record.job_id == job_id]:
                queue.remove(waiting)
        for host in self.hosts.values():
            for name in list(
                self.scheduling_state.views[host.location.worker_id].tasks
            ):
                if name.job_id == job_id and host.alive:
                    self.stop(host, name, now)

    def step(self, now: float) -> None:
        """Polls the workers that are due, then places waiting tasks."""
        for host in self.hosts.values():
            if now >= host.next_poll_at:
                host.next_poll_at += POLL_PERIOD_S
                self._poll(host, now)
        self._finish_evictions(now)
        self._place_waiting(now)

    def _poll(self, host: Host, now: float) -> None:
        worker_id = host.location.worker_id
        if not host.alive:
            self._check_unresponsive(host, now)
            return
        host.last_report_at = now
        ended = [
            task
            for task in host.worker.tasks.values()
            if task.state != "running"
        ]
        for task in ended:
            self._process_end(host, task, now)
            host.worker.acknowledge(task.name)
        for task in host.worker.tasks.values():
            task.lease_until = now + ownership.TASK_LEASE_S
        report = world_workers.make_report(host.worker)
        actions = worker_reports.process_report(
            self.scheduling_state,
            worker_id,
            report,
            make_ledger(report),
            self.records.get,
            self.rules,
            (),
            now,
        )
        actions += choices.list_policy_actions(
            self.get_strategy(), self, host, report
        )
        for action in actions:
            apply_action(action, self, host, now)

    def _check_unresponsive(self, host: Host, now: float) -> None:
        view = self.scheduling_state.views.get(host.location.worker_id)
        if (
            view is None
            or now - host.last_report_at < ownership.UNRESPONSIVE_WORKER_WAIT_S
        ):
            return
        for name in list(view.tasks):
            waiting = self.running.pop(name, None)
            if waiting is not None:
                self.measurements.lost_to_faults += view.tasks[name].cpu * (
                    now - view.tasks[name].started_at
                )
                self.enqueue(
                    attrs.evolve(
                        waiting, waiting_since=now, started_before=True
                    )
                )
        scheduling.remove_worker(self.scheduling_state, host.location.worker_id)

    def _process_end(
        self, host: Host, task: worker_model.Task, now: float
    ) -> None:
        name = parse_name(task.name)
        waiting = self.running.pop(name, None)
        worker_id = host.location.worker_id
        if task.state == "finished":
            scheduling.record_finish(
                self.scheduling_state, worker_id, name, now
            )
            self.measurements.finished[
                waiting.record.urgency if waiting else 0
            ] += 1
        elif task.state == "failed" and waiting is not None:
            self._process_failure(host, name, waiting, now)
        else:
            scheduling.record_withdrawal(self.scheduling_state, worker_id, name)

    def _process_failure(
        self,
        host: Host,
        name: task_messages.AttemptName,
        waiting: WaitingTask,
        now: float,
    ) -> None:
        worker_id = host.location.worker_id
        on_probation = scheduling.record_failure(
            self.scheduling_state, worker_id, name, now
        )
        on_probation = on_probation and not isinstance(
            self.get_strategy(), baselines.Baseline
        )
        self.measurements.record_failure(worker_id, on_probation)
        self.enqueue(
            attrs.evolve(waiting, waiting_since=now, started_before=True)
        )

    def _place_waiting(self, now: float) -> None:
        """Places waiting tasks by urgency.

        A refusal holds for all tasks of a queue, since they are equal.
        """
        scheduling.begin_pass(self.scheduling_state)
        self.scheduling_state.non_urgent_waiting = any(
            queue and -key[0] < self.rules.sharing.urgent_from
            for key, queue in self.queues.items()
        )
        for key in sorted(self.queues):
            queue = self.queues[key]
            while queue and self._place_task(queue[0], now):
                queue.popleft()
            if queue and queue[0].reason in scheduling.EVICTION_REASONS:
                for waiting in itertools.islice(queue, MAX_PREEMPTION_PLANS):
                    self._preempt(waiting, now)
        self.queues = {key: q for key, q in self.queues.items() if q}

    def _place_task(self, waiting: WaitingTask, now: float) -> bool:
        strategy = self.get_strategy()
        demand = choices.make_demand(strategy, self, waiting.record)
        decision = choices.find_worker(strategy, self, demand, now)
        match decision:
            case placement.Chosen(worker_id=worker_id):
                self._start(waiting, demand, worker_id, now)
                return True
            case placement.NotPlaced(reason=reason):
                self.measurements.refusals[reason] += 1
                waiting.reason = reason
                waiting.exempt |= reason in ("quota", "floor")
        return False

    def _preempt(self, waiting: WaitingTask, now: float) -> None:
        strategy = self.get_strategy()
        demand = choices.make_demand(strategy, self, waiting.record)
        plan = choices.plan_eviction(strategy, self, waiting, demand, now)
        if plan is not None:
            for name in plan.victims:
                self.evict(self.hosts[plan.worker_id], name, now)

    def _start(
        self,
        waiting: WaitingTask,
        demand: placement.Demand,
        worker_id: str,
        now: float,
    ) -> None:
        self.attempts += 1
        record = waiting.record
        attempt = attempts.make_attempt_number(EPOCH, self.attempts)
        name = task_messages.AttemptName(record.job_id, waiting.task, attempt)
        host = self.hosts[worker_id]
        effect = task_messages.StartTask(
            worker_id,
            worker_id,
            EPOCH,
            now + ownership.COMMAND_TERM_S,
            name,
            record.kind,
            demand.reserved,
            record.run_s,
            ownership.TASK_LEASE_S,
        )
        scheduling.record_start(
            self.scheduling_state, worker_id, name, record, demand, now
        )
        try:
            world_workers.carry_out(effect, host.worker, OWNER, now)
        except worker_model.RefusalError as error:
            self.measurements.refusals[error.code] += 1
            self._process_failure(host, name, waiting, now)
            return
        if waiting.work_left_s is not None:
            host.worker.tasks[str(name)].work_left_s = waiting.work_left_s
        view = self.scheduling_state.views[worker_id]
        view.ledger.reserve(name, demand.reserved)
        self.running[name] = waiting
        self.measurements.record_start(worker_id, waiting, now)

    def evict(
        self, host: Host, name: task_messages.AttemptName, now: float
    ) -> None:
        """Begins an eviction: a checkpoint, then a stop."""
        scheduling.record_eviction(
            self.scheduling_state, host.location.worker_id, name
        )
        record = self.records[name.job_id]
        delay_s = self.rng.uniform(*CHECKPOINT_RANGE_S)
        if not record.checkpointable:
            delay_s = 0.0
        self.evictions.append(Eviction(host, name, now + delay_s))

    def _finish_evictions(self, now: float) -> None:
        due = [item for item in self.evictions if item.ends_at <= now]
        self.evictions = [i for i in self.evictions if i.ends_at > now]
        for item in due:
            task = item.host.worker.tasks.get(str(item.name))
            waiting = self.running.get(item.name)
            if task is None or waiting is None or task.state != "running":
                continue
            self.stop(item.host, item.name, now)
            left_s = None
            if waiting.record.checkpointable:
                left_s = task.work_left_s
            lost = task.compute_cpu_use() * (
                item.host.worker.kind_behaviours[task.kind].run_s
                - task.work_left_s
            )
            self.measurements.record_eviction(lost if left_s is None else 0.0)
            self.enqueue(
                attrs.evolve(
                    waiting,
                    waiting_since=now,
                    work_left_s=left_s,
                    started_before=True,
                )
            )

    def stop(
        self, host: Host, name: task_messages.AttemptName, now: float
    ) -> None:
        """Stops a task and releases its reservation."""
        effect = task_messages.StopTask(
            host.location.worker_id, "", EPOCH, now + 5.0, name
        )
        try:
            world_workers.carry_out(effect, host.worker, OWNER, now)
        except worker_model.RefusalError:
            return
        host.worker.acknowledge(str(name))
        self.scheduling_state.views[host.location.worker_id].ledger.release(
            name
        )
        scheduling.record_withdrawal(
            self.scheduling_state, host.location.worker_id, name
        )
        if name.job_id in self.cancelled:
            self.running.pop(name, None)


def parse_name(name: str) -> task_messages.AttemptName:
    """Parses a worker's task name of the form `job.task.attempt`."""
    job_id, task, attempt = name.rsplit(".", 2)
    return task_messages.AttemptName(job_id, int(task), int(attempt))


def make_ledger(report: task_messages.WorkerReport) -> resources.Ledger:
    """Returns the reservations in a report, as the core computes them."""
    ledger = resources.Ledger(report.capacity)
    for service in report.services:
        ledger.record(("service", service.service), service.reserved)
    for task in report.tasks:
        if task.state is task_messages.TaskState.RUNNING:
            ledger.record(task.name, task.reserved)
    return ledger


@functools.singledispatch
def apply_action(
    action: controller.Action, owner: Owner, host: Host, now: float
) -> None:
    """Applies an action of the controller to a worker."""
    raise NotImplementedError(type(action).__name__)


@apply_action.register
def _(
    action: controller.Throttle, owner: Owner, host: Host, now: float
) -> None:
    task = host.worker.tasks.get(str(action.name))
    if task is not None:
        task.throttle = action.share
        owner.measurements.throttles += 1


@apply_action.register
def _(action: controller.Evict, owner: Owner, host: Host, now: float) -> None:
    owner.evict(host, action.name, now)
