"""Steps for claims.feature."""

import random

import behave

from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state
from standins import traffic

KILLED = ("executor-00", "executor-01", "executor-02")


def set_lost_answers(world, share=0.3):
    world.faults.lost_answers = share


def set_late_writes(world, share=0.3):
    world.faults.late_writes = share


def set_lost_and_late(world):
    set_lost_answers(world, 0.2)
    set_late_writes(world, 0.2)


def set_outage(world):
    world.schedule(1.0, lambda: setattr(world.faults, "store_down", True))
    world.schedule(6.0, lambda: setattr(world.faults, "store_down", False))


def kill_entries(world):
    world.schedule(1.5, lambda: world.kill("entry-0"))
    world.schedule(2.5, lambda: world.kill("entry-4"))


def pause_entry(world):
    world.schedule(1.0, lambda: world.pause("entry-1", 3.0))


def kill_executors(world):
    def kill(name):
        world.executors[name].alive = False

    for index, name in enumerate(KILLED):
        world.schedule(1.0 + index, lambda name=name: kill(name))


def isolate_executors(world):
    executors = list(world.executors)[:12]
    world.schedule(1.0, lambda: world.disconnect(list(world.nodes), executors))
    world.schedule(4.0, world.faults.disconnected.clear)


def set_everything(world):
    set_lost_and_late(world)
    for add in (set_outage, kill_entries, pause_entry, kill_executors):
        add(world)


FAULTS = {
    "no fault": lambda world: None,
    "30% of store answers lost": set_lost_answers,
    "30% of store writes late": set_late_writes,
    "both lost answers and late writes": set_lost_and_late,
    "a store outage of 5 s": set_outage,
    "two entry instances killed": kill_entries,
    "an entry instance paused for 3 s": pause_entry,
    "three executors killed": kill_executors,
    "executors unreachable for 3 s": isolate_executors,
    "everything at once": set_everything,
}


def list_live(world):
    return [name for name, node in world.nodes.items() if node.alive]


def set_buckets(context, count):
    for node in context.world.nodes.values():
        node.state.requests.claims.bucket_count = count


def count_writes(context):
    return context.world.counts["store StorePut"]


def assert_claimable(context, key, body=b"gate 3"):
    entry = list_live(context.world)[0]
    call = context.traffic.send(entry, "assign", key, body, deadline_s=5.0)
    context.world.run(6.0)
    assert call.code == "answered" and not call.outcome.recorded, call


@behave.given("claims: a deployment with seed {seed:d}")
def step(context, seed):
    context.traffic = traffic.deploy(seed)
    context.world = context.traffic.world


@behave.given("claims: a deployment with seed {seed:d} and 1 bucket")
def step(context, seed):
    context.execute_steps(f"Given claims: a deployment with seed {seed}")
    set_buckets(context, 1)


@behave.given("claims: a deployment with seed {seed:d} and 1 full bucket")
def step(context, seed):
    context.execute_steps(f"Given claims: a deployment with seed {seed}")
    set_buckets(context, 1)
    claims = {
        f"rota/assign/{'k' * 200}{index}": requests_state.Claim(
            "entry-9/r", context.world.now, "digest"
        )
        for index in range(2100)
    }
    document = requests_state.ClaimDocument(claims)
    context.world.store.put("claims/0", document, 0, None)


@behave.given("claims: store calls that take {delay_s:g} s")
def step(context, delay_s):
    context.world.faults.slow_store_s = delay_s


@behave.given("claims: faults are {fault}")
def step(context, fault):
    FAULTS[fault](context.world)


@behave.when(
    "claims: {keys:d} keys are each sent {times:d} times through any instance"
)
def step(context, keys, times):
    world, rng = context.world, random.Random(context.world.seed)

    def send(key):
        entry = rng.choice(list_live(world))
        context.traffic.send(entry, "assign", key, deadline_s=3.0)

    for index in range(keys):
        first_s = rng.uniform(0.0, 6.0)
        for _ in range(times):
            delay_s = first_s + rng.choice((0.0, 0.02, 0.5, 4.0))
            world.schedule(delay_s, lambda key=f"key-{index}": send(key))
    world.run(12.0)


@behave.when("claims: the fault ends and {duration_s:d} s pass")
def step(context, duration_s):
    faults = context.world.faults
    faults.lost_answers = faults.late_writes = 0.0
    context.world.run(duration_s)


@behave.then("claims: no key ran twice and at least {least:d} keys ran")
def step(context, least):
    runs = {}
    for call in context.traffic.calls.values():
        count = context.traffic.count_runs(call)
        runs[call.key] = runs.get(call.key, 0) + count
    assert max(runs.values()) == 1, runs
    context.ran = {key for key, count in runs.items() if count}
    assert len(context.ran) >= least, len(context.ran)


@behave.then("claims: no request that was told not_run ran")
def step(context):
    for call in context.traffic.calls.values():
        if isinstance(call.outcome, outcomes.NotRun):
            assert context.traffic.count_runs(call) == 0, call


@behave.then("claims: every request at a live instance got one outcome")
def step(context):
    live = list_live(context.world)
    for call in context.traffic.calls.values():
        assert call.answers == 1 or call.entry_id not in live, call


@behave.then("claims: every key that never ran can be claimed again")
def step(context):
    live = list_live(context.world)
    # A request without an outcome was at a killed instance; its key may stay
    # claimed.
    unanswered = {
        c.key for c in context.traffic.calls.values() if not c.answers
    }
    keys = {call.key for call in context.traffic.calls.values()}
    for key in sorted(keys - context.ran - unanswered):
        calls = [c for c in context.traffic.calls.values() if c.key == key]
        if all(isinstance(call.outcome, outcomes.NotRun) for call in calls):
            assert live
            assert_claimable(context, key)


@behave.when("claims: a key is sent with {first}")
def step(context, first):
    body = b"x" * 5000 if first == "a body of 5000 B" else b"gate 3"
    if first.startswith("a run"):
        for executor in context.world.executors.values():
            executor.work_s = 1.8 if first == "a run of 2 s" else 3.0
    context.body = b"gate 4" if first == "another body" else body
    context.first = context.traffic.send(
        "entry-0", "assign", "key", body, deadline_s=9.0
    )


@behave.when("claims: a duplicate is sent {through} after {wait_s:g} s")
def step(context, through, wait_s):
    context.world.run(wait_s)
    entry = "entry-0" if through == "through the same instance" else "entry-1"
    context.duplicate = context.traffic.send(
        entry, "assign", "key", context.body, deadline_s=9.0
    )


@behave.when("claims: {duration_s:d} s pass")
def step(context, duration_s):
    context.world.run(duration_s)


@behave.then("claims: the duplicate gets {code} and ran {count:d} times")
def step(context, code, count):
    assert context.duplicate.code == code, context.duplicate
    assert context.traffic.count_runs(context.duplicate) == count
    if code == "answered":
        assert context.duplicate.outcome.body == context.first.outcome.body


@behave.when("claims: all executors refuse and a key is sent")
def step(context):
    executors = context.world.executors.values()
    for executor in executors:
        executor.slots = 0
    context.first = context.traffic.send("entry-0", "assign", "key")
    context.world.run(2.0)
    for executor in executors:
        executor.slots = 8


@behave.then("claims: it ends as {code} and its key can be claimed again")
def step(context, code):
    assert context.first.code == code, context.first
    assert_claimable(context, "key")


@behave.when("claims: a new key is sent")
def step(context):
    context.writes = count_writes(context)
    context.first = context.traffic.send("entry-0", "assign", "key")
    context.world.run(2.0)


@behave.then("claims: it ends as {code} and the store was not written")
def step(context, code):
    assert context.first.code == code, context.first
    assert isinstance(context.first.outcome.proof, outcomes.ClaimNotMade)
    assert count_writes(context) == context.writes


@behave.when("claims: {count:d} keys are sent through one instance at once")
def step(context, count):
    context.writes = count_writes(context)
    for index in range(count):
        context.traffic.send("entry-0", "assign", f"key-{index}")
    context.world.run(3.0)


@behave.then(
    "claims: all are answered with at most {most:d} writes of the bucket"
)
def step(context, most):
    codes = {call.code for call in context.traffic.calls.values()}
    assert codes == {"answered"}, codes
    writes = count_writes(context) - context.writes
    assert writes <= most, writes


@behave.when("claims: a caller sends a key and leaves {delay_s:g} s later")
def step(context, delay_s):
    context.first = context.traffic.send("entry-0", "assign", "key")
    context.world.run(delay_s)
    gone = request_messages.CallerGone(context.first.request_id)
    context.world.deliver(context.world.nodes["entry-0"], gone)
    context.world.run(3.0)


@behave.then("claims: nothing ran and its key can be claimed again")
def step(context):
    assert context.traffic.count_runs(context.first) == 0
    assert context.first.answers == 0
    assert_claimable(context, "key")


@behave.when("claims: one claim has {deadline_s:d} s during {fault}")
def step(context, deadline_s, fault):
    world, faults = context.world, context.world.faults
    faults.lost_answers = 1.0 if "lost answer" in fault else 0.0
    faults.late_writes = 1.0 if "late write" in fault else 0.0
    if "outage" in fault:
        delay_s = 0.5 if "late write" in fault else 0.0
        world.schedule(delay_s, lambda: setattr(faults, "store_down", True))
        world.schedule(5.0, lambda: setattr(faults, "store_down", False))
    world.schedule(0.5, lambda: setattr(faults, "lost_answers", 0.0))
    world.schedule(0.5, lambda: setattr(faults, "late_writes", 0.0))
    world.run(0.001)
    context.first = context.traffic.send(
        "entry-0", "assign", "key", deadline_s=deadline_s
    )
    world.run(20.0)


@behave.then("claims: the claim ends as {code}, its key free unless it ran")
def step(context, code):
    assert context.first.code == code, context.first
    ran = context.traffic.count_runs(context.first)
    assert ran == (code == "answered"), ran
    if not ran:
        assert_claimable(context, "key")


@behave.given("claims: a store that serves {rate:d} writes in a second")
def step(context, rate):
    context.world.faults.writes_per_s = float(rate)


@behave.when("claims: {rate:d} keys in a second are sent for {duration_s:d} s")
def step(context, rate, duration_s):
    context.writes = count_writes(context)
    context.traffic.schedule_load("assign", rate, duration_s)
    context.world.run(duration_s + 3.0)


@behave.then(
    "claims: {least:d} are answered with at most {most:d} writes for each"
)
def step(context, least, most):
    answered = len(context.traffic.find("assign", "answered"))
    writes = count_writes(context) - context.writes
    assert answered >= least, answered
    assert writes <= most * answered, (writes, answered)


def set_store_down(context, start_s, end_s):
    faults = context.world.faults
    for at_s, down in ((start_s, True), (end_s, False)):
        context.world.schedule(
            at_s, lambda down=down: setattr(faults, "store_down", down)
        )


@behave.when(
    "claims: {rate:d} keys in a second are sent for {duration_s:d} s "
    "and the store fails for 5 ms in each"
)
def step(context, rate, duration_s):
    for number in range(duration_s):
        set_store_down(context, number + 0.5, number + 0.505)
    send_keys(context, rate, duration_s)


@behave.when(
    "claims: {rate:d} keys in a second are sent for {duration_s:d} s "
    "and the store fails from {start_s:d} to {end_s:d} s"
)
def step(context, rate, duration_s, start_s, end_s):
    set_store_down(context, start_s, end_s)
    send_keys(context, rate, duration_s)


def send_keys(context, rate, duration_s):
    context.traffic.schedule_load("assign", rate, duration_s)
    context.world.run(duration_s)
    context.load_ended_at = context.world.now
    context.world.run(2.0)


@behave.then(
    "claims: at least {share:d}% of the keys sent in the last {last_s:g} s "
    "are answered"
)
def step(context, share, last_s):
    since = context.load_ended_at - last_s
    calls = [c for c in context.traffic.calls.values() if c.sent_at >= since]
    answered = sum(call.code == "answered" for call in calls)
    assert answered >= share / 100 * len(calls), (answered, len(calls))
