"""Periods in which faults disturbed parties of a soak.

Limits in time are checked only for parties that were not disturbed. A party is
an instance, a worker or the store.
"""

import collections
from collections.abc import Iterator
import contextlib
import time

import attrs

# Time that a party may need to recover after the end of a disturbance.
RECOVERY_S = 3.0
STORE = "store"
ALL_PARTIES = "everyone"


@attrs.define
class Span:
    """Period of one disturbance.

    Attributes:
        start: Monotonic time of its start, in seconds.
        end: Monotonic time of its end, in seconds; infinite while it lasts.
        is_planned: Whether it is planned work, such as the restart of an
            instance or the announced departure of a worker.
    """

    start: float
    end: float = float("inf")
    is_planned: bool = False


@attrs.define
class Disturbances:
    """Disturbances of one soak.

    Attributes:
        spans: Periods of the disturbances, by party.
    """

    spans: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @contextlib.contextmanager
    def record(self, *parties: str, is_planned: bool = False) -> Iterator[None]:
        """Records a disturbance of parties that lasts as long as the block."""
        span = Span(time.monotonic(), is_planned=is_planned)
        for party in parties:
            self.spans[party].append(span)
        try:
            yield
        finally:
            span.end = time.monotonic()

    def was_undisturbed(
        self,
        start: float,
        end: float,
        *parties: str,
        margin_s: float,
        except_planned: bool = False,
    ) -> bool:
        """Returns whether no disturbance affected a period.

        Args:
            start: Monotonic time of the start of the period, in seconds.
            end: Monotonic time of its end, in seconds.
            parties: Parties whose disturbances count in addition to those of
                the store; without any, the disturbances of all parties count.
            margin_s: Time before the period in which no disturbance may have
                lasted either, in seconds.
            except_planned: Whether planned work counts as no disturbance.
        """
        names = {*parties, STORE, ALL_PARTIES} if parties else set(self.spans)
        return not any(
            span.start <= end and span.end >= start - margin_s
            for name in names
            for span in self.spans.get(name, ())
            if not (except_planned and span.is_planned)
        )
