"""Steps for batch_division.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summaries
from standins import batch_world

DATA_CENTRE = "north"
START_S = 6.0
NOW = 50.0
EIGHT_PARTITIONS = 8 * model.RACKS_PER_PARTITION
DATA_RACK = "r1-6"
DATA_PARTITION = model.Division().make_partition_name(DATA_CENTRE, DATA_RACK)


def make_step(count, **fields):
    amount = resources.Vector(1000, 100, 0)
    return model.Step(count, amount, estimate_s=1.0, **fields)


def make_id(number):
    return f"{number:016x}"


def make_rack_name(number):
    return f"r1-{number + 1}"


def list_partitions(racks):
    names = {
        model.Division().make_partition_name(DATA_CENTRE, make_rack_name(rack))
        for rack in range(racks)
    }
    return sorted(names)


def add_racks(world, racks, workers, rack_step=1, cpu_millis=8000):
    for rack in range(0, racks * rack_step, rack_step):
        for number in range(workers):
            name = f"w-{rack}-{number}"
            world.add_worker(
                name, DATA_CENTRE, cpu_millis, make_rack_name(rack)
            )


def make_world(
    context, racks, workers, processor_counts, rack_step=1, cpu_millis=8000
):
    world = batch_world.BatchWorld(1)
    add_racks(world, racks, workers, rack_step, cpu_millis)
    for number, processors in enumerate(processor_counts):
        world.add_node(f"e-{number}", DATA_CENTRE, processors)
    world.run(START_S)
    context.world = world
    context.partitions = list_partitions(racks * rack_step)


def count_owned(world):
    return {
        node.name: len(node.batch.partitions)
        for node in world.nodes
        if node.alive
    }


@behave.given(
    "a data centre of {racks:d} racks with {workers:d} workers each and "
    "{nodes:d} instances"
)
def step(context, racks, workers, nodes):
    make_world(context, racks, workers, [1.0] * nodes)


@behave.given(
    "a data centre of {racks:d} racks, one instance of {large:g} processors "
    "and {nodes:d} of {small:g}"
)
def step(context, racks, large, nodes, small):
    make_world(context, racks, 1, [large] + [small] * nodes)


WIDE_JOB_S = 1.7
WIDE_TASK_CPU_MILLIS = 7000


@behave.given(
    "a data centre of {racks:d} racks with 8 workers of 32 processors each"
)
def step(context, racks):
    make_world(context, racks, 8, [1.0] * 3, cpu_millis=32_000)
    context.world.run_duration_s = (WIDE_JOB_S, WIDE_JOB_S)


@behave.when(
    "an opportunistic job of 2 steps with {count:d} tasks of 7 processors runs"
)
def step(context, count):
    amount = resources.Vector(WIDE_TASK_CPU_MILLIS, 100, 0)
    first = model.Step(count, amount, WIDE_JOB_S, image="tally", fills=True)
    context.steps = (first, attrs.evolve(first, after=(0,)))
    world = context.world
    world.submit(world.nodes[0], make_id(1), *context.steps)


@behave.then("it is completed within its objective")
def step(context):
    queue = batch_world.QUEUE
    path_s = objectives.find_critical_path(context.steps, set())
    context.world.run(queue.stretch * path_s + queue.target_latency_s)
    job_state = context.world.get_state(make_id(1))
    assert job_state is model.JobState.COMPLETED, job_state


@behave.given("a store whose rosters are of partitions of two racks")
def step(context):
    world = batch_world.BatchWorld(1)
    former = model.Division(2)
    name = former.make_partition_name(DATA_CENTRE, make_rack_name(2))
    roster = records.RosterRecord(1)
    world.store.revision += 1
    put = store_messages.Put(records.make_roster_key(name), roster)
    world.store.put(put)
    context.world = world


@behave.given(
    "a store that loses the answers to writes and carries some out late"
)
def step(context):
    context.world = batch_world.BatchWorld(
        3, lost_answer_fraction=0.3, late_write_fraction=0.5
    )


@behave.when("{count:d} instances start with 8 racks")
def step(context, count):
    add_racks(context.world, 8, 4)
    for number in range(count):
        context.world.add_node(f"e-{number}", DATA_CENTRE)
    context.world.run(START_S)
    context.world.lost_answer_fraction = 0.0
    context.world.late_write_fraction = 0.0
    context.world.run(2 * START_S)


@behave.when(
    "{count:d} instances of a version with 2 racks in a partition replace them"
)
def step(context, count):
    world = context.world
    former_nodes = list(world.nodes)
    before = model.RACKS_PER_PARTITION
    model.RACKS_PER_PARTITION = 2
    try:
        for number in range(count):
            world.add_node(f"n-{number}", DATA_CENTRE)
            world.run(1.0)
        for node in former_nodes:
            world.kill(node)
        world.run(2 * START_S)
    finally:
        model.RACKS_PER_PARTITION = before


@behave.then("all instances own partitions of {size} racks only")
def step(context, size):
    division = model.Division({"two": 2, "four": 4}[size])
    expected = {
        division.make_partition_name(DATA_CENTRE, make_rack_name(rack))
        for rack in range(8)
    }
    owned = [
        name
        for node in context.world.nodes
        if node.alive
        for name in node.batch.partitions
    ]
    assert sorted(owned) == sorted(expected), (owned, expected)


@behave.then("every worker belongs to one owned partition")
def step(context):
    owned = [
        worker_id
        for node in context.world.nodes
        if node.alive
        for partition in node.batch.partitions.values()
        for worker_id in partition.workers
    ]
    assert sorted(owned) == sorted(context.world.workers), owned


@behave.given("two partitions with one worker each and two instances")
def step(context):
    make_world(context, 2, 1, [1.0, 1.0], model.RACKS_PER_PARTITION)


@behave.given("a job of two steps whose first step runs")
def step(context):
    world = context.world
    world.run_duration_s = (2.0, 2.0)
    world.submit(
        world.nodes[0], make_id(1), make_step(2), make_step(2, after=(0,))
    )
    world.run(1.0)
    runs = world.list_runs()
    assert len(runs) == 2, runs
    context.worker_id = runs[0][0]


@behave.when("the worker of that partition drains before the second step")
def step(context):
    entry = context.world.listed_workers[context.worker_id]
    context.world.listed_workers[context.worker_id] = attrs.evolve(
        entry, draining=True
    )


@behave.when("a long-running job is submitted for each partition")
def step(context):
    world = context.world
    for number in range(len(context.partitions)):
        node = world.nodes[number % len(world.nodes)]
        world.submit(node, make_id(number), make_step(4, long_running=True))
    world.run(2.0)


@behave.when("the instance with most partitions is killed")
def step(context):
    owned = count_owned(context.world)
    name = max(owned, key=lambda name: owned[name])
    node = next(node for node in context.world.nodes if node.name == name)
    context.world.kill(node)


@behave.when("{seconds:g} s pass in the data centre")
def step(context, seconds):
    context.world.run(seconds)


@behave.then("every partition of the data centre has one owner")
def step(context):
    for name in context.partitions:
        owners = [
            node.name
            for node in context.world.nodes
            if node.alive and name in node.batch.partitions
        ]
        assert len(owners) == 1, (name, owners)
        assert context.world.find_owner(name) is not None


@behave.then("at least {count:d} instances own partitions")
def step(context, count):
    owned = count_owned(context.world)
    assert sum(number > 0 for number in owned.values()) >= count, owned


@behave.then("the large instance owns more than any other")
def step(context):
    owned = count_owned(context.world)
    large = owned.pop("e-0")
    assert large > max(owned.values()), (large, owned)


@behave.then("each task of the jobs still has its first run")
def step(context):
    runs = context.world.list_runs()
    expected = 4 * len(context.partitions)
    assert len(runs) == expected, runs
    assert all(number == 1 for _, _, number in runs), runs


@behave.then("the job is stored as completed")
def step(context):
    job_state = context.world.get_state(make_id(1))
    assert job_state is model.JobState.COMPLETED, job_state


@behave.then("the workers have recorded no violation")
def step(context):
    assert not context.world.violations, context.world.violations[:5]
    assert context.world.starts


@behave.given("a moved job whose runs must have numbers from {number:d} on")
def step(context, number):
    record = records.JobRecord(
        make_id(1),
        batch_world.QUEUE,
        DATA_CENTRE,
        steps=(make_step(1),),
        first_number=number,
    )
    context.numbers = [
        jobs.find_first_run_number(
            record,
            0,
            0,
            state.Partition(DATA_CENTRE, 1, NOW, generation=generation),
        )
        for generation in (1, 2)
    ]


@behave.then("owners of generation 1 and 2 start it with different run numbers")
def step(context):
    assert context.numbers[0] < context.numbers[1], context.numbers


@behave.then("both run numbers are at least {number:d}")
def step(context, number):
    assert min(context.numbers) >= number, context.numbers


def make_reader(name, published):
    """Returns an instance that has just read published summaries."""
    batch = instance.build(state.Identity(name, "1", DATA_CENTRE))
    batch.summaries = dict(published)
    batch.summary_changes = {partition: (5, NOW) for partition in published}
    return batch


@behave.given(
    "summaries of 8 partitions of which one has slightly more capacity"
)
def step(context):
    context.summaries = {
        name: records.SummaryRecord(
            rooms=(
                published_capacity.FreeCapacity(
                    16_000 if number else 17_000, 60_000
                ),
            )
            * 8
        )
        for number, name in enumerate(list_partitions(EIGHT_PARTITIONS))
    }


@behave.when(
    "{count:d} jobs are submitted to instances that know only the summaries"
)
def step(context, count):
    context.chosen = {}
    for number in range(count):
        reader = make_reader(f"e-{number}", context.summaries)
        steps = (builders.make_step(6),)
        name = routing.choose_partition(reader, make_id(number), steps, NOW)
        context.chosen[name] = context.chosen.get(name, 0) + 1


@behave.then("no partition gets more than {count:d} of them")
def step(context, count):
    assert max(context.chosen.values()) <= count, context.chosen


@behave.given("summaries of 8 idle partitions")
def step(context):
    capacity = published_capacity.FreeCapacity(16_000, 60_000)
    context.summaries = {
        name: records.SummaryRecord(rooms=(capacity,) * 8)
        for name in list_partitions(EIGHT_PARTITIONS)
    }


def route_data_job(reader, number):
    steps = (make_step(8, fills=True, image="tally", data_rack=DATA_RACK),)
    return routing.choose_partition(reader, make_id(number), steps, NOW)


@behave.when(
    "{count:d} jobs whose data is in one of the partitions are submitted"
)
def step(context, count):
    context.reader = make_reader("e-1", context.summaries)
    context.chosen = [
        route_data_job(context.reader, number) for number in range(count)
    ]


@behave.then("all {count:d} jobs go to that partition")
def step(context, count):
    assert context.chosen == [DATA_PARTITION] * count, context.chosen


@behave.when("that partition has three times the load that it can carry")
def step(context):
    summary = attrs.evolve(context.summaries[DATA_PARTITION], fill_load=3.0)
    context.summaries[DATA_PARTITION] = summary
    context.reader = make_reader("e-1", context.summaries)


@behave.then("a job whose data is there goes to another partition")
def step(context):
    assert route_data_job(context.reader, 99) != DATA_PARTITION


OTHER_LABEL, OTHER_SERVICE = "b", "other"
OTHER_QUEUE = model.Queue(
    "other", "host", "/other/", OTHER_SERVICE, 1, 3, 2.0, 1.0
)


@behave.given("three partitions of which one has the {kind} that jobs need")
def step(context, kind):
    world = batch_world.BatchWorld(1)
    queues = (batch_world.QUEUE, OTHER_QUEUE)
    world.configuration = model.Configuration(1, queues)
    for number in range(3):
        rack = make_rack_name(number * model.RACKS_PER_PARTITION)
        for index in range(4):
            name = f"w-{number}-{index}"
            worker = world.add_worker(name, DATA_CENTRE, rack=rack)
            if number < 2:
                continue
            if kind == "label":
                labels = (OTHER_LABEL, rack)
                entry = attrs.evolve(worker.entry, labels=labels)
            else:
                entry = attrs.evolve(worker.entry, service=OTHER_SERVICE)
            worker.entry = world.listed_workers[name] = entry
    for number in range(3):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.world = world
    context.kind = kind


@behave.when("{count:d} jobs that need it are submitted one after the other")
def step(context, count):
    world = context.world
    context.job_ids = [make_id(number) for number in range(count)]
    for number, job_id in enumerate(context.job_ids):
        node = world.nodes[number % len(world.nodes)]
        if context.kind == "label":
            world.submit(node, job_id, make_step(1, required_label=OTHER_LABEL))
        else:
            world.submit(node, job_id, make_step(1), prefix="/other/")
        world.run(0.3)


@behave.then("the first task of each of these jobs has started")
def step(context):
    started = {task.job_id for task in context.world.started_at}
    not_started = [job for job in context.job_ids if job not in started]
    assert not not_started, f"{len(not_started)} of {len(context.job_ids)} wait"


@behave.given(
    "an owner whose workers are all unresponsive, and a loaded other one"
)
def step(context):
    worker = builders.make_worker("w-1", 8)
    worker.unresponsive = True
    builders.make_partition(context, worker)
    batch = context.batch
    batch.summaries = {
        builders.OWN: summaries.make_summary(
            context.partition, batch.interference, builders.NOW
        ),
        builders.OTHER: records.SummaryRecord(fill_load=0.9),
    }
    batch.summary_changes = {
        name: (5, builders.NOW) for name in batch.summaries
    }


@behave.then("an opportunistic job goes to the loaded partition")
def step(context):
    steps = (builders.make_step(4, fills=True, image="tally"),)
    chosen = routing.choose_partition(
        context.batch, make_id(1), steps, builders.NOW
    )
    assert chosen == builders.OTHER, chosen
