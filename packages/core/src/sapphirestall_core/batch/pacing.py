"""Pace of opportunistic runs on workers that also have serving runs.

The pace of a run is the percentage of its processors that it may use. When the
opportunistic runs on a worker are expected to cost serving runs more headroom
than they may, their paces are reduced, those of the images with the highest
interference first. Images with negligible interference keep their full pace
unless slowing the others does not suffice.

Measurements lag by about half a second, so the effect of a change is awaited
before a pace rises again, and none rises while a target is missed. It may be
reduced at any time.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import relocations
from sapphirestall_core.batch import state

PART = "pacing"
# Trust in the interference model falls while the highest tail latency on a
# worker is at or above the first share of its target, and rises while it is
# below the second.
TRUST_DECREASE_SHARE = 1.0
TRUST_INCREASE_SHARE = 0.85
# Time until measurements show the effect of a changed pace, in seconds.
EFFECT_DELAY_S = 0.7
TRUST_DECREASE_FACTOR = 0.7
TRUST_INCREASE_FACTOR = 1.4
MIN_TRUST = 0.05
# Runs get a pace of 0 instead of a lower one than this, at which they would do
# too little work for the memory that they hold.
MIN_PACE_PERCENT = 8
# Smaller changes of a pace are not worth a command.
MIN_CHANGE_PERCENT = 10
# Shortest time after the last change at which a pace may rise, in seconds. The
# effect of that change must be measured first. A pace that followed each
# listing would also take more commands than the runs themselves.
RAISE_INTERVAL_S = 0.8
# When a target was missed for this time, in seconds, all opportunistic runs
# pause until it is met: measurements of an overloaded task say nothing about
# the interference of their images, and predictions of its load are outdated.
MISSED_TARGET_S = 1.5
# While such a target is missed, each pace is sent again at this interval, in
# seconds: a command without an answer may be carried out after newer ones.
REPETITION_INTERVAL_S = 1.0


def find_highest_tail_share(worker: state.Worker) -> float:
    """Returns the highest tail latency on a worker as a share of its target."""
    return max(
        (
            run.measurement / run.task.step.tail_target_ms
            for run in interference_module.list_serving_runs(worker)
        ),
        default=0.0,
    )


def update_trust(worker: state.Worker, now: float) -> None:
    """Adjusts the trust in the interference model for a worker.

    Trust falls while a target is missed although the model expected it to be
    met, and rises again when all tail latencies are clearly below their
    targets.
    """
    highest_share = find_highest_tail_share(worker)
    if highest_share < 1.0:
        worker.target_missed_since = None
    elif worker.target_missed_since is None:
        worker.target_missed_since = now
    if now - worker.trust_changed_at < EFFECT_DELAY_S:
        return
    if highest_share >= TRUST_DECREASE_SHARE:
        worker.trust = max(MIN_TRUST, worker.trust * TRUST_DECREASE_FACTOR)
        worker.trust_changed_at = now
    elif highest_share < TRUST_INCREASE_SHARE and worker.trust < 1.0:
        worker.trust = min(1.0, worker.trust * TRUST_INCREASE_FACTOR)
        worker.trust_changed_at = now


def choose_paces(
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dict[str, int]:
    """Chooses the pace of each opportunistic image on a worker.

    Returns:
        Pace in percent by image; an image that is absent may work at full pace.
    """
    paces: dict[str, int] = {}
    if not any(run.task.step.fills for run in worker.runs.values()):
        return paces
    budgets = interference.find_headroom_budgets(
        worker, now, interference_module.PACING_HORIZON_S
    )
    for serving, budget in budgets.items():
        losses = interference.predict_losses(worker, serving)
        excess = sum(losses.values()) - budget * worker.trust
        # Images that cost most headroom for the work they do are reduced first.
        for image in sorted(
            losses,
            key=lambda image: -interference.expect_interference(serving, image),
        ):
            if excess <= 0 or losses[image] <= 0:
                break
            reduction = min(excess, losses[image])
            excess -= reduction
            share = 1 - reduction / losses[image]
            pace = int(state.FULL_PACE_PERCENT * share)
            if pace < MIN_PACE_PERCENT:
                pace = 0
            paces[image] = min(pace, paces.get(image, pace))
    return paces


def find_common_share(worker: state.Worker, paces: dict[str, int]) -> float:
    """Returns the share of their paces at which all runs find idle processors.

    Runs that use more processors than are idle raise tail latencies without
    bound, even if the interference of their images is negligible.

    Args:
        worker: The worker.
        paces: Pace in percent by image; an image that is absent may work at
            full pace.
    """
    if not worker.serving_cpu_millis:
        return 1.0
    requested = sum(
        cpu_millis * paces.get(image, state.FULL_PACE_PERCENT)
        for image, cpu_millis in interference_module.sum_opportunistic_cpu(
            worker
        ).items()
    )
    idle = placement.estimate_idle_cpu(worker) * state.FULL_PACE_PERCENT
    return min(1.0, max(0.0, idle / requested)) if requested else 1.0


def adjust_paces(
    partition: state.Partition,
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dispatch.Effects:
    """Adjusts the paces of a worker's opportunistic runs to its measurements.

    Sends the changed paces, and stops a run that should move to another worker.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        interference: Learned interference between images.
        now: Monotonic time, in seconds.
    """
    update_trust(worker, now)
    worker.serving_load = interference.estimate_serving_load(worker, now)
    paces = choose_paces(worker, interference, now)
    common_share = find_common_share(worker, paces)
    effects: dispatch.Effects = []
    for run in worker.runs.values():
        step = run.task.step
        if not step.fills or run.phase is not state.RunPhase.RUNNING:
            continue
        pace = paces.get(step.image, state.FULL_PACE_PERCENT)
        pace = _limit_pace(worker, run, int(pace * common_share), now)
        if _is_command_due(worker, run, pace, now):
            run.pace_sent_at = now
            effects += commands.set_pace(partition, worker, run, pace)
        relocations.record_pace(run, pace, now)
    effects += relocations.relocate(partition, worker, interference, now)
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


def _is_target_missed_long(worker: state.Worker, now: float) -> bool:
    """Returns whether the paces have not sufficed to meet a target in time."""
    return (
        worker.target_missed_since is not None
        and now - worker.target_missed_since > MISSED_TARGET_S
    )


def _limit_pace(
    worker: state.Worker, run: state.Run, pace: int, now: float
) -> int:
    """Returns the pace that a run may get at this time, in percent.

    Args:
        worker: Worker of the run.
        run: The run.
        pace: Pace that the learned interference allows, in percent.
        now: Monotonic time, in seconds.
    """
    if _is_target_missed_long(worker, now):
        # The learned interference does not explain the tail latencies.
        return 0
    if pace > run.pace_percent and (
        worker.target_missed_since is not None
        or now - run.pace_sent_at < RAISE_INTERVAL_S
    ):
        return run.pace_percent
    return pace


def _is_command_due(
    worker: state.Worker, run: state.Run, pace: int, now: float
) -> bool:
    """Returns whether a pace has to be sent to the worker of a run."""
    if run.pace_unconfirmed:
        return True
    if pace == run.pace_percent:
        return (
            _is_target_missed_long(worker, now)
            and now - run.pace_sent_at >= REPETITION_INTERVAL_S
        )
    is_small = abs(pace - run.pace_percent) < MIN_CHANGE_PERCENT
    return not is_small or pace in (0, state.FULL_PACE_PERCENT)
