"""Command line of the soak: runs seeds in sequence and prints the results."""

import asyncio
import random
import shutil
import sys
import time

import click

from soak import deployment
from soak import faults
from soak import history
from soak import regressions as regressions_module
from soak import run as run_module

MAX_PRINTED_VIOLATIONS = 20
SEED_LIMIT = 1_000_000


def print_result(result: run_module.Result, size: str) -> None:
    """Prints the result of one seed and, if it failed, how to repeat it."""
    counts = " ".join(f"{name}={n}" for name, n in result.counts.items())
    verdict = (
        f"{len(result.violations)} violations" if result.violations else "ok"
    )
    print(
        f"seed {result.seed} ({size}, {result.seconds:g} s): {verdict} {counts}"
    )
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print_violation(violation, result)
    if result.violations:
        variables = f"SEED={result.seed} SECONDS={result.seconds:g} SIZE={size}"
        print(f"  repeat with: make soak {variables}", flush=True)


def print_violation(
    violation: history.Violation, result: run_module.Result
) -> None:
    """Prints a violation and a command that shows the job's log lines."""
    clock = time.strftime("%H:%M:%S", time.localtime(violation.wall_s))
    millis = int(violation.wall_s % 1 * 1000)
    job = violation.job_id
    print(
        f"  {clock},{millis:03} {violation.guarantee}: {job} {violation.text}"
    )
    if job:
        print(f"    grep -h {job} {result.directory}/*.log | sort")


def run_seed(
    seed: int,
    seconds: float,
    size: str,
    fixed_faults: tuple[faults.Fault, ...] = (),
) -> bool:
    """Runs one seed and removes its logs if it passed.

    Args:
        seed: Determines the jobs and the faults.
        seconds: Duration of the fault phase, in seconds.
        size: Name of the size of the deployment.
        fixed_faults: Faults to inject instead of those drawn from the seed.

    Returns:
        Whether a guarantee was violated.
    """
    result = asyncio.run(run_module.run(seed, seconds, size, fixed_faults))
    print_result(result, size)
    if not result.violations:
        shutil.rmtree(result.directory)
    return bool(result.violations)


def run_regressions() -> int:
    """Runs all regression cases; returns the number of those that failed."""
    failed = 0
    for regression in regressions_module.REGRESSIONS:
        print(f"{regression.found_by}: {regression.cause}")
        failed += run_seed(
            regression.seed,
            regression.seconds,
            regression.size,
            regression.faults,
        )
    return failed


@click.command()
@click.option("--seed", type=int, help="First seed; random if not given.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", default=40.0, help="Duration of the fault phase.")
@click.option(
    "--size", default="usual", type=click.Choice(sorted(deployment.SIZES))
)
@click.option("--regressions", is_flag=True, help="Run the regression cases.")
def main(
    seed: int | None, count: int, seconds: float, size: str, regressions: bool
) -> None:
    """Runs consecutive seeds; exits with 1 if a guarantee was violated."""
    if regressions:
        sys.exit(1 if run_regressions() else 0)
    drawn = random.SystemRandom().randrange(SEED_LIMIT)
    first = drawn if seed is None else seed
    failed = sum([run_seed(first + i, seconds, size) for i in range(count)])
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
