"""Steps for health.feature."""

import behave

from standins import traffic

DURATION_S = 10.0
EXECUTORS = 6


@behave.given(
    "health: {entries:d} entry instances of one data centre, seed {seed:d}"
)
def step(context, entries, seed):
    context.traffic = traffic.deploy(seed, entries, EXECUTORS, ("sefrou",))
    context.world = context.traffic.world


@behave.given("health: {rate:d} requests in a second")
def step(context, rate):
    if rate:
        context.traffic.schedule_load("compute", rate, DURATION_S)


@behave.when("health: an executor starts to leave")
def step(context):
    world = context.world
    world.run(2.0)
    context.polls = world.counts["health polls"]
    context.leaving = world.executors["executor-03"]
    context.leaving.leaving = True
    context.left_at = world.now
    world.run(DURATION_S)


@behave.then(
    "health: after {limit_s:d} s it starts no request "
    "and every instance knows it"
)
def step(context, limit_s):
    starts = [at for runs in context.leaving.runs.values() for at in runs]
    assert all(at <= context.left_at + limit_s for at in starts), starts
    for node in context.world.nodes.values():
        listing = node.state.members.listings["executor-03"]
        assert node.state.members.is_leaving(listing)
    codes = {call.code for call in context.traffic.calls.values()}
    assert codes <= {"answered"}, codes


@behave.then("health: each executor was polled once a second")
def step(context):
    polls = context.world.counts["health polls"] - context.polls
    expected = (EXECUTORS - 1) * DURATION_S
    assert abs(polls - expected) <= EXECUTORS + 2, polls
