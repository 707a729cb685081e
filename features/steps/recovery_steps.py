"""Steps for recovery.feature."""

import behave

from tools import recovery


@behave.when("the costs of recovery are measured")
def step(context):
    context.lines = []
    context.code = recovery.main(context.lines.append)


@behave.then("they grow at most linearly")
def step(context):
    assert context.code == 0, context.lines
