"""Steps for batch_full_fleet.feature."""

import behave

from features import builders
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import suspensions
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


@behave.given("two workers and a step of which {done:d} of 5 tasks are done")
def step(context, done):
    context.workers = [builders.make_worker(f"w-{i}", 8) for i in range(2)]
    builders.make_partition(context, *context.workers)
    job = builders.add_job(context, 1, 2, 0.0, builders.make_step(5))
    (context.step_state,) = job.steps
    context.step_state.done.update(range(done))


@behave.when("{count:d} of its tasks fail on the first worker")
def step(context, count):
    fail_runs(context, context.workers[0], count)


@behave.when("{count:d} of its tasks fails on the second worker")
def step(context, count):
    fail_runs(context, context.workers[1], count)


def fail_runs(context, worker, count):
    for _ in range(count):
        suspensions.record_failure(
            context.partition, worker, context.step_state, builders.NOW
        )


@behave.then("that worker is suspended")
@behave.then("the first worker is suspended")
def step(context):
    assert not placement.is_usable(context.workers[0], builders.NOW)


@behave.then("the first worker is not suspended")
def step(context):
    assert placement.is_usable(context.workers[0], builders.NOW)
