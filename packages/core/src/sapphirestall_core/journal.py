"""Bounded log of decisions, for explanations to operators."""

import collections
from collections.abc import Iterator

import attrs

MAX_ENTRIES = 4096
# Bounds the memory of the journal to a few megabytes whatever peers send.
MAX_TEXT_LENGTH = 256


@attrs.frozen(slots=True)
class Entry:
    """One decision.

    Attributes:
        at: Monotonic clock of the process, in seconds.
        subject: Job, request key, worker or partition that it concerns.
    """

    at: float
    subject: str
    action: str
    reason: str


def _make_entries() -> collections.deque[Entry]:
    return collections.deque(maxlen=MAX_ENTRIES)


@attrs.define
class Journal:
    """The newest decisions of this instance."""

    entries: collections.deque[Entry] = attrs.field(factory=_make_entries)

    def record(
        self, now: float, subject: str, action: str, reason: str
    ) -> None:
        """Records a decision and drops the oldest beyond the bound."""
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
