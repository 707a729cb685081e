"""Inventories of workers: the tasks that each worker runs or has ended.

A worker's report is compared with the attempts that the owner knows. Attempts
of a former owner are adopted or stopped, ended ones are recorded for the next
commit, and missing ones are requeued. See docs/design.md, sections 4.3 and 7.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import attempts
from sapphirestall_core import eviction
from sapphirestall_core import failures
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import policy_hooks
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state

PART = "inventory"


def apply_report(
    worker: tasks_state.Worker,
    report: task_messages.WorkerReport,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies a worker's report to the known attempts.

    The caller has checked that the report is not older than the last one.
    """
    effects: dispatch.Effects = []
    if worker.incarnation != report.incarnation:
        requeue_all(worker, partition)
        worker.unwanted.clear()
        worker.acknowledge.clear()
        worker.incarnation = report.incarnation
    worker.clock = report.clock
    worker.reported_at = now
    worker.unwanted.clear()
    for task in report.tasks:
        if task.state is task_messages.TaskState.RUNNING:
            effects += _apply_running(task, worker, partition, instance, now)
        else:
            effects += _apply_ended(task, worker, partition, instance, now)
    reported = {task.name for task in report.tasks}
    for attempt in list(worker.attempts.values()):
        is_missing = attempt.name not in reported
        if is_missing and report.clock > attempt.start_expires_at:
            attempts.requeue_lost(attempt, partition)
    worker.acknowledge &= reported
    attempts.rebuild_ledger(worker, report)
    if partition.jobs_listed:
        worker.inventoried = True
        check_former_attempts(partition, now)
    return effects


def requeue_all(
    worker: tasks_state.Worker, partition: tasks_state.Partition
) -> None:
    """Requeues the tasks of a worker that can no longer be running them."""
    for attempt in list(worker.attempts.values()):
        attempts.requeue_lost(attempt, partition)


def check_former_attempts(partition: tasks_state.Partition, now: float) -> None:
    """Checks whether attempts of former owners can still run anywhere.

    Once they cannot, tasks that no inventory contains are queued as well. That
    is the case when all witnesses have given an inventory or have terminated,
    or when `TAKEOVER_WAIT_S` has passed since a majority did. See
    docs/design.md, section 4.3.
    """
    if partition.former_attempts_ended:
        return
    witnesses = partition.progress.witnesses
    reported = {
        worker.worker_id
        for worker in partition.workers.values()
        if worker.inventoried
    }
    reported |= partition.find_terminated()
    # Only witnesses get tasks, so without witnesses there is nothing to wait
    # for.
    if partition.majority_inventoried_at < 0 and witnesses:
        if not ownership.is_majority(reported, witnesses):
            return
        partition.majority_inventoried_at = now
    wait_ended = (
        now - partition.majority_inventoried_at >= ownership.TAKEOVER_WAIT_S
    )
    if wait_ended or reported.issuperset(witnesses):
        partition.former_attempts_ended = True
        for share in partition.shares.values():
            attempts.enqueue(partition, share)


def _apply_running(
    task: task_messages.TaskReport,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    name = task.name
    if name in partition.uncommitted_ends or name in worker.acknowledge:
        # The report predates the end of the attempt, which is already known.
        return []
    current = partition.attempts.get(attempts.make_task_name(name))
    if current is not None and current.name == name:
        return _confirm(current, task, partition, instance, now)
    if current is not None and current.name.attempt > name.attempt:
        worker.unwanted[name] = task.reserved
        return [messages.CountRefusal(PART, "lower_attempt")]
    if current is not None:
        _supersede(current, partition)
    return _adopt(task, worker, partition, instance, now)


def _confirm(
    attempt: tasks_state.Attempt,
    task: task_messages.TaskReport,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt.start_expires_at = 0.0
    attempt.reserved = task.reserved
    if attempt.phase is tasks_state.Phase.STARTING:
        attempt.phase = tasks_state.Phase.RUNNING
    return eviction.handle_checkpoint(
        attempt, task.checkpoint, partition, instance, now
    )


def _supersede(
    attempt: tasks_state.Attempt, partition: tasks_state.Partition
) -> None:
    worker = partition.workers[attempt.worker_id]
    attempts.remove(attempt, partition)
    worker.unwanted[attempt.name] = attempt.reserved
    if worker.ledger is not None:
        worker.ledger.record(attempt.name, attempt.reserved)


def _adopt(
    task: task_messages.TaskReport,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = tasks_state.Attempt(
        task.name,
        worker.worker_id,
        task.reserved,
        tasks_state.Phase.RUNNING,
        phase_since=now,
        started_at=now,
        checkpoint=task.checkpoint,
    )
    attempts.add(attempt, worker, partition)
    if not partition.jobs_listed or _may_run(attempt):
        return []
    instance.journal.record(now, str(task.name), "stop", "must not run here")
    return [
        messages.CountRefusal(PART, "unwanted_attempt"),
        *eviction.stop(attempt, partition, instance, now),
    ]


def _may_run(attempt: tasks_state.Attempt) -> bool:
    share, number = attempt.share, attempt.name.task
    if share is None or not share.is_active or number in share.finished:
        return False
    known = share.checkpoints.get(number)
    if known is not None and known.attempt > attempt.name.attempt:
        return False
    return attempts.contains_task(share, number)


def stop_unwanted(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Stops adopted attempts that must not run by the job records."""
    effects: dispatch.Effects = []
    for attempt in list(partition.attempts.values()):
        if not _may_run(attempt):
            effects += eviction.stop(attempt, partition, instance, now)
    return effects


def _apply_ended(
    task: task_messages.TaskReport,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    name = task.name
    if name in partition.uncommitted_ends or not partition.jobs_listed:
        return []
    share = partition.shares.get(name.job_id)
    current = partition.attempts.get(attempts.make_task_name(name))
    is_current = current is not None and current.name == name
    is_active = share is not None and share.is_active
    if (
        share is None
        or not is_active
        or not attempts.contains_task(share, name.task)
    ):
        if current is not None and is_current:
            attempts.requeue(current, partition)
        worker.acknowledge.add(name)
        return []
    if task.state is task_messages.TaskState.FINISHED:
        return _finish_task(name, worker, share, partition, instance, now)
    return _end_attempt(task, worker, share, partition, instance, now)


def _finish_task(
    name: task_messages.AttemptName,
    worker: tasks_state.Worker,
    share: tasks_state.Share,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    current = partition.attempts.get(attempts.make_task_name(name))
    if not share.finished.add(name.task):
        worker.acknowledge.add(name)
        return []
    effects: dispatch.Effects = []
    share.waiting.remove(name.task)
    if not share.waiting.count:
        attempts.dequeue(partition, share)
    share.checkpoints.pop(name.task, None)
    share.failures.pop(name.task, None)
    share.failure_counts.pop(name.task, None)
    if current is not None and current.name == name:
        attempts.remove(current, partition)
    elif current is not None:
        effects += eviction.stop(current, partition, instance, now)
    partition.uncommitted_ends[name] = worker.worker_id
    partition.dirty_jobs.add(name.job_id)
    failures.record_finished(name, worker, now)
    return effects + policy_hooks.record_finish(worker, name, instance, now)


def _end_attempt(
    task: task_messages.TaskReport,
    worker: tasks_state.Worker,
    share: tasks_state.Share,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    name = task.name
    current = partition.attempts.get(attempts.make_task_name(name))
    if current is not None and current.name == name:
        eviction.requeue_stopped(current, task.checkpoint, partition)
    elif name.task in share.finished or not attempts.record_checkpoint(
        share, name, task.checkpoint
    ):
        worker.acknowledge.add(name)
        return [messages.CountRefusal(PART, "late_end")]
    else:
        partition.uncommitted_ends[name] = worker.worker_id
        partition.dirty_jobs.add(name.job_id)
    if task.state is task_messages.TaskState.FAILED:
        return failures.record_failure(name, worker, partition, instance, now)
    return []
