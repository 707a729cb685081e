"""Steps for policy_hooks.feature."""

import behave

from sapphirestall_core import operator_messages
from standins import virtual
from standins import worker_model

DATA_CENTRE = "sefrou"


def submit(context, job_id, kind, tasks, cores, urgency, run_s):
    command = operator_messages.SubmitJob(
        job_id=job_id,
        data_centre=DATA_CENTRE,
        team="press",
        kind=kind,
        task_count=tasks,
        cpu_millis=cores * 1000,
        memory_mb=10,
        run_s=run_s,
        urgency=urgency,
        checkpointable=True,
    )
    call_id = context.world.send_operator_command("entry-1", command)
    assert context.world.run_until(
        lambda: call_id in context.world.results, 5.0
    )
    result = context.world.results[call_id]
    assert isinstance(result, operator_messages.JobShown), result


def list_running(context, job_id):
    return [
        task
        for worker in context.world.workers.values()
        for task in worker.tasks.values()
        if task.state == "running" and task.name.startswith(f"{job_id}.")
    ]


@behave.given("a rack of {count:d} workers with {cores:d} processors each")
def step(context, count, cores):
    context.world = virtual.make_world(seed=5)
    capacity = worker_model.Amount(cores * 1000, 8000)
    for index in range(count):
        context.world.add_worker(
            f"worker-{index}", DATA_CENTRE, "rack-1", capacity
        )
    context.world.add_entry("entry-1", DATA_CENTRE)
    context.world.run(20.0)


@behave.when("less urgent work fills the rack")
def step(context):
    submit(context, "lower", "compute", 40, 1, 0, 300.0)
    context.world.run(15.0)


@behave.when(
    "urgent work of {tasks:d} tasks with {cores:d} processors is submitted"
)
def step(context, tasks, cores):
    submit(context, "urgent", "rota", tasks, cores, 7, 60.0)


@behave.then("all {tasks:d} urgent tasks run within {limit:f} s")
def step(context, tasks, limit):
    assert context.world.run_until(
        lambda: len(list_running(context, "urgent")) == tasks, limit
    ), len(list_running(context, "urgent"))


@behave.then("no worker has more processors reserved than its capacity")
def step(context):
    for worker in context.world.workers.values():
        held = sum(
            task.reserved.cpu_millis
            for task in worker.tasks.values()
            if task.state == "running"
        )
        assert held <= worker.capacity.cpu_millis, held


@behave.when("one worker fails every task after {delay:f} s")
def step(context, delay):
    context.world.workers["worker-0"].fail_after_s = delay


@behave.then(
    "the faulty worker was given fewer than 10 tasks within {limit:d} s"
)
def step(context, limit):
    context.world.run(limit)
    started = len(context.world.workers["worker-0"].started)
    assert 0 < started < 10, started


@behave.when("a job of one task with {cores:d} processors is submitted")
def step(context, cores):
    submit(context, "lone", "compute", 1, cores, 0, 60.0)


def wait_for_starts(context, count):
    """Returns when a worker has been sent a number of starts."""
    worker = context.world.workers["worker-0"]
    assert context.world.run_until(lambda: len(worker.started) >= count, 10.0)
    return context.world.now


@behave.then(
    "its second start comes within {limit_s:g} s and its third at least"
    " {pause_s:g} s later"
)
def step(context, limit_s, pause_s):
    first, second, third = (wait_for_starts(context, n) for n in (1, 2, 3))
    assert second - first <= limit_s, second - first
    assert third - second >= pause_s, third - second


@behave.then("the journal shows that it is on probation")
def step(context):
    journal = context.world.nodes["entry-1"].state.journal
    assert any(e.action == "probation" for e in journal.find("worker-0"))


@behave.when(
    "every worker runs a service that noisy work slows by {excess:f} a"
    " processor"
)
def step(context, excess):
    for worker in context.world.workers.values():
        worker.services["rota"] = worker_model.Service(
            "rota", worker_model.Amount(2000, 100), {"noisy": excess}
        )
    context.world.observers.append(measure_all)
    context.world.run(5.0)


def measure_all(world):
    for worker in world.workers.values():
        readings = worker.services["rota"].readings
        if not readings or worker.now > readings[-1].measured_at:
            worker.measure()


@behave.when("the job {job_id} of {tasks:d} noisy tasks is submitted")
def step(context, job_id, tasks):
    submit(context, job_id, "noisy", tasks, 1, 0, 200.0)


@behave.when("{duration:d} s of measurements pass")
def step(context, duration):
    context.world.run(duration)


@behave.then("throttle commands were sent within {limit:d} s")
def step(context, limit):
    assert context.world.run_until(
        lambda: context.world.counts["worker ThrottleTask"] > 0, limit
    )


@behave.then("the job {job_id} waits because it would slow the services")
def step(context, job_id):
    command = operator_messages.ShowJob(job_id, DATA_CENTRE)
    call_id = context.world.send_operator_command("entry-1", command)
    context.world.run(2.0)
    shown = context.world.results[call_id]
    assert "slow its services" in shown.reason, shown
