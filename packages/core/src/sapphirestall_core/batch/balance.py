"""Moves of jobs and tasks from one partition to another.

The owner of a partition moves what it cannot start. It moves a job as a whole,
with its progress, once no run of it can exist. Of a job with long-running tasks
it moves single tasks, and each partition that runs some of them has a copy of
the job's record.

A move is one store transaction that writes all copies of the record. It has an
effect only if this instance still owns the partition and the record has not
changed since it was read.
"""

import collections

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity
from sapphirestall_core.batch import summary_reads

PART = "balance"
# A task may move when no worker was found for it for this time, in seconds.
MOVE_DELAY_S = 0.4
# The same for a long-running task that may have lost its run within this time:
# it has waited for the end of leases, and other partitions have had room.
LOST_RUN_MOVE_DELAY_S = 0.1
RECENT_LOSS_S = 12.0
# A job that has started may move after this longer time, in seconds.
STARTED_MOVE_DELAY_S = 1.2
# Summaries that were read longer ago than this, in seconds, are read again
# before a move.
MAX_SUMMARY_AGE_S = 0.9
# The same for the summaries of all data centres while a long-running task
# waits, which has to run within 3 s where there is room. With the interval of
# the periodic checks, which read them, they are read every 0.5 s.
MAX_SUMMARY_AGE_FOR_TASKS_S = 0.4
# Mean time until a write with unknown outcome is repeated, in seconds.
MOVE_RETRY_S = 0.2
# Highest number of partitions that may run tasks of one job. A transaction has
# at most 32 entries; the one that stores the end of a job needs one for each of
# them and six others.
MAX_COPIES = 26
# Highest number of jobs that an owner moves at a time. It is low because the
# summaries by which their partitions are chosen lag.
MAX_MOVES = 3


@attrs.frozen
class MoveWrite(store_messages.Purpose):
    """Purpose of the write of a job's record that moves the job or its tasks.

    Attributes:
        partition: Partition whose owner makes the move.
        token: Fencing token of the owner.
        loaded: The changed record, with the revisions of the record that it
            replaces.
    """

    partition: str
    token: int
    loaded: state.LoadedJob


@attrs.frozen
class MoveRetryDue(messages.Timer):
    """Timer to repeat the write of a move whose outcome is unknown.

    Attributes:
        purpose: The write that is repeated.
    """

    purpose: MoveWrite


def move_unplaced_jobs(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Moves jobs and tasks for which no worker was found to other partitions.

    Reads the summaries of the partitions first if they are too old to choose
    by, and often while a long-running task waits. A job is not moved while runs
    that former owners started may exist.
    """
    if partition.phase is not state.Phase.ACTIVE or batch.shutting_down:
        return []
    effects: dispatch.Effects = []
    if _has_unplaced_long_running_task(partition):
        effects = summary_reads.keep_recent(
            batch, MAX_SUMMARY_AGE_FOR_TASKS_S, now
        )
    unplaced = [
        job
        for job in partition.jobs.values()
        if _has_unplaced_task(partition, job, now)
    ]
    if not unplaced:
        return effects
    if now - batch.summaries_read_at > MAX_SUMMARY_AGE_S:
        return effects + summary_reads.read_summaries(batch, now)
    return effects + _start_moves(batch, partition, unplaced, now)


@dispatch.handle.register(summary_reads.SummariesUpdated)
def move_after_read(
    event: summary_reads.SummariesUpdated, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Moves what other partitions can run according to new summaries."""
    effects: dispatch.Effects = []
    for partition in batch.partitions.values():
        effects += move_unplaced_jobs(batch, partition, now)
    return effects


def _start_moves(
    batch: state.Batch,
    partition: state.Partition,
    unplaced: list[state.Job],
    now: float,
) -> dispatch.Effects:
    """Moves at most `MAX_MOVES` of the jobs that have waited long enough.

    Of the jobs of one priority those with long-running tasks come first: their
    tasks have to run again within seconds where there is room.
    """
    progress = former_runs.check_progress(partition, now)
    unplaced.sort(
        key=lambda job: (
            job.queue.priority,
            not any(step.step.long_running for step in job.steps),
            job.create_revision,
        )
    )
    effects: dispatch.Effects = []
    for job in unplaced:
        # A move has two effects: a log line and a write.
        if len(effects) >= 2 * MAX_MOVES:
            break
        if progress.allows(job):
            effects += _start_move(batch, partition, job, now)
    return effects


def _has_unplaced_long_running_task(partition: state.Partition) -> bool:
    """Returns whether no worker was found for a task that moves alone."""
    return any(
        task.unplaced_since is not None
        for job in partition.jobs.values()
        if job.final_state is None
        for step in job.steps
        if step.step.long_running
        for task in step.runnable.values()
    )


def _has_unplaced_task(
    partition: state.Partition, job: state.Job, now: float
) -> bool:
    """Returns whether a task of a job has waited so long that it may move."""
    if job.move_in_flight or job.final_state is not None:
        return False
    lost_run = _may_have_lost_run(partition, job, now)
    return any(
        task.unplaced_since is not None
        and now - task.unplaced_since > _choose_move_delay(task, lost_run)
        for step in job.steps
        for task in step.runnable.values()
    )


def _may_have_lost_run(
    partition: state.Partition, job: state.Job, now: float
) -> bool:
    """Returns whether tasks of a job may have lost their runs recently.

    The owner gave up their worker, or it took them over without their runs.
    """
    if now - job.runs_lost_at < RECENT_LOSS_S:
        return True
    was_taken_over = job.create_revision < partition.token
    return was_taken_over and now - partition.acquired_at < RECENT_LOSS_S


def _choose_move_delay(task: state.Task, lost_run: bool) -> float:
    """Returns how long a task waits for a worker before it may move.

    A long-running task moves alone and should run again soon. Other tasks move
    with their whole job, which has to be worth it once the job has started.

    Args:
        task: The task.
        lost_run: Whether tasks of its job may have lost their runs recently.

    Returns:
        Time in seconds.
    """
    if task.step.long_running and lost_run:
        return LOST_RUN_MOVE_DELAY_S
    if task.step.long_running or not task.job.start_sent:
        return MOVE_DELAY_S
    return STARTED_MOVE_DELAY_S


def _start_move(
    batch: state.Batch, partition: state.Partition, job: state.Job, now: float
) -> dispatch.Effects:
    """Moves a job or some of its tasks if another partition can run them."""
    others = _list_others(batch, partition, job, now)
    record: records.JobRecord | None = None
    if any(step.step.long_running for step in job.steps):
        record = _plan_task_moves(batch, partition, job, others, now)
    elif is_idle(partition, job):
        record = _plan_job_move(batch, partition, job, others)
    if record is None:
        return []
    job.move_in_flight = True
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    return [
        _make_log(batch, partition, job, record, now),
        _make_move_write(
            partition, MoveWrite(partition.name, partition.token, loaded)
        ),
    ]


def _make_log(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    record: records.JobRecord,
    now: float,
) -> messages.Log:
    """Returns the log line of a move.

    For each partition that tasks move to it has their number, and of all these
    tasks the number of those that were tried elsewhere since their last run.
    """
    moved = [
        move
        for key, move in record.moved.items()
        if move != job.record.moved.get(key)
    ]
    counts = collections.Counter(move.partition for move in moved)
    targets = ",".join(f"{name}:{counts[name]}" for name in sorted(counts))
    fields = {
        "job": record.job_id,
        "from": partition.name,
        "to": targets or record.partition,
        "tasks": len(moved),
        "moved_again": sum(len(move.tried) > 1 for move in moved),
        "summary_age_s": round(now - batch.summaries_read_at, 3),
    }
    return messages.Log(PART, "move", fields)


def _list_others(
    batch: state.Batch, partition: state.Partition, job: state.Job, now: float
) -> dict[str, records.SummaryRecord]:
    """Returns the summaries of the other partitions that can run a job.

    They have workers for all of its unfinished steps or, if there is no such
    partition, for the steps that wait. The job may move again for later steps.
    """
    others = {
        name: summary
        for name, summary in routing.list_fresh_summaries(batch, now).items()
        if name != partition.name
    }
    unfinished = tuple(step.step for step in job.steps if step.unfinished)
    for steps in (unfinished, _list_waiting_steps(job)):
        found = {
            name: summary
            for name, summary in others.items()
            if routing.can_run(summary, job.queue.service, steps)
        }
        if found:
            return found
    return {}


def _list_waiting_steps(job: state.Job) -> tuple[model.Step, ...]:
    """Returns the steps of a job that have tasks which wait for a worker."""
    return tuple(step.step for step in job.steps if step.runnable)


def is_idle(partition: state.Partition, job: state.Job) -> bool:
    """Returns whether a job has no runs and all its progress is stored."""
    if not job.start_sent:
        return True
    if job.record.job_id in partition.dirty_jobs or partition.commit_in_flight:
        return False
    return not any(
        task.run is not None
        for step in job.steps
        for task in step.unfinished.values()
    )


def _plan_task_moves(
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
    lost_run = _may_have_lost_run(partition, job, now)
    for number, step in enumerate(job.steps):
        if not step.step.long_running:
            continue
        for index, task in step.runnable.items():
            if (
                task.unplaced_since is None
                or now - task.unplaced_since
                < _choose_move_delay(task, lost_run)
            ):
                continue
            planned = attrs.evolve(job.record, moved=moved)
            move = _plan_task_move(batch, partition, planned, task, others)
            if move is not None:
                moved[records.make_task_key(number, index)] = move
    if moved == job.record.moved:
        return None
    return attrs.evolve(job.record, moved=moved)


def _plan_task_move(
    batch: state.Batch,
    partition: state.Partition,
    record: records.JobRecord,
    task: state.Task,
    others: dict[str, records.SummaryRecord],
) -> records.MovedTask | None:
    """Chooses a partition for a waiting long-running task.

    Prefers partitions that have not tried to run the task since its last run.
    A summary shows free capacity, but not whether the constraints of the step
    allow a worker to run the task, so that the task could otherwise move
    between partitions that cannot run it.

    Args:
        batch: State of this instance.
        partition: Partition that has the task.
        record: Record of the job with the moves that are planned already.
        task: The task.
        others: Summaries of the other partitions that can run the job.

    Returns:
        The move; None if no other partition has enough free capacity.
    """
    number, index = task.name.step, task.name.index
    key = records.make_task_key(number, index)
    others_moved = {
        other_key: move
        for other_key, move in record.moved.items()
        if other_key != key
    }
    copies = records.list_partitions(attrs.evolve(record, moved=others_moved))
    placed = records.count_step_tasks(record, number)
    service = record.queue.service
    names = [
        name
        for name, summary in others.items()
        if (len(copies) < MAX_COPIES or name in copies)
        and routing.has_worker_left(
            summary, service, task.step, placed.get(name, 0)
        )
    ]
    tried = (*_list_tried_partitions(record, task, partition), partition.name)
    untried = [name for name in names if name not in tried]
    subject = f"{record.job_id}.{key}"
    name = routing.choose_for_task(
        batch, untried, task.step, subject, placed, service
    )
    if name is None:
        tried = (partition.name,)
        name = routing.choose_for_task(
            batch, names, task.step, subject, placed, service
        )
    if name is None:
        return None
    return records.MovedTask(name, task.next_run_number, tried)


def _list_tried_partitions(
    record: records.JobRecord, task: state.Task, partition: state.Partition
) -> tuple[str, ...]:
    """Returns the partitions that found no worker for a task before this one.

    Returns:
        None of them if the task has run in this partition.
    """
    number, index = task.name.step, task.name.index
    move = record.moved.get(records.make_task_key(number, index))
    first_number = jobs.find_first_run_number(record, number, index, partition)
    if move is None or task.next_run_number != first_number:
        return ()
    return move.tried


def _plan_job_move(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
) -> records.JobRecord | None:
    """Chooses another partition for a job as a whole.

    Args:
        batch: State of this instance.
        partition: Partition that has the job.
        job: The job.
        others: Summaries of the other partitions that can run the job.

    Returns:
        The changed record; None if no other partition is better.
    """
    # A job that has not started has to fit as a whole.
    candidates = (
        _list_waiting_steps(job) if job.start_sent else job.record.steps
    )
    step = max(candidates, key=lambda step: step.count * step.amount.cpu_millis)
    own_summary = batch.summaries.get(partition.name)
    if own_summary is None or not others:
        return None
    steps, service = job.record.steps, job.queue.service
    if step.fills:
        loads = {
            name: routing.estimate_load(
                batch.division, name, others[name], steps
            )
            for name in others
        }
        target = routing.choose_by_load(loads, job.record.job_id)
        current_load = routing.estimate_load(
            batch.division, partition.name, own_summary, steps
        )
        can_run_here = routing.can_run(own_summary, service, steps)
        if (
            can_run_here
            and current_load - loads[target] <= routing.MIN_LOAD_ADVANTAGE
        ):
            return None
    else:
        target = max(
            others,
            key=lambda name: summary_capacity.count_fitting_tasks(
                others[name], service, step, step.count
            ),
        )
        if not summary_capacity.count_fitting_tasks(
            others[target], service, step, step.count
        ):
            return None
    routing.deduct_job(batch, target, job.record.steps, service)
    # Former owners may have started tasks of an older job without a sign.
    if not job.start_sent and job.create_revision >= partition.token:
        return attrs.evolve(job.record, partition=target)
    # Runs in the new partition get higher numbers than all runs in this one.
    first_number = max(
        task.next_run_number
        for step in job.steps
        for task in step.unfinished.values()
    )
    return attrs.evolve(
        job.record,
        partition=target,
        first_number=first_number,
        has_progress=job.progress_revision > 0,
    )


def _make_move_write(
    partition: state.Partition, purpose: MoveWrite
) -> store_messages.StoreTransaction:
    """Returns the transaction of a move.

    It writes all copies of the job's record and the job's state. If the whole
    job moves, it also moves the progress record.
    """
    record = purpose.loaded.record
    job = partition.jobs[record.job_id]
    expected = [
        (records.make_owner_key(partition.name), partition.token),
        (
            records.make_job_key(partition.name, record.job_id),
            purpose.loaded.revision,
        ),
    ]
    copies = records.list_partitions(record)
    puts = [
        store_messages.Put(records.make_job_key(name, record.job_id), record)
        for name in copies
    ]
    state_key = records.make_state_key(record.job_id)
    puts.append(
        store_messages.Put(state_key, records.make_accepted_state(record))
    )
    removals = [
        records.make_job_key(name, record.job_id)
        for name in records.list_partitions(job.record)
        if name not in copies
    ]
    if record.partition != job.record.partition:
        old_key = records.make_progress_key(partition.name, record.job_id)
        # The transaction has no effect if the store has a progress record that
        # this owner does not know.
        expected.append((old_key, job.progress_revision))
        if job.progress_revision:
            new_key = records.make_progress_key(record.partition, record.job_id)
            puts.append(store_messages.Put(new_key, jobs.make_progress(job)))
            removals.append(old_key)
    return store_messages.StoreTransaction(
        purpose, tuple(expected), tuple(puts), tuple(removals)
    )


@dispatch.handle_timer.register(MoveRetryDue)
def retry_move(
    timer: MoveRetryDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats the write of a move.

    No tasks of the job are started here until the outcome is known.
    """
    partition = batch.find_owned(timer.purpose.partition, timer.purpose.token)
    if partition is None:
        return []
    if timer.purpose.loaded.record.job_id not in partition.jobs:
        return []
    return [_make_move_write(partition, timer.purpose)]


@dispatch.handle_store_reply.register(MoveWrite)
def handle_move_write(
    purpose: MoveWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies a move that was written, or handles a failed write.

    After a conflict the record is read again. If the outcome is unknown, the
    same write is repeated.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Committed):
        return _apply_move(batch, partition, purpose, outcome, now)
    if isinstance(outcome, store_messages.Conflict):
        return _handle_move_conflict(partition, purpose, outcome)
    return [messages.StartTimer(MoveRetryDue(purpose), MOVE_RETRY_S, 0.3)]


def _handle_move_conflict(
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Conflict,
) -> dispatch.Effects:
    """Reads a job's record again after a conflict.

    The record or the owner key has changed, so the write can no longer take
    effect.
    """
    job_id = purpose.loaded.record.job_id
    job = partition.jobs.get(job_id)
    if job is not None:
        key = records.make_progress_key(partition.name, job_id)
        job.progress_revision = outcome.revisions.get(
            key, job.progress_revision
        )
    return [
        commits.read_record(
            partition, job_id, purpose.loaded.revision, move_outcome_known=True
        )
    ]


def _apply_move(
    batch: state.Batch,
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Committed,
    now: float,
) -> dispatch.Effects:
    """Applies a move that was written to the job of this partition.

    A job that has no copy of its record left in this partition is removed. It
    counts as pending in this partition's summary for a while if no start of it
    was confirmed, until the new owner's summary contains it.
    """
    loaded = attrs.evolve(purpose.loaded, revision=outcome.revision)
    record = loaded.record
    if partition.name in records.list_partitions(record):
        event = commits.RecordObserved(
            partition.name, loaded, move_outcome_known=True
        )
        return dispatch.handle(event, batch, now)
    partition.record_removal(
        state.RemovedJob(record.job_id, outcome.revision, now)
    )
    job = partition.jobs.get(record.job_id)
    if job is not None and job.revision > outcome.revision:
        # The job has been moved back here by a later write.
        return []
    partition.jobs.pop(record.job_id, None)
    if job is not None and not job.start_confirmed:
        partition.moved_jobs[record.job_id] = (record.queue.name, now)
    return []
