"""Share of failures that is usual, against which failures in a row are weighed.

Some runs and calls fail while nothing is wrong. Where many do, a row of
failures proves little.
"""

import math

import attrs

# Share of what a faulty peer does that fails.
FAULTY_SHARE = 0.9
# Failures show a fault if they are this many times as likely with a fault as
# without one. At a few hundred, sound workers seemed faulty several times a day
# in a fleet that completes fifteen thousand runs.
FAULTY_ODDS = 50_000
# Number of outcomes that an assumed share counts as much as.
ASSUMED_OUTCOMES = 50.0
# Share of runs that is assumed to fail on sound workers.
ASSUMED_FAILED_RUNS = 0.02
# Beyond this number of outcomes older ones count less.
MAX_OUTCOMES = 400.0
# Lower limit of an estimated share. Without failures for long it would become
# 0, and a single failure would seem to be no chance.
LOWEST_SHARE = 0.001


@attrs.define(slots=True, eq=False)
class FailureShare:
    """Share of failures of what has turned out to be sound.

    Attributes:
        outcomes: Number of outcomes.
        failures: Number of failures among them.
    """

    outcomes: float
    failures: float

    def record(self, successes: int, failures: int) -> None:
        """Adds outcomes."""
        self.outcomes += successes + failures
        self.failures += failures
        if self.outcomes > MAX_OUTCOMES:
            self.failures *= MAX_OUTCOMES / self.outcomes
            self.outcomes = MAX_OUTCOMES

    def estimate(self) -> float:
        """Returns the estimated share."""
        share = self.failures / self.outcomes
        return min(max(share, LOWEST_SHARE), FAULTY_SHARE)

    def makes_unlikely(self, failures: int) -> bool:
        """Returns whether failures one after another are too many for chance.

        Args:
            failures: Number of failures in a row.
        """
        weight = math.log(FAULTY_SHARE / self.estimate())
        return failures * weight >= math.log(FAULTY_ODDS)


def assume(share: float) -> FailureShare:
    """Returns a share before the first outcomes."""
    return FailureShare(ASSUMED_OUTCOMES, ASSUMED_OUTCOMES * share)


def assume_failed_runs() -> FailureShare:
    """Returns the share of failed runs before the first outcomes."""
    return assume(ASSUMED_FAILED_RUNS)
