"""Steps for batch_departure.feature."""

import attrs
import behave

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state
from standins import batch_world

DATA_CENTRE = "north"
JOB = f"{1:016x}"
START_S = 3.0
STEP_S = 0.05


@attrs.define
class TaskGaps:
    """Times without a run of the tasks of a job.

    Attributes:
        world: Simulation that runs the tasks.
        tasks: The tasks.
        without_run_since: When each task was last seen without a run first.
        longest_s: Longest time without a run of each task, in seconds.
    """

    world: batch_world.BatchWorld
    tasks: list[model.TaskName]
    without_run_since: dict[model.TaskName, float] = attrs.field(factory=dict)
    longest_s: dict[model.TaskName, float] = attrs.field(factory=dict)

    def run(self, seconds):
        """Runs the simulation and measures the times without a run."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run(STEP_S)
            running = {task for _, task, _ in self.world.list_runs()}
            for task in self.tasks:
                self.measure(task, is_running=task in running)

    def measure(self, task, *, is_running):
        """Updates the times of one task."""
        now = self.world.now
        since = self.without_run_since.setdefault(task, now)
        gap_s = now - since
        self.longest_s[task] = max(self.longest_s.get(task, 0.0), gap_s)
        if is_running:
            del self.without_run_since[task]


def make_world(context, cpu_millis, limits=batch_world.LIMITS):
    world = batch_world.BatchWorld(1, limits=limits)
    for number in range(3):
        world.add_worker(f"w-{number}", DATA_CENTRE, cpu_millis)
    for number in range(2):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.world = world


def submit_long_running_tasks(context, count):
    world = context.world
    amount = resources.Vector(1000, 100, 0)
    step = model.Step(count, amount, long_running=True)
    world.submit(world.nodes[0], JOB, step)
    world.run(2.0)
    tasks = [model.TaskName(JOB, 0, 0, index) for index in range(count)]
    context.gaps = TaskGaps(world, tasks)
    assert len(world.list_runs()) == count, world.list_runs()
    context.worker_id = choose_worker(world)


def choose_worker(world):
    """Returns the worker with the most runs."""
    names = [name for name, _, _ in world.list_runs()]
    return max(sorted(set(names)), key=names.count)


def find_owner(context):
    owner = context.world.find_owner(DATA_CENTRE)
    assert owner is not None
    return owner


def wait_for_list(context):
    """Waits until the owner has read the worker's entry as draining."""

    def is_draining():
        partition = find_owner(context).batch.partitions[DATA_CENTRE]
        return partition.workers[context.worker_id].entry.draining

    for _ in range(60):
        if is_draining():
            return
        context.gaps.run(STEP_S)
    raise AssertionError("the owner has not read the entry")


@behave.given("an owner of three workers with long-running tasks")
def step(context):
    make_world(context, 8000)
    submit_long_running_tasks(context, 6)


@behave.given("an owner of three workers that grant leases of 10 s")
def step(context):
    make_world(context, 8000, state.Limits(worker_lease_s=10.0))
    submit_long_running_tasks(context, 6)


@behave.given("an owner of three workers in full use")
def step(context):
    make_world(context, 2000)
    submit_long_running_tasks(context, 6)


@behave.given("an owner of three workers with short tasks")
def step(context):
    make_world(context, 8000)
    world = context.world
    world.run_duration_s = (0.5, 0.5)
    amount = resources.Vector(1000, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(8, amount))
    tasks = [model.TaskName(JOB, 0, 0, index) for index in range(8)]
    context.gaps = TaskGaps(world, tasks)


@behave.when(
    "a worker with long-running tasks drains for {seconds:g} s and then exits"
)
def step(context, seconds):
    context.world.drain_worker(context.worker_id)
    context.gaps.run(seconds)
    context.world.end_worker(context.worker_id)


@behave.when("a worker with long-running tasks announces its departure")
def step(context):
    context.world.drain_worker(context.worker_id)


@behave.when("the worker exits as soon as its owner has read the list")
def step(context):
    wait_for_list(context)
    context.world.end_worker(context.worker_id)


@behave.when(
    "the worker exits and its owner is killed when the owner has read the list"
)
def step(context):
    wait_for_list(context)
    # The owner has stored what it knows of the worker.
    context.gaps.run(STEP_S)
    context.world.end_worker(context.worker_id)
    context.world.kill(find_owner(context))


@behave.when("its owner is killed {seconds:g} s later")
def step(context, seconds):
    context.gaps.run(seconds)
    context.world.kill(find_owner(context))


@behave.when("a worker with long-running tasks crashes")
def step(context):
    context.world.end_worker(context.worker_id)


def hide_entry(context, seconds):
    world, name = context.world, context.worker_id
    world.drain_worker(name)
    wait_for_list(context)
    entry = world.listed_workers.pop(name)

    def restore():
        world.listed_workers[name] = entry

    world.schedule(seconds, restore)


@behave.when("a worker drains and its entry disappears for {seconds:g} s")
def step(context, seconds):
    hide_entry(context, seconds)


@behave.when(
    "a draining worker does not answer and its entry disappears for"
    " {seconds:g} s"
)
def step(context, seconds):
    world, name = context.world, context.worker_id
    isolate_worker(context)
    hide_entry(context, seconds)
    for node in world.nodes:
        world.schedule(
            seconds + 0.5,
            lambda node=node: node.unreachable_workers.discard(name),
        )
    # Room for the tasks, which the owner must not use.
    world.add_worker("w-new", DATA_CENTRE, 8000)


@behave.when("{seconds:g} s pass after the departure")
def step(context, seconds):
    context.gaps.run(seconds)


@behave.when("the owner is asked to shut down while ends wait for their commit")
def step(context):
    world = context.world
    context.owner = find_owner(context)
    partition = context.owner.batch.partitions[DATA_CENTRE]
    for _ in range(400):
        world.run(0.005)
        if partition.dirty_jobs or partition.commit_in_flight:
            break
    assert partition.dirty_jobs or partition.commit_in_flight
    world.deliver(context.owner, messages.ShutdownRequested())


@behave.given(
    "an instance with {processors:g} processors that owns {owned:d} partitions"
)
def step(context, processors, owned):
    identity = state.Identity("e-0", "1", DATA_CENTRE, processors=processors)
    context.batch = state.Batch(identity)
    for number in range(owned):
        name = f"{DATA_CENTRE}/{number}"
        context.batch.partitions[name] = state.Partition(name, 1, 0.0)


@behave.then("no task was without a run for more than {seconds:g} s")
def step(context, seconds):
    longest_s = context.gaps.longest_s
    late = {str(task): s for task, s in longest_s.items() if s > seconds}
    assert longest_s and not late, late


@behave.then("no task runs on a worker that joined meanwhile")
def step(context):
    world = context.world
    assert not world.violations, world.violations
    runs = world.list_runs()
    assert len(runs) == len(context.gaps.tasks), runs
    assert all(name != "w-new" for name, _, _ in runs), runs


@behave.then("the process has ended and another instance owns the partition")
def step(context):
    assert not context.owner.alive
    owner = context.world.find_owner(DATA_CENTRE)
    assert owner is not None and owner is not context.owner


@behave.then(
    "it would acquire each of {count:d} partitions within {seconds:g} s"
)
def step(context, count, seconds):
    delays_s = []
    for number in range(count):
        name = f"{DATA_CENTRE}/r{number}"
        context.batch.known_partitions[name] = DATA_CENTRE
        delays_s.append(
            acquisition.compute_acquisition_delay(context.batch, name)
        )
    assert max(delays_s) <= seconds, max(delays_s)


@behave.given("an owner of three workers in full use and an instance elsewhere")
def step(context):
    world = batch_world.BatchWorld(1)
    for number in range(3):
        world.add_worker(f"w-{number}", DATA_CENTRE, 2000)
    world.add_node("e-0", DATA_CENTRE)
    world.add_node("e-1", "south")
    world.run(START_S)
    context.world = world
    submit_long_running_tasks(context, 6)


@behave.when(
    "the data centre of the draining worker is cut off for {seconds:g} s"
)
def step(context, seconds):
    world, name = context.world, context.worker_id
    inside, outside = world.nodes
    world.drain_worker(name)
    wait_for_list(context)
    context.gaps.run(0.5)
    inside.store_unreachable = True
    outside.unreachable_workers.update(world.workers)
    context.gaps.run(4.5)
    entries = dict(world.listed_workers)
    world.listed_workers.clear()
    context.gaps.run(seconds - 4.5)
    assert find_owner(context) is outside
    inside.store_unreachable = False
    outside.unreachable_workers.clear()
    # Room for the tasks of the draining worker.
    world.add_worker("w-new", DATA_CENTRE, 8000)
    for other, entry in entries.items():
        delay_s = 1.8 if other == name else 0.1
        world.schedule(
            delay_s,
            lambda other=other, entry=entry: world.listed_workers.update(
                {other: entry}
            ),
        )


@behave.given(
    "an owner of three workers with two tasks that must not share one"
)
def step(context):
    make_world(context, 8000)
    world = context.world
    amount = resources.Vector(1000, 100, 0)
    step = model.Step(2, amount, long_running=True, max_per_worker=1)
    world.submit(world.nodes[0], JOB, step)
    world.run(2.0)
    tasks = [model.TaskName(JOB, 0, 0, index) for index in range(2)]
    context.gaps = TaskGaps(world, tasks)
    assert len(world.list_runs()) == 2, world.list_runs()


@behave.when("both workers with tasks drain")
def step(context):
    world = context.world
    for name in sorted({name for name, _, _ in world.list_runs()}):
        world.drain_worker(name)


@behave.given("three small instances that own six partitions")
def step(context):
    world = batch_world.BatchWorld(1)
    for number in range(6):
        for worker in range(2):
            partition = f"{DATA_CENTRE}/r{number}"
            world.add_worker(f"w-{number}-{worker}", partition, 8000)
    for number in range(3):
        world.add_node(f"e-{number}", DATA_CENTRE, 0.2)
    world.run(20.0)
    amount = resources.Vector(1000, 100, 0)
    world.submit(world.nodes[0], JOB, model.Step(12, amount, long_running=True))
    context.world = world


@behave.when(
    "the owner of the partition with runs is killed late in a long poll"
)
def step(context):
    world = context.world
    world.run(4.2)
    context.runs = set(world.list_runs())
    name = min(context.runs, key=lambda run: run[0])[0]
    owner = world.find_owner(world.find_partition(name))
    world.kill(owner)
    world.run(12.0)


@behave.then("no run of the partition was started again")
def step(context):
    runs = set(context.world.list_runs())
    assert runs == context.runs, sorted(map(str, runs - context.runs))[:3]


@behave.given("a partition in full use beside empty ones")
def step(context):
    world = batch_world.BatchWorld(3)
    for number in range(2):
        world.add_worker(f"a-{number}", DATA_CENTRE, 3000, "r1-1")
    for number in range(4):
        world.add_node(f"e-{number}", DATA_CENTRE, 0.3)
    world.run(6.0)
    context.world = world
    submit_long_running_tasks(context, 6)
    for partition in range(1, 4):
        rack = f"r1-{1 + partition * model.RACKS_PER_PARTITION}"
        for number in range(2):
            name = f"b-{partition}-{number}"
            world.add_worker(name, DATA_CENTRE, 3000, rack)
    world.run(7.4)


@behave.when("a worker drains and exits and its owner shuts down 4 s later")
def step(context):
    world, name = context.world, context.worker_id
    partition = world.find_partition(name)
    world.drain_worker(name)
    context.gaps.run(3.0)
    world.end_worker(name)
    context.gaps.run(4.0)
    owner = world.find_owner(partition)
    world.deliver(owner, messages.ShutdownRequested())
    world.add_node("r-0", DATA_CENTRE, 0.3)


@behave.given("a worker with a long-running task and another partition")
def step(context):
    world = batch_world.BatchWorld(1)
    world.add_worker("w-0", DATA_CENTRE, 8000, "r1-1")
    for number in range(2):
        world.add_node(f"e-{number}", DATA_CENTRE)
    world.run(START_S)
    context.world = world
    submit_long_running_tasks(context, 1)
    rack = f"r1-{1 + model.RACKS_PER_PARTITION}"
    world.add_worker("w-1", DATA_CENTRE, 8000, rack)
    world.run(5.0)


@behave.when("the worker with the task crashes")
def step(context):
    context.world.end_worker(context.worker_id)


@behave.when(
    "a worker exits in a store outage of {seconds:g} s in which the owner "
    "shuts down"
)
def step(context, seconds):
    world = context.world
    owner = find_owner(context)
    world.store_down = True
    context.gaps.run(1.0)
    world.deliver(owner, messages.ShutdownRequested())
    context.gaps.run(0.5)
    world.end_worker(context.worker_id)
    context.gaps.run(seconds - 1.5)
    world.store_down = False


def wait_for_read(context, node):
    """Waits until an instance sends a read of the list of workers."""
    for _ in range(200):
        if node.batch.workers_read_sent_at == context.world.now:
            return
        context.world.run(0.02)
        sent_at = node.batch.workers_read_sent_at
        if sent_at is not None and context.world.now - sent_at < 0.05:
            return
    raise AssertionError("the instance has not read the list")


@behave.when(
    "the owner is killed and a worker drains during a slow read of the list"
)
def step(context):
    world = context.world
    world.worker_list_delay_s = 2.5
    owner = find_owner(context)
    successor = next(node for node in world.nodes if node is not owner)
    world.run(6.0)
    wait_for_read(context, successor)
    # An instance that owns nothing reads the list again after 3 s.
    world.run(1.9)
    world.kill(owner)
    world.run(0.2)
    wait_for_read(context, successor)
    world.run(0.1)
    world.drain_worker(context.worker_id)
    context.announced_at = world.now


@behave.when("jobs are submitted for {seconds:g} s")
def step(context, seconds):
    world = context.world
    world.run_duration_s = (0.3, 0.3)
    node = next(node for node in world.nodes if node.alive)
    amount = resources.Vector(200, 10, 0)
    end = world.now + seconds
    number = 100
    context.started = {}
    while world.now < end:
        number += 1
        world.submit(node, f"{number:016x}", model.Step(3, amount))
        for _ in range(5):
            world.run(0.02)
            for worker_id, task, run_number in world.list_runs():
                if worker_id == context.worker_id:
                    context.started.setdefault((task, run_number), world.now)


@behave.then(
    "nothing was started on that worker {seconds:g} s after its announcement"
)
def step(context, seconds):
    limit = context.announced_at + seconds + 0.02
    late = {
        str(run): at - context.announced_at
        for run, at in context.started.items()
        if at > limit and run[0].job_id != JOB
    }
    assert context.world.starts > len(context.started)
    assert not late, late


def wait_for_poll(context):
    """Waits until a poll has just extended the leases on the worker."""
    partition = find_owner(context).batch.partitions[DATA_CENTRE]
    worker = partition.workers[context.worker_id]
    for _ in range(200):
        context.world.run(0.02)
        if 0.01 < context.world.now - worker.polled_at < 0.05:
            return
    raise AssertionError("the worker was not polled")


def remove_capacity_elsewhere(context):
    """Leaves the other workers no room, so that no task moves to them."""
    world = context.world
    for name, worker in world.workers.items():
        if name != context.worker_id:
            worker.entry = attrs.evolve(
                worker.entry, capacity=resources.Vector(0, 0, 0)
            )
            world.listed_workers[name] = worker.entry
    context.gaps.run(2.0)


def expire_entry(context, heartbeats):
    """Removes the worker's entry after a number of missed heartbeats."""
    world = context.world
    world.schedule(
        heartbeats * world.limits.heartbeat_s,
        lambda: world.listed_workers.pop(context.worker_id),
    )


def isolate_worker(context):
    for node in context.world.nodes:
        node.unreachable_workers.add(context.worker_id)


@behave.when("a draining worker is cut off, its entry expires and {event}")
def step(context, event):
    world = context.world
    remove_capacity_elsewhere(context)
    world.drain_worker(context.worker_id)
    wait_for_poll(context)
    isolate_worker(context)
    # Two of three heartbeats were missed: the last came just before the cut.
    entry = world.listed_workers[context.worker_id]
    expire_entry(context, 2)
    world.add_worker("w-new", DATA_CENTRE, entry.capacity.cpu_millis)
    if event == "its owner is killed":
        world.kill(find_owner(context))


@behave.when(
    "a draining worker loses the store, and after {seconds:g} s all instances"
    " by resets"
)
def step(context, seconds):
    world, name = context.world, context.worker_id
    remove_capacity_elsewhere(context)
    world.drain_worker(name)
    cpu_millis = world.listed_workers[name].capacity.cpu_millis
    lose_store(context, seconds)
    wait_for_poll(context)
    world.call_faults.resetting_workers.add(name)
    isolate_worker(context)
    world.add_worker("w-new", DATA_CENTRE, cpu_millis)


def lose_store(context, seconds):
    """Cuts the worker from the store, but not from its owner."""
    expire_entry(context, 3)
    context.gaps.run(seconds)


@behave.when(
    "a draining worker loses the store for {seconds:g} s and then {event}"
)
def step(context, seconds, event):
    world = context.world
    remove_capacity_elsewhere(context)
    world.drain_worker(context.worker_id)
    wait_for_list(context)
    entry = world.listed_workers[context.worker_id]
    lose_store(context, seconds)
    wait_for_poll(context)
    owner = find_owner(context)
    if "no instance reaches it" in event:
        isolate_worker(context)
    if "shuts down" in event:
        world.deliver(owner, messages.ShutdownRequested())
    elif "is killed" in event:
        world.kill(owner)
    world.add_worker("w-new", DATA_CENTRE, entry.capacity.cpu_millis)


@behave.when(
    "a worker loses the store for {seconds:g} s and then its owner is killed"
)
def step(context, seconds):
    lose_store(context, seconds)
    context.world.kill(find_owner(context))


@behave.given("the only instance with long-running tasks on three workers")
def step(context):
    world = batch_world.BatchWorld(1)
    for number in range(3):
        world.add_worker(f"w-{number}", DATA_CENTRE, 8000)
    world.add_node("e-0", DATA_CENTRE)
    world.run(START_S)
    context.world = world
    submit_long_running_tasks(context, 6)


def lose_worker(context):
    """Ends a worker without a sign; its entry expires later."""
    world, name = context.world, context.worker_id
    world.isolated_workers.add(name)
    world.workers.pop(name)
    world.schedule(
        3 * world.limits.heartbeat_s, lambda: world.listed_workers.pop(name)
    )


def send_start(context):
    """Lets the owner send a start to the worker, which is still in flight.

    The other workers drain, so that they get no start.
    """
    world = context.world
    for name, worker in world.workers.items():
        if name != context.worker_id:
            worker.entry = attrs.evolve(worker.entry, draining=True)
            world.listed_workers[name] = worker.entry
    partition = find_owner(context).batch.partitions[DATA_CENTRE]
    context.gaps.run(1.5)
    starts = world.starts
    amount = resources.Vector(500, 100, 0)
    world.submit(find_owner(context), f"{2:016x}", model.Step(1, amount))
    for _ in range(400):
        world.run(0.0001)
        runs = partition.workers[context.worker_id].runs.values()
        if any(run.phase is state.RunPhase.STARTING for run in runs):
            assert world.starts == starts
            return
    raise AssertionError("no start was sent")


@behave.when(
    "its owner is asked to shut down with a start in flight to a worker"
)
def step(context):
    send_start(context)
    context.world.deliver(find_owner(context), messages.ShutdownRequested())


@behave.when("that worker is lost {seconds:g} s later")
def step(context, seconds):
    context.gaps.run(seconds)
    lose_worker(context)
    list_workers_again(context)


@behave.when(
    "a worker is lost and its owner is asked to shut down after a start"
)
def step(context):
    context.world.call_delay_s = (0.01, 0.01)
    send_start(context)
    lose_worker(context)
    context.world.deliver(find_owner(context), messages.ShutdownRequested())
    context.gaps.run(0.3)
    list_workers_again(context)


def list_workers_again(context):
    """Makes the other workers accept starts again."""
    world = context.world
    for name, worker in world.workers.items():
        worker.entry = attrs.evolve(worker.entry, draining=False)
        world.listed_workers[name] = worker.entry


@behave.when("the owner is asked to shut down and its release gets no answer")
def step(context):
    context.owner = find_owner(context)
    context.world.late_write_fraction = 1.0
    context.world.deliver(context.owner, messages.ShutdownRequested())


@behave.then("the process has not ended {seconds:g} s later")
def step(context, seconds):
    context.gaps.run(seconds)
    assert context.owner.alive


@behave.then("the process ends within {seconds:g} s")
def step(context, seconds):
    context.gaps.run(seconds)
    assert not context.owner.alive


@behave.when("a worker crashes and its owner is killed")
def step(context):
    context.gaps.run(2.0)
    owner = find_owner(context)
    lose_worker(context)
    context.world.kill(owner)


@behave.when(
    "a worker crashes, its owner is killed and starts again {seconds:g} s later"
)
def step(context, seconds):
    world = context.world
    context.gaps.run(2.0)
    del world.workers[context.worker_id]
    world.schedule(4.5, lambda: world.listed_workers.pop(context.worker_id))
    world.kill(find_owner(context))
    context.gaps.run(seconds)
    world.add_node("e-0", DATA_CENTRE)


@behave.when("the result of a read of the list is lost")
def step(context):
    batch = find_owner(context).batch
    # The owner takes a read as in flight whose result will never come.
    batch.workers_read_sent_at = context.world.now


@behave.then("the owner has read the list in the last {seconds:g} s")
def step(context, seconds):
    listed_at = find_owner(context).batch.workers_listed_at
    assert context.world.now - listed_at <= seconds, listed_at
