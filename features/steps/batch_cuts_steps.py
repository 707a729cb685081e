"""Steps for batch_cuts.feature."""

import functools

import behave

from features import batch_owners
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from standins import batch_faults

# A successor's first call takes longer to reach a worker.
KEY_CHECK_S = 0.0005


@behave.given(
    "an owner in the same data centre of three workers with long-running tasks"
)
def step(context):
    batch_owners.make_world(context)
    batch_owners.start_instances(context.world, 2)
    batch_owners.submit_tasks(context)


@behave.given(
    "an owner beside two instances of three workers with long-running tasks"
)
def step(context):
    batch_owners.make_world(context)
    batch_owners.start_instances(context.world, 3)
    batch_owners.submit_tasks(context)


@behave.given(
    "an owner in the other data centre of three workers with long-running tasks"
)
def step(context):
    batch_owners.make_world(context)
    context.world.add_node("e-0", batch_owners.OTHER_DATA_CENTRE)
    context.world.run(batch_owners.REMOTE_START_S)
    batch_owners.submit_tasks(context)
    context.world.add_node("e-1", batch_owners.DATA_CENTRE)
    context.world.run(batch_owners.START_S)


@behave.given("an owner of three workers with tasks of {seconds:g} s")
def step(context, seconds):
    batch_owners.make_world(context)
    context.world.run_duration_s = (seconds, seconds)
    batch_owners.start_instances(context.world, 2)
    batch_owners.submit_tasks(context, long_running=False)


@behave.given("two data centres, and long-running tasks in one of them")
def step(context):
    batch_owners.make_world(context)
    batch_owners.add_workers(context.world, batch_owners.OTHER_DATA_CENTRE)
    for data_centre in (
        batch_owners.DATA_CENTRE,
        batch_owners.OTHER_DATA_CENTRE,
    ):
        context.world.add_node(f"e-{data_centre}", data_centre)
    context.world.run(batch_owners.START_S)
    batch_owners.submit_tasks(context)


@behave.given(
    "an owner with long-running tasks, and workers in another data centre"
)
def step(context):
    batch_owners.make_world(context)
    batch_owners.add_workers(context.world, batch_owners.OTHER_DATA_CENTRE)
    for number in range(2):
        context.world.add_node(f"e-{number}", batch_owners.DATA_CENTRE)
    context.world.add_node("e-other", batch_owners.OTHER_DATA_CENTRE)
    context.world.run(batch_owners.START_S)
    batch_owners.submit_tasks(context)


@behave.when("the worker drains")
def step(context):
    context.world.drain_worker(context.worker_id)
    # The owner stores that the worker drains.
    context.world.run(3.0)


@behave.when(
    "a worker loses the store so that its entry expires after {seconds:g} s"
)
def step(context, seconds):
    world = context.world
    context.entry = world.listed_workers[context.worker_id]
    world.schedule(
        seconds,
        functools.partial(world.listed_workers.pop, context.worker_id, None),
    )


@behave.when("the owner loses the store {seconds:g} s later")
def step(context, seconds):
    context.world.run(seconds)
    context.owner.store_unreachable = True


@behave.when(
    "the owner is paused {delay_s:g} s later for {seconds:g} s and {store}"
    " the store"
)
def step(context, delay_s, seconds, store):
    context.world.run(delay_s)
    context.owner.paused_until = context.world.now + seconds
    context.owner.store_unreachable = store == "loses"


@behave.when("only that owner reaches the worker")
def step(context):
    for node in batch_owners.list_others(context):
        node.unreachable_workers.add(context.worker_id)


@behave.when("only that owner reaches any worker")
def step(context):
    for node in batch_owners.list_others(context):
        node.unreachable_workers.update(context.world.workers)


@behave.when("the next owner is killed")
def step(context):
    owner = context.world.find_owner(batch_owners.DATA_CENTRE)
    assert owner is not None and owner is not context.owner
    context.world.kill(owner)


@behave.when("all other instances reach all workers but that one")
def step(context):
    for node in batch_owners.list_others(context):
        node.unreachable_workers = {context.worker_id}


@behave.when("all other instances reach only the worker")
def step(context):
    for node in batch_owners.list_others(context):
        node.unreachable_workers = set(context.world.workers) - {
            context.worker_id
        }


@behave.when("long polls are answered late")
def step(context):
    context.world.late_poll_fraction = 1.0


@behave.when("the runs on the worker are done when the next owner has its key")
def step(context):
    end_runs_at_takeover(context, model.EndKind.DONE)


@behave.when("the runs on the worker fail when the next owner has its key")
def step(context):
    end_runs_at_takeover(context, model.EndKind.FAILED)


def end_runs_at_takeover(context, kind):
    world = context.world
    key = records.make_owner_key(batch_owners.DATA_CENTRE)
    former = world.store.find(key)
    while world.store.find(key) in (former, None):
        world.run(KEY_CHECK_S)
    for run in world.workers[context.worker_id].running.values():
        run.done_at, run.end_kind = world.now, kind


@behave.when("the owner's store lease is revoked")
def step(context):
    batch_faults.BatchFaults(context.world).revoke_store_lease(context.owner)


@behave.when(
    "the owner's store lease is revoked {seconds:g} s after its last renewal"
)
def step(context, seconds):
    world, batch = context.world, context.owner.batch
    before = batch.lease_renewed_at
    while batch.lease_renewed_at == before:
        world.run(KEY_CHECK_S)
    # The next renewal must not succeed.
    context.owner.store_unreachable = True
    world.run(max(0.0, batch.lease_renewed_at + seconds - world.now))
    batch_faults.BatchFaults(world).revoke_store_lease(context.owner)


@behave.when("the worker is replaced once the next owner has acknowledged this")
def step(context):
    world = context.world
    worker = world.workers[context.worker_id]
    while worker.running or worker.ended:
        world.run(KEY_CHECK_S)
        worker.advance(world.now)
    world.call_faults.replaced_workers.add(context.worker_id)
    world.end_worker(context.worker_id)


@behave.when("only the other instance reaches the worker and reaches {others}")
def step(context, others):
    context.owner.unreachable_workers.add(context.worker_id)
    if others == "no other worker":
        (successor,) = batch_owners.list_others(context)
        successor.unreachable_workers = set(context.world.workers) - {
            context.worker_id
        }


@behave.when(
    "the owner and its workers lose the store, and no instance reaches them"
)
def step(context):
    world = context.world
    context.owner.store_unreachable = True
    names = batch_owners.list_own_workers(context)
    for node in world.nodes:
        node.unreachable_workers.update(names)
    for name in names:
        world.schedule(
            batch_faults.ENTRY_EXPIRY_S,
            functools.partial(world.listed_workers.pop, name),
        )


@behave.when("only that owner reaches its workers again")
def step(context):
    context.owner.unreachable_workers.clear()


@behave.when("all cuts end")
def step(context):
    world = context.world
    for node in world.nodes:
        node.store_unreachable = False
        node.unreachable_workers.clear()
    world.listed_workers[context.worker_id] = context.entry


@behave.when("the store is down for {seconds:g} s")
def step(context, seconds):
    batch_faults.BatchFaults(context.world).stop_store(seconds)
    context.world.run(seconds)


@behave.when("that data centre is cut off for {seconds:g} s")
def step(context, seconds):
    batch_faults.BatchFaults(context.world).isolate(
        batch_owners.DATA_CENTRE, seconds
    )


@behave.then("every task runs once")
def step(context):
    tasks = sorted(task.index for _, task, _ in context.world.list_runs())
    assert tasks == list(range(batch_owners.TASKS)), context.world.list_runs()


@behave.then("the tasks run nowhere yet")
def step(context):
    assert not context.world.list_runs()


@behave.then("the tasks run in the other data centre")
def step(context):
    runs = context.world.list_runs()
    own = set(batch_owners.list_own_workers(context))
    assert len(runs) == batch_owners.TASKS, runs
    assert all(name not in own for name, _, _ in runs), runs


@behave.then("every task still has its first run")
def step(context):
    runs = set(context.world.list_runs())
    assert runs == context.first_runs, runs ^ context.first_runs
