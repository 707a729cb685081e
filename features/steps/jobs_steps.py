"""Steps for jobs.feature."""

import attrs
import behave

from sapphirestall_core import jobs
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import policy
from sapphirestall_core import ranges
from sapphirestall_core import records
from sapphirestall_core import resources
from sapphirestall_core import submission

OTHER_DATA_CENTRE = "imouzzer"


@behave.when("a job with {fault} is submitted")
def step(context, fault):
    run = context.batch
    state = run.world.nodes["e0"].state
    state.policy = policy.Policy(teams={"press": policy.Team()})
    run.faults.store_down = fault == "the store down"
    options = {
        "too many processors": {"cpu_millis": 4001},
        "an unknown team": {"team": "nobody"},
        "an unknown data centre": {"data_centre": "nowhere"},
        "no size": {"cpu_millis": 0, "memory_mb": 0},
    }.get(fault, {})
    context.result = run.submit("j1", 1, 1, **options)


@behave.when("a submission of a job with {fault} is made")
def step(context, fault):
    tasks = 0 if fault == "no tasks" else 1
    options = {"cpu_millis": -1} if fault == "a negative size" else {}
    job_id = "a/b" if fault == "a slash in its id" else "j1"
    context.error = None
    try:
        context.batch.make_job(job_id, tasks, 1, **options)
    except ValueError as error:
        context.error = error


@behave.then("making it fails and names {field}")
def step(context, field):
    assert field in str(context.error), context.error


@behave.when('the job "{job_id}" is submitted again')
def step(context, job_id):
    context.result = context.batch.submit(job_id, 3, 1)


@behave.when('the job "{job_id}" is cancelled through {who}')
def step(context, job_id, who):
    run = context.batch
    owner = run.find_owner()
    other = next(e for e in run.entries if e != owner)
    command = operator_messages.CancelJob(job_id, "sefrou")
    through = owner if who == "its owner" else other
    context.result = run.call(command, through)


@behave.when("{count:d} jobs are submitted and all are cancelled at once")
def step(context, count):
    run = context.batch
    for number in range(count):
        run.submit(f"j{number}", 2, 60)
    run.world.run(3)
    context.calls_before = count_calls(run.world)
    for number in range(count):
        command = operator_messages.CancelJob(f"j{number}", "sefrou")
        run.world.send_operator_command("e0", command)
    run.world.run(1)
    context.calls = count_calls(run.world) - context.calls_before


def count_calls(world):
    """Returns the number of reads and writes of single keys."""
    return world.counts["store StorePut"] + world.counts["store StoreGet"]


@behave.given("an entry instance in another data centre")
def step(context):
    context.batch.world.add_entry("far", OTHER_DATA_CENTRE)
    context.batch.world.run(2)


@behave.when(
    "a job is submitted, shown and cancelled through the other data centre"
)
def step(context):
    run = context.batch
    key = ("j1", "sefrou")
    context.results = [run.submit("j1", 2, 60, "far")]
    run.world.run(3)
    for command in (
        operator_messages.ShowJob(*key),
        operator_messages.CancelJob(*key),
    ):
        context.results.append(run.call(command, "far"))


@behave.given("{count:d} batch workers fail every start")
def step(context, count):
    for name in context.batch.workers[:count]:
        context.batch.world.workers[name].fail_starts = True


@behave.when(
    "a job of {tasks:d} tasks of {run_s:g} s is submitted and rack 1 fails"
)
def step(context, tasks, run_s):
    run = context.batch
    run.submit("j1", tasks, run_s)
    run.world.run(0.02)
    run.world.unresponsive_workers.update(w for w in run.workers if w[1] == "1")


@behave.when(
    'all but the last task of job "{job_id}" are finished and the last one'
    " moves"
)
def step(context, job_id):
    run = context.batch
    partition = run.get_partition()
    share = partition.shares[job_id]
    finished = (jobs.Range(0, 6),)
    share.finished = ranges.build(finished)
    partition.progress = attrs.evolve(
        partition.progress, finished={job_id: finished}
    )
    partition.dirty_jobs.clear()
    # The record as it is when the move of task 7 is written after the commit.
    moved = attrs.evolve(
        share.job.record,
        slices=(jobs.Slice("rack0", 0, 6), jobs.Slice("rack9", 7, 7)),
    )
    key = jobs.make_job_key("sefrou", job_id)
    stored = run.world.store.put(
        key, moved, run.world.store.items[key].version, None
    )
    node = run.world.nodes["e0"]
    records.apply_record(
        moved, stored.version, stored.create_revision, node.state, run.world.now
    )


@behave.then('the first slice of job "{job_id}" is done')
def step(context, job_id):
    slices = context.batch.get_record(job_id).slices
    assert [part.done for part in slices] == [True, False], slices


@behave.then(
    "the job command fails with {code} and the store has {count:d} job records"
)
def step(context, code, count):
    result = context.result
    assert isinstance(result, operator_messages.Failure), result
    assert result.code == code, result
    assert len(context.batch.world.store.find("jobs/")) == count


@behave.then("the job command shows state {state}")
def step(context, state):
    assert context.result.state == state, context.result


@behave.then('no worker runs a task of job "{job_id}"')
def step(context, job_id):
    run = context.batch
    for worker in run.world.workers.values():
        worker.advance(run.world.now)
    assert not run.list_tasks(job_id, "running")


@behave.then('the owner keeps no state of job "{job_id}"')
def step(context, job_id):
    run = context.batch
    node = run.world.nodes[run.find_owner()]
    assert job_id not in node.state.tasks.jobs
    assert not run.get_partition().attempts


@behave.then("all {count:d} jobs are cancelled and no worker runs a task")
def step(context, count):
    run = context.batch
    states = [
        stored.value.state.value for stored in run.world.store.find("jobs/")
    ]
    assert states == ["cancelled"] * count, states
    for worker in run.world.workers.values():
        worker.advance(run.world.now)
        assert not run.find_running(worker)


@behave.then("the cancellations took at most {each:d} store calls for each job")
def step(context, each):
    assert context.calls <= 60 * each, context.calls


@behave.then(
    "every instance shows {running:d} running and {waiting:d} waiting tasks"
    ' of job "{job_id}"'
)
def step(context, running, waiting, job_id):
    for entry in context.batch.entries:
        command = operator_messages.ShowJob(job_id, "sefrou")
        shown = context.batch.call(command, entry)
        assert (shown.running_tasks, shown.waiting_tasks) == (
            running,
            waiting,
        ), shown


@behave.then("each of these job commands succeeded")
def step(context):
    states = [getattr(r, "state", r) for r in context.results]
    assert states == ["waiting", "running", "cancelled"], states


@behave.then('the job "{job_id}" is {state}')
def step(context, job_id, state):
    record = context.batch.get_record(job_id)
    assert record.state.value == state, record


@behave.then('the reason of job "{job_id}" is "{reason}"')
def step(context, job_id, reason):
    command = operator_messages.ShowJob(job_id, "sefrou")
    shown = context.batch.call(command)
    assert shown.reason == reason, shown


@behave.when(
    "{tasks:d} tasks are divided over {count:d} partitions with free capacity"
    " for {free:d} each"
)
def step(context, tasks, count, free):
    capacity = resources.Vector(100_000, 100_000)
    partitions = [
        peer_messages.PartitionRoom(
            f"rack{number}",
            resources.Vector(free * 1000, 100_000),
            (capacity,),
        )
        for number in range(count)
    ]
    size = resources.Vector(1000, 100)
    context.tasks = tasks
    context.slices = submission.divide("j1", tasks, size, partitions)


@behave.then("the job has {count:d} slices of at most {largest:d} tasks")
def step(context, count, largest):
    sizes = [part.last - part.first + 1 for part in context.slices]
    assert len(sizes) == count and max(sizes) <= largest, sizes
    firsts = sorted(part.first for part in context.slices)
    assert firsts[0] == 0 and sum(sizes) == context.tasks


@behave.when("another batch job keeps every worker busy with short tasks")
def step(context):
    context.batch.submit("j1", 20, 2)


@behave.when("a job is submitted whose tasks always fail")
def step(context):
    for worker in context.batch.world.workers.values():
        worker.failing_kinds.add("broken")
    context.batch.submit("j2", 1, 5, kind="broken")


@behave.then("that job fails within {limit_s:g} s")
def step(context, limit_s):
    run = context.batch
    failed = run.world.run_until(lambda: run.has_ended("j2", "failed"), limit_s)
    assert failed, run.list_starts("j2")


@behave.when("a job of another kind with {tasks:d} tasks is submitted")
def step(context, tasks):
    context.batch.submit("j2", tasks, 2, kind="reconciliation")


@behave.then("it has started {tasks:d} tasks within {limit_s:g} s")
def step(context, tasks, limit_s):
    run = context.batch
    assert run.world.run_until(
        lambda: len(run.list_starts("j2")) >= tasks, limit_s
    ), (run.list_starts("j2"), len(run.list_starts("j1")))
