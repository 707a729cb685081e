"""Room on a worker that evictions free for one task."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources

# An urgent task that has not started by then gets another plan, which leaves
# time for a second one within the 7.5 s of the design.
CLAIM_TIMEOUT_S = 3.0
# Work that is not urgent waits this long for a task to end by itself before
# background work is evicted for it; most tasks under a flood are short.
EVICTION_DELAY_S = 3.0


@attrs.frozen
class CapacityClaim:
    """Room that evictions free for one urgent task.

    Attributes:
        expires_at: Own time at which the claim ends, unless the task started.
    """

    worker_id: str
    urgency: int
    reserved: resources.Vector
    expires_at: float


def sum_claims(
    claims: Iterable[CapacityClaim], urgency: int, now: float
) -> resources.Vector:
    """Returns what claims keep free for tasks of higher urgency."""
    total = resources.Vector()
    for claim in claims:
        if claim.urgency > urgency and claim.expires_at > now:
            total = total.plus(claim.reserved)
    return total
