"""Faults: what a seed draws, and how each is done and undone.

Each fault runs on its own, so that faults of all kinds overlap.
"""

from __future__ import annotations

import asyncio
import functools
import random

import attrs

from sapphirestall_standins import refusals
from soak import deployment as site_module
from soak import disturbances
from soak import proxy

HARSH = (
    refusals.Refusal.BUSY,
    refusals.Refusal.UNAVAILABLE,
    refusals.Refusal.RESET,
    refusals.Refusal.SILENCE,
)
BOTH = (proxy.Direction.FORTH, proxy.Direction.BACK)
# A drained worker leaves after this time and returns after another.
DRAIN_S = 4.0
PERIOD_S = 0.1
DELAYS_S = (0.02, 0.2, 0.7)


@attrs.frozen(kw_only=True)
class Fault:
    """A fault that begins at a time of the run.

    Attributes:
        at_s: Seconds after the begin of the run.
        for_s: How long it lasts.
    """

    at_s: float = 0.0
    for_s: float = 0.0


@attrs.frozen(kw_only=True)
class Killed(Fault):
    """Processes are killed and start again when the fault is over."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Stopped(Fault):
    """Processes are asked to end and start again when the fault is over."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Rolled(Fault):
    """Processes are asked to end and start again, one after the other."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Paused(Fault):
    """Processes stand still."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Throttled(Fault):
    """Processes run for a share of each tenth of a second."""

    instances: tuple[str, ...]
    share: float


@attrs.frozen(kw_only=True)
class Replaced(Fault):
    """An instance is lost for good; another one comes with the end."""

    instance: str


@attrs.frozen(kw_only=True)
class StoreRefuses(Fault):
    """The store refuses all instances, or only some."""

    refusal: refusals.Refusal
    instances: tuple[str, ...] = ()
    leases_pause: bool = False


@attrs.frozen(kw_only=True)
class StoreSlow(Fault):
    """Each call to the store takes longer."""

    delay_s: float


@attrs.frozen(kw_only=True)
class StoreLoses(Fault):
    """Writes get no answer, some of them happen seconds later."""

    lost_share: float
    late_share: float


@attrs.frozen(kw_only=True)
class StoreForgets(Fault):
    """History is discarded, leases end, or watches hear nothing."""

    history: bool
    leases: bool
    deaf: bool


@attrs.frozen(kw_only=True)
class Cut(Fault):
    """Bytes between two sets of parties are held up."""

    sources: tuple[str, ...]
    targets: tuple[str, ...]
    directions: tuple[proxy.Direction, ...]


@attrs.frozen(kw_only=True)
class DataCentreCut(Fault):
    """A data centre reaches neither the store nor other data centres."""

    data_centre: str


@attrs.frozen(kw_only=True)
class Harmed(Fault):
    """Links of some parties are slow, reset or go silent."""

    parties: tuple[str, ...]
    delay_s: float = 0.0
    resets: bool = False
    silences: bool = False


@attrs.frozen(kw_only=True)
class WorkerCrashed(Fault):
    """A worker crashes and is born again under its id, perhaps often.

    Attributes:
        up_s: Time between two crashes.
        down_share: Share of the fault's time for which it is down.
    """

    worker: str
    times: int
    up_s: float
    down_share: float


@attrs.frozen(kw_only=True)
class WorkerLeaves(Fault):
    """A worker announces that it leaves, and returns later."""

    worker: str


@attrs.frozen(kw_only=True)
class WorkersFail(Fault):
    """Workers answer badly: late starts, lost answers, failed runs."""

    workers: tuple[str, ...]
    late_share: float
    lost_share: float
    fail_share: float
    refusal: refusals.Refusal | None


@functools.singledispatch
async def inject(fault: Fault, site: site_module.Site) -> None:
    """Does a fault, waits for as long as it lasts, and undoes it."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
async def _(fault: Killed, site: site_module.Site) -> None:
    with site.disturbances.note(*fault.instances):
        for name in fault.instances:
            site.instances[name].kill()
        await asyncio.sleep(fault.for_s)
        for name in fault.instances:
            site.restart(name)


@inject.register
async def _(fault: Stopped, site: site_module.Site) -> None:
    with site.disturbances.note(*fault.instances):
        for name in fault.instances:
            site.instances[name].stop()
        ends = [site.wait_stopped(name) for name in fault.instances]
        await asyncio.gather(*ends, asyncio.sleep(fault.for_s))
        for name in fault.instances:
            site.restart(name)


@inject.register
async def _(fault: Rolled, site: site_module.Site) -> None:
    for name in fault.instances:
        with site.disturbances.note(name):
            site.instances[name].stop()
            await site.wait_stopped(name)
            site.restart(name)
            await asyncio.sleep(fault.for_s / len(fault.instances))


@inject.register
async def _(fault: Paused, site: site_module.Site) -> None:
    with site.disturbances.note(*fault.instances):
        for name in fault.instances:
            site.instances[name].pause()
        await asyncio.sleep(fault.for_s)
        for name in fault.instances:
            site.instances[name].resume()


@inject.register
async def _(fault: Throttled, site: site_module.Site) -> None:
    with site.disturbances.note(*fault.instances):
        for _ in range(round(fault.for_s / PERIOD_S)):
            await _throttle(site, fault.instances, fault.share)


async def hold_share(site: site_module.Site, share: float) -> None:
    """Lets all instances run for a share of the time, while it runs."""
    while True:
        await _throttle(site, tuple(site.instances), share)


async def _throttle(
    site: site_module.Site, names: tuple[str, ...], share: float
) -> None:
    await asyncio.sleep(PERIOD_S * share)
    for name in names:
        site.instances[name].pause()
    try:
        await asyncio.sleep(PERIOD_S * (1 - share))
    finally:
        for name in names:
            site.instances[name].resume()


@inject.register
async def _(fault: Replaced, site: site_module.Site) -> None:
    with site.disturbances.note(fault.instance):
        if not site.remove_instance(fault.instance):
            return
        await asyncio.sleep(fault.for_s)
        await site.add_instance(site.instances[fault.instance].data_centre)


@inject.register
async def _(fault: StoreRefuses, site: site_module.Site) -> None:
    parties = fault.instances or (disturbances.STORE,)
    faults = site.store.faults
    with site.disturbances.note(*parties):
        if not fault.instances:
            faults.leases_pause = fault.leases_pause
            faults.down.append(fault.refusal)
        for name in fault.instances:
            faults.refused[name] = fault.refusal
        await asyncio.sleep(fault.for_s)
        if not fault.instances:
            faults.down.remove(fault.refusal)
        for name in fault.instances:
            faults.refused.pop(name, None)


@inject.register
async def _(fault: StoreSlow, site: site_module.Site) -> None:
    with site.disturbances.note(disturbances.STORE):
        site.store.faults.delay_s += fault.delay_s
        await asyncio.sleep(fault.for_s)
        site.store.faults.delay_s -= fault.delay_s


@inject.register
async def _(fault: StoreLoses, site: site_module.Site) -> None:
    faults = site.store.faults
    with site.disturbances.note(disturbances.STORE):
        faults.lost_share += fault.lost_share
        faults.late_share += fault.late_share
        await asyncio.sleep(fault.for_s)
        faults.lost_share -= fault.lost_share
        faults.late_share -= fault.late_share


@inject.register
async def _(fault: StoreForgets, site: site_module.Site) -> None:
    with site.disturbances.note(disturbances.STORE):
        if fault.history:
            site.store.forget_history()
        if fault.leases:
            site.store.revoke_leases()
        site.store.faults.deaf += fault.deaf
        await asyncio.sleep(fault.for_s)
        site.store.faults.deaf -= fault.deaf


@inject.register
async def _(fault: Cut, site: site_module.Site) -> None:
    links = [
        link
        for (source, target), link in site.network.links.items()
        if source in fault.sources and target in fault.targets
    ]
    with site.disturbances.note(*fault.sources, *fault.targets):
        await _hold(links, fault.directions, fault.for_s)


@inject.register
async def _(fault: DataCentreCut, site: site_module.Site) -> None:
    inside = site.list_parties(fault.data_centre)
    links = [
        link
        for (source, target), link in site.network.links.items()
        if source != site_module.CALLERS
        and (source in inside) != (target in inside)
    ]
    with site.disturbances.note(*inside):
        site.cut_off[fault.data_centre] += 1
        await _hold(links, BOTH, fault.for_s)
        site.cut_off[fault.data_centre] -= 1


async def _hold(
    links: list[proxy.Link],
    directions: tuple[proxy.Direction, ...],
    for_s: float,
) -> None:
    for link in links:
        link.held.update(directions)
    await asyncio.sleep(for_s)
    for link in links:
        link.held.subtract(directions)


@inject.register
async def _(fault: Harmed, site: site_module.Site) -> None:
    links = site.network.find(*fault.parties)
    with site.disturbances.note(*fault.parties):
        for link in links:
            link.delay_s += fault.delay_s
            link.resets += fault.resets
            if fault.resets:
                link.reset()
            if fault.silences:
                link.silence()
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.delay_s -= fault.delay_s
            link.resets -= fault.resets


@inject.register
async def _(fault: WorkerCrashed, site: site_module.Site) -> None:
    worker = site.workers[fault.worker]
    with site.disturbances.note(fault.worker):
        for number in range(fault.times):
            if number:
                await asyncio.sleep(fault.up_s)
            if worker.model is not None:
                worker.crash()
            await asyncio.sleep(fault.for_s * fault.down_share / fault.times)
            if worker.model is None:
                worker.begin()


@inject.register
async def _(fault: WorkerLeaves, site: site_module.Site) -> None:
    with site.disturbances.note(fault.worker):
        if not site.drain(fault.worker):
            return
        await asyncio.sleep(DRAIN_S)
        worker = site.workers[fault.worker]
        if worker.model is not None:
            worker.crash()
        site.store.remove_entry(fault.worker)
        await asyncio.sleep(fault.for_s)
        if worker.model is None:
            worker.begin()


@inject.register
async def _(fault: WorkersFail, site: site_module.Site) -> None:
    faults = [site.workers[name].faults for name in fault.workers]
    with site.disturbances.note(*fault.workers):
        for one in faults:
            one.late_share += fault.late_share
            one.lost_share += fault.lost_share
            one.fail_share += fault.fail_share
            one.refusal = fault.refusal
        await asyncio.sleep(fault.for_s)
        for one in faults:
            one.late_share -= fault.late_share
            one.lost_share -= fault.lost_share
            one.fail_share -= fault.fail_share
            one.refusal = None


@attrs.define
class Plan:
    """Draws faults from a seed.

    Attributes:
        instances: Names of all instances, by data centre.
        workers: Names of all workers.
    """

    rng: random.Random
    instances: dict[str, tuple[str, ...]]
    workers: tuple[str, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all instances."""
        return tuple(
            name for names in self.instances.values() for name in names
        )

    def draw(self, seconds: float, interval_s: float) -> list[Fault]:
        """Returns the faults of a run, about one in each interval."""
        faults: list[Fault] = []
        at_s = self.rng.uniform(0.5, interval_s)
        while at_s < seconds - 1:
            for_s = min(self.rng.uniform(0.2, 8.0), seconds - at_s)
            faults.append(self._draw_one(at_s, for_s))
            if self.rng.random() < 0.25:
                # A second fault in the middle of the first one.
                later_s = at_s + for_s * self.rng.random()
                rest_s = min(for_s, seconds - later_s)
                faults.append(self._draw_one(later_s, rest_s))
            at_s += self.rng.expovariate(1 / interval_s)
        return faults

    def _draw_one(self, at_s: float, for_s: float) -> Fault:
        draws = (
            self._draw_processes,
            self._draw_store,
            self._draw_network,
            self._draw_workers,
        )
        fault = self.rng.choice(draws)()
        return attrs.evolve(fault, at_s=at_s, for_s=for_s)

    def _choose(self, names: tuple[str, ...], most: int) -> tuple[str, ...]:
        count = self.rng.randint(1, min(most, len(names)))
        return tuple(self.rng.sample(names, count))

    def _draw_processes(self) -> Fault:
        some = self._choose(self.names, 3)
        if self.rng.random() < 0.12:
            some = self.names
        faults = (
            Killed(instances=some),
            Stopped(instances=some),
            Paused(instances=some),
            Throttled(instances=some, share=self.rng.uniform(0.1, 0.5)),
            Replaced(instance=some[0]),
            Rolled(instances=self.names),
        )
        return self.rng.choices(faults, (4, 3, 4, 3, 1, 1))[0]

    def _draw_store(self) -> Fault:
        refusal = self.rng.choice(HARSH)
        forgets = [self.rng.random() < share for share in (0.5, 0.4, 0.4)]
        faults = (
            StoreRefuses(refusal=refusal, leases_pause=self.rng.random() < 0.5),
            StoreRefuses(
                refusal=refusal, instances=self._choose(self.names, 3)
            ),
            StoreSlow(delay_s=self.rng.choice((0.05, 0.3, 0.8))),
            StoreLoses(
                lost_share=self.rng.uniform(0.02, 0.4),
                late_share=self.rng.uniform(0.0, 0.2),
            ),
            StoreForgets(
                history=forgets[0], leases=forgets[1], deaf=forgets[2]
            ),
        )
        return self.rng.choice(faults)

    def _draw_network(self) -> Fault:
        centre = self.rng.choice(list(self.instances))
        parties = self._choose((*self.names, *self.workers), 4)
        faults = (
            DataCentreCut(data_centre=centre),
            self._draw_harm(parties),
            self._draw_cut(),
        )
        return self.rng.choices(faults, (1, 1, 2))[0]

    def _draw_cut(self) -> Fault:
        targets: tuple[str, ...] = (disturbances.STORE,)
        if self.rng.random() < 0.6:
            targets = self._choose(self.workers, len(self.workers))
        if self.rng.random() < 0.2:
            targets = (*self.workers, disturbances.STORE)
        directions = self.rng.choice((BOTH, BOTH[:1], BOTH[1:]))
        sources = self._choose(self.names, 3)
        return Cut(sources=sources, targets=targets, directions=directions)

    def _draw_harm(self, parties: tuple[str, ...]) -> Fault:
        faults = (
            Harmed(parties=parties, delay_s=self.rng.choice(DELAYS_S)),
            Harmed(parties=parties, resets=True),
            Harmed(parties=parties, silences=True),
        )
        return self.rng.choice(faults)

    def _draw_workers(self) -> Fault:
        worker = self.rng.choice(self.workers)
        refuses = self.rng.random() < 0.2
        shares = [self.rng.choice((0.0, 0.1, 0.5)) for _ in range(2)]
        faults = (
            WorkerCrashed(
                worker=worker,
                times=self.rng.randint(1, 4),
                up_s=self.rng.uniform(0.2, 2.0),
                down_share=self.rng.random() ** 2,
            ),
            WorkerLeaves(worker=worker),
            WorkersFail(
                workers=self._choose(self.workers, len(self.workers)),
                late_share=shares[0],
                lost_share=shares[1],
                fail_share=self.rng.choice((0.0, 0.05)),
                refusal=self.rng.choice(HARSH) if refuses else None,
            ),
        )
        return self.rng.choices(faults, (1, 1, 2))[0]
