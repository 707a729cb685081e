"""Calls to the platform's key-value store and their outcomes.

Calls are effects; the reply to each is a `StoreReply` event with the purpose of
the call and its outcome.
"""

import functools
from typing import Any

import attrs

from sapphirestall_core import messages


@attrs.frozen
class Purpose:
    """Base of the purposes of store calls.

    The purpose is returned with the reply and selects the handler.
    """


@attrs.frozen
class StoreEffect(messages.Effect):
    """Base of the calls to the store.

    Attributes:
        purpose: Selects the handler of the reply.
    """

    purpose: Purpose


@attrs.frozen
class StoreGet(StoreEffect):
    """Reads a key.

    Attributes:
        document: Type to which the value is decoded.
    """

    key: str
    document: Any


@attrs.frozen
class StorePut(StoreEffect):
    """Writes a key if its version is the expected one.

    Attributes:
        expected_version: Version that the key must have; 0 if the key must not
            exist.
        lease_id: Store lease whose end removes the key, if any.
    """

    key: str
    value: object
    expected_version: int
    lease_id: str | None = None


@attrs.frozen
class StoreDelete(StoreEffect):
    """Deletes a key if its version is the expected one."""

    key: str
    expected_version: int


@attrs.frozen
class StoreList(StoreEffect):
    """Reads all keys with a prefix.

    Attributes:
        document: Type to which the values are decoded.
    """

    prefix: str
    document: Any


@attrs.frozen
class StoreGrantLease(StoreEffect):
    """Obtains a store lease.

    Attributes:
        ttl_s: Time after which the lease expires unless it is renewed, in
            seconds.
    """

    ttl_s: float


@attrs.frozen
class StoreRenewLease(StoreEffect):
    """Renews a store lease."""

    lease_id: str


@attrs.frozen
class StoreWatch(StoreEffect):
    """Waits for a change under a prefix after a revision.

    The outcome is `Changed`, or `Unchanged` if the wait ends without a change.
    """

    prefix: str
    after_revision: int


@attrs.frozen
class Put:
    """A key to write in a transaction.

    Attributes:
        lease_id: Store lease whose end removes the key; empty for none.
    """

    key: str
    value: object
    lease_id: str = ""


@attrs.frozen
class StoreTransaction(StoreEffect):
    """Writes and removes keys atomically if all expectations hold.

    Attributes:
        expected: Pairs of a key and the revision that it must have; 0 if the
            key must not exist.
        puts: Keys to write.
        removals: Keys to remove.
    """

    expected: tuple[tuple[str, int], ...]
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@attrs.frozen
class StoreEndLease(StoreEffect):
    """Ends a store lease, which removes its keys."""

    lease_id: str


@attrs.frozen
class StoreFollow(StoreEffect):
    """Waits for changes under a prefix and returns them with their values.

    Attributes:
        document: Type to which the values are decoded; a union if there are
            several.
        after_revision: Revision after which changes are returned.
        wait_s: Time after which the call returns without a change, in seconds.
    """

    prefix: str
    after_revision: int
    document: Any
    wait_s: float


@attrs.frozen
class Outcome:
    """Base of the outcomes of store calls."""


@attrs.frozen
class Found(Outcome):
    """A key exists.

    Attributes:
        value: Decoded value of the key.
        version: Number of writes to the key since its creation.
        create_revision: Store revision at which the key was created.
        revision: Store revision of the last write to the key.
    """

    key: str
    value: object
    version: int
    create_revision: int
    revision: int


@functools.singledispatch
def check_key(document: object, key: str) -> None:
    """Checks that a document belongs to the key under which it is stored.

    Raises:
        ValueError: It belongs to another key.
    """


@attrs.frozen
class Absent(Outcome):
    """A key does not exist."""

    key: str


@attrs.frozen
class Listed(Outcome):
    """All keys with a prefix, at a revision of the store.

    Attributes:
        entries: The keys whose values could be decoded.
        unreadable: The other keys.
    """

    entries: tuple[Found, ...]
    revision: int
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class Written(Outcome):
    """A write or delete took effect."""

    key: str
    version: int
    create_revision: int
    revision: int


@attrs.frozen
class VersionMismatch(Outcome):
    """A write was refused because the key has another version.

    Attributes:
        version: Current version of the key.
    """

    key: str
    version: int


@attrs.frozen
class LeaseGranted(Outcome):
    """A lease was granted or renewed.

    Attributes:
        ttl_s: Time to live from the start of the call, in seconds.
    """

    lease_id: str
    ttl_s: float


@attrs.frozen
class LeaseLost(Outcome):
    """A lease no longer exists."""

    lease_id: str


@attrs.frozen
class Changed(Outcome):
    """A key with a watched prefix has changed."""

    revision: int


@attrs.frozen
class Unchanged(Outcome):
    """A watch ended without a change."""

    revision: int


@attrs.frozen
class Committed(Outcome):
    """A transaction took effect at a revision."""

    revision: int


@attrs.frozen
class Conflict(Outcome):
    """A transaction was refused because an expectation did not hold.

    Attributes:
        revisions: Current revision of each expected key; 0 if it is absent.
    """

    revisions: dict[str, int]


@attrs.frozen
class Removed:
    """A key that no longer exists."""

    key: str
    revision: int


@attrs.frozen
class Followed(Outcome):
    """Changes of keys with a prefix, oldest first.

    Attributes:
        changes: Written keys (`Found`) and removed ones.
        revision: Store revision up to which changes are included.
    """

    changes: tuple[Found | Removed, ...]
    revision: int


@attrs.frozen
class HistoryLost(Outcome):
    """The store has discarded changes after the given revision."""


@attrs.frozen
class Unavailable(Outcome):
    """The store was unavailable and the call failed.

    Attributes:
        ambiguous: Whether the call may still take effect.
        detail: Description of the failure.
    """

    ambiguous: bool
    detail: str


@attrs.frozen
class StoreReply(messages.Event):
    """Reports that a store call has ended.

    Attributes:
        purpose: Purpose of the call.
        outcome: Outcome of the call.
        sent_at: Monotonic time at which the call was sent, in seconds.
    """

    purpose: Purpose
    outcome: Outcome
    sent_at: float
