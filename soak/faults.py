"""Faults of a soak: their injection and their generation from a seed.

Each fault is injected independently, so that faults of all kinds overlap.
"""

from __future__ import annotations

import asyncio
import functools
import random

import attrs

from sapphirestall_standins import refusals
from soak import deployment as deployment_module
from soak import disturbances
from soak import proxy

REFUSALS = (
    refusals.Refusal.BUSY,
    refusals.Refusal.UNAVAILABLE,
    refusals.Refusal.RESET,
    refusals.Refusal.NO_ANSWER,
)
BOTH_DIRECTIONS = (proxy.Direction.OUTBOUND, proxy.Direction.INBOUND)
# Time from a worker's announcement that it drains until it ends.
DRAIN_DURATION_S = 4.0
THROTTLE_PERIOD_S = 0.1
LINK_DELAYS_S = (0.02, 0.2, 0.7)


@attrs.frozen(kw_only=True)
class Fault:
    """A fault.

    Attributes:
        start_s: Time from the start of the fault phase, in seconds.
        duration_s: Duration, in seconds.
    """

    start_s: float = 0.0
    duration_s: float = 0.0


@attrs.frozen(kw_only=True)
class ProcessesKilled(Fault):
    """Processes get SIGKILL and are restarted at the end of the fault."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ProcessesTerminated(Fault):
    """Processes get SIGTERM and are restarted at the end of the fault."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class RollingRestart(Fault):
    """Processes get SIGTERM and are restarted, one after the other."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ProcessesPaused(Fault):
    """Processes are paused with SIGSTOP and continue at the end."""

    instances: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ProcessesThrottled(Fault):
    """Processes run only for a part of each throttling period.

    Attributes:
        fraction: Fraction of the time for which they run.
    """

    instances: tuple[str, ...]
    fraction: float


@attrs.frozen(kw_only=True)
class InstanceReplaced(Fault):
    """An instance is removed; a new one is added at the end of the fault."""

    instance: str


@attrs.frozen(kw_only=True)
class StoreUnavailable(Fault):
    """The store refuses calls.

    Attributes:
        refusal: How it refuses them.
        instances: Instances whose calls it refuses; empty for all.
        leases_paused: Whether leases do not expire during the fault.
    """

    refusal: refusals.Refusal
    instances: tuple[str, ...] = ()
    leases_paused: bool = False


@attrs.frozen(kw_only=True)
class StoreSlow(Fault):
    """Each call to the store takes longer.

    Attributes:
        delay_s: Mean additional duration, in seconds.
    """

    delay_s: float


@attrs.frozen(kw_only=True)
class StoreAnswersLost(Fault):
    """Some writes to the store get no answer.

    Attributes:
        lost_answer_fraction: Fraction of writes that are carried out at once
            but get no answer.
        late_write_fraction: Fraction of writes that get no answer and are
            carried out seconds later.
    """

    lost_answer_fraction: float
    late_write_fraction: float


@attrs.frozen(kw_only=True)
class StoreStateLost(Fault):
    """The store loses history or leases, or its watches report no changes.

    Attributes:
        discards_history: Whether the history of changes is discarded.
        revokes_leases: Whether all leases end.
        suspends_watches: Whether watches report no changes during the fault.
    """

    discards_history: bool
    revokes_leases: bool
    suspends_watches: bool


@attrs.frozen(kw_only=True)
class LinksBlocked(Fault):
    """Links from some parties to others hold data back until the end.

    Attributes:
        sources: Parties that open the connections.
        targets: Parties that accept them.
        directions: Directions in which data are held back.
    """

    sources: tuple[str, ...]
    targets: tuple[str, ...]
    directions: tuple[proxy.Direction, ...]


@attrs.frozen(kw_only=True)
class DataCentreUnreachable(Fault):
    """A data centre has no connection to the store or to other data centres.

    Callers still reach its instances.
    """

    data_centre: str


@attrs.frozen(kw_only=True)
class LinksDegraded(Fault):
    """Links of some parties are slow, are reset or stall.

    Attributes:
        parties: Parties whose links are affected.
        delay_s: Additional delay in each direction, in seconds.
        resets: Whether open connections, and new ones during the fault, are
            reset.
        stalls: Whether open connections pass nothing on any more.
    """

    parties: tuple[str, ...]
    delay_s: float = 0.0
    resets: bool = False
    stalls: bool = False


@attrs.frozen(kw_only=True)
class WorkerCrashed(Fault):
    """A worker crashes and restarts under the same id, once or several times.

    Attributes:
        worker: Id of the worker.
        crashes: Number of crashes.
        uptime_s: Time from a restart to the next crash, in seconds.
        downtime_fraction: Fraction of the fault's duration for which the worker
            is down, in total.
    """

    worker: str
    crashes: int
    uptime_s: float
    downtime_fraction: float


@attrs.frozen(kw_only=True)
class WorkerDrained(Fault):
    """A worker drains, ends, and restarts when the duration has passed."""

    worker: str


@attrs.frozen(kw_only=True)
class WorkersFaulty(Fault):
    """Workers refuse calls, start runs late, lose answers or fail runs.

    Attributes:
        workers: Ids of the workers.
        late_start_fraction: Fraction of starts that get no answer and are
            carried out seconds later.
        lost_answer_fraction: Fraction of commands that are carried out but get
            no answer.
        failure_fraction: Fraction of runs that fail.
        refusal: How the workers refuse all calls; None if they serve them.
    """

    workers: tuple[str, ...]
    late_start_fraction: float
    lost_answer_fraction: float
    failure_fraction: float
    refusal: refusals.Refusal | None


@functools.singledispatch
async def inject(
    fault: Fault, deployment: deployment_module.Deployment
) -> None:
    """Injects a fault and removes it after its duration."""
    raise NotImplementedError(type(fault).__name__)


@inject.register
async def _(
    fault: ProcessesKilled, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(*fault.instances):
        for name in fault.instances:
            deployment.instances[name].kill()
        await asyncio.sleep(fault.duration_s)
        for name in fault.instances:
            deployment.restart(name)


@inject.register
async def _(
    fault: ProcessesTerminated, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(*fault.instances):
        for name in fault.instances:
            deployment.instances[name].stop()
        exits = [deployment.wait_stopped(name) for name in fault.instances]
        await asyncio.gather(*exits, asyncio.sleep(fault.duration_s))
        for name in fault.instances:
            deployment.restart(name)


@inject.register
async def _(
    fault: RollingRestart, deployment: deployment_module.Deployment
) -> None:
    for name in fault.instances:
        with deployment.disturbances.record(name, is_planned=True):
            deployment.instances[name].stop()
            await deployment.wait_stopped(name)
            deployment.restart(name)
            await asyncio.sleep(fault.duration_s / len(fault.instances))


@inject.register
async def _(
    fault: ProcessesPaused, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(*fault.instances):
        for name in fault.instances:
            deployment.instances[name].pause()
        await asyncio.sleep(fault.duration_s)
        for name in fault.instances:
            deployment.instances[name].resume()


@inject.register
async def _(
    fault: ProcessesThrottled, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(*fault.instances):
        for _ in range(round(fault.duration_s / THROTTLE_PERIOD_S)):
            await _throttle_once(deployment, fault.instances, fault.fraction)


async def throttle_all(
    deployment: deployment_module.Deployment, fraction: float
) -> None:
    """Throttles all instances until it is cancelled.

    Args:
        deployment: The deployment.
        fraction: Fraction of the time for which the instances run.
    """
    while True:
        await _throttle_once(deployment, tuple(deployment.instances), fraction)


async def _throttle_once(
    deployment: deployment_module.Deployment,
    names: tuple[str, ...],
    fraction: float,
) -> None:
    await asyncio.sleep(THROTTLE_PERIOD_S * fraction)
    for name in names:
        deployment.instances[name].pause()
    try:
        await asyncio.sleep(THROTTLE_PERIOD_S * (1 - fraction))
    finally:
        for name in names:
            deployment.instances[name].resume()


@inject.register
async def _(
    fault: InstanceReplaced, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(fault.instance):
        if not deployment.remove_instance(fault.instance):
            return
        await asyncio.sleep(fault.duration_s)
        await deployment.add_instance(
            deployment.instances[fault.instance].data_centre
        )


@inject.register
async def _(
    fault: StoreUnavailable, deployment: deployment_module.Deployment
) -> None:
    parties = fault.instances or (disturbances.STORE,)
    faults = deployment.store.faults
    with deployment.disturbances.record(*parties):
        if not fault.instances:
            faults.leases_paused = fault.leases_paused
            faults.outages.append(fault.refusal)
        for name in fault.instances:
            faults.refused_instances[name] = fault.refusal
        await asyncio.sleep(fault.duration_s)
        if not fault.instances:
            faults.outages.remove(fault.refusal)
        for name in fault.instances:
            faults.refused_instances.pop(name, None)


@inject.register
async def _(fault: StoreSlow, deployment: deployment_module.Deployment) -> None:
    with deployment.disturbances.record(disturbances.STORE):
        deployment.store.faults.delay_s += fault.delay_s
        await asyncio.sleep(fault.duration_s)
        deployment.store.faults.delay_s -= fault.delay_s


@inject.register
async def _(
    fault: StoreAnswersLost, deployment: deployment_module.Deployment
) -> None:
    faults = deployment.store.faults
    with deployment.disturbances.record(disturbances.STORE):
        faults.lost_answer_fraction += fault.lost_answer_fraction
        faults.late_write_fraction += fault.late_write_fraction
        await asyncio.sleep(fault.duration_s)
        faults.lost_answer_fraction -= fault.lost_answer_fraction
        faults.late_write_fraction -= fault.late_write_fraction


@inject.register
async def _(
    fault: StoreStateLost, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(disturbances.STORE):
        if fault.discards_history:
            deployment.store.discard_history()
        if fault.revokes_leases:
            deployment.store.revoke_leases()
        deployment.store.faults.watches_suspended += fault.suspends_watches
        await asyncio.sleep(fault.duration_s)
        deployment.store.faults.watches_suspended -= fault.suspends_watches


@inject.register
async def _(
    fault: LinksBlocked, deployment: deployment_module.Deployment
) -> None:
    links = [
        link
        for (source, target), link in deployment.network.links.items()
        if source in fault.sources and target in fault.targets
    ]
    with deployment.disturbances.record(*fault.sources, *fault.targets):
        await _block_links(links, fault.directions, fault.duration_s)


@inject.register
async def _(
    fault: DataCentreUnreachable, deployment: deployment_module.Deployment
) -> None:
    inside = deployment.list_parties(fault.data_centre)
    links = [
        link
        for (source, target), link in deployment.network.links.items()
        if source != deployment_module.CALLERS
        and (source in inside) != (target in inside)
    ]
    with deployment.disturbances.record(*inside):
        deployment.unreachable_data_centres[fault.data_centre] += 1
        await _block_links(links, BOTH_DIRECTIONS, fault.duration_s)
        deployment.unreachable_data_centres[fault.data_centre] -= 1


async def _block_links(
    links: list[proxy.Link],
    directions: tuple[proxy.Direction, ...],
    duration_s: float,
) -> None:
    for link in links:
        link.blocked.update(directions)
    await asyncio.sleep(duration_s)
    for link in links:
        link.blocked.subtract(directions)


@inject.register
async def _(
    fault: LinksDegraded, deployment: deployment_module.Deployment
) -> None:
    links = deployment.network.find(*fault.parties)
    with deployment.disturbances.record(*fault.parties):
        for link in links:
            link.delay_s += fault.delay_s
            link.resets += fault.resets
            if fault.resets:
                link.reset()
            if fault.stalls:
                link.stall()
        await asyncio.sleep(fault.duration_s)
        for link in links:
            link.delay_s -= fault.delay_s
            link.resets -= fault.resets


@inject.register
async def _(
    fault: WorkerCrashed, deployment: deployment_module.Deployment
) -> None:
    worker = deployment.workers[fault.worker]
    with deployment.disturbances.record(fault.worker):
        for number in range(fault.crashes):
            if number:
                await asyncio.sleep(fault.uptime_s)
            if worker.incarnation is not None:
                worker.crash()
            await asyncio.sleep(
                fault.duration_s * fault.downtime_fraction / fault.crashes
            )
            if worker.incarnation is None:
                worker.start()


@inject.register
async def _(
    fault: WorkerDrained, deployment: deployment_module.Deployment
) -> None:
    with deployment.disturbances.record(fault.worker, is_planned=True):
        if not deployment.drain(fault.worker):
            return
        await asyncio.sleep(DRAIN_DURATION_S)
        worker = deployment.workers[fault.worker]
        if worker.incarnation is not None:
            worker.crash()
        deployment.store.remove_entry(fault.worker)
        await asyncio.sleep(fault.duration_s)
        if worker.incarnation is None:
            worker.start()


@inject.register
async def _(
    fault: WorkersFaulty, deployment: deployment_module.Deployment
) -> None:
    faults = [deployment.workers[name].faults for name in fault.workers]
    with deployment.disturbances.record(*fault.workers):
        for worker_faults in faults:
            worker_faults.late_start_fraction += fault.late_start_fraction
            worker_faults.lost_answer_fraction += fault.lost_answer_fraction
            worker_faults.failure_fraction += fault.failure_fraction
            worker_faults.refusal = fault.refusal
        await asyncio.sleep(fault.duration_s)
        for worker_faults in faults:
            worker_faults.late_start_fraction -= fault.late_start_fraction
            worker_faults.lost_answer_fraction -= fault.lost_answer_fraction
            worker_faults.failure_fraction -= fault.failure_fraction
            worker_faults.refusal = None


@attrs.define
class FaultGenerator:
    """Draws random faults.

    Attributes:
        rng: Random numbers of the seed.
        instances: Names of all instances, by data centre.
        workers: Ids of all workers.
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
        """Returns the faults of one soak.

        Args:
            seconds: Duration of the fault phase, in seconds.
            interval_s: Mean time between the starts of faults, in seconds.
        """
        faults: list[Fault] = []
        start_s = self.rng.uniform(0.5, interval_s)
        while start_s < seconds - 1:
            duration_s = min(self.rng.uniform(0.2, 8.0), seconds - start_s)
            faults.append(self._draw_one(start_s, duration_s))
            if self.rng.random() < 0.25:
                # A second fault overlaps with the first one.
                later_s = start_s + duration_s * self.rng.random()
                rest_s = min(duration_s, seconds - later_s)
                faults.append(self._draw_one(later_s, rest_s))
            start_s += self.rng.expovariate(1 / interval_s)
        return faults

    def _draw_one(self, start_s: float, duration_s: float) -> Fault:
        draws = (
            self._draw_processes,
            self._draw_store,
            self._draw_network,
            self._draw_workers,
        )
        fault = self.rng.choice(draws)()
        return attrs.evolve(fault, start_s=start_s, duration_s=duration_s)

    def _choose(
        self, names: tuple[str, ...], max_count: int
    ) -> tuple[str, ...]:
        count = self.rng.randint(1, min(max_count, len(names)))
        return tuple(self.rng.sample(names, count))

    def _draw_processes(self) -> Fault:
        chosen = self._choose(self.names, 3)
        if self.rng.random() < 0.12:
            chosen = self.names
        faults = (
            ProcessesKilled(instances=chosen),
            ProcessesTerminated(instances=chosen),
            ProcessesPaused(instances=chosen),
            ProcessesThrottled(
                instances=chosen, fraction=self.rng.uniform(0.1, 0.5)
            ),
            InstanceReplaced(instance=chosen[0]),
            RollingRestart(instances=self.names),
        )
        return self.rng.choices(faults, (4, 3, 4, 3, 1, 1))[0]

    def _draw_store(self) -> Fault:
        refusal = self.rng.choice(REFUSALS)
        losses = [self.rng.random() < fraction for fraction in (0.5, 0.4, 0.4)]
        faults = (
            StoreUnavailable(
                refusal=refusal, leases_paused=self.rng.random() < 0.5
            ),
            StoreUnavailable(
                refusal=refusal, instances=self._choose(self.names, 3)
            ),
            StoreSlow(delay_s=self.rng.choice((0.05, 0.3, 0.8))),
            StoreAnswersLost(
                lost_answer_fraction=self.rng.uniform(0.02, 0.4),
                late_write_fraction=self.rng.uniform(0.0, 0.2),
            ),
            StoreStateLost(
                discards_history=losses[0],
                revokes_leases=losses[1],
                suspends_watches=losses[2],
            ),
        )
        return self.rng.choice(faults)

    def _draw_network(self) -> Fault:
        data_centre = self.rng.choice(list(self.instances))
        parties = self._choose((*self.names, *self.workers), 4)
        faults = (
            DataCentreUnreachable(data_centre=data_centre),
            self._draw_degraded_links(parties),
            self._draw_blocked_links(),
        )
        return self.rng.choices(faults, (1, 1, 2))[0]

    def _draw_blocked_links(self) -> Fault:
        targets: tuple[str, ...] = (disturbances.STORE,)
        if self.rng.random() < 0.6:
            targets = self._choose(self.workers, len(self.workers))
        if self.rng.random() < 0.2:
            targets = (*self.workers, disturbances.STORE)
        directions = self.rng.choice(
            (BOTH_DIRECTIONS, BOTH_DIRECTIONS[:1], BOTH_DIRECTIONS[1:])
        )
        sources = self._choose(self.names, 3)
        return LinksBlocked(
            sources=sources, targets=targets, directions=directions
        )

    def _draw_degraded_links(self, parties: tuple[str, ...]) -> Fault:
        faults = (
            LinksDegraded(
                parties=parties, delay_s=self.rng.choice(LINK_DELAYS_S)
            ),
            LinksDegraded(parties=parties, resets=True),
            LinksDegraded(parties=parties, stalls=True),
        )
        return self.rng.choice(faults)

    def _draw_workers(self) -> Fault:
        worker = self.rng.choice(self.workers)
        refuses = self.rng.random() < 0.2
        fractions = [self.rng.choice((0.0, 0.1, 0.5)) for _ in range(2)]
        faults = (
            WorkerCrashed(
                worker=worker,
                crashes=self.rng.randint(1, 4),
                uptime_s=self.rng.uniform(0.2, 2.0),
                downtime_fraction=self.rng.random() ** 2,
            ),
            WorkerDrained(worker=worker),
            WorkersFaulty(
                workers=self._choose(self.workers, len(self.workers)),
                late_start_fraction=fractions[0],
                lost_answer_fraction=fractions[1],
                failure_fraction=self.rng.choice((0.0, 0.05)),
                refusal=self.rng.choice(REFUSALS) if refuses else None,
            ),
        )
        return self.rng.choices(faults, (1, 1, 2))[0]
