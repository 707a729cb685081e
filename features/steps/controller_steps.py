"""Steps for controller.feature."""

import behave

from sapphirestall_core import controller
from sapphirestall_core import task_messages

REPORT_DELAY_S = 4.0


def make_batch_tasks(shares, urgent):
    """Returns tasks in the order of their pressure on the service."""
    return [
        controller.BatchTask(
            task_messages.AttemptName("job", index, 1),
            float(share),
            0.8 * float(share) / (index + 1),
            urgent,
        )
        for index, share in enumerate(shares.split())
    ]


def report(context, slowdown, limit, measured_at):
    measurement = controller.Measurement("rota", slowdown, limit, measured_at)
    context.actions = controller.decide(
        context.controller,
        [measurement],
        context.batch_tasks,
        2,
        measured_at + REPORT_DELAY_S,
        measured_at + REPORT_DELAY_S,
    )


@behave.given("a slowdown controller with the task shares {shares}")
def step(context, shares):
    context.controller = controller.ControllerState()
    context.batch_tasks = make_batch_tasks(shares, False)


@behave.given("a slowdown controller with the urgent task shares {shares}")
def step(context, shares):
    context.controller = controller.ControllerState()
    context.batch_tasks = make_batch_tasks(shares, True)


@behave.when(
    "a slowdown of {slowdown:f}, limit {limit:f}, measured at {at:d} s, is"
    " reported"
)
def step(context, slowdown, limit, at):
    report(context, slowdown, limit, float(at))


@behave.when(
    "a slowdown of {slowdown:f} is reported {times:d} times, each after the"
    " last action"
)
def step(context, slowdown, times):
    context.evicted = 0
    for index in range(times):
        report(context, slowdown, 1.1, 10.0 + 2.5 * index)
        context.evicted += sum(
            isinstance(action, controller.Evict) for action in context.actions
        )


@behave.then("the controller's action is {expected}")
def step(context, expected):
    done = [
        f"{type(action).__name__.lower()} {action.name.task}"
        for action in context.actions
    ]
    wanted = [] if expected == "nothing" else [expected]
    assert done[:1] == wanted, context.actions


@behave.then("the controller evicted {count:d} tasks")
def step(context, count):
    assert context.evicted == count, context.evicted
