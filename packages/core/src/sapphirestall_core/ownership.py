"""Ownership of worker partitions: epochs and command authority."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core import tasks_state

OWNER_LEASE_S = 10.0
MAX_CLOCK_DRIFT = 0.01
COMMAND_TERM_S = 5.0
TASK_LEASE_S = 20.0
UNRESPONSIVE_WORKER_WAIT_S = (COMMAND_TERM_S + TASK_LEASE_S) * (
    1 + MAX_CLOCK_DRIFT
)
TAKEOVER_WAIT_S = (2 * COMMAND_TERM_S + TASK_LEASE_S) * (1 + MAX_CLOCK_DRIFT)


@attrs.frozen
class Owner:
    """Value of the store key that names the owner of a partition.

    Attributes:
        lease_id: Store lease under which the key lives. A create whose answer
            was lost counts only if the key lives under the present lease.
    """

    instance_id: str
    incarnation: str
    lease_id: str = ""


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
        self.valid_until = sent_at + ttl_s * (1 - MAX_CLOCK_DRIFT)

    def is_valid(self, now: float) -> bool:
        """Tells whether the lease holds by this process's clock."""
        return bool(self.lease_id) and now < self.valid_until


def find_authority(
    partition: tasks_state.Partition, lease: StoreLease, now: float
) -> Authority:
    """Returns why the partition's workers may be commanded at `now`.

    Every handler that commands workers asks this with its own `now`, so that
    an instance that was paused finds out before its next effect.
    """
    if not partition.epoch or partition.handing_over:
        return Authority.NONE
    if lease.is_valid(now) and partition.lease_id == lease.lease_id:
        return Authority.LEASE
    if now < partition.round_valid_until:
        return Authority.WITNESSES
    return Authority.NONE


def is_majority(ids: set[str], witnesses: tuple[str, ...]) -> bool:
    """Tells whether the ids include a majority of the witness set."""
    return 2 * len(ids.intersection(witnesses)) > len(witnesses)
