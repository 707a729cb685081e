"""Steps for batch_load.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import move_writes
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summaries

JOB = "00000000000000aa"


@behave.given("a worker with free capacity for {count:d} tasks")
def step(context, count):
    builders.make_partition(context, builders.make_worker("w-1", count))


@behave.given(
    "{many:d} tasks of priority 2 that arrived first, and {few:d} of priority 0"
)
def step(context, many, few):
    builders.add_job(context, 1, 2, 0.2, builders.make_step(many))
    context.expected = builders.add_job(
        context, 2, 0, 0.1, builders.make_step(few)
    )


@behave.given(
    "a job of 8 tasks that arrived 100 s ago, and one that arrived just now"
)
def step(context):
    builders.add_job(context, 1, 2, 100, builders.make_step(8))
    context.expected = builders.add_job(context, 2, 2, 0, builders.make_step(8))


@behave.when("a scheduling pass runs")
@behave.when("another scheduling pass runs")
def step(context):
    timer = passes.PassDue(builders.OWN)
    context.effects = instance.handle(
        messages.TimerFired(timer), context.batch, builders.NOW
    )


@behave.then("{count:d} tasks have started and {which} pass is scheduled")
def step(context, count, which):
    jobs = context.partition.jobs.values()
    assert sum(builders.count_started(job) for job in jobs) == count
    timers = [
        effect
        for effect in context.effects
        if isinstance(effect, messages.StartTimer)
    ]
    assert len(timers) == {"another": 1, "no": 0}[which], timers


@behave.then("all tasks of priority 0 have started")
def step(context):
    assert builders.count_started(context.expected) == 4


@behave.then("all tasks of the newer job have started")
def step(context):
    assert builders.count_started(context.expected) == 8


@behave.given("summaries of a full own and an empty other data centre")
def step(context):
    builders.make_partition(context)
    capacity = published_capacity.FreeCapacity(8000, 8000)
    context.batch.summaries = {
        builders.OWN: records.SummaryRecord(),
        builders.OTHER: records.SummaryRecord(rooms=(capacity, capacity)),
    }
    context.batch.summary_changes = {
        builders.OWN: (5, builders.NOW),
        builders.OTHER: (6, builders.NOW),
    }
    context.now = builders.NOW


@behave.when("the other data centre has written no summary for {seconds:g} s")
def step(context, seconds):
    context.now = builders.NOW + seconds
    context.batch.summary_changes[builders.OWN] = (7, context.now)


def choose_partition(context):
    steps = (builders.make_step(4),)
    return routing.choose_partition(context.batch, JOB, steps, context.now)


@behave.then("a job that needs capacity goes to the other data centre")
def step(context):
    assert choose_partition(context) == builders.OTHER


@behave.then("a job that needs capacity goes to the own data centre")
def step(context):
    assert choose_partition(context) == builders.OWN


@behave.given("a waiting job that was moved to the other data centre")
def step(context):
    job = builders.add_job(context, 7, 2, 1, builders.make_step(2))
    record = attrs.evolve(job.record, partition=builders.OTHER)
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    reply = store_messages.StoreReply(
        move_writes.MoveWrite(builders.OWN, context.partition.token, loaded),
        store_messages.Committed(99),
        builders.NOW,
    )
    instance.handle(reply, context.batch, builders.NOW)
    assert not context.partition.jobs
    context.job_id = record.job_id


def list_pending(context, now):
    summary = summaries.make_summary(
        context.partition, context.batch.interference, now
    )
    return [job_id for ids in summary.pending.values() for job_id in ids]


@behave.then("the own summary still counts the job as pending")
def step(context):
    assert list_pending(context, builders.NOW + 1) == [context.job_id]


@behave.then("a job that two summaries contain is counted once")
def step(context):
    queue = builders.make_queue(2)
    pending = {queue.name: (context.job_id,)}
    for name in (builders.OWN, builders.OTHER):
        context.batch.summaries[name] = records.SummaryRecord(pending)
    context.batch.all_summaries_read_at = builders.NOW
    call = caller_messages.StateCalled("call", "host", queue.prefix, 3.0)
    effects = instance.handle(call, context.batch, builders.NOW)
    shown = [
        effect.answer
        for effect in effects
        if isinstance(effect, caller_messages.AnswerCaller)
    ]
    assert shown == [caller_messages.PendingShown(1)], shown


@behave.then("the own summary no longer counts the job after {seconds:g} s")
def step(context, seconds):
    assert list_pending(context, builders.NOW + seconds) == []


@behave.given(
    "two data centres whose serving tasks are disturbed by other images"
)
def step(context):
    builders.make_partition(context)
    allowed_cpu = {"loud": 40_000, "calm": 40_000}
    context.batch.summaries = {
        builders.OWN: records.SummaryRecord(
            fill_load=0.1, fill_rooms={**allowed_cpu, "loud": 2000}
        ),
        builders.OTHER: records.SummaryRecord(
            fill_load=0.3, fill_rooms={**allowed_cpu, "calm": 2000}
        ),
    }
    context.batch.summary_changes = {
        builders.OWN: (5, builders.NOW),
        builders.OTHER: (6, builders.NOW),
    }


@behave.then('a job of image "{image}" goes to the {which} data centre')
def step(context, image, which):
    steps = (builders.make_step(8, fills=True, image=image),)
    # A choice deducts the job from a summary; the next one must not see that.
    unchanged = dict(context.batch.summaries)
    chosen = routing.choose_partition(context.batch, JOB, steps, builders.NOW)
    context.batch.summaries = unchanged
    expected = {"own": builders.OWN, "other": builders.OTHER}[which]
    assert chosen == expected, chosen


@behave.given(
    "a long-running job of 4 tasks that arrived 100 s ago, and one that "
    "arrived just now"
)
def step(context):
    long_running_step = builders.make_step(4, long_running=True)
    context.expected = builders.add_job(context, 1, 0, 100, long_running_step)
    builders.add_job(context, 2, 0, 0, builders.make_step(4))


@behave.then("all tasks of the long-running job have started")
def step(context):
    assert builders.count_started(context.expected) == 4


@behave.given("summaries of 8 partitions with free capacity for 3 tasks each")
def step(context):
    capacity = published_capacity.FreeCapacity(3 * builders.CORE_MILLIS, 8000)
    context.summaries = {
        f"{builders.OTHER}/r{number}": records.SummaryRecord(rooms=(capacity,))
        for number in range(8)
    }


@behave.when(
    "{count:d} long-running tasks are moved by owners that know only the "
    "summaries"
)
def step(context, count):
    context.chosen = []
    for number in range(count):
        builders.make_partition(context)
        context.batch.summaries = dict(context.summaries)
        chosen = routing.choose_for_task(
            context.batch,
            context.summaries,
            builders.make_step(1, long_running=True),
            f"{number:016x}.0.0",
        )
        context.chosen.append(chosen)


@behave.given(
    "a summary of one worker without memory and one with room for {count:d} "
    "tasks"
)
def step(context, count):
    builders.make_partition(context)
    without_memory = published_capacity.FreeCapacity(
        100 * builders.CORE_MILLIS, 0
    )
    with_room = published_capacity.FreeCapacity(
        count * builders.CORE_MILLIS, 8000
    )
    context.batch.summaries = {
        builders.OTHER: records.SummaryRecord(rooms=(without_memory, with_room))
    }


@behave.when("{count:d} long-running tasks are moved by one owner")
def step(context, count):
    moved = builders.make_step(1, long_running=True)
    context.chosen = [
        routing.choose_for_task(
            context.batch, context.batch.summaries, moved, f"{number}.0.0"
        )
        for number in range(count)
    ]


@behave.then("{count:d} of the tasks are moved")
def step(context, count):
    moved = [chosen for chosen in context.chosen if chosen is not None]
    assert len(moved) == count, context.chosen


@behave.then("no partition gets more than {limit:d} of the tasks")
def step(context, limit):
    counts = {name: context.chosen.count(name) for name in context.chosen}
    assert None not in counts and max(counts.values()) <= limit, counts
