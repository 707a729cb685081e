"""Steps for batch_candidate_pools.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world

CPU_MILLIS = 8000
LONG_RUNNING_JOB = "00000000000000aa"
SUBMISSION_INTERVAL_S = 0.1
SATURATION_S = 8.0


@behave.given("four workers with 8 processors, and two long-running tasks of 5")
def step(context):
    context.amount = resources.Vector(5000, 100, 0)


@behave.given(
    "tasks of one processor that ask for more than there are, by seed {seed:d}"
)
def step(context, seed):
    world = context.world = batch_world.BatchWorld(seed)
    context.faults = batch_faults.BatchFaults(world)
    context.check = batch_restarts.RestartCheck(world, context.faults)
    for number in range(4):
        world.add_worker(f"w-{number}", "north", CPU_MILLIS, "r1-1")
    for number in range(2):
        world.add_node(f"e-{number}", "north")
    world.run(4)
    long_running = model.Step(
        2, context.amount, long_running=True, max_per_worker=1
    )
    world.submit(world.nodes[0], LONG_RUNNING_JOB, long_running)
    context.check.run(2)
    submit_small_job(world, 0)
    context.check.run(SATURATION_S)


def submit_small_job(world, number):
    """Submits a job of small tasks, and the next one a little later."""
    amount = resources.Vector(1000, 100, 0)
    small = model.Step(world.rng.randint(1, 4), amount, estimate_s=1.0)
    node = world.nodes[number % len(world.nodes)]
    world.submit(node, f"f{number:015x}", small)
    world.schedule(
        SUBMISSION_INTERVAL_S, lambda: submit_small_job(world, number + 1)
    )


@behave.when("a worker with a long-running task crashes")
def step(context):
    worker_id = next(
        worker_id
        for worker_id, task, _ in context.world.list_runs()
        if task.job_id == LONG_RUNNING_JOB
    )
    context.faults.crash_worker(worker_id)


@behave.then("every long-running task runs again within {limit:g} s")
def step(context, limit):
    context.check.run(limit)
    last_run_at = context.check.last_run_at
    late = {
        task: context.world.now - at
        for task, at in last_run_at.items()
        if context.world.now - at > batch_restarts.CHECK_INTERVAL_S
    }
    assert len(last_run_at) == 2 and not late, late
