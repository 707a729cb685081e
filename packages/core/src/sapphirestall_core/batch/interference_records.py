"""Values about opportunistic tasks that an owner publishes for other owners.

These are the processors that opportunistic tasks may use, which are part of the
summary of a partition, and the learned interference between images, which all
owners share in one record.
"""

from collections.abc import Iterable

from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Published amounts of processors are rounded down to multiples of this, so that
# summaries change less often.
ROUNDING_CPU_MILLIS = 1000
# An estimate replaces another one if its variance is below this share of the
# other's.
IMPROVED_VARIANCE_SHARE = 0.6
# Highest number of estimates in the record, which all owners read. The lowest
# interference is left out first.
MAX_PUBLISHED_ESTIMATES = 200


def find_allowed_cpu_by_image(
    workers: Iterable[state.Worker],
    interference: interference_module.InterferenceModel,
    now: float,
) -> dict[str, int]:
    """Returns the processors that each opportunistic image may still use.

    An image may use the idle processors of a worker as long as it costs no
    serving task there more headroom than the task can lose.

    Args:
        workers: Workers whose processors are counted.
        interference: Learned interference between images.
        now: Monotonic time, in seconds.

    Returns:
        Processors in thousandths, by image with learned interference.
    """
    images = sorted(set().union(*interference.estimates.values()))
    totals = dict.fromkeys(images, 0)
    for worker in workers:
        idle = placement.estimate_idle_cpu(worker) - worker.paced_cpu_millis
        if idle <= 0:
            continue
        budgets = interference.find_headroom_budgets(
            worker, now, interference_module.PLACEMENT_HORIZON_S
        )
        remaining = interference.find_remaining_budgets(worker, budgets)
        for image in images:
            totals[image] += min(
                idle, interference.find_allowed_cpu(worker, remaining, image)
            )
    return {
        image: total // ROUNDING_CPU_MILLIS * ROUNDING_CPU_MILLIS
        for image, total in totals.items()
    }


def merge_estimates(
    interference: interference_module.InterferenceModel,
    stored: Iterable[records.InterferenceEstimate],
) -> tuple[records.InterferenceEstimate, ...]:
    """Merges stored estimates with more precise ones of this instance."""
    merged = {(record.serving, record.filling): record for record in stored}
    for serving, by_image in interference.estimates.items():
        for image, estimate in by_image.items():
            record = merged.get((serving, image))
            if _is_improved(estimate, record):
                merged[serving, image] = records.InterferenceEstimate(
                    serving,
                    image,
                    round(estimate.value, 1),
                    round(estimate.variance, 2),
                )
    ordered = sorted(
        merged.values(),
        key=lambda record: (
            -record.loss,
            record.serving,
            record.filling,
        ),
    )
    return tuple(ordered[:MAX_PUBLISHED_ESTIMATES])


def _is_improved(
    estimate: interference_module.Estimate,
    record: records.InterferenceEstimate | None,
) -> bool:
    """Returns whether an estimate should replace a stored one."""
    if estimate.variance > interference_module.MAX_KNOWN_VARIANCE:
        return False
    return (
        record is None
        or estimate.variance <= record.variance * IMPROVED_VARIANCE_SHARE
    )


def apply_stored_estimates(
    interference: interference_module.InterferenceModel,
    stored: Iterable[records.InterferenceEstimate],
) -> None:
    """Replaces learned estimates where stored ones are more precise."""
    for record in stored:
        own = interference.find_estimate(record.serving, record.filling)
        if (
            own is None
            or record.variance < own.variance * IMPROVED_VARIANCE_SHARE
        ):
            interference.set_estimate(
                record.serving,
                record.filling,
                interference_module.Estimate(record.loss, record.variance),
            )
