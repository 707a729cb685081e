"""Objectives for the completion times of jobs.

The objective of a job is a time from its acceptance. Jobs of one priority are
started in the order of whether they can still meet it: a job that cannot any
more comes after the jobs that can. Jobs of the same status start in order of
arrival, so that small jobs do not overtake large ones.
"""

import enum

from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# A job that takes at most this multiple of its objective is late but still of
# use.
MAX_LATENESS_FACTOR = 3.0


class ObjectiveStatus(enum.IntEnum):
    """Whether a job can meet its objective if its next tasks start now.

    Jobs with a lower value are started first.
    """

    ACHIEVABLE = 0
    LATE = 1
    UNACHIEVABLE = 2


def find_critical_path(steps: tuple[model.Step, ...], done: set[int]) -> float:
    """Returns the duration of the longest chain of dependent steps, in seconds.

    Args:
        steps: Steps of a job. Each depends only on earlier ones.
        done: Indexes of steps that are done and take no more time.
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[index] for index in step.after), default=0.0)
        ends.append(start + (0.0 if number in done else step.estimate_s))
    return max(ends, default=0.0)


def find_total_path(job: state.Job) -> float:
    """Returns the critical path of all steps of a job, in seconds."""
    if job.critical_path_s is None:
        job.critical_path_s = find_critical_path(job.record.steps, set())
    return job.critical_path_s


def find_objective(job: state.Job) -> float:
    """Returns the time from its acceptance that a job may take, in seconds."""
    return job.queue.stretch * find_total_path(job) + job.queue.target_latency_s


def find_remaining_path(job: state.Job) -> float:
    """Returns the critical path of the steps that are not done, in seconds."""
    done = {
        number for number, step in enumerate(job.steps) if not step.unfinished
    }
    return (
        find_critical_path(job.record.steps, done)
        if done
        else find_total_path(job)
    )


def classify(job: state.Job, now: float) -> ObjectiveStatus:
    """Returns whether a job can still meet its objective.

    A job with long-running tasks always can: these have to run until they are
    cancelled, however long ago the job was accepted.
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
