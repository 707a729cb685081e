"""Steps for batch_successions.feature."""

import random

import behave

from standins import batch_successions

SEED = 2


@behave.given("a partition with long-running tasks")
def step(context):
    context.seed = SEED


@behave.given("a random sequence of ends of owners, by seed {seed:d}")
def step(context, seed):
    context.seed = seed
    context.sequence = batch_successions.draw(random.Random(seed))


@behave.when(
    "a worker crashes and owners end {delay:g} s later, every {interval:g} s:"
    " {ends}"
)
def step(context, delay, interval, ends):
    kinds = tuple(batch_successions.End(text) for text in ends.split(", "))
    context.sequence = batch_successions.Sequence(
        batch_successions.Loss.CRASH, -delay, kinds, interval
    )
    context.execute_steps("When the sequence is played")


@behave.when("the sequence is played")
def step(context):
    context.restarts = batch_successions.build(context.seed, context.sequence)
    context.world = context.restarts.world
    context.restarts.play()
