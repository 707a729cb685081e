"""Writes of the moves of jobs and tasks.

A move is one store transaction that writes all copies of the record. It has an
effect only if this instance still owns the partition and the record has not
changed since it was read.
"""

import collections

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import task_moves

PART = "balance"
# Mean time until a write with unknown outcome is repeated, in seconds.
MOVE_RETRY_S = 0.2


@attrs.frozen
class MoveWrite(store_messages.Purpose):
    """Purpose of the write of a job's record that moves the job or its tasks.

    Attributes:
        partition: Partition whose owner makes the move.
        token: Fencing token of the owner.
        loaded: The changed record, with the revisions of the record that it
            replaces.
    """

    partition: str
    token: int
    loaded: state.LoadedJob


@attrs.frozen
class MoveRetryDue(messages.Timer):
    """Timer to repeat the write of a move whose outcome is unknown.

    Attributes:
        purpose: The write that is repeated.
    """

    purpose: MoveWrite


def start_move(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    record: records.JobRecord,
    now: float,
) -> dispatch.Effects:
    """Starts the write of a planned move."""
    job.move_in_flight = True
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    return [
        _make_log(batch, partition, job, record, now),
        _make_move_write(
            partition, MoveWrite(partition.name, partition.token, loaded)
        ),
    ]


def _make_log(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    record: records.JobRecord,
    now: float,
) -> messages.Log:
    """Returns the log line of a move.

    For each partition that tasks move to it has their number, and of all these
    tasks the number of those that were tried elsewhere since their last run.
    """
    moved = task_moves.list_moves(job, record)
    counts = collections.Counter(move.partition for move in moved)
    targets = ",".join(f"{name}:{counts[name]}" for name in sorted(counts))
    fields = {
        "job": record.job_id,
        "from": partition.name,
        "to": targets or record.partition,
        "tasks": len(moved),
        "moved_again": sum(len(move.tried) > 1 for move in moved),
        "summary_age_s": round(now - batch.summaries_read_at, 3),
    }
    return messages.Log(PART, "move", fields)


def _make_move_write(
    partition: state.Partition, purpose: MoveWrite
) -> store_messages.StoreTransaction:
    """Returns the transaction of a move.

    It writes all copies of the job's record and the job's state. If the whole
    job moves, it also moves the progress record.
    """
    record = purpose.loaded.record
    job = partition.jobs[record.job_id]
    expected = [
        (records.make_owner_key(partition.name), partition.token),
        (
            records.make_job_key(partition.name, record.job_id),
            purpose.loaded.revision,
        ),
    ]
    copies = records.list_partitions(record)
    puts = [
        store_messages.Put(records.make_job_key(name, record.job_id), record)
        for name in copies
    ]
    state_key = records.make_state_key(record.job_id)
    puts.append(
        store_messages.Put(state_key, records.make_accepted_state(record))
    )
    removals = [
        records.make_job_key(name, record.job_id)
        for name in records.list_partitions(job.record)
        if name not in copies
    ]
    if record.partition != job.record.partition:
        old_key = records.make_progress_key(partition.name, record.job_id)
        # The transaction has no effect if the store has a progress record that
        # this owner does not know.
        expected.append((old_key, job.progress_revision))
        if job.progress_revision:
            new_key = records.make_progress_key(record.partition, record.job_id)
            puts.append(store_messages.Put(new_key, jobs.make_progress(job)))
            removals.append(old_key)
    return store_messages.StoreTransaction(
        purpose, tuple(expected), tuple(puts), tuple(removals)
    )


@dispatch.handle_timer.register(MoveRetryDue)
def retry_move(
    timer: MoveRetryDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats the write of a move.

    No tasks of the job are started here until the outcome is known.
    """
    partition = batch.find_owned(timer.purpose.partition, timer.purpose.token)
    if partition is None or not _is_awaited(partition, timer.purpose):
        return []
    return [_make_move_write(partition, timer.purpose)]


def _is_awaited(partition: state.Partition, purpose: MoveWrite) -> bool:
    """Returns whether the outcome of a move is not known yet.

    A newer record tells it, and the job may be moving again by then.
    """
    job = partition.jobs.get(purpose.loaded.record.job_id)
    return job is not None and job.revision == purpose.loaded.revision


@dispatch.handle_store_reply.register(MoveWrite)
def handle_move_write(
    purpose: MoveWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies a move that was written, or handles a failed write.

    After a conflict the record is read again. If the outcome is unknown, the
    same write is repeated.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Committed):
        return _apply_move(batch, partition, purpose, outcome, now)
    if not _is_awaited(partition, purpose):
        return []
    if isinstance(outcome, store_messages.Conflict):
        return _handle_move_conflict(partition, purpose, outcome)
    return [messages.StartTimer(MoveRetryDue(purpose), MOVE_RETRY_S, 0.3)]


def _handle_move_conflict(
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Conflict,
) -> dispatch.Effects:
    """Reads a job's record again after a conflict.

    The record or the owner key has changed, so the write can no longer take
    effect.
    """
    job_id = purpose.loaded.record.job_id
    job = partition.jobs.get(job_id)
    if job is not None:
        key = records.make_progress_key(partition.name, job_id)
        job.progress_revision = outcome.revisions.get(
            key, job.progress_revision
        )
    return [
        commits.read_record(
            partition, job_id, purpose.loaded.revision, move_outcome_known=True
        )
    ]


def _apply_move(
    batch: state.Batch,
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Committed,
    now: float,
) -> dispatch.Effects:
    """Applies a move that was written to the job of this partition.

    A job that has no copy of its record left in this partition is removed. It
    counts as pending in this partition's summary for a while if no start of it
    was confirmed, until the new owner's summary contains it.
    """
    loaded = attrs.evolve(purpose.loaded, revision=outcome.revision)
    record = loaded.record
    if partition.name in records.list_partitions(record):
        event = commits.RecordObserved(
            partition.name, loaded, purpose.loaded.revision
        )
        return dispatch.handle(event, batch, now)
    partition.record_removal(
        state.RemovedJob(record.job_id, outcome.revision, now)
    )
    job = partition.jobs.get(record.job_id)
    if job is not None and job.revision > outcome.revision:
        # The job has been moved back here by a later write.
        return []
    partition.jobs.pop(record.job_id, None)
    if job is not None and not job.start_confirmed:
        partition.moved_jobs[record.job_id] = (record.queue.name, now)
    return []
