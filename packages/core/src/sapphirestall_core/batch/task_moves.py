"""Choice of partitions for long-running tasks that move alone.

Each partition that runs some of a job's tasks has a copy of the job's record.
"""

from collections.abc import Iterable

import attrs

from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import move_delays
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity

# Highest number of partitions that may run tasks of one job. A transaction has
# at most 32 entries; the one that stores the end of a job needs one for each of
# them and six others.
MAX_COPIES = 26
# A long-running task for which only partitions have room that found no worker
# for it may move after this longer time, in seconds. Constraints may exclude
# it from that room, and it would move from one to another without end.
RETRIED_DELAY_S = 1.5
# A long-running task without a nominated worker moves to capacity that finite
# tasks use elsewhere after this time, in seconds. Before, one may be nominated
# for it here, and free capacity elsewhere is used first.
YIELDING_DELAY_S = 1.0


def plan_moves(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
    now: float,
) -> records.JobRecord | None:
    """Chooses partitions for the waiting long-running tasks of a job.

    Args:
        batch: State of this instance.
        partition: Partition that has the tasks.
        job: The job.
        others: Summaries of the other partitions that can run the job.
        now: Monotonic time, in seconds.

    Returns:
        The changed record; None if no task can be moved.
    """
    moved = dict(job.record.moved)
    lost_run = move_delays.may_have_lost_run(partition, job, now)
    for number, step in enumerate(job.steps):
        if not step.step.long_running:
            continue
        for index, task in step.runnable.items():
            if not move_delays.has_waited(task, lost_run, now):
                continue
            if not _has_room(batch, others, job, step.step):
                break
            planned = attrs.evolve(job.record, moved=moved)
            move = _plan_task_move(batch, partition, planned, task, others, now)
            if move is not None:
                moved[records.make_task_key(number, index)] = move
    if moved == job.record.moved:
        return None
    return _change_moved(job, moved)


def plan_move_to_yielding(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
    now: float,
) -> records.JobRecord | None:
    """Chooses capacity that finite tasks use elsewhere for a task of a job.

    Args:
        batch: State of this instance.
        partition: Partition that has the task.
        job: The job.
        others: Summaries of the other partitions that can run the job.
        now: Monotonic time, in seconds.

    Returns:
        The changed record; None if no task can be moved.
    """
    for number, step in enumerate(job.steps):
        if not step.step.long_running or step.step.fills:
            continue
        for index, task in step.runnable.items():
            if not _may_claim(task, now):
                continue
            move = _plan_task_move(
                batch, partition, job.record, task, others, now, yielding=True
            )
            if move is None:
                break
            key = records.make_task_key(number, index)
            return _change_moved(job, {**job.record.moved, key: move})
    return None


def _change_moved(
    job: state.Job, moved: dict[str, records.MovedTask]
) -> records.JobRecord:
    """Returns the record of a job whose long-running tasks move."""
    return attrs.evolve(
        job.record, moved=moved, has_started=job.start_confirmed
    )


def _may_claim(task: state.Task, now: float) -> bool:
    """Returns whether a task has waited and has no worker nominated."""
    if task.nomination is not None and task.nomination.worker_id:
        return False
    return (
        task.unplaced_since is not None
        and now - task.unplaced_since >= YIELDING_DELAY_S
    )


def list_moves(
    job: state.Job, record: records.JobRecord
) -> list[records.MovedTask]:
    """Returns the moves of tasks that a planned record adds to a job."""
    return [
        move
        for key, move in record.moved.items()
        if move != job.record.moved.get(key)
    ]


def _has_room(
    batch: state.Batch,
    names: Iterable[str],
    job: state.Job,
    step: model.Step,
) -> bool:
    """Returns whether one of some partitions has room for a task of a step.

    Without any, an owner does not plan for each of many tasks what no partition
    can run.
    """
    return any(
        summary_capacity.count_fitting_tasks(
            batch.summaries[name], job.queue.service, step, 1
        )
        for name in names
    )


def _plan_task_move(
    batch: state.Batch,
    partition: state.Partition,
    record: records.JobRecord,
    task: state.Task,
    others: dict[str, records.SummaryRecord],
    now: float,
    *,
    yielding: bool = False,
) -> records.MovedTask | None:
    """Chooses a partition for a waiting long-running task.

    Prefers partitions that have not tried to run the task since its last run,
    then the one that tried it first. A summary shows free capacity, but not
    whether the constraints of the step allow a worker to run the task, so that
    the task could otherwise move between partitions that cannot run it.

    Args:
        batch: State of this instance.
        partition: Partition that has the task.
        record: Record of the job with the moves that are planned already.
        task: The task; it has waited long enough to move.
        others: Summaries of the other partitions that can run the job.
        now: Monotonic time, in seconds.
        yielding: Whether the task gets, in place of free capacity, what finite
            tasks leave to it.

    Returns:
        The move; None if no other partition has enough capacity.
    """
    number, index = task.name.step, task.name.index
    key = records.make_task_key(number, index)
    placed = records.count_step_tasks(record, number)
    names = _list_allowed(record, task, others, placed)
    tried = _list_tried_partitions(record, task, partition)
    choices = [[name for name in names if name not in tried]]
    assert task.unplaced_since is not None
    if now - task.unplaced_since >= RETRIED_DELAY_S:
        choices += [[name] for name in tried if name in names]
    subject = f"{record.job_id}.{key}"
    for choice in choices:
        chosen = routing.choose_for_task(
            batch,
            choice,
            task.step,
            subject,
            placed,
            record.queue.service,
            yielding=yielding,
        )
        if chosen is not None:
            others_tried = [name for name in tried if name != partition.name]
            return records.MovedTask(
                chosen, task.next_run_number, (*others_tried, partition.name)
            )
    return None


def _list_allowed(
    record: records.JobRecord,
    task: state.Task,
    others: dict[str, records.SummaryRecord],
    placed: dict[str, int],
) -> list[str]:
    """Returns the partitions that a task may move to.

    They have, or may get, a copy of the job's record, and may have a worker for
    another task of the step.

    Args:
        record: Record of the job with the moves that are planned already.
        task: The task.
        others: Summaries of the other partitions that can run the job.
        placed: Number of tasks of the step that each partition has already.
    """
    key = records.make_task_key(task.name.step, task.name.index)
    others_moved = {
        other_key: move
        for other_key, move in record.moved.items()
        if other_key != key
    }
    copies = records.list_partitions(attrs.evolve(record, moved=others_moved))
    service = record.queue.service
    return [
        name
        for name, summary in others.items()
        if (len(copies) < MAX_COPIES or name in copies)
        and routing.has_worker_left(
            summary, service, task.step, placed.get(name, 0)
        )
    ]


def _list_tried_partitions(
    record: records.JobRecord, task: state.Task, partition: state.Partition
) -> tuple[str, ...]:
    """Returns the partitions that found no worker for a task before this one.

    Returns:
        The partitions, in the order in which they last did; none of them if
        the task has run in this partition.
    """
    number, index = task.name.step, task.name.index
    move = record.moved.get(records.make_task_key(number, index))
    first_number = jobs.find_first_run_number(record, number, index, partition)
    if move is None or task.next_run_number != first_number:
        return ()
    return move.tried
