"""Changes of attempts and of the queues of waiting tasks."""

from sapphirestall_core import jobs
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

# Range of attempt numbers of each epoch, so that the numbers of a new owner are
# above those of all former owners.
ATTEMPTS_PER_EPOCH = 2**20


def make_attempt_number(epoch: int, counter: int) -> int:
    """Returns an attempt number above those of all former owners."""
    return epoch * ATTEMPTS_PER_EPOCH + counter


def make_task_name(name: task_messages.AttemptName) -> task_messages.TaskName:
    """Returns the task that an attempt belongs to."""
    return task_messages.TaskName(name.job_id, name.task)


def make_queue_key(record: jobs.JobRecord) -> tasks_state.QueueKey:
    """Returns the queue in which the tasks of a job wait."""
    return tasks_state.QueueKey(
        record.urgency, record.declared, record.kind, record.team
    )


def enqueue(partition: tasks_state.Partition, share: tasks_state.Share) -> None:
    """Queues a share with waiting tasks if they may be placed.

    Until `Partition.former_attempts_ended` is set, a task that no inventory
    shows may still be running on an unresponsive worker. Only jobs created
    after the own epoch are exempt. No former owner can have started them, as it
    had lost its store lease by then and reads job records only under a valid
    one.
    """
    created_after_epoch = share.job.create_revision > partition.epoch
    if not share.waiting.count or not share.is_active:
        return
    if partition.former_attempts_ended or created_after_epoch:
        key = make_queue_key(share.job.record)
        queue = partition.queues.setdefault(key, {})
        queue[share.job.record.job_id] = share


def dequeue(partition: tasks_state.Partition, share: tasks_state.Share) -> None:
    """Removes a share from its queue."""
    key = make_queue_key(share.job.record)
    queue = partition.queues.get(key)
    if queue is None:
        return
    queue.pop(share.job.record.job_id, None)
    if not queue:
        del partition.queues[key]


def add(
    attempt: tasks_state.Attempt,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
) -> None:
    """Adds an attempt to the indexes; its task no longer waits."""
    name = make_task_name(attempt.name)
    partition.attempts[name] = attempt
    worker.attempts[name] = attempt
    if attempt.share is None:
        attempt.share = partition.shares.get(name.job_id)
        if attempt.share is None:
            return
    share = attempt.share
    share.running += 1
    share.waiting.remove(name.task)
    if not share.waiting.count:
        dequeue(partition, share)


def bind(attempt: tasks_state.Attempt, share: tasks_state.Share) -> None:
    """Assigns its share to an attempt adopted before its job was known."""
    if attempt.share is None:
        attempt.share = share
        share.running += 1
        share.waiting.remove(attempt.name.task)


def remove(
    attempt: tasks_state.Attempt, partition: tasks_state.Partition
) -> None:
    """Removes an attempt that can no longer run."""
    name = make_task_name(attempt.name)
    if partition.attempts.get(name) is attempt:
        del partition.attempts[name]
    worker = partition.workers.get(attempt.worker_id)
    if worker is not None:
        if worker.attempts.get(name) is attempt:
            del worker.attempts[name]
        if worker.ledger is not None:
            worker.ledger.release(attempt.name)
    if attempt.share is not None:
        attempt.share.running -= 1


def requeue(
    attempt: tasks_state.Attempt, partition: tasks_state.Partition
) -> None:
    """Removes an attempt that can no longer run and requeues its task."""
    remove(attempt, partition)
    share, task = attempt.share, attempt.name.task
    if share is None or not share.is_active or task in share.finished:
        return
    if contains_task(share, task):
        share.waiting.add(task)
        enqueue(partition, share)


def requeue_lost(
    attempt: tasks_state.Attempt, partition: tasks_state.Partition
) -> None:
    """Requeues the task of an attempt whose end no worker reports.

    The task resumes from its newest known checkpoint.
    """
    if attempt.share is not None and attempt.checkpoint:
        record_checkpoint(attempt.share, attempt.name, attempt.checkpoint)
        partition.dirty_jobs.add(attempt.name.job_id)
    requeue(attempt, partition)


def contains_task(share: tasks_state.Share, task: int) -> bool:
    """Returns whether a share has a task in one of its slices."""
    return any(part.first <= task <= part.last for part in share.slices)


def record_checkpoint(
    share: tasks_state.Share, name: task_messages.AttemptName, checkpoint: str
) -> bool:
    """Records the checkpoint of an ended attempt.

    Args:
        share: Share of the job.
        name: Attempt that has ended.
        checkpoint: Its newest checkpoint; empty if there is none.

    Returns:
        Whether something was recorded. An older attempt never replaces a newer
        one, so that work does not resume from an older state.
    """
    known = share.checkpoints.get(name.task)
    if known is not None and (
        known.attempt > name.attempt
        or (
            known.attempt == name.attempt
            and checkpoint in ("", known.checkpoint)
        )
    ):
        return False
    if not checkpoint and known is not None:
        checkpoint = known.checkpoint
    share.checkpoints[name.task] = jobs.Checkpoint(name.attempt, checkpoint)
    return True


def rebuild_ledger(
    worker: tasks_state.Worker, report: task_messages.WorkerReport
) -> None:
    """Rebuilds the reservations on a worker from its report.

    Attempts that may have started since the report are included.
    """
    ledger = resources.Ledger(report.capacity)
    for service in report.services:
        ledger.record(("service", service.service), service.reserved)
    for attempt in worker.attempts.values():
        ledger.record(attempt.name, attempt.reserved)
    for name, reserved in worker.unwanted.items():
        ledger.record(name, reserved)
    worker.ledger = ledger
    worker.services = report.services
    worker.needs_report = False
