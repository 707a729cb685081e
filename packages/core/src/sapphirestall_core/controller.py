"""Throttles and evicts batch tasks on one worker for the sake of services."""

import collections
from collections.abc import Sequence
import math

import attrs

from sapphirestall_core import task_messages

# Throttles are raised only below this share of the accepted excess.
RELAX_PRESSURE = 0.8
RELAX_STEP = 0.25
MAX_RELAXED_PRESSURE = 0.95
# A single measurement is noisy: it counts alone only when it is far above the
# limit, otherwise the next one has to confirm it.
IMMEDIATE_PRESSURE = 1.2
# A task throttled further than this makes too little progress to keep its
# reservation; it is evicted instead.
MIN_THROTTLE_SHARE = 0.25
EVICTION_BUDGET_PERIOD_S = 60.0


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
class Measurement:
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
class BatchTask:
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
class ControllerState:
    """What was done on one worker.

    Attributes:
        acted_at: Reading of the worker's clock at the last action.
        warned: Whether the newest measurement was above the limit.
        evicted_at: Own times of the evictions within the budget's period.
    """

    last_action_at: float = -math.inf
    above_limit: bool = False
    eviction_times: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def may_evict(self, budget: int, now: float) -> bool:
        """Tells whether the budget has room for one more eviction."""
        while self.eviction_times and (
            self.eviction_times[0] <= now - EVICTION_BUDGET_PERIOD_S
        ):
            self.eviction_times.popleft()
        return len(self.eviction_times) < budget


def decide(
    controller: ControllerState,
    measurements: Sequence[Measurement],
    batch_tasks: Sequence[BatchTask],
    budget: int,
    clock: float,
    now: float,
) -> list[Action]:
    """Returns what to do after a report, and records that it is done.

    Nothing is done until a measurement is later than the last action:
    otherwise the lag would make the controller act on its own past.

    Args:
        controller: Record of the worker; changed in place.
        measurements: Newest measurement of each service.
        batch_tasks: Batch tasks that run on the worker.
        budget: Evictions per `EVICTION_BUDGET_PERIOD_S`.
        clock: Reading of the worker's clock in the report.
        now: Own time.
    """
    fresh = [
        r for r in measurements if r.measured_at > controller.last_action_at
    ]
    if not fresh:
        return []
    worst = max(measurement.compute_pressure() for measurement in fresh)
    confirmed = worst > IMMEDIATE_PRESSURE or (
        worst > 1.0 and controller.above_limit
    )
    controller.above_limit = worst > 1.0
    if confirmed:
        actions = _reduce_pressure(controller, worst, batch_tasks, budget, now)
    elif worst < RELAX_PRESSURE and len(fresh) == len(measurements):
        actions = _relax_throttles(worst, batch_tasks)
    else:
        actions = []
    if actions:
        controller.last_action_at = clock
    return actions


def _reduce_pressure(
    controller: ControllerState,
    worst: float,
    batch_tasks: Sequence[BatchTask],
    budget: int,
    now: float,
) -> list[Action]:
    ranked = sorted(batch_tasks, key=lambda task: -task.pressure)
    if not ranked:
        return []
    first = ranked[0]
    if first.share <= MIN_THROTTLE_SHARE and not first.urgent:
        if controller.may_evict(budget, now):
            controller.eviction_times.append(now)
            return [Evict(first.name)]
        ranked = ranked[1:]
    return _throttle_tasks(worst - RELAX_PRESSURE, ranked)


def _throttle_tasks(needed: float, ranked: Sequence[BatchTask]) -> list[Action]:
    """Throttles the greatest contributors until the prediction suffices."""
    actions: list[Action] = []
    for task in ranked:
        if needed <= 0.0 or task.pressure <= 0.0:
            break
        if task.share <= MIN_THROTTLE_SHARE:
            continue
        at_full = task.pressure / task.share
        share = max(MIN_THROTTLE_SHARE, task.share - needed / at_full)
        needed -= (task.share - share) * at_full
        actions.append(Throttle(task.name, round(share, 2)))
    return actions


def _relax_throttles(
    worst: float, batch_tasks: Sequence[BatchTask]
) -> list[Action]:
    """Raises throttles stepwise, those that cost the service least first."""
    throttled = [task for task in batch_tasks if task.share < 1.0]
    throttled.sort(key=lambda item: item.pressure / item.share)
    actions: list[Action] = []
    for task in throttled:
        share = min(1.0, task.share + RELAX_STEP)
        worst += task.pressure / task.share * (share - task.share)
        if worst > MAX_RELAXED_PRESSURE:
            break
        actions.append(Throttle(task.name, round(share, 2)))
    return actions
