"""Pace of tasks that fill beside tasks that must keep a tail target.

Readings lag by about half a second, so a pace is changed, its effect awaited,
and changed again; it falls faster than it rises. Images that harm no serving
image of a worker keep their full pace there unless nothing else helps.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state

PART = "pacing"
# Share of a target from which the expectation is taken as too good, and below
# which it may be trusted more again.
TRUST_DECREASE_SHARE = 1.0
TRUST_INCREASE_SHARE = 0.85
# Readings show the effect of a pace after this time, in seconds.
EFFECT_DELAY_S = 0.7
TRUST_DECREASE_FACTOR = 0.7
TRUST_INCREASE_FACTOR = 1.4
MIN_TRUST = 0.05
# A lower pace than this is not worth the memory that its runs hold.
MIN_PACE_PERCENT = 8
# Smaller changes of a pace are not worth an order.
MIN_CHANGE_PERCENT = 10
# A pace rises no sooner after its last change; readings show the effect of that
# later, and a pace that follows each listing costs more orders than the runs.
RAISE_INTERVAL_S = 0.8
# A run that is paced this low for this long makes room, as it holds memory and
# may be harmless elsewhere; one a worker and look.
RELOCATION_PERCENT = 35
RELOCATION_DELAY_S = 1.0
# A run that cannot resume is stopped only before this progress, in percent, or
# after it has been paced low for this long.
LOW_PROGRESS_PERCENT = 15
FORCED_RELOCATION_DELAY_S = 3.0
# After a target was missed for this long, harmless images are paced as well.
MISSED_TARGET_S = 1.5


def find_highest_tail_share(worker: state.Worker) -> float:
    """Returns the highest tail on a worker, as a share of its target."""
    return max(
        (
            run.measurement / run.task.step.tail_target_ms
            for run in interference_module.list_serving_runs(worker)
        ),
        default=0.0,
    )


def update_trust(worker: state.Worker, now: float) -> None:
    """Lowers the trust in the learned harm where tails are higher than that."""
    worst = find_highest_tail_share(worker)
    if worst < 1.0:
        worker.target_missed_since = None
    elif worker.target_missed_since is None:
        worker.target_missed_since = now
    if now - worker.trust_changed_at < EFFECT_DELAY_S:
        return
    if worst >= TRUST_DECREASE_SHARE:
        worker.trust = max(MIN_TRUST, worker.trust * TRUST_DECREASE_FACTOR)
        worker.trust_changed_at = now
    elif worst < TRUST_INCREASE_SHARE and worker.trust < 1.0:
        worker.trust = min(1.0, worker.trust * TRUST_INCREASE_FACTOR)
        worker.trust_changed_at = now


def choose_paces(
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dict[str, int]:
    """Returns the percent at which each image that fills may work."""
    paces: dict[str, int] = {}
    if not any(run.task.step.fills for run in worker.runs.values()):
        return paces
    budgets = interference.find_headroom_budgets(
        worker, now, interference_module.PACING_HORIZON_S
    )
    for serving, budget in budgets.items():
        losses = interference.predict_losses(worker, serving)
        excess = sum(losses.values()) - budget * worker.trust
        # What harms most for the work that it does makes room first.
        for image in sorted(
            losses, key=lambda i: -interference.get_interference(serving, i)
        ):
            if excess <= 0 or losses[image] <= 0:
                break
            cut = min(excess, losses[image])
            excess -= cut
            share = 1 - cut / losses[image]
            pace = int(state.FULL_PACE_PERCENT * share)
            if pace < MIN_PACE_PERCENT:
                pace = 0
            paces[image] = min(pace, paces.get(image, pace))
    return paces


def find_common_pace(worker: state.Worker) -> int:
    """Returns the percent at which all that fills finds idle processors.

    Tails grow beyond all bounds where work is ordered for more processors than
    there are.
    """
    if not worker.opportunistic_cpu_millis or not worker.serving_cpu_millis:
        return state.FULL_PACE_PERCENT
    idle = placement.estimate_idle_cpu(worker)
    share = max(0.0, idle / worker.opportunistic_cpu_millis)
    return int(state.FULL_PACE_PERCENT * min(1.0, share))


def adjust_paces(
    partition: state.Partition,
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dispatch.Effects:
    """Orders the pace that the newest readings call for."""
    update_trust(worker, now)
    worker.serving_load = interference.estimate_serving_load(worker, now)
    paces = choose_paces(worker, interference, now)
    common = find_common_pace(worker)
    missed = (
        worker.target_missed_since is not None
        and now - worker.target_missed_since > MISSED_TARGET_S
    )
    effects: dispatch.Effects = []
    for run in worker.runs.values():
        step = run.task.step
        if not step.fills or run.phase is not state.RunPhase.RUNNING:
            continue
        pace = min(common, paces.get(step.image, state.FULL_PACE_PERCENT))
        if missed:
            # What was learned does not explain the tails.
            pace = min(pace, int(state.FULL_PACE_PERCENT * worker.trust))
        if (
            pace > run.pace_percent
            and now - run.pace_sent_at < RAISE_INTERVAL_S
        ):
            pace = run.pace_percent
        ends = (0, state.FULL_PACE_PERCENT)
        small = abs(pace - run.pace_percent) < MIN_CHANGE_PERCENT
        changed = pace != run.pace_percent and (not small or pace in ends)
        if changed or run.pace_unanswered:
            run.pace_sent_at = now
            effects += commands.set_pace(partition, worker, run, pace)
        low = pace <= RELOCATION_PERCENT
        run.low_pace_since = (run.low_pace_since or now) if low else None
    effects += _relocate(partition, worker, interference, now)
    if not effects:
        return []
    fields = {
        "worker": worker.entry.worker_id,
        "percent": min(paces.values(), default=state.FULL_PACE_PERCENT),
        "worst_share": round(find_highest_tail_share(worker), 2),
        "trust": round(worker.trust, 2),
        "runs": len(effects),
    }
    return [messages.Log(PART, "changed", fields), *effects]


def _relocate(
    partition: state.Partition,
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dispatch.Effects:
    """Stops the run that was paced low for longest if it has a place elsewhere.

    Without one its task would only wait, and lose what it has not saved.
    """
    stuck = [
        run
        for run in worker.runs.values()
        if run.low_pace_since is not None
        and now - run.low_pace_since >= RELOCATION_DELAY_S
        and run.phase is state.RunPhase.RUNNING
        and not run.forced
        and (
            run.task.step.checkpointing
            or run.progress_percent < LOW_PROGRESS_PERCENT
            or now - run.low_pace_since >= FORCED_RELOCATION_DELAY_S
        )
    ]
    if not stuck:
        return []
    run = min(stuck, key=lambda run: run.low_pace_since or now)
    others = (
        other
        for name, other in partition.workers.items()
        if other is not worker and name in partition.roster
    )
    service = run.task.job.queue.service
    place = placement.choose_worker(
        run.task, others, service, interference, now
    )
    if place is None:
        return []
    fields = {
        "worker": worker.entry.worker_id,
        "to": place.entry.worker_id,
        "job": run.task.name.job_id,
        "task": f"{run.task.name.step}.{run.task.name.index}",
        "pace": run.pace_percent,
        "percent": run.progress_percent,
    }
    log = messages.Log(PART, "relocate", fields)
    return [log, *commands.stop(partition, worker, run, now)]
