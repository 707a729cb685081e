"""Scenarios of the benchmark and the simulation of one of them."""

import math
import random

import attrs

from bench import measurements as measurements_module
from bench import model
from bench import owner as owner_module
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import scheduling
from standins import worker_model

SAMPLES_PER_TICK = 4
LATENCY_SIGMA = 0.25
RETRY_DELAY_S = 15.0
LOWER_FLOOR = 0.4


@attrs.frozen
class Scenario:
    """Load and faults of a run; times are in seconds after its start.

    Faults begin at `fault_at`; most end at `fault_until`.

    Attributes:
        load: Batch work below the urgent level, as a fraction of the
            processors that services do not reserve.
        urgent: Urgent batch work, as such a fraction.
        service_load_factor: Factor by which the load of all services changes
            at `fault_at`.
        noisy_waves: Whether jobs of the noisy kind arrive each minute.
        flood: Additional work of `flood_urgency` until `fault_until`, as such a
            fraction.
        max_error: Greatest factor between declared and true sizes and run
            times.
        impossible_jobs: Number of jobs whose tasks fit on no worker.
        cancel: Whether every second job is cancelled at `fault_at`.
        faulty_workers: Number of workers on which all new tasks fail.
        rack_lost: Whether the workers of one rack stop.
        store_down: Whether submissions fail because the store is down.
        data_centre_cut: Whether submissions to the first data centre fail.
    """

    name: str
    load: float = 0.85
    urgent: float = 0.05
    duration_s: float = 300.0
    fault_at: float = 100.0
    fault_until: float = 200.0
    service_load_factor: float = 1.0
    noisy_waves: bool = False
    flood: float = 0.0
    flood_urgency: int = model.BACKGROUND
    max_error: float = 1.0
    impossible_jobs: int = 0
    cancel: bool = False
    faulty_workers: int = 0
    rack_lost: bool = False
    store_down: bool = False
    data_centre_cut: bool = False


SCENARIOS = (
    Scenario("steady load"),
    Scenario("load shift", service_load_factor=2.0),
    Scenario("waves of noisy tasks", noisy_waves=True),
    Scenario("flood, least urgent", load=0.3, flood=10.0),
    Scenario(
        "flood, most urgent", load=0.3, flood=10.0, flood_urgency=model.URGENT
    ),
    Scenario("sizes wrong tenfold", max_error=10.0, load=0.4),
    Scenario("impossible jobs", impossible_jobs=200),
    Scenario("wave of cancellations", cancel=True),
    Scenario("workers that fail all", faulty_workers=2),
    Scenario("rack lost", rack_lost=True),
    Scenario("store down", store_down=True),
    Scenario("data centre cut off", data_centre_cut=True),
)


@attrs.define
class Run:
    """State of one scenario on one deployment under one policy."""

    scenario: Scenario
    deployment: model.Deployment
    owners: dict[str, owner_module.Owner]
    measurements: measurements_module.Measurements
    arrivals: list[model.Arrival]
    rng: random.Random
    now: float = 0.0
    fault_phases_done: set[str] = attrs.field(factory=set)


def make_rules(deployment: model.Deployment) -> policy.Policy:
    """Returns the policy of a deployment, with the quotas of its teams."""
    batch_cores = deployment.count_batch_cores()
    return policy.Policy(
        services={
            name: policy.Service(slowdown_limit=1.1)
            for name in deployment.services
        },
        # A third of the batch processors for each team, so that a quota takes
        # effect only when its team floods.
        teams={
            f"team-{index}": policy.Team(cpu_millis=round(batch_cores * 333))
            for index in range(model.TEAMS)
        },
        sharing=policy.Sharing(
            weights=deployment.weights, lower_floor=LOWER_FLOOR
        ),
    )


def make_run(
    scenario: Scenario,
    deployment: model.Deployment,
    strategy: placement.Strategy,
    seed: int,
) -> Run:
    """Returns a run at its start."""
    measurements = measurements_module.Measurements()
    rules = make_rules(deployment)
    hosts: dict[str, dict[str, owner_module.Host]] = {}
    for index, location in enumerate(model.list_locations(deployment)):
        group = hosts.setdefault(location.data_centre, {})
        group[location.worker_id] = owner_module.Host(
            location,
            model.make_worker(deployment, index),
            next_poll_at=index
            * owner_module.POLL_PERIOD_S
            / deployment.workers,
        )
    owners = {
        data_centre: owner_module.Owner(
            group,
            rules,
            scheduling.SchedulingState(
                strategy, quota_fraction=len(group) / deployment.workers
            ),
            measurements,
            random.Random(seed + 1),
        )
        for data_centre, group in hosts.items()
    }
    arrivals = make_arrivals(scenario, deployment, seed)
    rng = random.Random(seed + 2)
    return Run(scenario, deployment, owners, measurements, arrivals, rng)


def make_arrivals(
    scenario: Scenario, deployment: model.Deployment, seed: int
) -> list[model.Arrival]:
    """Returns the jobs of a scenario, ordered by time."""
    generator = model.JobGenerator(
        deployment, random.Random(seed), scenario.max_error
    )
    batch_cores = deployment.count_batch_cores()
    end = scenario.duration_s
    normal_kinds = model.KINDS
    weights = tuple(kind.weight for kind in normal_kinds)
    stream = generator.make_stream(
        normal_kinds,
        weights,
        scenario.load * batch_cores,
        model.NORMAL,
        0.0,
        end,
    )
    stream += generator.make_stream(
        (model.URGENT_KIND,),
        (1.0,),
        scenario.urgent * batch_cores,
        model.URGENT,
        0.0,
        end,
    )
    if scenario.noisy_waves:
        for start in range(60, int(end), 60):
            stream += [
                generator.make_job(
                    model.NOISY_KIND, 10, model.NORMAL, start + 0.1 * index
                )
                for index in range(max(3, round(batch_cores / 60)))
            ]
    if scenario.flood:
        urgent = scenario.flood_urgency >= model.URGENT
        kinds = (model.URGENT_KIND,) if urgent else model.KINDS[:2]
        stream += generator.make_stream(
            kinds,
            tuple(1.0 for _ in kinds),
            scenario.flood * batch_cores,
            scenario.flood_urgency,
            scenario.fault_at,
            scenario.fault_until,
        )
    step_s = end / max(1, scenario.impossible_jobs)
    stream += [
        generator.make_job(
            model.KINDS[1], 4, model.NORMAL, index * step_s, size_factor=100.0
        )
        for index in range(scenario.impossible_jobs)
    ]
    return sorted(stream, key=lambda arrival: arrival.at)


def run(
    scenario: Scenario,
    deployment: model.Deployment,
    strategy: placement.Strategy,
    seed: int = 1,
) -> measurements_module.Measurements:
    """Runs a scenario to its end and returns the measurements."""
    current = make_run(scenario, deployment, strategy, seed)
    ticks = math.ceil(scenario.duration_s / model.TICK_S)
    for tick in range(ticks):
        advance(current, tick * model.TICK_S)
    _add_unstarted_waits(current)
    return current.measurements


def _add_unstarted_waits(current: Run) -> None:
    """Adds the waits of urgent tasks that have not started by the end."""
    for owner in current.owners.values():
        for key, queue in owner.queues.items():
            if -key[0] >= model.URGENT:
                current.measurements.urgent_waits_s += [
                    current.now - w.waiting_since
                    for w in queue
                    if not w.started_before and not w.exempt
                ]


def advance(current: Run, now: float) -> None:
    """Advances a run by one tick."""
    current.now = now
    _apply_faults(current, now)
    _submit(current, now)
    before = sum(current.measurements.work.values())
    first = len(current.measurements.latencies_ms)
    for owner in current.owners.values():
        for host in owner.hosts.values():
            if host.alive:
                _advance_worker(current, owner, host, now)
        owner.step(now)
    newest = current.measurements.latencies_ms[first:]
    current.measurements.timeline.append(
        (
            now,
            measurements_module.compute_quantile(newest, 0.99),
            (sum(current.measurements.work.values()) - before) / model.TICK_S,
        )
    )


def _advance_worker(
    current: Run,
    owner: owner_module.Owner,
    host: owner_module.Host,
    now: float,
) -> None:
    worker = host.worker
    _count_work(current, owner, worker)
    worker.advance(now)
    noise = current.rng.gauss(1.0, 0.1)
    worker.measure(noise)
    for service in worker.services.values():
        slowdown = worker.compute_slowdown(service)
        for _ in range(SAMPLES_PER_TICK):
            drawn = math.exp(current.rng.gauss(0.0, LATENCY_SIGMA))
            current.measurements.add_request(
                measurements_module.BASE_LATENCY_MS * drawn, slowdown
            )


def _count_work(
    current: Run, owner: owner_module.Owner, worker: worker_model.Worker
) -> None:
    contention = worker.compute_contention()
    for task in worker.tasks.values():
        if task.state == "running" and task.fails_in_s is None:
            record = owner.records[task.name.rsplit(".", 2)[0]]
            useful = task.compute_cpu_use() / contention * model.TICK_S
            current.measurements.work[classify(record.urgency)] += useful


def classify(urgency: int) -> str:
    """Returns the class of batch work to which an urgency belongs."""
    if urgency == model.BACKGROUND:
        return "flood"
    return "urgent" if urgency >= model.URGENT else "lower"


def _submit(current: Run, now: float) -> None:
    scenario = current.scenario
    fault_active = scenario.fault_at <= now < scenario.fault_until
    while current.arrivals and current.arrivals[0].at <= now:
        arrival = current.arrivals.pop(0)
        record = arrival.record
        in_first = record.data_centre == current.deployment.data_centres[0]
        if fault_active and scenario.store_down:
            reason = "store_down"
        elif fault_active and scenario.data_centre_cut and in_first:
            reason = "data_centre_cut_off"
        else:
            current.owners[record.data_centre].submit(record, now)
            continue
        current.measurements.refusals[reason] += 1
        _schedule_retry(current, arrival, now)


def _schedule_retry(current: Run, arrival: model.Arrival, now: float) -> None:
    """Schedules another submission, as by an operator who tries again."""
    current.arrivals.append(attrs.evolve(arrival, at=now + RETRY_DELAY_S))
    current.arrivals.sort(key=lambda item: item.at)


def _apply_faults(current: Run, now: float) -> None:
    scenario = current.scenario
    if now >= scenario.fault_at and "begin" not in current.fault_phases_done:
        current.fault_phases_done.add("begin")
        _begin_fault(current, now)
    if now >= scenario.fault_until and "end" not in current.fault_phases_done:
        current.fault_phases_done.add("end")
        _end_fault(current)


def _begin_fault(current: Run, now: float) -> None:
    scenario = current.scenario
    owners = list(current.owners.values())
    hosts = [host for owner in owners for host in owner.hosts.values()]
    for host in hosts:
        for service in host.worker.services.values():
            service.load *= scenario.service_load_factor
    for owner in owners[: scenario.faulty_workers]:
        next(iter(owner.hosts.values())).worker.fail_after_s = 0.5
    if scenario.rack_lost:
        racks = sorted(h.location.rack for h in owners[0].hosts.values())
        for host in owners[0].hosts.values():
            host.alive = host.location.rack != racks[0]
    if scenario.cancel:
        for owner in owners:
            for job_id in list(owner.records)[::2]:
                owner.cancel(job_id, now)


def _end_fault(current: Run) -> None:
    for owner in current.owners.values():
        for host in owner.hosts.values():
            host.worker.fail_after_s = None
            if not host.alive:
                host.worker.tasks.clear()
                host.alive = True
