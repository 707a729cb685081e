"""Steps for batch_full_fleet.feature."""

import behave

from features import builders
from sapphirestall_core.batch import suspensions
from sapphirestall_core.batch import usability
from standins import batch_full_fleet


@behave.given(
    "a random fleet that long-running tasks nearly fill, by seed {seed:d}"
)
def step(context, seed):
    context.restarts = batch_full_fleet.build(seed)
    context.world = context.restarts.world


@behave.when("events follow each other in {rounds:d} rounds")
def step(context, rounds):
    context.restarts.run(rounds)


@behave.when("events of all kinds follow each other in {rounds:d} rounds")
def step(context, rounds):
    context.restarts.mixed = True
    context.restarts.run(rounds)


@behave.given(
    "two workers and two steps, the first with {done:d} of 5 tasks done"
)
def step(context, done):
    context.now = builders.NOW
    context.workers = [builders.make_worker(f"w-{i}", 8) for i in range(2)]
    builders.make_partition(context, *context.workers)
    steps = [
        builders.add_job(context, i, 2, 0.0, builders.make_step(5)).steps[0]
        for i in range(2)
    ]
    steps[0].done.update(range(done))
    context.steps = dict(zip(("first", "second"), steps, strict=True))


@behave.when(
    "tasks of the {name} step fail {count:d} times on the {worker} worker"
)
def step(context, name, count, worker):
    for _ in range(count):
        suspensions.record_failure(
            context.partition,
            context.workers[worker == "second"],
            context.steps[name],
            0.0,
            context.now,
        )


@behave.when("{seconds:g} s pass after the failures")
def step(context, seconds):
    context.now += seconds
    for worker in context.workers:
        worker.last_answer_at = context.now


@behave.then("the first worker is suspended")
def step(context):
    assert not usability.is_usable(context.workers[0], context.now)


@behave.then("the first worker is not suspended")
def step(context):
    assert usability.is_usable(context.workers[0], context.now)
