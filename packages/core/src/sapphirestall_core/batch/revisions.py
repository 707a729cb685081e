"""Times at which the store is known to have reached a revision.

The instances have no common clock. A record says how long something lasts from
its write on; an instance that reads it later learns from the revisions that it
has seen in the meantime when the write had taken place at the latest.
"""

import bisect
import functools
import math

import attrs

from sapphirestall_core import store_messages

# Of the revisions that are seen within this time, in seconds, only the last one
# is kept, so that a record seems to be younger by at most this time.
RESOLUTION_S = 0.1
# Time for which revisions are kept, in seconds. A record that is older than all
# of them counts from the oldest.
RETENTION_S = 30.0


@attrs.define(slots=True)
class RevisionTimes:
    """Revisions that an instance has seen, each with the time.

    Attributes:
        revisions: Revisions of the store, in ascending order.
        times: Monotonic time at which each was first seen, in seconds.
        last_from: Monotonic time from which on the last one replaces those that
            were seen before it, in seconds.
    """

    revisions: list[int] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    last_from: float = -math.inf

    def record(self, revision: int, now: float) -> None:
        """Records that the store has reached a revision."""
        if self.revisions and revision <= self.revisions[-1]:
            return
        if now - self.last_from < RESOLUTION_S:
            self.revisions[-1], self.times[-1] = revision, now
            return
        self.last_from = now
        self.revisions.append(revision)
        self.times.append(now)
        while now - self.times[0] > RETENTION_S:
            del self.revisions[0], self.times[0]

    def find_reached_at(self, revision: int, now: float) -> float:
        """Returns a time at which the store had reached a revision for certain.

        Args:
            revision: Revision of a record that has been read.
            now: Monotonic time, in seconds.

        Returns:
            Monotonic time, in seconds; `now` if no earlier one is known.
        """
        index = bisect.bisect_left(self.revisions, revision)
        return self.times[index] if index < len(self.times) else now


@functools.singledispatch
def find_revision(outcome: store_messages.Outcome) -> int | None:
    """Returns the revision of the store that the outcome of a call shows.

    Returns:
        The revision; None if the outcome shows none.
    """
    return None


@find_revision.register
def _(outcome: store_messages.Listed) -> int | None:
    return outcome.revision


@find_revision.register
def _(outcome: store_messages.Followed) -> int | None:
    return outcome.revision


@find_revision.register
def _(outcome: store_messages.Committed) -> int | None:
    return outcome.revision
