"""Steps for batch_tenure.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_lease
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import worker_messages
from sapphirestall_core.batch import workers

NOW = builders.NOW
UNCONFIRMED_AT = NOW + 2.6
STEP_S = 0.25
TOKEN = 50
ROSTER_REVISION = 40


def answer_call(worker, sent_at, now):
    contact.record_answer(worker, None, now, carried_out_at=sent_at)


@behave.given("an owner of two workers that have just answered")
def step(context):
    found = [builders.make_worker(name, 8) for name in ("w-1", "w-2")]
    builders.make_partition(context, *found)
    context.batch.lease_id = "lease"
    context.batch.lease_renewed_at = NOW
    context.partition.roster_revision = ROSTER_REVISION
    context.partition.roster_targets = frozenset(w.target for w in found)
    for worker in found:
        answer_call(worker, NOW, NOW)
    context.first, context.second = found


@behave.when("it loses the store and both workers answer")
def step(context):
    answer_call(context.first, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)
    answer_call(context.second, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)


@behave.when("it loses the store and one worker is silent")
def step(context):
    answer_call(context.first, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)


@behave.when("it loses the store and one worker has been given up")
def step(context):
    answer_call(context.first, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)
    del context.partition.workers["w-2"]


@behave.when("it loses the store and one worker has started again")
def step(context):
    answer_call(context.first, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)
    entry = attrs.evolve(context.second.entry, started_at_ms=2)
    restarted = contact.make_worker(entry)
    answer_call(restarted, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)
    context.partition.workers["w-2"] = restarted


@behave.when("it loses the store and a worker joins that no roster names")
def step(context):
    context.execute_steps("When it loses the store and both workers answer")
    joined = contact.make_worker(builders.make_worker("w-3", 8).entry)
    context.partition.workers["w-3"] = joined


@behave.when(
    "it loses the store and a silent worker joins whose roster got no answer"
)
def step(context):
    context.execute_steps(
        "When it loses the store and a worker joins that no roster names"
    )
    context.partition.workers_listed = True
    (write,) = rosters.write_roster(context.batch, context.partition, NOW)
    lost = store_messages.Unavailable(True, "no answer")
    event = store_messages.StoreReply(write.purpose, lost, NOW)
    instance.handle(event, context.batch, NOW + 0.9)


@behave.when("it loses the store and an answer from before is handled late")
def step(context):
    answer_call(context.first, UNCONFIRMED_AT - 0.4, UNCONFIRMED_AT)
    answer_call(context.second, NOW + 0.1, UNCONFIRMED_AT)


@behave.then("it acts on 2.6 s after its last confirmation")
def step(context):
    assert not tenure.may_have_successor(
        context.batch, context.partition, UNCONFIRMED_AT
    )
    lease_s = tenure.choose_lease(
        context.batch, context.partition, UNCONFIRMED_AT
    )
    assert lease_s == tenure.UNCONFIRMED_LEASE_S, lease_s


@behave.then("it acts no more 2.6 s after its last confirmation")
def step(context):
    assert tenure.may_have_successor(
        context.batch, context.partition, UNCONFIRMED_AT
    )
    lease_s = tenure.choose_lease(
        context.batch, context.partition, UNCONFIRMED_AT
    )
    assert lease_s is None, lease_s


@behave.when("it loses the store and both workers answer for {seconds:d} s")
def step(context, seconds):
    now, context.last_end_at = NOW, NOW
    while now < NOW + seconds:
        now += STEP_S
        for worker in (context.first, context.second):
            answer_call(worker, now - 0.1, now)
        lease_s = tenure.choose_lease(context.batch, context.partition, now)
        if lease_s is not None:
            longest_s = leases.find_longest_duration(lease_s)
            context.last_end_at = max(context.last_end_at, now + longest_s)


@behave.then(
    "its last lease ends before a successor without contact starts anything"
)
def step(context):
    lease_s = leases.choose_run_lease(context.batch.identity.limits)
    key_gone_at = NOW + tenure.LEASE_TTL_S
    wait_end_at = tenure.find_leases_end(
        lease_s, key_gone_at, key_gone_at, None
    )
    assert NOW + 10 < context.last_end_at <= wait_end_at, context.last_end_at


@behave.given("a task that runs on one of them")
def step(context):
    context.batch.workers_listed_at = NOW + 60.0
    context.job = builders.add_job(context, 1, 2, 0.1, builders.make_step(1))
    due = messages.TimerFired(passes.PassDue(builders.OWN))
    (start,) = list_effects(
        instance.handle(due, context.batch, NOW), worker_messages.StartRun
    )
    done = worker_messages.Done(1001)
    event = worker_messages.WorkerReplied(start, done, NOW)
    instance.handle(event, context.batch, NOW)
    context.silent = context.partition.workers[start.target.worker_id]
    context.silent.unresponsive = True
    context.other = next(
        worker
        for worker in context.partition.workers.values()
        if worker is not context.silent
    )


def list_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def run_checks(context, now):
    """Runs the periodic checks and the pass that they request."""
    context.other.last_answer_at = now
    due = messages.TimerFired(workers.PeriodicChecksDue())
    effects = instance.handle(due, context.batch, now)
    due = messages.TimerFired(passes.PassDue(builders.OWN))
    return effects + instance.handle(due, context.batch, now)


@behave.when("that worker is silent until its lease has expired")
def step(context):
    context.now = NOW
    while context.silent.runs:
        context.now += STEP_S
        context.batch.lease_renewed_at = context.now - 0.5
        context.effects = run_checks(context, context.now)
    assert context.now > NOW + leases.START_LEASE_S


@behave.then("the owner renews its store lease at once and starts nothing")
def step(context):
    assert list_effects(context.effects, store_messages.StoreRenewLease)
    context.now += 0.1
    effects = context.effects + run_checks(context, context.now)
    assert not list_effects(effects, worker_messages.StartRun), effects


@behave.when("that renewal is confirmed")
def step(context):
    granted = store_messages.LeaseGranted("lease", tenure.LEASE_TTL_S)
    event = store_messages.StoreReply(
        store_lease.LeaseRenewal(), granted, context.now
    )
    instance.handle(event, context.batch, context.now)


@behave.then("the owner starts the task on the other worker")
def step(context):
    effects = run_checks(context, context.now + 0.1)
    (start,) = list_effects(effects, worker_messages.StartRun)
    assert start.target == context.other.target, start


@behave.given(
    "an owner that knew of the vacancy 10 s before, at a revision {order} the"
    " roster"
)
def step(context, order):
    builders.make_partition(context)
    revision = ROSTER_REVISION + (1 if order == "after" else -1)
    name = builders.OWN
    context.batch.partitions.clear()
    ownership.start_ownership(
        context.batch, name, TOKEN, NOW, state.Vacancy(NOW - 10, revision)
    )
    roster = records.RosterRecord(3)
    found = store_messages.Found(
        records.make_roster_key(name), roster, 0, 1, ROSTER_REVISION
    )
    event = store_messages.StoreReply(
        rosters.RosterRead(name, TOKEN), found, NOW
    )
    instance.handle(event, context.batch, NOW)


@behave.then("it counts {seconds:d} s without an owner")
def step(context, seconds):
    partition = context.batch.partitions[builders.OWN]
    assert NOW - partition.vacancy.since == seconds, partition.vacancy


@behave.given(
    "an instance that acquires a partition which it knew to be vacant for"
    " {seconds:g} s"
)
def step(context, seconds):
    builders.make_partition(context)
    batch, name = context.batch, builders.OWN
    batch.partitions.clear()
    batch.lease_id = "lease"
    batch.vacancies[name] = state.Vacancy(NOW - seconds, TOKEN - 1)
    (context.key_write,) = list_effects(
        instance.handle(
            messages.TimerFired(acquisition.AcquisitionDue(name)), batch, NOW
        ),
        store_messages.StoreTransaction,
    )


@behave.when("{event} the write of its owner key is answered")
def step(context, event):
    batch, call = context.batch, context.key_write
    if event != "only":
        put = call.puts[0]
        found = store_messages.Found(put.key, put.value, 1, TOKEN, TOKEN)
        listed = store_messages.Listed((found,), TOKEN)
        read = store_messages.StoreReply(owner_reads.OwnersRead(), listed, NOW)
        instance.handle(read, batch, NOW)
    reply = store_messages.StoreReply(
        call.purpose, store_messages.Committed(TOKEN), NOW
    )
    instance.handle(reply, batch, NOW)
