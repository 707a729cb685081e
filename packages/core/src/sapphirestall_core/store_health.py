"""Evidence that the store is unavailable, from the outcomes of calls.

Single calls fail while the store is available. Failures are therefore weighed
against the share of calls that fail then.
"""

import math

import attrs

from sapphirestall_core.batch import worker_faults

# Lowest number of failed calls that shows an outage.
FEWEST_FAILURES = 3
# Share of calls that fail while the store is available, as assumed before the
# first outcomes, and the number of outcomes that it counts as much as.
ASSUMED_FAILED_CALLS = 0.02
ASSUMED_OUTCOMES = 50.0


def _assume_failed_calls() -> worker_faults.FailureShare:
    return worker_faults.FailureShare(
        ASSUMED_OUTCOMES, ASSUMED_OUTCOMES * ASSUMED_FAILED_CALLS
    )


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
    failed_share: worker_faults.FailureShare = attrs.field(
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
