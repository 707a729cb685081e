"""An owner is killed while runs that fill have a pace of 0."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import world_2

SERVING, FILLING = "00000000000000d1", "00000000000000d2"


async def scenario(world: world_2.World) -> str | None:
    """Lets a tail exceed its target for a while, and kills the owner then."""
    world.configure()
    if not await world.build([{}]):
        return None
    step = {"cpu": 4000, "mem_mb": 1000, "estimated_ms": 6000}
    lasting = {"count": 1, "long_running": True, "target_ms": 100}
    serving = step | lasting | {"image": "s1"}
    world.figures = {SERVING: 20.0, FILLING: 4000.0}
    if not await world.submit("a", SERVING, serving):
        return None
    if not await world.wait_until(lambda: world.list_running(SERVING), 5):
        return None
    name = world.list_running(SERVING)[0]["worker"]
    worker = world.workers[name]
    world.durations[FILLING] = 12.0
    filling = {"count": 2, "fills": True, "image": "f1"}
    filling["requirements"] = worker.rack
    if not await world.submit("a", FILLING, step | filling):
        return None
    if not await world.wait_until(
        lambda: len(world.list_running(FILLING)) == 2, 5
    ):
        return None
    await asyncio.sleep(1.5)
    world.figures[SERVING] = 250.0
    await asyncio.sleep(2.3)
    world.figures[SERVING] = 20.0
    if world.trouble:
        world.kill(world.find_owner(f"{worker.zone}/{worker.rack}"))
    await asyncio.sleep(60)
    left = world.list_running(FILLING)
    return f"{len(left)} runs still have the pace 0" if left else ""


world_2.run_script(__file__, scenario)
