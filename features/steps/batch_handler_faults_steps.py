"""Steps for batch_handler_faults.feature."""

import behave

from sapphirestall_core import messages
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import lost_effects
from sapphirestall_core.batch import state
from standins import batch_handler_faults


@behave.when(
    "the handlers of the events {first:d} and {last:d} of each kind fail"
)
def step(context, first, last):
    context.problems = batch_handler_faults.find_problems((first, last))


@behave.then("all calls are answered, all jobs end and no task runs twice")
def step(context):
    assert not context.problems, "\n".join(context.problems)


@behave.given(
    "an instance whose handlers fail before a repetition has succeeded"
)
def step(context):
    batch = instance.build(state.Identity("e-1", "1", "north"))
    context.effects = [
        effect
        for now in (100.0, 110.0)
        for effect in instance.handle(lost_effects.EffectsLost(), batch, now)
    ]


@behave.then("one repetition is scheduled")
def step(context):
    timer = lost_effects.RepeatDue(frozenset())
    expected = [messages.StartTimer(timer, lost_effects.REPEAT_DELAY_S)]
    assert context.effects == expected, context.effects
