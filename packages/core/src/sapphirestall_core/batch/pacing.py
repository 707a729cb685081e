"""Pace of tasks that fill beside tasks that must keep a tail target.

Readings lag by about half a second, so a pace is changed, its effect awaited,
and changed again; it falls faster than it rises.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "pacing"
# Share of the target at which the pace falls, and below which it may rise.
HIGH_SHARE = 0.9
# Readings show the effect of a pace after this time, in seconds.
SETTLE_S = 0.7
# The pace rises after the tails were low for this long, in seconds.
CALM_S = 1.2
RISE_PERCENT = 20
# A lower pace than this is not worth the memory that its runs hold.
LOWEST_PERCENT = 12


def choose_pace(worker: state.Worker, now: float) -> int:
    """Returns the percent at which runs that fill may work on a worker."""
    worst = max(
        (
            run.reading / run.task.step.tail_target_ms
            for run in worker.runs.values()
            if run.task.step.tail_target_ms
        ),
        default=0.0,
    )
    if worst >= HIGH_SHARE:
        worker.tail_high_at = now
        if now - worker.pace_changed_at < SETTLE_S:
            return worker.pace
        pace = int(worker.pace * 0.5 / max(1.0, worst))
        return pace if pace >= LOWEST_PERCENT else 0
    if now - worker.tail_high_at < CALM_S:
        return worker.pace
    if now - worker.pace_changed_at < SETTLE_S:
        return worker.pace
    return min(state.FULL_PACE_PERCENT, worker.pace + RISE_PERCENT)


def adjust(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Orders the pace that the newest readings call for."""
    pace = choose_pace(worker, now)
    if pace == worker.pace:
        return []
    worker.pace = pace
    worker.pace_changed_at = now
    effects: dispatch.Effects = [
        worker_messages.PaceRun(
            worker.target,
            partition.name,
            partition.token,
            run.task.name,
            run.number,
            pace,
        )
        for run in worker.runs.values()
        if run.task.step.fills and run.phase is state.RunPhase.RUNNING
    ]
    if not effects:
        worker.pace = state.FULL_PACE_PERCENT
        return []
    fields = {
        "worker": worker.entry.worker_id,
        "percent": pace,
        "runs": len(effects),
    }
    return [messages.Log(PART, "changed", fields), *effects]
