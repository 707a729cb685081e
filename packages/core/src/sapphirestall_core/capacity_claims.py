"""Capacity on a worker that evictions free for one task."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources

# A task that has not started by then gets another plan. There is time for two
# plans within the 7.5 s in which urgent work has to start.
CLAIM_TIMEOUT_S = 3.0
# Work that is not urgent waits this long for a task to end by itself before
# background work is evicted for it; most tasks of a surge are short.
EVICTION_DELAY_S = 3.0


@attrs.frozen
class CapacityClaim:
    """Capacity that evictions free for one task.

    Attributes:
        worker_id: Worker on which it is freed; empty while a task that is not
            urgent waits for its first plan.
        urgency: Urgency of the task.
        reserved: Capacity that less urgent tasks must not use.
        expires_at: Monotonic time at which the claim ends, in seconds. The
            start of the task ends it earlier.
    """

    worker_id: str
    urgency: int
    reserved: resources.Vector
    expires_at: float


def sum_claims(
    claims: Iterable[CapacityClaim], urgency: int, now: float
) -> resources.Vector:
    """Returns the capacity that is claimed for tasks of higher urgency."""
    total = resources.Vector()
    for claim in claims:
        if claim.urgency > urgency and claim.expires_at > now:
            total = total.plus(claim.reserved)
    return total
