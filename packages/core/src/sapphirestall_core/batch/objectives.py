"""Objectives of jobs: which can still be met decides who goes first.

A job whose objective can't be met any more gives way to one whose objective
can. Within a class jobs go in order of arrival, so that large jobs are not
passed over for small ones.
"""

import enum

from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# A job is of some use up to this multiple of its objective.
MAX_LATENESS_FACTOR = 3.0


class ObjectiveStatus(enum.IntEnum):
    """What a job can still reach; the lowest goes first."""

    ACHIEVABLE = 0
    LATE = 1
    UNACHIEVABLE = 2


def find_critical_path(steps: tuple[model.Step, ...], done: set[int]) -> float:
    """Returns the longest chain of estimates, in seconds.

    Args:
        steps: Steps of a job; each names only earlier ones.
        done: Steps that take no more time.
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + (0.0 if number in done else step.estimate_s))
    return max(ends, default=0.0)


def find_total_path(job: state.Job) -> float:
    """Returns the longest chain of all steps of a job, in seconds."""
    if job.critical_path_s is None:
        job.critical_path_s = find_critical_path(job.record.steps, set())
    return job.critical_path_s


def find_objective(job: state.Job) -> float:
    """Returns the time in which a job should be completed, in seconds."""
    return job.queue.stretch * find_total_path(job) + job.queue.target_latency_s


def find_remaining_path(job: state.Job) -> float:
    """Returns the longest chain of steps that are not done, in seconds."""
    done = {
        number for number, step in enumerate(job.steps) if not step.unfinished
    }
    return (
        find_critical_path(job.record.steps, done)
        if done
        else find_total_path(job)
    )


def classify(job: state.Job, now: float) -> ObjectiveStatus:
    """Returns what a job that starts its next tasks now can reach.

    Long-running tasks are owed at any time, however long ago they came.
    """
    if any(step.step.long_running for step in job.steps):
        return ObjectiveStatus.ACHIEVABLE
    expected = now - job.accepted_at + find_remaining_path(job)
    objective = find_objective(job)
    if expected <= objective:
        return ObjectiveStatus.ACHIEVABLE
    if expected <= objective * MAX_LATENESS_FACTOR:
        return ObjectiveStatus.LATE
    return ObjectiveStatus.UNACHIEVABLE
