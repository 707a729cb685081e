"""Failures of real processes over TCP; verdicts come from counts and outcomes.

python -m standins.process_runs [NAME ...]
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import sys
from typing import Any

import aiohttp

from standins import fleet as fleet_module
from standins import relay
from standins import site as site_module


async def kill_owner(site: site_module.Site) -> None:
    """An owner is killed; its tasks run on and are committed once."""
    site.build("sefrou", 2)
    await site.prepare()
    await site.submit("sefrou-entry-0", 6, 15.0)
    owner = await site.find_owner("sefrou")
    site.signal(owner, signal.SIGKILL)
    other = next(name for name in site.fleet.entries if name != owner)
    await site.wait("the job finishes", site.is_finished(other, "sefrou"))
    starts = await site.list_starts()
    site.check(f"6 attempts, not {starts}", len(starts) == 6)


async def pause_owner(site: site_module.Site) -> None:
    """An owner is paused past its lease and woken."""
    site.build("sefrou", 2)
    await site.prepare()
    await site.submit("sefrou-entry-0", 6, 25.0)
    owner = await site.find_owner("sefrou")
    site.signal(owner, signal.SIGSTOP)

    async def taken_over() -> bool:
        path = "/kv/owners/sefrou/sefrou-rack"
        _, item = await site.call("GET", site.fleet.store, path)
        return bool(item and item.get("value")) and (
            item["value"]["instance_id"] != owner
        )

    await site.wait("another instance takes over", taken_over)
    site.signal(owner, signal.SIGCONT)
    other = next(name for name in site.fleet.entries if name != owner)
    await site.wait("the job finishes", site.is_finished(other, "sefrou"))
    starts = await site.list_starts()
    site.check(f"6 attempts, not {starts}", len(starts) == 6)
    await site.wait("the woken instance is ready", site.is_ready(owner))


async def stop_store(site: site_module.Site) -> None:
    """The store is down past the owner's lease; repeatable work goes on."""
    site.build("sefrou", 2)
    await site.prepare()
    await site.submit("sefrou-entry-0", 80, 4.0)
    await site.set_store_down(True)
    for number in range(20):
        key = f"outage-{number}"
        site.outcomes[await site.send("sefrou-entry-0", "compute", key)] += 1
        await asyncio.sleep(1.0)
    runs = await site.count_runs()
    refused = await site.send("sefrou-entry-1", "assign", "k")
    site.check(f"assign is not run, not {refused}", refused == "not_run")
    site.check("no run of the refused one", await site.count_runs() == runs)
    await site.set_store_down(False)
    site.check(f"answered: {site.outcomes}", site.outcomes["answered"] == 20)

    async def assigned() -> bool:
        return await site.send("sefrou-entry-1", "assign", "k") == "answered"

    await site.wait("the key can be used again", assigned)
    finished = site.is_finished("sefrou-entry-0", "sefrou")
    await site.wait("the job finishes", finished)
    starts = await site.list_starts()
    site.check(f"80 attempts, not {len(starts)}", len(starts) == 80)


async def replace_all(site: site_module.Site) -> None:
    """Every entry instance is replaced under load; nothing is lost."""
    site.build("sefrou", 3, work_s=0.05)
    await site.prepare()
    names = list(site.fleet.entries)
    load = asyncio.create_task(_send_load(site, names, 1200))
    for name in names:
        site.signal(name, signal.SIGTERM)
        process = site.fleet.processes[name]

        async def ended(process: Any = process) -> bool:
            return process.poll() is not None

        await site.wait(f"{name} exits", ended)
        site.check(f"{name} exits with 0", process.returncode == 0)
        site.fleet.start_entry(name)
        await site.wait(f"{name} is ready", site.is_ready(name))
    await load
    total = sum(site.outcomes.values())
    site.check(f"{site.outcomes}", site.outcomes["answered"] == total == 1200)
    runs = await site.count_runs()
    site.check(f"1200 runs, not {runs}", runs == 1200)


async def _send_load(
    site: site_module.Site, names: list[str], count: int
) -> None:
    """Sends through ready instances, as a load balancer does."""

    async def send(number: int) -> None:
        outcome = "refused"
        # A load balancer tries the next instance if nothing was sent.
        for turn in range(2 * len(names)):
            name = names[(number + turn) % len(names)]
            if not await site.is_ready(name)():
                continue
            outcome = await site.send(name, "assign", f"load-{number}")
            if outcome not in ("refused", "not_run"):
                break
        site.outcomes[outcome] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send(number))
            await asyncio.sleep(0.02)


async def cut_data_centre(site: site_module.Site) -> None:
    """A data centre is cut off from the store and its peers, and healed."""
    relays = []
    for data_centre in ("sefrou", "imouzzer"):
        site.build(data_centre, 0)
        store, peers = relay.Relay(site.fleet.store), relay.Relay("")
        await store.start()
        await peers.start()
        name = f"{data_centre}-entry-0"
        site.fleet.add_entry(name, data_centre, store.address, peers.address)
        peers.target = site.fleet.entries[name].peers
        relays += [store, peers]
    own, other = "imouzzer-entry-0", "sefrou-entry-0"
    await site.prepare()
    await site.submit(own, 80, 4.0)
    relays[1].cut()
    relays[2].cut()
    relays[3].cut()
    body = {"patch_id": "2", "base_version": 1, "patch": {"teams": {"t": {}}}}
    await site.wait("a patch elsewhere", site.patches(other, body))
    for number in range(20):
        key = f"cut-{number}"
        site.outcomes[await site.send(own, "compute", key)] += 1
        await asyncio.sleep(1.0)
    site.check(f"answered: {site.outcomes}", site.outcomes["answered"] == 20)
    refused = await site.send(own, "assign", "k")
    site.check(f"assign is not run, not {refused}", refused == "not_run")
    answered = await site.send(other, "assign", "k")
    site.check(f"assign elsewhere: {answered}", answered == "answered")
    site.check("the cut holds", await site.has_version(own, 1)())
    for item in relays:
        item.heal()
    await site.wait("the version arrives", site.has_version(own, 2))
    await site.wait("the job finishes", site.is_finished(own, "imouzzer"))
    starts = await site.list_starts()
    site.check(f"80 attempts, not {len(starts)}", len(starts) == 80)
    for item in relays:
        await item.stop()


RUNS: dict[str, Callable[[site_module.Site], Awaitable[None]]] = {
    "kill of an owner": kill_owner,
    "pause past a lease": pause_owner,
    "store outage": stop_store,
    "rolling replacement": replace_all,
    "data centre cut off": cut_data_centre,
}


async def make_run(name: str) -> list[str]:
    """Makes one run with a fleet of its own; returns its faults."""
    fleet = fleet_module.Fleet()
    try:
        fleet.add_store()
        timeout = aiohttp.ClientTimeout(total=20.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            site = site_module.Site(fleet, session)
            await RUNS[name](site)
            return site.faults
    finally:
        for process in fleet.processes.values():
            # A stopped process would not react to the request to end.
            process.send_signal(signal.SIGCONT)
        # A blocking wait would hold up the runs that share the loop: their
        # answers would lie unread until their timeouts had passed.
        await fleet.stop_waiting()


async def make_runs(names: list[str]) -> dict[str, list[str]]:
    """Makes several runs at once; returns faults by run."""
    faults = await asyncio.gather(*map(make_run, names))
    return dict(zip(names, faults, strict=True))


def main() -> int:
    """Makes the named runs, or all, and prints their faults."""
    results = asyncio.run(make_runs(sys.argv[1:] or list(RUNS)))
    for name, faults in results.items():
        print(f"{name}: {'; '.join(faults) or 'as stated'}")
    return 1 if any(results.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
