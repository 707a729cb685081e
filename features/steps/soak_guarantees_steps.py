"""Steps for soak_guarantees.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client as caller
from sapphirestall_standins import observations
from soak import disturbances
from soak import guarantees as promises
from soak import history as ledger
from soak import workload as work

JOB = "00000000000000aa"
AMOUNT = resources.Vector(1000, 100, 0)
OK = caller.Answer(caller.Outcome.OK)
REFUSED = caller.Answer(caller.Outcome.REFUSED)
GONE = caller.Answer(caller.Outcome.GONE)
COMPLETED = caller.Answer(caller.Outcome.OK, "completed")


def name(step, index=0):
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
    promises.observe(event, context.promises)


def end(context, task, position, at=11.0, worker="w-1", number=1):
    event = observations.RunEnded(
        worker, at, task, number, position, model.EndKind.DONE, ""
    )
    promises.observe(event, context.promises)


def note(context, position, worker="w-1"):
    event = observations.EndsForgotten(worker, 12.0, position, 0)
    promises.observe(event, context.promises)


@behave.given("a job of two steps on a worker of 2 cores")
def step(context):
    book = ledger.Ledger()
    context.promises = promises.Promises(book, disturbances.Disturbances())
    for worker in ("w-1", "w-2"):
        context.promises.entries[worker] = model.WorkerEntry(
            worker,
            1,
            work.FIRST_SERVICE,
            "",
            "dc0",
            resources.Vector(2000, 1000, 0),
            ("a", "r1-1"),
            False,
        )
    steps = (model.Step(3, AMOUNT), model.Step(1, AMOUNT, after=(0,)))
    job = work.Job(JOB, work.QUEUES[0], "x", steps)
    context.facts = book.add(job)
    context.facts.open_attempts = 1


@behave.when("a task starts on a second worker while it runs")
def step(context):
    start(context, name(0))
    start(context, name(0), worker="w-2", number=2)


@behave.when("a task starts again after its end was noted")
def step(context):
    start(context, name(0))
    end(context, name(0), 1)
    note(context, 1)
    start(context, name(0), at=13.0, number=2)


@behave.when("a task has started again when its end is noted")
def step(context):
    start(context, name(0))
    end(context, name(0), 1)
    start(context, name(0), at=11.5, worker="w-2", number=2)
    note(context, 1)


@behave.when("a task of the second step starts at once")
def step(context):
    start(context, name(1))


@behave.when("three tasks of one core start on one worker")
def step(context):
    for index in range(3):
        start(context, name(0, index))


@behave.when("a task starts though its job was refused")
def step(context):
    context.promises.see_submission(context.facts, REFUSED, 9.0)
    start(context, name(0))


@behave.when("a running task's job is shown as completed")
def step(context):
    context.promises.see_submission(context.facts, OK, 9.0)
    start(context, name(0))
    context.promises.see_state(context.facts, COMPLETED, 10.0, 10.1)


@behave.when("an accepted job is shown as gone")
def step(context):
    context.promises.see_submission(context.facts, OK, 9.0)
    context.promises.see_state(context.facts, GONE, 10.0, 10.1)


@behave.when("a task starts 4 s after its job was cancelled")
def step(context):
    context.facts.cancelled_at = 6.0
    start(context, name(0))


@behave.when("a task starts with another spec")
def step(context):
    start(context, name(0), spec="y")


@behave.when("a task starts from a checkpoint that nobody saved")
def step(context):
    start(context, name(0), checkpoint="other")


@behave.when("two instances give orders with one token")
def step(context):
    for sender in ("e-1", "e-2"):
        event = observations.OrderReceived("w-1", 10.0, sender, 5)
        promises.observe(event, context.promises)


@behave.when("nothing runs for 5 s while a worker is idle")
def step(context):
    context.promises.see_submission(context.facts, OK, 9.0)
    for tenths in range(90, 145):
        context.promises.sample(tenths / 10)


@behave.when("the job is accepted, runs in order and is shown as completed")
def step(context):
    context.promises.see_submission(context.facts, OK, 9.0)
    for index, worker in enumerate(("w-1", "w-1", "w-2")):
        start(context, name(0, index), worker=worker)
        end(context, name(0, index), index + 1, worker=worker)
    for worker in ("w-1", "w-2"):
        note(context, 3, worker)
    start(context, name(1), at=13.0)
    end(context, name(1), 4, at=14.0)
    context.promises.see_state(context.facts, COMPLETED, 15.0, 15.1)
    context.promises.sample(16.0)


@behave.then('the broken promise is "{promise}"')
def step(context, promise):
    broken = {found.promise for found in context.promises.ledger.violations}
    assert broken == {promise}, broken


@behave.then("no promise is broken")
def step(context):
    assert not context.promises.ledger.violations
