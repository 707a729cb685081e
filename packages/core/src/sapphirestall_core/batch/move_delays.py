"""How long tasks wait for a worker before they may move."""

from sapphirestall_core.batch import state

# A task may move when no worker was found for it for this time, in seconds.
DELAY_S = 0.4
# The same for a long-running task that may have lost its run within this time:
# it has waited for the end of leases, and other partitions have had room.
LOST_RUN_DELAY_S = 0.1
RECENT_LOSS_S = 12.0
# A job that has started may move after this longer time, in seconds.
STARTED_JOB_DELAY_S = 1.2


def may_have_lost_run(
    partition: state.Partition, job: state.Job, now: float
) -> bool:
    """Returns whether tasks of a job may have lost their runs recently.

    The owner gave up their worker, or it took them over without their runs.
    """
    if now - job.runs_lost_at < RECENT_LOSS_S:
        return True
    was_taken_over = job.create_revision < partition.token
    return was_taken_over and now - partition.acquired_at < RECENT_LOSS_S


def has_waited(task: state.Task, lost_run: bool, now: float) -> bool:
    """Returns whether a task has waited so long that it may move.

    Args:
        task: The task.
        lost_run: Whether tasks of its job may have lost their runs recently.
        now: Monotonic time, in seconds.
    """
    return (
        task.unplaced_since is not None
        and now - task.unplaced_since > _choose_delay(task, lost_run)
    )


def _choose_delay(task: state.Task, lost_run: bool) -> float:
    """Returns how long a task waits for a worker before it may move.

    A long-running task moves alone and should run again soon. Other tasks move
    with their whole job, which has to be worth it once the job has started.
    """
    if task.step.long_running and lost_run:
        return LOST_RUN_DELAY_S
    if task.step.long_running or not task.job.start_sent:
        return DELAY_S
    return STARTED_JOB_DELAY_S
