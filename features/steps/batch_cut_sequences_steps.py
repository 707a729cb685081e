"""Steps for batch_cut_sequences.feature."""

import behave

from standins import batch_cuts


def play(context, rounds, **faults):
    context.cuts = batch_cuts.build_scenario(context.seed, **faults)
    context.world = context.cuts.world
    context.cuts.run(rounds)


@behave.given("a random deployment with paths that are cut, by seed {seed:d}")
def step(context, seed):
    context.seed = seed


@behave.when("paths are cut in {rounds:d} rounds")
def step(context, rounds):
    play(context, rounds)


@behave.when("paths are cut in {rounds:d} rounds and store leases are revoked")
def step(context, rounds):
    play(context, rounds, revoking=True)


@behave.when("paths are cut in {rounds:d} rounds beside other faults")
def step(context, rounds):
    play(context, rounds, mixed=True)


@behave.then("every job that should have ended has ended")
def step(context):
    unfinished = context.cuts.list_unfinished_jobs()
    assert context.cuts.jobs and not unfinished, unfinished


@behave.then("long-running tasks had runs again in time")
def step(context):
    late = list(context.cuts.check.late.values())
    assert not late, (late, context.cuts.faults.events)
