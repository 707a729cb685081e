"""Steps for batch_published_capacity.feature."""

import collections
import sys

import attrs
import behave
import orjson

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import summaries
from sapphirestall_core.batch import summary_capacity
from sapphirestall_core.batch import worker_faults
from sapphirestall_platform import store
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world

JOB = "00000000000000aa"
AMOUNT = resources.Vector(4000, 1000, 0)
TASK = model.Step(1, AMOUNT, long_running=True)
RACKS = 4
# Time for which the tasks of planned moves have waited, in seconds.
WAITED_S = 5.0


def build_world(context, tasks):
    """Starts a worker that long-running tasks fill."""
    world = context.world = batch_world.BatchWorld(1)
    context.faults = batch_faults.BatchFaults(world)
    context.check = batch_restarts.RestartCheck(world, context.faults)
    world.store_division(1)
    world.add_worker("w-0", "north", tasks * AMOUNT.cpu_millis, "r1-1")
    for number in range(3):
        world.add_node(f"e-{number}", "north")
    world.run(4)
    world.submit(world.nodes[0], JOB, attrs.evolve(TASK, count=tasks))
    world.run(4)


def add_workers(world, count):
    """Starts workers of another partition with room for one task each."""
    for number in range(count):
        world.add_worker(f"o-{number}", "north", 7000, "r1-2")
    world.run(4)


@behave.given(
    "a worker with {tasks:d} long-running tasks beside {workers:d} workers with"
    " room for one"
)
def step(context, tasks, workers):
    build_world(context, tasks)
    add_workers(context.world, workers)


@behave.given(
    "a task whose worker has crashed, beside a worker suspended for {time:g} s"
)
def step(context, time):
    build_world(context, 1)
    world = context.world
    add_workers(world, 1)
    name = world.find_partition("o-0")
    partition = world.find_owner(name).batch.partitions[name]
    context.resumed_at = world.now + time
    partition.workers["o-0"].suspension = worker_faults.Suspension(
        worker_faults.SuspensionCause.UNANSWERED_STARTS, context.resumed_at
    )
    context.faults.crash_worker("w-0")


@behave.then("the task runs {seconds:g} s after that")
def step(context, seconds):
    context.world.run(context.resumed_at + seconds - context.world.now)
    assert [name for name, _, _ in context.world.list_runs()] == ["o-0"]


@behave.when("the worker with the long-running tasks crashes")
def step(context):
    runs = [name for name, t, _ in context.world.list_runs() if t.job_id == JOB]
    assert set(runs) == {"w-0"}, sorted(set(runs))
    context.faults.crash_worker("w-0")


@behave.then("all {count:d} tasks run {seconds:g} s later")
def step(context, count, seconds):
    context.check.run(seconds)
    running = {t for _, t, _ in context.world.list_runs() if t.job_id == JOB}
    assert len(running) == count, f"{len(running)} of {count} run"


@behave.given(
    "a partition with free processors on one worker and memory on another"
)
def step(context):
    workers = [builders.make_worker("w-0", 8), builders.make_worker("w-1", 6)]
    filling = model.Step(1, resources.Vector(0, 63_500, 0))
    builders.add_run(workers[0], filling)
    builders.make_partition(context, *workers)
    publish(context)


def publish(context):
    context.summary = summaries.make_summary(
        context.partition, context.batch.interference, builders.NOW
    )
    context.batch.summaries = {builders.OTHER: context.summary}


def choose(context, number):
    return routing.choose_for_task(
        context.batch, [builders.OTHER], TASK, f"{JOB}.0.{number}"
    )


@behave.when(
    "owners choose a partition for {count:d} tasks that fit on the latter"
)
def step(context, count):
    context.chosen = [choose(context, number) for number in range(count)]


@behave.then("{count:d} of them is sent there")
def step(context, count):
    assert context.chosen.count(builders.OTHER) == count, context.chosen


@behave.given("a partition with an idle worker that is {state}")
def step(context, state):
    builders.make_partition(context, builders.make_worker("w-0", 8))
    if state == "not in the roster":
        context.partition.roster = frozenset()
    elif state == "withheld by its owner":
        context.partition.withheld_ms["w-0"] = 1000
    else:
        refused_at = builders.NOW - 0.1
        worker = context.partition.workers["w-0"]
        worker.paused_until = refused_at + contact.REFUSAL_PAUSE_S
    publish(context)


@behave.then("its summary shows no room for a task")
def step(context):
    assert choose(context, 0) is None
    assert not context.summary.rooms
    assert not routing.can_run(context.summary, "service", (TASK,))


@attrs.frozen
class FormerSummary:
    """The summary as the version before defines it."""

    pending: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    fill_load: float = 0.0
    fill_rooms: dict[str, int] = attrs.field(factory=dict)
    rooms: tuple[published_capacity.FreeCapacity, ...] = ()
    offers: dict[str, tuple[str, ...]] | None = None
    workers: dict[str, int] = attrs.field(factory=dict)


@behave.given(
    "a partition of {count:d} workers with the labels of {racks:d} racks"
)
def step(context, count, racks):
    workers = []
    for number in range(count):
        worker = builders.make_worker(f"w-{number}", 16)
        labels = ("a", f"r1-{number % racks + 1}")
        worker.entry = attrs.evolve(worker.entry, labels=labels)
        builders.add_run(worker, builders.make_step(1))
        workers.append(worker)
    builders.make_partition(context, *workers)
    publish(context)
    context.converter = store.make_converter()
    context.stored = context.converter.unstructure(context.summary)


@behave.then(
    "an owner of the version before reads its stored summary with {count:d}"
    " rooms"
)
def step(context, count):
    found = context.converter.structure(context.stored, FormerSummary)
    expected = {**attrs.asdict(context.summary, recurse=False)}
    del expected["groups"], expected["revision_ages_ms"]
    assert found == FormerSummary(**expected), found
    assert len(found.rooms) == count, found


@behave.then("a stored summary of that version shows room for {count:d} tasks")
def step(context, count):
    del context.stored["groups"]
    summary = context.converter.structure(context.stored, records.SummaryRecord)
    large = attrs.evolve(TASK, amount=resources.Vector(15_000, 100, 0))
    assert routing.can_run(summary, "service", (large,))
    assert (
        summary_capacity.count_fitting_tasks(summary, "service", large, 99)
        == count
    )


@behave.then("its stored summary takes at most {limit:d} bytes")
def step(context, limit):
    size = len(orjson.dumps(context.stored))
    assert size <= limit, size


@behave.given(
    "{jobs:d} jobs of {width:d} waiting long-running tasks with {limit:d} on a"
    " worker"
)
def step(context, jobs, width, limit):
    builders.make_partition(context)
    for number in range(jobs):
        job = builders.add_job(
            context,
            number,
            2,
            WAITED_S,
            attrs.evolve(TASK, count=width, max_per_worker=limit),
        )
        for task in job.steps[0].runnable.values():
            task.unplaced_since = builders.NOW - WAITED_S


@behave.given(
    "{count:d} other partitions of {workers:d} workers with {cores:d}"
    " processors free"
)
def step(context, count, workers, cores):
    if not hasattr(context, "batch"):
        builders.make_partition(context)
    batch = context.batch
    free = (cores * builders.CORE_MILLIS,) * (workers // RACKS)
    groups = tuple(
        published_capacity.WorkerGroup(
            ("a", f"r1-{rack + 1}"), len(free), free, (64_000,) * len(free)
        )
        for rack in range(RACKS)
    )
    summary = records.SummaryRecord(groups={"service": groups})
    for number in range(count):
        name = f"{builders.OTHER}/{number}"
        batch.summaries[name] = summary
        batch.summary_changes[name] = (1, builders.NOW)
    batch.summaries_read_at = batch.all_summaries_read_at = builders.NOW


def count_calls(context, act):
    """Counts the calls of functions in an action; returns its result."""
    calls = collections.Counter()
    sys.setprofile(lambda frame, event, argument: calls.update((event,)))
    try:
        return act()
    finally:
        sys.setprofile(None)
        context.calls = calls["call"] + calls["c_call"]


@behave.when("their owner plans moves")
def step(context):
    effects = count_calls(
        context,
        lambda: balance.move_unplaced_jobs(
            context.batch, context.partition, builders.NOW
        ),
    )
    context.tasks = sum(
        effect.fields["tasks"]
        for effect in effects
        if isinstance(effect, messages.Log) and effect.text == "move"
    )


@behave.then(
    "{tasks:d} tasks move at the cost of at most {limit:d} calls of functions"
)
def step(context, tasks, limit):
    assert context.tasks == tasks, context.tasks
    assert context.calls <= limit, context.calls


@behave.when("an instance chooses a partition for a job of {count:d} tasks")
def step(context, count):
    steps = (attrs.evolve(TASK, count=count, long_running=False),)
    chosen = count_calls(
        context,
        lambda: routing.choose_partition(
            context.batch, JOB, steps, builders.NOW, "service"
        ),
    )
    assert chosen is not None


@behave.then("this takes at most {limit:d} calls of functions")
def step(context, limit):
    assert context.calls <= limit, context.calls


@behave.given(
    "a finite job, and a younger long-running one, that wait for a worker"
)
def step(context):
    builders.make_partition(context, builders.make_worker("w-0", 1))
    builders.add_job(context, 1, 2, 1.0, attrs.evolve(TASK, long_running=False))
    context.job = builders.add_job(context, 2, 2, 0.0, TASK)
    passes.run_pass(passes.PassDue(builders.OWN), context.batch, builders.NOW)


@behave.when("another partition has room for one of them")
def step(context):
    room = published_capacity.FreeCapacity(7000, 8000)
    batch, now = context.batch, builders.NOW + 1.0
    batch.summaries = {
        builders.OWN: records.SummaryRecord(),
        builders.OTHER: records.SummaryRecord(rooms=(room,)),
    }
    batch.summary_changes = {name: (5, now) for name in batch.summaries}
    batch.summaries_read_at = batch.all_summaries_read_at = now
    context.effects = balance.move_unplaced_jobs(batch, context.partition, now)


@behave.then("the long-running task moves there")
def step(context):
    moved = [
        effect.purpose.loaded.record.job_id
        for effect in context.effects
        if isinstance(effect, store_messages.StoreTransaction)
    ]
    assert moved == [context.job.record.job_id], moved


@behave.then(
    "the summary shows room for long-running tasks and none for finite ones"
)
def step(context):
    publish(context)
    for long_running in (True, False):
        small = builders.make_step(1, long_running=long_running)
        count = summary_capacity.count_fitting_tasks(
            context.summary, "service", small, 1
        )
        assert count == int(long_running), context.summary.groups
