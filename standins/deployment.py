"""A deployment of processes under test, and the calls and checks of runs."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import signal
from typing import Any

import aiohttp
import attrs

from standins import fleet as fleet_module

# Far above the duration of a run, so that a busy machine causes no failure.
WAIT_LIMIT_S = 120.0
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
class Deployment:
    """A deployment under test.

    Attributes:
        fleet: Its processes.
        session: Connections of callers and operators.
        workers: Names of the workers.
        failures: Descriptions of checks that failed.
        outcomes: Number of requests by outcome.
    """

    fleet: fleet_module.Fleet
    session: aiohttp.ClientSession
    workers: list[str] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def build(self, data_centre: str, entries: int, **options: object) -> None:
        """Adds 2 executors, 2 workers and entry instances in a data centre.

        Args:
            data_centre: Name of the data centre.
            entries: Number of entry instances.
            **options: Options of the executors' command line.
        """
        for number in range(2):
            name = f"{data_centre}-executor-{number}"
            self.fleet.add_executor(name, data_centre, "rota", **options)
            name = f"{data_centre}-worker-{number}"
            self.fleet.add_worker(name, data_centre, f"{data_centre}-rack")
            self.workers.append(name)
        for number in range(entries):
            self.fleet.add_entry(f"{data_centre}-entry-{number}", data_centre)

    async def prepare(self) -> None:
        """Sends the configuration and waits until all instances are ready."""
        await self.fleet.wait_ready(self.session)
        await self.fleet.publish(self.session)
        first = next(iter(self.fleet.entries))
        body = {"patch_id": "1", "base_version": 0, "patch": CONFIGURATION}
        await self.wait("patch", self.make_patch_check(first, body))
        for name in self.fleet.entries:
            await self.wait(f"{name} is ready", self.make_ready_check(name))

    def check(self, name: str, holds: bool) -> None:
        """Records a failure unless a check holds."""
        if not holds:
            self.failures.append(name)

    async def wait(
        self, name: str, check: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until a check holds; records a failure after `WAIT_LIMIT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not await check():
                    await asyncio.sleep(0.1)
                return
        self.failures.append(f"{name}: not within {WAIT_LIMIT_S:g} s")

    async def call(
        self, method: str, address: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Makes a call; returns status and JSON body, or 0 if unanswered."""
        url = f"http://{address}{path}"
        try:
            async with self.session.request(method, url, json=body) as answer:
                return answer.status, await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def send(self, entry: str, operation: str, key: str) -> str:
        """Sends a request whose body is its key, and returns the outcome.

        Returns:
            `answered`, `wrong body`, `not_run` or `unknown`, `refused` if the
            entry instance is not listening, or `interrupted` with the error.
        """
        address = self.fleet.entries[entry].callers
        url = f"http://{address}/v1/services/rota/{operation}"
        headers = {"Deadline-Ms": "5000", "Idempotency-Key": key}
        try:
            async with self.session.post(
                url, data=key.encode(), headers=headers
            ) as answer:
                body = await answer.read()
                if answer.status == 200:
                    correct = body.endswith(f" ran {key}".encode())
                    return "answered" if correct else "wrong body"
                return str((await answer.json(content_type=None))["ran"])
        except aiohttp.ClientConnectorError:
            return "refused"
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"interrupted: {type(error).__name__}"

    def make_patch_check(
        self, entry: str, body: dict[str, object]
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check that sends a patch and holds once it is accepted."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            path = "/v1/configuration"
            status, _ = await self.call("PATCH", address, path, body)
            return status == 200

        return check

    def make_ready_check(self, entry: str) -> Callable[[], Awaitable[bool]]:
        """Returns a check that holds if an entry instance is ready."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            return (await self.call("GET", address, "/readyz"))[0] == 200

        return check

    def make_version_check(
        self, entry: str, version: int
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check that holds if an instance applies a version."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            _, shown = await self.call("GET", address, "/v1/configuration")
            return bool(shown and shown.get("version") == version)

        return check

    async def submit(self, entry: str, tasks: int, run_s: float) -> None:
        """Submits job `j` and waits until a worker has started a task."""
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

    def make_finished_check(
        self, entry: str, data_centre: str
    ) -> Callable[[], Awaitable[bool]]:
        """Returns a check that holds if job `j` has finished."""

        async def check() -> bool:
            address = self.fleet.entries[entry].operators
            path = f"/v1/jobs/{data_centre}/j"
            _, shown = await self.call("GET", address, path)
            return bool(shown and shown.get("state") == "finished")

        return check

    async def list_starts(self) -> list[str]:
        """Returns the names of all attempts that the workers started."""
        starts = []
        for name in self.workers:
            address = self.fleet.addresses[name]
            starts += (await self.call("GET", address, "/starts"))[1] or []
        return starts

    async def count_runs(self) -> int:
        """Returns the number of runs of all executors."""
        total = 0
        for name, address in self.fleet.addresses.items():
            if "-executor-" in name:
                runs = (await self.call("GET", address, "/runs"))[1]
                total += sum(runs.values())
        return total

    async def find_owner(self, data_centre: str) -> str:
        """Returns the owner of the only partition of a data centre."""
        path = f"/kv/owners/{data_centre}/{data_centre}-rack"
        _, item = await self.call("GET", self.fleet.store, path)
        return str(item["value"]["instance_id"])

    async def set_store_down(self, down: bool) -> None:
        """Starts or ends a store outage."""
        await self.call("POST", self.fleet.store, "/faults", {"down": down})

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the fleet."""
        self.fleet.processes[name].send_signal(number)
