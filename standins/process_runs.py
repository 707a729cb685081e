"""Failures of real processes over TCP; verdicts come from counts and outcomes.

python -m standins.process_runs [NAME ...]
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import signal
import sys
from typing import Any

import aiohttp
import attrs

from standins import fleet as fleet_module
from standins import relay

# Far above what a run takes, so that a busy machine does not decide it.
LIMIT_S = 120.0
CONFIGURATION = {
    "services": {
        "rota": {
            "operations": {
                "compute": {"repeatable": True},
                "assign": {"repeatable": False},
            }
        }
    }
}


@attrs.define
class Site:
    """A fleet under test.

    Attributes:
        workers: Names of the workers.
        faults: What did not happen as it should.
        outcomes: Number of requests by outcome.
    """

    fleet: fleet_module.Fleet
    session: aiohttp.ClientSession
    workers: list[str] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def build(self, data_centre: str, entries: int, **options: object) -> None:
        """Adds executors, workers and entry instances of a data centre."""
        for number in range(2):
            name = f"{data_centre}-executor-{number}"
            self.fleet.add_executor(name, data_centre, "rota", **options)
            name = f"{data_centre}-worker-{number}"
            self.fleet.add_worker(name, data_centre, f"{data_centre}-rack")
            self.workers.append(name)
        for number in range(entries):
            self.fleet.add_entry(f"{data_centre}-entry-{number}", data_centre)

    async def prepare(self) -> None:
        """Waits until the first configuration is in force everywhere."""
        await self.fleet.wait_ready(self.session)
        await self.fleet.publish(self.session)
        first = next(iter(self.fleet.entries))
        body = {"patch_id": "1", "base_version": 0, "patch": CONFIGURATION}
        await self.wait("patch", self.patches(first, body))
        for name in self.fleet.entries:
            await self.wait(f"{name} is ready", self.is_ready(name))

    def check(self, name: str, holds: bool) -> None:
        """Notes a fault unless something holds."""
        if not holds:
            self.faults.append(name)

    async def wait(
        self, name: str, check: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until a check holds; notes a fault if it never does."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIMIT_S):
                while not await check():
                    await asyncio.sleep(0.1)
                return
        self.faults.append(f"{name}: not within {LIMIT_S:g} s")

    async def call(
        self, method: str, address: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Returns status and JSON body; status 0 without an answer."""
        url = f"http://{address}{path}"
        try:
            async with self.session.request(method, url, json=body) as answer:
                return answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def send(self, entry: str, operation: str, key: str) -> str:
        """Sends a request whose body is its key; returns its outcome."""
        address = self.fleet.entries[entry].callers
        url = f"http://{address}/v1/services/rota/{operation}"
        headers = {"Deadline-Ms": "5000", "Idempotency-Key": key}
        try:
            async with self.session.post(
                url, data=key.encode(), headers=headers
            ) as answer:
                body = await answer.read()
                if answer.status == 200:
                    right = body.endswith(f" ran {key}".encode())
                    return "answered" if right else "wrong body"
                return str((await answer.json(content_type=None))["ran"])
        except aiohttp.ClientConnectorError:
            return "refused"
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"interrupted: {type(error).__name__}"

    def patches(
        self, entry: str, body: dict[str, object]
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check that sends a patch and holds once it is accepted."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            path = "/v1/configuration"
            status, _ = await self.call("PATCH", address, path, body)
            return status == 200

        return check

    def is_ready(self, entry: str) -> Callable[[], Awaitable[bool]]:
        """Returns a check whether an entry instance is ready."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            return (await self.call("GET", address, "/readyz"))[0] == 200

        return check

    def has_version(
        self, entry: str, version: int
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check whether a version is in force at an instance."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            _, shown = await self.call("GET", address, "/v1/configuration")
            return bool(shown and shown.get("version") == version)

        return check

    async def submit(self, entry: str, tasks: int, run_s: float) -> None:
        """Submits the job `j` and waits until a worker starts a task."""
        job = {
            "job_id": "j",
            "data_centre": entry.split("-")[0],
            "team": "press",
            "kind": "tally",
            "task_count": tasks,
            "cpu_millis": 1000,
            "memory_mb": 500,
            "run_s": run_s,
        }
        address = self.fleet.entries[entry].operators

        async def accepted() -> bool:
            status, _ = await self.call("POST", address, "/v1/jobs", job)
            return status in (200, 201, 409)

        async def started() -> bool:
            return bool(await self.list_starts())

        await self.wait("the job is accepted", accepted)
        await self.wait("a task starts", started)

    def is_finished(
        self, entry: str, data_centre: str
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check whether the job has finished."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            path = f"/v1/jobs/{data_centre}/j"
            _, shown = await self.call("GET", address, path)
            return bool(shown and shown.get("state") == "finished")

        return check

    async def list_starts(self) -> list[str]:
        """Returns the names of all attempts that any worker started."""
        starts = []
        for name in self.workers:
            address = self.fleet.addresses[name]
            starts += (await self.call("GET", address, "/starts"))[1] or []
        return starts

    async def count_runs(self) -> int:
        """Returns how many requests the executors ran."""
        total = 0
        for name, address in self.fleet.addresses.items():
            if "-executor-" in name:
                runs = (await self.call("GET", address, "/runs"))[1]
                total += sum(runs.values())
        return total

    async def find_owner(self, data_centre: str) -> str:
        """Returns the owner of a data centre's only partition."""
        path = f"/kv/owners/{data_centre}/{data_centre}-rack"
        _, item = await self.call("GET", self.fleet.store, path)
        return str(item["value"]["instance_id"])

    async def set_store_down(self, down: bool) -> None:
        """Starts or ends a store outage."""
        await self.call("POST", self.fleet.store, "/faults", {"down": down})

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process that the fleet started."""
        self.fleet.processes[name].send_signal(number)


async def kill_owner(site: Site) -> None:
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


async def pause_owner(site: Site) -> None:
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


async def stop_store(site: Site) -> None:
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


async def replace_all(site: Site) -> None:
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


async def _send_load(site: Site, names: list[str], count: int) -> None:
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


async def cut_data_centre(site: Site) -> None:
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


RUNS: dict[str, Callable[[Site], Awaitable[None]]] = {
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
            site = Site(fleet, session)
            await RUNS[name](site)
            return site.faults
    finally:
        for process in fleet.processes.values():
            # A stopped process would not react to the request to end.
            process.send_signal(signal.SIGCONT)
        fleet.stop()


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
