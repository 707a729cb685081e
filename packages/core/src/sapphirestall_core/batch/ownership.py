"""Which instance owns which partition.

A partition is the workers of two racks, so that the work of a data centre is
divided among its instances whatever its size. Every instance learns from the
platform's list of workers and from past rosters which partitions there are, and
takes those without an owner; instances with more processors take more.

An owner holds the partition's owner key in the platform's store under a store
lease. The revision at which the key was created is its fencing token. Workers
refuse orders with a lower token than they have seen, so an owner needs no
clock to be safe: a newer owner first calls every worker, and after that no
order of an older owner is carried out there.
"""

from collections.abc import Iterable
import hashlib
import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "ownership"
# Reason of a resignation after workers refused the token.
FENCED = "fenced"
# Life of the owner keys after the last renewal, in seconds. A killed owner is
# replaced after it; a pause or a slow store of this length costs a takeover.
LEASE_TTL_S = 2.5
LEASE_RENEWAL_INTERVAL_S = 0.6
# A worker that answers is heard of more often than this.
UNRESPONSIVE_AFTER_S = 2.5
OWNERS_READ_INTERVAL_S = 2.0
OWNERS_WATCH_TIMEOUT_S = 3.0
WATCH_RETRY_S = 0.3
# Mean delay of an instance with one processor before it takes a partition. The
# delays differ by instance and partition, so that few write at the same time.
MEAN_ACQUISITION_DELAY_S = 0.3
# An instance that already owns partitions lets others go first.
DELAY_PER_PARTITION_S = 0.6
# No partition waits longer than this for an instance that owns less, as few
# instances may be left.
MAX_DELAY_FOR_OWNED_S = 2.0
# A timer may fire this much early by rounding.
TIMER_TOLERANCE_S = 0.001
# A smaller share of a processor is taken as this, which bounds the delays.
MIN_PROCESSORS = 0.2
# An instance of another data centre takes a partition only after this time:
# while a data centre is cut off, its own owner can still serve it.
REMOTE_DELAY_S = 8.0


@attrs.frozen
class LeaseGrant(store_messages.Purpose):
    """Obtains the store lease of this instance."""


@attrs.frozen
class LeaseRenewal(store_messages.Purpose):
    """Renews the store lease of this instance."""


@attrs.frozen
class LeaseEnd(store_messages.Purpose):
    """Gives up the store lease when the process ends."""


@attrs.frozen
class OwnersRead(store_messages.Purpose):
    """Reads all owner keys."""


@attrs.frozen
class OwnersWatch(store_messages.Purpose):
    """Waits for changes of the owner keys."""


@attrs.frozen
class OwnerKeyWrite(store_messages.Purpose):
    """Creates the owner key of a partition."""

    partition: str


@attrs.frozen
class OwnerKeyRemoval(store_messages.Purpose):
    """Removes an own owner key whose token workers refuse."""


@attrs.frozen
class LeaseDue(messages.Timer):
    """Renews the store lease."""


@attrs.frozen
class OwnersReadDue(messages.Timer):
    """Reads the owner keys again."""


@attrs.frozen
class OwnersWatchDue(messages.Timer):
    """Follows the owner keys again after a failure."""


@attrs.frozen
class AcquisitionDue(messages.Timer):
    """Takes a partition if it still has no owner."""

    partition: str


def make_owner_id(batch: state.Batch) -> str:
    """Returns the name under which this start of the process owns."""
    return f"{batch.identity.instance_id}/{batch.identity.incarnation}"


@dispatch.expire.register(LeaseDue)
def renew_store_lease(
    timer: LeaseDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Obtains or renews the store lease."""
    again = messages.StartTimer(LeaseDue(), LEASE_RENEWAL_INTERVAL_S)
    if batch.lease_busy or batch.stopping:
        return [again]
    batch.lease_busy = True
    call: store_messages.StoreEffect
    if batch.lease_id:
        call = store_messages.StoreRenewLease(LeaseRenewal(), batch.lease_id)
    else:
        call = store_messages.StoreGrantLease(LeaseGrant(), LEASE_TTL_S)
    return [again, call]


@dispatch.resume.register(LeaseGrant)
def handle_lease_grant(
    purpose: LeaseGrant,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes a new store lease and looks for partitions without an owner."""
    batch.lease_busy = False
    if not isinstance(reply.outcome, store_messages.LeaseGranted):
        return []
    batch.lease_id = reply.outcome.lease_id
    return [read_owners()]


@dispatch.resume.register(LeaseRenewal)
def handle_lease_renewal(
    purpose: LeaseRenewal,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Resigns when the store lease has ended, and obtains another."""
    batch.lease_busy = False
    if isinstance(reply.outcome, store_messages.LeaseGranted):
        batch.renewed_at = reply.sent_at
    if not isinstance(reply.outcome, store_messages.LeaseLost):
        return []
    batch.lease_id = ""
    effects: dispatch.Effects = []
    for name in list(batch.partitions):
        effects += resign(batch, name, "lease_lost", now)
    if not batch.stopping:
        batch.lease_busy = True
        effects.append(
            store_messages.StoreGrantLease(LeaseGrant(), LEASE_TTL_S)
        )
    return effects


def may_have_successor(
    batch: state.Batch, partition: state.Partition, now: float
) -> bool:
    """Tells whether a successor may hold workers without a sign of it here.

    The lease of the owner key may have ended, and a worker that does not answer
    may have been reached by another owner, which refuses nothing on the others.
    While all workers answer, none has been called by a successor.
    """
    confirmed_at = max(batch.renewed_at, partition.taken_at)
    if now - confirmed_at <= LEASE_TTL_S:
        return False
    return any(
        now - (worker.contact_at or partition.taken_at) > UNRESPONSIVE_AFTER_S
        for worker in partition.workers.values()
    )


def resign(
    batch: state.Batch, name: str, reason: str, now: float
) -> dispatch.Effects:
    """Stops to act for a partition; its runs stay as they are."""
    partition = batch.partitions.pop(name, None)
    if partition is None:
        return []
    if reason == FENCED:
        batch.fenced[name] = partition.token
    batch.absent_since.pop(name, None)
    return [
        messages.Log(
            PART,
            "resigned",
            {
                "partition": name,
                "token": partition.token,
                "reason": reason,
                "held_s": round(now - partition.taken_at, 3),
            },
        )
    ]


def read_owners() -> store_messages.StoreEffect:
    """Returns the call that reads all owner keys."""
    return store_messages.StoreList(
        OwnersRead(), records.OWNERS, records.OwnerRecord
    )


@dispatch.expire.register(OwnersReadDue)
def poll_owners(
    timer: OwnersReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys now and then, whatever the watch says."""
    return [
        messages.StartTimer(OwnersReadDue(), OWNERS_READ_INTERVAL_S),
        read_owners(),
    ]


@dispatch.resume.register(OwnersRead)
def apply_owners(
    purpose: OwnersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Compares the owner keys with what this instance owns."""
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        return []
    effects: dispatch.Effects = []
    present = set()
    for found in outcome.entries:
        name = found.key.removeprefix(records.OWNERS)
        present.add(name)
        effects += _apply_owner_record(batch, name, found, now)
    for name in list(batch.names):
        if name in present:
            continue
        owned = batch.partitions.get(name)
        if owned is not None and owned.token < outcome.revision:
            effects += resign(batch, name, "key_removed", now)
        effects += _schedule_acquisition(batch, name, now)
    if not batch.owners_following:
        effects += _watch_owners(batch, outcome.revision)
    return effects


def _apply_owner_record(
    batch: state.Batch, name: str, found: store_messages.Found, now: float
) -> dispatch.Effects:
    batch.absent_since.pop(name, None)
    batch.names.setdefault(name, model.find_data_centre(name))
    owned = batch.partitions.get(name)
    record = found.value
    if not isinstance(record, records.OwnerRecord):
        return []
    if record.instance_id == make_owner_id(batch):
        if batch.fenced.get(name) == found.create_revision:
            return _remove_rejected_key(name, found)
        # The answer to the write that created the key may have been lost.
        if owned is None and name not in batch.taking and not batch.stopping:
            return begin_ownership(batch, name, found.create_revision, now)
        return []
    if owned is not None and found.create_revision > owned.token:
        return resign(batch, name, "other_owner", now)
    return []


def _remove_rejected_key(
    name: str, found: store_messages.Found
) -> dispatch.Effects:
    """Removes an own key whose token workers refuse, to get a higher one."""
    key = records.name_owner_key(name)
    return [
        store_messages.StoreTransaction(
            OwnerKeyRemoval(),
            ((key, found.revision),),
            removals=(key, records.name_live_owner_key(name)),
        )
    ]


@dispatch.resume.register(OwnerKeyRemoval)
def handle_key_removal(
    purpose: OwnerKeyRemoval,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Leaves it to the next look at the owner keys to go on."""
    return []


def add_partitions(
    batch: state.Batch, names: Iterable[str], now: float
) -> dispatch.Effects:
    """Learns of partitions; new ones are taken unless they have an owner."""
    new = [name for name in names if name not in batch.names]
    if not new:
        return []
    for name in new:
        batch.names[name] = model.find_data_centre(name)
    log = messages.Log(
        PART, "partitions", {"new": len(new), "known": len(batch.names)}
    )
    return [log, read_owners()]


@attrs.frozen
class RostersRead(store_messages.Purpose):
    """Reads the rosters of all partitions that ever had an owner."""


def read_rosters() -> dispatch.Effects:
    """Reads which partitions exist, also those without workers now."""
    return [
        store_messages.StoreList(
            RostersRead(), records.ROSTERS, records.RosterRecord
        )
    ]


@dispatch.resume.register(RostersRead)
def apply_rosters(
    purpose: RostersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Learns the partitions of the past; a failed read is repeated later."""
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    batch.names_loaded = True
    names = [
        found.key.removeprefix(records.ROSTERS)
        for found in reply.outcome.entries
    ]
    return add_partitions(batch, names, now)


def _schedule_acquisition(
    batch: state.Batch, name: str, now: float
) -> dispatch.Effects:
    if name in batch.absent_since or name in batch.partitions:
        return []
    batch.absent_since[name] = now
    return [
        messages.StartTimer(
            AcquisitionDue(name), compute_acquisition_delay(batch, name)
        )
    ]


def compute_acquisition_delay(batch: state.Batch, name: str) -> float:
    """Returns how long a partition must be without an owner to be taken here.

    The first part is drawn from an exponential distribution by a hash of the
    instance and the partition: the instance with the shortest delay wins, so
    each takes partitions in proportion to its processors.
    """
    owned = len(batch.partitions) + len(batch.taking)
    seed = f"{batch.identity.instance_id}/{name}".encode()
    digest = hashlib.blake2b(seed, digest_size=4).digest()
    share = (int.from_bytes(digest) + 1) / 2**32
    processors = max(MIN_PROCESSORS, batch.identity.processors)
    owned_s = DELAY_PER_PARTITION_S * owned / processors
    delay_s = min(owned_s, MAX_DELAY_FOR_OWNED_S)
    delay_s -= MEAN_ACQUISITION_DELAY_S * math.log(share) / processors
    if batch.names.get(name) != batch.identity.data_centre:
        delay_s += REMOTE_DELAY_S
    return delay_s


def _watch_owners(batch: state.Batch, revision: int) -> dispatch.Effects:
    batch.owners_following = True
    return [
        store_messages.StoreFollow(
            OwnersWatch(),
            records.OWNERS,
            revision,
            records.OwnerRecord,
            OWNERS_WATCH_TIMEOUT_S,
        )
    ]


@dispatch.resume.register(OwnersWatch)
def apply_owner_changes(
    purpose: OwnersWatch,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes changes of the owner keys and goes on following them."""
    outcome = reply.outcome
    batch.owners_following = False
    if not isinstance(outcome, store_messages.Followed):
        return [messages.StartTimer(OwnersWatchDue(), WATCH_RETRY_S, 0.3)]
    effects: dispatch.Effects = []
    for change in outcome.changes:
        name = change.key.removeprefix(records.OWNERS)
        effects += apply_owner_change(batch, name, change, now)
    return effects + _watch_owners(batch, outcome.revision)


def apply_owner_change(
    batch: state.Batch,
    name: str,
    change: store_messages.Found | store_messages.Removed,
    now: float,
) -> dispatch.Effects:
    """Takes one change of an owner key or of its copy."""
    if isinstance(change, store_messages.Found):
        return _apply_owner_record(batch, name, change, now)
    effects: dispatch.Effects = []
    owned = batch.partitions.get(name)
    if owned is not None and change.revision > owned.token:
        effects += resign(batch, name, "key_removed", now)
    return effects + _schedule_acquisition(batch, name, now)


@dispatch.expire.register(OwnersWatchDue)
def restart_watch(
    timer: OwnersWatchDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys, which leads to following them again."""
    return [] if batch.owners_following else [read_owners()]


@dispatch.expire.register(AcquisitionDue)
def acquire(
    timer: AcquisitionDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Creates the owner key of a partition that still has no owner."""
    name = timer.partition
    absent_since = batch.absent_since.get(name)
    if absent_since is None or name in batch.taking:
        return []
    if batch.stopping or batch.configuration is None or not batch.lease_id:
        del batch.absent_since[name]
        return []
    # The delay grows with each partition that was taken in the meantime.
    remaining_s = absent_since + compute_acquisition_delay(batch, name) - now
    if remaining_s > TIMER_TOLERANCE_S:
        return [messages.StartTimer(AcquisitionDue(name), remaining_s)]
    batch.taking.add(name)
    record = records.OwnerRecord(make_owner_id(batch))
    keys = records.name_owner_key(name), records.name_live_owner_key(name)
    return [
        store_messages.StoreTransaction(
            OwnerKeyWrite(name),
            tuple((key, 0) for key in keys),
            tuple(
                store_messages.Put(key, record, batch.lease_id) for key in keys
            ),
        )
    ]


@dispatch.resume.register(OwnerKeyWrite)
def handle_acquisition(
    purpose: OwnerKeyWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Begins to own a partition whose key this instance created."""
    name = purpose.partition
    batch.taking.discard(name)
    batch.absent_since.pop(name, None)
    if isinstance(reply.outcome, store_messages.Committed):
        return begin_ownership(batch, name, reply.outcome.revision, now)
    if isinstance(reply.outcome, store_messages.LeaseLost):
        batch.lease_id = ""
    return []


@attrs.frozen
class PartitionTaken(messages.Event):
    """This instance has become the owner of a partition."""

    partition: str


def begin_ownership(
    batch: state.Batch, name: str, token: int, now: float
) -> dispatch.Effects:
    """Begins to own a partition under a fencing token."""
    batch.partitions[name] = state.Partition(name, token, now)
    log = messages.Log(PART, "taken", {"partition": name, "token": token})
    return [log, *dispatch.handle(PartitionTaken(name), batch, now)]
