"""Eviction of running tasks.

An evicted task is checkpointed if possible, stopped and requeued. See
docs/design.md, section 4.4.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import attempts
from sapphirestall_core import commands
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state

PART = "eviction"
# An eviction whose checkpoint takes longer is abandoned; the task continues.
CHECKPOINT_TIMEOUT_S = 10.0


@attrs.frozen
class Candidate:
    """Running attempt that may be evicted.

    Attributes:
        name: Name of the attempt.
        reserved: Resources reserved for it.
        urgency: Urgency of its job.
        kind: Kind of work.
        team: Team of its job.
        checkpointable: Whether it can be checkpointed.
        lost_work_s: Time since it was started or adopted, in seconds. An
            eviction loses this work if it cannot be checkpointed.
    """

    name: task_messages.AttemptName
    reserved: resources.Vector
    urgency: int
    kind: str
    team: str
    checkpointable: bool
    lost_work_s: float


def list_candidates(worker: tasks_state.Worker, now: float) -> list[Candidate]:
    """Returns the attempts of a worker that may be evicted.

    These are running attempts of active jobs that are not being evicted yet.
    The least urgent come first, and among these the one that loses the least
    work.
    """
    candidates = [
        _describe(attempt, attempt.share.job.record.checkpointable, now)
        for attempt in worker.attempts.values()
        if attempt.phase is tasks_state.Phase.RUNNING
        and attempt.share is not None
        and attempt.share.is_active
    ]
    return sorted(candidates, key=_rank)


def _describe(
    attempt: tasks_state.Attempt, checkpointable: bool, now: float
) -> Candidate:
    assert attempt.share is not None
    record = attempt.share.job.record
    return Candidate(
        attempt.name,
        attempt.reserved,
        record.urgency,
        record.kind,
        record.team,
        checkpointable,
        now - attempt.started_at,
    )


def _rank(candidate: Candidate) -> tuple[int, float]:
    lost_s = 0.0 if candidate.checkpointable else candidate.lost_work_s
    return candidate.urgency, lost_s


def start(
    name: task_messages.AttemptName,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
    reason: str,
) -> dispatch.Effects:
    """Starts the eviction of a running attempt.

    Args:
        name: The attempt; another attempt of the task is not evicted.
        partition: Its partition, owned by this instance.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
        reason: Reason for the decision journal.

    Returns:
        The first command, or the count of a refusal if the attempt is not
        running, is already being evicted or its worker may not be commanded.
    """
    attempt = partition.attempts.get(attempts.make_task_name(name))
    current = attempt is not None and attempt.name == name
    if (
        attempt is None
        or not current
        or attempt.phase is not tasks_state.Phase.RUNNING
        or attempt.share is None
    ):
        return [messages.CountRefusal(PART, "not_running")]
    worker = partition.workers[attempt.worker_id]
    if not commands.may_command(worker, partition, instance, now):
        return [messages.CountRefusal(PART, "no_authority")]
    instance.journal.record(now, str(name), "evict", reason)
    if not attempt.share.job.record.checkpointable:
        return stop(attempt, partition, instance, now)
    attempt.phase = tasks_state.Phase.CHECKPOINTING
    attempt.phase_since = now
    return [commands.make_checkpoint(name, worker, partition)]


def stop(
    attempt: tasks_state.Attempt,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Stops an attempt.

    `repeat_commands` repeats the command until a report shows the end.
    """
    if attempt.phase is not tasks_state.Phase.STOPPING:
        attempt.phase = tasks_state.Phase.STOPPING
        attempt.phase_since = now
    worker = partition.workers[attempt.worker_id]
    if not commands.may_command(worker, partition, instance, now):
        return []
    return [commands.make_stop(attempt.name, worker, partition)]


def repeat_commands(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Repeats unanswered commands and abandons slow checkpoints."""
    if not commands.may_command(worker, partition, instance, now):
        return []
    effects: dispatch.Effects = [
        commands.make_stop(name, worker, partition) for name in worker.unwanted
    ]
    for attempt in list(worker.attempts.values()):
        match attempt.phase:
            case tasks_state.Phase.STOPPING:
                effects += stop(attempt, partition, instance, now)
            case tasks_state.Phase.CHECKPOINTING:
                effects += _repeat_checkpoint(attempt, worker, partition, now)
    return effects


def _repeat_checkpoint(
    attempt: tasks_state.Attempt,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    now: float,
) -> dispatch.Effects:
    if now - attempt.phase_since > CHECKPOINT_TIMEOUT_S:
        return _abandon_checkpoint(attempt, "checkpoint_slow")
    return [commands.make_checkpoint(attempt.name, worker, partition)]


def _abandon_checkpoint(
    attempt: tasks_state.Attempt, code: str
) -> dispatch.Effects:
    attempt.phase = tasks_state.Phase.RUNNING
    return [messages.CountRefusal(PART, code)]


def handle_checkpoint(
    attempt: tasks_state.Attempt,
    checkpoint: str,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a checkpoint and stops an attempt that is being evicted."""
    newer = bool(checkpoint) and checkpoint != attempt.checkpoint
    if newer:
        attempt.checkpoint = checkpoint
    if newer and attempt.phase is tasks_state.Phase.CHECKPOINTING:
        return stop(attempt, partition, instance, now)
    return []


def find_current(
    name: task_messages.AttemptName, partition: tasks_state.Partition
) -> tasks_state.Attempt | None:
    """Returns an attempt if it is the current one of its task."""
    attempt = partition.attempts.get(attempts.make_task_name(name))
    return attempt if attempt is not None and attempt.name == name else None


@functools.singledispatch
def handle_done(
    command: task_messages.WorkerEffect,
    event: task_messages.CommandDone,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles the acknowledgement of a command, by its type."""
    return []


@handle_done.register(task_messages.CheckpointTask)
def _(
    command: task_messages.CheckpointTask,
    event: task_messages.CommandDone,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = find_current(command.name, partition)
    if attempt is None:
        return [messages.CountRefusal(PART, "late_acknowledgement")]
    return handle_checkpoint(
        attempt, event.checkpoint, partition, instance, now
    )


@handle_done.register(task_messages.StopTask)
def _(
    command: task_messages.StopTask,
    event: task_messages.CommandDone,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = find_current(command.name, partition)
    if attempt is None or attempt.phase is not tasks_state.Phase.STOPPING:
        return [messages.CountRefusal(PART, "late_acknowledgement")]
    requeue_stopped(attempt, event.checkpoint, partition)
    return []


def requeue_stopped(
    attempt: tasks_state.Attempt,
    checkpoint: str,
    partition: tasks_state.Partition,
) -> None:
    """Requeues a stopped attempt's task with its newest checkpoint."""
    share = attempt.share
    if share is not None:
        newest = checkpoint or attempt.checkpoint
        attempts.record_checkpoint(share, attempt.name, newest)
        record_end(attempt.name, attempt.worker_id, share, partition)
    attempts.requeue(attempt, partition)


def record_end(
    name: task_messages.AttemptName,
    worker_id: str,
    share: tasks_state.Share,
    partition: tasks_state.Partition,
) -> None:
    """Records an ended attempt, to be acknowledged once it is committed.

    The ends of an ended job are acknowledged without a commit, as its record
    shows that none of its tasks will run again.
    """
    if share.is_active:
        partition.uncommitted_ends[name] = worker_id
        partition.dirty_jobs.add(name.job_id)
    elif worker_id in partition.workers:
        partition.workers[worker_id].acknowledge.add(name)


@functools.singledispatch
def handle_failure(
    command: task_messages.WorkerEffect,
    event: task_messages.CommandFailed,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles a failed command, by its type.

    Failures without a handler need none: the next report shows their outcome.
    """
    return []


@handle_failure.register(task_messages.CheckpointTask)
def _(
    command: task_messages.CheckpointTask,
    event: task_messages.CommandFailed,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = find_current(command.name, partition)
    checkpointing = (
        attempt is not None and attempt.phase is tasks_state.Phase.CHECKPOINTING
    )
    if attempt is None or not checkpointing:
        return []
    if event.code == "checkpoint_failed":
        return _abandon_checkpoint(attempt, event.code)
    return []
