"""Steps for retries.feature."""

import behave

from sapphirestall_core import retries
from standins import traffic

TIMEOUT_S = 2.0


@behave.given("retries: a deployment with seed {seed:d}")
def step(context, seed):
    context.traffic = traffic.deploy(seed, 1, 2, ("sefrou",))
    context.world = context.traffic.world


def list_executors(context):
    return list(context.world.executors.values())


@behave.given("retries: all executors refuse")
def step(context):
    for executor in list_executors(context):
        executor.slots = 0


@behave.given("retries: all connections break during requests")
def step(context):
    world = context.world
    world.schedule(
        0.02, lambda: world.disconnect(["entry-0"], list(world.executors))
    )
    world.schedule(0.04, world.faults.disconnected.clear)


@behave.given("retries: all executors are slow")
def step(context):
    for executor in list_executors(context):
        executor.work_s = TIMEOUT_S + 0.5
        executor.slots = 1000


@behave.when("retries: {count:d} requests are sent in {duration_s:d} s")
def step(context, count, duration_s):
    context.traffic.schedule_load(
        "compute", count / duration_s, duration_s, deadline_s=9.0
    )
    context.world.run(duration_s + 10.0)


@behave.then(
    "retries: there were at most {most:d} retries and {cap:d} attempts for each"
)
def step(context, most, cap):
    retried = sum(
        count
        for name, count in context.world.counts.items()
        if name.startswith("retry requests")
    )
    assert 0 < retried <= most, retried
    assert cap == retries.MAX_ATTEMPTS
    for call in context.traffic.calls.values():
        assert context.traffic.count_runs(call) <= cap
        assert call.answers == 1, call


@behave.when("retries: one of 2 executors fails while requests run at both")
def step(context):
    for _ in range(8):
        context.traffic.send("entry-0", "compute")
    context.world.run(0.005)
    context.failed_executor = list_executors(context)[0]
    assert context.failed_executor.running
    context.failed_executor.alive = False
    context.world.run(2.0)


@behave.then("retries: every request is answered and none went there twice")
def step(context):
    codes = {call.code for call in context.traffic.calls.values()}
    assert codes == {"answered"}, codes
    assert all(
        len(starts) == 1 for starts in context.failed_executor.runs.values()
    )
    assert context.world.counts["retry requests connection_lost"]
    assert not context.world.counts["retry requests connect_failed"]


@behave.then(
    "retries: late answers were dropped and each caller got one outcome"
)
def step(context):
    counts = context.world.counts
    assert counts["refusal requests late_answer"] > 0
    for call in context.traffic.calls.values():
        assert call.answers == 1, call
        assert call.code != "answered", call


@behave.when("retries: 1 request is sent")
def step(context):
    context.call = context.traffic.send("entry-0", "compute", deadline_s=9.0)
    context.world.run(10.0)


@behave.then("retries: it was sent again {count:d} times and ends as {code}")
def step(context, count, code):
    assert context.call.code == code, context.call
    assert context.world.counts[f"retry requests {code}"] == count
