"""A world with monitored invariants, and the names that traces use for it."""

from __future__ import annotations

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import jobs
from sapphirestall_core import operator_messages
from standins import invariants
from standins import virtual
from standins import worker_model
from standins import world as world_module

SERVICE = "rota"
REPEATABLE = "compute"
READY_LIMIT_S = 30.0
SETTLE_S = 3.0
CONFIGURATION: dict[str, object] = {
    "services": {
        SERVICE: {
            "operations": {
                REPEATABLE: {"repeatable": True, "timeout_s": 1.0},
                "assign": {"repeatable": False, "timeout_s": 1.0},
            }
        }
    }
}


@attrs.frozen
class Layout:
    """How many instances of each kind each data centre has.

    Instances are called `<data centre>-entry-0`, `-executor-0` and
    `-worker-0`; the workers of a data centre are spread over its racks, which
    are called `<data centre>-rack-0`.

    Attributes:
        trusting: Whether the workers accept work beyond their capacity, so
            that only the entry instances guard it.
        configured: Whether a first configuration is put into force.
    """

    data_centres: list[str] = attrs.field(factory=lambda: ["sefrou"])
    entries: int = 2
    executors: int = 2
    workers: int = 3
    racks: int = 1
    cpu_millis: int = 4000
    memory_mb: int = 8000
    executor_work_s: float = 0.01
    trusting: bool = False
    configured: bool = True


@attrs.define
class TrustingWorker(worker_model.Worker):
    """A worker that does not check its capacity."""

    def start(self, task: worker_model.Task) -> None:
        """Starts an attempt whether or not there is room."""
        capacity = self.capacity
        self.capacity = worker_model.Amount(10**9, 10**9, 10**9)
        try:
            worker_model.Worker.start(self, task)
        finally:
            self.capacity = capacity


class UnknownNameError(Exception):
    """A name stands for nothing at present."""


@attrs.define
class Run:
    """One run of a trace.

    Attributes:
        calls: Call ids of operators' commands by the name in the trace.
        started_at: Time at which the steps began.
        loaded_until: Time at which the last load ends.
        failures: Expectations that did not hold.
    """

    layout: Layout
    world: world_module.World
    monitor: invariants.Monitor
    calls: dict[str, str] = attrs.field(factory=dict)
    started_at: float = 0.0
    loaded_until: float = 0.0
    failures: list[str] = attrs.field(factory=list)

    def resolve(self, name: str) -> str:
        """Returns the id that a name stands for at present.

        `owner:<partition>` is the entry instance that the store names as the
        owner, `other:<partition>` the first live one of the data centre that
        is not, `holder:<job>.<task>` the worker that runs a task.

        Raises:
            UnknownNameError: There is none.
        """
        kind, _, subject = name.partition(":")
        if not subject:
            return name
        find = {
            "owner": self.find_owner,
            "other": self._find_other,
            "holder": self.find_holder,
        }[kind]
        found = find(subject)
        if not found:
            raise UnknownNameError(name)
        return found

    def find_owner(self, partition: str) -> str:
        """Returns the owner of a partition according to the store."""
        data_centre = partition.rsplit("-rack-", 1)[0]
        key = jobs.make_owner_key(data_centre, partition)
        item = self.world.store.items.get(key)
        return str(getattr(item.value, "instance_id", "")) if item else ""

    def _find_other(self, partition: str) -> str:
        data_centre = partition.rsplit("-rack-", 1)[0]
        owner = self.find_owner(partition)
        others = (
            node_id
            for node_id, node in sorted(self.world.nodes.items())
            if node.alive
            and node_id.startswith(f"{data_centre}-entry")
            and node_id != owner
        )
        return next(others, "")

    def find_holder(self, task: str) -> str:
        """Returns the worker that runs a task, if any."""
        for worker_id, worker in self.world.workers.items():
            for name, attempt in worker.tasks.items():
                if name.startswith(f"{task}.") and (
                    invariants.is_running(attempt, worker)
                ):
                    return worker_id
        return ""

    def accepts(self, node_id: str) -> bool:
        """Tells whether a load balancer sends requests to an instance."""
        node = self.world.nodes[node_id]
        if not node.alive or self.world.now < node.paused_until:
            return False
        effects = dispatch.execute(
            operator_messages.ShowReadiness(), "", node.state, self.world.now
        )
        return any(
            isinstance(effect, operator_messages.AnswerOperator)
            and isinstance(effect.result, operator_messages.ReadinessShown)
            and effect.result.ready
            for effect in effects
        )

    def expand(self, names: list[str]) -> list[str]:
        """Returns the ids of instances; a data centre stands for all of its."""
        ids = []
        for name in map(self.resolve, names):
            inside = [
                listing.instance_id
                for listing in self.world.listings.values()
                if listing.data_centre == name
            ]
            ids += inside or [name]
        return ids

    def list_everything(self) -> list[str]:
        """Returns the ids of all instances and the store."""
        return [*self.world.listings, world_module.STORE]

    def list_finished(self, job_id: str) -> set[invariants.TaskName]:
        """Returns the tasks of a job that are committed as finished."""
        return {
            task
            for tasks in self.monitor.finished.values()
            for task in tasks
            if task.job_id == job_id
        }


def make_run(layout: Layout, seed: int) -> Run:
    """Builds a world and waits until its first configuration is in force."""
    world = virtual.make_world(seed)
    monitor = invariants.Monitor(world)
    run = Run(layout, world, monitor)
    monitor.attach()
    for data_centre in layout.data_centres:
        _add_data_centre(data_centre, layout, world)
    if layout.configured:
        _configure(run)
    run.started_at = world.now
    return run


def _add_data_centre(
    data_centre: str, layout: Layout, world: world_module.World
) -> None:
    for number in range(layout.executors):
        executor = world.add_executor(
            f"{data_centre}-executor-{number}", data_centre, SERVICE
        )
        executor.work_s = layout.executor_work_s
    amount = worker_model.Amount(layout.cpu_millis, layout.memory_mb)
    for number in range(layout.workers):
        worker_id = f"{data_centre}-worker-{number}"
        rack = f"{data_centre}-rack-{number % layout.racks}"
        worker = world.add_worker(worker_id, data_centre, rack, amount)
        if layout.trusting:
            world.workers[worker_id] = TrustingWorker(
                **attrs.asdict(worker, recurse=False)
            )
    for number in range(layout.entries):
        world.add_entry(f"{data_centre}-entry-{number}", data_centre)


def _configure(run: Run) -> None:
    world = run.world
    world.run(1.0)
    command = operator_messages.PatchConfiguration("first", 0, CONFIGURATION)
    world.send_operator_command(next(iter(world.nodes)), command)
    if not world.run_until(lambda: is_ready(run), READY_LIMIT_S):
        run.failures.append("the fleet did not become ready")
    world.run(SETTLE_S)


def is_ready(run: Run) -> bool:
    """Tells whether all instances are configured and all partitions owned."""
    configured = all(
        node.state.configuration.document.version
        for node in run.world.nodes.values()
    )
    partitions = {
        listing.rack for listing in run.world.listings.values() if listing.rack
    }
    return configured and all(map(run.find_owner, partitions))
