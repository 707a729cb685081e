"""Steps for batch_interference.feature."""

import math

import behave

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import interference_exchange
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

# Headroom of the serving tasks without opportunistic runs beside them, and the
# interference of image "loud".
BASE_HEADROOM = 2.25
LOUD_INTERFERENCE = 9.0
WORKER_MILLIS = 32_000
# Time between the listings of a worker, in seconds.
LISTING_S = 0.4


def compute_tail_latency(headroom, loud_cpu):
    """Returns the tail latency beside runs of image "loud", in milliseconds.

    Args:
        headroom: Headroom of the serving task without these runs.
        loud_cpu: Processors that these runs use, in thousandths.
    """
    remaining = headroom - LOUD_INTERFERENCE * loud_cpu / WORKER_MILLIS
    return builders.TAIL_TARGET_MS / max(0.1, remaining)


def set_interference(context, serving, opportunistic, interference):
    estimate = interference_module.Estimate(interference, 0.2)
    context.batch.interference.set_estimate(serving, opportunistic, estimate)


@behave.given('the tail latency of a serving task rises with image "loud" only')
def step(context):
    builders.make_partition(context, builders.make_worker("w-1", 32))
    worker = context.partition.workers["w-1"]
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    context.serving = builders.add_run(worker, serving)
    context.loud = builders.add_run(
        worker, builders.make_step(1, fills=True, image="loud")
    )
    context.calm = builders.add_run(
        worker, builders.make_step(1, fills=True, image="calm")
    )


@behave.when("the owner has learned from {count:d} listings")
def step(context, count):
    worker = context.partition.workers["w-1"]
    context.interference = interference_module.InterferenceModel()
    for number in range(count):
        loud_cpu = 3200.0 * (number % 2)
        calm_cpu = 3200.0 * (number // 2 % 2)
        context.loud.measurement = loud_cpu
        context.calm.measurement = calm_cpu
        context.serving.measurement = compute_tail_latency(
            BASE_HEADROOM, loud_cpu
        )
        context.interference.update(worker, builders.NOW + 0.4 * number)


@behave.then(
    'the interference of "loud" is learned and that of "calm" is negligible'
)
def step(context):
    loud = context.interference.get_interference("served", "loud")
    calm = context.interference.get_interference("served", "calm")
    assert loud >= interference_module.NEGLIGIBLE_INTERFERENCE, (
        context.interference
    )
    assert calm < interference_module.NEGLIGIBLE_INTERFERENCE, (
        context.interference
    )


@behave.then(
    'only runs of image "loud" are slowed down while the tail latency is high'
)
def step(context):
    worker = context.partition.workers["w-1"]
    for _ in range(5):
        step = builders.make_step(1, fills=True, image="loud")
        builders.add_run(worker, step)
    context.serving.measurement = builders.TAIL_TARGET_MS * 1.5
    now = builders.NOW + 20
    effects = pacing.adjust_paces(
        context.partition, worker, context.interference, now
    )
    paced = {
        effect.task.job_id
        for effect in effects
        if isinstance(effect, worker_messages.PaceRun)
    }
    assert context.loud.task.name.job_id in paced
    assert context.calm.task.name.job_id not in paced


@behave.given("two workers, one of which has a serving task")
def step(context):
    workers = builders.make_worker("w-1", 32), builders.make_worker("w-2", 32)
    builders.make_partition(context, *workers)
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    builders.add_run(workers[1], serving)


def choose_worker_id(context, step):
    job = builders.add_job(context, 99, 2, 0, step)
    chosen = placement.choose_worker(
        job.steps[0].unfinished[0],
        context.partition.workers.values(),
        "service",
        context.batch.interference,
        builders.NOW,
    )
    context.partition.jobs.clear()
    return chosen.entry.worker_id


@behave.then(
    "another serving task is placed on the worker with the serving task"
)
def step(context):
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    assert choose_worker_id(context, serving) == "w-2"


@behave.then(
    "an opportunistic task of an unknown image is placed on the other worker"
)
def step(context):
    assert context.batch.interference.find_estimate("served", "new") is None
    assert (
        choose_worker_id(
            context, builders.make_step(1, fills=True, image="new")
        )
        == "w-1"
    )


@behave.given('image "loud" disturbs serving image "soft" but not "hard"')
def step(context):
    workers = builders.make_worker("w-1", 32), builders.make_worker("w-2", 32)
    builders.make_partition(context, *workers)
    for worker, image in zip(workers, ("soft", "hard"), strict=True):
        serving = builders.make_step(
            1, tail_target_ms=builders.TAIL_TARGET_MS, image=image
        )
        builders.add_run(worker, serving)
    set_interference(context, "soft", "loud", LOUD_INTERFERENCE)
    set_interference(context, "hard", "loud", 0.0)


@behave.then('tasks of image "loud" are placed beside serving image "hard"')
def step(context):
    task = builders.make_step(1, fills=True, image="loud")
    assert choose_worker_id(context, task) == "w-2"


@behave.given('the worker with serving image "hard" {condition}')
def step(context, condition):
    workers = context.partition.workers
    if condition == "has left":
        del workers["w-2"]
    elif condition == "has no memory":
        memory_mb = workers["w-2"].entry.capacity.memory_mb
        full = resources.Vector(0, memory_mb, 0)
        builders.add_run(workers["w-2"], model.Step(1, full))


@behave.then(
    'a task of image "loud" that has waited for {seconds:g} s {outcome}'
)
def step(context, seconds, outcome):
    expected = {
        "waits": None,
        'is placed beside serving image "soft"': "w-1",
        'is placed beside serving image "hard"': "w-2",
    }
    waiting = builders.make_step(2, fills=True, image="loud")
    job = builders.add_job(context, 1, 2, seconds, waiting)
    tasks = job.steps[0].unfinished
    if seconds:
        tasks[0].unplaced_since = builders.NOW - seconds
    # A second task runs, so that the first one is not starved.
    worker = context.partition.workers["w-1"]
    passes.start(
        context.batch, context.partition, worker, tasks[1], builders.NOW
    )
    passes.run_pass(passes.PassDue(builders.OWN), context.batch, builders.NOW)
    run = tasks[0].run
    assert (run.worker_id if run else None) == expected[outcome], run


@behave.given('five runs of image "loud" beside serving image "soft"')
def step(context):
    worker = context.partition.workers["w-1"]
    for _ in range(5):
        step = builders.make_step(
            1, fills=True, image="loud", checkpointing=True
        )
        builders.add_run(worker, step)
    context.worker = worker


@behave.when("the owner has adjusted the paces for {seconds:g} s")
def step(context, seconds):
    context.worker.trust = 0.2
    context.stops = []
    now = builders.NOW
    while now < builders.NOW + seconds:
        now += 0.5
        effects = pacing.adjust_paces(
            context.partition, context.worker, context.batch.interference, now
        )
        stops = [
            effect
            for effect in effects
            if isinstance(effect, worker_messages.StopRun)
        ]
        context.stops.append(len(stops))
        context.worker.trust = 0.2


@behave.then("one of these runs is stopped at a time")
def step(context):
    assert sum(context.stops) >= 2, context.stops
    assert max(context.stops) == 1, context.stops


@behave.given('only the worker with serving image "soft" is left')
def step(context):
    context.partition.workers.pop("w-2")


@behave.when('a large job of image "loud" waits for {seconds:g} s')
def step(context, seconds):
    amount = resources.Vector(8 * builders.CORE_MILLIS, 100, 0)
    large = model.Step(
        3, amount, estimate_s=1.0, fills=True, image="loud", checkpointing=True
    )
    context.job = builders.add_job(context, 9, 2, 0, large)
    now = builders.NOW
    while now <= builders.NOW + seconds:
        timer = messages.TimerFired(passes.PassDue(builders.OWN))
        instance.handle(timer, context.batch, now)
        now += 0.25


@behave.then("one of its tasks has started, and the owner does not stop it")
def step(context):
    assert builders.count_started(context.job) == 1
    worker = context.partition.workers["w-1"]
    for run in worker.runs.values():
        run.phase = state.RunPhase.RUNNING
    for number in range(20):
        effects = pacing.adjust_paces(
            context.partition,
            worker,
            context.batch.interference,
            builders.NOW + number,
        )
        assert not any(
            isinstance(effect, worker_messages.StopRun) for effect in effects
        )


@behave.given("a serving task whose load rises and falls within {period_s:g} s")
def step(context, period_s):
    builders.make_partition(context, builders.make_worker("w-1", 32))
    context.worker = context.partition.workers["w-1"]
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    context.serving = builders.add_run(context.worker, serving)
    context.period_s = period_s
    set_interference(context, "served", "loud", LOUD_INTERFERENCE)


@behave.given('six runs of image "loud" beside it')
def step(context):
    for _ in range(6):
        run = builders.add_run(
            context.worker, builders.make_step(1, fills=True, image="loud")
        )
        # Runs that have come this far and save no checkpoints do not move.
        run.progress_percent = 50


@behave.when("the owner adjusts the paces to this load for {seconds:g} s")
def step(context, seconds):
    context.missed = context.listings = 0
    context.used_millis = 0.0
    now = builders.NOW
    while now < builders.NOW + seconds:
        now += LISTING_S
        # Measurements lag by the time between two listings.
        angle = 2 * math.pi * (now - LISTING_S) / context.period_s
        headroom = 2.6 + 0.9 * math.sin(angle)
        loud_cpu = 0.0
        for run in context.worker.runs.values():
            if run.task.step.fills:
                run.measurement = run.pace_percent / 100 * builders.CORE_MILLIS
                loud_cpu += run.measurement
        context.serving.measurement = compute_tail_latency(headroom, loud_cpu)
        context.batch.interference.update(context.worker, now)
        pacing.adjust_paces(
            context.partition, context.worker, context.batch.interference, now
        )
        context.listings += 1
        context.missed += context.serving.measurement >= builders.TAIL_TARGET_MS
        context.used_millis += loud_cpu


@behave.then(
    "the tail latency is over its target in less than {percent:d} of 100 "
    "listings"
)
def step(context, percent):
    assert context.missed / context.listings < percent / 100, context.missed


@behave.then(
    "the runs have used more than {percent:d} percent of their processors"
)
def step(context, percent):
    available_millis = 6 * builders.CORE_MILLIS * context.listings
    assert context.used_millis / available_millis > percent / 100, (
        context.used_millis / available_millis
    )


@behave.given("a worker whose serving tasks use half of their processors")
def step(context):
    builders.make_partition(context, builders.make_worker("w-1", 32))
    context.worker = context.partition.workers["w-1"]
    amount = resources.Vector(24 * builders.CORE_MILLIS, 100, 0)
    serving = model.Step(
        1, amount, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    context.serving = builders.add_run(context.worker, serving)
    # Half of the headroom that a serving task has without load.
    headroom = interference_module.INITIAL_IDLE_HEADROOM / 2
    context.serving.measurement = builders.TAIL_TARGET_MS / headroom


@behave.given(
    "runs with negligible interference that request {cores:d} processors"
)
def step(context, cores):
    set_interference(context, "served", "calm", 0.0)
    amount = resources.Vector(cores // 4 * builders.CORE_MILLIS, 100, 0)
    for _ in range(4):
        step = model.Step(1, amount, fills=True, image="calm")
        builders.add_run(context.worker, step)


@behave.when("the owner adjusts the paces after each of {count:d} listings")
def step(context, count):
    interference = context.batch.interference
    for number in range(count):
        now = builders.NOW + number
        interference.update(context.worker, now)
        pacing.adjust_paces(
            context.partition, context.worker, interference, now
        )


@behave.then("the pace of the runs is {percent:d} percent")
def step(context, percent):
    paces = {
        run.pace_percent
        for run in context.worker.runs.values()
        if run.task.step.fills
    }
    assert all(abs(pace - percent) <= 5 for pace in paces), paces


@behave.given('two workers, one with serving image "soft" and one with "hard"')
def step(context):
    workers = builders.make_worker("w-1", 32), builders.make_worker("w-2", 32)
    builders.make_partition(context, *workers)
    for worker, image in zip(workers, ("soft", "hard"), strict=True):
        builders.add_run(
            worker,
            builders.make_step(
                1, tail_target_ms=builders.TAIL_TARGET_MS, image=image
            ),
        )


@behave.then(
    'another serving task of image "{image}" is placed beside its image'
)
def step(context, image):
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image=image
    )
    expected = {"soft": "w-1", "hard": "w-2"}[image]
    assert choose_worker_id(context, serving) == expected


@behave.given('runs of images "loud" and "calm" beside a serving task')
def step(context):
    builders.make_partition(context, builders.make_worker("w-1", 32))
    context.worker = context.partition.workers["w-1"]
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    context.serving = builders.add_run(context.worker, serving)
    set_interference(context, "served", "loud", LOUD_INTERFERENCE)
    set_interference(context, "served", "calm", 1.0)
    context.runs = {}
    for image in ("loud", "calm"):
        context.runs[image] = [
            builders.add_run(
                context.worker, builders.make_step(1, fills=True, image=image)
            )
            for _ in range(4)
        ]


@behave.when("the headroom of the serving task falls to {headroom:g}")
def step(context, headroom):
    context.serving.measurement = builders.TAIL_TARGET_MS / headroom
    interference = context.batch.interference
    for number in range(4):
        now = builders.NOW + number
        interference.update(context.worker, now)
        pacing.adjust_paces(
            context.partition, context.worker, interference, now
        )


@behave.then('image "loud" is slowed down and "calm" works at full pace')
def step(context):
    assert all(run.pace_percent < 100 for run in context.runs["loud"])
    assert all(run.pace_percent == 100 for run in context.runs["calm"])


@behave.given('an owner that has learned that image "loud" disturbs "soft"')
def step(context):
    builders.make_partition(context, builders.make_worker("w-1", 32))
    set_interference(context, "soft", "loud", LOUD_INTERFERENCE)
    reply = store_messages.StoreReply(
        interference_exchange.EstimatesRead(),
        store_messages.Absent(records.INTERFERENCE_KEY),
        builders.NOW,
    )
    effects = instance.handle(reply, context.batch, builders.NOW)
    context.stored_record = effects[0].puts[0].value


@behave.when("another instance reads the interference that it has stored")
def step(context):
    identity = state.Identity("e-2", "1", builders.OWN)
    context.reader = instance.build(identity)
    found = store_messages.Found(
        records.INTERFERENCE_KEY, context.stored_record, 0, 5, 5
    )
    reply = store_messages.StoreReply(
        interference_exchange.EstimatesRead(), found, builders.NOW
    )
    instance.handle(reply, context.reader, builders.NOW)


@behave.then("that instance expects the same interference")
def step(context):
    assert (
        context.reader.interference.get_interference("soft", "loud")
        == LOUD_INTERFERENCE
    )


@behave.when("the worker confirms the starts")
def step(context):
    worker = context.partition.workers["w-1"]
    context.effects = []
    for run in list(worker.runs.values()):
        if not run.task.step.fills:
            continue
        call = worker_messages.StartRun(
            worker.target,
            context.partition.name,
            context.partition.token,
            run.task.name,
            run.number,
            "x",
            run.lease_end_ms,
            "",
        )
        now = builders.NOW + 2
        event = worker_messages.WorkerReplied(
            call, worker_messages.Done(2000), now
        )
        context.effects += instance.handle(event, context.batch, now)


@behave.then("the pace of the run is reduced at once")
def step(context):
    paces = [
        effect.percent
        for effect in context.effects
        if isinstance(effect, worker_messages.PaceRun)
    ]
    assert paces and max(paces) < 50, paces


@behave.given(
    "a run that had a low pace for {seconds:g} s, and a second worker that is "
    "full"
)
def step(context, seconds):
    workers = builders.make_worker("w-1", 8), builders.make_worker("w-2", 8)
    builders.make_partition(context, *workers)
    set_interference(
        context, "served", "loud", interference_module.MAX_INTERFERENCE
    )
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    builders.add_run(workers[0], serving)
    context.slow_run = builders.add_run(
        workers[0],
        builders.make_step(1, fills=True, image="loud", checkpointing=True),
    )
    context.slow_run.low_pace_since = builders.NOW - seconds
    context.other = builders.add_run(workers[1], builders.make_step(1))
    workers[1].reserved = workers[1].entry.capacity


@behave.when("the owner adjusts the paces")
def step(context):
    context.effects = pacing.adjust_paces(
        context.partition,
        context.partition.workers["w-1"],
        context.batch.interference,
        builders.NOW,
    )


@behave.when("the second worker is empty and the owner adjusts the paces")
def step(context):
    context.partition.workers["w-2"].reserved = resources.Vector()
    context.execute_steps("When the owner adjusts the paces")


def list_stopped_runs(context):
    return [
        (effect.task, effect.number)
        for effect in context.effects
        if isinstance(effect, worker_messages.StopRun)
    ]


@behave.then("the run is not stopped for a move")
def step(context):
    assert not list_stopped_runs(context), context.effects


@behave.then("the run is stopped to move there")
def step(context):
    stopped = list_stopped_runs(context)
    assert stopped == [(context.slow_run.task.name, context.slow_run.number)], (
        stopped
    )


@behave.given(
    'a serving task with idle processors for eight runs of image "loud"'
)
def step(context):
    builders.make_partition(context, builders.make_worker("w-1", 9))
    context.worker = context.partition.workers["w-1"]
    serving = builders.make_step(
        1, tail_target_ms=builders.TAIL_TARGET_MS, image="served"
    )
    context.serving = builders.add_run(context.worker, serving)
    set_interference(context, "served", "loud", LOUD_INTERFERENCE)
    set_interference(context, "served", "calm", 0.0)
    step = builders.make_step(1, fills=True, image="loud")
    for _ in range(8):
        builders.add_run(context.worker, step).progress_percent = 50


@behave.then('two tasks of image "calm" find idle processors there')
def step(context):
    for _ in range(2):
        worker = context.worker
        calm = builders.make_step(1, fills=True, image="calm")
        (candidate,) = placement.list_candidates(
            [worker], "service", builders.NOW
        )
        assert candidate.fits(calm), candidate
        builders.add_run(worker, calm)


@behave.then("all runs together use no more processors than are idle")
def step(context):
    worker, now = context.worker, builders.NOW + 10
    pacing.adjust_paces(
        context.partition, worker, context.batch.interference, now
    )
    used = sum(
        run.pace_percent / 100 * run.task.step.amount.cpu_millis
        for run in worker.runs.values()
        if run.task.step.fills
    )
    assert used <= placement.estimate_idle_cpu(worker), used
