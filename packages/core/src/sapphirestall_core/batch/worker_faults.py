"""Evidence that a worker causes the failures that are seen there.

Some runs fail by themselves, on sound workers too. Several failures in a row
are therefore weighed against the share of failures on workers that turn out to
be sound: where many runs fail, a row of them proves little. Failures are
compared with successes in the order of their starts, since a worker that begins
to fail may still complete what it started before.

Runs may fail long before others are done. A run that was started after a
failure, and has lasted for longer than failed runs do, counts as a part of a
success.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Share of runs that fail, or of starts that get no answer, on a faulty worker.
FAULTY_SHARE = 0.9
# A worker seems faulty if its failures are this many times as likely with a
# fault as without one. At a few hundred, sound workers seemed faulty several
# times a day in a fleet that completes fifteen thousand runs.
FAULTY_ODDS = 50_000
# A run has outlasted a failed run once it has lasted this many times as long.
# Runs that a worker fails alike are listed at slightly different times.
OUTLASTING_FACTOR = 2.0
# Shares of failures on sound workers that are assumed before the first
# outcomes, and the number of outcomes that they count as much as.
ASSUMED_FAILED_RUNS = 0.02
ASSUMED_UNANSWERED_STARTS = 0.002
ASSUMED_OUTCOMES = 50.0
# Beyond this number of outcomes older ones count less.
MAX_OUTCOMES = 400.0
# Lowest share that is estimated. Without it the share becomes zero after some
# hundred thousand outcomes without a failure.
LOWEST_SHARE = 0.001
# Number of failures on a worker that are kept. While a faulty worker is tried
# again and again, their number grows.
MAX_UNEXPLAINED = 100


@attrs.define(slots=True, eq=False)
class FailureShare:
    """Share of failures on workers that have turned out to be sound.

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


def assume_failed_runs() -> FailureShare:
    """Returns the share of failed runs before the first outcomes."""
    return FailureShare(
        ASSUMED_OUTCOMES, ASSUMED_OUTCOMES * ASSUMED_FAILED_RUNS
    )


def assume_unanswered_starts() -> FailureShare:
    """Returns the share of unanswered starts before the first outcomes."""
    return FailureShare(
        ASSUMED_OUTCOMES, ASSUMED_OUTCOMES * ASSUMED_UNANSWERED_STARTS
    )


@attrs.frozen(slots=True, eq=False)
class Failure:
    """A run that failed, or a start that got no answer.

    Attributes:
        started_at: Monotonic time at which the start was sent, in seconds.
        step: Step of the task.
        ran_s: Time for which the run is known to have lasted, in seconds.
    """

    started_at: float
    step: state.StepState
    ran_s: float = 0.0


@attrs.define(slots=True, eq=False)
class Failures:
    """Failures on a worker that may have their cause in the worker.

    Attributes:
        unexplained: Failures of what was started after all that has succeeded.
        succeeded_start_at: Monotonic time of the latest start that has
            succeeded, in seconds.
    """

    unexplained: list[Failure] = attrs.field(factory=list)
    succeeded_start_at: float = -math.inf

    def record(self, failure: Failure, share: FailureShare) -> bool:
        """Records a failure.

        It has another cause than the worker if a later start has succeeded.

        Args:
            failure: The failure.
            share: Share of such failures on sound workers.

        Returns:
            Whether the failure may have its cause in the worker.
        """
        if failure.started_at < self.succeeded_start_at:
            share.record(0, 1)
            return False
        self.unexplained.append(failure)
        del self.unexplained[:-MAX_UNEXPLAINED]
        return True

    def record_success(
        self, started_at: float, share: FailureShare, *, showed_fault: bool
    ) -> None:
        """Records that something started at a time has succeeded.

        The failures before it count in the share, unless they show a fault: the
        worker has recovered then, and they tell nothing about sound workers.

        Args:
            started_at: Monotonic time at which the start was sent, in seconds.
            share: Share of failures on sound workers.
            showed_fault: Whether the failures until now show a fault.
        """
        self.succeeded_start_at = max(self.succeeded_start_at, started_at)
        count = len(self.unexplained)
        self.unexplained = [
            failure
            for failure in self.unexplained
            if failure.started_at > started_at
        ]
        explained = count - len(self.unexplained)
        share.record(1, 0 if showed_fault else explained)

    def show_fault(
        self, share: FailureShare, running_s: Iterable[float] = ()
    ) -> bool:
        """Returns whether the failures are too many to be chance.

        Args:
            share: Share of such failures on sound workers.
            running_s: Times for which runs have lasted that were started after
                the first of the failures and have not ended, in seconds.
        """
        weight = len(self.unexplained) * math.log(
            FAULTY_SHARE / share.estimate()
        )
        weight += sum(
            math.log(1 - FAULTY_SHARE * self._find_outlasted_share(lasted_s))
            for lasted_s in running_s
        )
        return weight >= math.log(FAULTY_ODDS)

    def _find_outlasted_share(self, lasted_s: float) -> float:
        """Returns the share of the failed runs that a run has outlasted."""
        count = sum(
            OUTLASTING_FACTOR * failure.ran_s <= lasted_s
            for failure in self.unexplained
        )
        return count / len(self.unexplained)


class SuspensionCause(enum.Enum):
    """What seems to show that a worker has a fault."""

    FAILED_RUNS = "failed_runs"
    UNANSWERED_STARTS = "unanswered_starts"


@attrs.define(slots=True, eq=False)
class Suspension:
    """Time in which a worker gets no starts, but for trials.

    Attributes:
        cause: What seems to show that the worker has a fault.
        since: Monotonic time of its beginning, in seconds.
        until: Monotonic time of its end, in seconds.
        tried_at: Monotonic time at which a run was last started on trial, in
            seconds.
    """

    cause: SuspensionCause
    since: float
    until: float
    tried_at: float = -math.inf
