"""Measures memory, processor time and store calls of one owner of batch work.

Runs in virtual time with one entry instance; only the processor time of the
core is counted. Usage: `python -m bench.batch_scale`.
"""

from collections.abc import Callable
import time
import tracemalloc

import attrs

from sapphirestall_core import instance as instance_module
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import starts
from sapphirestall_core import task_messages
from standins import virtual
from standins import worker_model
from standins import world as world_module

DATA_CENTRE = "sefrou"
RACKS = 6
WORKERS_PER_RACK = 8
CAPACITY = worker_model.Amount(32_000, 125_000)
RUN_S = 20.0
LONG_S = 600.0


@attrs.define
class Meter:
    """Processor time of the core.

    Attributes:
        cpu_s: Processor time in seconds, by type of event.
        event_counts: Number of events, by type.
    """

    cpu_s: dict[str, float] = attrs.field(factory=dict)
    event_counts: dict[str, int] = attrs.field(factory=dict)

    def attach(self) -> Callable[..., object]:
        """Wraps the core's event handler; returns the original handler."""
        original = instance_module.handle

        def handle(
            event: messages.Event, state: object, now: float
        ) -> list[messages.Effect]:
            before = time.process_time()
            effects = original(event, state, now)  # type: ignore[arg-type]
            name = type(event).__name__
            spent_s = time.process_time() - before
            self.cpu_s[name] = self.cpu_s.get(name, 0.0) + spent_s
            self.event_counts[name] = self.event_counts.get(name, 0) + 1
            return effects

        instance_module.handle = handle  # type: ignore[assignment]
        return original


def make_world() -> world_module.World:
    """Returns a world with one entry instance that owns all partitions."""
    world = virtual.make_world(1)
    for rack in range(RACKS):
        for number in range(WORKERS_PER_RACK):
            world.add_worker(
                f"w{rack}-{number}", DATA_CENTRE, f"rack{rack}", CAPACITY
            )
    world.add_entry("e0", DATA_CENTRE)
    world.run(6.0)
    return world


def submit(
    world: world_module.World,
    job_id: str,
    tasks: int,
    cpu_millis: int,
    run_s: float,
) -> None:
    """Submits a job of equal tasks."""
    command = operator_messages.SubmitJob(
        job_id, DATA_CENTRE, "press", "tally", tasks, cpu_millis, 100, run_s
    )
    world.send_operator_command("e0", command)


def count_store_calls(world: world_module.World) -> int:
    """Returns the number of store calls so far, without watches."""
    return sum(
        count
        for name, count in world.counts.items()
        if name.startswith("store ") and name != "store StoreWatch"
    )


def measure_run(job_count: int, tasks_per_job: int) -> None:
    """Runs jobs to their end and prints rates and costs."""
    meter = Meter()
    original = meter.attach()
    world = make_world()
    meter.cpu_s.clear()
    meter.event_counts.clear()
    calls = count_store_calls(world)
    started_at = world.now
    for number in range(job_count):
        submit(world, f"j{number}", tasks_per_job, 500, RUN_S)

    def all_ended() -> bool:
        records = [item.value for item in world.store.find("jobs/")]
        return len(records) == job_count and all(
            record.state.value != "active"  # type: ignore[attr-defined]
            for record in records
        )

    assert world.run_until(all_ended, 600.0)
    instance_module.handle = original  # type: ignore[assignment]
    start_count = world.counts["worker StartTask"]
    calls = count_store_calls(world) - calls
    took_s = world.now - started_at
    spent_s = sum(meter.cpu_s.values())
    print(f"{job_count} jobs of {tasks_per_job} tasks: {start_count} starts")
    print(f"  virtual time {took_s:.1f} s, {start_count / took_s:.0f} starts/s")
    print(f"  store calls per 1,000 starts: {1000 * calls / start_count:.1f}")
    print(f"  core time per start: {1e6 * spent_s / start_count:.0f} us")
    reports = meter.event_counts["WorkerReported"]
    per_report = 1e6 * meter.cpu_s["WorkerReported"] / reports
    print(f"  core time per report with its placements: {per_report:.0f} us")


def measure_decision(waiting_jobs: int) -> None:
    """Prints the time of a pass that places nothing, and that of a start."""
    world = make_world()
    # Eight tasks fill a worker; no more may start on one within 5 s.
    submit(world, "full", 8 * RACKS * WORKERS_PER_RACK, 4_000, LONG_S)
    world.run(8.0)
    for number in range(waiting_jobs):
        submit(world, f"j{number}", 100, 500, LONG_S)
        world.run(0.02)
    node = world.nodes["e0"]
    partition = node.state.tasks.partitions["rack0"]
    before = time.process_time()
    repeats = 2000
    for _ in range(repeats):
        starts.place(partition, node.state, world.now)
    spent_s = time.process_time() - before
    print(f"{waiting_jobs} waiting jobs of 100 tasks, no free capacity:")
    print(f"  one pass takes {1e6 * spent_s / repeats:.1f} us")
    for worker in partition.workers.values():
        assert worker.ledger is not None
        worker.ledger.capacity = attrs.evolve(
            worker.ledger.capacity, cpu_millis=1_000_000, memory_mb=1_000_000
        )
    before = time.process_time()
    effects = starts.place(partition, node.state, world.now)
    spent_s = time.process_time() - before
    placed = sum(isinstance(e, task_messages.StartTask) for e in effects)
    print(f"  {placed} starts at {1e6 * spent_s / max(1, placed):.1f} us each")


def measure_memory(waiting: int) -> None:
    """Prints the bytes of core state per running task and per waiting job."""
    tracemalloc.start()
    world = make_world()
    node = world.nodes["e0"]
    tasks = node.state.tasks
    before = tracemalloc.take_snapshot()
    submit(world, "run", 64 * RACKS * WORKERS_PER_RACK, 500, LONG_S)
    world.run(16.0)
    running = sum(len(p.attempts) for p in tasks.partitions.values())
    with_running = tracemalloc.take_snapshot()
    for number in range(waiting):
        submit(world, f"j{number}", 10_000, 500, LONG_S)
        world.run(0.02)
    with_waiting = tracemalloc.take_snapshot()
    tracemalloc.stop()
    core_filter = [tracemalloc.Filter(True, "*sapphirestall_core*")]

    def total(snapshot: tracemalloc.Snapshot) -> int:
        statistics = snapshot.filter_traces(core_filter).statistics("filename")
        return sum(statistic.size for statistic in statistics)

    per_task = (total(with_running) - total(before)) / running
    per_job = (total(with_waiting) - total(with_running)) / waiting
    print(f"{running} running tasks: {per_task:.0f} bytes each in the core")
    print(f"{waiting} waiting jobs of 10,000 tasks: {per_job:.0f} bytes each")


def main() -> None:
    """Runs all measurements."""
    measure_run(10, 2_000)
    measure_run(200, 20)
    for waiting in (1, 100, 1000):
        measure_decision(waiting)
    measure_memory(200)


if __name__ == "__main__":
    main()
