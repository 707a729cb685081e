"""Model of the store of the entry daemon, without input or output."""

import collections

import attrs


@attrs.define
class Item:
    """A key and its value.

    Attributes:
        key: The key.
        value: The value.
        version: Number of writes since the key was created.
        create_revision: Revision of the store at which the key was created.
        revision: Revision of the store at the last write of the key.
        lease_id: Lease with which the key is deleted, if any.
    """

    key: str
    value: object
    version: int
    create_revision: int
    revision: int
    lease_id: str | None = None


@attrs.define
class Lease:
    """A lease, whose keys are deleted when it expires.

    Attributes:
        lease_id: Id of the lease.
        ttl_s: Time to live after each renewal, in seconds.
        ends_at: Time at which it expires unless it is renewed, in seconds.
    """

    lease_id: str
    ttl_s: float
    ends_at: float


class VersionMismatchError(Exception):
    """The key does not have the expected version."""

    def __init__(self, version: int) -> None:
        super().__init__(version)
        self.version = version


class LeaseLostError(Exception):
    """The lease does not exist."""


@attrs.define
class Store:
    """Keys and leases; times are those of the store's clock, in seconds.

    Attributes:
        items: Keys that exist.
        leases: Leases that have not expired, by id.
        revision: Number of changes so far.
        deletions: Revision and key of the newest deletions, which a watch
            reports as well.
    """

    items: dict[str, Item] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)
    revision: int = 0
    deletions: collections.deque[tuple[int, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=1024)
    )

    def expire_leases(self, now: float) -> None:
        """Removes expired leases and deletes their keys."""
        ended = [e for e in self.leases.values() if e.ends_at <= now]
        for lease in ended:
            del self.leases[lease.lease_id]
            for item in list(self.items.values()):
                if item.lease_id == lease.lease_id:
                    self._remove(item.key)

    def put(
        self,
        key: str,
        value: object,
        expected_version: int,
        lease_id: str | None,
    ) -> Item:
        """Writes a key if its version is the expected one.

        The version of an absent key is 0.

        Raises:
            VersionMismatchError: The key has another version.
            LeaseLostError: The lease does not exist.
        """
        self._check_version(key, expected_version)
        if lease_id and lease_id not in self.leases:
            raise LeaseLostError(lease_id)
        self.revision += 1
        item = self.items.get(key)
        if item is None:
            item = Item(key, value, 0, self.revision, 0, lease_id)
            self.items[key] = item
        item.value = value
        item.version += 1
        item.revision = self.revision
        return item

    def delete(self, key: str, expected_version: int) -> Item:
        """Deletes a key if its version is the expected one.

        Raises:
            VersionMismatchError: The key has another version or is absent.
        """
        self._check_version(key, expected_version)
        if key not in self.items:
            raise VersionMismatchError(0)
        return self._remove(key)

    def _check_version(self, key: str, expected_version: int) -> None:
        current = self.items[key].version if key in self.items else 0
        if expected_version != current:
            raise VersionMismatchError(current)

    def _remove(self, key: str) -> Item:
        self.revision += 1
        self.deletions.append((self.revision, key))
        return self.items.pop(key)

    def find(self, prefix: str) -> list[Item]:
        """Returns the items whose keys have a prefix, sorted by key."""
        return [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        ]

    def grant(self, ttl_s: float, now: float) -> Lease:
        """Grants a lease for `ttl_s` seconds."""
        self.revision += 1
        lease = Lease(f"lease-{self.revision}", ttl_s, now + ttl_s)
        self.leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: str, now: float) -> Lease:
        """Renews a lease.

        Raises:
            LeaseLostError: The lease does not exist.
        """
        lease = self.leases.get(lease_id)
        if lease is None:
            raise LeaseLostError(lease_id)
        lease.ends_at = now + lease.ttl_s
        return lease

    def has_changed(self, prefix: str, after: int) -> bool:
        """Returns whether a key with a prefix changed after a revision."""
        return any(item.revision > after for item in self.find(prefix)) or any(
            revision > after and key.startswith(prefix)
            for revision, key in self.deletions
        )
