"""Throttles and evicts batch tasks on one worker for the sake of services."""

import collections
from collections.abc import Sequence
import math

import attrs

from sapphirestall_core import task_messages

# Throttles are raised only below this share of the accepted excess.
RAISE_BELOW = 0.8
RAISE_STEP = 0.25
RAISE_UP_TO = 0.95
# A single measurement is noisy: it counts alone only when it is far above the
# limit, otherwise the next one has to confirm it.
ALARM = 1.2
# A task throttled further than this makes too little progress to keep its
# reservation; it is evicted instead.
MIN_SHARE = 0.25
BUDGET_PERIOD_S = 60.0


@attrs.frozen
class Action:
    """What the controller wants done to a task."""

    name: task_messages.AttemptName


@attrs.frozen
class Throttle(Action):
    """Limit the task to a share of its processors."""

    share: float


@attrs.frozen
class Evict(Action):
    """Checkpoint and stop the task."""


@attrs.frozen
class Reading:
    """A measured slowdown and the service's limit.

    Attributes:
        measured_at: Reading of the worker's clock.
    """

    service: str
    slowdown: float
    limit: float
    measured_at: float

    def compute_pressure(self) -> float:
        """Returns the excess slowdown over the accepted excess."""
        return (self.slowdown - 1.0) / max(1e-6, self.limit - 1.0)


@attrs.frozen
class Suspect:
    """A batch task on the worker.

    Attributes:
        share: Present throttle.
        pressure: Predicted part of the accepted excess of the service that
            suffers most, at the present throttle.
        urgent: Whether the task may not be evicted for services.
    """

    name: task_messages.AttemptName
    share: float
    pressure: float
    urgent: bool = False


@attrs.define
class Controller:
    """What was done on one worker.

    Attributes:
        acted_at: Reading of the worker's clock at the last action.
        warned: Whether the newest measurement was above the limit.
        evicted_at: Own times of the evictions within the budget's period.
    """

    acted_at: float = -math.inf
    warned: bool = False
    evicted_at: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def may_evict(self, budget: int, now: float) -> bool:
        """Tells whether the budget has room for one more eviction."""
        while self.evicted_at and (self.evicted_at[0] <= now - BUDGET_PERIOD_S):
            self.evicted_at.popleft()
        return len(self.evicted_at) < budget


def decide(
    controller: Controller,
    readings: Sequence[Reading],
    suspects: Sequence[Suspect],
    budget: int,
    clock: float,
    now: float,
) -> list[Action]:
    """Returns what to do after a report, and records that it is done.

    Nothing is done until a measurement is later than the last action:
    otherwise the lag would make the controller act on its own past.

    Args:
        controller: Record of the worker; changed in place.
        readings: Newest measurement of each service.
        suspects: Batch tasks that run on the worker.
        budget: Evictions per `BUDGET_PERIOD_S`.
        clock: Reading of the worker's clock in the report.
        now: Own time.
    """
    fresh = [r for r in readings if r.measured_at > controller.acted_at]
    if not fresh:
        return []
    worst = max(reading.compute_pressure() for reading in fresh)
    confirmed = worst > ALARM or (worst > 1.0 and controller.warned)
    controller.warned = worst > 1.0
    if confirmed:
        actions = _relieve(controller, worst, suspects, budget, now)
    elif worst < RAISE_BELOW and len(fresh) == len(readings):
        actions = _raise(worst, suspects)
    else:
        actions = []
    if actions:
        controller.acted_at = clock
    return actions


def _relieve(
    controller: Controller,
    worst: float,
    suspects: Sequence[Suspect],
    budget: int,
    now: float,
) -> list[Action]:
    ranked = sorted(suspects, key=lambda task: -task.pressure)
    if not ranked:
        return []
    first = ranked[0]
    if first.share <= MIN_SHARE and not first.urgent:
        if controller.may_evict(budget, now):
            controller.evicted_at.append(now)
            return [Evict(first.name)]
        ranked = ranked[1:]
    return _throttle(worst - RAISE_BELOW, ranked)


def _throttle(needed: float, ranked: Sequence[Suspect]) -> list[Action]:
    """Throttles the greatest contributors until the prediction suffices."""
    actions: list[Action] = []
    for task in ranked:
        if needed <= 0.0 or task.pressure <= 0.0:
            break
        if task.share <= MIN_SHARE:
            continue
        at_full = task.pressure / task.share
        share = max(MIN_SHARE, task.share - needed / at_full)
        needed -= (task.share - share) * at_full
        actions.append(Throttle(task.name, round(share, 2)))
    return actions


def _raise(worst: float, suspects: Sequence[Suspect]) -> list[Action]:
    """Raises throttles stepwise, those that cost the service least first."""
    throttled = [task for task in suspects if task.share < 1.0]
    throttled.sort(key=lambda item: item.pressure / item.share)
    actions: list[Action] = []
    for task in throttled:
        share = min(1.0, task.share + RAISE_STEP)
        worst += task.pressure / task.share * (share - task.share)
        if worst > RAISE_UP_TO:
            break
        actions.append(Throttle(task.name, round(share, 2)))
    return actions
