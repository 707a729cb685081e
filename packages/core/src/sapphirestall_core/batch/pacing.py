"""Pace of tasks that fill beside tasks that must keep a tail target.

Readings lag by about half a second, so a pace is changed, its effect awaited,
and changed again; it falls faster than it rises. Images that were learned to
be harmless keep their full pace unless nothing else helps.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import harm as harm_module
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "pacing"
# Share of the target at which the pace falls.
HIGH_SHARE = 0.9
# Readings show the effect of a pace after this time, in seconds.
SETTLE_S = 0.7
# The pace rises after the tails were low for this long, in seconds.
CALM_S = 1.2
RISE_PERCENT = 25
# A lower pace than this is not worth the memory that its runs hold.
LOWEST_PERCENT = 12
# After a target was missed for this long, harmless images are paced as well.
MISSED_S = 1.5


def find_worst(worker: state.Worker) -> float:
    """Returns the highest tail on a worker, as a share of its target."""
    return max(
        (
            run.reading / run.task.step.tail_target_ms
            for run in worker.runs.values()
            if run.task.step.tail_target_ms
        ),
        default=0.0,
    )


def choose_pace(worker: state.Worker, now: float) -> int:
    """Returns the percent at which harmful runs may work on a worker."""
    worst = find_worst(worker)
    if worst < 1.0:
        worker.missed_since = None
    elif worker.missed_since is None:
        worker.missed_since = now
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
    partition: state.Partition,
    worker: state.Worker,
    harm: harm_module.Harm,
    now: float,
) -> dispatch.Effects:
    """Orders the pace that the newest readings call for."""
    worker.pace = choose_pace(worker, now)
    missed = (
        worker.missed_since is not None and now - worker.missed_since > MISSED_S
    )
    effects: dispatch.Effects = []
    for run in worker.runs.values():
        step = run.task.step
        if not step.fills or run.phase is not state.RunPhase.RUNNING:
            continue
        pace = worker.pace
        if harm.is_harmless(step.image) and not missed:
            pace = state.FULL_PACE_PERCENT
        if pace == run.pace:
            continue
        run.pace = pace
        effects.append(
            worker_messages.PaceRun(
                worker.target,
                partition.name,
                partition.token,
                run.task.name,
                run.number,
                pace,
            )
        )
    if not effects:
        return []
    worker.pace_changed_at = now
    fields = {
        "worker": worker.entry.worker_id,
        "percent": worker.pace,
        "worst_share": round(find_worst(worker), 2),
        "runs": len(effects),
    }
    return [messages.Log(PART, "changed", fields), *effects]
