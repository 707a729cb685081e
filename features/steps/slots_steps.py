"""Steps for slots.feature."""

import behave

from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import requests
from sapphirestall_core import slots
from standins import traffic


def list_shares(world):
    return [
        sum(node.state.requests.slots.shares.values())
        for node in world.nodes.values()
        if node.alive
    ]


def count_retries(world, code):
    return world.counts[f"retry requests {code}"]


def check_slot_use(world):
    """Fails if a lender uses slots that it has lent."""
    for node in world.nodes.values():
        own = node.state.requests.slots
        for key, loan in own.lent.items():
            if world.now < loan.ends_at:
                used = own.executors[key[0]].in_use
                share = own.shares[key[0]]
                lent = sum(
                    other.count
                    for (executor_id, _), other in own.lent.items()
                    if executor_id == key[0] and world.now < other.ends_at
                )
                borrowed = any(k[0] == key[0] for k in own.borrowed)
                assert used + lent <= share or borrowed, (used, lent, share)


@behave.then(
    "slots: {entries:d} shares of {executors:d} executors sum to 8 for each"
)
def step(context, entries, executors):
    for executor in range(executors):
        shares = [
            slots.compute_share(executor, e, entries) for e in range(entries)
        ]
        assert sum(shares) == slots.SLOTS_PER_EXECUTOR, shares
        assert max(shares) - min(shares) <= 1, shares


@behave.given(
    "slots: {entries:d} entry instances of one data centre "
    "with {executors:d} executors"
)
def step(context, entries, executors):
    context.traffic = traffic.deploy(50, entries, executors, ("sefrou",))
    context.world = context.traffic.world
    for executor in context.world.executors.values():
        executor.work_s = 0.02


@behave.when(
    "slots: one instance gets {rate:d} requests a second for {duration_s:d} s"
)
def step(context, rate, duration_s):
    context.world.observers.append(check_slot_use)
    context.traffic.schedule_load("compute", rate, duration_s, ["entry-0"], 0.5)
    context.world.run(duration_s)


@behave.when("slots: then another one gets them for {duration_s:d} s")
def step(context, duration_s):
    context.traffic.schedule_load("compute", 1500, duration_s, ["entry-1"], 0.5)
    context.world.run(duration_s + 1.0)


@behave.then("slots: in the last {last_s:d} s it answers at least {share:d}%")
def step(context, last_s, share):
    context.world.run(1.0)
    since = context.world.now - 1.0 - last_s
    calls = [c for c in context.traffic.calls.values() if c.sent_at >= since]
    answered = sum(call.code == "answered" for call in calls)
    assert answered >= share / 100 * len(calls), (answered, len(calls))


@behave.then("slots: executors refused at most {most:d} requests")
def step(context, most):
    refused = count_retries(context.world, "executor_busy")
    assert refused <= most, refused


@behave.then("slots: no slot stays in use")
def step(context):
    for node in context.world.nodes.values():
        used = node.state.requests.slots.executors.values()
        assert all(executor.in_use == 0 for executor in used)


@behave.then(
    "slots: a loan of {term_s:g} s ends {kept_s:g} s after receipt "
    "and {lent_s:g} s after sending"
)
def step(context, term_s, kept_s, lent_s):
    deployed = traffic.deploy(51, 2, 2, ("sefrou",))
    lender, borrower = (n.state for n in deployed.world.nodes.values())
    now = deployed.world.now
    loan = peer_messages.SlotLoan("executor-00", 1, term_s)
    requests.receive_loan(loan, "entry-0", borrower, now)
    (held,) = borrower.requests.slots.borrowed.values()
    assert abs(held.ends_at - now - kept_s) < 1e-6, held
    lender.peers["entry-1"].slot_demand = {traffic.SERVICE: 2}
    lent = slots.lend(lender, now)
    assert lent, "nothing was lent"
    for held in lender.requests.slots.lent.values():
        assert abs(held.ends_at - now - lent_s) < 1e-6, held


@behave.when(
    "slots: an executor is unreachable for {duration_s:d} s "
    "under {rate:d} requests in a second"
)
def step(context, duration_s, rate):
    world = context.world
    world.disconnect(["entry-0"], ["executor-00"])
    context.traffic.schedule_load("compute", rate, duration_s)
    world.run(duration_s + 2.0)


@behave.then(
    "slots: all are answered with at most {most:d} attempts at that executor"
)
def step(context, most):
    codes = {call.code for call in context.traffic.calls.values()}
    assert codes == {"answered"}, codes
    attempts = count_retries(context.world, "connect_timeout")
    assert 0 < attempts <= most, attempts


@behave.when(
    "slots: it returns and gets {rate:d} requests in a second "
    "for {duration_s:d} s"
)
def step(context, rate, duration_s):
    world = context.world
    context.attempts_gone = count_retries(world, "connect_timeout")
    world.faults.disconnected.clear()
    context.returned_at = world.now
    context.traffic.schedule_load("compute", rate, duration_s)
    world.run(duration_s + 2.0)


@behave.then("slots: requests sent {delay_s:g} s after its return are answered")
def step(context, delay_s):
    since = context.returned_at + delay_s
    calls = [c for c in context.traffic.calls.values() if c.sent_at >= since]
    missed = [call for call in calls if call.code != "answered"]
    assert calls, "no requests were sent"
    assert not missed, missed


@behave.then(
    "slots: at most {most:d} attempts were made at that executor "
    "while it was gone"
)
def step(context, most):
    assert 0 < context.attempts_gone <= most, context.attempts_gone


@behave.when(
    "slots: a connection to the executor fails "
    "and an earlier request is answered"
)
def step(context):
    (node,) = context.world.nodes.values()
    (effect,) = (
        effect
        for effect in slots.record_connect_failure(
            "executor-00", node.state, context.world.now
        )
        if isinstance(effect, messages.StartTimer)
    )
    context.trial_due = effect.timer
    chosen = slots.choose_executor(
        traffic.SERVICE, set(), node.state, context.world.now
    )
    assert chosen is None, "the executor is not suspended"
    slots.record_success("executor-00", node.state)


@behave.then("slots: the executor may be chosen")
def step(context):
    (node,) = context.world.nodes.values()
    chosen = slots.choose_executor(
        traffic.SERVICE, set(), node.state, context.world.now
    )
    assert chosen is not None


@behave.then("slots: the timer of that suspension does not end a later one")
def step(context):
    (node,) = context.world.nodes.values()
    now = context.world.now + 0.1
    slots.record_connect_failure("executor-00", node.state, now)
    requests.resume_executor(context.trial_due, node.state, now)
    chosen = slots.choose_executor(traffic.SERVICE, set(), node.state, now)
    assert chosen is None


@behave.when("slots: one instance is killed and {duration_s:d} s pass")
def step(context, duration_s):
    context.world.kill("entry-1")
    context.world.run(duration_s)


@behave.then("slots: the shares of the others sum to {count:d}")
def step(context, count):
    assert sum(list_shares(context.world)) == count, list_shares(context.world)
