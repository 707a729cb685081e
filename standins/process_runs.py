"""Runs real processes over TCP under faults, and checks the outcomes.

    python -m standins.process_runs [NAME ...]

The checks use only counts of the stand-ins and answers to callers and
operators.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import sys
from typing import Any

import aiohttp

from standins import deployment as deployment_module
from standins import fleet as fleet_module
from standins import relay


async def kill_owner(deployment: deployment_module.Deployment) -> None:
    """The owner is killed; its tasks run on and are committed once."""
    deployment.build("sefrou", 2)
    await deployment.prepare()
    await deployment.submit("sefrou-entry-0", 6, 15.0)
    owner = await deployment.find_owner("sefrou")
    deployment.signal(owner, signal.SIGKILL)
    other = next(name for name in deployment.fleet.entries if name != owner)
    await deployment.wait(
        "the job finishes", deployment.make_finished_check(other, "sefrou")
    )
    starts = await deployment.list_starts()
    deployment.check(f"6 attempts, not {starts}", len(starts) == 6)


async def pause_owner(deployment: deployment_module.Deployment) -> None:
    """The owner is paused until its lease has expired, and then resumed."""
    deployment.build("sefrou", 2)
    await deployment.prepare()
    await deployment.submit("sefrou-entry-0", 6, 25.0)
    owner = await deployment.find_owner("sefrou")
    deployment.signal(owner, signal.SIGSTOP)

    async def taken_over() -> bool:
        path = "/kv/owners/sefrou/sefrou-rack"
        _, item = await deployment.call("GET", deployment.fleet.store, path)
        return bool(item and item.get("value")) and (
            item["value"]["instance_id"] != owner
        )

    await deployment.wait("another instance takes over", taken_over)
    deployment.signal(owner, signal.SIGCONT)
    other = next(name for name in deployment.fleet.entries if name != owner)
    await deployment.wait(
        "the job finishes", deployment.make_finished_check(other, "sefrou")
    )
    starts = await deployment.list_starts()
    deployment.check(f"6 attempts, not {starts}", len(starts) == 6)
    await deployment.wait(
        "the resumed instance is ready", deployment.make_ready_check(owner)
    )


async def stop_store(deployment: deployment_module.Deployment) -> None:
    """The store is down for longer than a lease; repeatable work continues."""
    deployment.build("sefrou", 2)
    await deployment.prepare()
    await deployment.submit("sefrou-entry-0", 80, 4.0)
    await deployment.set_store_down(True)
    for number in range(20):
        key = f"outage-{number}"
        deployment.outcomes[
            await deployment.send("sefrou-entry-0", "compute", key)
        ] += 1
        await asyncio.sleep(1.0)
    runs = await deployment.count_runs()
    refused = await deployment.send("sefrou-entry-1", "assign", "k")
    deployment.check(f"assign is not run, not {refused}", refused == "not_run")
    deployment.check(
        "the refused request did not run", await deployment.count_runs() == runs
    )
    await deployment.set_store_down(False)
    deployment.check(
        f"answered: {deployment.outcomes}",
        deployment.outcomes["answered"] == 20,
    )

    async def assigned() -> bool:
        return (
            await deployment.send("sefrou-entry-1", "assign", "k") == "answered"
        )

    await deployment.wait("the key can be used again", assigned)
    finished = deployment.make_finished_check("sefrou-entry-0", "sefrou")
    await deployment.wait("the job finishes", finished)
    starts = await deployment.list_starts()
    deployment.check(f"80 attempts, not {len(starts)}", len(starts) == 80)


async def replace_all(deployment: deployment_module.Deployment) -> None:
    """Every entry instance is replaced under load, without lost requests."""
    deployment.build("sefrou", 3, work_s=0.05)
    await deployment.prepare()
    names = list(deployment.fleet.entries)
    load = asyncio.create_task(_send_load(deployment, names, 1200))
    for name in names:
        deployment.signal(name, signal.SIGTERM)
        process = deployment.fleet.processes[name]

        async def ended(process: Any = process) -> bool:
            return process.poll() is not None

        await deployment.wait(f"{name} exits", ended)
        deployment.check(f"{name} exits with 0", process.returncode == 0)
        deployment.fleet.start_entry(name)
        await deployment.wait(
            f"{name} is ready", deployment.make_ready_check(name)
        )
    await load
    total = sum(deployment.outcomes.values())
    deployment.check(
        f"{deployment.outcomes}",
        deployment.outcomes["answered"] == total == 1200,
    )
    runs = await deployment.count_runs()
    deployment.check(f"1200 runs, not {runs}", runs == 1200)


async def _send_load(
    deployment: deployment_module.Deployment, names: list[str], count: int
) -> None:
    """Sends requests through ready instances, as a load balancer does."""

    async def send(number: int) -> None:
        outcome = "refused"
        # A load balancer tries the next instance if the request did not run.
        for turn in range(2 * len(names)):
            name = names[(number + turn) % len(names)]
            if not await deployment.make_ready_check(name)():
                continue
            outcome = await deployment.send(name, "assign", f"load-{number}")
            if outcome not in ("refused", "not_run"):
                break
        deployment.outcomes[outcome] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(count):
            group.create_task(send(number))
            await asyncio.sleep(0.02)


async def isolate_data_centre(deployment: deployment_module.Deployment) -> None:
    """A data centre is disconnected from store and peers, then reconnected."""
    relays = []
    for data_centre in ("sefrou", "imouzzer"):
        deployment.build(data_centre, 0)
        store, peers = relay.Relay(deployment.fleet.store), relay.Relay("")
        await store.start()
        await peers.start()
        name = f"{data_centre}-entry-0"
        deployment.fleet.add_entry(
            name, data_centre, store.address, peers.address
        )
        peers.target = deployment.fleet.entries[name].peers
        relays += [store, peers]
    own, other = "imouzzer-entry-0", "sefrou-entry-0"
    await deployment.prepare()
    await deployment.submit(own, 80, 4.0)
    relays[1].disconnect()
    relays[2].disconnect()
    relays[3].disconnect()
    body = {"patch_id": "2", "base_version": 1, "patch": {"teams": {"t": {}}}}
    await deployment.wait(
        "the patch is accepted in the other data centre",
        deployment.make_patch_check(other, body),
    )
    for number in range(20):
        key = f"cut-{number}"
        deployment.outcomes[await deployment.send(own, "compute", key)] += 1
        await asyncio.sleep(1.0)
    deployment.check(
        f"answered: {deployment.outcomes}",
        deployment.outcomes["answered"] == 20,
    )
    refused = await deployment.send(own, "assign", "k")
    deployment.check(f"assign is not run, not {refused}", refused == "not_run")
    answered = await deployment.send(other, "assign", "k")
    deployment.check(
        f"assign in the other data centre: {answered}", answered == "answered"
    )
    deployment.check(
        "the new version stays unknown while disconnected",
        await deployment.make_version_check(own, 1)(),
    )
    for item in relays:
        item.reconnect()
    await deployment.wait(
        "the version is in force after the reconnection",
        deployment.make_version_check(own, 2),
    )
    await deployment.wait(
        "the job finishes", deployment.make_finished_check(own, "imouzzer")
    )
    starts = await deployment.list_starts()
    deployment.check(f"80 attempts, not {len(starts)}", len(starts) == 80)
    for item in relays:
        await item.stop()


RUNS: dict[str, Callable[[deployment_module.Deployment], Awaitable[None]]] = {
    "kill of an owner": kill_owner,
    "pause past a lease": pause_owner,
    "store outage": stop_store,
    "rolling replacement": replace_all,
    "data centre cut off": isolate_data_centre,
}


async def execute(name: str) -> list[str]:
    """Executes a run with its own processes; returns its failures."""
    fleet = fleet_module.Fleet()
    try:
        fleet.add_store()
        timeout = aiohttp.ClientTimeout(total=20.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            deployment = deployment_module.Deployment(fleet, session)
            await RUNS[name](deployment)
            return deployment.failures
    finally:
        for process in fleet.processes.values():
            # A process that is still stopped would not handle SIGTERM.
            process.send_signal(signal.SIGCONT)
        # A blocking wait would delay the other runs on the loop beyond the
        # timeouts of their calls.
        await fleet.stop_async()


async def execute_all(names: list[str]) -> dict[str, list[str]]:
    """Executes several runs concurrently; returns failures by run."""
    failures = await asyncio.gather(*map(execute, names))
    return dict(zip(names, failures, strict=True))


def main() -> int:
    """Executes the named runs, or all, and prints their failures."""
    results = asyncio.run(execute_all(sys.argv[1:] or list(RUNS)))
    for name, failures in results.items():
        print(f"{name}: {'; '.join(failures) or 'passed'}")
    return 1 if any(results.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
