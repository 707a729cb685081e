"""Use of processors by opportunistic images, as listings show it.

A tail latency is older than the use of processors in the same listing, as a
request that has waited is measured when it ends. It still shows runs that have
ended or were slowed down shortly before.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Age of a tail latency relative to the use of processors in the same listing,
# in seconds.
TAIL_LAG_S = 0.15
# An image that uses a smaller share of the processors has no measurable effect
# on the headroom.
MIN_CPU_SHARE = 0.004


@attrs.frozen(slots=True)
class ListedShares:
    """Shares of a worker's processors that opportunistic images use.

    Attributes:
        by_image: Share by image.
        listed_at: Monotonic time at which the listing arrived, in seconds.
    """

    by_image: Mapping[str, float]
    listed_at: float


def record_shares(worker: state.Worker, now: float) -> dict[str, float]:
    """Records a listing and returns the shares that its tail latencies show.

    These are interpolated between the last listing and this one. Images with a
    share too small to have an effect are left out.

    Args:
        worker: The worker, to which the listing was applied.
        now: Monotonic time at which the listing arrived, in seconds.

    Returns:
        Share of the worker's processors by opportunistic image.
    """
    current = _sum_shares(worker)
    former = worker.listed_shares
    worker.listed_shares = ListedShares(current, now)
    if former is None:
        shares = current
    else:
        weight = min(1.0, TAIL_LAG_S / (now - former.listed_at))
        shares = _interpolate(current, former.by_image, weight)
    return {
        image: share
        for image, share in shares.items()
        if share >= MIN_CPU_SHARE
    }


def _sum_shares(worker: state.Worker) -> dict[str, float]:
    """Returns the shares in the newest listing of a worker, by image."""
    capacity = max(1, worker.entry.capacity.cpu_millis)
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        if run.task.step.fills and run.measurement > 0:
            image = run.task.step.image
            share = run.measurement / capacity
            shares[image] = shares.get(image, 0.0) + share
    return shares


def _interpolate(
    current: Mapping[str, float],
    former: Mapping[str, float],
    former_weight: float,
) -> dict[str, float]:
    """Returns the weighted means of two shares of each image."""
    return {
        image: (1 - former_weight) * current.get(image, 0.0)
        + former_weight * former.get(image, 0.0)
        for image in sorted(current.keys() | former.keys())
    }
