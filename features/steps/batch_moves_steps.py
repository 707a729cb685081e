"""Steps for batch_moves.feature."""

import attrs
import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import move_writes
from sapphirestall_core.batch import summary_reads
from standins import batch_call_faults
from standins import batch_faults
from standins import batch_moves
from standins import batch_world

DATA_CENTRE = "north"
START_S = 6.0
JOB = "00000000000000ab"


def make_rack_name(partition):
    """Returns the first rack of a partition."""
    return f"r1-{partition * model.RACKS_PER_PARTITION + 1}"


def list_moves(world):
    """Returns the fields of the log line of each move."""
    return [
        log.fields
        for node in world.nodes
        for _, log in node.logs
        if log.part == "balance"
    ]


@behave.given("{count:d} partitions with one worker each")
def step(context, count):
    world = batch_world.BatchWorld(1)
    for number in range(count):
        rack = make_rack_name(number)
        world.add_worker(f"w-{number}", DATA_CENTRE, 32_000, rack)
    for number in range(6):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.world = world


@behave.when(
    "{jobs:d} jobs with one task for each of five workers are submitted"
)
def step(context, jobs):
    world = context.world
    amount = resources.Vector(1000, 100, 0)
    step = model.Step(5, amount, long_running=True, max_per_worker=1)
    for number in range(jobs):
        world.submit(world.nodes[0], f"{number:016x}", step)


@behave.when("a job with one task for each of {count:d} workers is submitted")
def step(context, count):
    amount = resources.Vector(1000, 100, 0)
    step = model.Step(count, amount, long_running=True, max_per_worker=1)
    context.world.submit(context.world.nodes[0], JOB, step)


@behave.when("the job is cancelled")
def step(context):
    world = context.world
    call = caller_messages.CancelCalled
    world.call(world.nodes[0], call, f"/jobs/{JOB}")


@behave.when("another worker joins a partition")
def step(context):
    context.world.add_worker("w-new", DATA_CENTRE, 32_000, make_rack_name(7))


@behave.then("{count:d} tasks run")
def step(context, count):
    runs = context.world.list_runs()
    assert len(runs) == count, len(runs)


@behave.then("no task is moved in the next {seconds:g} s")
def step(context, seconds):
    before = len(list_moves(context.world))
    context.world.run(seconds)
    moves = len(list_moves(context.world)) - before
    assert not moves, f"{moves} moves"


@behave.given(
    "{count:d} partitions with one worker with a label and one without each"
)
def step(context, count):
    context.world = world = batch_world.BatchWorld(1)
    for number in range(count):
        add_labelled_worker(world, f"w-a-{number}", "a", number)
        add_labelled_worker(world, f"w-b-{number}", "b", number)
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)


@behave.when(
    "{count:d} tasks that need a label more than all workers can run are "
    "submitted"
)
def step(context, count):
    world = context.world
    step = model.Step(
        1, resources.Vector(4000, 100, 0), long_running=True, required_label="b"
    )
    # Each worker can run two of them.
    for number in range(len(world.workers) + count):
        world.submit(world.nodes[0], f"{number:016x}", step)
        world.run(0.05)


@behave.then("at most {count:d} tasks are moved in the next {seconds:g} s")
def step(context, count, seconds):
    before = len(list_moves(context.world))
    context.world.run(seconds)
    moves = len(list_moves(context.world)) - before
    assert moves <= count, f"{moves} moves"


@behave.then("no task runs")
def step(context):
    assert not context.world.list_runs()


@behave.when("a worker with a task of each job crashes")
def step(context):
    world = context.world
    names = [name for name, _, _ in world.list_runs()]
    context.world.end_worker(max(sorted(set(names)), key=names.count))


@behave.when("{seconds:g} s pass in all partitions")
def step(context, seconds):
    context.world.run(seconds)


@behave.then("all tasks of the jobs run")
def step(context):
    world = context.world
    running = {task for _, task, _ in world.list_runs()}
    missing = [
        f"{job_id}.{number}.{index}"
        for job_id, steps in world.jobs.items()
        for number, step in enumerate(steps)
        for index in range(step.count)
        if model.TaskName(job_id, 0, number, index) not in running
    ]
    assert not missing, f"{missing} after {len(list_moves(world))} moves"


@behave.then("the workers of all partitions have recorded no violation")
def step(context):
    assert not context.world.violations, context.world.violations[:5]


FIRST_RUN_S = 4.0


def add_labelled_worker(world, name, label, partition, cpu_millis=8000):
    world.add_worker(name, DATA_CENTRE, cpu_millis, make_rack_name(partition))
    entry = world.listed_workers[name]
    labels = (label, entry.rack)
    world.listed_workers[name] = attrs.evolve(entry, labels=labels)


@behave.given(
    "two partitions, and only one that has workers for a job of two steps"
)
def step(context):
    world = batch_world.BatchWorld(1)
    world.run_duration_s = (FIRST_RUN_S, FIRST_RUN_S)
    add_labelled_worker(world, "w-a", "a", 0, 32_000)
    add_labelled_worker(world, "w-b", "b", 0)
    add_labelled_worker(world, "w-other", "b", 1)
    for number in range(2):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.world = world
    context.first_amount = resources.Vector(1000, 100, 0)


@behave.when("the first step needs more than the other partition has free")
def step(context):
    context.first_amount = resources.Vector(16_000, 100, 0)


@behave.when("the worker for the second step is lost while the first step runs")
def step(context):
    world = context.world
    first = model.Step(1, context.first_amount, required_label="a")
    second = model.Step(
        1, resources.Vector(1000, 100, 0), after=(0,), required_label="b"
    )
    world.submit(world.nodes[0], JOB, first, second)
    world.run(1.0)
    assert [name for name, _, _ in world.list_runs()] == ["w-a"]
    world.end_worker("w-b")


@behave.then("the job is completed")
def step(context):
    found = context.world.get_state(JOB)
    assert found is model.JobState.COMPLETED, found


@behave.given(
    "three data centres in full use and a long-running task that waits"
)
def step(context):
    world = context.world = batch_world.BatchWorld(1)
    world.store_division(2)
    step = model.Step(4, resources.Vector(4000, 100, 0), long_running=True)
    for centre in ("north", "south", "east"):
        for number in range(4):
            rack = f"r1-{number // 2 + 1}"
            world.add_worker(f"w-{centre}-{number}", centre, 8000, rack)
        for number in range(2):
            world.add_node(f"e-{centre}-{number}", centre)
    world.run(START_S)
    for number in range(6):
        world.submit(world.nodes[number // 2 * 2], f"{number:016x}", step)
        world.run(0.5)
    world.run(START_S)
    context.waiting = f"{6:016x}"
    world.submit(world.nodes[0], context.waiting, attrs.evolve(step, count=1))
    world.run(START_S)


@behave.when("a job in another data centre is cancelled after {phase:g} s")
def step(context, phase):
    world = context.world
    world.run(phase)
    job_id = f"{3:016x}"
    assert not is_running(world, context.waiting)
    assert is_running(world, job_id)
    call = caller_messages.CancelCalled
    world.call(world.nodes[2], call, f"/jobs/{job_id}")
    while is_running(world, job_id):
        world.run(0.05)


PURPOSES = {
    "move": move_writes.MoveWrite,
    "read of summaries": summary_reads.SummaryRead,
}


@behave.when("the next {call} of each instance gets no answer")
def step(context, call):
    fault = batch_call_faults.StoreFault.UNANSWERED
    for node in context.world.nodes:
        context.world.call_faults.fail_store_calls(
            node.name, PURPOSES[call], fault, 1
        )


@behave.then("the task runs {seconds:g} s after the end of the cancelled tasks")
def step(context, seconds):
    context.world.run(seconds)
    assert is_running(context.world, context.waiting)


def is_running(world, job_id):
    return any(task.job_id == job_id for _, task, _ in world.list_runs())


@behave.when("sequence {seed:d} of moves is played")
def step(context, seed):
    context.failure = batch_moves.play(seed)


@behave.then("all its tasks run again in time")
def step(context):
    assert not context.failure, context.failure


@behave.when("a job with a finite step before a long-running one is submitted")
def step(context):
    world = context.world
    world.run_duration_s = (4.0, 4.0)
    amount = resources.Vector(1000, 100, 0)
    world.submit(
        world.nodes[0],
        JOB,
        model.Step(4, amount),
        model.Step(2, amount, after=(0,), long_running=True),
    )


def add_worker(world, name, partition, memory_mb):
    """Adds a worker with an amount of memory."""
    worker = world.add_worker(
        name, DATA_CENTRE, 32_000, make_rack_name(partition)
    )
    capacity = resources.Vector(32_000, memory_mb, 0)
    worker.entry = attrs.evolve(worker.entry, capacity=capacity)
    world.listed_workers[name] = worker.entry


@behave.given(
    "a partition with a large and a small worker, and another with {others}"
)
def step(context, others):
    context.world = world = batch_world.BatchWorld(1)
    world.run_duration_s = (5.0, 5.0)
    add_worker(world, "w-0", 0, 64_000)
    add_worker(world, "w-1", 0, 32_000)
    for number in range(3):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.other_memory_mb = 64_000 if others == "a large worker" else 32_000


@behave.when(
    "an opportunistic job that only a large worker can hold is submitted"
)
def step(context):
    world = context.world
    amount = resources.Vector(2000, 60_000, 0)
    step = model.Step(1, amount, fills=True, image="i")
    world.submit(world.nodes[0], JOB, step)
    world.run(0.5)
    assert [name for name, _, _ in world.list_runs()] == ["w-0"]
    add_worker(world, "w-2", 7, context.other_memory_mb)


@behave.when("the first worker crashes {seconds:g} s later")
def step(context, seconds):
    context.world.run(seconds)
    batch_faults.BatchFaults(context.world).crash_worker("w-0")


@behave.then("every task of the job is done")
def step(context):
    state = context.world.get_state(JOB)
    assert state is model.JobState.COMPLETED, state


@behave.then("every task of the job waits")
def step(context):
    assert not context.world.list_runs()
    assert not list_moves(context.world)
