"""Acquisition, renewal and loss of the ownership of partitions.

A partition consists of the workers of some racks, so that the work of a data
centre is divided among its instances whatever its size. Every instance learns
which partitions exist from the platform's list of workers and from the rosters
in the store, and acquires partitions that have no owner. Instances with more
processors acquire more of them.

The owner of a partition has created the partition's owner key in the platform's
store. The key is bound to the instance's store lease and disappears with it.
The revision at which the key was created is the owner's fencing token. Workers
refuse a command whose token is lower than one they have seen. A new owner calls
every worker before it starts tasks there. Once it has called a worker, that
worker carries out no command of a former owner. This does not depend on the
owners' clocks.
"""

from collections.abc import Iterable
import hashlib
import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure

PART = "ownership"
# Resignation reason: a worker has refused the fencing token.
FENCED = "fenced"
# Interval of an instance that owns nothing. It needs the store lease only when
# it acquires a partition.
IDLE_RENEWAL_INTERVAL_S = 1.0
OWNERS_READ_INTERVAL_S = 2.0
OWNERS_WATCH_TIMEOUT_S = 3.0
WATCH_RETRY_S = 0.3
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
class LeaseGrant(store_messages.Purpose):
    """Purpose of the grant of this instance's store lease."""


@attrs.frozen
class LeaseRenewal(store_messages.Purpose):
    """Purpose of the renewal of this instance's store lease."""


@attrs.frozen
class LeaseEnd(store_messages.Purpose):
    """Purpose of the end of the store lease when the process shuts down."""


@attrs.frozen
class OwnersRead(store_messages.Purpose):
    """Purpose of the read of all owner keys."""


@attrs.frozen
class OwnersWatch(store_messages.Purpose):
    """Purpose of the watch of the owner keys."""


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
class OwnerKeyRemoval(store_messages.Purpose):
    """Purpose of the removal of an own key whose token workers refuse."""


@attrs.frozen
class LeaseDue(messages.Timer):
    """Timer to obtain or renew the store lease."""


@attrs.frozen
class OwnersReadDue(messages.Timer):
    """Timer to read the owner keys periodically."""


@attrs.frozen
class OwnersWatchDue(messages.Timer):
    """Timer to restart a failed watch of the owner keys."""


@attrs.frozen
class AcquisitionDue(messages.Timer):
    """Timer to acquire a partition without an owner."""

    partition: str


def make_owner_id(batch: state.Batch) -> str:
    """Returns the owner id of this incarnation of the instance."""
    return f"{batch.identity.instance_id}/{batch.identity.incarnation}"


def make_process_id(batch: state.Batch) -> str:
    """Returns the id of this process, which tells where it runs."""
    return _make_process_prefix(batch) + batch.identity.incarnation


def _make_process_prefix(batch: state.Batch) -> str:
    return f"{batch.identity.instance_id}@{batch.identity.address}/"


def was_former_process(batch: state.Batch, process_id: str) -> bool:
    """Returns whether a process ran in the place of this one and has ended."""
    if not batch.identity.address or process_id == make_process_id(batch):
        return False
    return process_id.startswith(_make_process_prefix(batch))


@dispatch.handle_timer.register(LeaseDue)
def renew_store_lease(
    timer: LeaseDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Obtains or renews the store lease and schedules the next renewal."""
    active = batch.partitions or batch.acquiring
    interval_s = (
        tenure.LEASE_RENEWAL_INTERVAL_S if active else IDLE_RENEWAL_INTERVAL_S
    )
    next_renewal = messages.StartTimer(LeaseDue(), interval_s)
    if batch.lease_call_in_flight or batch.shutting_down:
        return [next_renewal]
    batch.lease_call_in_flight = True
    batch.lease_call_sent_at = now
    call: store_messages.StoreEffect
    if batch.lease_id:
        call = store_messages.StoreRenewLease(LeaseRenewal(), batch.lease_id)
    else:
        call = store_messages.StoreGrantLease(LeaseGrant(), tenure.LEASE_TTL_S)
    return [next_renewal, call]


@dispatch.handle_store_reply.register(LeaseGrant)
def handle_lease_grant(
    purpose: LeaseGrant,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Stores the granted lease id and reads the owner keys.

    The read finds partitions without an owner, to be acquired under the lease.
    """
    batch.lease_call_in_flight = False
    if not isinstance(reply.outcome, store_messages.LeaseGranted):
        return []
    batch.lease_id = reply.outcome.lease_id
    batch.lease_renewed_at = reply.sent_at
    return [read_owners()]


@dispatch.handle_store_reply.register(LeaseRenewal)
def handle_lease_renewal(
    purpose: LeaseRenewal,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records a renewal, or gives up all partitions if the lease was lost.

    After a loss it requests a new store lease.
    """
    batch.lease_call_in_flight = False
    if isinstance(reply.outcome, store_messages.LeaseGranted):
        batch.lease_renewed_at = reply.sent_at
        return _apply_confirmation(batch, now)
    if not isinstance(reply.outcome, store_messages.LeaseLost):
        return []
    effects = _drop_store_lease(batch, now)
    if not batch.shutting_down:
        batch.lease_call_in_flight = True
        batch.lease_call_sent_at = now
        effects.append(
            store_messages.StoreGrantLease(LeaseGrant(), tenure.LEASE_TTL_S)
        )
    return effects


def _drop_store_lease(batch: state.Batch, now: float) -> dispatch.Effects:
    """Gives up all partitions, as their keys have ended with the lease."""
    batch.lease_id = ""
    effects: dispatch.Effects = []
    for name in list(batch.partitions):
        effects += resign(batch, name, "lease_lost", now)
    return effects


def _apply_confirmation(batch: state.Batch, now: float) -> dispatch.Effects:
    """Requests the passes that waited for a confirmation of the ownership."""
    wanted_at = batch.confirmation_wanted_at
    if wanted_at is None:
        return []
    if batch.lease_renewed_at < wanted_at:
        return _renew_now(batch, now)
    batch.confirmation_wanted_at = None
    effects: dispatch.Effects = []
    for partition in batch.partitions.values():
        effects += passes.request_pass(partition)
    return effects


def request_confirmation(batch: state.Batch, now: float) -> dispatch.Effects:
    """Renews the store lease without waiting for the next regular renewal.

    Passes start the tasks of runs that ended by a worker's silence only after a
    renewal that was sent later.
    """
    batch.confirmation_wanted_at = now
    return _renew_now(batch, now)


def _renew_now(batch: state.Batch, now: float) -> dispatch.Effects:
    if batch.lease_call_in_flight or not batch.lease_id or batch.shutting_down:
        return []
    batch.lease_call_in_flight = True
    batch.lease_call_sent_at = now
    return [store_messages.StoreRenewLease(LeaseRenewal(), batch.lease_id)]


def resign(
    batch: state.Batch, name: str, reason: str, now: float
) -> dispatch.Effects:
    """Gives up the ownership of a partition; its runs continue.

    Stores when the leases of these runs expire, for the next owner.
    """
    partition = batch.partitions.pop(name, None)
    if partition is None:
        return []
    if reason == FENCED:
        batch.fenced_tokens[name] = partition.token
    batch.vacancies.pop(name, None)
    return [
        messages.Log(
            PART,
            "resigned",
            {
                "partition": name,
                "token": partition.token,
                "reason": reason,
                "held_s": round(now - partition.acquired_at, 3),
            },
        ),
        *releases.release(batch, partition, now),
    ]


def read_owners() -> store_messages.StoreEffect:
    """Returns the store call that lists all owner keys."""
    return store_messages.StoreList(
        OwnersRead(), records.OWNERS_PREFIX, records.OwnerRecord
    )


@dispatch.handle_timer.register(OwnersReadDue)
def poll_owners(
    timer: OwnersReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys periodically, in addition to the watch."""
    return [
        messages.StartTimer(OwnersReadDue(), OWNERS_READ_INTERVAL_S),
        read_owners(),
    ]


@dispatch.handle_store_reply.register(OwnersRead)
def apply_owners(
    purpose: OwnersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Compares the listed owner keys with the partitions of this instance.

    Gives up partitions whose key is gone or belongs to a successor, schedules
    the acquisition of partitions without an owner, and starts the watch if
    none runs.
    """
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        return []
    effects: dispatch.Effects = []
    present = set()
    for found in outcome.entries:
        name = found.key.removeprefix(records.OWNERS_PREFIX)
        present.add(name)
        effects += _apply_owner_record(batch, name, found, now)
    for name in list(batch.known_partitions):
        if name in present:
            continue
        owned = batch.partitions.get(name)
        if owned is not None and owned.token < outcome.revision:
            effects += resign(batch, name, "key_removed", now)
        effects += _schedule_acquisition(batch, name, outcome.revision, now)
    if not batch.owners_watching:
        effects += _watch_owners(batch, outcome.revision)
    return effects


def _apply_owner_record(
    batch: state.Batch, name: str, found: store_messages.Found, now: float
) -> dispatch.Effects:
    batch.known_partitions.setdefault(name, model.get_data_centre(name))
    owned = batch.partitions.get(name)
    record = found.value
    is_own = _is_own_record(batch, record)
    if not (is_own and name in batch.acquiring):
        # The reply to an own write, which may come later, needs the vacancy.
        batch.vacancies.pop(name, None)
    if not isinstance(record, records.OwnerRecord):
        return []
    if is_own:
        if batch.fenced_tokens.get(name) == found.create_revision:
            return _remove_refused_key(name, found)
        # The answer to the write that created the key may have been lost.
        if (
            owned is None
            and name not in batch.acquiring
            and not batch.shutting_down
        ):
            return start_ownership(batch, name, found.create_revision, now)
        return []
    if owned is not None and found.create_revision > owned.token:
        return resign(batch, name, "other_owner", now)
    return []


def _is_own_record(batch: state.Batch, record: object) -> bool:
    return isinstance(
        record, records.OwnerRecord
    ) and record.instance_id == make_owner_id(batch)


def _remove_refused_key(
    name: str, found: store_messages.Found
) -> dispatch.Effects:
    """Removes an owner key of this instance whose token workers refuse.

    Acquiring the partition again then yields a higher token.
    """
    key = records.make_owner_key(name)
    return [
        store_messages.StoreTransaction(
            OwnerKeyRemoval(),
            ((key, found.revision),),
            removals=(key, records.make_live_owner_key(name)),
        )
    ]


@dispatch.handle_store_reply.register(OwnerKeyRemoval)
def handle_key_removal(
    purpose: OwnerKeyRemoval,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Ignores the outcome of a removal.

    The watch or the next read of the owner keys shows whether the key is gone,
    and schedules the acquisition of the partition.
    """
    return []


def add_partitions(
    batch: state.Batch, names: Iterable[str], now: float
) -> dispatch.Effects:
    """Records new partitions and reads the owner keys if there are any.

    The read schedules the acquisition of those without an owner.
    """
    new = [name for name in names if name not in batch.known_partitions]
    if not new:
        return []
    for name in new:
        batch.known_partitions[name] = model.get_data_centre(name)
    log = messages.Log(
        PART,
        "partitions",
        {"new": len(new), "known": len(batch.known_partitions)},
    )
    return [log, read_owners()]


@attrs.frozen
class RostersRead(store_messages.Purpose):
    """Purpose of the read of the rosters of all partitions.

    Every partition that ever had an owner has a roster.
    """


def read_rosters() -> dispatch.Effects:
    """Reads all rosters, which also name partitions that now lack workers."""
    return [
        store_messages.StoreList(
            RostersRead(), records.ROSTERS_PREFIX, records.RosterRecord
        )
    ]


@dispatch.handle_store_reply.register(RostersRead)
def apply_rosters(
    purpose: RostersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records the partitions that the rosters name.

    A failed read is repeated with the next read of the platform's list of
    workers.
    """
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    batch.partitions_loaded = True
    names = [
        found.key.removeprefix(records.ROSTERS_PREFIX)
        for found in reply.outcome.entries
    ]
    return add_partitions(batch, names, now)


def _schedule_acquisition(
    batch: state.Batch, name: str, revision: int, now: float
) -> dispatch.Effects:
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


def _watch_owners(batch: state.Batch, revision: int) -> dispatch.Effects:
    batch.owners_watching = True
    return [
        store_messages.StoreFollow(
            OwnersWatch(),
            records.OWNERS_PREFIX,
            revision,
            records.OwnerRecord,
            OWNERS_WATCH_TIMEOUT_S,
        )
    ]


@dispatch.handle_store_reply.register(OwnersWatch)
def apply_owner_changes(
    purpose: OwnersWatch,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies changes to the owner keys and continues the watch."""
    outcome = reply.outcome
    batch.owners_watching = False
    if not isinstance(outcome, store_messages.Followed):
        return [messages.StartTimer(OwnersWatchDue(), WATCH_RETRY_S, 0.3)]
    effects: dispatch.Effects = []
    for change in outcome.changes:
        name = change.key.removeprefix(records.OWNERS_PREFIX)
        effects += apply_owner_change(batch, name, change, now)
    return effects + _watch_owners(batch, outcome.revision)


def apply_owner_change(
    batch: state.Batch,
    name: str,
    change: store_messages.Found | store_messages.Removed,
    now: float,
) -> dispatch.Effects:
    """Applies a change to an owner key or to its copy.

    The copy lies among the job records of the partition.
    """
    if isinstance(change, store_messages.Found):
        return _apply_owner_record(batch, name, change, now)
    effects: dispatch.Effects = []
    owned = batch.partitions.get(name)
    if owned is not None and change.revision > owned.token:
        effects += resign(batch, name, "key_removed", now)
    return effects + _schedule_acquisition(batch, name, change.revision, now)


@dispatch.handle_timer.register(OwnersWatchDue)
def restart_watch(
    timer: OwnersWatchDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys; the reply to the read starts the watch again."""
    return [] if batch.owners_watching else [read_owners()]


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
    record = records.OwnerRecord(make_owner_id(batch))
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
        return start_ownership(batch, name, token, now, vacancy)
    lost = isinstance(reply.outcome, store_messages.LeaseLost)
    if lost and purpose.lease_id == batch.lease_id:
        return _drop_store_lease(batch, now)
    return []


@attrs.frozen
class PartitionAcquired(messages.Event):
    """Reports that this instance has become the owner of a partition."""

    partition: str


def start_ownership(
    batch: state.Batch,
    name: str,
    token: int,
    now: float,
    vacancy: state.Vacancy | None = None,
) -> dispatch.Effects:
    """Records the ownership of a partition and starts loading it.

    Args:
        batch: State of this instance; changed in place.
        name: Name of the partition.
        token: Fencing token: revision at which the owner key was created.
        now: Monotonic time, in seconds.
        vacancy: Since when this instance knew that the partition had no owner;
            None if it did not know.
    """
    batch.partitions[name] = state.Partition(
        name,
        token,
        now,
        vacancy=vacancy or state.Vacancy(now, token),
    )
    log = messages.Log(PART, "taken", {"partition": name, "token": token})
    return [log, *dispatch.handle(PartitionAcquired(name), batch, now)]
