"""Steps for loop.feature."""

import types

import attrs
import behave

from sapphirestall_core import messages
from sapphirestall_entry import counters
from sapphirestall_entry import loop

LOG = messages.Log("part", "text", {})


@attrs.frozen
class CheckDue(messages.Timer):
    """Timer of periodic work."""


def make_loop(context, handle, failing_effect=None):
    """Makes a loop that records faults and performed effects."""
    context.faults = []
    context.performed = []

    def perform(effect):
        if effect is failing_effect:
            raise ValueError("failed")
        context.performed.append(effect)

    context.loop = loop.Loop(handle, perform, lambda: 0.0)
    context.loop.context = types.SimpleNamespace(
        counters=counters.Counters(),
        report_fault=lambda place, error: context.faults.append(place),
    )


@behave.given("a loop whose handler fails when the timer fires first")
def step(context):
    context.times_handled = 0

    def handle(event, now):
        context.times_handled += 1
        if context.times_handled == 1:
            raise KeyError("worker")
        return [LOG]

    make_loop(context, handle)


@behave.when("the timer fires")
def step(context):
    context.performed.clear()
    context.loop.feed(messages.TimerFired(CheckDue()))


@behave.then(
    "the error is reported, and the timer is started again after {delay_s:g} s"
)
def step(context, delay_s):
    assert context.faults == ["TimerFired"], context.faults
    expected = [messages.StartTimer(CheckDue(), delay_s)]
    assert context.performed == expected, context.performed


@behave.then("the effects of its handler are performed")
def step(context):
    assert context.performed == [LOG], context.performed
    assert context.faults == ["TimerFired"], context.faults


@behave.given("a loop whose first effect of an event fails")
def step(context):
    first = messages.Log("part", "first", {})
    make_loop(context, lambda event, now: [first, LOG], failing_effect=first)


@behave.given("a loop whose handler fails for an event")
def step(context):
    def handle(event, now):
        raise KeyError("worker")

    make_loop(context, handle)


@behave.when("the event is handled")
def step(context):
    context.loop.feed(messages.Started())


@behave.then("the error is reported, and the second effect is performed")
def step(context):
    assert context.faults == ["Log"], context.faults
    assert context.performed == [LOG], context.performed


@behave.then("the error is reported, and no timer is started")
def step(context):
    assert context.faults == ["Started"], context.faults
    assert context.performed == [], context.performed


@behave.given("a loop whose handler fails for an event that has a failure")
def step(context):
    failure = messages.ShutdownRequested()

    def handle(event, now):
        if event is not failure:
            raise KeyError("worker")
        return [LOG]

    make_loop(context, handle)
    context.loop.make_failures = lambda event: [failure]


@behave.then("the error is reported, and the failure was handled instead")
def step(context):
    assert context.faults == ["Started"], context.faults
    assert context.performed == [LOG], context.performed
