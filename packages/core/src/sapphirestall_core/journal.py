"""Bounded in-memory log of decisions, queried by operators."""

import collections
from collections.abc import Iterator

import attrs

MAX_ENTRIES = 4096
# Subjects and reasons may contain text that peers sent. Truncating them bounds
# the journal to a few megabytes.
MAX_TEXT_LENGTH = 256


@attrs.frozen(slots=True)
class Entry:
    """One decision.

    Attributes:
        at: Monotonic time of the decision, in seconds.
        subject: Job, task attempt, worker, executor or partition that it
            concerns, or `configuration`.
        action: Name of the action that was decided.
        reason: Explanation for operators.
    """

    at: float
    subject: str
    action: str
    reason: str


def _make_entries() -> collections.deque[Entry]:
    return collections.deque(maxlen=MAX_ENTRIES)


@attrs.define
class Journal:
    """The most recent decisions of this instance, at most `MAX_ENTRIES`."""

    entries: collections.deque[Entry] = attrs.field(factory=_make_entries)

    def record(
        self, now: float, subject: str, action: str, reason: str
    ) -> None:
        """Records a decision and drops the oldest if the journal is full."""
        self.entries.append(
            Entry(
                now, subject[:MAX_TEXT_LENGTH], action, reason[:MAX_TEXT_LENGTH]
            )
        )

    def find(self, subject: str) -> Iterator[Entry]:
        """Yields the decisions about a subject, oldest first."""
        return (
            entry
            for entry in self.entries
            if entry.subject == subject[:MAX_TEXT_LENGTH]
        )
