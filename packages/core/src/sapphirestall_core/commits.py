"""Group commits of ended tasks, witness changes, moves and the hand-over."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import job_updates
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import polling
from sapphirestall_core import records
from sapphirestall_core import store_messages
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "commits"
COMMIT_PERIOD_S = 1.0


@attrs.frozen
class CommitDue(messages.Timer):
    """Time to commit what ended in a partition."""

    partition: str
    epoch: int


@attrs.frozen
class CommitProgress(store_messages.Purpose):
    """Commits ends, checkpoints, moves and the witness set.

    Attributes:
        names: Ended attempts that the commit includes.
        job_ids: Jobs whose state it includes.
    """

    partition: str
    epoch: int
    progress: jobs.Progress
    names: tuple[task_messages.AttemptName, ...]
    job_ids: tuple[str, ...]


@attrs.frozen
class RereadProgress(store_messages.Purpose):
    """Settles a commit whose answer was lost or refused."""

    partition: str
    epoch: int


@attrs.frozen
class ReleaseOwnership(store_messages.Purpose):
    """Deletes the owner key at shutdown."""

    partition: str
    epoch: int


@dispatch.handle_timer.register(CommitDue)
def commit(
    timer: CommitDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Commits everything since the last commit in one write."""
    partition = instance.tasks.partitions[timer.partition]
    if partition.epoch != timer.epoch:
        return []
    again = messages.StartTimer(timer, COMMIT_PERIOD_S)
    records.drop_ended_jobs(partition, instance)
    if partition.commit_in_flight or partition.handing_over:
        return [again]
    progress = build_progress(partition, instance, now)
    if progress == partition.progress and not partition.uncommitted_ends:
        finished = _finish_committed_jobs(partition, instance, now)
        return [again, *finished, *hand_over(partition, instance, now)]
    partition.commit_in_flight = True
    purpose = CommitProgress(
        partition.name,
        timer.epoch,
        progress,
        tuple(partition.uncommitted_ends),
        tuple(partition.dirty_jobs),
    )
    if partition.jobs_listed:
        partition.dirty_jobs.clear()
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    version = partition.progress_version
    return [again, store_messages.StorePut(purpose, key, progress, version)]


def _finish_committed_jobs(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Marks slices whose last commit was made by an earlier owner or epoch."""
    if not partition.jobs_listed:
        return []
    effects: dispatch.Effects = []
    for job_id in partition.dirty_jobs:
        effects += finish_slices(job_id, partition, instance, now)
    partition.dirty_jobs.clear()
    return effects


def build_progress(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> jobs.Progress:
    """Returns the committed state with everything that is new."""
    base = partition.progress
    finished, checkpoints = dict(base.finished), dict(base.checkpoints)
    # Before the job records were read, a job without a share may be active.
    for job_id in partition.dirty_jobs if partition.jobs_listed else ():
        finished.pop(job_id, None)
        checkpoints.pop(job_id, None)
        share = partition.shares.get(job_id)
        if share is None:
            continue
        if share.finished.count:
            finished[job_id] = share.finished.to_ranges()
        if share.checkpoints:
            checkpoints[job_id] = dict(share.checkpoints)
    moves = (
        set(base.moves) | partition.uncommitted_moves
    ) - partition.applied_moves
    return attrs.evolve(
        base,
        epoch=partition.epoch,
        witnesses=choose_witnesses(partition, instance, now),
        finished=finished,
        checkpoints=checkpoints,
        moves=tuple(sorted(moves, key=_make_sort_key)),
    )


def _make_sort_key(move: jobs.Move) -> tuple[str, int]:
    return move.job_id, move.first


def choose_witnesses(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> tuple[str, ...]:
    """Returns the next witness set, changed by one worker at most.

    Majorities of two sets that differ by one worker always intersect, so an
    owner that has not learned of the change cannot complete rounds beside one
    that has.
    """
    witnesses = partition.progress.witnesses
    lease = instance.tasks.lease
    authority = ownership.find_authority(partition, lease, now)
    if (
        authority is not ownership.Authority.LEASE
        or not partition.former_attempts_ended
    ):
        return witnesses
    for worker_id, worker in partition.workers.items():
        member = worker_id in witnesses
        if not member and worker.registered and worker.inventoried:
            return tuple(sorted((*witnesses, worker_id)))
        if member and _is_removable(worker, now):
            return tuple(w for w in witnesses if w != worker_id)
    for worker_id in witnesses:
        if worker_id not in partition.workers and _have_former_leases_ended(
            partition, now
        ):
            return tuple(w for w in witnesses if w != worker_id)
    return witnesses


def _is_removable(worker: tasks_state.Worker, now: float) -> bool:
    silent = now - worker.reported_at >= ownership.UNRESPONSIVE_WORKER_WAIT_S
    return not worker.registered and silent and not worker.attempts


def _have_former_leases_ended(
    partition: tasks_state.Partition, now: float
) -> bool:
    """Tells whether every lease of an earlier owner has ended."""
    waited = now - partition.majority_inventoried_at
    return waited >= ownership.TAKEOVER_WAIT_S


@dispatch.handle_store_reply.register(CommitProgress)
def handle_commit_reply(
    purpose: CommitProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Acknowledges committed ends to their workers at the next poll."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.epoch != purpose.epoch:
        return []
    if not isinstance(reply.outcome, store_messages.Written):
        partition.dirty_jobs.update(purpose.job_ids)
        instance.tasks.store_failed_at = now
        key = jobs.make_progress_key(
            instance.identity.data_centre, partition.name
        )
        reread = RereadProgress(partition.name, purpose.epoch)
        return [
            messages.CountRetry(PART, "commit_failed"),
            store_messages.StoreGet(reread, key, jobs.Progress),
        ]
    partition.commit_in_flight = False
    apply_progress(purpose.progress, reply.outcome.version, partition)
    for name in purpose.names:
        worker = partition.workers.get(partition.uncommitted_ends.pop(name, ""))
        if worker is not None:
            worker.acknowledge.add(name)
    effects: dispatch.Effects = []
    for job_id in purpose.job_ids:
        effects += finish_slices(job_id, partition, instance, now)
    return effects + write_moves(partition, instance, now)


def apply_progress(
    progress: jobs.Progress, version: int, partition: tasks_state.Partition
) -> None:
    """Takes the committed state that the store has."""
    partition.progress = progress
    partition.progress_version = version
    partition.uncommitted_moves.difference_update(progress.moves)
    partition.applied_moves.intersection_update(progress.moves)
    for worker_id in list(partition.workers):
        worker = partition.workers[worker_id]
        needed = worker.registered or worker_id in progress.witnesses
        if not needed and not worker.attempts and not worker.unwanted:
            del partition.workers[worker_id]


def finish_slices(
    job_id: str,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Marks the slices in the job record once all tasks are committed."""
    share = partition.shares.get(job_id)
    if share is None or not share.is_active:
        return []
    size = sum(part.last - part.first + 1 for part in share.slices)
    if share.finished.count < size or share.waiting.count:
        return []
    change = job_updates.FinishSlices(job_id, partition.name)
    return job_updates.start(change, instance, now)


def write_moves(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Writes committed moves to the job records."""
    effects: dispatch.Effects = []
    for move in partition.progress.moves:
        if move not in partition.applied_moves:
            change = job_updates.MoveTasks(move.job_id, partition.name, move)
            effects += job_updates.start(change, instance, now)
    return effects


@dispatch.handle_store_reply.register(RereadProgress)
def handle_reread(
    purpose: RereadProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Finds out whether a commit took effect or another owner wrote."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.epoch != purpose.epoch:
        return []
    match reply.outcome:
        case store_messages.Found(value=jobs.Progress() as progress) as found:
            partition.commit_in_flight = False
            if progress.epoch != partition.epoch:
                if partition.pending_epoch == progress.epoch:
                    return []
                return polling.resign(
                    partition, instance, now, "commit refused"
                )
            # What the write held is committed again with the next one, so a
            # write that takes effect late changes nothing.
            apply_progress(progress, found.version, partition)
            return write_moves(partition, instance, now)
        case store_messages.Absent():
            partition.commit_in_flight = False
            return polling.resign(partition, instance, now, "progress is gone")
    instance.tasks.store_failed_at = now
    partition.commit_in_flight = False
    return []


def hand_over(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Deletes the owner key at shutdown, once everything is committed."""
    if not instance.draining:
        return []
    partition.handing_over = True
    purpose = ReleaseOwnership(partition.name, partition.epoch)
    key = jobs.make_owner_key(instance.identity.data_centre, partition.name)
    return [store_messages.StoreDelete(purpose, key, 1)]


@dispatch.handle_store_reply.register(ReleaseOwnership)
def handle_release_reply(
    purpose: ReleaseOwnership,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Gives the partition up; a failed deletion is tried again."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.epoch != purpose.epoch:
        return []
    if isinstance(reply.outcome, store_messages.Unavailable):
        partition.handing_over = False
        return []
    return polling.resign(partition, instance, now, "handed over")
