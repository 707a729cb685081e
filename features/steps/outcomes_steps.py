"""Steps for outcomes.feature."""

import behave

from sapphirestall_core import outcomes


@behave.when("an outcome NotRun is built without a proof")
def step(context):
    context.error = None
    try:
        outcomes.NotRun(
            proof=None, code="c", step="s", peer="", retry=False, detail=""
        )
    except TypeError as error:
        context.error = error


@behave.then("it is rejected")
def step(context):
    assert context.error is not None
