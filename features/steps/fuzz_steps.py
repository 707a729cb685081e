"""Steps for fuzz.feature."""

import behave

from standins import batch_record_fuzz
from standins import fuzz


@behave.when("random sequences are run")
def step(context):
    context.failure = fuzz.explore(None, fuzz.CI_EXAMPLES)


@behave.then("none of them breaks an invariant or leaves work undone")
def step(context):
    if context.failure:
        path = fuzz.save_last()
        raise AssertionError(f"saved as {path.name}: {context.failure}")


@behave.when("stored records are damaged with the seeds {first:d} to {last:d}")
def step(context, first, last):
    context.problems = []
    for seed in range(first, last + 1):
        problem = batch_record_fuzz.describe(seed)
        if problem:
            context.problems.append(f"seed {seed}: {problem}")


@behave.then("no handler fails, and all other jobs end")
def step(context):
    assert not context.problems, "\n".join(context.problems)
