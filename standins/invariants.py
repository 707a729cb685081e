"""Checks the invariants of the design page after each event of a simulation.

The checks read the state of the stand-ins and the outcomes. They don't rely on
the state of entry instances, except for the configuration version in force.
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

# Time that the system has to answer after a caller's deadline, to send no more
# work to a leaving executor and to spread a configuration version. An answer
# may follow the deadline since the timeout of a store call may exceed it.
ANSWER_LIMIT_S = 5.0
LEAVING_LIMIT_S = 5.0
CONFIGURATION_LIMIT_S = 10.0
# The version of an instance changes only with an event of this instance, and is
# checked after it. Late versions and network partitions are checked for all
# instances at this interval.
CHECK_INTERVAL_S = 0.1
EVENTS_SHOWN = 12
CONFIGURATION_KEY = "configuration"


@attrs.frozen
class Violation:
    """A violation of an invariant.

    Attributes:
        invariant: Name of the invariant on the design page.
        at: Virtual time, in seconds.
        detail: What was seen.
        recent_events: The events before it, oldest first.
    """

    invariant: str
    at: float
    detail: str
    recent_events: tuple[str, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.invariant} at {self.at:.3f}: {self.detail}"]
        return "\n    ".join([*lines, *self.recent_events])


@attrs.frozen
class TaskName:
    """Identifies a task across its attempts."""

    data_centre: str
    job_id: str
    task: int


@attrs.define
class Start:
    """A start of an attempt on a worker.

    Attributes:
        attempt: Number of the attempt.
        worker_id: Id of the worker.
        worker: Incarnation of the worker that started it.
        name: Name of the attempt, as the worker lists it.
    """

    attempt: int
    worker_id: str
    worker: worker_model.Worker
    name: str


@attrs.frozen
class SentRequest:
    """A request that a caller sent.

    Attributes:
        arrived: The request.
        repeatable: Whether its operation is repeatable.
        instance: Entry instance that accepted it; it may have ended since.
    """

    arrived: request_messages.RequestArrived
    repeatable: bool
    instance: world_module.Node


def is_running(task: worker_model.Task, worker: worker_model.Worker) -> bool:
    """Returns whether an attempt runs at the worker's current time."""
    return task.state == "running" and task.lease_until > worker.now


def predict_end(task: worker_model.Task, worker: worker_model.Worker) -> float:
    """Returns when an attempt ends if the worker gets no further calls."""
    if task.state != "running":
        return worker.now
    rate = max(task.throttle, 1e-9)
    return min(task.lease_until, worker.now + task.work_left_s / rate)


@attrs.define
class Monitor:
    """Checks a simulation after each event and records violations.

    Attributes:
        world: The simulation.
        violations: Violations that were found.
        starts: Starts by task, over all incarnations of workers.
        starts_read: Number of starts that were checked, by worker. A restarted
            worker keeps its list of starts.
        finished: Tasks that were ever committed as finished, by key of the
            progress record.
        progress_seen: Revision at which each progress record was checked last.
        sent: Requests by id.
        open_requests: Ids of the requests without an answer.
        leaving_since: Time at which an executor began to report that it is
            leaving.
        versions_in_force: Configuration version in force, by incarnation of an
            entry instance.
        accepted_at: Time at which each configuration version was accepted.
        disturbed_at: Time at which an entry instance was last seen paused,
            disconnected, in a store outage or not yet checked.
        checked_revision: Store revision up to which progress was checked.
        checked_at: Time at which all entry instances were checked last.
        reported: Invariant and subject of the violations.
    """

    world: world_module.World
    violations: list[Violation] = attrs.field(factory=list)
    starts: dict[TaskName, list[Start]] = attrs.field(factory=dict)
    starts_read: dict[str, int] = attrs.field(factory=dict)
    finished: dict[str, set[TaskName]] = attrs.field(factory=dict)
    progress_seen: dict[str, int] = attrs.field(factory=dict)
    sent: dict[str, SentRequest] = attrs.field(factory=dict)
    open_requests: set[str] = attrs.field(factory=set)
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    versions_in_force: dict[str, int] = attrs.field(factory=dict)
    accepted_at: dict[int, float] = attrs.field(factory=dict)
    disturbed_at: dict[str, float] = attrs.field(factory=dict)
    checked_revision: int = 0
    checked_at: float = 0.0
    reported: set[tuple[str, str]] = attrs.field(factory=set)

    def attach(self) -> None:
        """Registers the checks as an observer of the simulation."""
        self.world.observers.append(lambda _: self.observe())

    def observe(self) -> None:
        """Checks everything that an event can have changed."""
        self._observe_workers()
        self._observe_progress()
        for request_id in list(self.open_requests):
            self._check_request(request_id)
        self._observe_executors()
        self._observe_configuration()

    def finish(self) -> None:
        """Checks all requests at the end, also for missing answers."""
        for request_id, sent in self.sent.items():
            self._check_request(request_id)
            due = sent.arrived.deadline + ANSWER_LIMIT_S
            late = sent.instance.alive and self.world.now > max(
                due, sent.instance.paused_until + ANSWER_LIMIT_S
            )
            if late and not self.world.answers.get(request_id):
                self.record_violation("I4", request_id, "got no answer")

    def record_violation(
        self, invariant: str, subject: str, detail: str
    ) -> None:
        """Records a violation once for each subject."""
        if (invariant, subject) in self.reported:
            return
        self.reported.add((invariant, subject))
        recent_events = tuple(
            f"{at:.3f} {node} {event!r:.200}"
            for at, node, event in list(self.world.history)[-EVENTS_SHOWN:]
        )
        self.violations.append(
            Violation(
                invariant, self.world.now, f"{subject}: {detail}", recent_events
            )
        )

    def record_request(
        self,
        arrived: request_messages.RequestArrived,
        repeatable: bool,
        instance: world_module.Node,
    ) -> None:
        """Records a request of a caller and the instance that gets it."""
        self.sent[arrived.request_id] = SentRequest(
            arrived, repeatable, instance
        )
        self.open_requests.add(arrived.request_id)

    # I1 to I3: batch work.

    def _observe_workers(self) -> None:
        for worker_id, worker in self.world.workers.items():
            first = self.starts_read.get(worker_id, 0)
            if len(worker.started) == first:
                continue
            self.starts_read[worker_id] = len(worker.started)
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
            self.record_violation(
                "I1", worker_id, f"{len(amounts)} reservations"
            )

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
                self.record_violation(
                    "I2", name, f"{other.name} still runs on {other.worker_id}"
                )
            if other.attempt >= start.attempt:
                self.record_violation(
                    "I3", name, f"follows attempt {other.attempt}"
                )
        if any(task in done for done in self.finished.values()):
            self.record_violation(
                "I3", name, "was committed as finished before"
            )
        earlier.append(start)

    def is_still_running(self, start: Start) -> bool:
        """Returns whether a started attempt runs now."""
        # The tasks of a worker end when it restarts.
        current = self.world.workers[start.worker_id]
        task = start.worker.tasks.get(start.name)
        if task is None or current is not start.worker:
            return False
        return predict_end(task, start.worker) > self.world.now

    def _observe_progress(self) -> None:
        if self.checked_revision == self.world.store.revision:
            return
        self.checked_revision = self.world.store.revision
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
                self.record_violation("I3", str(task), "is no longer committed")
        self.finished[key] = before | done
        for task in done - before:
            if task not in self.starts:
                self.record_violation(
                    "I3", str(task), "was committed but never started"
                )
            for other, names in self.finished.items():
                if other != key and task in names:
                    self.record_violation(
                        "I3", str(task), f"was committed in {other} too"
                    )

    def _is_active(self, task: TaskName) -> bool:
        # The progress record drops the tasks of a job that has ended and of a
        # slice that the job record lists as done.
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
            self.record_violation("I4", request_id, f"{len(answers)} answers")
        for outcome in answers:
            self._check_outcome(sent, outcome, runs)
        if sent.arrived.key and not sent.repeatable:
            self._check_key(sent.arrived)
        if answers:
            self.open_requests.discard(request_id)

    def _check_outcome(
        self, sent: SentRequest, outcome: outcomes.Outcome, runs: int
    ) -> None:
        request_id = sent.arrived.request_id
        match outcome:
            case outcomes.Answered(body=body) if body != sent.arrived.body:
                self.record_violation(
                    "I4", request_id, f"was answered with {body!r:.80}"
                )
            case outcomes.NotRun(code=code) if runs:
                self.record_violation(
                    "I5", request_id, f"{code} but it ran {runs} times"
                )

    def _check_key(self, arrived: request_messages.RequestArrived) -> None:
        runs = self.count_key_runs(arrived.key, arrived.operation)
        if runs > 1:
            self.record_violation(
                "I6", f"key {arrived.key}", f"ran {runs} times"
            )

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
            if self.world.now <= since + LEAVING_LIMIT_S:
                continue
            last = max((t[-1] for t in executor.runs.values() if t), default=0)
            if last > since + LEAVING_LIMIT_S:
                after = last - since
                self.record_violation(
                    "I7", executor_id, f"new work after {after:.1f} s"
                )

    # I9: configuration.

    def _observe_configuration(self) -> None:
        item = self.world.store.items.get(CONFIGURATION_KEY)
        if item is not None:
            assert isinstance(item.value, configuration.Document)
            version = item.value.version
            if any(known > version for known in self.accepted_at):
                self.record_violation(
                    "I9", "store", f"went back to version {version}"
                )
            self.accepted_at.setdefault(version, self.world.now)
        if self.world.now < self.checked_at + CHECK_INTERVAL_S:
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
        before = self.versions_in_force.get(incarnation)
        if before is None or self._is_disturbed(node_id, node):
            self.disturbed_at[node_id] = self.world.now
        if before is not None and version < before:
            self.record_violation(
                "I9", incarnation, f"fell from {before} to {version}"
            )
        self.versions_in_force[incarnation] = version
        if version and version not in self.accepted_at:
            self.record_violation(
                "I9", incarnation, f"{version} was never accepted"
            )
        since = self.disturbed_at[node_id]
        for number, at in self.accepted_at.items():
            late = self.world.now > max(since, at) + CONFIGURATION_LIMIT_S
            if late and version < number:
                self.record_violation(
                    "I9", incarnation, f"{number} is not in force"
                )

    def _is_disturbed(self, node_id: str, node: world_module.Node) -> bool:
        faults = self.world.faults
        return (
            not node.alive
            or self.world.now < node.paused_until
            or faults.store_down
            or any(node_id in pair for pair in faults.disconnected)
        )


def list_finished(
    progress: jobs.Progress, data_centre: str
) -> Iterator[TaskName]:
    """Yields the tasks that a partition has committed as finished."""
    for job_id, ranges in progress.finished.items():
        for part in ranges:
            for number in range(part.first, part.last + 1):
                yield TaskName(data_centre, job_id, number)
