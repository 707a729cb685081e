"""Steps for batch_successions.feature."""

import math
import random

import attrs
import behave

from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import records
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from standins import batch_call_faults
from standins import batch_store
from standins import batch_successions

SEED = 2


@behave.given("a partition with long-running tasks")
def step(context):
    context.seed = SEED


@behave.given("every list of jobs takes {seconds:g} s")
def step(context, seconds):
    context.list_delay_s = (seconds, seconds)


@behave.given("a random sequence of ends of owners, by seed {seed:d}")
def step(context, seed):
    context.seed = seed
    context.sequence = batch_successions.draw(random.Random(seed))


@behave.when(
    "a worker crashes and owners end {delay:g} s later, every {interval:g} s:"
    " {ends}"
)
def step(context, delay, interval, ends):
    play_loss(context, batch_successions.Loss.CRASH, delay, interval, ends)


@behave.when(
    "only an owner without the store reaches a worker, and owners end"
    " {delay:g} s later, every {interval:g} s: {ends}"
)
def step(context, delay, interval, ends):
    play_loss(context, batch_successions.Loss.KEPT, delay, interval, ends)


def play_loss(context, loss, delay, interval, ends):
    """Plays the loss of a worker, and ends of owners some time later."""
    kinds = tuple(batch_successions.End(text) for text in ends.split(", "))
    context.sequence = batch_successions.Sequence(loss, -delay, kinds, interval)
    context.execute_steps("When the sequence is played")


@behave.when("the sequence is played")
def step(context):
    context.restarts = batch_successions.build(context.seed, context.sequence)
    context.world = context.restarts.world
    if "list_delay_s" in context:
        context.world.list_delay_s = context.list_delay_s
    context.restarts.play()


def strip_record(record):
    """Returns a record without the fields of the newest version."""
    match record:
        case records.RosterRecord():
            return attrs.evolve(record, withheld_ms={})
        case records.SummaryRecord():
            return attrs.evolve(record, workers={})
        case records.JobRecord():
            moved = {
                key: attrs.evolve(task, tried=())
                for key, task in record.moved.items()
            }
            return attrs.evolve(record, moved=moved)
    return record


@behave.given("stored records lack the fields of the newest version")
def step(context):
    store_put = batch_store.BatchStore.put

    def put(store, written):
        value = strip_record(written.value)
        store_put(store, attrs.evolve(written, value=value))

    context.add_cleanup(setattr, batch_store.BatchStore, "put", store_put)
    batch_store.BatchStore.put = put


@behave.then("every long-running task runs")
def step(context):
    running = {task for _, task, _ in context.world.list_runs()}
    missing = set(context.restarts.check.list_tasks()) - running
    assert not missing, missing


def start(context):
    """Starts the jobs and finds the owner of a worker with tasks."""
    sequence = batch_successions.Sequence(batch_successions.Loss.CRASH, 0.0, ())
    succession = batch_successions.build(context.seed, sequence)
    context.world, context.faults = succession.world, succession.faults
    succession.start()
    context.worker = succession.worker
    context.partition = context.world.find_partition(context.worker)
    context.owner = context.world.find_owner(context.partition)


@behave.when("a worker does not answer for {seconds:g} s")
def step(context, seconds):
    start(context)
    context.runs = context.world.list_runs()
    context.faults.cut_worker_from_nodes(context.worker, seconds)
    context.world.run(seconds - 0.1)


def get_partition(context):
    """Returns the partition as its owner knows it."""
    return context.owner.batch.partitions[context.partition]


def read_lease_end(context):
    return context.world.workers[context.worker].lease_end_ms


@behave.then("its owner grants no lease there")
def step(context):
    assert get_partition(context).withholds_leases(context.worker)
    context.lease_end_ms = read_lease_end(context)


@behave.when(
    "the worker answers again for {seconds:g} s while rosters are refused"
)
def step(context, seconds):
    context.world.call_faults.fail_store_calls(
        context.owner.name,
        rosters.RosterWrite,
        batch_call_faults.StoreFault.REFUSED,
        1000,
    )
    context.world.run(seconds)
    assert not get_partition(context).workers[context.worker].unresponsive


@behave.then("its owner has granted no lease there")
def step(context):
    assert read_lease_end(context) == context.lease_end_ms


@behave.when("rosters are written again")
def step(context):
    context.world.call_faults.store_calls.clear()
    context.world.run(1.0)


@behave.then("its owner has granted a lease there")
def step(context):
    assert read_lease_end(context) > context.lease_end_ms


@behave.then("no task of the worker has ended")
def step(context):
    assert set(context.world.list_runs()) == set(context.runs)


@behave.given(
    "an instance saw revision {first:d} at {first_at:g} s,"
    " {second:d} at {second_at:g} s and {third:d} at {third_at:g} s"
)
def step(context, first, first_at, second, second_at, third, third_at):
    context.times = revisions.RevisionTimes()
    context.times.record(first, first_at)
    context.times.record(second, second_at)
    context.times.record(third, third_at)


@behave.then(
    "it knows at {now:g} s that revision {revision:d} was reached at {time:g} s"
)
def step(context, now, revision, time):
    assert context.times.find_reached_at(revision, now) == time


@behave.when("a worker crashes and its owner shuts down {seconds:g} s later")
def step(context, seconds):
    start(context)
    context.faults.crash_worker(context.worker)
    context.world.run(seconds)
    context.generation = get_partition(context).generation
    context.faults.restart_node(context.owner)


@behave.when(
    "lists of jobs take {list_s:g} s and {lost} answer to its roster is lost"
)
def step(context, list_s, lost):
    world = context.world
    world.list_delay_s = (list_s, list_s)
    for node in world.nodes if lost == "one" else ():
        world.call_faults.fail_store_calls(
            node.name,
            rosters.RosterWrite,
            batch_call_faults.StoreFault.ANSWER_LOST,
            1,
        )
    # Takeover, two lists, an answer that is lost and the repeated reads.
    for _ in range(100):
        world.run(0.1)
        context.owner = world.find_owner(context.partition)
        if context.owner is None:
            continue
        if get_partition(context).phase is state.Phase.ACTIVE:
            return
    raise AssertionError("the partition has no active owner")


@behave.then("the next owner is of the next generation")
def step(context):
    generation = get_partition(context).generation
    assert generation == context.generation + 1, generation


@behave.then("it knows when the leases on the crashed worker end")
def step(context):
    end_at = former_runs.find_released_end(
        get_partition(context), context.worker
    )
    assert math.isfinite(end_at)


@behave.when("a worker crashes and its owner is killed {seconds:g} s later")
def step(context, seconds):
    start(context)
    context.faults.crash_worker(context.worker)
    context.world.run(seconds)
    context.faults.crash_node(context.owner)
    context.former = context.owner
    while context.owner in (None, context.former):
        context.world.run(0.01)
        context.owner = context.world.find_owner(context.partition)


@behave.then(
    "the next owner starts a task within {seconds:g} s of the end of the leases"
)
def step(context, seconds):
    end_at = math.inf
    while not (orders := list_orders(context)):
        if get_partition(context).unlisted_workers:
            end_at = former_runs.find_last_end(get_partition(context))
        context.world.run(0.005)
    assert end_at <= orders[0] <= end_at + seconds, (end_at, orders)


def list_orders(context):
    """Returns when the owner has started tasks in the partition."""
    return [
        at
        for at, line in context.owner.logs
        if line.text == "order"
        and line.fields["partition"] == context.partition
    ]
