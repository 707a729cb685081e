"""Ownership of worker partitions: epochs and command authority."""

import enum

import attrs

OWNER_LEASE_S = 10.0
MAX_DRIFT = 0.01


@attrs.frozen
class Owner:
    """Value of the store key that names the owner of a partition."""

    instance_id: str
    incarnation: str


class Authority(enum.Enum):
    """Why an owner may command workers."""

    NONE = "none"
    LEASE = "lease"
    WITNESSES = "witnesses"


@attrs.define
class StoreLease:
    """The store lease of this instance.

    Attributes:
        valid_until: Own clock; counted from when the last confirmed renewal
            was sent, less the drift.
    """

    lease_id: str = ""
    valid_until: float = 0.0

    def confirm(self, lease_id: str, ttl_s: float, sent_at: float) -> None:
        """Records a grant or renewal that the store confirmed."""
        self.lease_id = lease_id
        self.valid_until = sent_at + ttl_s * (1 - MAX_DRIFT)

    def is_valid(self, now: float) -> bool:
        """Tells whether the lease holds by this process's clock."""
        return bool(self.lease_id) and now < self.valid_until
