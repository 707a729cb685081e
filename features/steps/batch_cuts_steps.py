"""Steps for batch_cuts.feature."""

import functools

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_faults
from standins import batch_world

DATA_CENTRE = "north"
OTHER_DATA_CENTRE = "south"
JOB = f"{1:016x}"
TASKS = 6
WORKERS = 3
CPU_MILLIS = 8000
START_S = 3.0
# An instance acquires partitions of other data centres later than its own.
REMOTE_START_S = 12.0


def make_world(context):
    context.world = batch_world.BatchWorld(1)
    add_workers(context.world, DATA_CENTRE)


def add_workers(world, data_centre):
    for number in range(WORKERS):
        world.add_worker(f"w-{data_centre}-{number}", data_centre, CPU_MILLIS)


def submit_tasks(context, *, long_running=True):
    """Starts the tasks, and chooses the owner and the worker with most runs."""
    world = context.world
    context.owner = world.find_owner(DATA_CENTRE)
    assert context.owner is not None
    amount = resources.Vector(1000, 100, 0)
    step = model.Step(TASKS, amount, long_running=long_running)
    world.submit(context.owner, JOB, step)
    world.run(2.0)
    names = [name for name, _, _ in world.list_runs()]
    assert len(names) == TASKS, names
    assert all(
        world.workers[name].entry.data_centre == DATA_CENTRE for name in names
    )
    context.worker_id = max(sorted(set(names)), key=names.count)
    context.first_runs = set(world.list_runs())


def list_others(context):
    return [node for node in context.world.nodes if node is not context.owner]


def list_own_workers(context):
    """Returns the workers of the owner's partition, by id."""
    workers = context.world.workers
    return [
        name
        for name, worker in workers.items()
        if worker.entry.data_centre == DATA_CENTRE
    ]


@behave.given(
    "an owner in the same data centre of three workers with long-running tasks"
)
def step(context):
    make_world(context)
    for number in range(2):
        context.world.add_node(f"e-{number}", DATA_CENTRE)
    context.world.run(START_S)
    submit_tasks(context)


@behave.given(
    "an owner beside two instances of three workers with long-running tasks"
)
def step(context):
    make_world(context)
    for number in range(3):
        context.world.add_node(f"e-{number}", DATA_CENTRE)
    context.world.run(START_S)
    submit_tasks(context)


@behave.given(
    "an owner in the other data centre of three workers with long-running tasks"
)
def step(context):
    make_world(context)
    context.world.add_node("e-0", OTHER_DATA_CENTRE)
    context.world.run(REMOTE_START_S)
    submit_tasks(context)
    context.world.add_node("e-1", DATA_CENTRE)
    context.world.run(START_S)


@behave.given("an owner of three workers with tasks of {seconds:g} s")
def step(context, seconds):
    make_world(context)
    context.world.run_duration_s = (seconds, seconds)
    for number in range(2):
        context.world.add_node(f"e-{number}", DATA_CENTRE)
    context.world.run(START_S)
    submit_tasks(context, long_running=False)


@behave.given("two data centres, and long-running tasks in one of them")
def step(context):
    make_world(context)
    add_workers(context.world, OTHER_DATA_CENTRE)
    for data_centre in (DATA_CENTRE, OTHER_DATA_CENTRE):
        context.world.add_node(f"e-{data_centre}", data_centre)
    context.world.run(START_S)
    submit_tasks(context)


@behave.given(
    "an owner with long-running tasks, and workers in another data centre"
)
def step(context):
    make_world(context)
    add_workers(context.world, OTHER_DATA_CENTRE)
    for number in range(2):
        context.world.add_node(f"e-{number}", DATA_CENTRE)
    context.world.add_node("e-other", OTHER_DATA_CENTRE)
    context.world.run(START_S)
    submit_tasks(context)


@behave.when("the worker drains")
def step(context):
    context.world.drain_worker(context.worker_id)
    # The owner stores that the worker drains.
    context.world.run(3.0)


@behave.when(
    "a worker loses the store so that its entry expires after {seconds:g} s"
)
def step(context, seconds):
    world = context.world
    context.entry = world.listed_workers[context.worker_id]
    world.schedule(
        seconds,
        functools.partial(world.listed_workers.pop, context.worker_id, None),
    )


@behave.when("the owner loses the store {seconds:g} s later")
def step(context, seconds):
    context.world.run(seconds)
    context.owner.store_unreachable = True


@behave.when(
    "the owner is paused {delay_s:g} s later for {seconds:g} s and {store}"
    " the store"
)
def step(context, delay_s, seconds, store):
    context.world.run(delay_s)
    context.owner.paused_until = context.world.now + seconds
    context.owner.store_unreachable = store == "loses"


@behave.when("only that owner reaches the worker")
def step(context):
    for node in list_others(context):
        node.unreachable_workers.add(context.worker_id)


@behave.when("only that owner reaches any worker")
def step(context):
    for node in list_others(context):
        node.unreachable_workers.update(context.world.workers)


@behave.when("the next owner is killed")
def step(context):
    owner = context.world.find_owner(DATA_CENTRE)
    assert owner is not None and owner is not context.owner
    context.world.kill(owner)


@behave.when("all other instances reach all workers but that one")
def step(context):
    for node in list_others(context):
        node.unreachable_workers = {context.worker_id}


@behave.when("only the other instance reaches the worker and reaches {others}")
def step(context, others):
    context.owner.unreachable_workers.add(context.worker_id)
    if others == "no other worker":
        (successor,) = list_others(context)
        successor.unreachable_workers = set(context.world.workers) - {
            context.worker_id
        }


@behave.when(
    "the owner and its workers lose the store, and no instance reaches them"
)
def step(context):
    world = context.world
    context.owner.store_unreachable = True
    names = list_own_workers(context)
    for node in world.nodes:
        node.unreachable_workers.update(names)
    for name in names:
        world.schedule(
            batch_faults.ENTRY_EXPIRY_S,
            functools.partial(world.listed_workers.pop, name),
        )


@behave.when("only that owner reaches its workers again")
def step(context):
    context.owner.unreachable_workers.clear()


@behave.when("all cuts end")
def step(context):
    world = context.world
    for node in world.nodes:
        node.store_unreachable = False
        node.unreachable_workers.clear()
    world.listed_workers[context.worker_id] = context.entry


@behave.when("the store is down for {seconds:g} s")
def step(context, seconds):
    batch_faults.BatchFaults(context.world).stop_store(seconds)
    context.world.run(seconds)


@behave.when("that data centre is cut off for {seconds:g} s")
def step(context, seconds):
    batch_faults.BatchFaults(context.world).isolate(DATA_CENTRE, seconds)


@behave.then("every task runs once")
def step(context):
    tasks = sorted(task.index for _, task, _ in context.world.list_runs())
    assert tasks == list(range(TASKS)), context.world.list_runs()


@behave.then("the tasks run nowhere yet")
def step(context):
    assert not context.world.list_runs()


@behave.then("the tasks run in the other data centre")
def step(context):
    runs = context.world.list_runs()
    own = set(list_own_workers(context))
    assert len(runs) == TASKS, runs
    assert all(name not in own for name, _, _ in runs), runs


@behave.then("every task still has its first run")
def step(context):
    runs = set(context.world.list_runs())
    assert runs == context.first_runs, runs ^ context.first_runs
