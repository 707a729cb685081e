"""Steps for batch_world.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import worker_messages
from standins import batch_world

DATA_CENTRE = "north"
JOB = f"{1:016x}"
TASK = model.TaskName(JOB, 0, 0, 0)
LEASE_MS = 5000
TOKEN = 1
REPEATED_KINDS = ("repeated", "done before")


def start_task(context, worker, number):
    world = context.world
    entry = worker.entry
    target = worker_messages.Target(
        entry.worker_id, entry.started_at_ms, entry.address
    )
    lease_end_ms = worker.read_clock(world.now) + LEASE_MS
    call = worker_messages.StartRun(
        target, DATA_CENTRE, TOKEN, TASK, number, "x", lease_end_ms, ""
    )
    reply = world.start_run(worker, call)
    assert isinstance(reply, worker_messages.Done), reply


def acknowledge(context, worker):
    """Acknowledges all ends of a worker as a poll does."""
    worker.advance(context.world.now)
    context.world.record_done(worker)
    context.world.record_acknowledged(worker, worker.last_position)


@behave.given(
    "two simulated workers and a task that is done after {seconds:g} s on one"
    " of them"
)
def step(context, seconds):
    world = context.world = batch_world.BatchWorld(1)
    world.run_duration_s = (seconds, seconds)
    world.jobs[JOB] = (model.Step(1, resources.Vector(1000, 100, 0)),)
    context.workers = [
        world.add_worker(name, DATA_CENTRE) for name in ("w-0", "w-1")
    ]
    start_task(context, context.workers[0], 1)


@behave.when("{seconds:g} s pass, in which the lease expires")
def step(context, seconds):
    assert seconds > LEASE_MS / 1000 / context.workers[0].speed
    context.world.run(seconds)


@behave.when("a poll lists the end")
def step(context):
    worker = context.workers[0]
    worker.advance(context.world.now)
    context.world.record_done(worker)
    assert worker.ended


@behave.when("the task starts on the other worker as run {number:d}")
def step(context, number):
    start_task(context, context.workers[1], number)


@behave.when("the first end is acknowledged")
def step(context):
    acknowledge(context, context.workers[0])


@behave.when("the second end is acknowledged")
def step(context):
    acknowledge(context, context.workers[1])


@behave.then("the simulation has found {count:d} {noun} repeated")
def step(context, count, noun):
    kinds = [text.partition(":")[0] for text in context.world.violations]
    assert all(kind in REPEATED_KINDS for kind in kinds), kinds
    assert len(kinds) == count, context.world.violations
