"""Operators' queries about workers and partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import answers
from sapphirestall_core import dispatch
from sapphirestall_core import operator_messages
from sapphirestall_core import ownership
from sapphirestall_core import policy_hooks
from sapphirestall_core import resources
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

# Time without a report after which a worker is shown as `silent`.
UNRESPONSIVE_AFTER_S = 5.0


@dispatch.execute.register(operator_messages.ListWorkers)
def list_workers(
    command: operator_messages.ListWorkers,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Lists the workers of the partitions that this instance owns."""
    shown = [
        _show_worker(worker, partition, instance, now)
        for partition in instance.tasks.find_owned()
        for _, worker in sorted(partition.workers.items())
    ]
    return answers.answer(call_id, operator_messages.WorkersListed(shown))


def _show_worker(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> operator_messages.WorkerShown:
    ledger = worker.ledger
    free = ledger.compute_free() if ledger else resources.Vector()
    return operator_messages.WorkerShown(
        worker.worker_id,
        partition.name,
        _name_state(worker, instance, now),
        partition.epoch,
        len(worker.attempts),
        free.cpu_millis,
        free.memory_mb,
        free.accelerators,
    )


def _name_state(
    worker: tasks_state.Worker, instance: state.Instance, now: float
) -> str:
    if not worker.registered:
        return "leaving"
    if (
        worker.reported_at < 0
        or now - worker.reported_at >= UNRESPONSIVE_AFTER_S
    ):
        return "silent"
    if policy_hooks.is_on_probation(worker, instance, now):
        return "probation"
    return "live"


@dispatch.execute.register(operator_messages.ListPartitions)
def list_partitions(
    command: operator_messages.ListPartitions,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Lists the partitions of the data centre with their owners."""
    shown = [
        _show_partition(partition, instance, now)
        for _, partition in sorted(instance.tasks.partitions.items())
    ]
    return answers.answer(call_id, operator_messages.PartitionsListed(shown))


def _show_partition(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> operator_messages.PartitionShown:
    lease = instance.tasks.lease
    authority = ownership.find_authority(partition, lease, now)
    listed = sum(worker.registered for worker in partition.workers.values())
    return operator_messages.PartitionShown(
        partition.name,
        partition.owner_id,
        partition.owner_epoch,
        authority.value if partition.epoch else "elsewhere",
        listed,
    )
