"""Steps for batch_pending.feature."""

import attrs
import behave

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_world

DATA_CENTRE = "north"
LASTING_JOB = f"{1:016x}"
JOBS = [f"{number:016x}" for number in range(16, 22)]
TASK_MEMORY_MB = 4_000
RACKS = ("r1-1", f"r1-{1 + model.RACKS_PER_PARTITION}")
# Time after which another instance owns the partitions of one that has ended.
TAKEOVER_S = 6.0
LEAVE_S = 14.0


def add_small_worker(world):
    """Adds a worker, in another partition, that no task fits."""
    worker = world.add_worker("w-small", DATA_CENTRE, 8000, RACKS[1])
    small = resources.Vector(8000, TASK_MEMORY_MB - 1, 0)
    worker.entry = attrs.evolve(worker.entry, capacity=small)
    world.listed_workers["w-small"] = worker.entry


@behave.given(
    "6 jobs whose tasks {kind} and wait for memory in their partition"
)
def step(context, kind):
    start_jobs(context, kind, lasting_memory_mb=62_000)
    assert len(context.world.list_runs()) == 1


@behave.given("6 jobs whose tasks {kind} and run in their partition")
def step(context, kind):
    start_jobs(context, kind, lasting_memory_mb=1_000)
    assert len(context.world.list_runs()) == 1 + len(JOBS)


def start_jobs(context, kind, lasting_memory_mb):
    world = context.world = batch_world.BatchWorld(1)
    world.run_duration_s = (300.0, 300.0)
    world.add_worker("w-0", DATA_CENTRE, 8000, RACKS[0])
    for number in range(3):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(4.0)
    amount = resources.Vector(100, lasting_memory_mb, 0)
    step = model.Step(1, amount, long_running=True)
    world.submit(world.nodes[0], LASTING_JOB, step)
    world.run(1.0)
    amount = resources.Vector(100, TASK_MEMORY_MB, 0)
    step = model.Step(1, amount, fills=kind == "yield")
    for job_id in JOBS:
        world.submit(world.nodes[0], job_id, step)
    world.run(2.0)
    add_small_worker(world)
    world.run(4.0)
    context.jobs_left_from = world.find_partition("w-0")


@behave.when("the owner of the partition {event}")
def step(context, event):
    world = context.world
    owner = world.find_owner(context.jobs_left_from)
    if event == "shuts down":
        world.deliver(owner, messages.ShutdownRequested())
    elif event == "is killed":
        world.kill(owner)
    world.run(TAKEOVER_S)


@behave.when("the worker of the partition leaves, so that the jobs move")
def step(context):
    world = context.world
    world.drain_worker("w-0")
    world.run(4.0)
    world.end_worker("w-0")
    # Only the other jobs are counted.
    node = next(node for node in world.nodes if node.alive)
    path = f"/jobs/{LASTING_JOB}"
    world.call(node, caller_messages.CancelCalled, path)
    world.run(LEAVE_S)
    partition = world.find_partition("w-small")
    owner = world.find_owner(partition)
    assert JOBS[0] in owner.batch.partitions[partition].jobs


@behave.when("the owner of the other partition is killed")
def step(context):
    world = context.world
    world.kill(world.find_owner(world.find_partition("w-small")))
    world.add_node("e-new", DATA_CENTRE)
    world.run(TAKEOVER_S)


@behave.then("every instance gives {count:d} jobs as pending")
def step(context, count):
    world = context.world
    kind = caller_messages.StateCalled
    calls = {
        node.name: world.call(node, kind, "/jobs/")
        for node in world.nodes
        if node.alive
    }
    world.run(1.0)
    shown = {name: world.answers[call] for name, call in calls.items()}
    expected = caller_messages.PendingShown(count)
    assert all(answer == expected for answer in shown.values()), shown
