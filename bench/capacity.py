"""Measures the slopes from which docs/CAPACITY.md is computed.

    python -m bench.capacity

Bytes and counts are deterministic; times are processor times of this machine,
the least of several interleaved repeats.
"""

import collections
import json
import time
import tracemalloc

import attrs

from bench import control
from bench import model
from sapphirestall_core import attempts
from sapphirestall_core import instance
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import scheduling
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state
from sapphirestall_core import worker_reports
from sapphirestall_entry import converters
from sapphirestall_entry import workers as workers_module
from standins import virtual
from standins import worker_model
from standins import world as world_module

# Section 1.7 of the design, per worker and rounded up.
TASKS_PER_WORKER = 28
SERVICES_PER_WORKER = 3
SIZES = (24, 240, 2300)
REPEATS = 15
DECISIONS = 300
RATIO_BOUND = 1.5
CORES = 64
# Assumed for the request line and headers of one HTTP message; not measured.
HTTP_OVERHEAD_BYTES = 350


def make_report(index: int, clock: float) -> task_messages.WorkerReport:
    """Returns the report of a loaded worker."""
    tasks = tuple(
        task_messages.TaskReport(
            task_messages.AttemptName(f"job-{index}", number, 1),
            task_messages.TaskState.RUNNING,
            resources.Vector(1000, 1500),
            resources.Vector(900, 1400),
            15.0,
            "",
            model.KINDS[number % len(model.KINDS)].name,
        )
        for number in range(TASKS_PER_WORKER)
    )
    services = tuple(
        task_messages.ServiceReport(
            f"service-{number}", resources.Vector(4000, 6000), 1.02, clock - 4
        )
        for number in range(SERVICES_PER_WORKER)
    )
    capacity = resources.Vector(CORES * 1000, 250_000)
    return task_messages.WorkerReport(
        clock, 1, f"worker-{index}", capacity, tasks, services
    )


def make_ledger(report: task_messages.WorkerReport) -> resources.Ledger:
    """Returns the reservations in a report."""
    ledger = resources.Ledger(report.capacity)
    for service in report.services:
        ledger.record(("service", service.service), service.reserved)
    for task in report.tasks:
        ledger.record(task.name, task.reserved)
    return ledger


def make_record(index: int, kind: str) -> jobs.JobRecord:
    """Returns a job record."""
    return jobs.JobRecord(
        f"job-{index}",
        "sefrou",
        f"team-{index % model.TEAMS}",
        kind,
        TASKS_PER_WORKER,
        resources.Vector(1000, 1500),
        40.0,
        0,
        True,
        (),
        0.0,
    )


def build_policy(workers: int) -> scheduling.SchedulingState:
    """Returns a policy that knows a number of loaded workers."""
    built = scheduling.SchedulingState()
    record = make_record(0, "compute")
    for index in range(workers):
        for clock in (10.0, 12.0):
            report = make_report(index, clock)
            worker_reports.process_report(
                built,
                f"worker-{index}",
                report,
                make_ledger(report),
                lambda _: record,
                policy.Policy(),
                (),
                clock,
            )
    return built


def time_decisions(
    built: scheduling.SchedulingState, rules: policy.Policy
) -> float:
    """Returns microseconds per placement decision."""
    count = len(built.views)
    racks = [
        [f"worker-{i}" for i in range(first, min(count, first + 8))]
        for first in range(0, count, 8)
    ]
    record = make_record(0, "compute")
    started = time.process_time()
    for number in range(DECISIONS):
        demand = scheduling.make_demand(built, record)
        scheduling.begin_pass(built)
        rack = racks[number * 7919 % len(racks)]
        scheduling.find_worker(built, demand, rack, rules, 20.0)
    return (time.process_time() - started) / DECISIONS * 1e6


def measure_decisions() -> None:
    """Prints the time per decision by number of workers."""
    rules = policy.Policy()
    built = {size: build_policy(size) for size in SIZES}
    best = {size: float("inf") for size in SIZES}
    for _ in range(REPEATS):
        for size in SIZES:
            best[size] = min(best[size], time_decisions(built[size], rules))
    ratio = best[SIZES[-1]] / best[SIZES[0]]
    word = "met" if ratio <= RATIO_BOUND else "MISSED"
    shown = ", ".join(f"{n} workers {us:.1f} us" for n, us in best.items())
    print(f"decision: {shown}; ratio {ratio:.2f}, bound {RATIO_BOUND} {word}")


def _fill(
    built: scheduling.SchedulingState,
    partition: tasks_state.Partition,
    worker: tasks_state.Worker,
    share: tasks_state.Share,
) -> None:
    for number in range(TASKS_PER_WORKER):
        record = share.job.record
        demand = scheduling.make_demand(built, record)
        name = task_messages.AttemptName(record.job_id, number, 2**20 + number)
        attempt = tasks_state.Attempt(
            name,
            worker.worker_id,
            demand.reserved,
            tasks_state.Phase.RUNNING,
            share,
        )
        attempts.add(attempt, worker, partition)
        scheduling.record_start(
            built, worker.worker_id, name, record, demand, 20.0
        )
        built.views[worker.worker_id].ledger.reserve(name, demand.reserved)


def measure_memory(count: int = 200) -> None:
    """Prints bytes of core state per worker and per running task."""
    built = scheduling.SchedulingState()
    partition = tasks_state.Partition("rack")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for index in range(count):
        worker = tasks_state.Worker(f"worker-{index}", "127.0.0.1:1", "rack")
        partition.workers[worker.worker_id] = worker
        full = make_report(index, 10.0)
        report = attrs.evolve(full, tasks=())
        worker.ledger = make_ledger(report)
        for clock in range(10, 42, 2):
            worker_reports.process_report(
                built,
                worker.worker_id,
                attrs.evolve(report, clock=float(clock)),
                worker.ledger,
                lambda _: None,
                policy.Policy(),
                (),
                float(clock),
            )
    empty = tracemalloc.get_traced_memory()[0]
    for index, worker in enumerate(partition.workers.values()):
        job = tasks_state.Job(make_record(index, "compute"), 1)
        share = tasks_state.Share(job, "rack")
        _fill(built, partition, worker, share)
    filled = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    per_worker = (empty - before) / count
    per_task = (filled - empty) / count / TASKS_PER_WORKER
    print(
        f"memory: {per_worker:.0f} bytes per worker, "
        f"{per_task:.0f} bytes per running task"
    )


@attrs.define
class Meter(world_module.World):
    """A world that counts what its entry instances send and compute."""

    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)
    spent_s: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def deliver(self, node: world_module.Node, event: messages.Event) -> None:
        """Counts an event and the bytes of its effects."""
        name = type(event).__name__
        started = time.process_time()
        effects = instance.handle(event, node.state, self.now)
        self.spent_s[name] += time.process_time() - started
        self.events[name] += 1
        if isinstance(event, task_messages.WorkerReported):
            body = _converter.unstructure(event.report)
            self.sent["reports"] += len(json.dumps(body)) + HTTP_OVERHEAD_BYTES
        for effect in effects:
            if isinstance(effect, task_messages.WorkerEffect):
                self.sent[type(effect).__name__] += _measure_call(effect)
            world_module.perform(effect, node, self)


_converter = converters.make_converter()


def _measure_call(effect: task_messages.WorkerEffect) -> int:
    _, body = workers_module.encode(effect, _converter)
    body |= {
        "owner": "entry-1",
        "epoch": effect.epoch,
        "expires_at": effect.expires_at,
        "incarnation": effect.incarnation,
    }
    return len(json.dumps(body)) + HTTP_OVERHEAD_BYTES


def build_world(workers: int, run_s: float, jobs_per_s: float) -> Meter:
    """Returns a world with one loaded entry instance."""
    world = Meter(seed=1)
    virtual.make_world(0)  # Registers how effects are performed.
    for index in range(workers):
        worker = world.add_worker(
            f"worker-{index}",
            "sefrou",
            f"rack-{index // 8}",
            worker_model.Amount(CORES * 1000, 250_000),
        )
        for number in range(SERVICES_PER_WORKER):
            name = f"service-{number}"
            worker.services[name] = worker_model.Service(
                name, worker_model.Amount(4000, 6000)
            )
    world.add_entry("entry-1", "sefrou")
    _measure_services(world)
    world.run(30.0)
    if jobs_per_s:
        _submit_all(world, workers, run_s, jobs_per_s)
    return world


def _measure_services(world: Meter) -> None:
    """Takes a reading of every service each second."""
    for worker in world.workers.values():
        worker.advance(world.now)
        worker.measure()
    world.schedule(1.0, lambda: _measure_services(world))


def _submit_all(
    world: Meter, workers: int, run_s: float, jobs_per_s: float
) -> None:
    def submit(number: int) -> None:
        command = operator_messages.SubmitJob(
            job_id=f"job-{number}",
            data_centre="sefrou",
            team=f"team-{number % model.TEAMS}",
            kind="compute",
            task_count=round(workers * TASKS_PER_WORKER / run_s / jobs_per_s),
            cpu_millis=1000,
            memory_mb=1500,
            run_s=run_s,
        )
        world.send_operator_command("entry-1", command)

    for number in range(round(120 * jobs_per_s)):
        world.schedule(
            number / jobs_per_s, lambda number=number: submit(number)
        )


def measure_load(workers: int = 48, run_s: float = 43.0) -> None:
    """Prints store calls, bytes and processor time at the design's load.

    48 workers with 28 tasks of 43 s each start 31 tasks a second: the part of
    one of 48 instances in the peak of 1,500 starts a second.
    """
    idle = build_world(workers, run_s, 0.0)
    calls = sum(n for k, n in idle.counts.items() if k.startswith("store "))
    idle.run(60.0)
    idle_calls = _count_store(idle) - calls
    world = build_world(workers, run_s, 0.5)
    world.run(60.0)
    world.sent.clear()
    world.events.clear()
    world.spent_s.clear()
    before, starts = _count_store(world), world.counts["worker StartTask"]
    world.run(60.0)
    started = world.counts["worker StartTask"] - starts
    extra = _count_store(world) - before - idle_calls
    print(
        f"load: {workers} workers, {started / 60:.1f} starts/s, "
        f"{idle_calls / 60:.2f} store calls/s idle, "
        f"{1000 * extra / max(1, started):.1f} more per 1,000 starts"
    )
    for name, size in sorted(world.sent.items()):
        print(f"bytes: {name} {size / 60:.0f} B/s for {workers} workers")
    for name, spent in sorted(world.spent_s.items()):
        count = world.events[name]
        print(
            f"time: {name} {count / 60:.1f}/s, {spent / count * 1e6:.0f} us "
            f"each, {spent / 60 * 100:.3f}% of a core"
        )
    total = sum(world.spent_s.values()) / 60 * 100
    print(f"time: all events of the core {total:.2f}% of a core")


def _count_store(world: Meter) -> int:
    return sum(n for k, n in world.counts.items() if k.startswith("store "))


def measure_codec(count: int = 200) -> None:
    """Prints the time that the shell takes to decode a report."""
    raw = json.dumps(_converter.unstructure(make_report(0, 10.0)))
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            _converter.structure(json.loads(raw), task_messages.WorkerReport)
        best = min(best, (time.process_time() - started) / count * 1e6)
    print(f"codec: {best:.0f} us to decode a report of {len(raw)} bytes")


def run() -> None:
    """Prints all slopes."""
    measure_decisions()
    measure_memory()
    measure_codec()
    measure_load()
    measure_load(workers=8)
    print(control.measure_links(8, control.DATA_CENTRES))
    print(control.measure_links(48, control.REGION_DATA_CENTRES))


if __name__ == "__main__":
    run()
