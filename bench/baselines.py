"""Baseline strategies without learned estimates or protection of services."""

import zlib

import attrs

from sapphirestall_core import placement
from sapphirestall_core import views


@attrs.frozen
class Baseline(placement.Strategy):
    """Trusts declared sizes; has no probation, quotas or controller."""


@attrs.frozen
class FirstFit(Baseline):
    """Chooses the first worker on which the reservation fits."""


@attrs.frozen
class RandomChoice(Baseline):
    """Chooses a pseudo-random worker on which the reservation fits."""


@attrs.frozen
class MostFree(Baseline):
    """Chooses the worker with most free processors.

    This was the policy of the project's first commit.
    """


@attrs.frozen
class Preempting(FirstFit):
    """First fit with evictions that are not based on predictions."""


@placement.choose.register
def _(
    strategy: FirstFit,
    demand: placement.Demand,
    candidates: list[views.WorkerView],
    inputs: placement.Inputs,
    now: float,
) -> placement.Decision:
    return placement.Chosen(candidates[0].worker_id)


@placement.choose.register
def _(
    strategy: RandomChoice,
    demand: placement.Demand,
    candidates: list[views.WorkerView],
    inputs: placement.Inputs,
    now: float,
) -> placement.Decision:
    # A hash instead of a random number keeps runs deterministic.
    drawn = zlib.crc32(f"{demand.kind} {now} {len(candidates)}".encode())
    used = sum(len(view.tasks) for view in candidates)
    index = (drawn + used * 7919) % len(candidates)
    return placement.Chosen(candidates[index].worker_id)


@placement.choose.register
def _(
    strategy: MostFree,
    demand: placement.Demand,
    candidates: list[views.WorkerView],
    inputs: placement.Inputs,
    now: float,
) -> placement.Decision:
    best = max(candidates, key=_count_free)
    return placement.Chosen(best.worker_id)


def _count_free(view: views.WorkerView) -> int:
    return view.ledger.compute_free().cpu_millis


STRATEGIES: dict[str, placement.Strategy] = {
    "predicted": placement.LeastSlowdown(),
    "first fit": FirstFit(),
    "random": RandomChoice(),
    "most free": MostFree(),
    "preempting": Preempting(),
}
