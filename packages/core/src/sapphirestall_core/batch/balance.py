"""Moves of jobs and tasks from one partition to another.

The owner of a partition moves what it cannot start. It moves a job as a whole,
with its progress, once no run of it can exist. Of a job whose long-running
tasks may run it moves single tasks, and each partition that runs some of them
has a copy of the job's record.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import job_moves
from sapphirestall_core.batch import move_delays
from sapphirestall_core.batch import move_writes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity
from sapphirestall_core.batch import summary_reads
from sapphirestall_core.batch import task_moves
from sapphirestall_core.batch import waiting_tasks

# Time after which tasks that have lost their runs are looked at again, in
# seconds; the periodic checks alone would add up to a quarter of a second.
LOST_RUN_CHECK_S = 0.12
# Summaries that were read longer ago than this, in seconds, are read again
# before a move.
MAX_SUMMARY_AGE_S = 0.9
# The same for the summaries of all data centres while a long-running task
# waits, which has to run within 3 s where there is room. With the interval of
# the periodic checks, which read them, they are read every 0.5 s.
MAX_SUMMARY_AGE_FOR_TASKS_S = 0.4
# Highest number of jobs that an owner moves as a whole at a time. It is low
# because the summaries by which their partitions are chosen lag.
MAX_JOB_MOVES = 3
# Highest number of writes of moves that an event starts. The loop handles
# answers of workers and renews leases only between events.
MAX_MOVE_WRITES = 32
# Number of tasks after which an event moves no further job, for the same
# reason: a task takes 0.4 ms of processor time with 26 partitions.
MAX_TASK_MOVES = 96


@attrs.frozen
class MovesDue(messages.Timer):
    """Timer to move tasks that have lost their runs.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
    """

    partition: str
    token: int


@attrs.define
class Budget:
    """What an event may still spend on moves.

    Attributes:
        writes: Number of writes.
        tasks: Number of tasks that may move alone. The last job may exceed it.
        jobs: Number of jobs that may move as a whole.
    """

    writes: int = MAX_MOVE_WRITES
    tasks: int = MAX_TASK_MOVES
    jobs: int = MAX_JOB_MOVES

    def allows(self, job: state.Job) -> bool:
        """Returns whether a job, or some of its tasks, may move."""
        left = self.tasks if _moves_tasks(job) else self.jobs
        return self.writes > 0 and left > 0

    def spend(self, job: state.Job, record: records.JobRecord) -> None:
        """Counts the move of a job or of some of its tasks by a record."""
        self.writes -= 1
        if _moves_tasks(job):
            self.tasks -= len(task_moves.list_moves(job, record))
        else:
            self.jobs -= 1


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
    waiting = waiting_tasks.list_long_running(partition.jobs.values())
    if waiting:
        effects = summary_reads.keep_recent(
            batch, MAX_SUMMARY_AGE_FOR_TASKS_S, now
        )
        effects += _schedule_moves(partition, waiting, now)
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
    """Moves the jobs that have waited long enough, or some of their tasks.

    Single tasks move as long as other partitions publish free capacity. Of the
    jobs of one priority those with long-running tasks come first: their tasks
    have to run again within seconds where there is room.
    """
    progress = former_runs.check_progress(partition, now)
    unplaced.sort(
        key=lambda job: (
            job.queue.priority,
            not _moves_tasks(job),
            job.create_revision,
        )
    )
    budget = Budget()
    effects: dispatch.Effects = []
    for job in unplaced:
        if not progress.allows(job) or not budget.allows(job):
            continue
        record = _plan_move(batch, partition, job, now)
        if record is not None:
            budget.spend(job, record)
            effects += move_writes.start_move(
                batch, partition, job, record, now
            )
    if not budget.writes:
        return effects
    allowed = [job for job in unplaced if progress.allows(job)]
    return effects + _move_to_yielding(batch, partition, allowed, now)


def _move_to_yielding(
    batch: state.Batch,
    partition: state.Partition,
    jobs: list[state.Job],
    now: float,
) -> dispatch.Effects:
    """Moves one long-running task to capacity that finite tasks use elsewhere.

    Owners of all full partitions read the same summaries, so that more tasks
    would meet in the partition and move on. Finite tasks yield only to those
    that no finite task precedes.
    """
    if not any(map(summary_capacity.has_yielding, batch.summaries.values())):
        return []
    for job in jobs:
        if (
            not _moves_tasks(job)
            or job.move_in_flight
            or not _has_highest_priority(batch, job)
        ):
            continue
        others = _list_others(batch, partition, job, now)
        record = task_moves.plan_move_to_yielding(
            batch, partition, job, others, now
        )
        if record is not None:
            return move_writes.start_move(batch, partition, job, record, now)
    return []


def _has_highest_priority(batch: state.Batch, job: state.Job) -> bool:
    if batch.configuration is None:
        return False
    queues = batch.configuration.queues
    return all(job.queue.priority <= queue.priority for queue in queues)


def _schedule_moves(
    partition: state.Partition, waiting: list[state.Task], now: float
) -> dispatch.Effects:
    """Starts a timer for moves if tasks that lost their runs soon may move."""
    if now < partition.moves_due_at:
        return []
    progress = former_runs.check_progress(partition, now)
    if not any(
        not move_delays.has_waited(task, True, now)
        for task in waiting
        if progress.allows(task.job)
        and move_delays.may_have_lost_run(partition, task.job, now)
    ):
        return []
    partition.moves_due_at = now + LOST_RUN_CHECK_S
    timer = MovesDue(partition.name, partition.token)
    return [messages.StartTimer(timer, LOST_RUN_CHECK_S)]


@dispatch.handle_timer.register(MovesDue)
def move_after_loss(
    timer: MovesDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Moves tasks that lost their runs, for which no worker was found."""
    partition = batch.find_owned(timer.partition, timer.token)
    if partition is None:
        return []
    return move_unplaced_jobs(batch, partition, now)


def _has_unplaced_task(
    partition: state.Partition, job: state.Job, now: float
) -> bool:
    """Returns whether a task of a job has waited so long that it may move."""
    if job.move_in_flight or job.final_state is not None:
        return False
    lost_run = move_delays.may_have_lost_run(partition, job, now)
    return any(
        move_delays.has_waited(task, lost_run, now)
        for step in job.steps
        for task in step.runnable.values()
    )


def _moves_tasks(job: state.Job) -> bool:
    """Returns whether tasks of a job move, and not the job as a whole.

    A job whose long-running steps still wait for finite ones moves as a whole.
    """
    return bool(job.record.moved) or any(
        step.step.long_running and step.unblocked for step in job.steps
    )


def _plan_move(
    batch: state.Batch, partition: state.Partition, job: state.Job, now: float
) -> records.JobRecord | None:
    """Plans to move a job or some of its tasks.

    Returns:
        The changed record; None if no other partition can run them.
    """
    others = _list_others(batch, partition, job, now)
    if _moves_tasks(job):
        return task_moves.plan_moves(batch, partition, job, others, now)
    if job_moves.is_idle(partition, job):
        return job_moves.plan_move(batch, partition, job, others)
    return None


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
    for steps in (unfinished, job_moves.list_waiting_steps(job)):
        found = {
            name: summary
            for name, summary in others.items()
            if routing.can_run(summary, job.queue.service, steps)
        }
        if found:
            return found
    return {}
