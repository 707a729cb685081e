"""Steps for batch_intake.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import configuration
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import model
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import records
from standins import batch_callers
from standins import batch_world

DATA_CENTRE = "north"
OTHER_DATA_CENTRE = "south"
JOB = "00000000000000cc"
PATH = f"/jobs/{JOB}"
AMOUNT = resources.Vector(1000, 100, 0)


@behave.given("one instance with a store")
def step(context):
    context.world = batch_world.BatchWorld(1)
    context.world.add_worker("w-1", DATA_CENTRE)
    context.node = context.world.add_node("e-1", DATA_CENTRE)
    context.world.run(2.0)
    context.call_ids = []


@behave.given("another instance with the same store")
def step(context):
    context.other = context.world.add_node("e-2", DATA_CENTRE)
    context.world.run(1.0)


def submit(context, step, node=None):
    call_id = context.world.submit(node or context.node, JOB, step)
    context.call_ids.append(call_id)


@behave.when("a job is submitted while the store's answers are lost")
def step(context):
    context.world.lost_answer_fraction = 1.0
    submit(context, model.Step(1, AMOUNT))
    context.world.run(5.0)


@behave.when("the store has been unreachable for {seconds:g} s")
def step(context, seconds):
    context.node.store_unreachable = True
    context.world.run(seconds)


@behave.when("a job is submitted to the instance")
def step(context):
    submit(context, model.Step(1, AMOUNT))


@behave.when("the state of the job is requested")
def step(context):
    kind = caller_messages.StateCalled
    context.call_ids.append(context.world.call(context.node, kind, PATH))


@behave.when("the same job is submitted to both instances")
def step(context):
    submit(context, model.Step(1, AMOUNT))
    submit(context, model.Step(1, AMOUNT), context.other)
    context.world.run(1.0)


@behave.when("a long-running job is submitted, runs and is cancelled")
def step(context):
    submit(context, model.Step(3, AMOUNT, long_running=True))
    context.world.run(1.0)
    assert len(context.world.list_runs()) == 3
    kind = caller_messages.CancelCalled
    call_id = context.world.call(context.node, kind, PATH)
    context.world.run(0.1)
    answer = context.world.answers[call_id]
    assert isinstance(answer, caller_messages.Cancelled)


@behave.when("the state of an unknown job is requested")
def step(context):
    kind = caller_messages.StateCalled
    context.call_ids.append(context.world.call(context.node, kind, PATH))
    context.world.run(0.1)


@behave.when("a job that requires {feature} is submitted")
def step(context, feature):
    gang = feature == "a gang"
    same_rack = feature == "one rack"
    step = model.Step(2, AMOUNT, gang=gang, same_rack=same_rack)
    count = 3 if feature == "a schedule" else 0
    schedule = model.Schedule(count=count)
    event = caller_messages.SubmitCalled(
        "call", "host", PATH, 3.0, "x", (step,), schedule
    )
    context.world.deliver(context.node, event)
    context.call_ids.append("call")
    context.world.run(0.1)


@behave.when("configuration {new:d} is read and then configuration {old:d}")
def step(context, new, old):
    for version in (new, old):
        changed = attrs.evolve(context.world.configuration, version=version)
        event = configuration.ConfigurationRead(changed)
        context.world.deliver(context.node, event)


@behave.then("the caller is not told that the job was refused")
def step(context):
    answer = context.world.answers[context.call_ids[0]]
    allowed = caller_messages.Accepted | caller_messages.Undecided
    assert isinstance(answer, allowed), answer


@behave.then("the job's record exists")
def step(context):
    assert context.world.get_state(JOB) is not None


@behave.then("no record of the job exists")
def step(context):
    context.node.store_unreachable = False
    context.world.run(20.0)
    assert context.world.get_state(JOB) is None


@behave.then("both calls are refused within {milliseconds:d} ms")
def step(context, milliseconds):
    context.world.run(milliseconds / 1000)
    for call_id in context.call_ids:
        answer = context.world.answers[call_id]
        assert isinstance(answer, caller_messages.Refused), answer
        assert answer.retry_after_s >= 1


@behave.then("the caller is asked to retry after {seconds:d} s")
def step(context, seconds):
    context.world.run(0.01)
    answer = context.world.answers[context.call_ids[-1]]
    assert answer.retry_after_s == seconds, answer


@behave.then("both callers are told that the job is accepted")
def step(context):
    for call_id in context.call_ids:
        answer = context.world.answers[call_id]
        assert isinstance(answer, caller_messages.Accepted), answer


@behave.then("one record of the job exists")
def step(context):
    keys = [key for key in context.world.store.items if JOB in key]
    assert keys.count(records.make_state_key(JOB)) == 1
    assert context.world.starts == 1
    assert not context.world.violations


@behave.then("its runs end within {seconds:g} s and none starts again")
def step(context, seconds):
    context.world.run(seconds)
    assert not context.world.list_runs()
    context.world.run(10.0)
    assert not context.world.list_runs()


@behave.then("the caller is told that the job does not exist")
def step(context):
    answer = context.world.answers[context.call_ids[-1]]
    assert isinstance(answer, caller_messages.Gone), answer


@behave.then("the caller is told that the job is invalid")
def step(context):
    answer = context.world.answers[context.call_ids[-1]]
    assert isinstance(answer, caller_messages.Invalid), answer


@behave.then("configuration {version:d} is in force")
def step(context, version):
    assert context.node.batch.configuration.version == version


@behave.when("{seconds:g} s pass after the submission")
def step(context, seconds):
    context.world.run(seconds)


@behave.then("the job's record shows that it is completed")
def step(context):
    assert context.world.get_state(JOB) is model.JobState.COMPLETED


@behave.then("the job's record is removed")
def step(context):
    assert context.world.get_state(JOB) is None
    keys = [key for key in context.world.store.items if JOB in key]
    assert not keys, keys


@behave.when("a job with {count:d} steps of {tasks:d} tasks is submitted")
def step(context, count, tasks):
    steps = [model.Step(tasks, AMOUNT)] * count
    call_id = context.world.submit(context.node, JOB, *steps)
    context.call_ids.append(call_id)


CALL_KINDS = {
    "state": caller_messages.StateCalled,
    "cancel": caller_messages.CancelCalled,
}


@behave.when("a {kind:w} is called for {name}")
def step(context, kind, name):
    job_id = "0" * 300 if name == "300 digits" else name
    path = f"/jobs/{job_id}"
    call_id = context.world.call(context.node, CALL_KINDS[kind], path)
    context.call_ids.append(call_id)


@behave.then("it is answered before the store answers")
def step(context):
    assert context.call_ids[-1] in context.world.answers


@behave.given("an instance beside a data centre that has all workers")
def step(context):
    world = batch_world.BatchWorld(1)
    world.add_worker("w-1", DATA_CENTRE)
    world.add_node("e-1", DATA_CENTRE)
    context.node = world.add_node("e-2", OTHER_DATA_CENTRE)
    world.run(3.0)
    context.world = world
    context.call_ids = []


@behave.when("that data centre is cut off and the instance accepts a job")
def step(context):
    context.world.isolated_data_centres.add(DATA_CENTRE)
    submit(context, model.Step(1, AMOUNT))
    context.world.run(0.5)
    answer = context.world.answers[context.call_ids[-1]]
    assert isinstance(answer, caller_messages.Accepted), answer


@behave.when("the number of pending jobs is requested")
def step(context):
    world = context.world
    kind = caller_messages.StateCalled
    context.call_ids.append(world.call(context.node, kind, "/jobs/"))
    world.run(0.5)


@behave.then("the caller is told of {count:d} pending job")
def step(context, count):
    answer = context.world.answers[context.call_ids[-1]]
    assert answer == caller_messages.PendingShown(count), answer


@behave.when(
    "callers repeat their calls at any instance with the seeds {first:d} to "
    "{last:d}"
)
def step(context, first, last):
    context.problems = []
    for seed in range(first, last + 1):
        problem = batch_callers.describe(seed)
        if problem:
            context.problems.append(f"seed {seed}: {problem}")


@behave.then("all answers are kept")
def step(context):
    assert not context.problems, "\n".join(context.problems)


@behave.given("an instance that sent its last answered renewal {age_s:g} s ago")
def step(context, age_s):
    builders.make_partition(context)
    context.batch.lease_renewed_at = builders.NOW - age_s


@behave.when("a store call that was sent {age_s:g} s ago gets no answer")
def step(context, age_s):
    reply = store_messages.StoreReply(
        owner_reads.OwnersRead(),
        store_messages.Unavailable(True, "no answer"),
        builders.NOW - age_s,
    )
    instance.handle(reply, context.batch, builders.NOW)


@behave.then("the store counts as {state}")
def step(context, state):
    is_available = context.batch.store_down_since is None
    assert is_available == (state == "available")


@behave.given("one instance with a store and two queues")
def step(context):
    context.execute_steps("Given one instance with a store")
    other = attrs.evolve(batch_world.QUEUE, name="other", prefix="/other/")
    context.world.configuration = model.Configuration(
        2, (batch_world.QUEUE, other)
    )
    context.world.run(2.0)


@behave.when("the same id is read, cancelled and submitted in the other queue")
def step(context):
    world, node = context.world, context.node
    kinds = (caller_messages.StateCalled, caller_messages.CancelCalled)
    context.call_ids = [
        world.call(node, kind, f"/other/{JOB}") for kind in kinds
    ]
    world.run(0.2)
    step = model.Step(1, AMOUNT)
    context.call_ids.append(world.submit(node, JOB, step, prefix="/other/"))
    world.run(0.2)


@behave.then(
    'the callers are told twice that there is no such job, then "{code}"'
)
def step(context, code):
    *gone, refused = (context.world.answers[name] for name in context.call_ids)
    assert gone == [caller_messages.Gone()] * 2, gone
    assert isinstance(refused, caller_messages.Refused), refused
    assert refused.code == code, refused
