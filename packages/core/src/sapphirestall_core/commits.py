"""Group commits of the committed state of owned partitions.

One write at most once a second holds everything that changed: ended tasks,
checkpoints, moves and the witness set. Workers keep an ended task until its
commit is confirmed, so the owner holds no durable state. At shutdown, an owner
hands its partitions over after the last commit. See docs/design.md, sections
4.1 and 7.
"""

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
    """Timer to commit the changes in a partition."""

    partition: str
    epoch: int


@attrs.frozen
class CommitProgress(store_messages.Purpose):
    """Purpose of the write of the committed state of a partition.

    Attributes:
        partition: Partition whose state is written.
        epoch: Epoch of this instance.
        progress: State to write.
        names: Ended attempts that the commit includes.
        job_ids: Jobs whose finished tasks and checkpoints it includes.
    """

    partition: str
    epoch: int
    progress: jobs.Progress
    names: tuple[task_messages.AttemptName, ...]
    job_ids: tuple[str, ...]


@attrs.frozen
class RereadProgress(store_messages.Purpose):
    """Purpose of the read of the state after a commit was not confirmed."""

    partition: str
    epoch: int


@attrs.frozen
class ReleaseOwnership(store_messages.Purpose):
    """Purpose of the deletion of the owner key at a handover."""

    partition: str
    epoch: int


@dispatch.handle_timer.register(CommitDue)
def commit(
    timer: CommitDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Commits all changes since the last commit in one write."""
    partition = instance.tasks.partitions[timer.partition]
    if partition.epoch != timer.epoch:
        return []
    next_timer = messages.StartTimer(timer, COMMIT_PERIOD_S)
    records.drop_ended_jobs(partition, instance)
    if partition.commit_in_flight or partition.handing_over:
        return [next_timer]
    progress = build_progress(partition, instance, now)
    if progress == partition.progress and not partition.uncommitted_ends:
        finish_effects = _finish_committed_jobs(partition, instance, now)
        return [
            next_timer,
            *finish_effects,
            *hand_over(partition, instance, now),
        ]
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
    return [
        next_timer,
        store_messages.StorePut(purpose, key, progress, version),
    ]


def _finish_committed_jobs(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Marks slices as done whose tasks were committed in a former epoch.

    The epoch was that of a former owner or an earlier one of this instance.
    """
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
    """Returns the committed state with all uncommitted changes applied."""
    base = partition.progress
    finished, checkpoints = dict(base.finished), dict(base.checkpoints)
    # Until the job records have been read, a job without a share may still be
    # active.
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
    """Returns the next witness set, which differs by at most one worker.

    Majorities of two sets that differ by one worker always intersect. An owner
    that has not learned of the change therefore cannot complete poll rounds
    while one that has does.
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
        is_witness = worker_id in witnesses
        if not is_witness and worker.registered and worker.inventoried:
            return tuple(sorted((*witnesses, worker_id)))
        if is_witness and _is_removable(worker, now):
            return tuple(w for w in witnesses if w != worker_id)
    for worker_id in witnesses:
        if worker_id not in partition.workers and _have_former_leases_ended(
            partition, now
        ):
            return tuple(w for w in witnesses if w != worker_id)
    return witnesses


def _is_removable(worker: tasks_state.Worker, now: float) -> bool:
    unresponsive = (
        now - worker.reported_at >= ownership.UNRESPONSIVE_WORKER_WAIT_S
    )
    return not worker.registered and unresponsive and not worker.attempts


def _have_former_leases_ended(
    partition: tasks_state.Partition, now: float
) -> bool:
    """Returns whether every task lease of former owners has ended."""
    waited = now - partition.majority_inventoried_at
    return waited >= ownership.TAKEOVER_WAIT_S


@dispatch.handle_store_reply.register(CommitProgress)
def handle_commit_reply(
    purpose: CommitProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies a confirmed commit; after other replies, reads the state again.

    The next poll of a worker acknowledges its committed ends.
    """
    partition = instance.tasks.partitions[purpose.partition]
    if partition.epoch != purpose.epoch:
        return []
    if not isinstance(reply.outcome, store_messages.Written):
        partition.dirty_jobs.update(purpose.job_ids)
        instance.tasks.store_failed_at = now
        key = jobs.make_progress_key(
            instance.identity.data_centre, partition.name
        )
        reread_purpose = RereadProgress(partition.name, purpose.epoch)
        return [
            messages.CountRetry(PART, "commit_failed"),
            store_messages.StoreGet(reread_purpose, key, jobs.Progress),
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
    """Applies the committed state that the store holds.

    Workers that neither the platform's list nor the witness set names are
    dropped once they have no attempts.
    """
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
    """Marks a share's slices as done once all their tasks have finished."""
    share = partition.shares.get(job_id)
    if share is None or not share.is_active:
        return []
    task_count = sum(part.last - part.first + 1 for part in share.slices)
    if share.finished.count < task_count or share.waiting.count:
        return []
    update = job_updates.FinishSlices(job_id, partition.name)
    return job_updates.start(update, instance, now)


def write_moves(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Writes the committed moves to the job records."""
    effects: dispatch.Effects = []
    for move in partition.progress.moves:
        if move not in partition.applied_moves:
            update = job_updates.MoveTasks(move.job_id, partition.name, move)
            effects += job_updates.start(update, instance, now)
    return effects


@dispatch.handle_store_reply.register(RereadProgress)
def handle_reread(
    purpose: RereadProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies the state that was read, or resigns.

    It resigns if another owner wrote the state or the state is missing.
    """
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
            # The next commit contains the same changes again, so it makes no
            # difference if the write takes effect late.
            apply_progress(progress, found.version, partition)
            return write_moves(partition, instance, now)
        case store_messages.Absent():
            partition.commit_in_flight = False
            return polling.resign(
                partition, instance, now, "committed state not found"
            )
    instance.tasks.store_failed_at = now
    partition.commit_in_flight = False
    return []


def hand_over(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Deletes the owner key of a partition if this instance shuts down.

    It is called when everything is committed.
    """
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
    """Resigns from the partition; the next commit retries a failed deletion."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.epoch != purpose.epoch:
        return []
    if isinstance(reply.outcome, store_messages.Unavailable):
        partition.handing_over = False
        return []
    return polling.resign(partition, instance, now, "handed over")
