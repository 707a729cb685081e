"""Steps for batch_room_elsewhere.feature."""

import attrs
import behave

from standins import batch_room_elsewhere


@behave.when("{lost:d} workers of each of {sources:d} full partitions are lost")
def step(context, lost, sources):
    context.sequence = batch_room_elsewhere.Sequence(
        sources, lost, targets=0, room=0.0, widths=()
    )


@behave.when(
    "{targets:d} other partitions have {room:g} times the room for their tasks"
)
def step(context, targets, room):
    context.sequence = attrs.evolve(
        context.sequence, targets=targets, room=room
    )


@behave.when("the jobs have {widths} tasks")
def step(context, widths):
    numbers = tuple(int(width) for width in widths.split(","))
    context.sequence = attrs.evolve(context.sequence, widths=numbers)


@behave.then("all tasks run again in time")
def step(context):
    seed = context.sequence.sources
    scenario = batch_room_elsewhere.build(seed, context.sequence)
    scenario.play()
    failure = scenario.find_failures()
    assert not failure, failure


@behave.then("the tasks move within {seconds:g} s of the end of their runs")
def step(context, seconds):
    scenario = batch_room_elsewhere.build(1, context.sequence)
    scenario.play()
    logs = [log for node in scenario.nodes for log in node.logs]
    lost_at = {
        run.partition(".")[0]: at
        for at, log in logs
        if log.text == "runs_lost"
        for run in log.fields["runs"].split(",")
    }
    waits = [
        at - lost_at[log.fields["job"]]
        for at, log in logs
        if log.part == "balance" and log.fields["job"] in lost_at
    ]
    assert len(waits) > 5 and max(waits) <= seconds, waits
