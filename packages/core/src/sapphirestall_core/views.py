"""What an owner's scheduling policy knows about each of its workers."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from sapphirestall_core import capacity_claims
from sapphirestall_core import controller
from sapphirestall_core import interference
from sapphirestall_core import resources
from sapphirestall_core import task_messages


@attrs.define
class Running:
    """A batch task on a worker.

    Attributes:
        cpu: Processors in use, measured or predicted.
        full_cpu: The same without a throttle.
        started_at: Own time at which the start was sent or first reported.
        saved_at: Own time of the newest checkpoint, or `started_at`.
        share: Throttle.
        evicting: Whether an eviction has begun.
    """

    name: task_messages.AttemptName
    kind: str
    team: str
    urgency: int
    reserved: resources.Vector
    cpu: float
    full_cpu: float
    started_at: float
    saved_at: float
    checkpointable: bool = True
    share: float = 1.0
    evicting: bool = False


@attrs.define
class WorkerView:
    """One worker.

    Attributes:
        ledger: Reservations; shared with the handlers of batch work.
        loads: Processors in use by kind.
        present: Predicted excess by service and until when it holds.
        room_cpu: Processors in thousandths that services leave.
        claims: Room that evictions free here, by job id and task.
    """

    worker_id: str
    ledger: resources.Ledger
    tasks: dict[task_messages.AttemptName, Running] = attrs.field(factory=dict)
    services: tuple[task_messages.ServiceReport, ...] = ()
    loads: dict[str, float] = attrs.field(factory=dict)
    present: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    room_cpu: int = 0
    claims: dict[tuple[str, int], capacity_claims.CapacityClaim] = attrs.field(
        factory=dict
    )
    history: interference.LoadHistory = attrs.field(
        factory=interference.LoadHistory
    )
    controller: controller.ControllerState = attrs.field(
        factory=controller.ControllerState
    )

    def add(self, task: Running) -> None:
        """Adds a task and its load."""
        self.tasks[task.name] = task
        self.present.clear()
        self.loads[task.kind] = self.loads.get(task.kind, 0.0) + task.cpu

    def remove(self, name: task_messages.AttemptName) -> Running | None:
        """Removes a task and its load."""
        task = self.tasks.pop(name, None)
        if task is not None:
            self.present.clear()
            left = self.loads.get(task.kind, 0.0) - task.cpu
            self.loads[task.kind] = max(0.0, left)
        return task

    def replace(self, tasks: Iterable[Running]) -> None:
        """Takes all tasks of a report."""
        self.tasks, self.loads = {}, {}
        self.present.clear()
        for task in tasks:
            self.add(task)

    def predict(
        self, service: str, estimator: interference.Estimator, now: float
    ) -> float:
        """Returns the cautious excess slowdown of a service here."""
        known = self.present.get(service)
        if known is not None and now < known[1]:
            return known[0]
        found = estimator.predict_upper(service, self.loads, now)
        self.present[service] = (found, now + interference.UPPER_CACHE_S)
        return found
