"""An owner of workers with long-running tasks, for the steps of features."""

from sapphirestall_core import resources
from sapphirestall_core.batch import model
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


def start_instances(world, count):
    """Starts instances beside the workers, one of which becomes their owner."""
    for number in range(count):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)


def submit_tasks(context, *, long_running=True):
    """Starts the tasks, and chooses the owner and the worker with most runs."""
    world = context.world
    context.owner = world.find_owner(DATA_CENTRE)
    assert context.owner is not None
    world.submit(context.owner, JOB, make_step(long_running=long_running))
    world.run(2.0)
    names = [name for name, _, _ in world.list_runs()]
    assert len(names) == TASKS, names
    assert all(
        world.workers[name].entry.data_centre == DATA_CENTRE for name in names
    )
    context.worker_id = max(sorted(set(names)), key=names.count)
    context.first_runs = set(world.list_runs())


def make_step(*, long_running=True):
    amount = resources.Vector(1000, 100, 0)
    return model.Step(TASKS, amount, long_running=long_running)


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
