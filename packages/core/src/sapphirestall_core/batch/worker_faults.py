"""Evidence that a worker causes the failures that are seen there.

Some runs fail by themselves, on sound workers too. Several failures in a row
are therefore weighed against the share of failures on workers that turn out to
be sound: where many runs fail, a row of them proves little. A success ends the
row, whichever started first: failed runs are shorter than others. Only once a
row shows a fault does it take a success that started later, since a worker that
begins to fail may still complete what it started before.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import failure_shares

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

# Share of starts that is assumed to get no answer from sound workers.
ASSUMED_UNANSWERED_STARTS = 0.002
# Number of failures in a row that are kept. While a faulty worker is tried
# again and again, their number grows.
LONGEST_ROW = 100


def assume_unanswered_starts() -> failure_shares.FailureShare:
    """Returns the share of unanswered starts before the first outcomes."""
    return failure_shares.assume(ASSUMED_UNANSWERED_STARTS)


@attrs.frozen(slots=True, eq=False)
class Failure:
    """A run that failed, or a start that got no answer.

    Attributes:
        started_at: Monotonic time at which the start was sent, in seconds.
        step: Step of the task.
        ran_s: Time for which a run is known to have lasted, in seconds.
    """

    started_at: float
    step: state.StepState
    ran_s: float = 0.0


@attrs.define(slots=True, eq=False)
class Failures:
    """Failures on a worker that may have their cause in the worker.

    Attributes:
        row: Failures that no success has explained.
        succeeded_start_at: Monotonic time of the latest start that has
            succeeded, in seconds.
    """

    row: list[Failure] = attrs.field(factory=list)
    succeeded_start_at: float = -math.inf

    def record(
        self, failure: Failure, share: failure_shares.FailureShare
    ) -> bool:
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
        self.row.append(failure)
        del self.row[:-LONGEST_ROW]
        return True

    def record_success(
        self, started_at: float, share: failure_shares.FailureShare
    ) -> None:
        """Records that something started at a time has succeeded.

        A row that shows a fault tells nothing about sound workers, and does not
        count in the share.

        Args:
            started_at: Monotonic time at which the start was sent, in seconds.
            share: Share of failures on sound workers.
        """
        shows_fault = self.show_fault(share)
        share.record(1, 0 if shows_fault else len(self.row))
        self.explain(started_at, share)

    def explain(
        self, started_at: float, share: failure_shares.FailureShare
    ) -> None:
        """Removes the failures that a success explains.

        Args:
            started_at: Monotonic time at which the start of what succeeded was
                sent, in seconds.
            share: Share of failures on sound workers.
        """
        self.succeeded_start_at = max(self.succeeded_start_at, started_at)
        if not self.show_fault(share):
            self.row.clear()
            return
        self.row = [
            failure for failure in self.row if failure.started_at > started_at
        ]

    def show_fault(self, share: failure_shares.FailureShare) -> bool:
        """Returns whether the failures are too many to be chance.

        Args:
            share: Share of such failures on sound workers.
        """
        return bool(self.row) and share.makes_unlikely(len(self.row))


class SuspensionCause(enum.Enum):
    """What seems to show that a worker has a fault."""

    FAILED_RUNS = "failed_runs"
    UNANSWERED_STARTS = "unanswered_starts"


@attrs.define(slots=True, eq=False)
class Suspension:
    """Time in which a worker gets no starts, but for trials.

    Attributes:
        cause: What seems to show that the worker has a fault.
        until: Monotonic time of its end, in seconds.
        tried_at: Monotonic time at which a run was last started on trial, in
            seconds.
    """

    cause: SuspensionCause
    until: float
    tried_at: float = -math.inf
