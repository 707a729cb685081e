"""Steps for inventory.feature."""

import random

import behave

from sapphirestall_core import attempts
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state
from standins import world as world_module


@behave.when("the owner loses the connection to the worker with the most tasks")
def step(context):
    run = context.batch
    workers = run.world.workers
    worker_id = max(run.workers, key=lambda name: len(workers[name].tasks))
    context.lost_tasks = len(workers[worker_id].tasks)
    assert context.lost_tasks
    run.world.disconnect([run.find_owner()], [worker_id])


@behave.when('worker "{worker_id}" restarts')
def step(context, worker_id):
    context.batch.world.restart_worker(worker_id)


@behave.when(
    'half of the messages are lost after job "{job_id}" of {tasks:d} tasks is'
    " submitted"
)
def step(context, job_id, tasks):
    run = context.batch
    run.submit(job_id, tasks, 3)
    run.faults.loss = 0.5
    run.world.run(20)
    run.faults.loss = 0.0


@behave.when("messages are delayed by up to {delay_s:g} s for {duration_s:g} s")
def step(context, delay_s, duration_s):
    context.batch.faults.extra_delay_s = delay_s
    context.batch.world.run(duration_s)
    context.batch.faults.extra_delay_s = 0.0


@behave.when(
    "a report shows {reserved:d} of {total:d} thousandths reserved by a service"
)
def step(context, reserved, total):
    service = task_messages.ServiceReport(
        "rota", resources.Vector(reserved, 100), 1.0, 0.0
    )
    capacity = resources.Vector(total, 1000)
    report = task_messages.WorkerReport(1.0, 1, "i", capacity, (), (service,))
    context.worker = tasks_state.Worker("w", "w", "rack0")
    attempts.rebuild_ledger(context.worker, report)


@behave.then("{free:d} thousandths are free for tasks")
def step(context, free):
    assert context.worker.ledger.compute_free().cpu_millis == free


@behave.then(
    'batch job "{job_id}" has been started {count:d} times within {limit_s:g} s'
)
def step(context, job_id, count, limit_s):
    run = context.batch
    assert run.world.run_until(
        lambda: len(run.list_starts(job_id)) >= count, limit_s
    ), run.list_starts(job_id)
    assert len(run.list_starts(job_id)) == count


@behave.then(
    'the lost tasks of batch job "{job_id}" are started again within'
    " {limit_s:g} s"
)
def step(context, job_id, limit_s):
    run = context.batch
    count = len(run.list_starts(job_id)) + context.lost_tasks
    assert run.world.run_until(
        lambda: len(run.list_starts(job_id)) >= count, limit_s
    ), run.list_starts(job_id)
    assert len(run.list_starts(job_id)) == count


def draw_fault(run, rng):
    """Starts one random fault; each ends after at most 30 s."""
    world, faults = run.world, run.faults
    entry, worker = rng.choice(run.entries), rng.choice(run.workers)
    duration_s = rng.choice([2, 8, 15, 30])

    def restart():
        if not world.nodes[entry].alive:
            world.start_entry(entry)

    def disconnect(other):
        pair = frozenset((entry, other))
        faults.disconnected.add(pair)
        world.schedule(duration_s, lambda: faults.disconnected.discard(pair))

    def set_fault(name, value):
        setattr(faults, name, value)
        world.schedule(duration_s, lambda: setattr(faults, name, 0))

    def stop_entry(action):
        if world.nodes[entry].alive:
            action(entry)
        world.schedule(duration_s + 12, restart)

    rng.choice(
        [
            lambda: stop_entry(world.kill),
            lambda: stop_entry(run.shut_down),
            lambda: world.pause(entry, duration_s),
            lambda: disconnect(world_module.STORE),
            lambda: disconnect(worker),
            lambda: set_fault("store_down", True),
            lambda: set_fault("loss", 0.2),
            lambda: set_fault("duplication", 0.3),
            lambda: set_fault("extra_delay_s", 1.0),
            lambda: set_fault("lost_answers", 0.4),
            lambda: world.restart_worker(worker),
        ]
    )()


@behave.when(
    "random batch faults happen for {duration_s:g} s with seed {seed:d}"
)
def step(context, duration_s, seed):
    run, rng = context.batch, random.Random(seed)
    end = run.world.now + duration_s
    number = 0
    while run.world.now < end:
        live = run.list_live_instances()
        if live and rng.random() < 0.5:
            number += 1
            tasks = rng.randint(1, 20)
            job = run.make_job(f"j{number}", tasks, rng.choice([1, 5, 20]))
            run.world.send_operator_command(live[-1], job)
        owner = run.find_owner()
        if owner and run.world.nodes[owner].alive and number:
            run.evict(f"j{number}", 3)
        draw_fault(run, rng)
        run.world.run(rng.uniform(0.5, 6))


@behave.then("every batch job ends within {limit_s:g} s after the faults")
def step(context, limit_s):
    run = context.batch
    run.world.run(31)
    for entry in run.entries:
        if not run.world.nodes[entry].alive:
            run.world.start_entry(entry)

    def have_ended():
        records = [item.value for item in run.world.store.find("jobs/")]
        return records and all(r.state.value != "active" for r in records)

    assert run.world.run_until(have_ended, limit_s)
