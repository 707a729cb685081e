"""Commits: transactions that store the progress and final states of jobs.

One commit stores the effects of many ended runs. A worker may discard an ended
run only when its effect is in the store. The position that polls acknowledge is
therefore raised when the store has confirmed the commit.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "commits"
# Delay of a commit, so that several ends of runs share it; final states are not
# delayed. An owner of 16 workers receives about 20 ends per second, and each
# commit is charged for.
COMMIT_DELAY_S = 0.06
RETRY_S = 0.15
# Limit of the store for the expectations, writes and removals of one
# transaction together.
MAX_ENTRIES = 32


@attrs.frozen
class Commit(store_messages.Purpose):
    """Purpose of the write of the progress or final states of jobs.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
        job_ids: Jobs whose progress or final state is written.
        acknowledged: For each incarnation of a worker, the position up to which
            the effects of its ended runs are in the store once this commit is
            confirmed.
    """

    partition: str
    token: int
    job_ids: tuple[str, ...]
    acknowledged: dict[worker_messages.Target, int]


@attrs.frozen
class JobReread(store_messages.Purpose):
    """Purpose of the read of a job's record after a write conflict.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
        job_id: Id of the job.
        revision: Store revision of the record that the owner knew.
        move_outcome_known: Whether the conflict was that of a move, which
            therefore cannot take effect any more.
    """

    partition: str
    token: int
    job_id: str
    revision: int
    move_outcome_known: bool = False


@attrs.frozen
class JobRereadDue(messages.Timer):
    """Timer to repeat a failed read of a job's record."""

    purpose: JobReread


@attrs.frozen
class CommitDue(messages.Timer):
    """Timer to start a commit."""

    partition: str
    token: int


@attrs.frozen
class EndsCommitted(messages.Event):
    """Reports that the effects of ended runs of some workers are stored.

    Attributes:
        partition: Name of the partition.
        workers: Workers whose ended runs may now be acknowledged.
    """

    partition: str
    workers: tuple[str, ...]


def mark_dirty(partition: state.Partition, job: state.Job) -> dispatch.Effects:
    """Marks a job as having unstored changes and requests a commit."""
    partition.dirty_jobs[job.record.job_id] = job
    return request_commit(
        partition, 0.0 if job.final_state is not None else COMMIT_DELAY_S
    )


def request_commit(
    partition: state.Partition, delay_s: float = COMMIT_DELAY_S
) -> dispatch.Effects:
    """Schedules a commit, unless one is scheduled or in flight.

    Args:
        partition: The partition.
        delay_s: Time until the commit starts, in seconds.
    """
    if partition.commit_in_flight or partition.commit_scheduled:
        return []
    partition.commit_scheduled = True
    timer = CommitDue(partition.name, partition.token)
    return [messages.StartTimer(timer, delay_s)]


@dispatch.handle_timer.register(CommitDue)
def start_commit(
    timer: CommitDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Writes unstored changes of jobs, final states first."""
    partition = batch.find_owned(timer.partition, timer.token)
    if partition is None:
        return []
    partition.commit_scheduled = False
    if partition.commit_in_flight:
        return []
    positions = {
        worker.target: worker.processed_position
        for worker in partition.workers.values()
        if worker.processed_position > worker.acknowledged_position
    }
    if not partition.dirty_jobs:
        return _acknowledge(batch, partition, positions, now)
    wall_clock_ms = round((now + batch.identity.wall_clock_offset_s) * 1000)
    owner = (records.make_owner_key(partition.name), partition.token)
    entries = Entries([owner])
    chosen = []
    for job in sorted(
        partition.dirty_jobs.values(), key=lambda job: job.final_state is None
    ):
        if job.reread_in_flight:
            # This commit leaves out some ends of runs, so it may acknowledge
            # none.
            positions = {}
            continue
        more = _list_entries(partition, job, wall_clock_ms)
        if entries.count() + more.count() > MAX_ENTRIES:
            positions = {}
            break
        entries.add(more)
        chosen.append(job.record.job_id)
    if not chosen:
        return []
    for job_id in chosen:
        partition.dirty_jobs.pop(job_id)
    partition.commit_in_flight = True
    partition.commit_sent_at = now
    purpose = Commit(partition.name, partition.token, tuple(chosen), positions)
    return [
        store_messages.StoreTransaction(
            purpose,
            tuple(entries.expected),
            tuple(entries.puts),
            tuple(entries.removals),
        )
    ]


@attrs.define
class Entries:
    """Entries of a transaction.

    Attributes:
        expected: Pairs of a key and the store revision that it must have.
        puts: Keys to write.
        removals: Keys to remove.
    """

    expected: list[tuple[str, int]] = attrs.field(factory=list)
    puts: list[store_messages.Put] = attrs.field(factory=list)
    removals: list[str] = attrs.field(factory=list)

    def count(self) -> int:
        """Returns the number of entries."""
        return len(self.expected) + len(self.puts) + len(self.removals)

    def add(self, other: "Entries") -> None:
        """Appends the entries of another transaction."""
        self.expected += other.expected
        self.puts += other.puts
        self.removals += other.removals


def _list_entries(
    partition: state.Partition, job: state.Job, wall_clock_ms: int
) -> Entries:
    """Returns the entries that write a job's progress or final state."""
    job_id = job.record.job_id
    progress_key = records.make_progress_key(partition.name, job_id)
    # The transaction fails if a caller has cancelled the job, which removes its
    # record.
    entries = Entries(
        [
            (records.make_job_key(partition.name, job_id), job.revision),
            (progress_key, job.progress_revision),
        ]
    )
    if job.final_state is None:
        put = store_messages.Put(progress_key, jobs.make_progress(job))
        entries.puts.append(put)
        return entries
    state_record = records.make_accepted_state(job.record)
    entries.puts, entries.removals = jobs.make_final_writes(
        state_record, job_id, job.final_state, wall_clock_ms
    )
    if not job.progress_revision:
        entries.removals.remove(progress_key)
    return entries


@dispatch.handle_store_reply.register(Commit)
def handle_commit(
    purpose: Commit,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Acknowledges ended runs if the commit succeeded, else tries again."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.commit_in_flight = False
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Committed):
        return _apply_commit(batch, partition, purpose, outcome, now)
    if isinstance(outcome, store_messages.Conflict):
        return _handle_conflict(batch, partition, purpose, outcome, now)
    _mark_dirty_again(partition, purpose)
    return [
        messages.CountRetry(PART, "store_unavailable"),
        *request_commit(partition, RETRY_S),
    ]


def _mark_dirty_again(partition: state.Partition, purpose: Commit) -> None:
    for job_id in purpose.job_ids:
        job = partition.jobs.get(job_id)
        if job is not None:
            partition.dirty_jobs[job_id] = job


def _apply_commit(
    batch: state.Batch,
    partition: state.Partition,
    purpose: Commit,
    outcome: store_messages.Committed,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    for job_id in purpose.job_ids:
        job = partition.jobs.get(job_id)
        if job is None:
            continue
        if job.final_state is None or job_id in partition.dirty_jobs:
            job.progress_revision = outcome.revision
            continue
        partition.jobs.pop(job_id)
        partition.removed_jobs[job_id] = state.RemovedJob(
            job_id, outcome.revision, now
        )
        effects.append(
            jobs.make_log(
                "ended",
                job_id,
                state=job.final_state.value,
                queue=job.queue.name,
                took_s=round(now - job.accepted_at, 3),
                revision=outcome.revision,
            )
        )
    effects += _acknowledge(batch, partition, purpose.acknowledged, now)
    if partition.dirty_jobs:
        effects += request_commit(partition, 0.0)
    return effects


def _handle_conflict(
    batch: state.Batch,
    partition: state.Partition,
    purpose: Commit,
    outcome: store_messages.Conflict,
    now: float,
) -> dispatch.Effects:
    """Retries with the store's revisions, or resigns if the owner has changed.

    A record may have been changed by an earlier commit whose answer was lost,
    or by a caller's cancellation. Only the owner writes progress records, so it
    may overwrite them.
    """
    owner_key = records.make_owner_key(partition.name)
    if outcome.revisions.get(owner_key, 0) != partition.token:
        return ownership.resign(batch, partition.name, "conflict", now)
    _mark_dirty_again(partition, purpose)
    effects: dispatch.Effects = []
    for job_id in purpose.job_ids:
        job = partition.jobs.get(job_id)
        if job is None:
            continue
        key = records.make_progress_key(partition.name, job_id)
        job.progress_revision = outcome.revisions.get(
            key, job.progress_revision
        )
        job_key = records.make_job_key(partition.name, job_id)
        if outcome.revisions.get(job_key, job.revision) != job.revision:
            effects.append(read_record(partition, job_id, job.revision))
            job.reread_in_flight = True
    return effects + request_commit(partition, 0.0)


def read_record(
    partition: state.Partition,
    job_id: str,
    revision: int,
    move_outcome_known: bool = False,
) -> store_messages.StoreEffect:
    """Returns the store call that reads a job's record after a conflict.

    Args:
        partition: The partition.
        job_id: Id of the job.
        revision: Store revision of the record that the owner knew.
        move_outcome_known: Whether the conflict was that of a move.
    """
    return store_messages.StoreGet(
        JobReread(
            partition.name,
            partition.token,
            job_id,
            revision,
            move_outcome_known,
        ),
        records.make_job_key(partition.name, job_id),
        records.JobRecord,
    )


@dispatch.handle_timer.register(JobRereadDue)
def read_record_again(
    timer: JobRereadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats a read of a job's record.

    The job's changes are not committed until the record is known.
    """
    partition = batch.find_owned(timer.purpose.partition, timer.purpose.token)
    if partition is None:
        return []
    purpose = timer.purpose
    return [
        read_record(
            partition,
            purpose.job_id,
            purpose.revision,
            purpose.move_outcome_known,
        )
    ]


@attrs.frozen
class RecordObserved(messages.Event):
    """Reports that a job's record was written, read again or removed.

    Attributes:
        partition: Name of the partition.
        observed: The record, or its removal.
        settled_move: Store revision of the record that a move expected which
            is known to have taken effect or to have failed; 0 if there is none.
    """

    partition: str
    observed: state.LoadedJob | state.RemovedJob
    settled_move: int = 0


@attrs.frozen
class RecordAbsent(messages.Event):
    """Reports that a read after a conflict found no record of a job.

    Attributes:
        partition: Name of the partition.
        job_id: Id of the job.
        revision: Store revision of the record that the owner knew before.
    """

    partition: str
    job_id: str
    revision: int


@dispatch.handle_store_reply.register(JobReread)
def apply_record(
    purpose: JobReread,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies a job record that was read again after a conflict."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Found):
        assert isinstance(outcome.value, records.JobRecord)
        loaded = state.LoadedJob(
            outcome.value, outcome.revision, outcome.create_revision
        )
        expected = purpose.revision if purpose.move_outcome_known else 0
        event = RecordObserved(partition.name, loaded, expected)
        return dispatch.handle(event, batch, now)
    if isinstance(outcome, store_messages.Absent):
        return dispatch.handle(
            RecordAbsent(partition.name, purpose.job_id, purpose.revision),
            batch,
            now,
        )
    return [messages.StartTimer(JobRereadDue(purpose), RETRY_S, 0.3)]


def _acknowledge(
    batch: state.Batch,
    partition: state.Partition,
    positions: dict[worker_messages.Target, int],
    now: float,
) -> dispatch.Effects:
    """Acknowledges ends of runs, but none of a later incarnation of a worker.

    Each incarnation numbers its ends from 1, so that it would discard ends that
    nobody has seen.
    """
    advanced = []
    for target, position in positions.items():
        worker = partition.workers.get(target.worker_id)
        if worker is None or worker.target != target:
            continue
        if position > worker.acknowledged_position:
            worker.acknowledged_position = position
            advanced.append(target.worker_id)
    if not advanced:
        return []
    event = EndsCommitted(partition.name, tuple(advanced))
    return dispatch.handle(event, batch, now)
