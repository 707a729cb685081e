"""Steps for soak_guarantees.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client
from sapphirestall_standins import observations
from soak import disturbances
from soak import guarantees
from soak import history as history_module
from soak import workload

JOB = "00000000000000aa"
AMOUNT = resources.Vector(1000, 100, 0)
OK = caller_client.Answer(caller_client.Outcome.OK)
REFUSED = caller_client.Answer(caller_client.Outcome.REFUSED)
GONE = caller_client.Answer(caller_client.Outcome.GONE)
COMPLETED = caller_client.Answer(caller_client.Outcome.OK, "completed")


def make_name(step, index=0):
    return model.TaskName(JOB, 0, step, index)


def start(context, task, at=10.0, worker="w-1", number=1, **fields):
    event = observations.RunStarted(
        worker,
        at,
        task,
        number,
        "e-1",
        5,
        fields.get("spec", "x"),
        fields.get("checkpoint", ""),
        False,
    )
    guarantees.observe(event, context.checker)


def end(context, task, position, at=11.0, worker="w-1", number=1):
    event = observations.RunEnded(
        worker, at, task, number, position, model.EndKind.DONE, ""
    )
    guarantees.observe(event, context.checker)


def acknowledge(context, position, worker="w-1"):
    event = observations.EndsAcknowledged(worker, 12.0, position, 0)
    guarantees.observe(event, context.checker)


@behave.given("a job of two steps on workers with 2 processors")
def step(context):
    history = history_module.History()
    context.checker = guarantees.Checker(history, disturbances.Disturbances())
    for worker in ("w-1", "w-2"):
        context.checker.entries[worker] = model.WorkerEntry(
            worker,
            1,
            workload.FIRST_SERVICE,
            "",
            "dc0",
            resources.Vector(2000, 1000, 0),
            ("a", "r1-1"),
            False,
        )
    steps = (model.Step(3, AMOUNT), model.Step(1, AMOUNT, after=(0,)))
    job = workload.Job(JOB, workload.QUEUES[0], "x", steps)
    context.job_history = history.add(job)
    context.job_history.open_attempts = 1


@behave.when("a task starts on a second worker while it runs")
def step(context):
    start(context, make_name(0))
    start(context, make_name(0), worker="w-2", number=2)


@behave.when("a task starts again after its end was acknowledged")
def step(context):
    start(context, make_name(0))
    end(context, make_name(0), 1)
    acknowledge(context, 1)
    start(context, make_name(0), at=13.0, number=2)


@behave.when("a task has started again when its end is acknowledged")
def step(context):
    start(context, make_name(0))
    end(context, make_name(0), 1)
    start(context, make_name(0), at=11.5, worker="w-2", number=2)
    acknowledge(context, 1)


@behave.when("a task of the second step starts at once")
def step(context):
    start(context, make_name(1))


@behave.when("three tasks of one processor start on one worker")
def step(context):
    for index in range(3):
        start(context, make_name(0, index))


@behave.when("a task starts though its job was refused")
def step(context):
    context.checker.record_submission(context.job_history, REFUSED, 9.0)
    start(context, make_name(0))


@behave.when("a running task's job is shown as completed")
def step(context):
    context.checker.record_submission(context.job_history, OK, 9.0)
    start(context, make_name(0))
    context.checker.record_state(context.job_history, COMPLETED, 10.0, 10.1)


@behave.when("an accepted job is shown as gone")
def step(context):
    context.checker.record_submission(context.job_history, OK, 9.0)
    context.checker.record_state(context.job_history, GONE, 10.0, 10.1)


@behave.when("a task starts 4 s after its job was cancelled")
def step(context):
    context.job_history.cancelled_at = 6.0
    start(context, make_name(0))


@behave.when("a task starts with another spec")
def step(context):
    start(context, make_name(0), spec="y")


@behave.when("a task starts from a checkpoint that no run saved")
def step(context):
    start(context, make_name(0), checkpoint="other")


@behave.when("two instances send commands with one fencing token")
def step(context):
    for sender in ("e-1", "e-2"):
        event = observations.CallAccepted("w-1", 10.0, sender, 5)
        guarantees.observe(event, context.checker)


@behave.when("nothing runs for 5 s while a worker is idle")
def step(context):
    context.checker.record_submission(context.job_history, OK, 9.0)
    for tenths in range(90, 145):
        context.checker.check_time_limits(tenths / 10)


@behave.when("the job is accepted, runs in order and is shown as completed")
def step(context):
    context.checker.record_submission(context.job_history, OK, 9.0)
    for index, worker in enumerate(("w-1", "w-1", "w-2")):
        start(context, make_name(0, index), worker=worker)
        end(context, make_name(0, index), index + 1, worker=worker)
    for worker in ("w-1", "w-2"):
        acknowledge(context, 3, worker)
    start(context, make_name(1), at=13.0)
    end(context, make_name(1), 4, at=14.0)
    context.checker.record_state(context.job_history, COMPLETED, 15.0, 15.1)
    context.checker.check_time_limits(16.0)


@behave.then('the violated guarantee is "{guarantee}"')
def step(context, guarantee):
    violated = {found.guarantee for found in context.checker.history.violations}
    assert violated == {guarantee}, violated


@behave.then("no guarantee is violated")
def step(context):
    assert not context.checker.history.violations
