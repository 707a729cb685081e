"""Poll rounds, workers' reports and the outcomes of commands."""

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
    """Time to poll the workers of a partition."""

    partition: str
    epoch: int


def resign(
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
    reason: str,
) -> dispatch.Effects:
    """Ends all authority over a partition and forgets its state."""
    name, epoch = partition.name, partition.epoch
    instance.journal.record(now, name, "lose", reason)
    shares = list(partition.shares.values())
    policy_hooks.forget_workers(partition, instance)
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

    Without authority nothing is renewed, but the polls go on: the answers of
    a majority give authority (b).
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
    """Returns a poll that renews nothing and suits every incarnation."""
    fence = commands.make_fence(worker, partition)
    fence["incarnation"] = ""
    return task_messages.PollWorker(
        round_number=partition.round_number,
        lease_s=ownership.TASK_LEASE_S,
        acknowledge=tuple(worker.acknowledge),
        **fence,
    )


def _is_unresponsive(worker: tasks_state.Worker, now: float) -> bool:
    heard = worker.reported_at >= 0
    return (
        heard
        and now - worker.reported_at >= ownership.UNRESPONSIVE_WORKER_WAIT_S
    )


def _requeue_tasks(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Requeues the tasks of a silent worker after every lease has ended."""
    if not worker.attempts:
        return []
    lost = len(worker.attempts)
    inventory.requeue_all(worker, partition)
    worker.ledger = None
    reason = f"silent, {lost} tasks wait again"
    instance.journal.record(now, worker.worker_id, "give_up", reason)
    return [
        messages.Log(
            "inventory", f"worker {worker.worker_id} is silent", {"lost": lost}
        )
    ]


def find_worker(
    worker_id: str, epoch: int, instance: state.Instance
) -> tuple[tasks_state.Worker, tasks_state.Partition] | None:
    """Returns a worker and its partition if it is owned under an epoch."""
    for partition in instance.tasks.partitions.values():
        if partition.epoch == epoch and worker_id in partition.workers:
            return partition.workers[worker_id], partition
    return None


@dispatch.handle.register(task_messages.WorkerReported)
def handle_report(
    event: task_messages.WorkerReported, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Takes a worker's inventory and places what now fits."""
    found = find_worker(event.worker_id, event.epoch, instance)
    if found is None:
        return []
    worker, partition = found
    report = event.report
    same = worker.incarnation == report.incarnation
    if same and report.clock < worker.clock and worker.reported_at >= 0:
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
    """Counts an answer of the present round towards authority (b)."""
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
    """Gives the partition up if the worker knows a newer owner.

    A poll that renews leases is refused by a restarted worker; it is repeated
    at once without renewals, to learn what the worker lost.
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
    """Takes a worker's acknowledgement of a command."""
    partition = _find_partition(event.command, instance)
    if partition is None:
        return []
    return eviction.handle_done(event.command, event, partition, instance, now)


@dispatch.handle.register(task_messages.CommandFailed)
def handle_command_failure(
    event: task_messages.CommandFailed, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Takes the failure of a command."""
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

    The epoch may have changed since the command was sent, when the owner
    re-created its key; attempts are matched by name.
    """
    for partition in instance.tasks.find_owned():
        if command.worker_id in partition.workers:
            return partition
    return None
