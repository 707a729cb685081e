"""Failing handlers in the batch core, in virtual time.

One instance starts, runs jobs and cancels one. The handler of one event fails:
before it has done anything, or after it has changed the state, so that its
effects are lost. Afterwards all work must go on. A call whose answer was lost
with the effects is answered by the front end, which this simulation lacks.

    python -m standins.batch_handler_faults 1 2 5   # these of each kind
"""

import collections
from collections.abc import Iterable
import functools
import itertools
import sys

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import worker_messages
from standins import batch_loop_world
from standins import batch_world

DATA_CENTRE = "north"
AMOUNT = resources.Vector(1000, 100, 0)
# Jobs that are submitted before and after the fault.
FINITE_JOBS = tuple(f"{number:016x}" for number in (1, 2))
LASTING_JOB, CANCELLED_JOB = f"{3:016x}", f"{4:016x}"
START_S = 3.0
WORK_S = 4.0
# Longer than the longest wait that a lost reply may cause: the lease of a
# silent worker.
SETTLE_S = 20.0


class HandlerError(Exception):
    """Failure that is injected into a handler."""


@functools.singledispatch
def name_kind(event: messages.Event) -> str:
    """Returns the name of the handler that an event selects."""
    return type(event).__name__


@name_kind.register
def _(event: messages.TimerFired) -> str:
    return type(event.timer).__name__


@name_kind.register
def _(event: store_messages.StoreReply) -> str:
    return type(event.purpose).__name__


@name_kind.register
def _(event: worker_messages.WorkerReplied) -> str:
    return type(event.call).__name__


@attrs.frozen
class HandlerFault:
    """A failure of the handler of one event.

    Attributes:
        kind: Name of the kind of the event.
        number: Which event of this kind, from 1.
        late: Whether the handler fails after it has changed the state.
    """

    kind: str
    number: int
    late: bool


# The last thing that the handler of this read does is to start a watch. Nothing
# tells a watch that was never sent from one that waits.
NOT_REPEATED = (HandlerFault("JobsRead", 1, True),)


@attrs.define
class FailingWorld(batch_loop_world.LoopWorld):
    """A simulation in which the handler of one event fails.

    Attributes:
        fault: The failure; None for none.
        counts: Number of handled events of each kind.
    """

    fault: HandlerFault | None = None
    counts: "collections.Counter[str]" = attrs.field(
        factory=collections.Counter
    )

    def handle(
        self, node: batch_world.Node, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles an event, or fails if it is the chosen one."""
        kind = name_kind(event)
        self.counts[kind] += 1
        fault = self.fault
        if fault != HandlerFault(kind, self.counts[kind], fault.late):
            return super().handle(node, event, now)
        if fault.late:
            super().handle(node, event, now)
        raise HandlerError(kind)

    def report_fault(self, place: str, error: BaseException) -> None:
        """Lets only the chosen failure pass."""
        if not isinstance(error, HandlerError):
            raise error


def play(fault: HandlerFault) -> tuple[FailingWorld, list[str]]:
    """Plays a failure; returns the simulation and what went wrong."""
    world = FailingWorld(1, fault=fault)
    world.add_worker("w-1", DATA_CENTRE)
    world.add_worker("w-2", DATA_CENTRE)
    node = world.add_node("e-1", DATA_CENTRE)
    world.run(START_S)
    calls = [
        world.submit(node, FINITE_JOBS[0], *_make_steps()),
        world.submit(node, LASTING_JOB, _make_lasting_step()),
        world.submit(node, CANCELLED_JOB, _make_lasting_step()),
    ]
    world.run(WORK_S)
    path = batch_world.QUEUE.prefix
    kind = caller_messages.CancelCalled
    calls += [
        world.call(node, kind, path + CANCELLED_JOB),
        world.call(node, caller_messages.StateCalled, path),
        world.call(node, caller_messages.StateCalled, path + LASTING_JOB),
    ]
    world.run(WORK_S)
    calls.append(world.submit(node, FINITE_JOBS[1], *_make_steps()))
    world.run(SETTLE_S)
    problems = list(world.violations)
    if not fault.late:
        problems += [
            f"call {call_id} has no answer"
            for call_id in calls
            if call_id not in world.answers
        ]
    return world, problems + _check_jobs(world, calls)


def _make_steps() -> tuple[model.Step, ...]:
    return model.Step(4, AMOUNT), model.Step(2, AMOUNT, after=(0,))


def _make_lasting_step() -> model.Step:
    return model.Step(2, AMOUNT, long_running=True)


def _check_jobs(world: FailingWorld, calls: list[str]) -> list[str]:
    accepted = {
        job_id: isinstance(world.answers.get(call_id), caller_messages.Accepted)
        for job_id, call_id in (
            (FINITE_JOBS[0], calls[0]),
            (LASTING_JOB, calls[1]),
            (FINITE_JOBS[1], calls[-1]),
        )
    }
    problems = [
        f"job {job_id} is {world.get_state(job_id)}"
        for job_id in FINITE_JOBS
        if accepted[job_id]
        and world.get_state(job_id) is not model.JobState.COMPLETED
    ]
    running = [task.job_id for _, task, _ in world.list_runs()]
    if accepted[LASTING_JOB] and running.count(LASTING_JOB) != 2:
        problems.append(f"{running.count(LASTING_JOB)} long-running tasks run")
    cancelled = isinstance(
        world.answers.get(calls[3]), caller_messages.Cancelled
    )
    if cancelled and CANCELLED_JOB in running:
        problems.append("a cancelled job runs")
    return problems


def list_kinds() -> list[str]:
    """Returns the kinds of events of a simulation without a failure."""
    world, problems = play(HandlerFault("", 0, False))
    assert not problems, problems
    return sorted(world.counts)


def find_problems(numbers: Iterable[int]) -> list[str]:
    """Plays failures of events of all kinds; returns what went wrong.

    Args:
        numbers: Which events of each kind fail, each in a simulation of its
            own.
    """
    problems = []
    for kind, number, late in itertools.product(
        list_kinds(), numbers, (False, True)
    ):
        fault = HandlerFault(kind, number, late)
        if fault not in NOT_REPEATED:
            problems += [f"{fault}: {text}" for text in play(fault)[1]]
    return problems


def main() -> None:
    """Plays failures and prints what went wrong."""
    problems = find_problems([int(text) for text in sys.argv[1:]])
    print("\n".join(problems) or "ok")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
