"""A simulation with invariant checks, and the names that traces use in it."""

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
    """Instances of each data centre.

    Instances are named `<data centre>-entry-0`, `-executor-0`, `-worker-0` and
    so on. The workers of a data centre are distributed over its racks, which
    are named `<data centre>-rack-0` and so on.

    Attributes:
        data_centres: Names of the data centres.
        entries: Number of entry instances of each data centre.
        executors: Number of executors of each data centre.
        workers: Number of workers of each data centre.
        racks: Number of racks of each data centre.
        cpu_millis: Processors of each worker, in thousandths.
        memory_mb: Memory of each worker, in megabytes.
        executor_work_s: Time that an executor takes for a request, in seconds.
        trusting: Whether the workers accept work beyond their capacity, so that
            only the entry instances enforce it.
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
        """Starts an attempt, also without free capacity."""
        capacity = self.capacity
        self.capacity = worker_model.Amount(10**9, 10**9, 10**9)
        try:
            worker_model.Worker.start(self, task)
        finally:
            self.capacity = capacity


class UnknownNameError(Exception):
    """A name currently denotes no instance."""


@attrs.define
class Run:
    """A run of a trace.

    Attributes:
        layout: Instances of the simulation.
        world: The simulation.
        monitor: Checks of its invariants.
        calls: Call ids of operators' commands, by their name in the trace.
        started_at: Virtual time at which the deployment was ready.
        loaded_until: Virtual time at which the last load ends.
        failures: Descriptions of expectations that did not hold and of errors.
    """

    layout: Layout
    world: world_module.World
    monitor: invariants.Monitor
    calls: dict[str, str] = attrs.field(factory=dict)
    started_at: float = 0.0
    loaded_until: float = 0.0
    failures: list[str] = attrs.field(factory=list)

    def resolve(self, name: str) -> str:
        """Returns the id of the instance that a name currently denotes.

        `owner:<partition>` is the entry instance that the store names as the
        owner. `other:<partition>` is the first other live entry instance of the
        data centre. `holder:<job>.<task>` is the worker that runs the task. Any
        other name is an id.

        Raises:
            UnknownNameError: There is no such instance.
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
        """Returns the owner that the store names for a partition, if any."""
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
        """Returns the worker that runs a task; empty if there is none."""
        for worker_id, worker in self.world.workers.items():
            for name, attempt in worker.tasks.items():
                if name.startswith(f"{task}.") and (
                    invariants.is_running(attempt, worker)
                ):
                    return worker_id
        return ""

    def accepts_requests(self, node_id: str) -> bool:
        """Returns whether a load balancer sends requests to an instance."""
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
        """Returns ids for names; a data centre denotes all its instances."""
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
    """Builds a simulation and waits until its configuration is in force."""
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
    """Returns whether all instances are configured and all partitions owned."""
    configured = all(
        node.state.configuration.document.version
        for node in run.world.nodes.values()
    )
    partitions = {
        listing.rack for listing in run.world.listings.values() if listing.rack
    }
    return configured and all(map(run.find_owner, partitions))
