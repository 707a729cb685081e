"""Changes of a partition's jobs as their records appear, change or disappear.

A record of an unknown job builds the job; if the job was moved here with its
progress, the progress record is read first. A newer record of a known job
updates it. When a record is removed, the runs of its job are stopped, unless a
write of this owner is in flight: the outcome of that write then tells why the
record was removed. Removals are recorded for a while, as older copies of the
record may still arrive.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

RETRY_S = 0.2


def apply_removal(
    partition: state.Partition, removed: state.RemovedJob, now: float
) -> dispatch.Effects:
    """Applies the removal of a job's record.

    The job was cancelled, or its tasks were moved to other partitions. While a
    write of this owner is in flight, its outcome tells which. The removal is
    recorded in any case, since a copy of the record or of the progress that was
    read before may still arrive.
    """
    current = partition.jobs.get(removed.job_id)
    if current is None or current.revision <= removed.revision:
        partition.record_removal(removed)
    if current is None or current.revision > removed.revision:
        return []
    if current.final_state is not None or current.move_in_flight:
        return []
    return remove_job(partition, current, removed, now)


def apply_record(
    batch: state.Batch,
    partition: state.Partition,
    loaded: state.LoadedJob,
    now: float,
    *,
    settled_move: int = 0,
    progress: state.LoadedProgress | None = None,
) -> dispatch.Effects:
    """Applies a job record that is new or has changed.

    Args:
        batch: State of this instance.
        partition: The partition.
        loaded: The record.
        now: Monotonic time, in seconds.
        settled_move: Store revision of the record that a move expected which
            is known to have taken effect or to have failed; 0 if there is none.
        progress: Progress of the job, if it is new to this owner and the
            progress was read.
    """
    record = loaded.record
    current = partition.jobs.get(record.job_id)
    removed = partition.removed_jobs.get(record.job_id)
    if removed is not None and loaded.revision <= removed.revision:
        return []
    effects: dispatch.Effects = []
    if current is not None:
        was_moved_back = (
            removed is not None and current.revision <= removed.revision
        )
        if (
            removed is None
            or not was_moved_back
            or current.final_state is not None
        ):
            return _update_job(partition, current, loaded, settled_move)
        # The job was moved away and back. Another owner has run it in the
        # meantime, so the state kept here is out of date.
        effects = remove_job(partition, current, removed, now)
    if progress and len(progress.record.steps) != len(record.steps):
        partition.unreadable_progress.add(record.job_id)
    if record.job_id in partition.unreadable_progress:
        # Without its progress, tasks that are done would run again.
        log = jobs.make_log("progress_unreadable", record.job_id)
        return [*effects, log]
    if record.has_progress and progress is None:
        return [*effects, *_read_moved_progress(partition, loaded)]
    assert batch.configuration is not None
    queue = batch.configuration.get_queue(record.queue.name) or record.queue
    offset_s = batch.identity.wall_clock_offset_s
    job = jobs.build_job(loaded, progress, queue, partition, offset_s, now)
    partition.jobs[record.job_id] = job
    log = jobs.make_log(
        "known",
        record.job_id,
        partition=partition.name,
        queue=queue.name,
        priority=queue.priority,
        tasks=sum(step.count for step in record.steps),
        revision=loaded.revision,
    )
    return [*effects, log, *passes.request_pass(partition)]


@attrs.frozen
class MovedProgressRead(store_messages.Purpose):
    """Purpose of the read of the progress of a job that was moved here.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
        loaded: Record of the job.
    """

    partition: str
    token: int
    loaded: state.LoadedJob


@attrs.frozen
class MovedProgressDue(messages.Timer):
    """Timer to repeat a failed read of the progress of a moved job."""

    purpose: MovedProgressRead


def _read_moved_progress(
    partition: state.Partition, loaded: state.LoadedJob
) -> dispatch.Effects:
    return [
        store_messages.StoreGet(
            MovedProgressRead(partition.name, partition.token, loaded),
            records.make_progress_key(partition.name, loaded.record.job_id),
            records.ProgressRecord,
        )
    ]


@dispatch.handle_timer.register(MovedProgressDue)
def read_moved_progress_again(
    timer: MovedProgressDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats a read of a moved job's progress."""
    purpose = timer.purpose
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    return _read_moved_progress(partition, purpose.loaded)


@dispatch.handle_store_reply.register(MovedProgressRead)
def apply_moved_progress(
    purpose: MovedProgressRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Builds a moved job from its record and its progress."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Absent):
        # The job has ended or was moved again since its record was read.
        return []
    if not isinstance(outcome, store_messages.Found):
        return [messages.StartTimer(MovedProgressDue(purpose), RETRY_S, 0.3)]
    assert isinstance(outcome.value, records.ProgressRecord)
    progress = state.LoadedProgress(outcome.value, outcome.revision)
    return apply_record(
        batch, partition, purpose.loaded, now, progress=progress
    )


def _update_job(
    partition: state.Partition,
    current: state.Job,
    loaded: state.LoadedJob,
    settled_move: int,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    if current.reread_in_flight:
        current.reread_in_flight = False
        effects = commits.request_commit(partition)
    # While the record is unchanged, a move without an answer may still take
    # effect. The move in flight expects the revision that is known here; one
    # that expected an earlier revision does not tell its outcome.
    if settled_move == current.revision or loaded.revision > current.revision:
        current.move_in_flight = False
    if loaded.revision <= current.revision:
        return effects + passes.request_pass(partition)
    if current.final_state is not None:
        current.record, current.revision = loaded.record, loaded.revision
        return effects + commits.mark_dirty(partition, current)
    jobs.update_job(current, loaded, partition)
    return effects + passes.request_pass(partition)


def remove_job(
    partition: state.Partition,
    job: state.Job,
    removed: state.RemovedJob,
    now: float,
) -> dispatch.Effects:
    """Removes a job whose record is gone, and stops its runs."""
    job_id = job.record.job_id
    # Runs that still exist refer to this job; the final state marks it as one
    # that has ended.
    job.final_state = job.final_state or model.JobState.CANCELLED
    partition.jobs.pop(job_id, None)
    partition.dirty_jobs.pop(job_id, None)
    partition.record_removal(removed)
    effects: dispatch.Effects = [
        jobs.make_log("removed", job_id, partition=partition.name)
    ]
    effects += commands.stop_job(partition, job, now)
    # Ends of runs that waited for the job's record may be acknowledged now.
    return (
        effects
        + commits.request_commit(partition)
        + passes.request_pass(partition)
    )
