"""Failure of a job whose tasks fail on several workers.

A task that fails on one worker may be the worker's fault; one that fails on
several is considered faulty itself. See docs/design.md, sections 4.12 and 7.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphirestall_core import job_updates
from sapphirestall_core import policy_hooks
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state

# Minimum numbers of workers and of failures of one task that fail its job.
WORKERS_PER_FAILED_TASK = 3
FAILURES_PER_FAILED_TASK = 3
# Pause after repeated failures before the worker gets another start. It bounds
# the rate of starts on a worker that refuses each of them at once. A single
# failure happens on sound workers too.
PAUSE_AFTER_FAILURES_S = 1.0


def record_failure(
    name: task_messages.AttemptName,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a failed start or task, and fails its job after several.

    A job fails when one of its tasks has failed at least
    `FAILURES_PER_FAILED_TASK` times, and on at least `WORKERS_PER_FAILED_TASK`
    workers whose failures count against the job. In a partition with fewer
    workers it has to have failed on all of them.

    Args:
        name: Attempt that failed.
        worker: Worker on which it failed.
        partition: Partition of the worker.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    effects = policy_hooks.record_task_failed(worker, name, instance, now)
    if policy_hooks.count_failures(worker, instance) > 1:
        worker.no_starts_until = now + PAUSE_AFTER_FAILURES_S
    share = partition.shares.get(name.job_id)
    if share is None or not share.is_active:
        return effects
    failed_on = share.failures.setdefault(name.task, {})
    # Keeps the time of the first failure on a worker. A worker that has since
    # finished a task of another job is not faulty, even if this task has failed
    # on it again.
    failed_on.setdefault(worker.worker_id, now)
    share.failure_counts[name.task] = share.failure_counts.get(name.task, 0) + 1
    counted = [
        worker_id
        for worker_id, at in failed_on.items()
        if _is_counted(worker_id, at, name.job_id, partition, instance, now)
    ]
    listed = sum(worker.registered for worker in partition.workers.values())
    if (
        len(counted) < min(WORKERS_PER_FAILED_TASK, max(1, listed))
        or share.failure_counts[name.task] < FAILURES_PER_FAILED_TASK
    ):
        return effects
    reason = f"task {name.task} failed on {', '.join(sorted(counted))}"
    instance.journal.record(now, name.job_id, "fail", reason)
    policy_hooks.record_job_failed(name.job_id, instance)
    change = job_updates.FailJob(name.job_id, reason)
    return [*effects, *job_updates.start(change, instance, now)]


def _is_counted(
    worker_id: str,
    failed_at: float,
    job_id: str,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> bool:
    """Returns whether a failure counts against the job.

    It does if the worker has since finished a task of another job, or if the
    worker is not on probation.
    """
    worker = partition.workers.get(worker_id)
    if worker is None:
        return False
    proven = any(
        at > failed_at and other != job_id
        for other, at in worker.finished_at.items()
    )
    return proven or not policy_hooks.is_on_probation(worker, instance, now)


def record_finished(
    name: task_messages.AttemptName, worker: tasks_state.Worker, now: float
) -> None:
    """Records that a worker finished a task of a job.

    It may get starts again. The two jobs that finished last are kept. That
    suffices to find one that is not the failing job.
    """
    worker.no_starts_until = -math.inf
    worker.finished_at.pop(name.job_id, None)
    worker.finished_at[name.job_id] = now
    if len(worker.finished_at) > 2:
        del worker.finished_at[next(iter(worker.finished_at))]
