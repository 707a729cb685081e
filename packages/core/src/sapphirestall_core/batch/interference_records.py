"""What owners tell each other of work that fills: room and harm by image."""

from collections.abc import Iterable

from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Published rooms are rounded to this, so that summaries change less often.
ROUNDING_CPU_MILLIS = 1000
# Another estimate is better if its variance is below this share of the own one.
IMPROVED_VARIANCE_SHARE = 0.6
# Harms that are known less exactly are not passed on.
MAX_PUBLISHED_VARIANCE = 8.0
# Most harms in the record, which all owners read.
MAX_PUBLISHED_ESTIMATES = 200


def find_allowed_cpu_by_image(
    workers: Iterable[state.Worker],
    interference: interference_module.InterferenceModel,
    now: float,
) -> dict[str, int]:
    """Returns the processors that each known image could still use.

    An image may use what is idle on a worker, as long as no serving task there
    loses more than its headroom allows.
    """
    images = sorted({pair.opportunistic for pair in interference.estimates})
    found = dict.fromkeys(images, 0)
    for worker in workers:
        idle = (
            placement.estimate_idle_cpu(worker)
            - worker.opportunistic_cpu_millis
        )
        if idle <= 0:
            continue
        budgets = interference.find_headroom_budgets(
            worker, now, interference_module.PLACEMENT_HORIZON_S
        )
        for image in images:
            found[image] += min(
                idle, interference.find_allowed_cpu(worker, budgets, image)
            )
    return {
        image: room // ROUNDING_CPU_MILLIS * ROUNDING_CPU_MILLIS
        for image, room in found.items()
    }


def merge_estimates(
    interference: interference_module.InterferenceModel,
    stored: Iterable[records.KnownInterference],
) -> tuple[records.KnownInterference, ...]:
    """Returns stored harms with those that are known better here."""
    merged = {
        interference_module.ImagePair(known.serving, known.filling): known
        for known in stored
    }
    for pair, estimate in interference.estimates.items():
        if estimate.variance > MAX_PUBLISHED_VARIANCE:
            continue
        known = merged.get(pair)
        if (
            known
            and estimate.variance > known.variance * IMPROVED_VARIANCE_SHARE
        ):
            continue
        merged[pair] = records.KnownInterference(
            pair.serving,
            pair.opportunistic,
            round(estimate.value, 1),
            round(estimate.variance, 2),
        )
    ordered = sorted(
        merged.values(),
        key=lambda known: (-known.loss, known.serving, known.filling),
    )
    return tuple(ordered[:MAX_PUBLISHED_ESTIMATES])


def adopt_estimates(
    interference: interference_module.InterferenceModel,
    estimates: Iterable[records.KnownInterference],
) -> None:
    """Takes what another owner knows better than this one."""
    for known in estimates:
        pair = interference_module.ImagePair(known.serving, known.filling)
        own = interference.estimates.get(pair)
        if (
            own is None
            or known.variance < own.variance * IMPROVED_VARIANCE_SHARE
        ):
            interference.estimates[pair] = interference_module.Estimate(
                known.loss, known.variance
            )
