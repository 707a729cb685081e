"""Deployment under test: processes, stand-ins, links and checks."""

from __future__ import annotations

import asyncio
import collections
import functools
import math
import os
import pathlib
import random
import time
import traceback

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import documents
from sapphirestall_standins import observations
from sapphirestall_standins import store as store_module
from sapphirestall_standins import worker as worker_module
from soak import callers
from soak import disturbances as disturbances_module
from soak import guarantees as guarantees_module
from soak import history as history_module
from soak import processes
from soak import proxy
from soak import workload
from standins import fleet

CALLERS = "callers"
WORKER_CAPACITY = resources.Vector(8000, 32_000, 0)
HEARTBEAT_INTERVAL_S = 1.5
ADVANCE_INTERVAL_S = 0.05
CHECK_INTERVAL_S = 0.25
# If the event loop of the soak itself is later than this, its observations are
# late too, and the time counts as a disturbance of all parties.
LATE_LOOP_S = 0.3
# Page sizes of the store's lists, from which the seed selects. A store may
# return fewer items per page than usual.
PAGE_SIZES = (50, 200, 500)
# Address of a worker that an instance has no link to; nothing listens there.
UNREACHABLE_ADDRESS = f"{fleet.HOST}:1"
GRACE_S = documents.TimeLimits().grace_s
# Additional time for the end of a process, which may be slow to start its
# shutdown.
GRACE_MARGIN_S = 1.0


@attrs.frozen
class Size:
    """Size of a deployment.

    Attributes:
        data_centres: Number of data centres.
        instances: Number of instances in a data centre.
        racks: Number of racks in a data centre.
        workers: Number of workers in a rack; half of them serve each service.
        callers: Number of callers.
        cpu_fraction: Fraction of the time for which the instances run.
    """

    data_centres: int
    instances: int
    racks: int
    workers: int
    callers: int
    cpu_fraction: float = 1.0


SIZES = {
    "small": Size(2, 2, 1, 4, 4),
    "usual": Size(3, 3, 2, 4, 9),
    "busy": Size(2, 3, 3, 6, 40, cpu_fraction=0.3),
    "large": Size(3, 24, 4, 4, 24),
}


@attrs.define(eq=False)
class Deployment:
    """Parties of one soak.

    Attributes:
        size: Size of the deployment.
        directory: Directory of the settings files and logs.
        rng: Random numbers of the seed.
        history: History of all jobs.
        disturbances: Disturbances that faults cause, by party.
        checker: Checks the guarantees.
        network: Links between the parties.
        store: Stand-in for the platform's store.
        load_balancer: Selects the instances that callers call.
        instances: All instances by name, including removed ones.
        workers: Stand-ins for workers, by id.
        unreachable_data_centres: Number of faults that make each data centre
            unreachable.
        store_port: Port at which the store listens.
        instances_added: Number of instances that were added, including removed
            ones.
        max_lateness_s: Largest lateness of the soak's own event loop, in
            seconds.
    """

    size: Size
    directory: pathlib.Path
    rng: random.Random
    history: history_module.History
    disturbances: disturbances_module.Disturbances
    checker: guarantees_module.Checker
    network: proxy.Network
    store: store_module.Store
    load_balancer: callers.LoadBalancer
    instances: dict[str, processes.Instance]
    workers: dict[str, worker_module.Worker] = attrs.field(factory=dict)
    unreachable_data_centres: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    store_port: int = 0
    instances_added: int = 0
    max_lateness_s: float = 0.0

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Names of the data centres."""
        return tuple(f"dc{number}" for number in range(self.size.data_centres))

    async def start(self) -> None:
        """Starts the store, all workers and all instances."""
        self.store_port = await self.store.listen(fleet.HOST)
        self.publish(1)
        for number, name in enumerate(self.data_centres):
            for rack in range(self.size.racks):
                await self._add_rack(name, f"r{number + 1}-{rack + 1}")
        for name in self.data_centres:
            for _ in range(self.size.instances):
                await self.add_instance(name)

    def publish(
        self, version: int, added: tuple[model.Queue, ...] = ()
    ) -> None:
        """Writes a version of the configuration to the store.

        Args:
            version: Number of the version.
            added: Queues in addition to those of the workload.
        """
        services = (workload.FIRST_SERVICE, workload.SECOND_SERVICE)
        configuration = model.Configuration(
            version,
            workload.QUEUES + added,
            tuple(model.Service(name) for name in services),
        )
        self.store.write(
            store_module.CONFIGURATION_KEY,
            documents.encode_configuration(configuration),
        )

    async def _add_rack(self, data_centre: str, rack: str) -> None:
        for number in range(self.size.workers):
            services = (workload.FIRST_SERVICE, workload.SECOND_SERVICE)
            service = services[number * 2 // self.size.workers]
            labels = (workload.LABELS[number % 2], rack)
            name = f"{rack}-w{number}"
            entry = model.WorkerEntry(
                name,
                0,
                service,
                "",
                data_centre,
                WORKER_CAPACITY,
                labels,
                False,
            )
            worker = worker_module.Worker(
                entry,
                random.Random(f"{name} {self.rng.random()}"),
                self.network.identify_caller,
                self.observe,
                self.history.find_step,
                self.history.find_duration,
            )
            await worker.listen(fleet.HOST)
            worker.start()
            self.workers[name] = worker
            self.write_heartbeat(worker)

    async def add_instance(self, data_centre: str) -> None:
        """Adds an instance with its links and starts it."""
        self.instances_added += 1
        name = f"{data_centre}-e{self.instances_added}"
        instance = processes.Instance(
            name,
            data_centre,
            make_host(self.instances_added),
            self.directory / f"{name}.conf",
            self.directory / f"{name}.log",
        )
        link = await self.network.connect(
            name, disturbances_module.STORE, fleet.HOST, self.store_port
        )
        for worker_id, worker in self.workers.items():
            await self.network.connect(name, worker_id, fleet.HOST, worker.port)
        settings = documents.InstanceSettings(
            name,
            data_centre,
            self.data_centres,
            f"{instance.host}:{processes.CALLERS_PORT}",
            instance.ready_address,
            link.address,
        )
        instance.settings.write_text(documents.encode_settings(settings))
        callers_link = await self.network.connect(
            CALLERS, name, instance.host, processes.CALLERS_PORT
        )
        self.instances[name] = instance
        self.load_balancer.addresses[name] = callers_link.address
        instance.start()

    def remove_instance(self, name: str) -> bool:
        """Removes an instance; returns whether it was not removed before."""
        instance = self.instances[name]
        if instance.is_removed:
            return False
        instance.kill()
        instance.is_removed = True
        self.load_balancer.addresses.pop(name, None)
        return True

    def restart(self, name: str) -> None:
        """Starts an instance unless it runs or was removed."""
        self.instances[name].start()

    async def wait_stopped(self, name: str) -> None:
        """Waits for an instance to end after SIGTERM.

        An instance that does not end in time violates a guarantee and is
        killed. The time for which it is paused does not count.
        """
        instance = self.instances[name]
        limit_s = GRACE_S + GRACE_MARGIN_S
        if await instance.wait_exit(limit_s):
            return
        text = f"{name} still runs, {limit_s:g} s of run time after SIGTERM"
        self.history.report_violation("processes end after SIGTERM", "", text)
        instance.kill()
        await instance.wait_exit(math.inf)

    def list_parties(self, data_centre: str) -> set[str]:
        """Returns all instances and workers of a data centre."""
        instances = {
            name
            for name, instance in self.instances.items()
            if instance.data_centre == data_centre
        }
        workers = {
            name
            for name, worker in self.workers.items()
            if worker.entry.data_centre == data_centre
        }
        return instances | workers

    def drain(self, worker_id: str) -> bool:
        """Lets a worker announce that it drains.

        Returns:
            Whether it did; it cannot if the worker or the store is down.
        """
        worker = self.workers[worker_id]
        if worker.incarnation is None or self.store.faults.outages:
            return False
        worker.entry = attrs.evolve(worker.entry, draining=True)
        self.write_heartbeat(worker)
        self.checker.drained_at[worker_id] = time.monotonic()
        return True

    def write_heartbeat(self, worker: worker_module.Worker) -> None:
        """Writes a worker's entry to the store.

        Nothing is written if the worker or the store is down, or if the
        worker's data centre is unreachable.
        """
        self.checker.entries[worker.entry.worker_id] = worker.entry
        if (
            worker.incarnation is None
            or self.unreachable_data_centres[worker.entry.data_centre]
        ):
            return
        self.store.write_entry(worker.entry)

    def observe(self, event: observations.Observation) -> None:
        """Passes an observation of a worker to the checks.

        Before the start of a run, all other workers are brought up to its time,
        so that the ends of their runs are observed first.
        """
        try:
            if isinstance(event, observations.RunStarted):
                for name, worker in self.workers.items():
                    if name != event.worker_id:
                        worker.advance(event.at)
            guarantees_module.observe(event, self.checker)
        except Exception:
            text = traceback.format_exc()
            self.history.report_violation("the checks do not fail", "", text)

    async def run_heartbeats(self) -> None:
        """Writes the entries of all workers in turn until it is cancelled."""
        while True:
            for worker in self.workers.values():
                self.write_heartbeat(worker)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S / len(self.workers))

    async def run_checks(self) -> None:
        """Advances the workers and runs the checks until it is cancelled."""
        checked_at = before = time.monotonic()
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            now = time.monotonic()
            self._record_lateness(now - before - ADVANCE_INTERVAL_S)
            before = now
            for worker in self.workers.values():
                worker.advance(now)
            if now - checked_at > CHECK_INTERVAL_S:
                checked_at = now
                self.checker.check_time_limits(now)
                self._check_processes()

    def _record_lateness(self, lateness_s: float) -> None:
        self.max_lateness_s = max(self.max_lateness_s, lateness_s)
        if lateness_s > LATE_LOOP_S:
            clock = time.strftime("%H:%M:%S")
            with (self.directory / "late.txt").open("a") as lines:
                lines.write(f"{clock} late by {lateness_s:.3f} s\n")
            with self.disturbances.record(disturbances_module.ALL_PARTIES):
                pass

    def _check_processes(self) -> None:
        for name, instance in self.instances.items():
            if instance.has_failed():
                assert instance.process is not None
                code = instance.process.returncode
                text = f"{name} ended by itself with code {code}"
                self.history.report_violation(
                    "processes do not end by themselves", "", text
                )
                instance.start()

    def stop(self) -> None:
        """Kills all processes of the deployment."""
        for instance in self.instances.values():
            instance.kill()
            if instance.process is not None:
                instance.process.wait()


def make_host(number: int) -> str:
    """Returns the loopback address of an instance.

    The address contains the process id, so that soaks may run at the same time.

    Args:
        number: Number of the instance in this deployment.
    """
    high, low = divmod(os.getpid(), 256)
    return f"127.{64 + high % 64}.{low}.{number}"


def find_worker_address(
    network: proxy.Network, caller: str, worker_id: str
) -> str:
    """Returns the address of the link from an instance to a worker.

    Args:
        network: Links of the deployment.
        caller: Name of the instance.
        worker_id: Id of the worker.
    """
    link = network.links.get((caller, worker_id))
    return link.address if link else UNREACHABLE_ADDRESS


def build(
    size: Size, directory: pathlib.Path, rng: random.Random
) -> Deployment:
    """Builds a deployment, which is not started yet.

    Args:
        size: Size of the deployment.
        directory: Directory of the settings files and logs.
        rng: Random numbers of the seed.
    """
    history = history_module.History()
    disturbances = disturbances_module.Disturbances()
    network = proxy.Network()
    instances: dict[str, processes.Instance] = {}
    store = store_module.Store(
        random.Random(rng.random()),
        network.identify_caller,
        functools.partial(find_worker_address, network),
        rng.choice(PAGE_SIZES),
    )
    return Deployment(
        size,
        directory,
        rng,
        history,
        disturbances,
        guarantees_module.Checker(history, disturbances),
        network,
        store,
        callers.LoadBalancer(instances),
        instances,
    )
