"""In-memory model of the Belkadi platform's store."""

import bisect
import functools

import attrs

from sapphirestall_core import store_messages

# Largest number of entries of a transaction.
MAX_ENTRIES = 32


@attrs.define
class Lease:
    """A lease.

    Attributes:
        ttl_s: Time by which a renewal extends it, in seconds.
        ends_at: Time at which it expires unless it is renewed, in seconds.
    """

    ttl_s: float
    ends_at: float


@attrs.define
class Item:
    """A key and its value.

    Attributes:
        value: The value.
        revision: Store revision of the last write.
        create_revision: Store revision at which the key was created.
        lease_id: Lease whose end removes the key; empty if there is none.
    """

    value: object
    revision: int
    create_revision: int
    lease_id: str


@attrs.define
class BatchStore:
    """A key-value store that keeps the history of all changes.

    Attributes:
        revision: Number that rises with each change.
        items: Current keys.
        leases: Current leases, by id.
        history: All changes, oldest first.
        unreadable: Current keys whose values the client cannot decode.
    """

    revision: int = 1
    items: dict[str, Item] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)
    history: list[store_messages.Found | store_messages.Removed] = attrs.field(
        factory=list
    )
    unreadable: set[str] = attrs.field(factory=set)

    def find(self, key: str) -> store_messages.Found | None:
        """Returns the current value of a key, or None if it does not exist."""
        item = self.items.get(key)
        if item is None:
            return None
        return store_messages.Found(
            key, item.value, 0, item.create_revision, item.revision
        )

    def expire_leases(self, now: float) -> None:
        """Removes expired leases and their keys."""
        for lease_id in [
            name for name, lease in self.leases.items() if lease.ends_at <= now
        ]:
            self.end_lease(lease_id)

    def end_lease(self, lease_id: str) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease_id, None)
        for key in [
            key for key, item in self.items.items() if item.lease_id == lease_id
        ]:
            self.remove(key)

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(store_messages.Removed(key, self.revision))

    def put(self, put: store_messages.Put) -> None:
        """Writes a key at the current revision."""
        self.unreadable.discard(put.key)
        old = self.items.get(put.key)
        created = old.create_revision if old else self.revision
        self.items[put.key] = Item(
            put.value, self.revision, created, put.lease_id
        )
        found = self.find(put.key)
        assert found is not None
        self.history.append(found)

    def list_changes(
        self, prefix: str, after: int
    ) -> tuple[store_messages.Found | store_messages.Removed, ...]:
        """Returns the changes under a prefix after a revision."""
        first = bisect.bisect_right(
            self.history, after, key=lambda change: change.revision
        )
        return tuple(
            change
            for change in self.history[first:]
            if change.key.startswith(prefix)
        )


@functools.singledispatch
def apply(
    effect: store_messages.StoreEffect, store: BatchStore, now: float
) -> store_messages.Outcome:
    """Carries out a store call."""
    raise NotImplementedError(type(effect).__name__)


@apply.register
def _(
    effect: store_messages.StoreGet, store: BatchStore, now: float
) -> store_messages.Outcome:
    if effect.key in store.unreadable:
        return store_messages.Unavailable(False, "unreadable")
    return store.find(effect.key) or store_messages.Absent(effect.key)


@apply.register
def _(
    effect: store_messages.StoreList, store: BatchStore, now: float
) -> store_messages.Outcome:
    keys = [key for key in sorted(store.items) if key.startswith(effect.prefix)]
    found = [store.find(key) for key in keys if key not in store.unreadable]
    entries = tuple(item for item in found if item)
    unreadable = tuple(key for key in keys if key in store.unreadable)
    return store_messages.Listed(entries, store.revision, unreadable)


@apply.register
def _(
    effect: store_messages.StoreTransaction, store: BatchStore, now: float
) -> store_messages.Outcome:
    entries = len(effect.expected) + len(effect.puts) + len(effect.removals)
    if entries > MAX_ENTRIES:
        raise ValueError(f"{effect.purpose} has {entries} entries")
    revisions = {}
    for key, _ in effect.expected:
        item = store.items.get(key)
        revisions[key] = item.revision if item else 0
    if any(revisions[key] != revision for key, revision in effect.expected):
        return store_messages.Conflict(revisions)
    if any(
        put.lease_id and put.lease_id not in store.leases for put in effect.puts
    ):
        return store_messages.LeaseLost("")
    store.revision += 1
    for put in effect.puts:
        store.put(put)
    revision = store.revision
    for key in effect.removals:
        store.remove(key)
    return store_messages.Committed(revision)


@apply.register
def _(
    effect: store_messages.StoreGrantLease, store: BatchStore, now: float
) -> store_messages.Outcome:
    store.revision += 1
    lease_id = str(store.revision)
    store.leases[lease_id] = Lease(effect.ttl_s, now + effect.ttl_s)
    return store_messages.LeaseGranted(lease_id, effect.ttl_s)


@apply.register
def _(
    effect: store_messages.StoreRenewLease, store: BatchStore, now: float
) -> store_messages.Outcome:
    lease = store.leases.get(effect.lease_id)
    if lease is None:
        return store_messages.LeaseLost(effect.lease_id)
    lease.ends_at = now + lease.ttl_s
    return store_messages.LeaseGranted(effect.lease_id, lease.ttl_s)


@apply.register
def _(
    effect: store_messages.StoreEndLease, store: BatchStore, now: float
) -> store_messages.Outcome:
    store.end_lease(effect.lease_id)
    return store_messages.LeaseLost(effect.lease_id)
