"""Demonstrates a patch, requests, a claim and a job with real processes.

Exits with 0 only if every outcome is as expected.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import sys
from typing import Any

import aiohttp

from standins import fleet as fleet_module

DATA_CENTRES = ("sefrou", "imouzzer", "el-hajeb")
WAIT_LIMIT_S = 30.0
PATCH = {
    "services": {
        "rota": {
            "operations": {
                "compute": {"repeatable": True},
                "assign": {"repeatable": False},
            }
        }
    }
}


def build_fleet() -> fleet_module.Fleet:
    """Starts a store and, per data centre, an executor, worker and instance."""
    fleet = fleet_module.Fleet()
    fleet.add_store()
    for data_centre in DATA_CENTRES:
        fleet.add_executor(f"executor-{data_centre}", data_centre, "rota")
        fleet.add_worker(
            f"worker-{data_centre}", data_centre, f"rack-{data_centre}"
        )
        fleet.add_entry(f"entry-{data_centre}", data_centre)
    return fleet


async def call(
    session: aiohttp.ClientSession, method: str, url: str, body: object = None
) -> Any:
    """Makes a call and returns the JSON body of the answer."""
    async with session.request(method, f"http://{url}", json=body) as response:
        return await response.json(content_type=None)


async def wait_for(check: Callable[[], Awaitable[bool]]) -> bool:
    """Waits until a check holds; returns whether it did in time."""
    try:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not await check():
                await asyncio.sleep(0.2)
    except TimeoutError:
        return False
    return True


async def show_patch(
    session: aiohttp.ClientSession, fleet: fleet_module.Fleet
) -> bool:
    """Sends a patch; returns whether all entry instances apply it in time."""
    entry = fleet.entries["entry-sefrou"]
    body = {"patch_id": "demo-1", "base_version": 0, "patch": PATCH}
    url = f"{entry.operators}/v1/configuration"
    answer = await call(session, "PATCH", url, body)
    print(f"patch: accepted as version {answer.get('version')}")

    async def check() -> bool:
        shown = await call(session, "GET", f"{url}/status")
        return set(shown["in_force"]) == set(fleet.entries) and bool(
            shown["lowest"] == 1
        )

    in_force = await wait_for(check)
    print(f"patch: in force everywhere: {in_force}")
    return in_force


async def show_request(
    session: aiohttp.ClientSession, fleet: fleet_module.Fleet
) -> bool:
    """Sends a request through each entry instance and checks the answers."""
    all_correct = True
    for entry in fleet.entries.values():
        url = f"http://{entry.callers}/v1/services/rota/compute"
        async with session.post(url, data=b"gate 3") as response:
            body = await response.read()
            print(f"request: {entry.instance_id}: {response.status} {body!r}")
            expected = f"executor-{entry.data_centre} ran gate 3".encode()
            all_correct &= response.status == 200 and body == expected
    return all_correct


async def show_claim(
    session: aiohttp.ClientSession, fleet: fleet_module.Fleet
) -> bool:
    """Sends a key through each instance and checks that it runs only once."""
    all_correct = True
    first: bytes | None = None
    for entry in fleet.entries.values():
        status, body, replayed = 0, b"", None

        async def is_answered(
            url: str = f"http://{entry.callers}/v1/services/rota/assign",
        ) -> bool:
            nonlocal status, body, replayed
            headers = {"Idempotency-Key": "room-7"}
            async with session.post(url, headers=headers) as response:
                status, body = response.status, await response.read()
                replayed = response.headers.get("Idempotent-Replayed")
            return status == 200

        all_correct &= await wait_for(is_answered)
        print(f"claim: {entry.instance_id}: {status} {body!r} {replayed}")
        all_correct &= replayed == (None if first is None else "true")
        first = first or body
        all_correct &= body == first
    return all_correct


async def show_job(
    session: aiohttp.ClientSession, fleet: fleet_module.Fleet
) -> bool:
    """Submits a job; returns whether it finishes in time."""
    entry = fleet.entries["entry-sefrou"]
    job = {
        "job_id": "tally",
        "data_centre": "sefrou",
        "team": "press",
        "kind": "tally",
        "task_count": 4,
        "cpu_millis": 1000,
        "memory_mb": 500,
        "run_s": 0.5,
    }
    shown: Any = {}

    async def submit() -> bool:
        nonlocal shown
        url = f"{entry.operators}/v1/jobs"
        shown = await call(session, "POST", url, job)
        return "state" in shown

    async def check() -> bool:
        nonlocal shown
        url = f"{entry.operators}/v1/jobs/sefrou/tally"
        shown = await call(session, "GET", url)
        return bool(shown.get("state") == "finished")

    accepted = await wait_for(submit)
    print(f"job: accepted: {accepted}")
    finished = await wait_for(check)
    print(f"job: {shown}")
    return finished


async def run() -> bool:
    """Runs the demonstration; returns whether all outcomes are as expected."""
    fleet = build_fleet()
    try:
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.publish(session)
            outcomes = [
                await show_patch(session, fleet),
                await show_request(session, fleet),
                await show_claim(session, fleet),
                await show_job(session, fleet),
            ]
    finally:
        fleet.stop()
    print(f"demo: {'every outcome was right' if all(outcomes) else 'FAILED'}")
    return all(outcomes)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run()) else 1)
