"""Steps for batch_waits.feature."""

import attrs
import behave

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import lost_effects
from sapphirestall_core.batch import model
from sapphirestall_core.batch import nominations
from sapphirestall_core.batch import passes
from standins import batch_faults
from standins import batch_restarts
from standins import batch_world

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
SMALL = resources.Vector(1000, 100, 0)
LARGE = resources.Vector(5000, 100, 0)
CALL_DELAY_S = (0.05, 0.2)


def build_world(context, seed):
    world = context.world = batch_world.BatchWorld(seed)
    context.faults = batch_faults.BatchFaults(world)
    context.check = batch_restarts.RestartCheck(world, context.faults)
    return world


def add_worker(world, name, rack, capacity, *labels):
    worker = world.add_worker(name, "north", capacity.cpu_millis, rack)
    worker.entry = attrs.evolve(
        worker.entry, capacity=capacity, labels=(*labels, rack)
    )
    world.listed_workers[name] = worker.entry


def start_nodes(world):
    for number in range(3):
        world.add_node(f"e-{number}", "north")
    world.run(4)


def add_fleet(world):
    """Starts eight workers of two partitions, and their instances."""
    world.store_division(2)
    for number in range(8):
        rack = f"r1-{number // 2 + 1}"
        world.add_worker(f"w-{number}", "north", 8000, rack)
    start_nodes(world)


def build_fleet(context, seed):
    world = build_world(context, seed)
    add_fleet(world)
    return world


def submit_small_job(world, number):
    count = world.rng.randint(1, 4)
    small = model.Step(count, SMALL, estimate_s=1.0, required_label="gpu")
    world.submit(world.nodes[number % 3], f"f{number:015x}", small)
    world.schedule(0.1, lambda: submit_small_job(world, number + 1))


@behave.given(
    "a partition full of small tasks beside one with room on workers of another"
    " {kind}, by seed {seed:d}"
)
def step(context, kind, seed):
    world = build_world(context, seed)
    world.store_division(1)
    capacity = resources.Vector(8000, 64_000, 0)
    for number in range(4):
        add_worker(world, f"w-{number}", "r1-1", capacity, "gpu")
    label = {"label": "plain", "service": "gpu"}[kind]
    add_worker(world, "d-0", "r1-2", capacity, label)
    if kind == "service":
        entry = attrs.evolve(world.listed_workers["d-0"], service="other")
        world.workers["d-0"].entry = world.listed_workers["d-0"] = entry
    add_worker(world, "d-1", "r1-2", capacity, "gpu", "hold")
    start_nodes(world)
    hold = model.Step(
        1,
        resources.Vector(8000, 100, 0),
        long_running=True,
        required_label="hold",
    )
    world.submit(world.nodes[0], OTHER_JOB, hold)
    world.run(2)
    large = model.Step(
        2, LARGE, long_running=True, max_per_worker=1, required_label="gpu"
    )
    world.submit(world.nodes[0], JOB, large)
    context.check.run(2)
    submit_small_job(world, 0)
    context.check.run(8)


@behave.when("a worker with a large long-running task crashes there")
def step(context):
    names = [n for n, t, _ in context.world.list_runs() if t.job_id == JOB]
    assert names[0].startswith("w-"), names
    context.faults.crash_worker(names[0])


@behave.then("the large long-running tasks run {seconds:g} s later")
def step(context, seconds):
    context.check.run(seconds)
    world = context.world
    waited = {
        task: round(world.now - at, 1)
        for task, at in context.check.last_run_at.items()
        if task.job_id == JOB
        and world.now - at > batch_restarts.CHECK_INTERVAL_S
    }
    assert not waited, waited


@behave.given("workers that answer within 0.2 s, with long-running tasks")
def step(context):
    pass


@behave.when(
    "an owner is killed, and the store fails for {seconds:g} s once it has a"
    " successor"
)
def step(context, seconds):
    context.outage_s = seconds


@behave.then("every run that existed before still exists, by seed {seed:d}")
def step(context, seed):
    world = build_fleet(context, seed)
    amount = resources.Vector(1500, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(16, amount, long_running=True))
    world.run(5)
    world.call_delay_s = CALL_DELAY_S
    runs = world.list_runs()
    partition = world.find_partition(runs[0][0])
    former = world.find_owner(partition)
    context.faults.crash_node(former)
    while world.find_owner(partition) in (None, former):
        world.run(0.01)
    world.run(0.05)
    context.faults.stop_store(context.outage_s)
    world.run(14)
    lost = set(runs) - set(world.list_runs())
    assert not lost, f"{len(lost)} of {len(runs)} runs have ended"


@behave.given("a partition of eight workers without memory and two with both")
def step(context):
    world = build_world(context, 1)
    world.store_division(1)
    add_worker(world, "w-0", "r1-1", resources.Vector(8000, 64_000, 0))
    for number in range(8):
        capacity = resources.Vector(8000, 2000, 0)
        add_worker(world, f"p-{number}", "r1-2", capacity)
    for number in range(2):
        capacity = resources.Vector(6000, 64_000, 0)
        add_worker(world, f"m-{number}", "r1-2", capacity)
    start_nodes(world)
    filling = model.Step(
        2, resources.Vector(5500, 60_000, 0), long_running=True
    )
    world.submit(world.nodes[0], OTHER_JOB, filling)
    world.run(3)
    waiting = model.Step(
        1, resources.Vector(4000, 16_000, 0), long_running=True
    )
    world.submit(world.nodes[0], JOB, waiting)
    world.run(3)
    call = caller_messages.CancelCalled
    world.call(world.nodes[1], call, f"/jobs/{OTHER_JOB}")
    context.check.run(3)


@behave.when("a worker of another partition with a long-running task crashes")
def step(context):
    ((name, _, _),) = context.world.list_runs()
    assert name == "w-0", name
    context.faults.crash_worker(name)


@behave.given(
    "{workers:d} workers with {runs:d} long runs and {jobs:d} jobs that have"
    " waited for 1 s"
)
def step(context, workers, runs, jobs):
    amount = resources.Vector(60_000 // runs, 100, 0)
    long = attrs.evolve(builders.make_step(1), estimate_s=60.0, amount=amount)
    made = [builders.make_worker(f"w-{n}", 64) for n in range(workers)]
    for worker in made:
        for _ in range(runs):
            builders.add_run(worker, long)
    builders.make_partition(context, *made)
    amount = resources.Vector(30_000, 100, 0)
    waiting = model.Step(1, amount, long_running=True)
    for number in range(jobs):
        builders.add_job(context, 1000 + number, 2, 0.0, waiting)
    passes.run_pass(passes.PassDue(builders.OWN), context.batch, builders.NOW)


@behave.then("the next pass estimates at most {limit:d} waits for workers")
def step(context, limit):
    estimate_wait = nominations._estimate_wait
    calls = []

    def count(*args):
        calls.append(args)
        return estimate_wait(*args)

    nominations._estimate_wait = count
    try:
        passes.run_pass(
            passes.PassDue(builders.OWN), context.batch, builders.NOW + 1.0
        )
    finally:
        nominations._estimate_wait = estimate_wait
    assert len(calls) <= limit, len(calls)


@behave.given(
    "a long-running job of which a run has failed on each of four workers"
)
def step(context):
    world = build_world(context, 1)
    world.store_division(1)
    for number, (rack, cpu_millis) in enumerate(
        (("r1-1", 8000), ("r1-1", 8000), ("r1-2", 6000), ("r1-2", 6000))
    ):
        world.add_worker(f"w-{number}", "north", cpu_millis, rack)
    start_nodes(world)
    amount = resources.Vector(1500, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(4, amount, long_running=True))
    world.run(4)
    for worker in world.workers.values():
        for run in worker.running.values():
            run.end_kind = model.EndKind.FAILED
            run.done_at = world.now
        world.run(1)


@behave.when("the workers of its partition fail all runs")
def step(context):
    world = context.world
    (context.failing,) = {
        world.find_partition(name) for name, _, _ in world.list_runs()
    }
    for name, worker in world.workers.items():
        if world.find_partition(name) == context.failing:
            worker.fail_runs(world.now, 15.0)


@behave.then("all of its tasks run in the other partition {seconds:g} s later")
def step(context, seconds):
    world = context.world
    before = world.starts
    world.run(seconds)
    sound = [
        name
        for name, _, _ in world.list_runs()
        if world.find_partition(name) != context.failing
    ]
    assert len(sound) == 4, f"{len(sound)}, {world.starts - before} starts"


@behave.given(
    "finite jobs and a store whose calls take 0.3 s, by seed {seed:d}"
)
def step(context, seed):
    context.add_cleanup(
        setattr, batch_world, "STORE_DELAY_S", batch_world.STORE_DELAY_S
    )
    batch_world.STORE_DELAY_S = 0.3
    world = build_world(context, seed)
    world.store_division(2)
    world.run_duration_s = (0.3, 1.5)
    for number in range(8):
        rack = f"r1-{number // 2 + 1}"
        world.add_worker(f"w-{number}", "north", 8000, rack)
    start_nodes(world)
    world.run(1)
    submit_two_steps(world, 0)
    world.run(5.5)


def submit_two_steps(world, number):
    first = model.Step(world.rng.randint(1, 4), SMALL, estimate_s=1.0)
    second = model.Step(2, SMALL, estimate_s=1.0, after=(0,))
    world.submit(world.nodes[number % 3], f"f{number:015x}", first, second)
    world.schedule(0.2, lambda: submit_two_steps(world, number + 1))


@behave.when("an owner repeats its effects, and is killed 10 s later")
def step(context):
    world = context.world
    owner = max(world.nodes, key=lambda node: len(node.batch.partitions))
    timer = lost_effects.RepeatDue(frozenset())
    world.deliver(owner, messages.TimerFired(timer))
    world.run(10)
    context.faults.crash_node(owner)


@behave.then("no invariant was violated after {seconds:g} s")
def step(context, seconds):
    context.world.run(seconds)
    assert not context.world.violations, context.world.violations[:3]


def submit_unanswered(context, seed):
    """Submits tasks whose starts get no answer; returns a worker with one."""
    world = build_world(context, seed)
    context.restarts = batch_restarts.RestartScenario(
        world, context.faults, context.check, ("north",)
    )
    add_fleet(world)
    world.late_commands_survive_restart = True
    world.late_start_s = (context.late_s, context.late_s)
    world.late_start_fraction = context.late_fraction
    world.unanswered_start_fraction = 1.0 - context.late_fraction
    amount = resources.Vector(1500, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(4, amount, long_running=True))
    while not (names := list_ordered_workers(world)):
        world.run(0.01)
    world.run(0.3)
    world.late_start_fraction = world.unanswered_start_fraction = 0.0
    return names[0]


def list_ordered_workers(world):
    return [
        line.fields["worker"]
        for node in world.nodes
        for _, line in node.logs
        if line.text == "order"
    ]


@behave.given("long-running tasks whose starts arrive too late")
def step(context):
    context.late_fraction, context.late_s = 1.0, 20.0


@behave.given("long-running tasks whose starts lose their answers")
def step(context):
    context.late_fraction, context.late_s = 0.0, 20.0


@behave.given("long-running tasks whose starts arrive {seconds:g} s late")
def step(context, seconds):
    context.late_fraction, context.late_s = 1.0, seconds


@behave.when("a worker with such a start crashes, by seed {seed:d}")
def step(context, seed):
    name = submit_unanswered(context, seed)
    context.faults.crash_worker(name)
    context.check.run(20)


@behave.when(
    "a worker with such a start crashes and is back {seconds:g} s later,"
    " by seed {seed:d}"
)
def step(context, seconds, seed):
    name = submit_unanswered(context, seed)
    entry = context.world.listed_workers[name]
    context.faults.crash_worker(name)
    context.world.schedule(
        seconds, lambda: context.world.restart_worker(name, entry)
    )
    context.check.run(20)


@behave.given("four long-running tasks on eight workers, by seed {seed:d}")
def step(context, seed):
    world = build_fleet(context, seed)
    amount = resources.Vector(1500, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(4, amount, long_running=True))
    world.run(4)


@behave.when(
    "a worker refuses {share:g} of the calls in each 0.1 s, for {seconds:g} s"
)
def step(context, share, seconds):
    world = context.world
    worker = world.workers[min(name for name, _, _ in world.list_runs())]
    context.longest_s = 0.0
    for _ in range(round((seconds + 5) / 0.1)):
        seconds -= 0.1
        refuses = seconds > 0 and world.rng.random() < share
        worker.unhealthy_until = world.now + 0.1 if refuses else 0.0
        run_shortly(context)


def run_shortly(context):
    """Runs the simulation for 0.1 s; keeps the longest time without a run."""
    context.check.run(0.1)
    since = context.check.last_run_at.values()
    context.longest_s = max(context.longest_s, context.world.now - min(since))


@behave.given("{count:d} idle workers of their partition answer no starts")
def step(context, count):
    world = context.world
    used = {name for name, _, _ in world.list_runs()}
    context.lost = min(used)
    partition = world.find_partition(context.lost)
    # Workers that run nothing are chosen first.
    for number in range(4):
        rack = context.world.workers[context.lost].entry.rack
        world.add_worker(f"x-{number}", "north", 8000, rack)
        assert world.find_partition(f"x-{number}") == partition
    world.run(2)
    names = [f"x-{number}" for number in range(count)]
    world.call_faults.starts_ignored_by.update(names)


@behave.when("a worker with a long-running task is lost for good")
def step(context):
    context.check.run(0.1)
    context.faults.crash_worker(context.lost)
    context.longest_s = 0.0
    for _ in range(200):
        run_shortly(context)


@behave.then(
    "no long-running task was without a run for more than {seconds:g} s"
)
def step(context, seconds):
    assert context.check.last_run_at
    assert context.longest_s <= seconds, context.longest_s
