"""Moves tasks that find no worker to another partition (section 7, jobs).

A move is committed in `progress` first and written to the job record after
that. Without the first step, an owner that lost its partition could move tasks
that the next owner has placed already; its commit fails on the version, so its
change of the record is never sent.
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
# Twice the longest wait for a poll and a commit, so that a short queue empties
# by itself.
MOVE_AFTER_S = 30.0


@attrs.frozen
class MovesDue(messages.Timer):
    """Time to look for tasks that another partition has room for."""


@dispatch.handle_timer.register(MovesDue)
def plan_moves(
    timer: MovesDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Plans one move for each partition; the next commit makes it durable."""
    rooms = submission.list_free_capacity(instance, now)
    for partition in instance.tasks.find_owned():
        lease = instance.tasks.lease
        authority = ownership.find_authority(partition, lease, now)
        # One move at a time keeps the view of the target's room fresh.
        busy = partition.uncommitted_moves or partition.progress.moves
        if authority is ownership.Authority.LEASE and not busy:
            others = [r for r in rooms if r.partition != partition.name]
            _plan_move(partition, others, instance, now)
    return [messages.StartTimer(timer, MOVES_PERIOD_S, 0.2)]


def _plan_move(
    partition: tasks_state.Partition,
    rooms: list[peer_messages.PartitionRoom],
    instance: state.Instance,
    now: float,
) -> None:
    for queue in list(partition.queues.values()):
        for share in list(queue.values()):
            waited_s = now - share.waiting_since if share.waiting_since else 0.0
            if waited_s < MOVE_AFTER_S:
                continue
            move = choose_move(share, rooms)
            if move is None:
                continue
            partition.uncommitted_moves.add(move)
            leaving = ranges.build([jobs.Range(move.first, move.last)])
            share.waiting.remove_all(leaving)
            if not share.waiting.count:
                attempts.dequeue(partition, share)
            reason = f"tasks {move.first} to {move.last} to {move.target}"
            instance.journal.record(now, move.job_id, "move", reason)
            return


def choose_move(
    share: tasks_state.Share, rooms: list[peer_messages.PartitionRoom]
) -> jobs.Move | None:
    """Returns the last waiting tasks that fit elsewhere, if there are any.

    Tasks with a checkpoint stay, since the checkpoint is known here only.
    """
    record = share.job.record
    fitting = [
        (submission.count_fitting(record.declared, room.free), room.partition)
        for room in rooms
        if submission.could_fit(record.declared, room)
    ]
    count, target = max(fitting, default=(0, ""))
    if not count or not share.waiting.count:
        return None
    last = share.waiting.lasts[-1]
    lowest = share.waiting.firsts[-1]
    for part in share.slices:
        if part.first <= last <= part.last:
            lowest = max(lowest, part.first)
    first = last + 1
    while first > lowest and last - first + 1 < count:
        if first - 1 in share.checkpoints:
            break
        first -= 1
    if first > last:
        return None
    return jobs.Move(record.job_id, target, first, last)
