"""Workers that fail what they start are taken out of placement."""

import math

import attrs

from sapphirestall_core import task_messages

# Failures since the last success at which a worker is taken out.
FAILURES_FOR_PROBATION = 3
# Failures and starts whose outcome is open, together. It bounds the tasks that
# a worker fails when they fail only some time after their start.
MAX_TASKS_AT_RISK = 8
# A task that has run this long counts as started well.
PROVEN_AFTER_S = 5.0
# A trial has to run longer, since the worker is known to fail.
TRIAL_PROVEN_AFTER_S = 60.0
FIRST_TRIAL_DELAY_S = 30.0
MAX_TRIAL_DELAY_S = 3600.0
# A worker whose tasks run for days has no success in between that would tell
# apart a few failures spread over weeks.
FAILURE_MEMORY_S = 600.0


@attrs.frozen
class Failure:
    """A task failed at its start or while it ran."""

    job_id: str
    at: float


@attrs.define
class WorkerRecord:
    """What is known about one worker.

    Attributes:
        failed: Failures since the last success, oldest first.
        open_starts: Time of each start whose outcome is open.
        trial_at: Time at which a worker on probation gets a trial task.
        trials: Trials that failed in a row.
    """

    failures: list[Failure] = attrs.field(factory=list)
    unproven_starts: dict[task_messages.AttemptName, float] = attrs.field(
        factory=dict
    )
    next_trial_at: float = -math.inf
    failed_trials: int = 0

    def is_on_probation(self) -> bool:
        """Tells whether the worker gets trial tasks at most."""
        return len(self.failures) >= FAILURES_FOR_PROBATION


@attrs.define
class Probation:
    """Records of the workers that have open starts or failures."""

    records: dict[str, WorkerRecord] = attrs.field(factory=dict)

    def count_allowed_starts(self, worker_id: str, now: float) -> int:
        """Returns how many tasks the worker may be given now."""
        record = self.records.get(worker_id)
        if record is None:
            return MAX_TASKS_AT_RISK
        _accept_long_runs(record, now)
        if record.is_on_probation():
            idle = not record.unproven_starts
            return 1 if idle and now >= record.next_trial_at else 0
        at_risk = len(record.failures) + len(record.unproven_starts)
        return max(0, MAX_TASKS_AT_RISK - at_risk)

    def is_on_probation(self, worker_id: str) -> bool:
        """Tells whether a worker gets trial tasks at most."""
        record = self.records.get(worker_id)
        return record is not None and record.is_on_probation()

    def record_start(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> None:
        """Records that a start was sent."""
        record = self.records.setdefault(worker_id, WorkerRecord())
        record.unproven_starts[name] = now

    def record_success(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task finished; the worker is trusted again."""
        record = self.records.get(worker_id)
        if record is None:
            return
        record.unproven_starts.pop(name, None)
        record.failures.clear()
        record.failed_trials = 0

    def record_withdrawal(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task ended for a reason outside the worker."""
        record = self.records.get(worker_id)
        if record is not None:
            record.unproven_starts.pop(name, None)

    def record_failure(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> bool:
        """Records that a task failed on the worker.

        Returns:
            Whether the worker is on probation now.
        """
        record = self.records.setdefault(worker_id, WorkerRecord())
        on_trial = record.is_on_probation()
        record.unproven_starts.pop(name, None)
        record.failures.append(Failure(name.job_id, now))
        del record.failures[:-MAX_TASKS_AT_RISK]
        if on_trial and now >= record.next_trial_at:
            record.failed_trials += 1
        if record.is_on_probation():
            delay_s = min(
                MAX_TRIAL_DELAY_S,
                FIRST_TRIAL_DELAY_S * 2.0**record.failed_trials,
            )
            record.next_trial_at = now + delay_s
        return record.is_on_probation()

    def forget_job_failures(self, job_id: str) -> None:
        """Drops the failures of a job that failed on several workers."""
        for record in self.records.values():
            record.failures = [f for f in record.failures if f.job_id != job_id]


def _accept_long_runs(record: WorkerRecord, now: float) -> None:
    """Counts starts as good that have run long enough."""
    on_trial = record.is_on_probation()
    term_s = TRIAL_PROVEN_AFTER_S if on_trial else PROVEN_AFTER_S
    proven = [
        name
        for name, started_at in record.unproven_starts.items()
        if now - started_at >= term_s
    ]
    for name in proven:
        del record.unproven_starts[name]
    if proven and on_trial:
        record.failures.clear()
        record.failed_trials = 0
    if not on_trial:
        oldest = now - FAILURE_MEMORY_S
        record.failures = [f for f in record.failures if f.at > oldest]
