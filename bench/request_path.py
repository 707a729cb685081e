"""Measures the request path of both deployments in virtual time.

Usage: `python -m bench.request_path [case ...]`; every run has seed 1. A
request takes 10 ms and an exponentially distributed time of mean 10 ms.
"""

from collections.abc import Callable
import sys

import attrs

from sapphirestall_core import outcomes
from standins import traffic

MEAN_WORK_S = 0.02
EXPONENTIAL_SHARE = 0.5
SEED = 1
EXECUTORS = {"belkadi": 24, "magnolia": 35}
DRAIN_S = 8.0
STORE_WRITES_PER_S = 300.0


@attrs.frozen
class Load:
    """Offered load of one operation, as a multiple of the capacity."""

    operation: str
    factor: float


def deploy(deployment: str) -> traffic.Traffic:
    """Returns a deployment with its number of executors."""
    deployed = traffic.deploy(SEED, executors=EXECUTORS[deployment])
    for executor in deployed.world.executors.values():
        executor.work_s = MEAN_WORK_S
        executor.random_fraction = EXPONENTIAL_SHARE
    return deployed


def run_case(
    title: str,
    deployment: str,
    loads: list[Load],
    duration_s: float,
    prepare: Callable[[traffic.Traffic], None] = lambda deployed: None,
    entries: list[str] | None = None,
) -> None:
    """Runs one case and prints its measurements.

    Args:
        title: Title of the case.
        deployment: Name of the deployment.
        loads: Loads that are offered together.
        duration_s: Time for which they are offered, in seconds.
        prepare: Changes the deployment before the run.
        entries: Entry instances that receive the requests; all if None.
    """
    deployed = deploy(deployment)
    world = deployed.world
    prepare(deployed)
    before = world.counts.copy()
    capacity = EXECUTORS[deployment] * 8 / MEAN_WORK_S
    for load in loads:
        rate = load.factor * capacity
        deployed.schedule_load(load.operation, rate, duration_s, entries)
    world.run(duration_s + DRAIN_S)
    counts = world.counts - before
    print(f"{title}, {deployment}, capacity {capacity:.0f}/s")
    for load in loads:
        _print_load(load, deployed, counts["store StorePut"], duration_s)
    for key in sorted(counts):
        if key.startswith(("refusal requests", "refusal retries", "retry re")):
            print(f"  {key}: {counts[key]}")


def _print_load(
    load: Load, deployed: traffic.Traffic, writes: int, duration_s: float
) -> None:
    calls = deployed.find(load.operation)
    answered = [c for c in calls if isinstance(c.outcome, outcomes.Answered)]
    waits = sorted(1000 * (c.answered_at - c.sent_at) for c in answered)
    quantiles = " ".join(
        f"p{100 * share:g} {waits[int(share * (len(waits) - 1))]:.0f}"
        for share in (0.5, 0.99, 0.999)
        if waits
    )
    print(
        f"  {load.operation} at {load.factor:g}x: {len(calls)} sent, "
        f"{len(answered) / duration_s:.0f}/s answered, ms {quantiles}"
    )
    if load.operation == "assign" and answered:
        print(f"    store writes: {writes / len(answered):.2f} for each answer")


def limit_store(deployed: traffic.Traffic) -> None:
    """Limits the store to the write rate of the platform's store."""
    deployed.world.faults.writes_per_s = STORE_WRITES_PER_S


CASES: dict[str, Callable[[str], None]] = {
    "light": lambda deployment: run_case(
        "light",
        deployment,
        [Load("compute", 0.05), Load("assign", 0.005)],
        10.0,
    ),
    "full": lambda deployment: run_case(
        "full", deployment, [Load("compute", 1.0)], 3.0
    ),
    "overload": lambda deployment: run_case(
        "overload", deployment, [Load("compute", 10)], 1.0
    ),
    "bulk flood": lambda deployment: run_case(
        "bulk flood",
        deployment,
        [Load("compute", 0.4), Load("report", 10)],
        1.0,
    ),
    "urgent flood": lambda deployment: run_case(
        "urgent flood",
        deployment,
        [Load("compute", 10), Load("report", 0.15)],
        1.0,
    ),
    "claims": lambda deployment: run_case(
        "claims", deployment, [Load("assign", 0.05)], 4.0, limit_store
    ),
    "uneven": lambda deployment: run_case(
        "uneven", deployment, [Load("compute", 0.25)], 4.0, entries=["entry-0"]
    ),
}


def main() -> None:
    """Runs the cases that are named as arguments, or all."""
    for case in sys.argv[1:] or CASES:
        for deployment in EXECUTORS:
            CASES[case](deployment)


if __name__ == "__main__":
    main()
