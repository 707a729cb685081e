"""Steps for admission.feature."""

import behave

from sapphirestall_core import outcomes
from standins import traffic

RUN_S = 0.02
# A slot is in use for the run and for two messages of 2.25 ms.
SLOT_S = RUN_S + 2 * 0.00225
DURATION_S = 2.0


@behave.given(
    "admission: {entries:d} entry instances and {executors:d} executors "
    "with seed {seed:d}"
)
def step(context, entries, executors, seed):
    context.traffic = traffic.deploy(seed, entries, executors, ("sefrou",))
    context.world = context.traffic.world
    context.capacity = executors * 8 / SLOT_S
    for executor in context.world.executors.values():
        executor.work_s = RUN_S


@behave.given(
    "admission: a run takes {run_s:g} s and 8 requests hold the slots"
)
def step(context, run_s):
    for executor in context.world.executors.values():
        executor.work_s = run_s
    for _ in range(8):
        context.traffic.send("entry-0", "compute", deadline_s=9.0)
    context.holding = list(context.traffic.calls.values())


@behave.given("admission: store calls that take {delay_s:g} s")
def step(context, delay_s):
    context.world.faults.slow_store_s = delay_s


@behave.when(
    "admission: {overloaded} arrives at {factor:d} times and {other} at "
    "{load:g} of capacity"
)
def step(context, overloaded, factor, other, load):
    context.traffic.schedule_load(
        overloaded, factor * context.capacity, DURATION_S
    )
    if load:
        context.traffic.schedule_load(
            other, load * context.capacity, DURATION_S
        )
    context.world.run(DURATION_S + 2.0)


@behave.then("admission: at least {share:d}% of {operation} are answered")
def step(context, share, operation):
    sent = context.traffic.find(operation)
    answered = context.traffic.find(operation, "answered")
    assert len(answered) >= share / 100 * len(sent) > 0, (
        len(answered),
        len(sent),
    )


@behave.then(
    "admission: at least {share:d}% of the capacity is answered in time"
)
def step(context, share):
    answered = context.traffic.find(code="answered")
    in_time = [c for c in answered if c.answered_at - c.sent_at <= 1.0]
    least = share / 100 * context.capacity * DURATION_S
    assert len(in_time) >= least, (len(in_time), least)


@behave.when(
    "admission: {count:d} requests with {deadline_s:g} s left arrive at once"
)
def step(context, count, deadline_s):
    context.deadline_s = deadline_s
    for _ in range(count):
        context.traffic.send("entry-0", "compute", deadline_s=deadline_s)
    context.world.run(12.0)


@behave.then("admission: every request not run has the proof NeverSent")
def step(context):
    for call in context.traffic.calls.values():
        if isinstance(call.outcome, outcomes.NotRun):
            assert call.outcome.proof == outcomes.NeverSent(), call
            assert context.traffic.count_runs(call) == 0


@behave.then("admission: the refusals are {codes}")
def step(context, codes):
    got = {call.code for call in context.traffic.calls.values()}
    assert got - {"answered"} == set(codes.split(",")), got


@behave.then("admission: no answer came after its deadline")
def step(context):
    for call in context.traffic.calls.values():
        if call in context.holding:
            continue
        taken_s = call.answered_at - call.sent_at
        assert taken_s <= context.deadline_s + 1e-6, call


@behave.then("admission: half of the answers take at most {limit_s:g} s")
def step(context, limit_s):
    answered = context.traffic.find(code="answered")
    times = sorted(call.answered_at - call.sent_at for call in answered)
    assert times[len(times) // 2] <= limit_s, times[len(times) // 2]


@behave.then(
    "admission: there are at most {most:g} store writes for each answer"
)
def step(context, most):
    answered = len(context.traffic.find(code="answered"))
    writes = context.world.counts["store StorePut"]
    assert 0 < writes <= most * answered, (writes, answered)
