"""Observers that check the invariants of the design page after each event.

They read the stand-ins and the outcomes, never the view of an entry instance,
except for the configuration version that is in force there.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import jobs
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from standins import worker_model
from standins import world as world_module

# Callers' deadlines are kept by the instance; store timeouts may exceed them.
ANSWER_TERM_S = 5.0
LEAVING_TERM_S = 5.0
CONFIGURATION_TERM_S = 10.0
# Versions change with an event of the instance, which is checked at once;
# lateness and cuts are checked for all instances at this period.
CHECK_PERIOD_S = 0.1
EVENTS_SHOWN = 12
CONFIGURATION_KEY = "configuration"


@attrs.frozen
class Violation:
    """An invariant that did not hold.

    Attributes:
        before: The events that came before, oldest first.
    """

    invariant: str
    at: float
    detail: str
    before: tuple[str, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.invariant} at {self.at:.3f}: {self.detail}"]
        return "\n    ".join([*lines, *self.before])


@attrs.frozen
class TaskName:
    """One task of a job, whatever the attempt."""

    data_centre: str
    job_id: str
    task: int


@attrs.define
class Start:
    """A start of an attempt on a worker."""

    attempt: int
    worker_id: str
    worker: worker_model.Worker
    name: str


@attrs.frozen
class Sent:
    """A request that a caller sent.

    Attributes:
        instance: The instance that accepted it; it may have died since.
    """

    arrived: request_messages.RequestArrived
    repeatable: bool
    instance: world_module.Node


def is_running(task: worker_model.Task, worker: worker_model.Worker) -> bool:
    """Tells whether an attempt runs at the time up to which it advanced."""
    return task.state == "running" and task.lease_until > worker.now


def runs_until(task: worker_model.Task, worker: worker_model.Worker) -> float:
    """Returns the time at which an attempt ends without further commands."""
    if task.state != "running":
        return worker.now
    rate = max(task.throttle, 1e-9)
    return min(task.lease_until, worker.now + task.work_left_s / rate)


@attrs.define
class Monitor:
    """Checks a world after each event and records violations.

    Attributes:
        starts: Starts by task, over all workers that ever existed.
        read: Number of starts already read, by worker; a restarted worker
            keeps the list.
        sent: Requests by id.
        finished: Tasks that were ever committed, by `progress` key.
        leaving_since: When an executor first said that it is leaving.
        in_force: Version in force by incarnation of an instance.
        accepted: When each configuration version was accepted.
        disturbed: When an instance was last paused or cut off from anything.
        revision: Store revision up to which progress was read.
        checked_at: When all instances were checked last.
    """

    world: world_module.World
    violations: list[Violation] = attrs.field(factory=list)
    starts: dict[TaskName, list[Start]] = attrs.field(factory=dict)
    read: dict[str, int] = attrs.field(factory=dict)
    finished: dict[str, set[TaskName]] = attrs.field(factory=dict)
    progress_seen: dict[str, int] = attrs.field(factory=dict)
    sent: dict[str, Sent] = attrs.field(factory=dict)
    open: set[str] = attrs.field(factory=set)
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    in_force: dict[str, int] = attrs.field(factory=dict)
    accepted: dict[int, float] = attrs.field(factory=dict)
    disturbed: dict[str, float] = attrs.field(factory=dict)
    revision: int = 0
    checked_at: float = 0.0
    reported: set[tuple[str, str]] = attrs.field(factory=set)

    def attach(self) -> None:
        """Starts to observe the world."""
        self.world.observers.append(lambda _: self.observe())

    def observe(self) -> None:
        """Checks what can have changed with one event."""
        self._observe_workers()
        self._observe_progress()
        for request_id in list(self.open):
            self._check_request(request_id)
        self._observe_executors()
        self._observe_configuration()

    def finish(self) -> None:
        """Checks all requests once more, also for late or missing answers."""
        for request_id, sent in self.sent.items():
            self._check_request(request_id)
            due = sent.arrived.deadline + ANSWER_TERM_S
            late = sent.instance.alive and self.world.now > max(
                due, sent.instance.paused_until + ANSWER_TERM_S
            )
            if late and not self.world.answers.get(request_id):
                self.record("I4", request_id, "got no answer")

    def record(self, invariant: str, subject: str, detail: str) -> None:
        """Records a violation once for each subject."""
        if (invariant, subject) in self.reported:
            return
        self.reported.add((invariant, subject))
        before = tuple(
            f"{at:.3f} {node} {event!r:.200}"
            for at, node, event in list(self.world.history)[-EVENTS_SHOWN:]
        )
        self.violations.append(
            Violation(invariant, self.world.now, f"{subject}: {detail}", before)
        )

    def note_request(
        self,
        arrived: request_messages.RequestArrived,
        repeatable: bool,
        instance: world_module.Node,
    ) -> None:
        """Records what a caller sent and to which instance."""
        self.sent[arrived.request_id] = Sent(arrived, repeatable, instance)
        self.open.add(arrived.request_id)

    # I1 to I3: batch work.

    def _observe_workers(self) -> None:
        for worker_id, worker in self.world.workers.items():
            first = self.read.get(worker_id, 0)
            if len(worker.started) == first:
                continue
            self.read[worker_id] = len(worker.started)
            self._check_capacity(worker_id, worker)
            for name in worker.started[first:]:
                self._check_start(worker_id, worker, name)

    def _check_capacity(
        self, worker_id: str, worker: worker_model.Worker
    ) -> None:
        amounts = [
            task.reserved
            for task in worker.tasks.values()
            if is_running(task, worker)
        ]
        amounts += [
            service.reserved
            for service in getattr(worker, "services", {}).values()
        ]
        none = worker_model.Amount(0, 0, 0)
        if not none.fits_with(amounts, worker.capacity):
            self.record("I1", worker_id, f"{len(amounts)} reservations")

    def _check_start(
        self, worker_id: str, worker: worker_model.Worker, name: str
    ) -> None:
        job_id, number, attempt = name.rsplit(".", 2)
        data_centre = self.world.listings[worker_id].data_centre
        task = TaskName(data_centre, job_id, int(number))
        start = Start(int(attempt), worker_id, worker, name)
        earlier = self.starts.setdefault(task, [])
        for other in earlier:
            if self.is_still_running(other):
                self.record(
                    "I2", name, f"{other.name} still runs on {other.worker_id}"
                )
            if other.attempt >= start.attempt:
                self.record("I3", name, f"follows attempt {other.attempt}")
        if any(task in done for done in self.finished.values()):
            self.record("I3", name, "was committed as finished before")
        earlier.append(start)

    def is_still_running(self, start: Start) -> bool:
        """Tells whether a started attempt runs now."""
        # A restarted worker has lost its tasks.
        current = self.world.workers[start.worker_id]
        task = start.worker.tasks.get(start.name)
        if task is None or current is not start.worker:
            return False
        return runs_until(task, start.worker) > self.world.now

    def _observe_progress(self) -> None:
        if self.revision == self.world.store.revision:
            return
        self.revision = self.world.store.revision
        for item in self.world.store.find("progress/"):
            if self.progress_seen.get(item.key) == item.revision:
                continue
            self.progress_seen[item.key] = item.revision
            self._check_progress(item.key, item.value)

    def _check_progress(self, key: str, progress: object) -> None:
        assert isinstance(progress, jobs.Progress)
        data_centre = key.split("/")[1]
        done = set(list_finished(progress, data_centre))
        before = self.finished.get(key, set())
        for task in before - done:
            if self._is_active(task):
                self.record("I3", str(task), "is no longer committed")
        self.finished[key] = before | done
        for task in done - before:
            if task not in self.starts:
                self.record("I3", str(task), "was committed but never started")
            for other, names in self.finished.items():
                if other != key and task in names:
                    self.record(
                        "I3", str(task), f"was committed in {other} too"
                    )

    def _is_active(self, task: TaskName) -> bool:
        # The tasks of an ended job, or of a slice that the job record lists as
        # done, leave the committed state.
        key = jobs.make_job_key(task.data_centre, task.job_id)
        item = self.world.store.items.get(key)
        record = item.value if item else None
        return (
            isinstance(record, jobs.JobRecord)
            and record.state is jobs.JobState.ACTIVE
            and not any(
                part.done and part.first <= task.task <= part.last
                for part in record.slices
            )
        )

    # I4 to I6: requests.

    def _check_request(self, request_id: str) -> None:
        sent = self.sent[request_id]
        answers = self.world.answers.get(request_id, [])
        runs = self.count_runs(request_id)
        if len(answers) > 1:
            self.record("I4", request_id, f"{len(answers)} answers")
        for outcome in answers:
            self._check_outcome(sent, outcome, runs)
        if sent.arrived.key and not sent.repeatable:
            self._check_key(sent.arrived)
        if answers:
            self.open.discard(request_id)

    def _check_outcome(
        self, sent: Sent, outcome: outcomes.Outcome, runs: int
    ) -> None:
        request_id = sent.arrived.request_id
        match outcome:
            case outcomes.Answered(body=body) if body != sent.arrived.body:
                self.record("I4", request_id, f"was answered with {body!r:.80}")
            case outcomes.NotRun(code=code) if runs:
                self.record("I5", request_id, f"{code} but it ran {runs} times")

    def _check_key(self, arrived: request_messages.RequestArrived) -> None:
        runs = self.count_key_runs(arrived.key, arrived.operation)
        if runs > 1:
            self.record("I6", f"key {arrived.key}", f"ran {runs} times")

    def count_runs(self, request_id: str) -> int:
        """Returns how often executors started a request."""
        return sum(
            len(executor.runs.get(request_id, ()))
            for executor in self.world.executors.values()
        )

    def count_key_runs(self, key: str, operation: str) -> int:
        """Returns how often executors started requests with a key."""
        return sum(
            self.count_runs(request_id)
            for request_id, sent in self.sent.items()
            if sent.arrived.key == key and sent.arrived.operation == operation
        )

    # I7: executors that are leaving.

    def _observe_executors(self) -> None:
        for executor_id, executor in self.world.executors.items():
            if not executor.leaving:
                self.leaving_since.pop(executor_id, None)
                continue
            since = self.leaving_since.setdefault(executor_id, self.world.now)
            if self.world.now <= since + LEAVING_TERM_S:
                continue
            last = max((t[-1] for t in executor.runs.values() if t), default=0)
            if last > since + LEAVING_TERM_S:
                after = last - since
                self.record("I7", executor_id, f"new work after {after:.1f} s")

    # I9: configuration.

    def _observe_configuration(self) -> None:
        item = self.world.store.items.get(CONFIGURATION_KEY)
        if item is not None:
            assert isinstance(item.value, configuration.Document)
            version = item.value.version
            if any(known > version for known in self.accepted):
                self.record("I9", "store", f"fell to version {version}")
            self.accepted.setdefault(version, self.world.now)
        if self.world.now < self.checked_at + CHECK_PERIOD_S:
            last = self.world.history[-1][1] if self.world.history else ""
            if last in self.world.nodes:
                self._check_version(last, self.world.nodes[last])
            return
        self.checked_at = self.world.now
        for node_id, node in self.world.nodes.items():
            self._check_version(node_id, node)

    def _check_version(self, node_id: str, node: world_module.Node) -> None:
        incarnation = node.state.identity.incarnation
        version = node.state.configuration.document.version
        before = self.in_force.get(incarnation)
        if before is None or self._is_disturbed(node_id, node):
            self.disturbed[node_id] = self.world.now
        if before is not None and version < before:
            self.record("I9", incarnation, f"fell from {before} to {version}")
        self.in_force[incarnation] = version
        if version and version not in self.accepted:
            self.record("I9", incarnation, f"{version} was never accepted")
        since = self.disturbed[node_id]
        for number, at in self.accepted.items():
            late = self.world.now > max(since, at) + CONFIGURATION_TERM_S
            if late and version < number:
                self.record("I9", incarnation, f"{number} is not in force")

    def _is_disturbed(self, node_id: str, node: world_module.Node) -> bool:
        faults = self.world.faults
        return (
            not node.alive
            or self.world.now < node.paused_until
            or faults.store_down
            or any(node_id in pair for pair in faults.cut)
        )


def list_finished(
    progress: jobs.Progress, data_centre: str
) -> Iterator[TaskName]:
    """Yields the tasks that a partition has committed as finished."""
    for job_id, ranges in progress.finished.items():
        for part in ranges:
            for number in range(part.first, part.last + 1):
                yield TaskName(data_centre, job_id, number)
