"""Steps for soak_guarantees.feature."""

import pathlib
import random
import signal
from unittest import mock

import attrs
import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client
from sapphirestall_standins import observations
from soak import deployment as deployment_module
from soak import disturbances
from soak import guarantees
from soak import history as history_module
from soak import processes
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


@attrs.define(eq=False)
class Clock:
    """Clock of a test; sleeping advances it and calls what is due.

    Attributes:
        now: Current time, in seconds.
        calls: Times and functions to call then, in order.
    """

    now: float = 0.0
    calls: list = attrs.field(factory=list)

    def read(self):
        """Returns the current time."""
        return self.now

    async def sleep(self, seconds):
        """Advances the clock and calls what is due."""
        end = self.now + seconds
        while self.calls and self.calls[0][0] <= end:
            self.now, call = self.calls.pop(0)
            call()
        self.now = end


@attrs.define(eq=False)
class SlowProcess:
    """Process that runs for some time after SIGTERM, unless it is paused.

    Attributes:
        clock: Clock of the test.
        work_s: Run time from SIGTERM to the end, in seconds.
        is_paused: Whether the process is paused.
        is_ending: Whether SIGTERM was sent.
        was_killed: Whether SIGKILL was sent.
        updated_at: Time to which `work_s` applies, in seconds.
    """

    clock: Clock
    work_s: float
    is_paused: bool = False
    is_ending: bool = False
    was_killed: bool = False
    updated_at: float = 0.0

    def send_signal(self, number):
        """Handles a signal."""
        self.update()
        if number == signal.SIGKILL:
            self.was_killed = True
        if number == signal.SIGTERM:
            self.is_ending = True
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.is_paused = number == signal.SIGSTOP

    def poll(self):
        """Returns the exit code; None if the process runs."""
        self.update()
        return 0 if self.was_killed or self.work_s <= 0 else None

    def update(self):
        """Advances the process to the current time."""
        if self.is_ending and not self.is_paused:
            self.work_s -= self.clock.now - self.updated_at
        self.updated_at = self.clock.now


@behave.given(
    "an instance that needs {work:g} s of run time to end after SIGTERM"
)
def step(context, work):
    context.clock = Clock()
    context.process = SlowProcess(context.clock, work)
    context.deployment = deployment_module.build(
        deployment_module.SIZES["small"], pathlib.Path(), random.Random(1)
    )
    path = pathlib.Path("e-1")
    context.instance = processes.Instance("e-1", "dc0", "", path, path)
    context.instance.process = context.process
    context.deployment.instances["e-1"] = context.instance


@behave.given("it was started while a fault paused its former process")
def step(context):
    context.instance.pause_count = 1


@behave.when(
    "it is paused from {start:g} s to {end:g} s and gets SIGTERM at "
    "{sigterm:g} s"
)
def step(context, start, end, sigterm):
    clock, instance = context.clock, context.instance
    clock.calls = [(sigterm, instance.stop)]
    if end > start:
        clock.calls += [(start, instance.pause), (end, instance.resume)]
    clock.calls.sort(key=lambda call: call[0])
    with (
        mock.patch("time.monotonic", clock.read),
        mock.patch("asyncio.sleep", clock.sleep),
    ):
        run_without_loop(clock.sleep(sigterm))
        run_without_loop(context.deployment.wait_stopped("e-1"))


def run_without_loop(coroutine):
    """Runs a coroutine that waits for nothing but the clock of a test."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits for something else")


@behave.then('"processes end after SIGTERM" is violated: {answer}')
def step(context, answer):
    violations = context.deployment.history.violations
    found = [violation.guarantee for violation in violations]
    expected = ["processes end after SIGTERM"] if answer == "yes" else []
    assert found == expected, violations


@behave.then("the process has ended")
def step(context):
    assert context.process.poll() is not None
