"""Acquisition of partitions that have no owner.

Instances with more processors acquire more of them.
"""

import hashlib
import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import process_ids
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_lease

# Mean delay before an instance with one processor acquires a partition. The
# delays differ by instance and partition, so that few instances write the same
# owner key at the same time.
MEAN_ACQUISITION_DELAY_S = 0.3
# Upper bound of the random delay, because it is possible that only instances
# whose hash selects a long one are left.
MAX_RANDOM_DELAY_S = 0.7
# Extra delay of an instance with one processor for each partition that it
# already owns, so that instances with fewer partitions acquire first.
DELAY_PER_PARTITION_S = 0.6
# Upper bound of that extra delay, because it is possible that no instance with
# fewer partitions is left. The lifetime of a killed owner's key and the delays
# must add up to less than what is left of the leases of its runs.
MAX_DELAY_FOR_OWNED_S = 0.8
# Rounding can make a timer fire early by this much.
TIMER_TOLERANCE_S = 0.001
# An instance with a smaller share of a processor computes its delays with this
# one, which bounds the delays.
MIN_PROCESSORS = 0.2
# Extra delay before an instance acquires a partition of another data centre: an
# instance in that data centre can serve it even while the data centre is
# unreachable from the others.
REMOTE_DELAY_S = 8.0


@attrs.frozen
class OwnerKeyWrite(store_messages.Purpose):
    """Purpose of the write that creates the owner key of a partition.

    Attributes:
        partition: Name of the partition.
        lease_id: Store lease to which the key is bound.
    """

    partition: str
    lease_id: str


@attrs.frozen
class AcquisitionDue(messages.Timer):
    """Timer to acquire a partition without an owner."""

    partition: str


def schedule(
    batch: state.Batch, name: str, revision: int, now: float
) -> dispatch.Effects:
    """Schedules the acquisition of a partition that has no owner.

    Args:
        batch: State of this instance.
        name: Name of the partition.
        revision: Store revision at which it had no owner.
        now: Monotonic time, in seconds.
    """
    if name in batch.vacancies or name in batch.partitions:
        return []
    batch.vacancies[name] = state.Vacancy(now, revision)
    return [
        messages.StartTimer(
            AcquisitionDue(name), compute_acquisition_delay(batch, name)
        )
    ]


def compute_acquisition_delay(batch: state.Batch, name: str) -> float:
    """Returns the time without an owner after which to acquire a partition.

    A hash of the instance and the partition selects a value of an exponential
    distribution whose mean is inversely proportional to the processors of the
    instance. The instance with the shortest delay acquires the partition, so
    that each gets partitions in proportion to its processors.

    Returns:
        Delay in seconds.
    """
    owned = len(batch.partitions) + len(batch.acquiring)
    seed = f"{batch.identity.instance_id}/{name}".encode()
    digest = hashlib.blake2b(seed, digest_size=4).digest()
    fraction = (int.from_bytes(digest) + 1) / 2**32
    processors = max(MIN_PROCESSORS, batch.identity.processors)
    owned_s = DELAY_PER_PARTITION_S * owned / processors
    delay_s = min(owned_s, MAX_DELAY_FOR_OWNED_S)
    random_s = -MEAN_ACQUISITION_DELAY_S * math.log(fraction) / processors
    delay_s += min(random_s, MAX_RANDOM_DELAY_S)
    if batch.known_partitions.get(name) != batch.identity.data_centre:
        delay_s += REMOTE_DELAY_S
    return delay_s


@dispatch.handle_timer.register(AcquisitionDue)
def acquire(
    timer: AcquisitionDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Creates the owner key of a partition if it still has no owner."""
    name = timer.partition
    vacancy = batch.vacancies.get(name)
    if vacancy is None or name in batch.acquiring:
        return []
    if batch.shutting_down or batch.configuration is None or not batch.lease_id:
        del batch.vacancies[name]
        return []
    # The delay has grown with each partition acquired since the timer started.
    remaining_s = vacancy.since + compute_acquisition_delay(batch, name) - now
    if remaining_s > TIMER_TOLERANCE_S:
        return [messages.StartTimer(AcquisitionDue(name), remaining_s)]
    batch.acquiring.add(name)
    record = records.OwnerRecord(process_ids.make_owner_id(batch))
    keys = records.make_owner_key(name), records.make_live_owner_key(name)
    return [
        store_messages.StoreTransaction(
            OwnerKeyWrite(name, batch.lease_id),
            tuple((key, 0) for key in keys),
            tuple(
                store_messages.Put(key, record, batch.lease_id) for key in keys
            ),
        )
    ]


@dispatch.handle_store_reply.register(OwnerKeyWrite)
def handle_acquisition(
    purpose: OwnerKeyWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Starts the ownership of a partition if its key was created."""
    name = purpose.partition
    batch.acquiring.discard(name)
    vacancy = batch.vacancies.pop(name, None)
    if isinstance(reply.outcome, store_messages.Committed):
        token = reply.outcome.revision
        return ownership.start_ownership(batch, name, token, now, vacancy)
    lost = isinstance(reply.outcome, store_messages.LeaseLost)
    if lost and purpose.lease_id == batch.lease_id:
        return store_lease.drop(batch, now)
    return []
