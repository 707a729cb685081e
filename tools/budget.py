"""Measures processor time and memory of idle entry processes.

Starts a fleet of the size of a deployment, lets it run without requests, and
reads the processor time and memory of each entry instance from /proc.
"""

import asyncio
import os
import pathlib

import aiohttp
import attrs
import click

from standins import fleet as fleet_module

SETTLE_S = 15.0
MEBIBYTE = 1024 * 1024
DATA_CENTRES = ("sefrou", "imouzzer", "el-hajeb")


@attrs.frozen
class Reading:
    """Processor time since the process started, and resident memory."""

    cpu_s: float
    resident_bytes: int


def read_process(pid: int) -> Reading:
    """Reads the usage of one process from the files described in proc(5)."""
    root = pathlib.Path(f"/proc/{pid}")
    fields = (root / "stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((root / "statm").read_text().split()[1])
    return Reading(
        ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE")
    )


def start_fleet(
    entries: int, workers: int, executors: int
) -> fleet_module.Fleet:
    """Starts a fleet whose members are spread over the data centres."""
    fleet = fleet_module.Fleet()
    fleet.add_store()
    data_centre_count = len(DATA_CENTRES)
    for number in range(executors):
        data_centre = DATA_CENTRES[number % data_centre_count]
        fleet.add_executor(f"executor-{number}", data_centre, "rota")
    for number in range(workers):
        data_centre = DATA_CENTRES[number % data_centre_count]
        fleet.add_worker(f"worker-{number}", data_centre, f"rack-{data_centre}")
    for number in range(entries):
        fleet.add_entry(
            f"entry-{number}", DATA_CENTRES[number % data_centre_count]
        )
    return fleet


async def measure(
    fleet: fleet_module.Fleet, duration_s: float
) -> dict[str, tuple[Reading, Reading]]:
    """Returns readings of each entry instance, `duration_s` seconds apart."""
    async with aiohttp.ClientSession() as session:
        await fleet.wait_ready(session)
        await fleet.publish(session)
    await asyncio.sleep(SETTLE_S)
    pids = {name: fleet.processes[name].pid for name in fleet.entries}
    before = {name: read_process(pid) for name, pid in pids.items()}
    await asyncio.sleep(duration_s)
    return {
        name: (before[name], read_process(pid)) for name, pid in pids.items()
    }


@click.command()
@click.option("--entries", default=8)
@click.option("--workers", default=24)
@click.option("--executors", default=24)
@click.option("--duration-s", default=30.0, type=click.FloatRange(1, 300))
def run(entries: int, workers: int, executors: int, duration_s: float) -> None:
    """Prints the processor share and memory of each entry instance."""
    fleet = start_fleet(entries, workers, executors)
    try:
        readings = asyncio.run(measure(fleet, duration_s))
    finally:
        fleet.stop()
    for name, (before, after) in sorted(readings.items()):
        share = (after.cpu_s - before.cpu_s) / duration_s
        resident = after.resident_bytes / MEBIBYTE
        click.echo(f"{name:>12} {share:7.2%} of a core {resident:6.1f} MiB")


if __name__ == "__main__":
    run()
