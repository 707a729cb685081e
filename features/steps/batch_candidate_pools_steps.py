"""Steps for batch_candidate_pools.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world

CPU_MILLIS = 8000
WAITING_NUMBER = 7
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


def make_busy_worker(name, estimate_s):
    worker = builders.make_worker(name, 8)
    step = attrs.evolve(builders.make_step(1), estimate_s=estimate_s)
    for _ in range(6):
        builders.add_run(worker, step)
    return worker


def add_waiting_job(context, count, **fields):
    """Adds a job for whose tasks a pass finds no worker."""
    context.waiting_step = model.Step(
        count, resources.Vector(5000, 100, 0), long_running=True, **fields
    )
    context.waiting_job = builders.add_job(
        context, WAITING_NUMBER, 2, 0.0, context.waiting_step
    )
    run_pass(context, builders.NOW)


def run_pass(context, now):
    context.now = now
    for worker in context.partition.workers.values():
        worker.last_answer_at = now
    timer = passes.PassDue(builders.OWN)
    return passes.run_pass(timer, context.batch, now)


@behave.given(
    "a worker with 8 processors and 6 runs estimated at {estimate_s:g} s"
)
def step(context, estimate_s):
    builders.make_partition(context, make_busy_worker("w-0", estimate_s))


@behave.given("two workers with 8 processors and 6 runs estimated at 1 s each")
def step(context):
    builders.make_partition(
        context, make_busy_worker("w-0", 1.0), make_busy_worker("w-1", 1.0)
    )


@behave.given("a long-running task of 5 processors that has waited for 1 s")
def step(context):
    add_waiting_job(context, 1)
    run_pass(context, builders.NOW + 1.0)


@behave.given(
    "a job with {count:d} long-running tasks of 5 processors that have waited"
    " for 1 s"
)
def step(context, count):
    add_waiting_job(context, count)
    run_pass(context, builders.NOW + 1.0)


@behave.given("nothing else is known of it")
def step(context):
    pass


def replace_waiting_job(context, **fields):
    del context.partition.jobs[context.waiting_job.record.job_id]
    add_waiting_job(context, 1, **fields)
    run_pass(context, builders.NOW + 1.0)


@behave.given("it requires a label that no worker has")
def step(context):
    replace_waiting_job(context, required_label="unknown")


@behave.given("it is opportunistic")
def step(context):
    replace_waiting_job(context, fills=True, image="image")


@behave.given("its job was cancelled")
def step(context):
    context.waiting_job.final_state = model.JobState.CANCELLED


@behave.given("a move of its job is in flight")
def step(context):
    context.waiting_job.move_in_flight = True


@behave.when("{kind} of one processor is submitted")
def step(context, kind):
    number = WAITING_NUMBER + (-1 if "before" in kind else 1)
    priority = 0 if "higher" in kind else 2
    long_running = kind == "a long-running task"
    task = builders.make_step(1, long_running=long_running)
    context.job = builders.add_job(context, number, priority, 0.0, task)


@behave.then("a pass starts {count:d} of its tasks")
def step(context, count):
    run_pass(context, context.now + 0.1)
    assert builders.count_started(context.job) == count


@behave.then("each worker is nominated for one of them")
def step(context):
    (waiting,) = context.waiting_job.steps
    nominated = [task.nomination for task in waiting.runnable.values()]
    found = sorted(n.worker_id for n in nominated if n is not None)
    assert found == ["", "w-0", "w-1"], found
