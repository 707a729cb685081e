"""Times at which the store is known to have reached a revision.

The instances have no common clock. A record says how long something lasts from
its write on; an instance that reads it later learns from the revisions that it
has seen in the meantime when the write had taken place at the latest.

Owners publish when they have seen which revisions, for instances that have just
started or did not reach the store.
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
# Age of the oldest revision that owners publish, and the least difference of
# two ages, in seconds. A successor waits little longer than the oldest one for
# the end of leases, and longer by the difference if it knows no better.
PUBLISHED_AGE_S = 8.0
PUBLISHED_STEP_S = 0.5


@attrs.frozen(slots=True)
class PublishedAges:
    """Ages of revisions of the store, as an owner has written them.

    Attributes:
        revision: Revision of the write.
        ages_ms: By older revision, the time since which the store had it when
            the write was sent, in milliseconds.
    """

    revision: int
    ages_ms: dict[str, int]


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

    def list_ages_ms(self, now: float) -> dict[str, int]:
        """Returns the ages of some revisions, for a record that is published.

        Returns:
            By revision, the time since which the store has had it at the least,
            in milliseconds. The keys are texts, as those of stored documents.
        """
        ages_ms: dict[str, int] = {}
        last = math.inf
        for revision, seen_at in zip(self.revisions, self.times, strict=True):
            age_s = now - seen_at
            if age_s <= PUBLISHED_AGE_S and last - age_s >= PUBLISHED_STEP_S:
                ages_ms[str(revision)] = int(age_s * 1000)
                last = age_s
        return ages_ms

    def find_published_at(
        self, revision: int, published: PublishedAges, now: float
    ) -> float:
        """Returns the same as `find_reached_at`, by what an owner published.

        Args:
            revision: Revision of a record that has been read.
            published: Ages of revisions that an owner has written.
            now: Monotonic time of the read of these ages, in seconds.

        Returns:
            Monotonic time, in seconds; `now` if no earlier one is known.
        """
        if published.revision < revision:
            return now
        written_at = self.find_reached_at(published.revision, now)
        ages_ms = (
            age_ms
            for known, age_ms in published.ages_ms.items()
            if int(known) >= revision
        )
        return written_at - max(ages_ms, default=0) / 1000


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
