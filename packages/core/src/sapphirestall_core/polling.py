"""Poll rounds, workers' reports and outcomes of commands.

A poll renews the task leases of a worker and returns the worker's report. The
answers to one round also count towards authority by witnesses. See
docs/design.md, sections 4.3 and 7.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import commands
from sapphirestall_core import dispatch
from sapphirestall_core import eviction
from sapphirestall_core import inventory
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import policy_hooks
from sapphirestall_core import starts
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "ownership"
POLL_PERIOD_S = 2.0


@attrs.frozen
class PollDue(messages.Timer):
    """Timer to poll the workers of a partition."""

    partition: str
    epoch: int


def resign(
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
    reason: str,
) -> dispatch.Effects:
    """Gives up a partition and drops its state.

    Args:
        partition: Partition that this instance owns or takes over.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
        reason: Reason for the journal and the log.
    """
    name, epoch = partition.name, partition.epoch
    instance.journal.record(now, name, "lose", reason)
    shares = list(partition.shares.values())
    policy_hooks.remove_workers(partition, instance)
    partition.reset()
    for share in shares:
        if not share.job.shares:
            instance.tasks.jobs.pop(share.job.record.job_id, None)
    return [
        messages.Log(
            PART, f"lost partition {name}", {"epoch": epoch, "reason": reason}
        )
    ]


@dispatch.handle_timer.register(PollDue)
def poll_workers(
    timer: PollDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Polls every worker of an owned partition and repeats commands.

    Polls continue without authority, but they renew no leases. Answers of a
    majority then give authority by witnesses.
    """
    partition = instance.tasks.partitions[timer.partition]
    if partition.epoch != timer.epoch or partition.handing_over:
        return []
    partition.round_number += 1
    partition.round_sent_at = now
    partition.answered_witnesses.clear()
    inventory.check_former_attempts(partition, now)
    effects: dispatch.Effects = []
    for worker in partition.workers.values():
        if _is_unresponsive(worker, now):
            effects += _requeue_tasks(worker, partition, instance, now)
        effects += eviction.repeat_commands(worker, partition, instance, now)
        effects.append(_make_poll(worker, partition, instance, now))
    effects += starts.place(partition, instance, now)
    effects.append(messages.StartTimer(timer, POLL_PERIOD_S, 0.1))
    return effects


def _make_poll(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> task_messages.PollWorker:
    renew: tuple[task_messages.AttemptName, ...] = ()
    if commands.may_command(worker, partition, instance, now):
        renew = tuple(
            attempt.name
            for attempt in worker.attempts.values()
            if attempt.phase is not tasks_state.Phase.STOPPING
        )
    if not renew:
        return _make_bare_poll(worker, partition)
    return task_messages.PollWorker(
        round_number=partition.round_number,
        lease_s=ownership.TASK_LEASE_S,
        renew=renew,
        acknowledge=tuple(worker.acknowledge),
        **commands.make_fence(worker, partition),
    )


def _make_bare_poll(
    worker: tasks_state.Worker, partition: tasks_state.Partition
) -> task_messages.PollWorker:
    """Returns a poll that renews nothing and that any incarnation accepts."""
    fence = commands.make_fence(worker, partition)
    fence["incarnation"] = ""
    return task_messages.PollWorker(
        round_number=partition.round_number,
        lease_s=ownership.TASK_LEASE_S,
        acknowledge=tuple(worker.acknowledge),
        **fence,
    )


def _is_unresponsive(worker: tasks_state.Worker, now: float) -> bool:
    has_reported = worker.reported_at >= 0
    return (
        has_reported
        and now - worker.reported_at >= ownership.UNRESPONSIVE_WORKER_WAIT_S
    )


def _requeue_tasks(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Requeues the tasks of a worker whose task leases have all ended."""
    if not worker.attempts:
        return []
    lost_count = len(worker.attempts)
    inventory.requeue_all(worker, partition)
    worker.ledger = None
    reason = f"unresponsive, {lost_count} tasks requeued"
    instance.journal.record(now, worker.worker_id, "give_up", reason)
    return [
        messages.Log(
            "inventory",
            f"worker {worker.worker_id} is unresponsive",
            {"lost": lost_count},
        )
    ]


def find_worker(
    worker_id: str, epoch: int, instance: state.Instance
) -> tuple[tasks_state.Worker, tasks_state.Partition] | None:
    """Returns a worker and its partition if this instance owns the partition.

    Args:
        worker_id: Worker to find.
        epoch: Own epoch under which the partition must be owned.
        instance: State of this entry instance.
    """
    for partition in instance.tasks.partitions.values():
        if partition.epoch == epoch and worker_id in partition.workers:
            return partition.workers[worker_id], partition
    return None


@dispatch.handle.register(task_messages.WorkerReported)
def handle_report(
    event: task_messages.WorkerReported, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Applies a worker's report and places the tasks that now fit.

    A report that is older than the last one of the same incarnation is dropped.
    """
    found = find_worker(event.worker_id, event.epoch, instance)
    if found is None:
        return []
    worker, partition = found
    report = event.report
    same_incarnation = worker.incarnation == report.incarnation
    if (
        same_incarnation
        and report.clock < worker.clock
        and worker.reported_at >= 0
    ):
        return [messages.CountRefusal(PART, "late_report")]
    worker.round_number = event.round_number
    effects = inventory.apply_report(worker, report, partition, instance, now)
    _count_witness(event, worker, partition, instance, now)
    effects += policy_hooks.handle_report(
        worker, report, partition, instance, now
    )
    return effects + starts.place(partition, instance, now)


def _count_witness(
    event: task_messages.WorkerReported,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> None:
    """Counts an answer to the current round towards authority by witnesses.

    The worker must not have restarted since it last answered under the store
    lease, because a restarted worker has lost the highest epoch.
    """
    lease = instance.tasks.lease
    authority = ownership.find_authority(partition, lease, now)
    incarnation = event.report.incarnation
    if authority is ownership.Authority.LEASE:
        worker.witness_incarnation = incarnation
    if (
        event.round_number != partition.round_number
        or event.report.highest_epoch != partition.epoch
        or worker.witness_incarnation != incarnation
    ):
        return
    partition.answered_witnesses.add(worker.worker_id)
    witnesses = partition.progress.witnesses
    if ownership.is_majority(partition.answered_witnesses, witnesses):
        partition.majority_round = event.round_number
        partition.round_valid_until = (
            partition.round_sent_at + ownership.COMMAND_TERM_S
        )


@dispatch.handle.register(task_messages.WorkerFailed)
def handle_poll_failure(
    event: task_messages.WorkerFailed, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Resigns from the partition if the worker has accepted a successor.

    A restarted worker refuses a poll that renews leases. The poll is repeated
    at once without renewals, to learn which tasks were lost.
    """
    found = find_worker(event.worker_id, event.epoch, instance)
    if found is None:
        return []
    worker, partition = found
    if event.code == "stale_epoch":
        reason = f"{event.worker_id} refused the epoch"
        return resign(partition, instance, now, reason)
    if event.code in ("wrong_incarnation", "expired"):
        return [_make_bare_poll(worker, partition)]
    return []


@dispatch.handle.register(task_messages.CommandDone)
def handle_command_done(
    event: task_messages.CommandDone, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Handles a worker's acknowledgement of a command."""
    partition = _find_partition(event.command, instance)
    if partition is None:
        return []
    return eviction.handle_done(event.command, event, partition, instance, now)


@dispatch.handle.register(task_messages.CommandFailed)
def handle_command_failure(
    event: task_messages.CommandFailed, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Handles a failed command, or resigns if a successor exists."""
    partition = _find_partition(event.command, instance)
    if partition is None:
        return []
    if event.code == "stale_epoch" and event.command.epoch == partition.epoch:
        reason = f"{event.worker_id} refused the epoch"
        return resign(partition, instance, now, reason)
    return eviction.handle_failure(
        event.command, event, partition, instance, now
    )


def _find_partition(
    command: task_messages.WorkerEffect, instance: state.Instance
) -> tasks_state.Partition | None:
    """Returns the owned partition of a command's worker.

    The epoch may differ from that of the command, since the owner may have
    re-created its key. Attempts are matched by name.
    """
    for partition in instance.tasks.find_owned():
        if command.worker_id in partition.workers:
            return partition
    return None
