"""Scenarios of the bench and the run of one of them."""

import math
import random

import attrs

from bench import measures as measures_module
from bench import model
from bench import owner as owner_module
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import scheduling
from standins import worker_model

SAMPLES_PER_TICK = 4
LATENCY_SIGMA = 0.25
RETRY_S = 15.0
FLOOR = 0.4


@attrs.frozen
class Scenario:
    """What happens in a run; times in seconds after its start.

    Attributes:
        load: Batch work below the urgent level, as a part of what the services
            leave.
        urgent: Urgent batch work, likewise.
        flood: Extra work of `flood_urgency`, likewise.
        error: Greatest factor between declared and true sizes and run times.
        bad_workers: Workers that fail everything from `fault_at` on.
    """

    name: str
    load: float = 0.85
    urgent: float = 0.05
    duration_s: float = 300.0
    fault_at: float = 100.0
    fault_until: float = 200.0
    shift: float = 1.0
    waves: bool = False
    flood: float = 0.0
    flood_urgency: int = model.BACKGROUND
    error: float = 1.0
    impossible: int = 0
    cancel: bool = False
    bad_workers: int = 0
    rack_lost: bool = False
    store_down: bool = False
    cut: bool = False


SCENARIOS = (
    Scenario("steady load"),
    Scenario("load shift", shift=2.0),
    Scenario("waves of noisy tasks", waves=True),
    Scenario("flood, least urgent", load=0.3, flood=10.0),
    Scenario(
        "flood, most urgent", load=0.3, flood=10.0, flood_urgency=model.URGENT
    ),
    Scenario("sizes wrong tenfold", error=10.0, load=0.4),
    Scenario("impossible jobs", impossible=200),
    Scenario("wave of cancellations", cancel=True),
    Scenario("workers that fail all", bad_workers=2),
    Scenario("rack lost", rack_lost=True),
    Scenario("store down", store_down=True),
    Scenario("data centre cut off", cut=True),
)


@attrs.define
class Run:
    """One scenario on one deployment under one policy."""

    scenario: Scenario
    deployment: model.Deployment
    owners: dict[str, owner_module.Owner]
    measures: measures_module.Measures
    arrivals: list[model.Arrival]
    rng: random.Random
    now: float = 0.0
    done: set[str] = attrs.field(factory=set)


def make_rules(deployment: model.Deployment) -> policy.Policy:
    """Returns the rules of a deployment, with the quotas of its teams."""
    room = deployment.count_batch_cores()
    return policy.Policy(
        services={
            name: policy.Service(slowdown_limit=1.1)
            for name in deployment.services
        },
        # A third of the room each, so that quotas bind only when a team floods.
        teams={
            f"team-{index}": policy.Team(cpu_millis=round(room * 333))
            for index in range(model.TEAMS)
        },
        sharing=policy.Sharing(weights=deployment.weights, lower_floor=FLOOR),
    )


def make_run(
    scenario: Scenario,
    deployment: model.Deployment,
    strategy: placement.Strategy,
    seed: int,
) -> Run:
    """Returns a run at its start."""
    measures = measures_module.Measures()
    rules = make_rules(deployment)
    hosts: dict[str, dict[str, owner_module.Host]] = {}
    for index, place in enumerate(model.list_places(deployment)):
        group = hosts.setdefault(place.data_centre, {})
        group[place.worker_id] = owner_module.Host(
            place,
            model.make_worker(deployment, index),
            poll_at=index * owner_module.POLL_PERIOD_S / deployment.workers,
        )
    owners = {
        data_centre: owner_module.Owner(
            group,
            rules,
            scheduling.SchedulingState(
                strategy, quota_fraction=len(group) / deployment.workers
            ),
            measures,
            random.Random(seed + 1),
        )
        for data_centre, group in hosts.items()
    }
    arrivals = make_arrivals(scenario, deployment, seed)
    rng = random.Random(seed + 2)
    return Run(scenario, deployment, owners, measures, arrivals, rng)


def make_arrivals(
    scenario: Scenario, deployment: model.Deployment, seed: int
) -> list[model.Arrival]:
    """Returns the jobs of a scenario, by time."""
    source = model.Source(deployment, random.Random(seed), scenario.error)
    room = deployment.count_batch_cores()
    end = scenario.duration_s
    names = model.KINDS
    weights = tuple(kind.weight for kind in names)
    stream = source.make_stream(
        names, weights, scenario.load * room, model.NORMAL, 0.0, end
    )
    stream += source.make_stream(
        (model.URGENT_KIND,),
        (1.0,),
        scenario.urgent * room,
        model.URGENT,
        0.0,
        end,
    )
    if scenario.waves:
        for start in range(60, int(end), 60):
            stream += [
                source.make_job(
                    model.NOISY_KIND, 10, model.NORMAL, start + 0.1 * index
                )
                for index in range(max(3, round(room / 60)))
            ]
    if scenario.flood:
        urgent = scenario.flood_urgency >= model.URGENT
        kinds = (model.URGENT_KIND,) if urgent else model.KINDS[:2]
        stream += source.make_stream(
            kinds,
            tuple(1.0 for _ in kinds),
            scenario.flood * room,
            scenario.flood_urgency,
            scenario.fault_at,
            scenario.fault_until,
        )
    step_s = end / max(1, scenario.impossible)
    stream += [
        source.make_job(
            model.KINDS[1], 4, model.NORMAL, index * step_s, grow=100.0
        )
        for index in range(scenario.impossible)
    ]
    return sorted(stream, key=lambda arrival: arrival.at)


def run(
    scenario: Scenario,
    deployment: model.Deployment,
    strategy: placement.Strategy,
    seed: int = 1,
) -> measures_module.Measures:
    """Runs a scenario to its end and returns what was measured."""
    current = make_run(scenario, deployment, strategy, seed)
    ticks = math.ceil(scenario.duration_s / model.TICK_S)
    for tick in range(ticks):
        advance(current, tick * model.TICK_S)
    _count_unstarted(current)
    return current.measures


def _count_unstarted(current: Run) -> None:
    """Counts the waits of urgent tasks that never started."""
    for owner in current.owners.values():
        for key, queue in owner.queues.items():
            if -key[0] >= model.URGENT:
                current.measures.urgent_waits_s += [
                    current.now - w.since
                    for w in queue
                    if not w.seen and not w.excused
                ]


def advance(current: Run, now: float) -> None:
    """Advances a run by one tick."""
    current.now = now
    _apply_faults(current, now)
    _submit(current, now)
    before = sum(current.measures.work.values())
    first = len(current.measures.latencies_ms)
    for owner in current.owners.values():
        for host in owner.hosts.values():
            if host.alive:
                _advance_worker(current, owner, host, now)
        owner.step(now)
    newest = current.measures.latencies_ms[first:]
    current.measures.timeline.append(
        (
            now,
            measures_module.compute_quantile(newest, 0.99),
            (sum(current.measures.work.values()) - before) / model.TICK_S,
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
            current.measures.add_request(
                measures_module.BASE_LATENCY_MS * drawn, slowdown
            )


def _count_work(
    current: Run, owner: owner_module.Owner, worker: worker_model.Worker
) -> None:
    contention = worker.compute_contention()
    for task in worker.tasks.values():
        if task.state == "running" and task.fails_in_s is None:
            record = owner.records[task.name.rsplit(".", 2)[0]]
            done = task.compute_cpu_use() / contention * model.TICK_S
            current.measures.work[classify(record.urgency)] += done


def classify(urgency: int) -> str:
    """Returns the class of batch work that an urgency stands for."""
    if urgency == model.BACKGROUND:
        return "flood"
    return "urgent" if urgency >= model.URGENT else "lower"


def _submit(current: Run, now: float) -> None:
    scenario = current.scenario
    down = scenario.fault_at <= now < scenario.fault_until
    while current.arrivals and current.arrivals[0].at <= now:
        arrival = current.arrivals.pop(0)
        record = arrival.record
        first = record.data_centre == current.deployment.data_centres[0]
        if down and scenario.store_down:
            reason = "store_down"
        elif down and scenario.cut and first:
            reason = "data_centre_cut_off"
        else:
            current.owners[record.data_centre].submit(record, now)
            continue
        current.measures.refusals[reason] += 1
        _retry(current, arrival, now)


def _retry(current: Run, arrival: model.Arrival, now: float) -> None:
    """The operator's tool tries again later."""
    current.arrivals.append(attrs.evolve(arrival, at=now + RETRY_S))
    current.arrivals.sort(key=lambda item: item.at)


def _apply_faults(current: Run, now: float) -> None:
    scenario = current.scenario
    if now >= scenario.fault_at and "begin" not in current.done:
        current.done.add("begin")
        _begin_fault(current, now)
    if now >= scenario.fault_until and "end" not in current.done:
        current.done.add("end")
        _end_fault(current)


def _begin_fault(current: Run, now: float) -> None:
    scenario = current.scenario
    owners = list(current.owners.values())
    hosts = [host for owner in owners for host in owner.hosts.values()]
    for host in hosts:
        for service in host.worker.services.values():
            service.load *= scenario.shift
    for owner in owners[: scenario.bad_workers]:
        next(iter(owner.hosts.values())).worker.fail_after_s = 0.5
    if scenario.rack_lost:
        racks = sorted(h.place.rack for h in owners[0].hosts.values())
        for host in owners[0].hosts.values():
            host.alive = host.place.rack != racks[0]
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
