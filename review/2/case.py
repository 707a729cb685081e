"""A leaving executor still runs a task that a new owner starts elsewhere."""

import asyncio
import signal

import deployment

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 3, "cpu": 3000, "mem_mb": 500}]
TASK_S = 60.0
# Two cuts between the executor and the store, each of the usual length.
CUT_S = 5.0
CUT_AFTER_S = 1.4
SIGTERM_AFTER_S = 8.8
RESTART_AFTER_S = 0.5
# The executor exits this long after it has announced it.
LEAVES_AFTER_S = 16.0


def build(parties: deployment.Deployment) -> None:
    """Adds three entry processes and eight executors in two racks."""
    for number in range(1, 4):
        parties.add_instance(f"edge-{number}", "sefrou")
    for number in range(8):
        rack = "r1" if number < 4 else "r3"
        parties.add_worker(f"w{number}", "sefrou", ["a", rack])


async def cut(parties: deployment.Deployment, name: str) -> None:
    """Cuts an executor from the store, twice in a row."""
    worker = parties.workers[name]
    for number in (1, 2):
        worker.cut_from_store = True
        parties.note("cut_begins", worker=name, cut=number)
        await asyncio.sleep(CUT_S)
        parties.note("cut_ends", worker=name, cut=number)
    worker.cut_from_store = False


async def play(parties: deployment.Deployment) -> list[str]:
    """Drains an executor, cuts it from the store and restarts its owner."""
    parties.durations[f"{JOB}.0"] = TASK_S
    await parties.submit(JOB, STEPS, "edge-1")
    await asyncio.sleep(2)
    started = parties.find("start")
    if len(started) != len(STEPS) * 3:
        raise deployment.UnableError("the tasks haven't started")
    leaving = parties.workers[started[0]["worker"]]
    owner = parties.find_owner(f"sefrou/{leaving.labels[1]}")
    drains_at = parties.now()
    leaving.drain()
    await asyncio.sleep(CUT_AFTER_S)
    cuts = None
    if deployment.TROUBLE:
        cuts = asyncio.create_task(cut(parties, leaving.name))
    await asyncio.sleep(drains_at + SIGTERM_AFTER_S - parties.now())
    parties.note("sigterm", to=owner.name)
    await owner.stop(signal.SIGTERM)
    parties.note("exited", process=owner.name)
    await asyncio.sleep(RESTART_AFTER_S)
    await owner.start(parties.store_ports[owner.zone])
    parties.note("started", process=owner.name)
    await asyncio.sleep(max(0, drains_at + LEAVES_AFTER_S - parties.now()))
    if cuts is not None:
        await cuts
    leaving.leave()
    await asyncio.sleep(5)
    return deployment.find_overlaps(parties)


deployment.main(build, play)
