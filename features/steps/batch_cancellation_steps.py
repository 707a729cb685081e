"""Steps for the cancellations in batch_intake.feature."""

import functools

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_world

DATA_CENTRE = "north"
# The same job as in the other steps of the feature.
PATH = "/jobs/00000000000000cc"
STEP = model.Step(1, resources.Vector(1000, 100, 0))
# Share of the writes that take effect late.
LATE_SHARE = 0.7
# Time for which writes are late while jobs are submitted, in seconds.
DISTURBED_S = 12.0


def submit(context):
    job_id = PATH.removeprefix("/jobs/")
    context.call_ids.append(context.world.submit(context.node, job_id, STEP))


def cancel(context, node):
    kind = caller_messages.CancelCalled
    context.call_ids.append(context.world.call(node, kind, PATH))


def get_last_answer(context):
    return context.world.answers[context.call_ids[-1]]


@behave.given("one instance with a store that has no partitions")
def step(context):
    context.world = batch_world.BatchWorld(1)
    context.node = context.world.add_node("e-1", DATA_CENTRE)
    context.world.run(2.0)
    context.call_ids = []


@behave.when("a job is submitted and its write will take effect seconds later")
def step(context):
    world = context.world
    world.late_write_fraction = 1.0
    submit(context)
    world.run(0.01)
    world.late_write_fraction = 0.0
    context.node.store_unreachable = True
    world.run(0.5)


@behave.when("the job is cancelled at the other instance")
def step(context):
    cancel(context, context.other)
    context.world.run(0.1)


@behave.when("the unknown job is cancelled")
def step(context):
    cancel(context, context.node)
    context.world.run(0.1)


@behave.when("the unknown job is cancelled and submitted after that")
def step(context):
    cancel(context, context.node)
    context.world.run(0.1)
    submit(context)
    context.world.run(0.1)


@behave.then("the job was never started")
def step(context):
    assert not context.world.starts
    assert not context.world.violations


@behave.then("the other instance tells that the job does not exist")
def step(context):
    world = context.world
    kind = caller_messages.StateCalled
    context.call_ids.append(world.call(context.other, kind, PATH))
    world.run(0.1)
    assert isinstance(get_last_answer(context), caller_messages.Gone)


@behave.then("the caller is told that the job was refused as cancelled")
def step(context):
    answer = get_last_answer(context)
    assert isinstance(answer, caller_messages.Refused), answer
    assert answer.code == "cancelled", answer


@behave.given("two instances with a store, by seed {seed:d}")
def step(context, seed):
    world = batch_world.BatchWorld(seed)
    for number in range(3):
        world.add_worker(f"w-{number}", DATA_CENTRE, 32_000)
    for number in range(2):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(3.0)
    context.world = world


@behave.when(
    "{count:d} jobs are submitted and some are cancelled while writes are late"
)
def step(context, count):
    world, rng = context.world, context.world.rng
    context.submissions, context.cancellations = {}, {}

    def submit_job(job_id):
        node = rng.choice(world.nodes)
        call_id = world.submit(node, job_id, STEP)
        context.submissions.setdefault(job_id, []).append(call_id)

    def cancel_job(job_id):
        node = rng.choice(world.nodes)
        kind = caller_messages.CancelCalled
        call_id = world.call(node, kind, f"/jobs/{job_id}")
        context.cancellations.setdefault(job_id, []).append(call_id)

    world.late_write_fraction = LATE_SHARE
    for number in range(count):
        job_id = f"{number:016x}"
        at = rng.uniform(0, DISTURBED_S)
        world.schedule(at, functools.partial(submit_job, job_id))
        if rng.random() < 0.3:
            delay_s = rng.uniform(0, 4.0)
            world.schedule(at + delay_s, functools.partial(submit_job, job_id))
        if rng.random() < 0.8:
            delay_s = rng.uniform(-0.5, 3.0)
            world.schedule(
                max(0, at + delay_s), functools.partial(cancel_job, job_id)
            )
    watch_acknowledgements(context, world.now + DISTURBED_S + 10.0)
    world.late_write_fraction = 0.0
    world.run(40.0)


def watch_acknowledgements(context, end):
    """Runs the simulation and records when cancellations are acknowledged."""
    world = context.world
    context.acknowledged_at = {}
    acknowledged = caller_messages.Cancelled | caller_messages.Gone
    while world.now < end:
        world.run(0.05)
        for job_id, call_ids in context.cancellations.items():
            answers = [world.answers.get(call_id) for call_id in call_ids]
            if any(isinstance(answer, acknowledged) for answer in answers):
                context.acknowledged_at.setdefault(job_id, world.now)


@behave.then(
    "no job started {seconds:g} s after its cancellation was acknowledged"
)
def step(context, seconds):
    assert context.acknowledged_at
    started = {
        str(task): at
        for task, at in context.world.started_at.items()
        if at > context.acknowledged_at.get(task.job_id, at) + seconds
    }
    assert not started, started


@behave.then("no refused job was started")
def step(context):
    answers = context.world.answers
    refused = {
        job_id
        for job_id, call_ids in context.submissions.items()
        if all(
            isinstance(answers[call_id], caller_messages.Refused)
            for call_id in call_ids
        )
    }
    started = {task.job_id for task in context.world.started_at}
    assert not refused & started, refused & started


@behave.then("all accepted jobs that were not cancelled are completed")
def step(context):
    world = context.world
    accepted = {
        job_id
        for job_id, call_ids in context.submissions.items()
        if job_id not in context.cancellations
        and any(
            isinstance(world.answers[call_id], caller_messages.Accepted)
            for call_id in call_ids
        )
    }
    assert accepted
    states = {job_id: world.get_state(job_id) for job_id in accepted}
    assert set(states.values()) == {model.JobState.COMPLETED}, states
    assert not world.violations, world.violations
