"""Scheduling policy's view of the workers of its partitions."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from sapphirestall_core import capacity_claims
from sapphirestall_core import controller
from sapphirestall_core import interference
from sapphirestall_core import resources
from sapphirestall_core import task_messages


@attrs.define
class RunningTask:
    """Batch task on a worker.

    Attributes:
        cpu: Processors in use, measured or predicted.
        unthrottled_cpu: Processors that the task would use unthrottled.
        started_at: Monotonic time at which the start was sent or the task was
            first reported, in seconds.
        checkpointed_at: Monotonic time of the newest checkpoint, in seconds;
            equal to `started_at` if there is none.
        throttle_share: Share of its processors that the task may use; 1 if it
            is not throttled.
        evicting: Whether an eviction has begun.
    """

    name: task_messages.AttemptName
    kind: str
    team: str
    urgency: int
    reserved: resources.Vector
    cpu: float
    unthrottled_cpu: float
    started_at: float
    checkpointed_at: float
    checkpointable: bool = True
    throttle_share: float = 1.0
    evicting: bool = False


@attrs.define
class WorkerView:
    """View of one worker.

    Attributes:
        ledger: Reservations; shared with the handlers of batch work.
        loads: Processors in use, by kind.
        predicted_excess: Cached upper estimate of the excess slowdown and the
            monotonic time until which it is used, by service.
        available_cpu_millis: Processors that services leave unreserved, in
            thousandths.
        claims: Capacity that evictions free on the worker, by job id and task.
    """

    worker_id: str
    ledger: resources.Ledger
    tasks: dict[task_messages.AttemptName, RunningTask] = attrs.field(
        factory=dict
    )
    services: tuple[task_messages.ServiceReport, ...] = ()
    loads: dict[str, float] = attrs.field(factory=dict)
    predicted_excess: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    available_cpu_millis: int = 0
    claims: dict[tuple[str, int], capacity_claims.CapacityClaim] = attrs.field(
        factory=dict
    )
    history: interference.LoadHistory = attrs.field(
        factory=interference.LoadHistory
    )
    controller: controller.ControllerState = attrs.field(
        factory=controller.ControllerState
    )

    def add(self, task: RunningTask) -> None:
        """Adds a task and its load."""
        self.tasks[task.name] = task
        self.predicted_excess.clear()
        self.loads[task.kind] = self.loads.get(task.kind, 0.0) + task.cpu

    def remove(self, name: task_messages.AttemptName) -> RunningTask | None:
        """Removes a task and its load."""
        task = self.tasks.pop(name, None)
        if task is not None:
            self.predicted_excess.clear()
            remaining = self.loads.get(task.kind, 0.0) - task.cpu
            self.loads[task.kind] = max(0.0, remaining)
        return task

    def replace(self, tasks: Iterable[RunningTask]) -> None:
        """Replaces all tasks and their loads."""
        self.tasks, self.loads = {}, {}
        self.predicted_excess.clear()
        for task in tasks:
            self.add(task)

    def predict_excess(
        self, service: str, estimator: interference.Estimator, now: float
    ) -> float:
        """Returns an upper estimate of a service's excess slowdown.

        The estimate is cached for `interference.UPPER_CACHE_S` or until the
        tasks change.
        """
        cached = self.predicted_excess.get(service)
        if cached is not None and now < cached[1]:
            return cached[0]
        excess = estimator.predict_upper(service, self.loads, now)
        self.predicted_excess[service] = (
            excess,
            now + interference.UPPER_CACHE_S,
        )
        return excess
