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
# Share of each target that tasks that fill may use up by expectation.
TARGET_SHARE = 0.9
# Share of a target from which the expectation is taken as too good, and below
# which it may be trusted more again.
HIGH_SHARE = 0.95
LOW_SHARE = 0.8
# Readings show the effect of a pace after this time, in seconds.
SETTLE_S = 0.7
TRUST_FALL = 0.6
TRUST_RISE = 1.15
LOWEST_TRUST = 0.05
# A lower pace than this is not worth the memory that its runs hold.
LOWEST_PERCENT = 8
# Smaller changes of a pace are not worth an order.
LEAST_CHANGE_PERCENT = 10
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


def choose_pace(
    worker: state.Worker, harm: harm_module.Harm, now: float
) -> int:
    """Returns the percent at which harmful runs may work on a worker.

    The pace follows from the learned harm of what runs there. Where the tails
    are higher than that lets expect, the worker's trust falls, and with it the
    rise that is allowed.
    """
    worst = find_worst(worker)
    if worst < 1.0:
        worker.missed_since = None
    elif worker.missed_since is None:
        worker.missed_since = now
    if now - worker.trust_changed_at >= SETTLE_S:
        if worst >= HIGH_SHARE:
            worker.trust = max(LOWEST_TRUST, worker.trust * TRUST_FALL)
            worker.trust_changed_at = now
        elif worst < LOW_SHARE and worker.trust < 1.0:
            worker.trust = min(1.0, worker.trust * TRUST_RISE)
            worker.trust_changed_at = now
    budget = harm.find_budget(worker, TARGET_SHARE)
    rise = harm_module.predict(worker, harm)
    if budget is None or rise <= 0:
        return state.FULL_PACE_PERCENT
    allowed = max(0.0, budget) * worker.trust
    pace = int(state.FULL_PACE_PERCENT * min(1.0, allowed / rise))
    return pace if pace >= LOWEST_PERCENT else 0


def adjust(
    partition: state.Partition,
    worker: state.Worker,
    harm: harm_module.Harm,
    now: float,
) -> dispatch.Effects:
    """Orders the pace that the newest readings call for."""
    worker.pace = choose_pace(worker, harm, now)
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
        ends = (0, state.FULL_PACE_PERCENT)
        small = abs(pace - run.pace) < LEAST_CHANGE_PERCENT
        if pace == run.pace or (small and pace not in ends):
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
    fields = {
        "worker": worker.entry.worker_id,
        "percent": worker.pace,
        "worst_share": round(find_worst(worker), 2),
        "trust": round(worker.trust, 2),
        "runs": len(effects),
    }
    return [messages.Log(PART, "changed", fields), *effects]
