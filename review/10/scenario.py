"""Jobs that wait are moved after a rolling restart and count as begun."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world_2

LASTING = "00000000000000f6"
JOBS = [f"00000000000000{number:02x}" for number in range(0x60, 0x6C)]
STEP = {"cpu": 100, "estimated_ms": 1000, "requirements": "b"}


async def fill(world: world_2.World) -> bool:
    """Uses the memory of both workers of kind b, and lets jobs wait for it."""
    lasting = {"count": 2, "mem_mb": 120000, "long_running": True}
    if not await world.submit("a", LASTING, STEP | lasting):
        return False
    if not await world.wait_until(lambda: len(world.list_running()) == 2, 10):
        return False
    waiting = {"count": 2, "mem_mb": 30000, "fills": True, "image": "f1"}
    for job in JOBS:
        if not await world.submit("a", job, STEP | waiting):
            return False
    return True


async def scale_in(world: world_2.World, name: str) -> None:
    """A worker drains and leaves."""
    worker = world.workers[name]
    worker.state = "draining"
    worker.register()
    await asyncio.sleep(4)
    worker.leave()
    for link in world.list_links(name):
        link.reset()


async def count_low_answers(world: world_2.World) -> int:
    """Counts the answers that give under half of the jobs as pending."""
    low = 0
    for _ in range(6):
        await asyncio.sleep(1)
        for name in "abcd":
            status, body = await world.call(name, "GET")
            if status == 200 and json.loads(body)["pending"] < len(JOBS) / 2:
                low += 1
    return low


async def scenario(world: world_2.World) -> str | None:
    """Restarts the owner, then the worker that the jobs wait for leaves."""
    world.configure()
    kinds = [{"kind": "b"}] + [{"kind": "a"}] * 3
    if not await world.build(kinds) or not await fill(world):
        return None
    await asyncio.sleep(6)
    if world.trouble:
        await world.terminate(world.find_owner("z1/r1-1"), 0.5)
        await asyncio.sleep(5)
    await scale_in(world, "z1-w0")
    await asyncio.sleep(12)
    low = await count_low_answers(world)
    if any(not run["task"].startswith(LASTING) for run in world.runs):
        return None
    if low >= 6:
        return f"{low} of 24 answers gave under half of {len(JOBS)} jobs"
    return ""


world_2.run_script(__file__, scenario)
