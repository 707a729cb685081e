"""Application of job records to the state of the owned partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import attempts
from sapphirestall_core import eviction
from sapphirestall_core import jobs
from sapphirestall_core import ownership
from sapphirestall_core import ranges
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state


def apply_record(
    record: jobs.JobRecord,
    version: int,
    create_revision: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies a record that was read from or written to the store.

    A record that is older than the known one is ignored.

    Args:
        record: Job record.
        version: Version of the record's key.
        create_revision: Store revision at which the record was created.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.

    Returns:
        Commands that stop attempts of a job that has ended in a partition.
    """
    tasks = instance.tasks
    job = tasks.jobs.get(record.job_id)
    if job is None:
        job = tasks_state.Job(record, version, create_revision)
    elif version < job.version and create_revision <= job.create_revision:
        return []
    job.record, job.version = record, version
    job.create_revision = create_revision
    effects: dispatch.Effects = []
    for partition in tasks.find_owned():
        effects += _update_share(job, partition, instance, now)
    if job.shares:
        tasks.jobs[record.job_id] = job
    else:
        tasks.jobs.pop(record.job_id, None)
    return effects


def _update_share(
    job: tasks_state.Job,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    record = job.record
    share = partition.shares.get(record.job_id)
    slices = tuple(
        part
        for part in record.slices
        if part.partition == partition.name and not part.done
    )
    if record.state is not jobs.JobState.ACTIVE or not slices:
        return _close_share(share, partition, instance, now) if share else []
    if share is None:
        lease = instance.tasks.lease
        authority = ownership.find_authority(partition, lease, now)
        if authority is not ownership.Authority.LEASE:
            # Without the store lease, another owner may already exist and may
            # run the tasks of a new job. `attempts.enqueue` relies on this.
            return []
        share = _open_share(job, partition)
    if share.slices != slices:
        share.slices = slices
        _rebuild_waiting(share, partition)
        # If the unfinished tasks were moved away, all remaining ones may be
        # finished.
        partition.dirty_jobs.add(record.job_id)
    return []


def _open_share(
    job: tasks_state.Job, partition: tasks_state.Partition
) -> tasks_state.Share:
    job_id = job.record.job_id
    progress = partition.progress
    share = tasks_state.Share(job, partition.name)
    share.finished = ranges.build(progress.finished.get(job_id, ()))
    share.checkpoints = dict(progress.checkpoints.get(job_id, {}))
    partition.shares[job_id] = share
    job.shares[partition.name] = share
    return share


def _rebuild_waiting(
    share: tasks_state.Share, partition: tasks_state.Partition
) -> None:
    attempts.dequeue(partition, share)
    job_id = share.job.record.job_id
    share.waiting = ranges.build(share.slices)
    share.waiting.remove_all(share.finished)
    for move in partition.uncommitted_moves.union(partition.progress.moves):
        if move.job_id != job_id:
            continue
        moved_tasks = ranges.build([jobs.Range(move.first, move.last)])
        share.waiting.remove_all(moved_tasks)
    for name in partition.attempts:
        if name.job_id == job_id:
            share.waiting.remove(name.task)
    attempts.enqueue(partition, share)


def _close_share(
    share: tasks_state.Share,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Stops the remaining attempts of a job that has ended in a partition."""
    attempts.dequeue(partition, share)
    share.waiting = ranges.RangeSet()
    share.slices = ()
    job_id = share.job.record.job_id
    partition.ended_jobs.add(job_id)
    effects: dispatch.Effects = []
    if share.running:
        for attempt in list(partition.attempts.values()):
            if attempt.share is share:
                effects += eviction.stop(attempt, partition, instance, now)
    drop_ended_jobs(partition, instance)
    return effects


def drop_ended_jobs(
    partition: tasks_state.Partition, instance: state.Instance
) -> None:
    """Drops ended jobs without attempts.

    The next commit removes them from the committed state.
    """
    for job_id in list(partition.ended_jobs):
        share = partition.shares.get(job_id)
        if share is not None and share.running > 0:
            continue
        partition.ended_jobs.discard(job_id)
        if share is None:
            continue
        del partition.shares[job_id]
        partition.dirty_jobs.add(job_id)
        share.job.shares.pop(partition.name, None)
        if not share.job.shares:
            instance.tasks.jobs.pop(job_id, None)


def bind_attempts(
    partition: tasks_state.Partition, instance: state.Instance
) -> None:
    """Binds adopted attempts to their shares after the records were read."""
    for attempt in partition.attempts.values():
        share = partition.shares.get(attempt.name.job_id)
        if share is not None:
            attempts.bind(attempt, share)
            if not share.waiting.count:
                attempts.dequeue(partition, share)
    # The next commit removes the jobs that have ended and marks the slices that
    # a former owner finished.
    partition.dirty_jobs.update(partition.progress.finished)
    partition.dirty_jobs.update(partition.progress.checkpoints)
