"""Ownership of worker partitions: epochs and command authority.

Only the owner of a partition may place tasks on its workers. See
docs/design.md, sections 4.2 and 4.3.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core import tasks_state

OWNER_LEASE_S = 10.0
# Largest error of a clock, as a fraction of the measured time.
MAX_CLOCK_DRIFT = 0.01
# A worker refuses a command that arrives later than this after the report on
# which it is based, by the worker's clock.
COMMAND_TERM_S = 5.0
# A worker stops a task whose lease was not renewed for this time.
TASK_LEASE_S = 20.0
# No task of a worker runs under this owner once this time has passed since the
# worker's last report.
UNRESPONSIVE_WORKER_WAIT_S = (COMMAND_TERM_S + TASK_LEASE_S) * (
    1 + MAX_CLOCK_DRIFT
)
# No task runs under the former owner once this time has passed since a majority
# of the witnesses reported to the new owner. The former owner's last valid poll
# round began before then. The reports that it received in that round are at
# most one command term later.
TAKEOVER_WAIT_S = (2 * COMMAND_TERM_S + TASK_LEASE_S) * (1 + MAX_CLOCK_DRIFT)


@attrs.frozen
class Owner:
    """Value of the store key that names the owner of a partition.

    Attributes:
        instance_id: Entry instance that owns the partition.
        incarnation: Incarnation of that instance.
        lease_id: Store lease to which the key is bound. After a create with a
            lost answer, the key counts as created only if it is bound to the
            current lease.
    """

    instance_id: str
    incarnation: str
    lease_id: str = ""


class Authority(enum.Enum):
    """Basis on which an owner may command workers.

    `LEASE` is condition (a) and `WITNESSES` is condition (b) of docs/design.md,
    section 4.3.
    """

    NONE = "none"
    LEASE = "lease"
    WITNESSES = "witnesses"


@attrs.define
class StoreLease:
    """The store lease of this instance.

    Attributes:
        lease_id: Id of the lease in the store; empty without a lease.
        valid_until: Monotonic time, in seconds, at which the lease ends. It is
            counted from the time at which the last confirmed renewal was sent,
            less the clock drift.
    """

    lease_id: str = ""
    valid_until: float = 0.0

    def confirm(self, lease_id: str, ttl_s: float, sent_at: float) -> None:
        """Records a grant or renewal that the store confirmed.

        Args:
            lease_id: Id of the lease.
            ttl_s: Lifetime that the store granted, in seconds.
            sent_at: Monotonic time at which the call was sent, in seconds.
        """
        self.lease_id = lease_id
        self.valid_until = sent_at + ttl_s * (1 - MAX_CLOCK_DRIFT)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is valid by this process's clock."""
        return bool(self.lease_id) and now < self.valid_until


def find_authority(
    partition: tasks_state.Partition, lease: StoreLease, now: float
) -> Authority:
    """Returns the authority over the partition's workers at `now`.

    Every handler that commands workers calls this with its own `now`, so that
    an instance that was paused notices a lost authority before its next effect.
    """
    if not partition.epoch or partition.handing_over:
        return Authority.NONE
    if lease.is_valid(now) and partition.lease_id == lease.lease_id:
        return Authority.LEASE
    if now < partition.round_valid_until:
        return Authority.WITNESSES
    return Authority.NONE


def is_majority(ids: set[str], witnesses: tuple[str, ...]) -> bool:
    """Returns whether the ids include a majority of the witness set."""
    return 2 * len(ids.intersection(witnesses)) > len(witnesses)
