"""Measures the processor time of the batch core, loaded and idle.

Runs in virtual time with one instance that owns all workers; only the time of
the core is counted. Usage: `python -m bench.batch_cost`.
"""

from collections.abc import Callable
import time

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages
from standins import batch_worker
from standins import batch_world

DATA_CENTRE = "sefrou"
WORKER_COUNTS = (8, 24, 60, 300)
CPU_MILLIS = 8_000
TASK_CPU_MILLIS = 1_000
# Range of run times. Each worker ends and starts about one task a second.
RUN_S = (6.0, 10.0)
JOBS = 50
# Number of tasks submitted for each slot of a worker.
BACKLOG = 8
SERVING_JOBS = 4
SERVING_PER_WORKER = 2
SERVING_IMAGES = 4
OPPORTUNISTIC_IMAGES = 6
SETTLE_S = 12.0
MEASURED_S = 6.0
# Greatest growth of the cost of a start and of a listing over the smallest
# number of workers.
RATIO_BOUND = 1.5
# Greatest processor time, per second, of an instance whose workers are idle.
IDLE_BOUND_S = 0.005


@attrs.define
class Meter:
    """Processor time of the core.

    Attributes:
        cpu_s: Processor time in seconds, by kind of event.
        event_counts: Number of events, by kind.
        starts: Number of starts of runs.
    """

    cpu_s: dict[str, float] = attrs.field(factory=dict)
    event_counts: dict[str, int] = attrs.field(factory=dict)
    starts: int = 0

    def clear(self) -> None:
        """Resets all measurements."""
        self.cpu_s.clear()
        self.event_counts.clear()
        self.starts = 0

    def handle(
        self,
        original: Callable[..., list[messages.Effect]],
        event: messages.Event,
        batch: state.Batch,
        now: float,
    ) -> list[messages.Effect]:
        """Handles one event and records its processor time."""
        before = time.process_time()
        effects = original(event, batch, now)
        spent_s = time.process_time() - before
        name = name_event(event)
        self.cpu_s[name] = self.cpu_s.get(name, 0.0) + spent_s
        self.event_counts[name] = self.event_counts.get(name, 0) + 1
        self.starts += sum(
            isinstance(effect, worker_messages.StartRun) for effect in effects
        )
        return effects


def name_event(event: messages.Event) -> str:
    """Returns the kind of an event: its timer, answered call or own type."""
    if isinstance(event, messages.TimerFired):
        return type(event.timer).__name__
    if isinstance(event, worker_messages.WorkerReplied):
        return type(event.call).__name__
    return type(event).__name__


@attrs.define
class MeasuringWorker(batch_worker.BatchWorker):
    """A worker whose listings contain a measurement of each run."""

    def make_listing(self, now: float) -> worker_messages.Listing:
        """Returns a listing with tail latencies and processors in use."""
        rows = tuple(
            model.ListedRun(task, number, "", 50, compute_reading(run.step))
            for (task, number), run in self.running.items()
        )
        return worker_messages.Listing(
            self.read_clock(now), rows, tuple(self.ended)
        )


def compute_reading(step: model.Step) -> float:
    """Returns half of a run's tail latency target or of its processors."""
    return (step.tail_target_ms or step.amount.cpu_millis) / 2


def make_world(workers: int) -> batch_world.BatchWorld:
    """Returns a world with one instance that owns all workers."""
    world = batch_world.BatchWorld(1, run_duration_s=RUN_S)
    for number in range(workers):
        name = f"w{number}"
        world.add_worker(name, DATA_CENTRE, CPU_MILLIS)
        world.workers[name] = MeasuringWorker(
            world.listed_workers[name],
            batch_world.LIMITS.worker_lease_s,
            world.now,
        )
    world.add_node("e0", DATA_CENTRE)
    return world


def submit_work(world: batch_world.BatchWorld, workers: int) -> None:
    """Submits serving jobs, then jobs that leave a backlog on all workers."""
    amount = resources.Vector(TASK_CPU_MILLIS, 100, 0)
    for number in range(SERVING_JOBS):
        serving = model.Step(
            workers * SERVING_PER_WORKER // SERVING_JOBS,
            amount,
            long_running=True,
            image=f"serving-{number % SERVING_IMAGES}",
            tail_target_ms=100,
        )
        submit(world, number, serving)
    world.run(1.0)
    slots = workers * CPU_MILLIS // TASK_CPU_MILLIS
    for number in range(JOBS):
        step = model.Step(
            slots * BACKLOG // JOBS,
            amount,
            estimate_s=8.0,
            image=f"image-{number % OPPORTUNISTIC_IMAGES}",
            fills=number % 2 == 0,
        )
        submit(world, SERVING_JOBS + number, step)


def submit(
    world: batch_world.BatchWorld, number: int, step: model.Step
) -> None:
    """Submits a job of one step."""
    world.submit(world.nodes[0], f"{number:016x}", step)
    world.run(0.01)


@attrs.frozen
class Cost:
    """Processor time of the core at one number of workers.

    Attributes:
        workers: Number of workers.
        start_us: Total time per start, in microseconds.
        listing_us: Time to handle one listing, with the starts that follow, in
            microseconds.
        idle_s: Time per second without work, in seconds.
    """

    workers: int
    start_us: float
    listing_us: float
    idle_s: float


def measure(workers: int, *, verbose: bool = False) -> Cost:
    """Measures the costs at one number of workers."""
    meter = Meter()
    original = instance.handle

    def handle(
        event: messages.Event, batch: state.Batch, now: float
    ) -> list[messages.Effect]:
        return meter.handle(original, event, batch, now)

    instance.handle = handle  # type: ignore[assignment]
    try:
        world = make_world(workers)
        world.run(SETTLE_S)
        meter.clear()
        world.run(MEASURED_S)
        idle_s = sum(meter.cpu_s.values()) / MEASURED_S
        submit_work(world, workers)
        world.run(SETTLE_S)
        meter.clear()
        world.run(MEASURED_S)
    finally:
        instance.handle = original  # type: ignore[assignment]
    assert not world.violations, world.violations[:3]
    if verbose:
        for name, cpu_s in sorted(meter.cpu_s.items()):
            count = meter.event_counts[name]
            print(f"    {name}: {count} of {1e6 * cpu_s / count:.0f} us")
    total = sum(meter.cpu_s.values())
    listings = meter.event_counts["HoldLease"]
    return Cost(
        workers,
        1e6 * total / max(1, meter.starts),
        1e6 * meter.cpu_s["HoldLease"] / listings,
        idle_s,
    )


def print_verdicts(costs: list[Cost]) -> None:
    """Prints the costs and whether each meets its bounds."""
    smallest = costs[0]
    for cost in costs:
        growth = max(
            cost.start_us / smallest.start_us,
            cost.listing_us / smallest.listing_us,
        )
        growth_outcome = "ok" if growth <= RATIO_BOUND else "MISSED"
        idle_outcome = "ok" if cost.idle_s <= IDLE_BOUND_S else "MISSED"
        print(
            f"{cost.workers} workers: {cost.start_us:.0f} us a start,"
            f" {cost.listing_us:.0f} us a listing, growth {growth:.2f}"
            f" (bound {RATIO_BOUND}): {growth_outcome};"
            f" idle {1000 * cost.idle_s:.2f} ms/s"
            f" (bound {1000 * IDLE_BOUND_S:.0f}): {idle_outcome}"
        )


def main() -> None:
    """Measures the costs at all numbers of workers."""
    print_verdicts([measure(size, verbose=True) for size in WORKER_COUNTS])


if __name__ == "__main__":
    main()
