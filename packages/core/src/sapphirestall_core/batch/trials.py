"""Runs on trial on workers that are suspended since runs failed there.

A long-running task that finds no other worker would have no run at all. On a
suspended worker it may run at once if the failures were chance, and shows by it
that the worker is sound. It loses no attempt if it fails there.
"""

from collections.abc import Iterable
import math

import attrs

from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_faults

# A task runs on trial once it has been unplaced for this time, in seconds. It
# moves to another partition before if there is room.
TRIAL_DELAY_S = 0.5
# Shortest time between two trials on a worker, in seconds. The result of one is
# known by then.
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
    workers = _list_trial_workers(partition, now)
    if not workers:
        return []
    waiting = _list_waiting_tasks(jobs, now)
    trials = []
    for worker in workers:
        candidate = placement.Candidate(worker)
        candidate.refresh()
        for task in waiting:
            if _may_run(task, candidate):
                trials.append(Trial(worker, task))
                waiting.remove(task)
                break
    return trials


def _list_trial_workers(
    partition: state.Partition, now: float
) -> list[state.Worker]:
    """Returns the suspended workers on which a trial is due.

    All but the suspension has to allow a start there.
    """
    due = [
        worker
        for worker in partition.workers.values()
        if _may_be_tried(worker, now)
    ]
    if not due:
        # Most passes end here, without a check of all workers.
        return []
    startable = usability.list_startable_workers(
        partition, now, suspension_left_s=math.inf
    )
    return [worker for worker in startable if worker in due]


def _may_be_tried(worker: state.Worker, now: float) -> bool:
    """Returns whether a worker is suspended and a trial there is due."""
    suspension = worker.suspension
    return (
        suspension is not None
        and suspension.until > now
        and suspension.cause is worker_faults.SuspensionCause.FAILED_RUNS
        and now - suspension.tried_at >= TRIAL_INTERVAL_S
    )


def _list_waiting_tasks(
    jobs: Iterable[state.Job], now: float
) -> list[state.Task]:
    """Returns the long-running tasks that have waited for long enough."""
    return [
        task
        for job in jobs
        for step in job.steps
        if step.step.long_running and not step.step.fills
        for task in step.runnable.values()
        if task.unplaced_since is not None
        and now - task.unplaced_since >= TRIAL_DELAY_S
    ]


def _may_run(task: state.Task, candidate: placement.Candidate) -> bool:
    return (
        candidate.worker.entry.service == task.job.queue.service
        and candidate.fits(task.step)
        and placement.meets_constraints(candidate, task, ())
    )
