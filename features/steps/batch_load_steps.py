"""Steps for batch_load.feature."""

import attrs
import behave

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import harm as harm_module
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import takeover
from sapphirestall_core.batch import worker_messages

OWN, OTHER = "north", "south"
NOW = 1000.0
CORE_MILLIS = 1000
TAIL_TARGET_MS = 18
BASE_MS = 8.0


def make_queue(priority):
    name = f"priority-{priority}"
    return model.Queue(
        name, "host", f"/{name}/", "service", priority, 3, 2.0, 1.0
    )


def make_step(count, **fields):
    amount = resources.Vector(CORE_MILLIS, 100, 0)
    return model.Step(count, amount, estimate_s=1.0, **fields)


def make_worker(name, cores):
    entry = model.WorkerEntry(
        name,
        1,
        "service",
        f"{name}:1",
        OWN,
        resources.Vector(cores * CORE_MILLIS, 64_000, 0),
        ("a", "r1"),
        False,
    )
    target = worker_messages.Target(name, 1, f"{name}:1")
    worker = state.Worker(entry, target, clock_ms=1000, clock_at=NOW)
    worker.contact_at = NOW
    worker.listed = True
    return worker


def make_partition(context, *workers):
    identity = state.Identity("e-1", "1", OWN, (OWN, OTHER))
    context.batch = instance.build(identity)
    context.batch.configuration = model.Configuration(
        1, (make_queue(0), make_queue(2))
    )
    partition = state.Partition(OWN, 1, NOW - 500, state.Phase.ACTIVE, 1)
    partition.roster = frozenset(w.entry.worker_id for w in workers)
    partition.workers = {w.entry.worker_id: w for w in workers}
    context.batch.partitions[OWN] = partition
    context.partition = partition


def add_job(context, number, priority, age_s, *steps):
    record = records.JobRecord(
        f"{number:016x}",
        make_queue(priority),
        OWN,
        model.JobState.ACCEPTED,
        "x",
        steps,
        accepted_ms=int((NOW - age_s) * 1000),
    )
    loaded = state.LoadedJob(record, number + 10, number + 10)
    takeover.see_job(context.batch, context.partition, loaded, NOW)
    return context.partition.jobs[record.job_id]


def add_run(worker, step, image_pace=100):
    record = records.JobRecord(
        f"{len(worker.runs):016x}",
        make_queue(2),
        OWN,
        model.JobState.ACCEPTED,
    )
    job = state.Job(record, make_queue(2), 1, 1, [])
    task = state.Task(job, model.TaskName(record.job_id, 0, 0, 0), step)
    run = state.Run(
        task, worker.entry.worker_id, 1, state.RunPhase.RUNNING, NOW, 0
    )
    run.pace = image_pace
    passes.reserve(worker, run)
    return run


def count_started(job):
    return sum(
        task.run is not None
        for step in job.steps
        for task in step.open.values()
    )


@behave.given("a worker with room for {count:d} tasks")
def step(context, count):
    make_partition(context, make_worker("w-1", count))


@behave.given(
    "{many:d} tasks of priority 2 that came first, and {few:d} of priority 0"
)
def step(context, many, few):
    add_job(context, 1, 2, 0.2, make_step(many))
    context.expected = add_job(context, 2, 0, 0.1, make_step(few))


@behave.given(
    "a job of 8 tasks that came 100 s ago, and one that came just now"
)
def step(context):
    add_job(context, 1, 2, 100, make_step(8))
    context.expected = add_job(context, 2, 2, 0, make_step(8))


@behave.when("a pass starts tasks")
def step(context):
    timer = passes.PassDue(OWN)
    instance.handle(messages.TimerFired(timer), context.batch, NOW)


@behave.then("all tasks of priority 0 have started")
def step(context):
    assert count_started(context.expected) == 4


@behave.then("all tasks of the newer job have started")
def step(context):
    assert count_started(context.expected) == 8


@behave.given(
    'the tails of a serving task rise with image "loud", not with "calm"'
)
def step(context):
    make_partition(context, make_worker("w-1", 32))
    worker = context.partition.workers["w-1"]
    serving = make_step(1, tail_target_ms=TAIL_TARGET_MS, image="served")
    context.serving = add_run(worker, serving)
    context.loud = add_run(worker, make_step(1, fills=True, image="loud"))
    context.calm = add_run(worker, make_step(1, fills=True, image="calm"))


@behave.when("the owner has seen {count:d} listings")
def step(context, count):
    worker = context.partition.workers["w-1"]
    context.harm = harm_module.Harm()
    for number in range(count):
        loud_cpu = 3200.0 * (number % 2)
        calm_cpu = 3200.0 * (number // 2 % 2)
        context.loud.reading = loud_cpu
        context.calm.reading = calm_cpu
        context.serving.reading = BASE_MS * (1 + 20 * loud_cpu / 32_000)
        context.harm.learn(worker)


@behave.then('image "loud" is harmful and "calm" is harmless')
def step(context):
    loud = context.harm.get_harm("served", "loud")
    calm = context.harm.get_harm("served", "calm")
    assert loud >= harm_module.HARMLESS, context.harm
    assert calm < harm_module.HARMLESS, context.harm


@behave.then('only runs of image "loud" are paced while the tail is high')
def step(context):
    worker = context.partition.workers["w-1"]
    for _ in range(5):
        step = make_step(1, fills=True, image="loud")
        add_run(worker, step)
    context.serving.reading = TAIL_TARGET_MS * 1.5
    effects = pacing.adjust(context.partition, worker, context.harm, NOW)
    paced = {
        effect.task.job_id
        for effect in effects
        if isinstance(effect, worker_messages.PaceRun)
    }
    assert context.loud.task.name.job_id in paced
    assert context.calm.task.name.job_id not in paced


@behave.given("two workers, one of which has a serving task")
def step(context):
    workers = make_worker("w-1", 32), make_worker("w-2", 32)
    make_partition(context, *workers)
    serving = make_step(1, tail_target_ms=TAIL_TARGET_MS, image="served")
    add_run(workers[1], serving)


def choose(context, step):
    job = add_job(context, 99, 2, 0, step)
    chosen = placement.choose_worker(
        job.steps[0].open[0],
        context.partition.workers.values(),
        "service",
        context.batch.harm,
        NOW,
    )
    context.partition.jobs.clear()
    return chosen.entry.worker_id


@behave.then("another serving task goes to the worker with one")
def step(context):
    serving = make_step(1, tail_target_ms=TAIL_TARGET_MS, image="served")
    assert choose(context, serving) == "w-2"


@behave.then("a task of an unknown image goes to the worker without")
def step(context):
    pair = harm_module.Pair("served", "new")
    context.batch.harm.harms[pair] = harm_module.FIRST_HARM
    assert choose(context, make_step(1, fills=True, image="new")) == "w-1"


@behave.given("summaries of a full own and an empty other data centre")
def step(context):
    make_partition(context)
    room = records.Room(8000, 8000)
    context.batch.summaries = {
        OWN: records.SummaryRecord(),
        OTHER: records.SummaryRecord(rooms=(room, room)),
    }
    context.batch.summary_changes = {OWN: (5, NOW), OTHER: (6, NOW)}
    context.now = NOW


@behave.when("the other data centre has been silent for {seconds:g} s")
def step(context, seconds):
    context.now = NOW + seconds
    context.batch.summary_changes[OWN] = (7, context.now)


def choose_partition(context):
    steps = (make_step(4),)
    return balance.choose_partition(context.batch, steps, context.now)


@behave.then("a job that needs room goes to the other data centre")
def step(context):
    assert choose_partition(context) == OTHER


@behave.then("a job that needs room goes to the own data centre")
def step(context):
    assert choose_partition(context) == OWN


@behave.given('image "loud" harms "soft" servers but not "hard" ones')
def step(context):
    workers = make_worker("w-1", 32), make_worker("w-2", 32)
    make_partition(context, *workers)
    for worker, image in zip(workers, ("soft", "hard"), strict=True):
        serving = make_step(1, tail_target_ms=TAIL_TARGET_MS, image=image)
        add_run(worker, serving)
        context.batch.harm.bases[image] = BASE_MS
    harms = context.batch.harm.harms
    harms[harm_module.Pair("soft", "loud")] = 20.0
    harms[harm_module.Pair("hard", "loud")] = 0.0


@behave.then('tasks of image "loud" go beside "hard" servers')
def step(context):
    task = make_step(1, fills=True, image="loud")
    assert choose(context, task) == "w-2"


@behave.given('five runs of image "loud" beside "soft" servers')
def step(context):
    worker = context.partition.workers["w-1"]
    for _ in range(5):
        step = make_step(1, fills=True, image="loud", checkpointing=True)
        add_run(worker, step)
    context.worker = worker


@behave.when("the owner has adjusted the pace for {seconds:g} s")
def step(context, seconds):
    context.worker.trust = 0.2
    context.stops = []
    now = NOW
    while now < NOW + seconds:
        now += 0.5
        effects = pacing.adjust(
            context.partition, context.worker, context.batch.harm, now
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


@behave.given("a waiting job that was moved to the other data centre")
def step(context):
    job = add_job(context, 7, 2, 1, make_step(2))
    record = attrs.evolve(job.record, partition=OTHER)
    loaded = state.LoadedJob(record, job.revision, job.created)
    reply = store_messages.StoreReply(
        balance.Move(OWN, context.partition.token, loaded),
        store_messages.Committed(99),
        NOW,
    )
    instance.handle(reply, context.batch, NOW)
    assert not context.partition.jobs
    context.job_id = record.job_id


def list_pending(context, now):
    summary = commits.make_summary(context.partition, now)
    return [job_id for ids in summary.pending.values() for job_id in ids]


@behave.then("the own summary still counts the job as pending")
def step(context):
    assert list_pending(context, NOW + 1) == [context.job_id]


@behave.then("a job that two summaries name is counted once")
def step(context):
    queue = make_queue(2)
    pending = {queue.name: (context.job_id,)}
    for name in (OWN, OTHER):
        context.batch.summaries[name] = records.SummaryRecord(pending)
    context.batch.summaries_at = NOW
    call = caller_messages.StateCalled("call", "host", queue.prefix, 3.0)
    effects = instance.handle(call, context.batch, NOW)
    shown = [
        effect.answer
        for effect in effects
        if isinstance(effect, caller_messages.AnswerCaller)
    ]
    assert shown == [caller_messages.PendingShown(1)], shown


@behave.then("the own summary no longer counts the job after {seconds:g} s")
def step(context, seconds):
    assert list_pending(context, NOW + seconds) == []


@behave.given('only the worker with "soft" servers is left')
def step(context):
    context.partition.workers.pop("w-2")


@behave.when('a large job of image "loud" waits for {seconds:g} s')
def step(context, seconds):
    amount = resources.Vector(8 * CORE_MILLIS, 100, 0)
    large = model.Step(
        3, amount, estimate_s=1.0, fills=True, image="loud", checkpointing=True
    )
    context.job = add_job(context, 9, 2, 0, large)
    now = NOW
    while now <= NOW + seconds:
        timer = messages.TimerFired(passes.PassDue(OWN))
        instance.handle(timer, context.batch, now)
        now += 0.25


@behave.then("one of its tasks has started, and the owner lets it run")
def step(context):
    assert count_started(context.job) == 1
    worker = context.partition.workers["w-1"]
    for run in worker.runs.values():
        run.phase = state.RunPhase.RUNNING
    for number in range(20):
        effects = pacing.adjust(
            context.partition, worker, context.batch.harm, NOW + number
        )
        assert not any(
            isinstance(effect, worker_messages.StopRun) for effect in effects
        )
