"""Steps for policy.feature."""

import json

import behave

from sapphirestall_core import policy


@behave.when("the body {body} is checked")
def step(context, body):
    context.errors = policy.list_errors(json.loads(body))


@behave.then("exactly one error names {name}")
def step(context, name):
    assert len(context.errors) == 1, context.errors
    assert name in context.errors[0], context.errors
