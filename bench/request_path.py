"""Measures the request path of both deployments in virtual time.

Usage: `python -m bench.request_path [case ...]`; every run has seed 1. An
executor runs a request for 10 ms and an exponential time of mean 10 ms.
"""

from collections.abc import Callable
import sys

import attrs

from sapphirestall_core import outcomes
from standins import traffic

RUN_S = 0.02
SPREAD = 0.5
SEED = 1
EXECUTORS = {"belkadi": 24, "magnolia": 35}
DRAIN_S = 8.0
STORE_WRITES_PER_S = 300.0


@attrs.frozen
class Load:
    """Offered load of one operation, as a multiple of the capacity."""

    operation: str
    factor: float


def deploy(name: str) -> traffic.Traffic:
    """Returns a deployment of the stated size."""
    deployed = traffic.deploy(SEED, executors=EXECUTORS[name])
    for executor in deployed.world.executors.values():
        executor.work_s = RUN_S
        executor.random_fraction = SPREAD
    return deployed


def run(
    title: str,
    name: str,
    loads: list[Load],
    duration_s: float,
    prepare: Callable[[traffic.Traffic], None] = lambda deployed: None,
    entries: list[str] | None = None,
) -> None:
    """Runs one case and prints its figures."""
    deployed = deploy(name)
    world = deployed.world
    prepare(deployed)
    before = world.counts.copy()
    capacity = EXECUTORS[name] * 8 / RUN_S
    for load in loads:
        rate = load.factor * capacity
        deployed.flood(load.operation, rate, duration_s, entries)
    world.run(duration_s + DRAIN_S)
    counts = world.counts - before
    print(f"{title}, {name}, capacity {capacity:.0f}/s")
    for load in loads:
        _report(load, deployed, counts["store StorePut"], duration_s)
    for key in sorted(counts):
        if key.startswith(("refusal requests", "refusal retries", "retry re")):
            print(f"  {key}: {counts[key]}")


def _report(
    load: Load, deployed: traffic.Traffic, writes: int, duration_s: float
) -> None:
    calls = deployed.find(load.operation)
    answered = [c for c in calls if isinstance(c.outcome, outcomes.Answered)]
    waits = sorted(1000 * (c.answered_at - c.sent_at) for c in answered)
    marks = " ".join(
        f"p{100 * share:g} {waits[int(share * (len(waits) - 1))]:.0f}"
        for share in (0.5, 0.99, 0.999)
        if waits
    )
    print(
        f"  {load.operation} at {load.factor:g}x: {len(calls)} sent, "
        f"{len(answered) / duration_s:.0f}/s answered, ms {marks}"
    )
    if load.operation == "assign" and answered:
        print(f"    store writes: {writes / len(answered):.2f} for each answer")


def limit_store(deployed: traffic.Traffic) -> None:
    """Lets the store serve as many writes as the platform's."""
    deployed.world.faults.writes_per_s = STORE_WRITES_PER_S


CASES: dict[str, Callable[[str], None]] = {
    "light": lambda name: run(
        "light", name, [Load("compute", 0.05), Load("assign", 0.005)], 10.0
    ),
    "full": lambda name: run("full", name, [Load("compute", 1.0)], 3.0),
    "overload": lambda name: run("overload", name, [Load("compute", 10)], 1.0),
    "bulk flood": lambda name: run(
        "bulk flood", name, [Load("compute", 0.4), Load("report", 10)], 1.0
    ),
    "urgent flood": lambda name: run(
        "urgent flood", name, [Load("compute", 10), Load("report", 0.15)], 1.0
    ),
    "claims": lambda name: run(
        "claims", name, [Load("assign", 0.05)], 4.0, limit_store
    ),
    "uneven": lambda name: run(
        "uneven", name, [Load("compute", 0.25)], 4.0, entries=["entry-0"]
    ),
}


def main() -> None:
    """Runs the cases that were named, or all."""
    for case in sys.argv[1:] or CASES:
        for name in EXECUTORS:
            CASES[case](name)


if __name__ == "__main__":
    main()
