"""Command line: runs seeds one after the other and prints what they show."""

import asyncio
import random
import shutil
import sys
import time

import click

from soak import deployment as site
from soak import faults
from soak import history as ledger
from soak import regressions as regressions_module
from soak import run as run_module

MOST_PRINTED = 20
SEEDS = 1_000_000


def print_result(result: run_module.Result, size: str) -> None:
    """Prints the outcome of one seed, and how to look into it."""
    counts = " ".join(f"{name}={n}" for name, n in result.counts.items())
    verdict = f"{len(result.violations)} broken" if result.violations else "ok"
    print(
        f"seed {result.seed} ({size}, {result.seconds:g} s): {verdict} {counts}"
    )
    for violation in result.violations[:MOST_PRINTED]:
        print_violation(violation, result)
    if result.violations:
        again = f"SEED={result.seed} SECONDS={result.seconds:g} SIZE={size}"
        print(f"  again: make soak {again}", flush=True)


def print_violation(
    violation: ledger.Violation, result: run_module.Result
) -> None:
    """Prints a broken promise, with the lines of the logs to look at."""
    clock = time.strftime("%H:%M:%S", time.localtime(violation.wall_s))
    millis = int(violation.wall_s % 1 * 1000)
    job = violation.job_id
    print(f"  {clock},{millis:03} {violation.promise}: {job} {violation.text}")
    if job:
        print(f"    grep -h {job} {result.directory}/*.log | sort")


def run_seed(
    seed: int, seconds: float, size: str, chosen: tuple[faults.Fault, ...] = ()
) -> bool:
    """Runs one seed; tells whether a promise was broken."""
    result = asyncio.run(run_module.run(seed, seconds, size, chosen))
    print_result(result, size)
    if not result.violations:
        shutil.rmtree(result.directory)
    return bool(result.violations)


def run_regressions() -> int:
    """Plays what has failed before; returns how many broke a promise."""
    broken = 0
    for known in regressions_module.REGRESSIONS:
        print(f"{known.found_by}: {known.cause}")
        broken += run_seed(known.seed, known.seconds, known.size, known.faults)
    return broken


@click.command()
@click.option("--seed", type=int, help="First seed; drawn if there is none.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", default=40.0, help="Length of the faults.")
@click.option("--size", default="usual", type=click.Choice(sorted(site.SIZES)))
@click.option("--regressions", is_flag=True, help="Plays what failed before.")
def main(
    seed: int | None, count: int, seconds: float, size: str, regressions: bool
) -> None:
    """Runs seeds one after the other."""
    if regressions:
        sys.exit(1 if run_regressions() else 0)
    drawn = random.SystemRandom().randrange(SEEDS)
    first = drawn if seed is None else seed
    broken = sum([run_seed(first + i, seconds, size) for i in range(count)])
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
