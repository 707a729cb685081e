"""Nomination of workers for long-running tasks that wait.

Finite tasks that request less would use whatever ends of runs free, so that a
large long-running task would wait for as long as there are such tasks. A pass
therefore nominates a worker for it: the one that will have enough free capacity
first. Finite tasks of the same or a lower priority leave that much free there.
"""

from collections.abc import Iterable
import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "starts"
# A task gets a worker nominated once it has been unplaced for this time, in
# seconds. A partition with free capacity has mostly taken it over by then.
NOMINATION_DELAY_S = 0.6
# A nomination is reconsidered after this time, in seconds. Each change of the
# worker gives what was left free there back to finite tasks.
NOMINATION_S = 2.5
# If no worker was found for a task, a search follows after this time, in
# seconds. It goes through all runs of the partition.
SEARCH_INTERVAL_S = 1.0
# No worker is nominated that is expected to have the capacity only after this
# time, in seconds. What it leaves free until then would be lost to others.
MAX_WAIT_S = 5.0
# Highest number of tasks for which a partition leaves capacity free at a time.
MAX_NOMINATIONS = 4
# Highest number of searches in a pass, which delays all other work.
MAX_SEARCHES = 16
# A run that has lasted longer than estimated is expected to last on for this
# share of the time that it has lasted.
OVERRUN_SHARE = 0.5


def list_waiting_steps(
    jobs: Iterable[state.Job], now: float
) -> list[tuple[state.Job, state.StepState]]:
    """Returns the long-running steps whose tasks may get workers nominated."""
    return [
        (job, step)
        for job in jobs
        for step in job.steps
        if step.step.long_running
        and any(_has_waited(task, now) for task in step.runnable.values())
    ]


@attrs.define
class Budget:
    """What a pass may still spend on nominations.

    Attributes:
        nominations: Number of tasks that may have a worker nominated.
        searches: Number of searches for a worker.
    """

    nominations: int = MAX_NOMINATIONS
    searches: int = MAX_SEARCHES


def nominate_workers(
    step: state.StepState,
    candidates: list[placement.Candidate],
    budget: Budget,
    now: float,
) -> dispatch.Effects:
    """Nominates workers for waiting tasks of a long-running step.

    Args:
        step: The step.
        candidates: Workers on which its tasks may start. The tasks are added to
            those that are nominated for them.
        budget: What the pass may still spend.
        now: Monotonic time, in seconds.
    """
    effects: dispatch.Effects = []
    for task in step.runnable.values():
        if not budget.nominations:
            break
        if not _has_waited(task, now):
            continue
        before = task.nomination
        nominated = _renew_nomination(task, candidates, budget, now)
        if nominated is None:
            # The other tasks of the step request as much.
            break
        nominated.nominated_tasks.append(task)
        budget.nominations -= 1
        worker_id = nominated.worker.entry.worker_id
        if before is None or before.worker_id != worker_id:
            effects.append(_make_log(task, worker_id))
    return effects


def _has_waited(task: state.Task, now: float) -> bool:
    """Returns whether a task has waited so long that it gets a worker.

    A task that was moved here has waited in another partition.
    """
    if task.unplaced_since is None:
        return False
    key = records.make_task_key(task.name.step, task.name.index)
    if key in task.job.record.moved:
        return True
    return now - task.unplaced_since >= NOMINATION_DELAY_S


def _renew_nomination(
    task: state.Task,
    candidates: list[placement.Candidate],
    budget: Budget,
    now: float,
) -> placement.Candidate | None:
    """Returns the worker that is nominated for a task, or None.

    Keeps a recent nomination if new runs may still start on the worker.
    """
    nomination = task.nomination
    age_s = now - nomination.made_at if nomination else math.inf
    if nomination is not None and nomination.worker_id:
        for candidate in candidates if age_s < NOMINATION_S else ():
            if candidate.worker.entry.worker_id == nomination.worker_id:
                return candidate
    elif age_s < SEARCH_INTERVAL_S:
        return None
    if not budget.searches:
        return None
    budget.searches -= 1
    chosen = choose_candidate(task, candidates, now)
    worker_id = chosen.worker.entry.worker_id if chosen else ""
    task.nomination = state.Nomination(worker_id, now)
    return chosen


def choose_candidate(
    task: state.Task, candidates: list[placement.Candidate], now: float
) -> placement.Candidate | None:
    """Returns the worker that will first have enough free capacity for a task.

    Workers on which a run of the task failed come last.

    Returns:
        The worker; None if none will have it within `MAX_WAIT_S`.
    """
    best = None
    best_key: tuple[bool, float] = (True, math.inf)
    for candidate in candidates:
        wait_s = _estimate_wait(task, candidate, now)
        if wait_s > MAX_WAIT_S:
            continue
        worker_id = candidate.worker.entry.worker_id
        key = (worker_id in task.failed_worker_ids, wait_s)
        if key < best_key:
            best, best_key = candidate, key
    return best


def _estimate_wait(
    task: state.Task, candidate: placement.Candidate, now: float
) -> float:
    """Estimates when a worker will have enough free capacity for a task.

    Returns:
        Time from now, in seconds; infinite if the runs that will not end by
        themselves, or the constraints of the task, leave it none.
    """
    names = [other.name for other in candidate.nominated_tasks]
    if not placement.meets_constraints(candidate, task, names):
        return math.inf
    free = candidate.get_free_capacity()
    for other in candidate.nominated_tasks:
        free = free.minus(placement.find_reserved_amount(other.step))
    amount = placement.find_reserved_amount(task.step)
    if amount.fits(free):
        return 0.0
    ending = [
        (estimate_remaining(run, now), run.task.step)
        for run in candidate.worker.runs.values()
        if not run.task.step.long_running
        or run.phase is state.RunPhase.STOPPING
    ]
    ending.sort(key=lambda pair: pair[0])
    for remaining_s, step in ending:
        free = free.plus(placement.find_reserved_amount(step))
        if amount.fits(free):
            return remaining_s
    return math.inf


def estimate_remaining(run: state.Run, now: float) -> float:
    """Estimates how long a run that will end still lasts, in seconds."""
    if run.phase is state.RunPhase.STOPPING:
        return 0.0
    lasted_s = now - run.started_at
    expected_s = run.task.step.estimate_s - lasted_s
    return max(expected_s, OVERRUN_SHARE * lasted_s)


def _make_log(task: state.Task, worker_id: str) -> messages.Log:
    return messages.Log(
        PART,
        "nominated",
        {
            "job": task.name.job_id,
            "task": f"{task.name.step}.{task.name.index}",
            "worker": worker_id,
        },
    )
