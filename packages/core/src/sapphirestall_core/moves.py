"""Moves of waiting tasks to partitions with free capacity.

A move is committed in the partition's progress first and then written to the
job record. Without the first step, an owner that has lost its partition could
move tasks that its successor has already placed. The commit of such an owner
fails on the version, so it never updates the job record. See docs/design.md,
section 7.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import attempts
from sapphirestall_core import dispatch
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import peer_messages
from sapphirestall_core import ranges
from sapphirestall_core import submission
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

MOVES_PERIOD_S = 15.0
# Tasks that have waited for less stay, since a short queue drains without a
# move. This is twice the longest wait for a poll and a commit.
MIN_WAIT_S = 30.0


@attrs.frozen
class MovesDue(messages.Timer):
    """Timer to plan moves to other partitions."""


@dispatch.handle_timer.register(MovesDue)
def plan_moves(
    timer: MovesDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Plans at most one move per owned partition; the next commit stores it."""
    free_capacities = submission.list_free_capacity(instance, now)
    for partition in instance.tasks.find_owned():
        lease = instance.tasks.lease
        authority = ownership.find_authority(partition, lease, now)
        # Only one move is made at a time, so that the known capacity of the
        # target is up to date.
        move_in_progress = (
            partition.uncommitted_moves or partition.progress.moves
        )
        if authority is ownership.Authority.LEASE and not move_in_progress:
            candidates = [
                r for r in free_capacities if r.partition != partition.name
            ]
            _plan_move(partition, candidates, instance, now)
    return [messages.StartTimer(timer, MOVES_PERIOD_S, 0.2)]


def _plan_move(
    partition: tasks_state.Partition,
    candidates: list[peer_messages.PartitionRoom],
    instance: state.Instance,
    now: float,
) -> None:
    for queue in list(partition.queues.values()):
        for share in list(queue.values()):
            waited_s = now - share.waiting_since if share.waiting_since else 0.0
            if waited_s < MIN_WAIT_S:
                continue
            move = choose_move(share, candidates)
            if move is None:
                continue
            partition.uncommitted_moves.add(move)
            moved_tasks = ranges.build([jobs.Range(move.first, move.last)])
            share.waiting.remove_all(moved_tasks)
            if not share.waiting.count:
                attempts.dequeue(partition, share)
            reason = f"tasks {move.first} to {move.last} to {move.target}"
            instance.journal.record(now, move.job_id, "move", reason)
            return


def choose_move(
    share: tasks_state.Share, candidates: list[peer_messages.PartitionRoom]
) -> jobs.Move | None:
    """Returns a move of the last waiting tasks to the best target.

    Tasks with a checkpoint are not moved, since only this partition's progress
    contains the checkpoint.

    Args:
        share: Share with waiting tasks.
        candidates: Capacities of the other partitions.

    Returns:
        The move, or None if no partition can take a task.
    """
    record = share.job.record
    fitting = [
        (
            submission.count_fitting(record.declared, candidate.free),
            candidate.partition,
        )
        for candidate in candidates
        if submission.could_fit(record.declared, candidate)
    ]
    count, target = max(fitting, default=(0, ""))
    if not count or not share.waiting.count:
        return None
    last = share.waiting.lasts[-1]
    lower_bound = share.waiting.firsts[-1]
    for part in share.slices:
        if part.first <= last <= part.last:
            lower_bound = max(lower_bound, part.first)
    first = last + 1
    while first > lower_bound and last - first + 1 < count:
        if first - 1 in share.checkpoints:
            break
        first -= 1
    if first > last:
        return None
    return jobs.Move(record.job_id, target, first, last)
