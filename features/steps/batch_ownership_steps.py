"""Steps for batch_ownership.feature."""

import behave

from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model
from standins import batch_world

DATA_CENTRES = ("north", "south")
OVERLOADED_DATA_CENTRES = ("north", "south", "east")
OVERLOAD_JOBS = 160
START_S = 3.0


def make_step(count, cpu=1000, **fields):
    return model.Step(count, resources.Vector(cpu, 100, 0), **fields)


def make_world(context, data_centres, nodes, workers, cpu=8000, seed=1):
    world = batch_world.BatchWorld(seed)
    for data_centre in data_centres:
        for number in range(workers):
            world.add_worker(f"w-{data_centre}-{number}", data_centre, cpu)
    for data_centre in data_centres:
        for number in range(nodes):
            world.add_node(f"e-{data_centre}-{number}", data_centre)
    world.run(START_S)
    context.world = world
    context.data_centres = data_centres


def make_id(number):
    return f"{number:016x}"


def list_owners(world):
    return [
        node for node in world.nodes if node.alive and node.batch.partitions
    ]


@behave.given("two data centres with two instances and three workers each")
def step(context):
    make_world(context, DATA_CENTRES, 2, 3)


@behave.given("one data centre with two instances and one full worker")
def step(context):
    make_world(context, DATA_CENTRES[:1], 2, 1, cpu=4000)
    world = context.world
    world.submit(world.nodes[0], make_id(1), make_step(4, long_running=True))
    world.run(1.0)
    assert len(world.list_runs()) == 4


@behave.given(
    "three overloaded data centres of two instances and three workers each"
)
def step(context):
    make_world(context, OVERLOADED_DATA_CENTRES, 2, 3, cpu=4000)


@behave.when("a job of two steps is submitted")
def step(context):
    world = context.world
    steps = make_step(4), make_step(6, after=(0,))
    world.submit(world.nodes[0], make_id(1), *steps)


@behave.when("long-running tasks are submitted")
def step(context):
    world = context.world
    for number, node in enumerate(world.nodes):
        step = make_step(3, long_running=True)
        world.submit(node, make_id(number), step)


@behave.when("{seconds:g} s pass")
def step(context, seconds):
    context.world.run(seconds)


@behave.when("every owner loses the store")
def step(context):
    world = context.world
    for number, node in enumerate(list_owners(world)):
        world.submit(node, make_id(number), make_step(6))
    world.run(0.1)
    for node in list_owners(world):
        node.store_unreachable = True


@behave.when("short tasks of the owners end")
def step(context):
    # Shorter than the store lease, so that no other instance becomes owner.
    context.world.run(2.2)


@behave.when("every owner is killed")
def step(context):
    for node in list_owners(context.world):
        context.world.kill(node)


@behave.when("every owner is paused for {seconds:g} s")
def step(context, seconds):
    for node in list_owners(context.world):
        node.paused_until = context.world.now + seconds


@behave.when("every owner is killed while new jobs arrive")
def step(context):
    world = context.world
    for node in list_owners(world):
        world.kill(node)
    other = next(node for node in world.nodes if node.alive)
    for number in range(2, 42):
        job_id = make_id(number)
        world.schedule(
            0.1 * number,
            lambda job_id=job_id: world.submit(other, job_id, make_step(1)),
        )


def run_random_scenario(world, rng):
    """Submits jobs and injects faults for 40 s, then lets all jobs end."""
    for number in range(1, 81):
        nodes = [node for node in world.nodes if node.alive]
        node = rng.choice(nodes)
        if rng.random() < 0.7:
            first = make_step(rng.randint(1, 5), rng.choice((500, 1000, 3000)))
            steps = [first]
            if rng.random() < 0.5:
                steps.append(make_step(rng.randint(1, 4), after=(0,)))
            world.submit(node, make_id(number), *steps)
        elif rng.random() < 0.3:
            path = f"/jobs/{make_id(rng.randint(1, number))}"
            world.call(node, caller_messages.CancelCalled, path)
        inject_fault(world, rng, nodes)
        world.run(0.5)
    for node in world.nodes:
        node.store_unreachable = False
        node.unreachable_workers.clear()
    world.late_start_fraction = world.lost_answer_fraction = (
        world.unanswered_start_fraction
    ) = 0.0
    world.run(60.0)


def run_overload_scenario(world, rng):
    """Submits excess work and injects faults, then lets all jobs end."""
    world.list_delay_s = (0.3, 2.0)
    world.lost_history_fraction = 0.02
    for number in range(1, OVERLOAD_JOBS + 1):
        nodes = [node for node in world.nodes if node.alive]
        node = rng.choice(nodes)
        kind = rng.random()
        if kind < 0.75:
            world.submit(node, make_id(number), *choose_steps(rng))
        elif kind < 0.9:
            cancel(world, node, rng.randint(1, number))
        inject_fault(world, rng, nodes, choices=24)
        world.run(0.25)
    for node in world.nodes:
        node.store_unreachable = False
        node.unreachable_workers.clear()
    world.late_start_fraction = world.lost_answer_fraction = (
        world.lost_history_fraction
    ) = 0.0
    # An instance that did not reach the store or was paused refuses calls for a
    # few seconds.
    world.run(8.0)
    node = next(node for node in world.nodes if node.alive)
    for number in range(1, OVERLOAD_JOBS + 1):
        steps = world.jobs.get(make_id(number), ())
        if any(step.long_running for step in steps):
            cancel(world, node, number)
    world.run(60.0)


def choose_steps(rng):
    """Returns the steps of a job: long-running, two steps or one."""
    kind = rng.random()
    if kind < 0.3:
        return [make_step(rng.randint(1, 2), 500, long_running=True)]
    steps = [make_step(rng.randint(1, 5), rng.choice((500, 1000, 3000)))]
    if kind < 0.65:
        steps.append(make_step(rng.randint(1, 4), after=(0,)))
    return steps


def cancel(world, node, number):
    path = f"/jobs/{make_id(number)}"
    world.call(node, caller_messages.CancelCalled, path)


def inject_fault(world, rng, nodes, choices=40):
    """Injects one of several faults, or none, at random."""
    kind = rng.randint(0, choices)
    node = rng.choice(nodes)
    if kind == 0 and len(nodes) > 2:
        world.kill(node)
        data_centre = node.batch.identity.data_centre
        world.schedule(
            2.0, lambda: world.add_node(f"{node.name}+", data_centre)
        )
    elif kind == 1:
        node.paused_until = world.now + rng.uniform(0.5, 6)
    elif kind == 2:
        node.store_unreachable = True
        world.schedule(
            rng.uniform(1, 8), lambda: setattr(node, "store_unreachable", False)
        )
    elif kind == 3:
        name = rng.choice(sorted(world.workers))
        node.unreachable_workers.add(name)
        world.schedule(
            rng.uniform(1, 8), lambda: node.unreachable_workers.discard(name)
        )
    elif kind == 4:
        world.late_start_fraction = rng.choice((0.0, 0.1, 0.3))
    elif kind == 5:
        world.lost_answer_fraction = rng.choice((0.0, 0.1, 0.2))
    elif kind == 6:
        world.failure_fraction = rng.choice((0.0, 0.05))
    elif kind == 7:
        name = rng.choice(sorted(world.workers))
        data_centre = world.workers[name].entry.data_centre
        world.add_worker(name, data_centre)
    elif kind == 8:
        world.unanswered_start_fraction = rng.choice((0.0, 0.3, 1.0))


@behave.when("random jobs and faults are injected with seed {seed:d}")
def step(context, seed):
    context.world.rng.seed(seed)
    context.world.all_replies_name_incarnation = seed % 2 == 0
    run_random_scenario(context.world, context.world.rng)


@behave.when(
    "excess work, slow lists and faults are injected with seed {seed:d}"
)
def step(context, seed):
    context.world.rng.seed(seed)
    context.world.all_replies_name_incarnation = seed % 2 == 0
    run_overload_scenario(context.world, context.world.rng)


@behave.then("every job is stored as completed")
def step(context):
    world = context.world
    states = {job_id: world.get_state(job_id) for job_id in world.jobs}
    not_completed = {
        job_id: found
        for job_id, found in states.items()
        if found is not model.JobState.COMPLETED
    }
    assert states and not not_completed, not_completed


@behave.then("every accepted job has ended")
def step(context):
    world = context.world
    unfinished = [
        job_id
        for job_id in world.jobs
        if world.get_state(job_id) is model.JobState.ACCEPTED
    ]
    assert not unfinished, unfinished


@behave.then("every long-running task has its first run")
def step(context):
    world = context.world
    expected = sum(
        step.count for steps in world.jobs.values() for step in steps
    )
    runs = world.list_runs()
    assert len(runs) == expected, runs
    assert all(number == 1 for _, _, number in runs), runs


@behave.then("every partition has one owner")
def step(context):
    names = [
        name
        for node in list_owners(context.world)
        for name in node.batch.partitions
    ]
    assert sorted(names) == sorted(context.data_centres), names


@behave.then("no invariant was violated")
def step(context):
    assert not context.world.violations, context.world.violations[:5]
    assert context.world.starts


@behave.given("one partition with two instances and four workers, all in use")
def step(context):
    make_world(context, DATA_CENTRES[:1], 2, 4)
    world = context.world
    world.run_duration_s = (200.0, 200.0)
    for number in range(6):
        world.submit(world.nodes[0], make_id(number), make_step(2))
    world.run(1.0)
    used = {worker for worker, _, _ in world.list_runs()}
    assert used == set(world.workers), used


@behave.when("its owner and half of the workers are isolated from the rest")
def step(context):
    world = context.world
    (former_owner,) = list_owners(world)
    (other,) = (node for node in world.nodes if node is not former_owner)
    names = sorted(world.workers)
    former_owner.store_unreachable = True
    former_owner.unreachable_workers = set(names[:2])
    other.unreachable_workers = set(names[2:])


@behave.when("the owner and these workers are reconnected")
def step(context):
    for node in context.world.nodes:
        node.store_unreachable = False
        node.unreachable_workers = set()


@behave.given("two data centres, one of them without workers, by seed {seed:d}")
def step(context, seed):
    make_world(context, DATA_CENTRES[:1], 2, 2, seed=seed)
    for number in range(2):
        context.world.add_node(f"e-new-{number}", DATA_CENTRES[1])
    context.world.run(START_S)


@behave.when("workers join the other one after {seconds:g} s")
def step(context, seconds):
    context.world.run(seconds)
    for number in range(2):
        context.world.add_worker(f"w-new-{number}", DATA_CENTRES[1])


@behave.then("they have an owner {seconds:g} s later")
def step(context, seconds):
    context.world.run(seconds)
    owned = {
        name
        for node in list_owners(context.world)
        for partition in node.batch.partitions.values()
        for name in partition.workers
    }
    assert {"w-new-0", "w-new-1"} <= owned, owned
