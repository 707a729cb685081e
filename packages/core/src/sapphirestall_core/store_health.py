"""Evidence that the store is unavailable, from the outcomes of calls.

Single calls fail while the store is available. Failures are therefore weighed
against the share of calls that fail then.
"""

import math

import attrs

from sapphirestall_core import failure_shares

# Lowest number of failed calls that shows an outage.
FEWEST_FAILURES = 3
# Share of calls that is assumed to fail while the store is available.
ASSUMED_FAILED_CALLS = 0.02


def _assume_failed_calls() -> failure_shares.FailureShare:
    return failure_shares.assume(ASSUMED_FAILED_CALLS)


@attrs.define
class StoreHealth:
    """Outcomes of one instance's calls to the store.

    Attributes:
        failures: Failed calls that were sent after all that have succeeded.
        succeeded_sent_at: Monotonic time at which the latest call was sent that
            has succeeded, in seconds.
        failed_share: Share of calls that fail while the store is available.
    """

    failures: int = 0
    succeeded_sent_at: float = -math.inf
    failed_share: failure_shares.FailureShare = attrs.field(
        factory=_assume_failed_calls
    )

    def record_success(self, sent_at: float) -> None:
        """Records that a call has succeeded.

        Args:
            sent_at: Monotonic time at which it was sent, in seconds.
        """
        explained = self.failures if not self.shows_outage() else 0
        self.failed_share.record(1, explained)
        self.failures = 0
        self.succeeded_sent_at = max(self.succeeded_sent_at, sent_at)

    def record_failure(self, sent_at: float) -> None:
        """Records that a call has failed.

        Args:
            sent_at: Monotonic time at which it was sent, in seconds.
        """
        if sent_at < self.succeeded_sent_at:
            self.failed_share.record(0, 1)
        else:
            self.failures += 1

    def shows_outage(self) -> bool:
        """Returns whether too many calls have failed for it to be chance."""
        return (
            self.failures >= FEWEST_FAILURES
            and self.failed_share.makes_unlikely(self.failures)
        )
