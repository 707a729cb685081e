"""A draining worker is cut off, from the store first, and runs on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world_2

JOB = "00000000000000a4"
# The second cut begins within the first one, which lasts for 5 s.
FIRST_CUT_S = 4.0
SECOND_CUT_S = 5.5


async def scenario(world: world_2.World) -> str | None:
    """Cuts a draining worker off, by a cut that closes connections."""
    world.configure()
    if not await world.build([{}] * 4):
        return None
    world.durations[JOB] = 30.0
    step = {"count": 2, "cpu": 4000, "mem_mb": 1000, "estimated_ms": 30000}
    if not await world.submit("a", JOB, step):
        return None
    if not await world.wait_until(lambda: world.list_running(JOB), 5):
        return None
    name = world.list_running(JOB)[0]["worker"]
    worker = world.workers[name]
    links = world.list_links(name)
    worker.state = "draining"
    worker.register()
    world.record.write(f"{name}: draining")
    if world.trouble:
        worker.reaches_store = False
        world.record.write(f"{name}: cut off from the store")
        await asyncio.sleep(FIRST_CUT_S)
        world.record.write(f"{name}: cut off from all machines, by resets")
        for link in links:
            link.reset()
        await asyncio.sleep(SECOND_CUT_S)
        for link in links:
            link.open()
        worker.reaches_store = True
        world.record.write(f"{name}: no longer cut off")
    await asyncio.sleep(15)
    return world_2.find_double_run(world)


world_2.run_script(__file__, scenario)
