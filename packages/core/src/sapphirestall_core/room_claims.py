"""Room on a worker that evictions free for one task."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources

# An urgent task that has not started by then gets another plan, which leaves
# time for a second one within the 7.5 s of the design.
CLAIM_TERM_S = 3.0
# Work that is not urgent waits this long for a task to end by itself before
# background work is evicted for it; most tasks under a flood are short.
PATIENCE_S = 3.0


@attrs.frozen
class Claim:
    """Room that evictions free for one urgent task.

    Attributes:
        until: Own time at which the claim ends if the task has not started.
    """

    worker_id: str
    urgency: int
    reserved: resources.Vector
    until: float


def sum_claims(
    claims: Iterable[Claim], urgency: int, now: float
) -> resources.Vector:
    """Returns what claims keep free for tasks of higher urgency."""
    total = resources.Vector()
    for claim in claims:
        if claim.urgency > urgency and claim.until > now:
            total = total.plus(claim.reserved)
    return total
