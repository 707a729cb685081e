"""Measures the slopes from which docs/CAPACITY.md is computed.

    python -m bench.capacity

Bytes and counts are deterministic. Times are processor times of this machine:
those of decisions and of the codec are the least of several repeats.
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

# Load per worker of section 1.7 of the design, rounded up.
TASKS_PER_WORKER = 28
SERVICES_PER_WORKER = 3
WORKER_COUNTS = (24, 240, 2300)
REPEATS = 15
DECISIONS = 300
RATIO_BOUND = 1.5
CORES = 64
# Assumed size of the request line and headers of one HTTP message.
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
    """Returns a ledger with the reservations in a report."""
    ledger = resources.Ledger(report.capacity)
    for service in report.services:
        ledger.record(("service", service.service), service.reserved)
    for task in report.tasks:
        ledger.record(task.name, task.reserved)
    return ledger


def make_record(index: int, kind: str) -> jobs.JobRecord:
    """Returns the record of a job with the number of tasks of one worker."""
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


def build_scheduling(workers: int) -> scheduling.SchedulingState:
    """Returns the scheduling state for a number of loaded workers."""
    scheduling_state = scheduling.SchedulingState()
    record = make_record(0, "compute")
    for index in range(workers):
        for clock in (10.0, 12.0):
            report = make_report(index, clock)
            worker_reports.process_report(
                scheduling_state,
                f"worker-{index}",
                report,
                make_ledger(report),
                lambda _: record,
                policy.Policy(),
                (),
                clock,
            )
    return scheduling_state


def time_decisions(
    scheduling_state: scheduling.SchedulingState, rules: policy.Policy
) -> float:
    """Returns the time per placement decision, in microseconds."""
    count = len(scheduling_state.views)
    racks = [
        [f"worker-{i}" for i in range(first, min(count, first + 8))]
        for first in range(0, count, 8)
    ]
    record = make_record(0, "compute")
    started = time.process_time()
    for number in range(DECISIONS):
        demand = scheduling.make_demand(scheduling_state, record)
        scheduling.begin_pass(scheduling_state)
        rack = racks[number * 7919 % len(racks)]
        scheduling.find_worker(scheduling_state, demand, rack, rules, 20.0)
    return (time.process_time() - started) / DECISIONS * 1e6


def measure_decisions() -> None:
    """Prints the time per decision by number of workers."""
    rules = policy.Policy()
    states = {size: build_scheduling(size) for size in WORKER_COUNTS}
    best_us = {size: float("inf") for size in WORKER_COUNTS}
    for _ in range(REPEATS):
        for size in WORKER_COUNTS:
            best_us[size] = min(
                best_us[size], time_decisions(states[size], rules)
            )
    ratio = best_us[WORKER_COUNTS[-1]] / best_us[WORKER_COUNTS[0]]
    outcome = "met" if ratio <= RATIO_BOUND else "MISSED"
    times = ", ".join(f"{n} workers {us:.1f} us" for n, us in best_us.items())
    print(
        f"decision: {times}; ratio {ratio:.2f}, bound {RATIO_BOUND} {outcome}"
    )


def _add_running_tasks(
    scheduling_state: scheduling.SchedulingState,
    partition: tasks_state.Partition,
    worker: tasks_state.Worker,
    share: tasks_state.Share,
) -> None:
    for number in range(TASKS_PER_WORKER):
        record = share.job.record
        demand = scheduling.make_demand(scheduling_state, record)
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
            scheduling_state, worker.worker_id, name, record, demand, 20.0
        )
        scheduling_state.views[worker.worker_id].ledger.reserve(
            name, demand.reserved
        )


def measure_memory(count: int = 200) -> None:
    """Prints the bytes of core state per worker and per running task."""
    scheduling_state = scheduling.SchedulingState()
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
                scheduling_state,
                worker.worker_id,
                attrs.evolve(report, clock=float(clock)),
                worker.ledger,
                lambda _: None,
                policy.Policy(),
                (),
                float(clock),
            )
    with_workers = tracemalloc.get_traced_memory()[0]
    for index, worker in enumerate(partition.workers.values()):
        job = tasks_state.Job(make_record(index, "compute"), 1)
        share = tasks_state.Share(job, "rack")
        _add_running_tasks(scheduling_state, partition, worker, share)
    with_tasks = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    per_worker = (with_workers - before) / count
    per_task = (with_tasks - with_workers) / count / TASKS_PER_WORKER
    print(
        f"memory: {per_worker:.0f} bytes per worker, "
        f"{per_task:.0f} bytes per running task"
    )


@attrs.define
class MeteredWorld(world_module.World):
    """A world that measures the messages and events of its entry instances.

    Attributes:
        sent_bytes: Bytes of reports and calls, by kind.
        event_counts: Number of events, by type.
        cpu_s: Processor time of the core in seconds, by type of event.
    """

    sent_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    event_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    cpu_s: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def deliver(self, node: world_module.Node, event: messages.Event) -> None:
        """Handles an event; records its time and the bytes of its effects."""
        name = type(event).__name__
        started = time.process_time()
        effects = instance.handle(event, node.state, self.now)
        self.cpu_s[name] += time.process_time() - started
        self.event_counts[name] += 1
        if isinstance(event, task_messages.WorkerReported):
            body = _converter.unstructure(event.report)
            self.sent_bytes["reports"] += (
                len(json.dumps(body)) + HTTP_OVERHEAD_BYTES
            )
        for effect in effects:
            if isinstance(effect, task_messages.WorkerEffect):
                self.sent_bytes[type(effect).__name__] += _compute_call_size(
                    effect
                )
            world_module.perform(effect, node, self)


_converter = converters.make_converter()


def _compute_call_size(effect: task_messages.WorkerEffect) -> int:
    _, body = workers_module.encode(effect, _converter)
    body |= {
        "owner": "entry-1",
        "epoch": effect.epoch,
        "expires_at": effect.expires_at,
        "incarnation": effect.incarnation,
    }
    return len(json.dumps(body)) + HTTP_OVERHEAD_BYTES


def build_world(workers: int, run_s: float, jobs_per_s: float) -> MeteredWorld:
    """Returns a world with one entry instance that owns all workers."""
    world = MeteredWorld(seed=1)
    virtual.make_world(0)  # Registers the handlers of effects.
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
        _schedule_jobs(world, workers, run_s, jobs_per_s)
    return world


def _measure_services(world: MeteredWorld) -> None:
    """Measures the slowdown of every service each second."""
    for worker in world.workers.values():
        worker.advance(world.now)
        worker.measure()
    world.schedule(1.0, lambda: _measure_services(world))


def _schedule_jobs(
    world: MeteredWorld, workers: int, run_s: float, jobs_per_s: float
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
    """Prints store calls, bytes and processor time at the load of the design.

    48 workers with 28 tasks of 43 s each start 31 tasks a second: the share of
    one of 48 instances in the peak of 1,500 starts a second.
    """
    idle_world = build_world(workers, run_s, 0.0)
    calls_before = sum(
        n for k, n in idle_world.counts.items() if k.startswith("store ")
    )
    idle_world.run(60.0)
    idle_calls = _count_store_calls(idle_world) - calls_before
    world = build_world(workers, run_s, 0.5)
    world.run(60.0)
    world.sent_bytes.clear()
    world.event_counts.clear()
    world.cpu_s.clear()
    before, starts_before = (
        _count_store_calls(world),
        world.counts["worker StartTask"],
    )
    world.run(60.0)
    start_count = world.counts["worker StartTask"] - starts_before
    extra = _count_store_calls(world) - before - idle_calls
    print(
        f"load: {workers} workers, {start_count / 60:.1f} starts/s, "
        f"{idle_calls / 60:.2f} store calls/s idle, "
        f"{1000 * extra / max(1, start_count):.1f} more per 1,000 starts"
    )
    for name, size in sorted(world.sent_bytes.items()):
        print(f"bytes: {name} {size / 60:.0f} B/s for {workers} workers")
    for name, spent in sorted(world.cpu_s.items()):
        count = world.event_counts[name]
        print(
            f"time: {name} {count / 60:.1f}/s, {spent / count * 1e6:.0f} us "
            f"each, {spent / 60 * 100:.3f}% of a core"
        )
    total = sum(world.cpu_s.values()) / 60 * 100
    print(f"time: all events of the core {total:.2f}% of a core")


def _count_store_calls(world: MeteredWorld) -> int:
    return sum(n for k, n in world.counts.items() if k.startswith("store "))


def measure_codec(count: int = 200) -> None:
    """Prints the time that the HTTP adapter takes to decode a report."""
    raw = json.dumps(_converter.unstructure(make_report(0, 10.0)))
    best_us = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            _converter.structure(json.loads(raw), task_messages.WorkerReport)
        best_us = min(best_us, (time.process_time() - started) / count * 1e6)
    print(f"codec: {best_us:.0f} us to decode a report of {len(raw)} bytes")


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
