"""Steps of batch_interference.feature on estimates and their errors."""

import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state

LOUD_INTERFERENCE = 9.0
LOUD_CPU_MILLIS = 6400
BASE_HEADROOM = 2.25
WORKER_CORES = 32
# Time between the listings of a worker, and by which tails lag, in seconds.
LISTING_S = 0.4
LAG_S = 0.15
FULL_PERCENT = 100


def add_serving_runs(worker, count):
    """Adds serving runs of one step to a worker and returns them."""
    step = builders.make_step(
        count, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    first = builders.add_run(worker, step)
    runs = [first]
    for index in range(1, count):
        name = model.TaskName(first.task.name.job_id, 0, 0, index)
        task = state.Task(first.task.job, name, step)
        run = state.Run(
            task,
            worker.entry.worker_id,
            1,
            state.RunPhase.RUNNING,
            builders.NOW,
            0,
        )
        passes.reserve(worker, run)
        runs.append(run)
    return runs


def add_filling_runs(worker, image, count):
    """Adds opportunistic runs to a worker and returns them."""
    amount = resources.Vector(3500, 100, 0)
    step = model.Step(count, amount, estimate_s=1.0, fills=True, image=image)
    return [builders.add_run(worker, step) for _ in range(count)]


def set_headroom(run, headroom):
    run.measurement = builders.TAIL_TARGET_MS / headroom


@behave.given(
    'image "new" was measured beside "served" as {interference:g}, '
    "variance {variance:g}"
)
def step(context, interference, variance):
    worker = builders.make_worker("w-1", WORKER_CORES)
    builders.make_partition(context, worker)
    context.worker = worker
    context.batch.interference.set_estimate(
        "served", "new", interference_module.Estimate(interference, variance)
    )


@behave.given(
    'six runs of image "new" beside a serving task with headroom {headroom:g}'
)
def step(context, headroom):
    (serving,) = add_serving_runs(context.worker, 1)
    set_headroom(serving, headroom)
    learned = context.batch.interference
    for number in range(20):
        learned.update(context.worker, builders.NOW + LISTING_S * number)
    context.now = builders.NOW + LISTING_S * 20
    context.filling = add_filling_runs(context.worker, "new", 6)


@behave.when("the owner adjusts their paces")
def step(context):
    pacing.adjust_paces(
        context.partition,
        context.worker,
        context.batch.interference,
        context.now,
    )


@behave.then('the runs of image "new" work at full pace')
def step(context):
    paces = [run.pace_percent for run in context.filling]
    assert paces == [FULL_PERCENT] * len(paces), paces


@behave.then('the runs of image "new" are slowed down')
def step(context):
    paces = [run.pace_percent for run in context.filling]
    assert max(paces) < FULL_PERCENT, paces


@behave.when(
    "the owner has learned from {count:d} listings whose tail latencies lag"
)
def step(context, count):
    worker = context.partition.workers["w-1"]
    context.interference = interference_module.InterferenceModel()
    capacity = worker.entry.capacity.cpu_millis
    former_cpu = 0.0
    for number in range(count):
        cpu = float(LOUD_CPU_MILLIS * (number % 2))
        shown_cpu = cpu + (former_cpu - cpu) * LAG_S / LISTING_S
        loss = LOUD_INTERFERENCE * shown_cpu / capacity
        context.loud.measurement = cpu
        set_headroom(context.serving, BASE_HEADROOM - loss)
        context.interference.update(worker, builders.NOW + LISTING_S * number)
        former_cpu = cpu


@behave.then(
    'the interference of "loud" is learned to within {percent:g} percent'
)
def step(context, percent):
    learned = context.interference.get_interference("served", "loud")
    error = abs(learned - LOUD_INTERFERENCE) / LOUD_INTERFERENCE
    assert error * FULL_PERCENT <= percent, learned


@behave.given("eight serving tasks on one worker and one on another")
def step(context):
    context.workers = {}
    context.serving_runs = {}
    for count in (8, 1):
        worker = builders.make_worker(f"w-{count}", WORKER_CORES)
        context.workers[count] = worker
        context.serving_runs[count] = add_serving_runs(worker, count)


@behave.given('one run of image "loud" on each of them')
def step(context):
    for worker in context.workers.values():
        (loud,) = add_filling_runs(worker, "loud", 1)
        loud.measurement = float(LOUD_CPU_MILLIS)


@behave.when("the owner has learned from one listing of each worker")
def step(context):
    context.variances = {}
    for count, worker in context.workers.items():
        for run in context.serving_runs[count]:
            set_headroom(run, BASE_HEADROOM)
            # The load of the step is known from earlier listings.
            steps = run.task.job.steps
            steps[0].load_estimate = interference_module.trends.initialise(
                interference_module.INITIAL_LOAD, 0.01, 0.0
            )
            steps[0].load_corrected_at = builders.NOW
        learned = interference_module.InterferenceModel()
        learned.update(worker, builders.NOW)
        estimate = learned.get_estimate("served", "loud")
        context.variances[count] = estimate.variance


@behave.then(
    "the estimate from eight serving tasks has less than half the variance"
)
def step(context):
    variances = context.variances
    assert variances[8] < variances[1] / 2, variances
