"""Steps for processes.feature."""

import asyncio
import functools

import behave

from standins import process_runs


@functools.cache
def make_all_runs():
    # The runs mostly wait, so they are made concurrently, and once for all
    # scenarios.
    return asyncio.run(process_runs.make_runs(list(process_runs.RUNS)))


@behave.when("all process runs have ended")
def step(context):
    context.faults = make_all_runs()


@behave.then('the process run "{run}" reported no fault')
def step(context, run):
    assert not context.faults[run], context.faults[run]
