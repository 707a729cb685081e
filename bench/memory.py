"""Measures the memory and processor time of an entry process.

Starts stand-ins and entry instances as processes. Prints the resident memory
and the processor share of one entry instance, idle and after a load:

    python -m bench.memory
"""

import asyncio
import os
import pathlib
import time

import aiohttp

from standins import demo
from standins import fleet as fleet_module

DATA_CENTRE = "sefrou"
OTHER_WORKERS = 2300
IDLE_S = 10.0
REQUESTS = 6000
CALLERS = 32
PATCH = {"services": {"rota": {"operations": {"run": {"repeatable": True}}}}}


def read_memory_mb(process_id: int) -> float:
    """Returns the resident memory of a process, in MiB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text("ascii")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def read_cpu_s(process_id: int) -> float:
    """Returns the processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text("ascii")
    ticks = fields.rsplit(")", 1)[1].split()[11:13]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


def build_fleet() -> fleet_module.Fleet:
    """Starts three entry instances, a worker and three executors."""
    fleet = fleet_module.Fleet()
    fleet.add_store()
    for number in range(3):
        fleet.add_executor(f"executor-{number}", DATA_CENTRE, "rota")
        fleet.add_entry(f"entry-{number}", DATA_CENTRE)
    fleet.add_worker("worker", DATA_CENTRE, "rack")
    return fleet


def add_other_workers(fleet: fleet_module.Fleet) -> None:
    """Lists as many workers of another data centre as in the design target."""
    for number in range(OTHER_WORKERS):
        fleet.listings.append(
            {
                "instance_id": f"worker-other-{number:05}",
                "kind": "worker",
                "data_centre": "other",
                "address": f"127.1.{number // 250}.{number % 250}:9000",
                "state": "live",
                "incarnation": f"incarnation-{number}",
                "rack": f"rack-other-{number // 8}",
            }
        )


async def send_requests(session: aiohttp.ClientSession, url: str) -> int:
    """Sends requests from several callers; returns how many succeeded."""
    remaining = iter(range(REQUESTS))
    answered = 0

    async def call() -> None:
        nonlocal answered
        for _ in remaining:
            async with session.post(url, data=b"gate 3") as response:
                await response.read()
                answered += response.status == 200

    await asyncio.gather(*(call() for _ in range(CALLERS)))
    return answered


async def measure() -> None:
    """Prints the measurements."""
    fleet = build_fleet()
    try:
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.publish(session)
            entry = fleet.entries["entry-0"]
            body = {"patch_id": "p", "base_version": 0, "patch": PATCH}
            url = f"{entry.operators}/v1/configuration"
            await demo.call(session, "PATCH", url, body)
            await print_usage(fleet, "idle, 7 listed", IDLE_S)
            add_other_workers(fleet)
            await fleet.publish(session)
            await asyncio.sleep(5)
            await print_usage(
                fleet, f"idle, {len(fleet.listings)} listed", IDLE_S
            )
            started = time.monotonic()
            url = f"http://{entry.callers}/v1/services/rota/run"
            answered = await send_requests(session, url)
            rate = REQUESTS / (time.monotonic() - started)
            print(f"memory: {answered} of {REQUESTS} answered, {rate:.0f}/s")
            await print_usage(fleet, "after load", 1.0)
    finally:
        fleet.stop()


async def print_usage(
    fleet: fleet_module.Fleet, name: str, duration_s: float
) -> None:
    """Prints the processor share over a period and the memory at its end."""
    process_id = fleet.processes["entry-0"].pid
    before = read_cpu_s(process_id)
    await asyncio.sleep(duration_s)
    share = (read_cpu_s(process_id) - before) / duration_s
    memory = read_memory_mb(process_id)
    print(f"memory: {name}: {memory:.1f} MB, {share:.1%} of a core")


if __name__ == "__main__":
    asyncio.run(measure())
