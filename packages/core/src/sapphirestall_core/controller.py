"""Controller that limits the slowdown of services by batch tasks on a worker.

The controller throttles batch tasks, relaxes their throttles or evicts tasks.
It controls the pressure on a service: the slowdown above 1.0, divided by the
slowdown above 1.0 that the limit of the service accepts. A pressure above 1.0
means that the service exceeds its limit.
"""

import collections
from collections.abc import Sequence
import math

import attrs

from sapphirestall_core import task_messages

# Throttles are relaxed only while the pressure is below `RELAX_PRESSURE`, by
# `RELAX_STEP` of a task's processors at a time, as long as the predicted
# pressure stays within `MAX_RELAXED_PRESSURE`.
RELAX_PRESSURE = 0.8
RELAX_STEP = 0.25
MAX_RELAXED_PRESSURE = 0.95
# Measurements are noisy. A single one triggers an action only above this
# pressure; below it the next measurement has to confirm that the limit is
# exceeded.
IMMEDIATE_PRESSURE = 1.2
# A task throttled to less than this share makes too little progress to justify
# its reservation; it is evicted instead.
MIN_THROTTLE_SHARE = 0.25
EVICTION_BUDGET_PERIOD_S = 60.0


@attrs.frozen
class Action:
    """Base of the actions that the controller requests for a task."""

    name: task_messages.AttemptName


@attrs.frozen
class Throttle(Action):
    """Limits a task to a share of its processors."""

    share: float


@attrs.frozen
class Evict(Action):
    """Evicts a task: checkpoints it, if possible, and stops it."""


@attrs.frozen
class Measurement:
    """Measured slowdown of a service.

    Attributes:
        service: Name of the service.
        slowdown: Measured latency divided by the undisturbed latency.
        limit: Highest accepted slowdown.
        measured_at: Time of the measurement by the worker's clock, in seconds.
    """

    service: str
    slowdown: float
    limit: float
    measured_at: float

    def compute_pressure(self) -> float:
        """Returns the pressure on the service, as the module defines it."""
        return (self.slowdown - 1.0) / max(1e-6, self.limit - 1.0)


@attrs.frozen
class BatchTask:
    """A batch task on the worker, as the controller sees it.

    Attributes:
        name: Attempt that runs the task.
        share: Current throttle, as a share of the task's processors.
        pressure: Predicted contribution of the task to the pressure on the
            service that it slows most, at the current throttle.
        urgent: Whether the task is exempt from eviction for services.
    """

    name: task_messages.AttemptName
    share: float
    pressure: float
    urgent: bool = False


@attrs.define
class ControllerState:
    """State of the controller of one worker.

    Attributes:
        last_action_at: Time of the last action by the worker's clock, in
            seconds.
        above_limit: Whether a service exceeded its limit in the last
            measurement.
        eviction_times: Monotonic times of this instance's evictions within the
            budget period, oldest first, in seconds.
    """

    last_action_at: float = -math.inf
    above_limit: bool = False
    eviction_times: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def may_evict(self, budget: int, now: float) -> bool:
        """Returns whether the budget allows one more eviction."""
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
    """Returns the actions for a worker's report and records their time.

    Measurements older than the last action are ignored. They do not show its
    effect yet, so acting on them would repeat the action and make the throttles
    oscillate.

    Args:
        controller: State of the worker's controller; changed in place.
        measurements: Most recent measurement of each service.
        batch_tasks: Batch tasks that run on the worker.
        budget: Number of evictions allowed in `EVICTION_BUDGET_PERIOD_S`.
        clock: Time of the report by the worker's clock, in seconds.
        now: Monotonic time, in seconds.
    """
    fresh = [
        measurement
        for measurement in measurements
        if measurement.measured_at > controller.last_action_at
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
    """Throttles tasks in order until the predicted relief suffices.

    Args:
        needed: Pressure to remove.
        ranked: Batch tasks, largest contribution first.
    """
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
    """Relaxes throttles by one step, smallest added pressure first.

    Args:
        worst: Highest measured pressure on a service of the worker.
        batch_tasks: Batch tasks that run on the worker.
    """
    throttled = [task for task in batch_tasks if task.share < 1.0]
    throttled.sort(key=lambda task: task.pressure / task.share)
    actions: list[Action] = []
    for task in throttled:
        share = min(1.0, task.share + RELAX_STEP)
        worst += task.pressure / task.share * (share - task.share)
        if worst > MAX_RELAXED_PRESSURE:
            break
        actions.append(Throttle(task.name, round(share, 2)))
    return actions
