"""Steps for batch_yielding.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_world

CPU_MILLIS = 8000
TASK = resources.Vector(2500, 100, 0)
FINITE = (1000, 1500, 2000)
FINITE_INTERVAL_S = 0.08
JOB = f"{7:016x}"


def submit_long_running(world, number, cpu_millis):
    amount = resources.Vector(cpu_millis, 100, 0)
    step = model.Step(1, amount, long_running=True)
    world.submit(world.nodes[0], f"{number:016x}", step)
    world.run(1)


def submit_finite(world, number):
    amount = resources.Vector(world.rng.choice(FINITE), 100, 0)
    step = model.Step(2, amount, estimate_s=1.0)
    world.submit(world.nodes[number % 3], f"f{number:015x}", step)
    world.schedule(FINITE_INTERVAL_S, lambda: submit_finite(world, number + 1))


def find_worker(world):
    for name, task, _ in world.list_runs():
        if task.job_id == JOB:
            return name
    return None


@behave.given(
    "a full partition, and one in which finite tasks use {rest:d} of 16"
    " processors, by seed {seed:d}"
)
def step(context, rest, seed):
    world = context.world = batch_world.BatchWorld(seed)
    context.faults = batch_faults.BatchFaults(world)
    world.store_division(1)
    for number in range(3):
        world.add_node(f"e-{number}", "north")
    # The first partition: two workers without room for the task of the third.
    for number in range(3):
        world.add_worker(f"a-{number}", "north", CPU_MILLIS, "r1-1")
    world.run(4)
    for number in range(2):
        submit_long_running(world, number, CPU_MILLIS - 500)
    submit_long_running(world, 7, TASK.cpu_millis)
    submit_long_running(world, 2, CPU_MILLIS - TASK.cpu_millis - 500)
    # The second partition.
    for number in range(2):
        world.add_worker(f"b-{number}", "north", CPU_MILLIS, "r1-2")
    world.run(3)
    submit_long_running(world, 3, CPU_MILLIS - 500)
    submit_long_running(world, 4, CPU_MILLIS + 500 - 1000 * rest)
    submit_finite(world, 1)
    world.run(6)
    assert find_worker(world).startswith("a-")


@behave.when(
    "the worker of a long-running task of 2.5 processors in the first is lost"
)
def step(context):
    context.faults.crash_worker(find_worker(context.world))


@behave.then("the task has run again {seconds:g} s after the loss")
def step(context, seconds):
    context.world.run(seconds)
    name = find_worker(context.world)
    assert name is not None, "it has no run"
    assert name.startswith("b-"), name
