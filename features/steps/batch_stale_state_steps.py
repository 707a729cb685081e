"""Steps for batch_stale_state.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_world

INSTANCES = ("e-1", "e-2", "e-3")
WITHDRAWN = model.Queue("old", "host", "/old/", "service", 1, 3, 2.0, 1.0)
LEFT = "w-1"
# Time for which no instance runs, in seconds. Owner keys expire meanwhile.
DOWNTIME_S = 4.0
SUBMISSION_INTERVAL_S = 0.1
AMOUNT = resources.Vector(500, 100, 0)


@behave.given("three instances, two workers and a job of a queue")
def step(context):
    world = context.world = batch_world.BatchWorld(1)
    queues = (batch_world.QUEUE, WITHDRAWN)
    world.configuration = model.Configuration(1, queues)
    for name in (LEFT, "w-2"):
        world.add_worker(name, "north")
    start_instances(world)
    world.run(4)
    lasting = model.Step(4, AMOUNT, long_running=True)
    call_id = world.submit(
        world.nodes[0], "00000000000000aa", lasting, prefix=WITHDRAWN.prefix
    )
    world.run(2)
    assert isinstance(world.answers[call_id], caller_messages.Accepted)


def start_instances(world):
    for name in INSTANCES:
        world.add_node(name, "north")


def kill_instances(world):
    for node in world.nodes:
        world.kill(node)


@behave.given("the queue was withdrawn by a newer configuration")
def step(context):
    world = context.world
    world.configuration = model.Configuration(2, (batch_world.QUEUE,))
    world.run(4)


@behave.when("all instances are killed and start again")
def step(context):
    kill_instances(context.world)
    context.world.run(DOWNTIME_S)
    start_instances(context.world)


@behave.when(
    "all instances are killed and start again, and a worker left the list"
)
def step(context):
    kill_instances(context.world)
    del context.world.listed_workers[LEFT]
    context.world.run(DOWNTIME_S)
    start_instances(context.world)
    context.restarted_at = context.world.now


def submit_jobs(world, seconds, prefix):
    """Submits a job at each interval; returns the ids of the calls."""
    call_ids = []
    for number in range(round(seconds / SUBMISSION_INTERVAL_S)):
        live = [node for node in world.nodes if node.alive]
        node = live[number % len(live)]
        job = f"{number:016x}"
        step = model.Step(2, AMOUNT)
        call_ids.append(world.submit(node, job, step, prefix=prefix))
        world.run(SUBMISSION_INTERVAL_S)
    return call_ids


@behave.then("for {seconds:g} s no instance accepts a job of that queue")
def step(context, seconds):
    world = context.world
    call_ids = submit_jobs(world, seconds, WITHDRAWN.prefix)
    world.run(2)
    kinds = {type(world.answers[call_id]) for call_id in call_ids}
    assert kinds <= {
        caller_messages.QueueUnknown,
        caller_messages.Refused,
    }, kinds
    assert caller_messages.QueueUnknown in kinds, kinds


@behave.when("new jobs arrive for {seconds:g} s")
def step(context, seconds):
    submit_jobs(context.world, seconds, batch_world.QUEUE.prefix)


@behave.then("no task was started on the worker that left")
def step(context):
    started_on = [
        line.fields["worker"]
        for node in context.world.nodes
        for at, line in node.logs
        if (line.part, line.text) == ("starts", "order")
        and at >= context.restarted_at
    ]
    assert started_on and LEFT not in started_on, set(started_on)


@behave.given("an owner whose process is killed")
def step(context):
    world = context.world = batch_world.BatchWorld(1)
    world.add_worker(LEFT, "north")
    context.former = world.add_node("e-1", "north")
    world.run(4)
    world.kill(context.former)


@behave.when("a process under its name starts before the owner key has expired")
def step(context):
    context.restarted = context.world.add_node("e-1", "north")


@behave.then("it acquires the partition under a higher fencing token only")
def step(context):
    former_token = context.former.batch.partitions["north"].token
    tokens = set()
    for _ in range(80):
        context.world.run(0.1)
        for partition in context.restarted.batch.partitions.values():
            tokens.add(partition.token)
    assert tokens, "the partition was not acquired"
    assert min(tokens) > former_token, (tokens, former_token)
