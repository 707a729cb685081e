"""Steps for ownership.feature, also used by other features of batch work."""

import behave

from features import batch
from sapphirestall_core import commits
from sapphirestall_core import operator_messages
from standins import world as world_module


@behave.given(
    "a simulation of {entries:d} entry instances and {workers:d} workers"
)
def step(context, entries, workers):
    context.batch = batch.Batch(entries, workers)


@behave.given(
    "a simulation of {entries:d} entry instances and {racks:d} racks of"
    " {workers:d} workers"
)
def step(context, entries, racks, workers):
    context.batch = batch.Batch(entries, workers, racks)


@behave.when(
    'batch job "{job_id}" of {tasks:d} tasks of {run_s:g} s is submitted'
)
def step(context, job_id, tasks, run_s):
    result = context.batch.submit(job_id, tasks, run_s)
    assert getattr(result, "state", "") == "waiting", result


@behave.when("{duration_s:g} s pass in the simulation")
def step(context, duration_s):
    context.batch.world.run(duration_s)


@behave.when("the batch owner is killed")
def step(context):
    context.former = context.batch.find_owner()
    context.batch.world.kill(context.former)


@behave.when("the batch owner shuts down")
def step(context):
    context.former = context.batch.find_owner()
    context.batch.shut_down(context.former)


@behave.when("the batch owner is paused for {duration_s:g} s")
def step(context, duration_s):
    context.former = context.batch.find_owner()
    context.batch.world.pause(context.former, duration_s)


@behave.when("the batch owner is isolated from {what}")
def step(context, what):
    owner = context.batch.find_owner()
    others = [e for e in context.batch.entries if e != owner]
    workers = context.batch.workers
    ids = {
        "store and peers": [world_module.STORE, *others],
        "everything": [world_module.STORE, *others, *workers],
        "the store and 3 workers": [world_module.STORE, *workers[:3]],
    }[what]
    context.batch.world.disconnect([owner], ids)


@behave.when("the batch store loses every answer for {duration_s:g} s")
def step(context, duration_s):
    faults = context.batch.faults
    faults.lost_answers = 1.0
    context.batch.world.schedule(
        duration_s, lambda: setattr(faults, "lost_answers", 0.0)
    )


@behave.when("the batch store is down for {duration_s:g} s")
def step(context, duration_s):
    context.batch.faults.store_down = True
    context.batch.world.run(duration_s)
    context.batch.faults.store_down = False


@behave.when("the batch store loses the lease of the owner")
def step(context):
    for lease in context.batch.world.store.leases.values():
        lease.ends_at = context.batch.world.now


@behave.when("the batch owner is killed after the last commit")
def step(context):
    run = context.batch

    def is_committed():
        stored = run.world.store.items["progress/sefrou/rack0"]
        return any(r.last == 5 for r in stored.value.finished.get("j1", ()))

    while not is_committed():
        run.world.run(0.0005)
    assert not run.has_ended("j1")
    run.world.kill(run.find_owner())


@behave.then('batch job "{job_id}" finishes within {limit_s:g} s')
def step(context, job_id, limit_s):
    run = context.batch
    done = run.world.run_until(lambda: run.has_ended(job_id), limit_s)
    assert done, run.get_record(job_id)


@behave.then(
    'batch job "{job_id}" can be submitted and finishes within {limit_s:g} s'
)
def step(context, job_id, limit_s):
    run = context.batch
    run.submit(job_id, 10, 2)
    assert run.world.run_until(lambda: run.has_ended(job_id), limit_s)


@behave.then(
    "no batch task ran in two places and no worker exceeded its capacity"
)
def step(context):
    assert not context.batch.violations, context.batch.violations


@behave.then("the batch owner is another instance")
def step(context):
    assert context.batch.find_owner() not in ("", context.former)


@behave.then("the former batch owner has exited")
def step(context):
    assert not context.batch.world.nodes[context.former].alive


@behave.then('at least {count:d} tasks of batch job "{job_id}" were started')
def step(context, count, job_id):
    assert len(context.batch.list_starts(job_id)) >= count


@behave.then('batch job "{job_id}" was started {count:d} times')
def step(context, job_id, count):
    assert len(context.batch.list_starts(job_id)) == count


@behave.then("no batch task starts within {duration_s:g} s")
def step(context, duration_s):
    before = len(context.batch.list_starts("j1"))
    context.batch.world.run(duration_s)
    assert len(context.batch.list_starts("j1")) == before > 0


@behave.then("a batch commit without job records keeps finished tasks")
def step(context):
    run = context.batch
    partition = run.get_partition()
    committed = partition.progress.finished["j1"]
    partition.reset()
    stored = run.world.store.items["progress/sefrou/rack0"]
    partition.epoch, partition.progress = 99, stored.value
    partition.dirty_jobs.add("j1")
    node = run.world.nodes[run.find_owner() or run.entries[0]]
    progress = commits.build_progress(partition, node.state, run.world.now)
    assert progress.finished["j1"] == committed


@behave.when("all workers and entry instances of the simulation are replaced")
def step(context):
    run = context.batch
    world = run.world
    for name in run.entries:
        world.kill(name)
        del world.listings[name]
    for name in run.workers:
        capacity = world.workers[name].capacity
        world.unresponsive_workers.add(name)
        del world.listings[name]
        world.add_worker(f"{name}-new", "sefrou", "rack0", capacity)
    run.entries = [f"{name}-new" for name in run.entries]
    for name in run.entries:
        world.add_entry(name, "sefrou")


def show_views(run, entry):
    """Returns the workers and partitions that an instance shows."""
    workers = run.call(operator_messages.ListWorkers(), entry).workers
    partitions = run.call(operator_messages.ListPartitions(), entry).partitions
    return workers, partitions


@behave.then(
    "the owner's views show {count:d} live workers with {tasks:d} tasks and"
    " its lease"
)
def step(context, count, tasks):
    run = context.batch
    workers, partitions = show_views(run, run.find_owner())
    assert [worker.state for worker in workers] == ["live"] * count, workers
    assert sum(worker.running_tasks for worker in workers) == tasks
    free = sum(worker.free_cpu_millis for worker in workers)
    assert free == 4000 * count - 1000 * tasks, workers
    assert [p.authority for p in partitions] == ["lease"], partitions


@behave.then("the other instance's views show the same owner and no workers")
def step(context):
    run = context.batch
    other = next(e for e in run.entries if e != run.find_owner())
    workers, partitions = show_views(run, other)
    assert not workers
    assert [p.owner for p in partitions] == [run.find_owner()], partitions
    assert [p.authority for p in partitions] == ["elsewhere"], partitions
