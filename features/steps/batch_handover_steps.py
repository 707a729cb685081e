"""Steps for batch_handover.feature."""

import behave

from features import batch_owners
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import live_records
from sapphirestall_core.batch import model
from sapphirestall_core.batch import owner_keys
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_lease
from sapphirestall_core.batch import summaries
from standins import batch_call_faults
from standins import batch_world

STEP_S = 0.0002
CALL_S = 0.01
# Longest time in which an instance becomes the next owner, in seconds.
TAKEOVER_S = 5.0
# Time in which an owner sends the starts of a new job, in seconds.
SUBMISSION_S = 0.5
ROOM_MILLIS = 8000
SMALL_MILLIS = 2000
JOB_MILLIS = 4000
RUN_S = 200.0
BEFORE_ACQUISITION_S = 0.05
# The owner of the first data centre acquires this one sooner than the other
# instance there.
ACQUIRED_DATA_CENTRE = "west"
ALL_CALLS = 1000
STORE_FAULTS = {
    "are refused": batch_call_faults.StoreFault.REFUSED,
    "get no answer": batch_call_faults.StoreFault.UNANSWERED,
}


def run_until(world, is_reached):
    """Runs the simulation until a condition holds."""
    end = world.now + TAKEOVER_S
    while not is_reached():
        assert world.now < end, "the condition was not reached"
        world.run(STEP_S)


def get_successor(context):
    (successor,) = batch_owners.list_others(context)
    return successor


def get_partition(node):
    return node.batch.partitions.get(batch_owners.DATA_CENTRE)


def is_active(node):
    partition = get_partition(node)
    return partition is not None and partition.phase is state.Phase.ACTIVE


@behave.when("lists of jobs take {seconds:g} s")
def step(context, seconds):
    context.world.list_delay_s = (seconds, seconds)


@behave.when("the owner is killed")
def step(context):
    context.world.kill(context.owner)


@behave.when("the new owner loses the worker as soon as it is active")
def step(context):
    world, successor = context.world, get_successor(context)
    run_until(world, lambda: is_active(successor))
    successor.unreachable_workers.add(context.worker_id)


@behave.then("the worker has seen the token of the new owner")
def step(context):
    context.world.run(CALL_S)
    worker = context.world.workers[context.worker_id]
    assert worker.fence == get_partition(get_successor(context)).token


@behave.when("the releases of the owner {fault}")
def step(context, fault):
    context.world.call_faults.fail_store_calls(
        context.owner.name,
        releases.ReleaseWrite,
        STORE_FAULTS[fault],
        ALL_CALLS,
    )


@behave.when("the owner shuts down")
def step(context):
    context.world.deliver(context.owner, messages.ShutdownRequested())


@behave.when("the next owner reaches one worker, which refuses its calls")
def step(context):
    world, successor = context.world, get_successor(context)
    context.refusing_id = min(set(world.workers) - {context.worker_id})
    successor.unreachable_workers = set(world.workers) - {context.refusing_id}
    world.call_faults.refusing_workers.add(
        (successor.name, context.refusing_id)
    )


@behave.when("its first read of the roster is refused")
def step(context):
    context.world.call_faults.fail_store_calls(
        get_successor(context).name,
        rosters.RosterRead,
        batch_call_faults.StoreFault.REFUSED,
        1,
    )


@behave.when("that owner loses this worker after the first refusal")
def step(context):
    world, successor = context.world, get_successor(context)
    run_until(
        world, lambda: any(log.text == "refused" for _, log in successor.logs)
    )
    successor.unreachable_workers.add(context.refusing_id)
    assert context.owner.batch.partitions


@behave.when("that owner reaches a worker other than those two")
def step(context):
    successor = get_successor(context)
    successor.unreachable_workers = {context.worker_id, context.refusing_id}


@behave.given(
    "an owner of three workers whose starts are carried out {seconds:g} s late"
)
def step(context, seconds):
    batch_owners.make_world(context)
    world = context.world
    for number in range(2):
        world.add_node(f"e-{number}", batch_owners.DATA_CENTRE)
    world.run(batch_owners.START_S)
    context.owner = world.find_owner(batch_owners.DATA_CENTRE)
    world.late_commands_survive_restart = True
    world.late_start_fraction = 1.0
    world.late_start_s = (seconds, seconds)
    world.submit(context.owner, batch_owners.JOB, batch_owners.make_step())
    world.run(SUBMISSION_S)
    world.late_start_fraction = 0.0
    assert not world.list_runs()
    workers = get_partition(context.owner).workers
    context.worker_id = max(workers, key=lambda name: len(workers[name].runs))
    assert workers[context.worker_id].runs


@behave.when("the worker restarts")
def step(context):
    context.world.add_worker(
        context.worker_id, batch_owners.DATA_CENTRE, batch_owners.CPU_MILLIS
    )


@behave.given("the owner of another partition is killed")
def step(context):
    world = context.world
    other = ACQUIRED_DATA_CENTRE
    batch_owners.add_workers(world, other)
    node = world.add_node("e-other", other)
    world.run(batch_owners.START_S)
    assert world.find_owner(other) is node
    assert world.find_owner(batch_owners.DATA_CENTRE) is context.owner
    world.kill(node)
    world.nodes.remove(node)


@behave.when(
    "the owner reaches the store again just before it acquires that partition"
)
def step(context):
    world, batch = context.world, context.owner.batch
    name = ACQUIRED_DATA_CENTRE
    delay_s = acquisition.compute_acquisition_delay(batch, name)
    due_at = batch.vacancies[name].since + delay_s
    world.run(due_at - BEFORE_ACQUISITION_S - world.now)
    context.owner.store_unreachable = False


@behave.when("its renewals and its calls that show its successor get no answer")
def step(context):
    for purpose in (
        store_lease.LeaseRenewal,
        owner_reads.OwnersRead,
        owner_keys.OwnersWatch,
        live_records.JobsRead,
        live_records.JobsWatch,
        commits.Commit,
        summaries.SummaryWrite,
        rosters.RosterWrite,
    ):
        context.world.call_faults.fail_store_calls(
            context.owner.name,
            purpose,
            batch_call_faults.StoreFault.UNANSWERED,
            ALL_CALLS,
        )


@behave.when("{seconds:g} s later its calls get answers again")
def step(context, seconds):
    context.world.run(seconds)
    context.world.call_faults.store_calls.clear()


@behave.then("it has not acquired that partition")
def step(context):
    batch = context.owner.batch
    assert ACQUIRED_DATA_CENTRE not in batch.vacancies
    assert ACQUIRED_DATA_CENTRE not in batch.partitions


def list_orders(world):
    """Returns the log fields of all starts that instances sent, in order."""
    logs = [log for node in world.nodes for log in node.logs]
    logs.sort(key=lambda entry: entry[0])
    return [log.fields for _, log in logs if log.text == "order"]


@behave.given("a job that only one worker of its data centre has room for")
def step(context):
    world = context.world = batch_world.BatchWorld(1)
    world.run_duration_s = (RUN_S, RUN_S)
    world.add_worker("w-room", batch_owners.DATA_CENTRE, ROOM_MILLIS)
    world.add_worker("w-small", batch_owners.DATA_CENTRE, SMALL_MILLIS)
    world.add_worker("w-other", batch_owners.OTHER_DATA_CENTRE, ROOM_MILLIS)
    for number in range(2):
        world.add_node(f"e-{number}", batch_owners.DATA_CENTRE)
    world.add_node("e-other", batch_owners.OTHER_DATA_CENTRE)
    world.run(batch_owners.START_S)
    context.owner = world.find_owner(batch_owners.DATA_CENTRE)
    context.worker_id = "w-room"
    amount = resources.Vector(JOB_MILLIS, 100, 0)
    world.submit(context.owner, batch_owners.JOB, model.Step(1, amount))
    world.run(SUBMISSION_S)
    assert [name for name, _, _ in world.list_runs()] == ["w-room"]


@behave.then("the job has been started in the other data centre")
def step(context):
    names = [fields["worker"] for fields in list_orders(context.world)]
    assert names == ["w-room", "w-other"], names


@behave.then("no two runs of the job have the same number")
def step(context):
    numbers = [fields["run"] for fields in list_orders(context.world)]
    assert len(set(numbers)) == len(numbers), list_orders(context.world)
