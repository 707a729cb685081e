"""Steps for fuzz.feature."""

import behave

from standins import fuzz


@behave.when("random sequences are run")
def step(context):
    context.failure = fuzz.explore(None, fuzz.CI_EXAMPLES)


@behave.then("none of them breaks an invariant or leaves work undone")
def step(context):
    if context.failure:
        path = fuzz.save_last()
        raise AssertionError(f"saved as {path.name}: {context.failure}")
