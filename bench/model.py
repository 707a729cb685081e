"""Model of the workers of a deployment and of the work submitted to them.

It defines workers with service tasks, the true behaviour of each kind of batch
task, and streams of jobs determined by a seed. It makes no scheduling decision.
"""

import math
import random

import attrs

from sapphirestall_core import jobs
from sapphirestall_core import policy
from sapphirestall_core import resources
from standins import worker_model

TICK_S = 0.5
REPORT_LAG_S = 4.0
WORKERS_PER_RACK = 8
SERVICE_SHARE = 0.25
NOMINAL_LOAD = 0.5
MEMORY_PER_CORE_MB = 1500
URGENT = 7
NORMAL = 2
BACKGROUND = 0
TEAMS = 73


@attrs.frozen
class Kind:
    """True behaviour of a kind of batch work.

    Attributes:
        cores: Processors that one task uses.
        run_s: Run time of one task, in seconds.
        weight: Part of the batch load, relative to the other kinds.
        interference: Excess slowdown that each processor in use causes to the
            first and the second service of the deployment, on a worker with 32
            processors, at a service load of 1.
    """

    name: str
    cores: float
    run_s: float
    weight: float
    interference: tuple[float, float]
    checkpointable: bool = True


KINDS = (
    Kind("compute", 2.0, 40.0, 3.0, (0.002, 0.004)),
    Kind("press", 4.0, 60.0, 3.0, (0.004, 0.002)),
    Kind("telemetry", 1.0, 600.0, 1.0, (0.002, 0.003), False),
    Kind("reconcile", 2.0, 30.0, 2.0, (0.016, 0.004)),
    Kind("scan", 1.0, 20.0, 1.0, (0.080, 0.016)),
    Kind("export", 1.0, 15.0, 1.0, (0.020, 0.060)),
)
# Urgent tasks interfere little, so that only free capacity delays their start.
URGENT_KIND = Kind("dispatch", 2.0, 20.0, 0.0, (0.002, 0.002))
# Arrives in waves; four processors exceed the slowdown limit of either service.
NOISY_KIND = Kind("noisy", 1.0, 30.0, 0.0, (0.100, 0.080))
ALL_KINDS = (*KINDS, URGENT_KIND, NOISY_KIND)


@attrs.frozen
class Deployment:
    """Sizes from section 1.6 of the design, and the weights of the policy."""

    name: str
    data_centres: tuple[str, ...]
    workers: int
    cores: int
    memory_mb: int
    services: tuple[str, str]
    weights: policy.Weights

    def count_batch_cores(self) -> float:
        """Returns the processors that services do not reserve."""
        return self.workers * self.cores * (1 - SERVICE_SHARE)


BELKADI = Deployment(
    "Belkadi",
    ("sefrou", "imouzzer", "el-hajeb"),
    24,
    32,
    125_000,
    ("rota", "tally"),
    policy.TAIL_LATENCY_WEIGHTS,
)
MAGNOLIA = Deployment(
    "Magnolia",
    ("atlanta", "memphis", "houston"),
    35,
    16,
    60_000,
    ("booking", "dispatch"),
    policy.THROUGHPUT_WEIGHTS,
)


@attrs.frozen
class WorkerLocation:
    """Data centre and rack of a worker."""

    worker_id: str
    data_centre: str
    rack: str


def list_locations(deployment: Deployment) -> list[WorkerLocation]:
    """Returns the locations of the workers, spread over the data centres."""
    locations = []
    for index in range(deployment.workers):
        count = len(deployment.data_centres)
        data_centre = deployment.data_centres[index % count]
        rack = f"{data_centre}-{index // count // WORKERS_PER_RACK}"
        locations.append(
            WorkerLocation(f"worker-{index:02}", data_centre, rack)
        )
    return locations


def make_worker(deployment: Deployment, index: int) -> worker_model.Worker:
    """Returns a worker with its service task."""
    cpu_millis = deployment.cores * 1000
    capacity = worker_model.Amount(cpu_millis, deployment.memory_mb)
    # Consecutive workers of a data centre run different services.
    service_index = (index // len(deployment.data_centres)) % 2
    scale = 32 / deployment.cores
    service = worker_model.Service(
        deployment.services[service_index],
        worker_model.Amount(
            round(cpu_millis * SERVICE_SHARE),
            round(deployment.memory_mb * SERVICE_SHARE),
        ),
        {
            kind.name: kind.interference[service_index] * scale
            for kind in ALL_KINDS
        },
        NOMINAL_LOAD,
    )
    kind_behaviours = {
        kind.name: worker_model.KindBehaviour(_make_usage(kind), kind.run_s)
        for kind in ALL_KINDS
    }
    return worker_model.Worker(
        capacity,
        incarnation=f"worker-{index:02}",
        services={service.name: service},
        kind_behaviours=kind_behaviours,
        report_lag_s=REPORT_LAG_S,
    )


def _make_usage(kind: Kind) -> worker_model.Amount:
    return worker_model.Amount(
        round(kind.cores * 1000), round(kind.cores * MEMORY_PER_CORE_MB)
    )


@attrs.frozen
class Arrival:
    """A job and its time of submission, in seconds."""

    at: float
    record: jobs.JobRecord


@attrs.define
class JobGenerator:
    """Generates jobs that are determined by the seed of `rng`.

    Attributes:
        max_error: Greatest factor between declared and true size or run time.
        job_count: Number of jobs generated so far.
    """

    deployment: Deployment
    rng: random.Random
    max_error: float = 1.0
    job_count: int = 0

    def make_job(
        self,
        kind: Kind,
        tasks: int,
        urgency: int,
        at: float,
        size_factor: float = 1.0,
    ) -> Arrival:
        """Returns one job; `size_factor` multiplies its declared size."""
        self.job_count += 1
        size = self._draw_error() * size_factor
        data_centre = self.rng.choice(self.deployment.data_centres)
        record = jobs.JobRecord(
            f"{kind.name}-{self.job_count}",
            data_centre,
            f"team-{self.rng.randrange(TEAMS)}",
            kind.name,
            tasks,
            resources.Vector(
                max(100, round(kind.cores * size * 1000)),
                max(100, round(kind.cores * size * MEMORY_PER_CORE_MB)),
            ),
            kind.run_s * self._draw_error(),
            urgency,
            kind.checkpointable,
            (),
            at,
        )
        return Arrival(at, record)

    def _draw_error(self) -> float:
        if self.max_error <= 1.0:
            return 1.0
        return self.max_error ** self.rng.uniform(-1.0, 1.0)

    def make_stream(
        self,
        kinds: tuple[Kind, ...],
        weights: tuple[float, ...],
        load: float,
        urgency: int,
        start: float,
        end: float,
    ) -> list[Arrival]:
        """Returns jobs with Poisson arrivals that offer a mean load.

        Args:
            kinds: Kinds of the jobs.
            weights: Part of the load of each kind.
            load: Processors that the jobs use on average.
            urgency: Urgency of the jobs.
            start: Earliest time of arrival, in seconds.
            end: Time before which all jobs arrive, in seconds.
        """
        arrivals = []
        for kind, weight in zip(kinds, weights, strict=True):
            cores = load * weight / sum(weights)
            tasks = max(1, min(8, math.ceil(cores / kind.cores / 4)))
            rate = cores / (kind.cores * kind.run_s * tasks)
            at = start + self.rng.expovariate(rate)
            while at < end:
                arrivals.append(self.make_job(kind, tasks, urgency, at))
                at += self.rng.expovariate(rate)
        return arrivals


def compute_batch_capacity(worker: worker_model.Worker) -> resources.Vector:
    """Returns the capacity that services do not reserve."""
    capacity = resources.Vector(
        worker.capacity.cpu_millis,
        worker.capacity.memory_mb,
        worker.capacity.accelerators,
    )
    for service in worker.services.values():
        reserved = service.reserved
        capacity = capacity.minus(
            resources.Vector(reserved.cpu_millis, reserved.memory_mb)
        )
    return capacity
