"""Workers that fail what they start are taken out of placement."""

import math

import attrs

from sapphirestall_core import task_messages

# Failures since the last success at which a worker is taken out.
MAX_FAILURES = 3
# Failures and starts whose outcome is open, together. It bounds the tasks that
# a worker fails when they fail only some time after their start.
MAX_EXPOSED = 8
# A task that has run this long counts as started well.
PROVEN_AFTER_S = 5.0
# A trial has to run longer, since the worker is known to fail.
TRIAL_PROVEN_AFTER_S = 60.0
FIRST_DELAY_S = 30.0
MAX_DELAY_S = 3600.0
# A worker whose tasks run for days has no success in between that would tell
# apart a few failures spread over weeks.
FAILURE_MEMORY_S = 600.0


@attrs.frozen
class Failure:
    """A task failed at its start or while it ran."""

    job_id: str
    at: float


@attrs.define
class Record:
    """What is known about one worker.

    Attributes:
        failed: Failures since the last success, oldest first.
        open_starts: Time of each start whose outcome is open.
        trial_at: Time at which a worker on probation gets a trial task.
        trials: Trials that failed in a row.
    """

    failed: list[Failure] = attrs.field(factory=list)
    open_starts: dict[task_messages.AttemptName, float] = attrs.field(
        factory=dict
    )
    trial_at: float = -math.inf
    trials: int = 0

    def is_on_probation(self) -> bool:
        """Tells whether the worker gets trial tasks at most."""
        return len(self.failed) >= MAX_FAILURES


@attrs.define
class Probation:
    """Records of the workers that have open starts or failures."""

    records: dict[str, Record] = attrs.field(factory=dict)

    def count_room(self, worker_id: str, now: float) -> int:
        """Returns how many tasks the worker may be given now."""
        record = self.records.get(worker_id)
        if record is None:
            return MAX_EXPOSED
        _settle(record, now)
        if record.is_on_probation():
            idle = not record.open_starts
            return 1 if idle and now >= record.trial_at else 0
        exposed = len(record.failed) + len(record.open_starts)
        return max(0, MAX_EXPOSED - exposed)

    def is_on_probation(self, worker_id: str) -> bool:
        """Tells whether a worker gets trial tasks at most."""
        record = self.records.get(worker_id)
        return record is not None and record.is_on_probation()

    def record_start(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> None:
        """Records that a start was sent."""
        record = self.records.setdefault(worker_id, Record())
        record.open_starts[name] = now

    def record_success(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task finished; the worker is trusted again."""
        record = self.records.get(worker_id)
        if record is None:
            return
        record.open_starts.pop(name, None)
        record.failed.clear()
        record.trials = 0

    def record_withdrawal(
        self, worker_id: str, name: task_messages.AttemptName
    ) -> None:
        """Records that a task ended for a reason outside the worker."""
        record = self.records.get(worker_id)
        if record is not None:
            record.open_starts.pop(name, None)

    def record_failure(
        self, worker_id: str, name: task_messages.AttemptName, now: float
    ) -> bool:
        """Records that a task failed on the worker.

        Returns:
            Whether the worker is on probation now.
        """
        record = self.records.setdefault(worker_id, Record())
        on_trial = record.is_on_probation()
        record.open_starts.pop(name, None)
        record.failed.append(Failure(name.job_id, now))
        del record.failed[:-MAX_EXPOSED]
        if on_trial and now >= record.trial_at:
            record.trials += 1
        if record.is_on_probation():
            delay_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0**record.trials)
            record.trial_at = now + delay_s
        return record.is_on_probation()

    def forgive(self, job_id: str) -> None:
        """Drops the failures of a job that failed on several workers."""
        for record in self.records.values():
            record.failed = [f for f in record.failed if f.job_id != job_id]


def _settle(record: Record, now: float) -> None:
    """Counts starts as good that have run long enough."""
    on_trial = record.is_on_probation()
    term_s = TRIAL_PROVEN_AFTER_S if on_trial else PROVEN_AFTER_S
    proven = [
        name
        for name, started_at in record.open_starts.items()
        if now - started_at >= term_s
    ]
    for name in proven:
        del record.open_starts[name]
    if proven and on_trial:
        record.failed.clear()
        record.trials = 0
    if not on_trial:
        oldest = now - FAILURE_MEMORY_S
        record.failed = [f for f in record.failed if f.at > oldest]
