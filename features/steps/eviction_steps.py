"""Steps for eviction.feature."""

import behave

from sapphirestall_core import commands
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state


@behave.given("every batch checkpoint fails")
def step(context):
    for worker in context.batch.world.workers.values():
        worker.fail_checkpoints = True


@behave.when(
    '{count:d} tasks of batch job "{job_id}" are evicted while {event}'
)
def step(context, count, job_id, event):
    run = context.batch
    world, owner = run.world, run.find_owner()
    run.faults.duplication = 1.0 if event == "commands arrive twice" else 0.0
    run.faults.lost_answers = 1.0 if event == "the store loses answers" else 0.0
    if event == "a third of the messages is lost":
        run.faults.loss = 0.33
    evicted = run.evict(job_id, count)
    assert len(evicted) == count, evicted
    world.run(0.005)
    match event:
        case "they are evicted a second time":
            run.evict(job_id, count)
        case "the owner is killed":
            world.kill(owner)
        case "the owner is paused":
            world.pause(owner, 25)
        case "the owner shuts down":
            run.shut_down(owner)
        case "a worker restarts":
            world.restart_worker(run.workers[0])
    world.run(8)
    run.faults.duplication = run.faults.lost_answers = run.faults.loss = 0.0


@behave.then(
    'every batch task of "{job_id}" that was started again has a checkpoint'
)
def step(context, job_id):
    run = context.batch
    names_by_task = {}
    for name in run.list_starts(job_id):
        names_by_task.setdefault(name.rsplit(".", 1)[0], []).append(name)
    restarted = {
        task for task, names in names_by_task.items() if len(names) > 1
    }
    assert restarted
    # A checkpoint is named after the attempt that took it.
    resumed = [
        task
        for task in run.list_tasks(job_id, "finished")
        if task.name.rsplit(".", 1)[0] in restarted
    ]
    for task in resumed:
        assert task.checkpoint, task


@behave.then('every batch task of "{job_id}" that finished was started last')
def step(context, job_id):
    run = context.batch
    newest = {}
    for name in run.list_starts(job_id):
        subject, attempt = name.rsplit(".", 1)
        newest[subject] = max(newest.get(subject, 0), int(attempt))
    finished = run.list_tasks(job_id, "finished")
    for task in finished:
        subject, attempt = task.name.rsplit(".", 1)
        assert int(attempt) == newest[subject], task


@behave.when(
    'the second attempt of job "{job_id}" is to be stopped but no command'
    " arrives"
)
def step(context, job_id):
    run = context.batch
    partition = run.get_partition()
    (attempt,) = partition.attempts.values()
    starts = run.list_starts(job_id)
    assert len(starts) == 2 and str(attempt.name) == starts[-1], starts
    run.world.disconnect([run.find_owner()], run.workers)
    attempt.phase = tasks_state.Phase.STOPPING
    job, task, number = starts[0].rsplit(".", 2)
    context.first_attempt = task_messages.AttemptName(
        job, int(task), int(number)
    )


@behave.when("the stop of its first attempt is acknowledged once more")
def step(context):
    run = context.batch
    partition = run.get_partition()
    worker = partition.workers[run.workers[0]]
    stop = commands.make_stop(context.first_attempt, worker, partition)
    done = task_messages.CommandDone(worker.worker_id, run.world.now, stop)
    run.world.deliver(run.world.nodes[run.find_owner()], done)


@behave.then('the second attempt of job "{job_id}" is still the current one')
def step(context, job_id):
    run = context.batch
    attempts = run.get_partition().attempts.values()
    current = [str(attempt.name) for attempt in attempts]
    assert current == run.list_starts(job_id)[1:], current
