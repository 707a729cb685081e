"""Steps for batch_pacing.feature."""

import random

import behave

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import model
from standins import batch_contention

SERVING = model.Queue("serving", "host", "/serving/", "service", 0, 4, 2.2, 2.5)
FILLING = model.Queue("filling", "host", "/filling/", "service", 2, 2, 2.0, 1.0)
SERVING_JOB = "00000000000000aa"
FILLING_JOB = "00000000000000bb"
SETTLE_S = 6.0
TAIL_TARGET_MS = 18
# Work of an opportunistic run; longer than the simulation lasts.
FILLING_WORK_S = 200.0
OBSERVATION_S = 30.0
SAMPLE_S = 0.05


@behave.given(
    "a serving task with load {load:g}, swing {swing:g}, seed {seed:d}"
)
def step(context, load, swing, seed):
    contention = batch_contention.Contention(
        load=load, load_swing=swing, rng=random.Random(seed)
    )
    context.world = batch_contention.ContentionWorld(
        seed, contention=contention
    )
    context.world.configuration = model.Configuration(1, (SERVING, FILLING))
    context.worker = context.world.add_worker("w-1", "north")
    context.node = context.world.add_node("e-1", "north")
    context.world.run(SETTLE_S)
    serving = model.Step(
        4,
        resources.Vector(6400, 100, 0),
        long_running=True,
        image="served",
        tail_target_ms=TAIL_TARGET_MS,
    )
    context.world.submit(
        context.node, SERVING_JOB, serving, prefix=SERVING.prefix
    )
    context.world.run(3)


@behave.given(
    'six runs of image "loud", which did not disturb it for {seconds:g} s'
)
def step(context, seconds):
    context.world.durations[FILLING_JOB] = (FILLING_WORK_S,)
    filling = model.Step(
        6,
        resources.Vector(3500, 100, 0),
        image="loud",
        fills=True,
        checkpointing=True,
        estimate_s=FILLING_WORK_S,
    )
    context.world.submit(
        context.node, FILLING_JOB, filling, prefix=FILLING.prefix
    )
    context.world.run(seconds)


@behave.when('the interference of image "loud" rises to {interference:g}')
def step(context, interference):
    pair = ("served", "loud")
    context.world.contention.interference[pair] = interference


@behave.when(
    "the worker refuses all calls for {seconds:g} s, as it is unhealthy"
)
def step(context, seconds):
    context.worker.unhealthy_until = context.world.now + seconds
    context.world.run(seconds)


@behave.when("the load of the serving task rises to {load:g} for {seconds:g} s")
def step(context, load, seconds):
    context.world.contention.load = load
    context.world.run(seconds)


@behave.then('all runs of image "loud" have a pace of {percent:d}')
def step(context, percent):
    found = {
        run.percent for run in context.worker.running.values() if run.step.fills
    }
    assert found == {percent}, found


@behave.then('all runs of image "loud" work at less than full pace')
def step(context):
    found = {
        run.percent for run in context.worker.running.values() if run.step.fills
    }
    assert max(found) < 100, found


@behave.when("the owner {event} and the load falls to {load:g}")
def step(context, event, load):
    if event == "is killed":
        context.world.kill(context.node)
    else:
        context.world.deliver(context.node, messages.ShutdownRequested())
    context.world.contention.load = load


@behave.when("a new owner has had the worker for {seconds:g} s")
def step(context, seconds):
    world = context.world
    world.add_node("e-2", "north")
    while world.find_owner("north") in (None, context.node):
        world.run(SAMPLE_S)
    world.run(seconds)


@behave.when("an older command sets their paces to {percent:d} percent")
def step(context, percent):
    for key in context.worker.running:
        context.worker.set_pace(key, percent)


@behave.then(
    "the serving task is never over its target for {limit:g} s beside "
    "working runs"
)
def step(context, limit):
    world = context.world
    harmed_since = world.now
    longest_s = 0.0
    for _ in range(round(OBSERVATION_S / SAMPLE_S)):
        world.run(SAMPLE_S)
        context.worker.advance(world.now)
        if is_harmed(context.worker, world.now):
            longest_s = max(longest_s, world.now - harmed_since)
        else:
            harmed_since = world.now
    assert longest_s < limit, longest_s


def is_harmed(worker, now):
    """Returns whether working runs keep a serving task over its target.

    The task misses its target, and would meet it without these runs.
    """
    contention = worker.contention
    unused_share = 1 - contention.find_load("served", now)
    undisturbed_ms = contention.base_tail_ms / unused_share
    works = any(
        run.percent > 0 for run in worker.running.values() if run.step.fills
    )
    tail_ms = worker.find_tail("served", now)
    return works and undisturbed_ms <= TAIL_TARGET_MS < tail_ms
