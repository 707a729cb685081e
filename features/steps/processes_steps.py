"""Steps for processes.feature."""

import asyncio
import functools

import behave

from standins import process_runs


@functools.cache
def make_all_runs():
    # The runs mostly wait, so they are made at once and only once.
    return asyncio.run(process_runs.make_runs(list(process_runs.RUNS)))


@behave.when("the process runs are made")
def step(context):
    context.faults = make_all_runs()


@behave.then('the process run "{run}" ended as stated')
def step(context, run):
    assert not context.faults[run], context.faults[run]
