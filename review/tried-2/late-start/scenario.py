"""A worker is lost for good while starts of lasting tasks are on their way."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import world_2

JOB, FIRST = "00000000000000a3", "00000000000000b3"


async def scenario(world: world_2.World) -> str | None:
    """Loses a worker just before a job with lasting tasks is submitted."""
    world.configure()
    if not await world.build([{}] * 4):
        return None
    # A usual job before, so that the owner has a connection for commands.
    world.durations[FIRST] = 0.5
    step = {"count": 8, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 1000}
    if not await world.submit("a", FIRST, step):
        return None
    await asyncio.sleep(4)
    lost_at = world_2.now()
    if world.trouble:
        world.workers["z1-w1"].lose_power()
        for (_, name), link in world.links.items():
            if name == "z1-w1":
                link.silence()
    if not await world.submit("a", JOB, step | {"long_running": True}):
        return None
    # The last run that was lost with the worker is older than 6 s then.
    await asyncio.sleep(max(0, lost_at + 6 - world_2.now()))
    missing = {f"{JOB}.0.0.{index}" for index in range(8)}
    until = world_2.now() + 4
    while world_2.now() < until:
        missing -= {run["task"] for run in world.list_running(JOB)}
        await asyncio.sleep(0.02)
    await asyncio.sleep(6)
    if not missing:
        return ""
    return f"{sorted(missing)} had no run from 6 to 10 s after the loss"


world_2.run_script(__file__, scenario)
