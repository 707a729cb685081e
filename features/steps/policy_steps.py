"""Steps for policy.feature."""

import json

import behave

from sapphirestall_core import policy


@behave.when("the body {body} is checked")
def step(context, body):
    context.faults = policy.list_errors(json.loads(body))


@behave.then("exactly one fault names {name}")
def step(context, name):
    assert len(context.faults) == 1, context.faults
    assert name in context.faults[0], context.faults
