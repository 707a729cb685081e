"""Steps for batch_restarts.feature."""

import behave

from standins import batch_restarts


@behave.given("a random deployment with long-running jobs, by seed {seed:d}")
def step(context, seed):
    context.restarts = batch_restarts.build_scenario(seed)
    context.world = context.restarts.world


@behave.given("a large deployment with long-running jobs, by seed {seed:d}")
def step(context, seed):
    context.restarts = batch_restarts.build_large_scenario(seed)
    context.world = context.restarts.world


@behave.when("a data centre is cut off after restarts of half of all instances")
def step(context):
    context.restarts.run_isolation()


@behave.when(
    "disturbances and planned work follow each other in {rounds:d} rounds"
)
def step(context, rounds):
    context.restarts.run(rounds)


@behave.when("single workers are cut off from the store in {rounds:d} rounds")
def step(context, rounds):
    context.restarts.run_store_cuts(rounds)


@behave.when("single workers are cut off, also by resets, in {rounds:d} rounds")
def step(context, rounds):
    context.restarts.run_store_cuts(rounds, by_reset=True)


@behave.then("every long-running task was restarted in time")
def step(context):
    scenario = context.restarts
    assert scenario.check.list_tasks()
    late = list(scenario.check.late.values())
    assert not late, (late, scenario.faults.events)
