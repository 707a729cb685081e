"""Probation of workers on which tasks fail.

A worker on probation gets one trial task at a time, after growing delays, until
a trial succeeds. Without it, a faulty worker whose tasks fail at once would
always look free and attract all waiting tasks. Failures are weighed against the
share of tasks that fail on sound workers: three in a row say little where many
tasks fail by themselves.
"""

import math

import attrs

from sapphirestall_core import failure_shares
from sapphirestall_core import task_messages

# Lowest number of failures since the last success that puts a worker on
# probation. More are needed where many tasks fail on sound workers too.
FEWEST_FAILURES = 3
# Limit of a worker's failures and unproven starts, together. It bounds how many
# tasks a faulty worker fails if they fail only some time after their start.
MAX_TASKS_AT_RISK = 8
# A task that has run this long counts as started without failure.
PROVEN_AFTER_S = 5.0
# A trial task has to run this long, since its worker has failed tasks before.
TRIAL_PROVEN_AFTER_S = 60.0
FIRST_TRIAL_DELAY_S = 30.0
MAX_TRIAL_DELAY_S = 3600.0
# Failures older than this are dropped. A worker whose tasks run for days has no
# success that would reset the count, so that a few unrelated failures over
# several weeks would put it on probation.
FAILURE_RETENTION_S = 600.0


@attrs.frozen
class Failure:
    """A task's failure, at its start or later.

    Attributes:
        at: Monotonic time of the failure, in seconds.
    """

    job_id: str
    at: float


@attrs.define
class WorkerRecord:
    """Failures and unproven starts of one worker.

    Attributes:
        failures: Failures since the last success, oldest first.
        unproven_starts: Monotonic time, in seconds, of the start of each task
            that has neither ended nor run long enough to count as started
            without failure.
        on_probation: Whether the worker gets only trial tasks.
        next_trial_at: Monotonic time in seconds from which on a worker on
            probation may get a trial task.
        failed_trials: Number of trials that failed in a row.
    """

    failures: list[Failure] = attrs.field(factory=list)
    unproven_starts: dict[task_messages.AttemptName, float] = attrs.field(
        factory=dict
    )
    on_probation: bool = False
    next_trial_at: float = -math.inf
    failed_trials: int = 0

    def shows_fault(self, share: failure_shares.FailureShare) -> bool:
        """Returns whether the failures seem to have their cause in the worker.

        They do at `MAX_TASKS_AT_RISK` too, whatever share of tasks fails: the
        worker would get no starts at all.

        Args:
            share: Share of tasks that fail on sound workers.
        """
        count = len(self.failures)
        return count >= MAX_TASKS_AT_RISK or (
            count >= FEWEST_FAILURES and share.makes_unlikely(count)
        )

    def end_probation(self) -> None:
        """Forgets the failures, after a success."""
        self.failures.clear()
        self.on_probation = False
        self.failed_trials = 0


@attrs.define
class Probation:
    """Records of all workers that got a start or failed a task.

    Attributes:
        records: Records by worker id.
        failed_share: Share of tasks that fail on sound workers.
    """

    records: dict[str, WorkerRecord] = attrs.field(factory=dict)
    failed_share: failure_shares.FailureShare = attrs.field(
        factory=failure_shares.assume_failed_runs
    )

    def count_allowed_starts(self, worker_id: str, now: float) -> int:
        """Returns how many tasks may be started on a worker now."""
        record = self.records.get(worker_id)
        if record is None:
            return MAX_TASKS_AT_RISK
        _accept_long_runs(record, now)
        if record.on_probation:
            idle = not record.unproven_starts
            return 1 if idle and now >= record.next_trial_at else 0
        at_risk = len(record.failures) + len(record.unproven_starts)
        return max(0, MAX_TASKS_AT_RISK - at_risk)

    def is_on_probation(self, worker_id: str) -> bool:
        """Returns whether a worker gets only trial tasks."""
        record = self.records.get(worker_id)
        return record is not None and record.on_probation

    def count_failures(self, worker_id: str) -> int:
        """Returns the number of failures since the last success."""
        record = self.records.get(worker_id)
        return len(record.failures) if record is not None else 0

    def record_start(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> None:
        """Records that a start command was sent to a worker."""
        record = self.records.setdefault(worker_id, WorkerRecord())
        record.unproven_starts[name] = now

    def record_success(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task finished, which ends a probation."""
        record = self.records.get(worker_id)
        if record is None:
            return
        record.unproven_starts.pop(name, None)
        self.failed_share.record(1, len(record.failures))
        record.end_probation()

    def record_withdrawal(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task ended for a reason other than the worker."""
        record = self.records.get(worker_id)
        if record is not None:
            record.unproven_starts.pop(name, None)

    def record_failure(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> bool:
        """Records that a task failed on a worker.

        Returns:
            Whether the worker is now on probation.
        """
        record = self.records.setdefault(worker_id, WorkerRecord())
        on_trial = record.on_probation
        record.unproven_starts.pop(name, None)
        record.failures.append(Failure(name.job_id, now))
        del record.failures[:-MAX_TASKS_AT_RISK]
        if on_trial and now >= record.next_trial_at:
            record.failed_trials += 1
        record.on_probation = on_trial or record.shows_fault(self.failed_share)
        if record.on_probation:
            delay_s = min(
                MAX_TRIAL_DELAY_S,
                FIRST_TRIAL_DELAY_S * 2.0**record.failed_trials,
            )
            record.next_trial_at = now + delay_s
        return record.on_probation

    def drop_job_failures(self, job_id: str) -> None:
        """Drops the failures of a job whose tasks fail on several workers.

        The job is the cause, so they do not count against the workers.
        """
        for record in self.records.values():
            record.failures = [f for f in record.failures if f.job_id != job_id]
            record.on_probation = record.on_probation and record.shows_fault(
                self.failed_share
            )


def _accept_long_runs(record: WorkerRecord, now: float) -> None:
    """Drops starts that have run long enough, and outdated failures.

    A trial task that has run long enough ends the probation.
    """
    on_trial = record.on_probation
    term_s = TRIAL_PROVEN_AFTER_S if on_trial else PROVEN_AFTER_S
    proven = [
        name
        for name, started_at in record.unproven_starts.items()
        if now - started_at >= term_s
    ]
    for name in proven:
        del record.unproven_starts[name]
    if proven and on_trial:
        record.end_probation()
    if not on_trial:
        oldest = now - FAILURE_RETENTION_S
        record.failures = [f for f in record.failures if f.at > oldest]
