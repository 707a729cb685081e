"""Reads and watches of the owner keys of all partitions.

They show which partitions have no owner, and which this instance has lost.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import process_ids
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

OWNERS_READ_INTERVAL_S = 2.0
OWNERS_WATCH_TIMEOUT_S = 3.0
WATCH_RETRY_S = 0.3


@attrs.frozen
class OwnersWatch(store_messages.Purpose):
    """Purpose of the watch of the owner keys."""


@attrs.frozen
class OwnerKeyRemoval(store_messages.Purpose):
    """Purpose of the removal of an own key whose token workers refuse."""


@attrs.frozen
class OwnersReadDue(messages.Timer):
    """Timer to read the owner keys periodically."""


@attrs.frozen
class OwnersWatchDue(messages.Timer):
    """Timer to restart a failed watch of the owner keys."""


@dispatch.handle_timer.register(OwnersReadDue)
def poll_owners(
    timer: OwnersReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys periodically, in addition to the watch."""
    return [
        messages.StartTimer(OwnersReadDue(), OWNERS_READ_INTERVAL_S),
        owner_reads.read_owners(),
    ]


@dispatch.handle_store_reply.register(owner_reads.OwnersRead)
def apply_owners(
    purpose: owner_reads.OwnersRead,
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
            effects += ownership.resign(batch, name, "key_removed", now)
        effects += acquisition.schedule(batch, name, outcome.revision, now)
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
            return ownership.start_ownership(
                batch, name, found.create_revision, now
            )
        return []
    if owned is not None and found.create_revision > owned.token:
        return ownership.resign(batch, name, "other_owner", now)
    return []


def _is_own_record(batch: state.Batch, record: object) -> bool:
    return isinstance(
        record, records.OwnerRecord
    ) and record.instance_id == process_ids.make_owner_id(batch)


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
        effects += ownership.resign(batch, name, "key_removed", now)
    return effects + acquisition.schedule(batch, name, change.revision, now)


@dispatch.handle_timer.register(OwnersWatchDue)
def restart_watch(
    timer: OwnersWatchDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the owner keys; the reply to the read starts the watch again."""
    return [] if batch.owners_watching else [owner_reads.read_owners()]
