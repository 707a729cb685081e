"""The store turns an owner away and takes its key; a link is cut as well."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world_2

JOB = "00000000000000a5"
CUT_S = 5.0


async def scenario(world: world_2.World) -> str | None:
    """Revokes the key of an owner that alone reaches a worker."""
    world.configure()
    if not await world.build([{}] * 4):
        return None
    step = {
        "count": 4,
        "cpu": 4000,
        "mem_mb": 1000,
        "estimated_ms": 1000,
        "long_running": True,
    }
    if not await world.submit("a", JOB, step):
        return None
    if not await world.wait_until(lambda: len(world.list_running(JOB)) == 4, 5):
        return None
    await asyncio.sleep(3)
    owner = world.find_owner("z1/r1-1")
    other = "b" if owner == "a" else "a"
    if world.trouble:
        world.record.write(f"z1-w1: cut off from {other}")
        world.links[other, "z1-w1"].silence()
        world.record.write(f"store: turns {owner} away and takes its keys")
        world.store.turned_away[owner] = "silent"
        world.store.revoke(owner)
        await asyncio.sleep(CUT_S)
        world.store.turned_away.clear()
        world.links[other, "z1-w1"].open()
        world.record.write("no longer cut off, nor turned away")
    await asyncio.sleep(10)
    return world_2.find_double_run(world)


world_2.run_script(__file__, scenario)
