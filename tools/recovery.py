"""Measures the time and the cost of recovery from faults in virtual time."""

from collections.abc import Callable
import sys

import attrs

from standins import trace_run
from standins import trace_steps

SEED = 1
INSTANCE_COUNTS = (4, 8, 16, 32)
WINDOW_S = 30.0
TIMEOUT_S = 120.0
# Greatest factor over proportional growth that counts as linear.
MAX_EXCESS_GROWTH = 1.25


def _count_calls(run: trace_run.Run, prefix: str) -> int:
    counts = run.world.counts
    return sum(counts[name] for name in counts if name.startswith(prefix))


@attrs.frozen
class Cost:
    """Number of calls in the window after a fault."""

    store_calls: int
    worker_messages: int


def measure_restart(entries: int) -> Cost:
    """Restarts all entry instances at once and counts the calls after it."""
    layout = trace_run.Layout(entries=entries, workers=32, racks=8)
    run = trace_run.make_run(layout, SEED)
    run.world.run(10.0)
    store, workers = _count_calls(run, "store "), _count_calls(run, "worker ")
    for name in list(run.world.nodes):
        trace_steps.apply(trace_steps.Start(name), run)
    run.world.run(WINDOW_S)
    return Cost(
        _count_calls(run, "store ") - store,
        _count_calls(run, "worker ") - workers,
    )


@attrs.frozen
class Recovery:
    """Time and store calls from a fault until a new job has finished.

    Attributes:
        seconds: Time of the recovery.
        store_calls: Number of store calls in this time.
        baseline_calls: Number of store calls in as much time without a fault.
    """

    seconds: float
    store_calls: int
    baseline_calls: float


def measure_recovery(steps: list[trace_steps.Step]) -> Recovery:
    """Measures the recovery from one fault."""
    run = trace_run.make_run(trace_run.Layout(entries=3), SEED)
    run.world.run(5.0)
    settled = _count_calls(run, "store ")
    run.world.run(WINDOW_S)
    before = _count_calls(run, "store ")
    baseline_rate = (before - settled) / WINDOW_S
    for step in steps:
        trace_steps.apply(step, run)
    started_at = run.world.now
    job = trace_steps.Submit("j", "other:sefrou-rack-0", 3, 1.0)
    while not run.calls.get("j") or not run.list_finished("j"):
        result = run.world.results.get(run.calls.get("j", ""))
        if result is None or hasattr(result, "code"):
            trace_steps.apply(job, run)
        run.world.run(0.5)
        if run.world.now > started_at + TIMEOUT_S:
            break
    seconds = run.world.now - started_at
    calls = _count_calls(run, "store ") - before
    return Recovery(seconds, calls, baseline_rate * seconds)


FAULTS: dict[str, list[trace_steps.Step]] = {
    "none": [],
    "owner killed": [trace_steps.Kill("owner:sefrou-rack-0")],
    "owner paused": [trace_steps.Pause("owner:sefrou-rack-0", 60.0)],
    "owner's lease ended": [trace_steps.ExpireLease("sefrou-rack-0")],
    "worker killed": [trace_steps.Kill("sefrou-worker-0")],
}


def main(write: Callable[[str], object] = print) -> int:
    """Prints the measurements; returns 0 if costs grow at most linearly."""
    for name, steps in FAULTS.items():
        recovery = measure_recovery(steps)
        write(
            f"{name:22} first tasks after {recovery.seconds:5.1f} s,"
            f" {recovery.store_calls} store calls,"
            f" baseline {recovery.baseline_calls:.0f}"
        )
    costs = {size: measure_restart(size) for size in INSTANCE_COUNTS}
    for size, cost in costs.items():
        write(f"{size:3} restarted: {cost}")
    smallest = costs[INSTANCE_COUNTS[0]]
    linear = all(
        cost.store_calls
        <= MAX_EXCESS_GROWTH * smallest.store_calls * size / INSTANCE_COUNTS[0]
        and cost.worker_messages
        <= MAX_EXCESS_GROWTH
        * smallest.worker_messages
        * size
        / INSTANCE_COUNTS[0]
        for size, cost in costs.items()
    )
    write(f"at most linear: {linear}")
    return 0 if linear else 1


if __name__ == "__main__":
    sys.exit(main())
