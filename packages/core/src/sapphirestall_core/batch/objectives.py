"""Objectives of jobs: which can still be met decides who goes first.

A job whose objective can't be met any more gives way to one whose objective
can. Within a class jobs go in order of arrival, so that large jobs are not
passed over for small ones.
"""

import enum

from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# A job is of some use up to this multiple of its objective.
LATE_FACTOR = 3.0


class Prospect(enum.IntEnum):
    """What a job can still reach; the lowest goes first."""

    IN_TIME = 0
    LATE = 1
    LOST = 2


def find_chain(steps: tuple[model.Step, ...], done: set[int]) -> float:
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


def find_longest(job: state.Job) -> float:
    """Returns the longest chain of all steps of a job, in seconds."""
    if job.critical_path_s is None:
        job.critical_path_s = find_chain(job.record.steps, set())
    return job.critical_path_s


def find_objective(job: state.Job) -> float:
    """Returns the time in which a job should be completed, in seconds."""
    return job.queue.stretch * find_longest(job) + job.queue.target_latency_s


def find_remaining(job: state.Job) -> float:
    """Returns the longest chain of steps that are not done, in seconds."""
    done = {
        number for number, step in enumerate(job.steps) if not step.unfinished
    }
    return find_chain(job.record.steps, done) if done else find_longest(job)


def judge(job: state.Job, now: float) -> Prospect:
    """Returns what a job that starts its next tasks now can reach.

    Long-running tasks are owed at any time, however long ago they came.
    """
    if any(step.step.long_running for step in job.steps):
        return Prospect.IN_TIME
    expected = now - job.accepted_at + find_remaining(job)
    objective = find_objective(job)
    if expected <= objective:
        return Prospect.IN_TIME
    if expected <= objective * LATE_FACTOR:
        return Prospect.LATE
    return Prospect.LOST
