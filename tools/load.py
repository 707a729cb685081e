"""Sends requests at a fixed mean rate and prints latencies and outcomes.

The rate does not depend on the answers (open loop), so that a slow system
shows as higher latency and not as a lower rate. Rate and duration are bounded.
"""

import asyncio
import collections
import math
import random
import time
import uuid

import aiohttp
import attrs
import click

from standins import deployment
from standins import fleet as fleet_module

MAX_RATE = 5000
MAX_DURATION_S = 120.0
PERCENTILES = (0.5, 0.9, 0.99, 0.999)


@attrs.define
class Result:
    """Measurements of a run.

    Attributes:
        latencies_s: Time from the planned send time to a 200 answer.
        outcomes: Number of requests by status, error code or exception.
    """

    latencies_s: list[float] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def compute_percentile(self, share: float) -> float:
        """Returns a nearest-rank percentile of the latency; NaN without any."""
        ordered = sorted(self.latencies_s)
        if not ordered:
            return math.nan
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@attrs.frozen
class Plan:
    """Load to send.

    Attributes:
        targets: Callers' addresses of entry instances.
        rate: Mean number of requests per second over all targets.
        duration_s: Time for which requests are sent.
        keyed: Share of the requests that have an idempotency key.
        deadline_ms: Deadline of each request.
        seed: Seed of the send times and targets.
    """

    targets: tuple[str, ...]
    rate: float
    duration_s: float
    keyed: float
    deadline_ms: int
    seed: int


async def send_one(
    session: aiohttp.ClientSession,
    target: str,
    keyed: bool,
    plan: Plan,
    planned_at: float,
    result: Result,
) -> None:
    """Sends one request and records its outcome."""
    operation = "assign" if keyed else "compute"
    headers = {"Deadline-Ms": str(plan.deadline_ms)}
    if keyed:
        headers["Idempotency-Key"] = uuid.uuid4().hex
    url = f"http://{target}/v1/services/rota/{operation}"
    try:
        async with session.post(url, data=b"load", headers=headers) as answer:
            await answer.read()
            outcome = str(answer.status)
            if answer.status != 200:
                outcome = (await answer.json(content_type=None))["code"]
    except aiohttp.ClientError as error:
        outcome = type(error).__name__
    result.outcomes[outcome] += 1
    if outcome == "200":
        result.latencies_s.append(time.monotonic() - planned_at)


async def run_plan(session: aiohttp.ClientSession, plan: Plan) -> Result:
    """Sends all requests of a plan and waits for their outcomes."""
    rng = random.Random(plan.seed)
    result = Result()
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        planned_at = started_at
        while planned_at < started_at + plan.duration_s:
            await asyncio.sleep(max(0.0, planned_at - time.monotonic()))
            target = rng.choice(plan.targets)
            keyed = rng.random() < plan.keyed
            group.create_task(
                send_one(session, target, keyed, plan, planned_at, result)
            )
            planned_at += rng.expovariate(plan.rate)
    return result


def print_result(result: Result) -> None:
    """Prints outcomes and latency percentiles."""
    for outcome, count in result.outcomes.most_common():
        click.echo(f"{outcome:>24} {count}")
    for share in PERCENTILES:
        latency_ms = result.compute_percentile(share) * 1000
        click.echo(f"{f'p{share * 100:g}':>24} {latency_ms:.2f} ms")


async def run_fleet(
    executors: int, entries: int, plan: Plan, work_s: float
) -> Result:
    """Starts a fleet of one data centre, runs a plan and stops the fleet."""
    fleet = fleet_module.Fleet()
    try:
        fleet.add_store()
        for number in range(executors):
            fleet.add_executor(
                f"executor-{number}", "sefrou", "rota", work_s=work_s
            )
        for number in range(entries):
            fleet.add_entry(f"entry-{number}", "sefrou")
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await fleet.wait_ready(session)
            await fleet.publish(session)
            await _configure(session, fleet)
            targets = tuple(entry.callers for entry in fleet.entries.values())
            return await run_plan(session, attrs.evolve(plan, targets=targets))
    finally:
        fleet.stop()


async def _configure(
    session: aiohttp.ClientSession, fleet: fleet_module.Fleet
) -> None:
    entry = next(iter(fleet.entries.values()))
    url = f"http://{entry.operators}/v1/configuration"
    body = {
        "patch_id": "load",
        "base_version": 0,
        "patch": deployment.CONFIGURATION,
    }
    async with session.patch(url, json=body) as answer:
        answer.raise_for_status()
    # Waits until the configuration is in force on every entry instance.
    async with asyncio.timeout(fleet_module.START_TIMEOUT_S):
        while not await _is_in_force(session, url, fleet):
            await asyncio.sleep(0.2)


async def _is_in_force(
    session: aiohttp.ClientSession, url: str, fleet: fleet_module.Fleet
) -> bool:
    async with session.get(f"{url}/status") as answer:
        status = await answer.json()
    return set(status["in_force"]) == set(fleet.entries) and bool(
        status["lowest"] >= 1
    )


@click.command()
@click.option("--target", multiple=True, help="Callers' address; repeatable.")
@click.option("--rate", default=200.0, type=click.FloatRange(1, MAX_RATE))
@click.option(
    "--duration-s", default=10.0, type=click.FloatRange(0.1, MAX_DURATION_S)
)
@click.option("--keyed", default=0.0, type=click.FloatRange(0, 1))
@click.option("--deadline-ms", default=2000)
@click.option("--seed", default=1)
@click.option("--executors", default=8, help="Size of the fleet to start.")
@click.option("--entries", default=3, help="Size of the fleet to start.")
@click.option("--work-s", default=0.01, help="Time that a request takes.")
def run(
    target: tuple[str, ...],
    rate: float,
    duration_s: float,
    keyed: float,
    deadline_ms: int,
    seed: int,
    executors: int,
    entries: int,
    work_s: float,
) -> None:
    """Sends load to running entry instances, or to a fleet started here."""
    plan = Plan(target, rate, duration_s, keyed, deadline_ms, seed)
    if target:
        result = asyncio.run(_run_targets(plan))
    else:
        result = asyncio.run(run_fleet(executors, entries, plan, work_s))
    print_result(result)


async def _run_targets(plan: Plan) -> Result:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await run_plan(session, plan)


if __name__ == "__main__":
    run()
