"""Calls to the platform's key-value store and their outcomes."""

from typing import Any

import attrs

from sapphirestall_core import messages


@attrs.frozen
class Purpose:
    """Says what a store call is for; comes back with its outcome."""


@attrs.frozen
class StoreEffect(messages.Effect):
    """A call to the store."""

    purpose: Purpose


@attrs.frozen
class StoreGet(StoreEffect):
    """Reads one key and decodes its value as `document`."""

    key: str
    document: Any


@attrs.frozen
class StorePut(StoreEffect):
    """Writes a key if its version is the expected one.

    Attributes:
        expected_version: Version that the key must have; 0 when absent.
        lease_id: Store lease under which the key lives, if any.
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
    """Reads all keys with a prefix and decodes them as `document`."""

    prefix: str
    document: Any


@attrs.frozen
class StoreGrantLease(StoreEffect):
    """Obtains a store lease."""

    ttl_s: float


@attrs.frozen
class StoreRenewLease(StoreEffect):
    """Renews a store lease."""

    lease_id: str


@attrs.frozen
class StoreWatch(StoreEffect):
    """Waits for one change under a prefix after a revision.

    The shell answers with `Changed` or, when the wait ends, `Unchanged`.
    """

    prefix: str
    after_revision: int


@attrs.frozen
class Put:
    """A key to write in a transaction.

    Attributes:
        lease_id: Store lease under which the key lives; empty for none.
    """

    key: str
    value: object
    lease_id: str = ""


@attrs.frozen
class StoreTransaction(StoreEffect):
    """Writes and removes keys together if all expectations hold.

    Attributes:
        expected: Pairs of a key and the revision that it must have; 0 when it
            must be absent.
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
        document: Type of the values; a union if there are several.
        after_revision: Changes up to this revision are known.
        wait_s: Time after which the call returns without a change.
    """

    prefix: str
    after_revision: int
    document: Any
    wait_s: float


@attrs.frozen
class Outcome:
    """Outcome of a store call."""


@attrs.frozen
class Found(Outcome):
    """A key and its decoded value.

    Attributes:
        version: Number of writes to the key since its creation.
        create_revision: Store revision at which the key was created.
        revision: Store revision of the last write to the key.
    """

    key: str
    value: object
    version: int
    create_revision: int
    revision: int


@attrs.frozen
class Absent(Outcome):
    """The key does not exist."""

    key: str


@attrs.frozen
class Listed(Outcome):
    """All keys under a prefix."""

    entries: tuple[Found, ...]
    revision: int


@attrs.frozen
class Written(Outcome):
    """The write or delete took effect."""

    key: str
    version: int
    create_revision: int
    revision: int


@attrs.frozen
class VersionMismatch(Outcome):
    """The write was refused because the key had another version."""

    key: str
    version: int


@attrs.frozen
class LeaseGranted(Outcome):
    """A lease was granted or renewed; `ttl_s` counts from the call's start."""

    lease_id: str
    ttl_s: float


@attrs.frozen
class LeaseLost(Outcome):
    """The lease no longer exists."""

    lease_id: str


@attrs.frozen
class Changed(Outcome):
    """Something under a watched prefix changed."""

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
        revisions: Current revision of each expected key; 0 for absent ones.
    """

    revisions: dict[str, int]


@attrs.frozen
class Removed:
    """A key that no longer exists."""

    key: str
    revision: int


@attrs.frozen
class Followed(Outcome):
    """Changes under a followed prefix, oldest first."""

    changes: tuple[Found | Removed, ...]
    revision: int


@attrs.frozen
class HistoryLost(Outcome):
    """The store no longer has the changes after the given revision."""


@attrs.frozen
class Unavailable(Outcome):
    """The call failed.

    Attributes:
        ambiguous: Whether the call may still have taken effect.
    """

    ambiguous: bool
    detail: str


@attrs.frozen
class StoreReply(messages.Event):
    """Outcome of a store call, with the time at which it was sent."""

    purpose: Purpose
    outcome: Outcome
    sent_at: float
