"""Measures what the batch core costs per start, listing and idle second.

Runs in virtual time with one instance that owns all workers; the processor
time is that of the core alone. Usage: `python -m bench.batch_cost`.
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
SIZES = (8, 24, 60, 300)
CPU_MILLIS = 8_000
TASK_CPU_MILLIS = 1_000
# Each worker ends and starts about one task a second.
RUN_S = (6.0, 10.0)
JOBS = 50
# Tasks submitted for each slot of a worker.
BACKLOG = 8
SERVING_JOBS = 4
SERVING_PER_WORKER = 2
SERVING_IMAGES = 4
FILLING_IMAGES = 6
SETTLE_S = 12.0
MEASURED_S = 6.0
# Growth of the cost of a start and of a listing from the smallest size on.
RATIO_BOUND = 1.5
# Processor time of an instance that owns workers without work, per second.
IDLE_BOUND_S = 0.005


@attrs.define
class Meter:
    """Processor time of the core, by kind of event."""

    seconds: dict[str, float] = attrs.field(factory=dict)
    events: dict[str, int] = attrs.field(factory=dict)
    starts: int = 0

    def clear(self) -> None:
        """Forgets what was measured."""
        self.seconds.clear()
        self.events.clear()
        self.starts = 0

    def handle(
        self,
        original: Callable[..., list[messages.Effect]],
        event: messages.Event,
        batch: state.Batch,
        now: float,
    ) -> list[messages.Effect]:
        """Handles one event and notes what it took."""
        before = time.process_time()
        effects = original(event, batch, now)
        spent = time.process_time() - before
        name = name_event(event)
        self.seconds[name] = self.seconds.get(name, 0.0) + spent
        self.events[name] = self.events.get(name, 0) + 1
        self.starts += sum(
            isinstance(effect, worker_messages.StartRun) for effect in effects
        )
        return effects


def name_event(event: messages.Event) -> str:
    """Returns the kind of an event, by what it answers."""
    if isinstance(event, messages.TimerFired):
        return type(event.timer).__name__
    if isinstance(event, worker_messages.WorkerReplied):
        return type(event.call).__name__
    return type(event).__name__


@attrs.define
class ReadingWorker(batch_worker.BatchWorker):
    """A worker whose listings show tails and processors in use."""

    def make_listing(self, now: float) -> worker_messages.Listing:
        """Returns a listing."""
        rows = tuple(
            model.ListedRun(task, number, "", 50, read(run.step))
            for (task, number), run in self.running.items()
        )
        return worker_messages.Listing(
            self.read_clock(now), rows, tuple(self.ended)
        )


def read(step: model.Step) -> float:
    """Returns the reading of a run: half of its target or of its amount."""
    return (step.tail_target_ms or step.amount.cpu_millis) / 2


def make_world(workers: int) -> batch_world.BatchWorld:
    """Returns a world whose only instance owns all workers."""
    world = batch_world.BatchWorld(1, run_duration_s=RUN_S)
    for number in range(workers):
        name = f"w{number}"
        world.add_worker(name, DATA_CENTRE, CPU_MILLIS)
        world.workers[name] = ReadingWorker(
            world.listed_workers[name],
            batch_world.LIMITS.worker_lease_s,
            world.now,
        )
    world.add_node("e0", DATA_CENTRE)
    return world


def submit_work(world: batch_world.BatchWorld, workers: int) -> None:
    """Submits serving jobs, then jobs that leave a backlog everywhere."""
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
            image=f"image-{number % FILLING_IMAGES}",
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
    """Costs at one size, in microseconds of processor time.

    Attributes:
        start: All work of the core, divided by the starts.
        listing: One listing with what it leads to.
        idle_s: Processor time of a second without work, in seconds.
    """

    workers: int
    start: float
    listing: float
    idle_s: float


def measure(workers: int, *, verbose: bool = False) -> Cost:
    """Measures one size."""
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
        idle_s = sum(meter.seconds.values()) / MEASURED_S
        submit_work(world, workers)
        world.run(SETTLE_S)
        meter.clear()
        world.run(MEASURED_S)
    finally:
        instance.handle = original  # type: ignore[assignment]
    assert not world.violations, world.violations[:3]
    if verbose:
        for name, seconds in sorted(meter.seconds.items()):
            count = meter.events[name]
            print(f"    {name}: {count} of {1e6 * seconds / count:.0f} us")
    total = sum(meter.seconds.values())
    listings = meter.events["HoldLease"]
    return Cost(
        workers,
        1e6 * total / max(1, meter.starts),
        1e6 * meter.seconds["HoldLease"] / listings,
        idle_s,
    )


def print_verdict(costs: list[Cost]) -> None:
    """Prints the costs and whether they meet their bounds."""
    first = costs[0]
    for cost in costs:
        growth = max(cost.start / first.start, cost.listing / first.listing)
        flat = "ok" if growth <= RATIO_BOUND else "MISSED"
        idle = "ok" if cost.idle_s <= IDLE_BOUND_S else "MISSED"
        print(
            f"{cost.workers} workers: {cost.start:.0f} us a start,"
            f" {cost.listing:.0f} us a listing, growth {growth:.2f}"
            f" (bound {RATIO_BOUND}): {flat};"
            f" idle {1000 * cost.idle_s:.2f} ms/s"
            f" (bound {1000 * IDLE_BOUND_S:.0f}): {idle}"
        )


def main() -> None:
    """Measures all sizes."""
    print_verdict([measure(size, verbose=True) for size in SIZES])


if __name__ == "__main__":
    main()
