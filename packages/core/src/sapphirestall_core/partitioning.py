"""Assignment of the listed workers to partitions, by rack."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import membership
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state


def refresh(instance: state.Instance) -> None:
    """Updates the partitions and their workers from the platform's list.

    Workers that are no longer listed are kept, marked as not registered. A list
    without workers of the data centre is ignored.
    """
    partitions = instance.tasks.partitions
    listed = instance.members.find(
        membership.Kind.WORKER, instance.identity.data_centre
    )
    if not listed:
        return
    listed_workers = set()
    for listing in listed:
        listed_workers.add((listing.rack, listing.instance_id))
        partition = partitions.get(listing.rack)
        if partition is None:
            partition = tasks_state.Partition(listing.rack)
            partitions[listing.rack] = partition
        worker = partition.workers.get(listing.instance_id)
        if worker is None:
            worker = tasks_state.Worker(
                listing.instance_id, listing.address, listing.rack
            )
            partition.workers[listing.instance_id] = worker
        worker.address = listing.address
    for partition in partitions.values():
        _record_deregistered(partition, instance.members)
        for worker in partition.workers.values():
            worker.registered = (
                partition.name,
                worker.worker_id,
            ) in listed_workers


def _record_deregistered(
    partition: tasks_state.Partition, members: membership.Members
) -> None:
    partition.list_read_at = members.list_read_at
    witnesses = partition.progress.witnesses
    partition.deregistered_since = {
        worker_id: partition.deregistered_since.get(
            worker_id, members.list_read_at
        )
        for worker_id in witnesses
        if worker_id not in members.listings
    }
