"""Release of the runs of a partition by an owner that resigns.

An owner that has resigned extends no lease any more. It stores when the leases
that it has requested expire, so that its successor need not assume that a
worker without a listing has a lease that was just extended.

The record lies among those that the successor reads and watches, so it counts
even if the successor has taken over before. Each owner raises the generation in
the roster before it extends leases or starts tasks, so no other owner has come
between the one that wrote a release and one of the next generation.
"""

import math

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "takeover"


@attrs.frozen
class ReleaseWrite(store_messages.Purpose):
    """Purpose of the write of a release by an owner that has resigned.

    Attributes:
        partition: Name of the partition.
    """

    partition: str


@attrs.frozen
class ReleaseRead(store_messages.Purpose):
    """Purpose of the read of the former owner's release by a new owner."""

    partition: str
    token: int


def release(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Stores when the leases on the workers of a partition expire.

    A start without an answer counts as well: a worker refuses it after the end
    of the lease that it requests, unless it has restarted. Does nothing if the
    owner was not active, and has therefore extended no lease.

    Args:
        batch: State of this instance.
        partition: Partition whose ownership has just been given up.
        now: Monotonic time, in seconds.
    """
    if partition.phase is not state.Phase.ACTIVE:
        return []
    batch.releases_in_flight.add(partition.name)
    names = partition.roster | partition.unlisted_workers
    remaining_s = {
        name: find_remaining(batch, partition, name, now)
        for name in sorted(names)
    }
    record = records.ReleaseRecord(
        partition.generation,
        {
            name: int(seconds * 1000) + 1
            for name, seconds in remaining_s.items()
            if seconds is not None
        },
    )
    put = store_messages.Put(records.make_release_key(partition.name), record)
    purpose = ReleaseWrite(partition.name)
    return [store_messages.StoreTransaction(purpose, (), (put,))]


def find_remaining(
    batch: state.Batch, partition: state.Partition, name: str, now: float
) -> float | None:
    """Returns the time after which all runs on a worker have ended.

    Returns:
        Time in seconds; None if it is not known.
    """
    former_s = 0.0
    if name in partition.unlisted_workers:
        former_s = max(0.0, former_runs.find_end(partition, name) - now)
    own_s = _find_own_remaining(batch, partition, name, now)
    if own_s is None or math.isinf(former_s):
        return None
    return max(own_s, former_s)


def _find_own_remaining(
    batch: state.Batch, partition: state.Partition, name: str, now: float
) -> float | None:
    """Returns the time after which the leases of this owner have expired.

    Returns:
        Time in seconds; None if it is not known.
    """
    worker = partition.workers.get(name)
    if worker is None:
        # The owner removes a worker only when it has no runs left, also if it
        # has not been able to store a roster without this worker yet.
        return 0.0
    lease_s = batch.identity.limits.worker_lease_s
    remaining_s = leases.compute_remaining(worker, lease_s, now)
    if remaining_s is None and not worker.runs and not worker.abandoned_starts:
        # No lease is requested while the worker's clock is unknown.
        return 0.0
    return remaining_s


@dispatch.handle_store_reply.register(ReleaseWrite)
def handle_release(
    purpose: ReleaseWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records that a release was written, or that its outcome is unknown.

    Without the release the next owner waits longer.
    """
    batch.releases_in_flight.discard(purpose.partition)
    if not isinstance(reply.outcome, store_messages.Committed):
        batch.release_missing = True
    return []


def read_release(partition: state.Partition) -> dispatch.Effects:
    """Reads the release of the former owner.

    The records of jobs, among which it lies, may take long to read.
    """
    return [
        store_messages.StoreGet(
            ReleaseRead(partition.name, partition.token),
            records.make_release_key(partition.name),
            records.ReleaseRecord,
        )
    ]


@dispatch.handle_store_reply.register(ReleaseRead)
def apply_release(
    purpose: ReleaseRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Keeps the release that was read, if there is one.

    After a failed read the release is found among the job records.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Found):
        observe_record(batch, partition, outcome, now)
    elif not isinstance(outcome, store_messages.Absent):
        return []
    partition.release_read = True
    return []


def observe_record(
    batch: state.Batch,
    partition: state.Partition,
    found: store_messages.Found,
    now: float,
) -> None:
    """Keeps a record that was read if it is a release."""
    if isinstance(found.value, records.ReleaseRecord):
        written_at = batch.revision_times.find_reached_at(found.revision, now)
        observe_release(partition, found.value, written_at)


def observe_release(
    partition: state.Partition,
    record: records.ReleaseRecord,
    written_at: float,
) -> None:
    """Keeps a release that was read, and when the leases expire at the latest.

    Args:
        partition: The owned partition.
        record: The release, which an earlier owner may have written.
        written_at: Monotonic time at which it had been written for certain, in
            seconds.
    """
    if record.released_generation <= partition.released_generation:
        # A release that is read again says nothing about later leases.
        return
    partition.released_generation = record.released_generation
    partition.former_leases_end_at = {
        name: written_at + lease_ms / 1000
        for name, lease_ms in record.lease_ms.items()
    }
