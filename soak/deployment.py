"""One deployment under test: wires stand-ins, links, processes, checks."""

from __future__ import annotations

import asyncio
import collections
import functools
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
from soak import guarantees as promises_module
from soak import history as ledger_module
from soak import processes
from soak import proxy
from soak import workload as work
from standins import fleet

CALLERS = "callers"
CAPACITY = resources.Vector(8000, 32_000, 0)
HEARTBEAT_S = 1.5
TICK_S = 0.05
SAMPLE_S = 0.25
# Later turns of this program's own loop would be blamed on the instances.
LATE_S = 0.3
# A store may give fewer items a page than it usually does.
PAGE_SIZES = (50, 200, 500)
UNREACHABLE = f"{fleet.HOST}:1"
GRACE_S = documents.Bounds().grace_s
GRACE_MARGIN_S = 1.0


@attrs.frozen
class Size:
    """How many parties a run has.

    Attributes:
        instances: Instances of a data centre.
        racks: Racks of a data centre.
        workers: Workers of a rack; half of them serve each service.
        cpu_share: Share of the time for which instances may run.
    """

    data_centres: int
    instances: int
    racks: int
    workers: int
    callers: int
    cpu_share: float = 1.0


SIZES = {
    "small": Size(2, 2, 1, 4, 4),
    "usual": Size(3, 3, 2, 4, 9),
    "busy": Size(2, 3, 3, 6, 40, cpu_share=0.3),
    "large": Size(3, 24, 4, 4, 24),
}


@attrs.define(eq=False)
class Site:
    """All parties of one run.

    Attributes:
        cut_off: Number of faults that cut each data centre off.
        added: Number of instances that were ever added.
        late_s: Most that this program's own loop was late.
    """

    size: Size
    directory: pathlib.Path
    rng: random.Random
    ledger: ledger_module.Ledger
    disturbances: disturbances_module.Disturbances
    promises: promises_module.Promises
    network: proxy.Network
    store: store_module.Store
    entrance: callers.Entrance
    instances: dict[str, processes.Instance]
    workers: dict[str, worker_module.Worker] = attrs.field(factory=dict)
    cut_off: collections.Counter[str] = attrs.field(factory=collections.Counter)
    store_port: int = 0
    added: int = 0
    late_s: float = 0.0

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Names of the data centres."""
        return tuple(f"dc{number}" for number in range(self.size.data_centres))

    async def start(self) -> None:
        """Starts all parties."""
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
        """Writes a version of the configuration, as the operator does."""
        services = (work.FIRST_SERVICE, work.SECOND_SERVICE)
        configuration = model.Configuration(
            version,
            work.QUEUES + added,
            tuple(model.Service(name) for name in services),
        )
        self.store.write(
            store_module.CONFIGURATION_KEY,
            documents.encode_configuration(configuration),
        )

    async def _add_rack(self, data_centre: str, rack: str) -> None:
        for number in range(self.size.workers):
            services = (work.FIRST_SERVICE, work.SECOND_SERVICE)
            service = services[number * 2 // self.size.workers]
            labels = (work.LABELS[number % 2], rack)
            name = f"{rack}-w{number}"
            entry = model.WorkerEntry(
                name, 0, service, "", data_centre, CAPACITY, labels, False
            )
            worker = worker_module.Worker(
                entry,
                random.Random(f"{name} {self.rng.random()}"),
                self.network.name_caller,
                self.observe,
                self.ledger.find_step,
                self.ledger.find_work,
            )
            await worker.listen(fleet.HOST)
            worker.begin()
            self.workers[name] = worker
            self.beat(worker)

    async def add_instance(self, data_centre: str) -> None:
        """Adds an instance and all its links, and starts it."""
        self.added += 1
        name = f"{data_centre}-e{self.added}"
        instance = processes.Instance(
            name,
            data_centre,
            name_host(self.added),
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
        front = await self.network.connect(
            CALLERS, name, instance.host, processes.CALLERS_PORT
        )
        self.instances[name] = instance
        self.entrance.addresses[name] = front.address
        instance.start()

    def remove_instance(self, name: str) -> bool:
        """Ends an instance for good; tells whether it was still there."""
        instance = self.instances[name]
        if instance.gone:
            return False
        instance.kill()
        instance.gone = True
        self.entrance.addresses.pop(name, None)
        return True

    def restart(self, name: str) -> None:
        """Starts an instance again, unless it runs or was removed."""
        self.instances[name].start()

    async def wait_stopped(self, name: str) -> None:
        """Waits until an instance that was asked to end has ended."""
        instance = self.instances[name]
        while not await instance.wait_end(GRACE_S + GRACE_MARGIN_S):
            if instance.paused:
                continue
            text = f"{name} runs {GRACE_S:g} s after SIGTERM"
            self.ledger.break_promise("processes end when asked", "", text)
            instance.kill()

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
        """Lets a worker announce that it leaves; tells whether it did."""
        worker = self.workers[worker_id]
        if worker.model is None or self.store.faults.down:
            return False
        worker.entry = attrs.evolve(worker.entry, draining=True)
        self.beat(worker)
        self.promises.drained_at[worker_id] = time.monotonic()
        return True

    def beat(self, worker: worker_module.Worker) -> None:
        """Writes a worker's entry, if it is up and reaches the store."""
        self.promises.entries[worker.entry.worker_id] = worker.entry
        if worker.model is None or self.cut_off[worker.entry.data_centre]:
            return
        self.store.write_entry(worker.entry)

    def observe(self, event: observations.Observation) -> None:
        """Checks what a worker saw."""
        try:
            if isinstance(event, observations.RunStarted):
                for name, worker in self.workers.items():
                    if name != event.worker_id:
                        worker.advance(event.at)
            promises_module.observe(event, self.promises)
        except Exception:
            text = traceback.format_exc()
            self.ledger.break_promise("the checks themselves", "", text)

    async def beat_all(self) -> None:
        """Lets all workers write their entries, for as long as it runs."""
        while True:
            for worker in self.workers.values():
                self.beat(worker)
                await asyncio.sleep(HEARTBEAT_S / len(self.workers))

    async def watch(self) -> None:
        """Looks at workers, processes and promises, for as long as it runs."""
        sampled_at = before = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self._note_lateness(now - before - TICK_S)
            before = now
            for worker in self.workers.values():
                worker.advance(now)
            if now - sampled_at > SAMPLE_S:
                sampled_at = now
                self.promises.sample(now)
                self._check_processes()

    def _note_lateness(self, late_s: float) -> None:
        self.late_s = max(self.late_s, late_s)
        if late_s > LATE_S:
            clock = time.strftime("%H:%M:%S")
            with (self.directory / "late.txt").open("a") as lines:
                lines.write(f"{clock} late by {late_s:.3f} s\n")
            with self.disturbances.note(disturbances_module.EVERYONE):
                pass

    def _check_processes(self) -> None:
        for name, instance in self.instances.items():
            if instance.has_failed():
                assert instance.process is not None
                code = instance.process.returncode
                text = f"{name} ended by itself with code {code}"
                self.ledger.break_promise("processes go on", "", text)
                instance.start()

    def stop(self) -> None:
        """Ends all processes that this run started."""
        for instance in self.instances.values():
            instance.kill()
            if instance.process is not None:
                instance.process.wait()


def name_host(number: int) -> str:
    """Returns the loopback address of an instance of this program's run."""
    high, low = divmod(os.getpid(), 256)
    return f"127.{64 + high % 64}.{low}.{number}"


def find_address(
    network: proxy.Network, caller: str, entry: model.WorkerEntry
) -> str:
    """Returns the address at which an instance reaches a worker."""
    link = network.links.get((caller, entry.worker_id))
    return link.address if link else UNREACHABLE


def build(size: Size, directory: pathlib.Path, rng: random.Random) -> Site:
    """Returns a wired deployment that was not started yet."""
    ledger = ledger_module.Ledger()
    disturbances = disturbances_module.Disturbances()
    network = proxy.Network()
    instances: dict[str, processes.Instance] = {}
    store = store_module.Store(
        random.Random(rng.random()),
        network.name_caller,
        functools.partial(find_address, network),
        rng.choice(PAGE_SIZES),
    )
    return Site(
        size,
        directory,
        rng,
        ledger,
        disturbances,
        promises_module.Promises(ledger, disturbances),
        network,
        store,
        callers.Entrance(instances),
        instances,
    )
