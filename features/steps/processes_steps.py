"""Steps for processes.feature."""

import asyncio
import functools

import behave

from standins import process_runs


@functools.cache
def execute_all_runs():
    # The runs mostly wait, so all scenarios share one concurrent execution.
    return asyncio.run(process_runs.execute_all(list(process_runs.RUNS)))


@behave.when("all process runs have ended")
def step(context):
    context.failures = execute_all_runs()


@behave.then('the process run "{run}" reported no failure')
def step(context, run):
    assert not context.failures[run], context.failures[run]
