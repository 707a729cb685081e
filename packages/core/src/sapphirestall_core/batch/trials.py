"""Runs on trial on workers that are suspended since runs failed there.

A long-running task that finds no other worker would have no run at all. On a
suspended worker it may run at once if the failures were chance, and shows by it
that the worker is sound. It loses no attempt if it fails there.
"""

from collections.abc import Iterable

import attrs

from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import waiting_tasks
from sapphirestall_core.batch import worker_faults

# A task runs on trial once it has been unplaced for this time, in seconds. It
# moves to another partition before if there is room.
TRIAL_DELAY_S = 0.5
# Shortest time between two trials on a worker, in seconds. Runs have mostly
# failed by then if the worker fails them.
TRIAL_INTERVAL_S = 2.0


@attrs.frozen
class Trial:
    """A task that may run on trial.

    Attributes:
        worker: The suspended worker.
        task: The task.
    """

    worker: state.Worker
    task: state.Task


def choose_trials(
    partition: state.Partition, jobs: Iterable[state.Job], now: float
) -> list[Trial]:
    """Chooses one task for each suspended worker that may be tried.

    Args:
        partition: The owned partition.
        jobs: Its jobs with tasks that may start, those to start first first.
        now: Monotonic time, in seconds.
    """
    workers = [
        worker
        for worker in partition.workers.values()
        if worker.suspension is not None
        and _may_be_tried(partition, worker, now)
    ]
    if not workers:
        return []
    waiting = _list_waiting_tasks(jobs, now)
    trials = []
    for worker in workers:
        candidate = placement.make_candidate(worker)
        for task in waiting:
            if placement.can_run(candidate, task):
                trials.append(Trial(worker, task))
                waiting.remove(task)
                break
    return trials


def _may_be_tried(
    partition: state.Partition, worker: state.Worker, now: float
) -> bool:
    """Returns whether a trial on a suspended worker is due and allowed."""
    suspension = worker.suspension
    return (
        suspension is not None
        and suspension.cause is worker_faults.SuspensionCause.FAILED_RUNS
        and now - suspension.tried_at >= TRIAL_INTERVAL_S
        and usability.find_obstacle_in_partition(partition, worker, now)
        is usability.Obstacle.SUSPENDED
    )


def _list_waiting_tasks(
    jobs: Iterable[state.Job], now: float
) -> list[state.Task]:
    """Returns the long-running tasks that have waited for long enough."""
    return [
        task
        for task in waiting_tasks.list_long_running(jobs)
        if not task.step.fills
        and task.unplaced_since is not None
        and now - task.unplaced_since >= TRIAL_DELAY_S
    ]
