"""Strategies to compare with: they learn nothing and protect nothing."""

import zlib

import attrs

from sapphirestall_core import placement
from sapphirestall_core import views


@attrs.frozen
class Baseline(placement.Strategy):
    """Trusts declared sizes; has no probation, quotas or controller."""


@attrs.frozen
class FirstFit(Baseline):
    """First worker with room, by static reservations."""


@attrs.frozen
class RandomChoice(Baseline):
    """Any worker with room."""


@attrs.frozen
class MostFree(Baseline):
    """Most free processors: the policy of the project's first commit."""


@attrs.frozen
class Preempting(FirstFit):
    """First fit that evicts for whatever has priority, without prediction."""


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
    # A hash instead of a random number keeps every run the same.
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
