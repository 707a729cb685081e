"""Steps for batch_suspensions.feature."""

import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import polls
from sapphirestall_core.batch import state
from sapphirestall_core.batch import suspensions
from sapphirestall_core.batch import worker_messages
from standins import batch_world

LARGE = resources.Vector(5000, 100, 0)
SMALL = resources.Vector(500, 100, 0)
WORKERS = 4
FAILING_SHARE = 0.05
# Time in which the owner learns how many runs fail, in seconds.
HISTORY_S = 30.0
FINITE_INTERVAL_S = 0.2
# Time until the owner knows that the runs on a lost worker have ended, in
# seconds.
LOSS_KNOWN_S = 7.0


def name_long_running_job(number):
    return f"{number:016x}"


def submit_finite(world, number):
    if number > 0:
        step = model.Step(4, SMALL, estimate_s=1.0)
        world.submit(world.nodes[number % 3], f"f{number:015x}", step)
    world.schedule(FINITE_INTERVAL_S, lambda: submit_finite(world, number + 1))


def find_run(world, job_id):
    """Returns the worker that runs a job's only task, or None."""
    for name, task, _ in world.list_runs():
        if task.job_id == job_id:
            return name
    return None


@behave.given(
    "four workers with long-running tasks beside finite runs of which a"
    " twentieth fails, by seed {seed:d}"
)
def step(context, seed):
    world = context.world = batch_world.BatchWorld(seed)
    world.store_division(2)
    world.failure_fraction = FAILING_SHARE
    for number in range(WORKERS):
        rack = f"r1-{number // 2 + 1}"
        world.add_worker(f"w-{number}", "north", 8000, rack)
    for number in range(3):
        world.add_node(f"e-{number}", "north")
    world.run(4)
    step = model.Step(1, LARGE, long_running=True)
    for number in range(WORKERS):
        world.submit(world.nodes[0], name_long_running_job(number), step)
    world.run(4)
    submit_finite(world, 1)
    world.run(HISTORY_S)


@behave.when("a worker is lost for good")
def step(context):
    world = context.world
    context.waiting = name_long_running_job(0)
    world.isolated_workers.add(find_run(world, context.waiting))
    del world.listed_workers[find_run(world, context.waiting)]
    world.run(LOSS_KNOWN_S)


@behave.when(
    "{count:d} finite runs fail on another one, whose long-running task is"
    " cancelled"
)
def step(context, count):
    world = context.world
    cancelled = name_long_running_job(1)
    context.name = find_run(world, cancelled)
    worker = world.workers[context.name]
    failed = 0
    while failed < count:
        # No run that is done comes between the failures.
        for run in worker.running.values():
            if run.done_at is None:
                continue
            run.end_kind = model.EndKind.FAILED
            if failed < count:
                run.done_at = world.now
                failed += 1
        world.run(0.05)
    for run in worker.running.values():
        run.end_kind = model.EndKind.DONE
    kind, path = caller_messages.CancelCalled, f"/jobs/{cancelled}"
    world.call(world.nodes[0], kind, path)


@behave.then("the task of the lost worker runs on it {seconds:g} s later")
def step(context, seconds):
    context.world.run(seconds)
    assert find_run(context.world, context.waiting) == context.name


@behave.given(
    "two workers, and {count:d} of {total:d} runs on the second one have failed"
)
def step(context, count, total):
    context.now = builders.NOW
    context.workers = [builders.make_worker(f"w-{i}", 8) for i in range(2)]
    context.worker = context.workers[0]
    builders.make_partition(context, *context.workers)
    context.steps = [
        builders.add_job(context, i, 2, 0.0, builders.make_step(5)).steps[0]
        for i in range(3)
    ]
    # All of these steps have shown that they can run.
    for each in context.steps:
        each.done.add(0)
    second = context.workers[1]
    for number in range(total):
        started_at = builders.NOW - total + number
        # The failures are spread evenly. In a row they would show a fault.
        if number * count // total < (number + 1) * count // total:
            fail(context, second, number, builders.NOW - started_at)
        else:
            suspensions.record_done(context.partition, second, started_at)


def fail(context, worker, number, ran_s):
    suspensions.record_failure(
        context.partition,
        worker,
        context.steps[number % len(context.steps)],
        ran_s,
        context.now,
    )


@behave.given("{count:d} more runs on the second one are done")
def step(context, count):
    for _ in range(count):
        context.partition.failed_runs_share.record(1, 0)


@behave.given("the second worker is full")
def step(context):
    worker = context.workers[1]
    worker.reserved = worker.entry.capacity


@behave.given("{count:d} {kind} tasks that have waited for {seconds:g} s")
def step(context, count, kind, seconds):
    waiting = builders.make_step(count, long_running=kind == "long-running")
    job = builders.add_job(context, 9, 0, seconds, waiting)
    for task in job.steps[0].runnable.values():
        task.unplaced_since = builders.NOW - seconds
    context.waiting = job.steps[0]


@behave.when("{count:d} runs of several jobs fail on the first worker")
def step(context, count):
    for number in range(count):
        fail(context, context.workers[0], number, 1.0)


@behave.when(
    "{count:d} long-running runs fail on the first worker after {seconds:g} s"
)
def step(context, count, seconds):
    lasting = builders.make_step(count, long_running=True)
    steps = [
        builders.add_job(context, 20 + number, 0, 0.0, lasting).steps[0]
        for number in range(2)
    ]
    for number in range(count):
        suspensions.record_failure(
            context.partition,
            context.workers[0],
            steps[number % 2],
            seconds,
            context.now,
        )


@behave.when(
    "the first worker lists that {count:d} runs of a former owner ended"
    ' "{ends}"'
)
def step(context, count, ends):
    job = builders.add_job(context, 8, 2, 0.0, builders.make_step(count))
    kinds = {".": model.EndKind.DONE, "f": model.EndKind.FAILED}
    listed = []
    for index, end in enumerate(ends):
        name = job.steps[0].unfinished[index].name
        listed.append(model.EndedRun(index + 1, name, 1, kinds[end], ""))
    polls.apply_listing(
        context.batch,
        context.partition,
        context.workers[0],
        None,
        worker_messages.Listing(1000, (), tuple(listed)),
        context.now,
    )


@behave.when("a run that started {when} them is done there")
def step(context, when):
    ran_s = 0.5 if when == "after" else 1.5
    suspensions.record_done(
        context.partition, context.workers[0], context.now - ran_s
    )


@behave.when("a run that started {seconds:g} s ago fails there")
def step(context, seconds):
    fail(context, context.workers[0], 0, seconds)


@behave.when(
    "{count:d} runs of several jobs fail on the first worker after {ran_s:g} s"
)
def step(context, count, ran_s):
    for number in range(count):
        fail(context, context.workers[0], number, ran_s)


@behave.when(
    "a long-running run is started there and still runs {seconds:g} s later"
)
def step(context, seconds):
    worker = context.workers[0]
    builders.add_run(worker, builders.make_step(1, long_running=True))
    context.now += seconds
    worker.last_answer_at = context.now
    suspensions.record_working_runs(context.partition, worker, context.now)


@behave.when("{count:d} starts get no answer on the first worker")
def step(context, count):
    task = context.steps[0].unfinished[1]
    for number in range(count):
        run = state.Run(
            task,
            "w-0",
            number + 1,
            state.RunPhase.STARTING,
            context.now + 0.1 * number,
            0,
        )
        suspensions.record_unanswered_start(
            context.partition, context.workers[0], run, run.started_at + 0.05
        )


@behave.when(
    "a roster that withholds leases on the first worker is being written"
)
def step(context):
    name = context.workers[0].entry.worker_id
    context.partition.withheld_in_flight = frozenset({name})


@behave.when("a start is answered on the first worker")
def step(context):
    suspensions.record_answered_start(
        context.partition, context.workers[0], context.now + 1.0
    )


@behave.then("{count:d} tasks have started there {seconds:g} s later")
def step(context, count, seconds):
    for now in (builders.NOW + 0.1, builders.NOW + seconds):
        for worker in context.workers:
            worker.last_answer_at = now
        due = passes.PassDue(context.partition.name)
        dispatch.handle_timer(due, context.batch, now)
    started = {
        run.worker_id
        for task in context.waiting.unfinished.values()
        if (run := task.run) is not None
    }
    runs = [task.run for task in context.waiting.unfinished.values()]
    assert sum(run is not None for run in runs) == count, runs
    assert started <= {"w-0"}, started
