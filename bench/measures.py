"""What a run of the bench measures."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from bench import model

if TYPE_CHECKING:
    from bench import owner

BASE_LATENCY_MS = 20.0
DEADLINE_MS = 50.0


@attrs.define
class Measures:
    """Counts and samples of one run.

    Attributes:
        latencies_ms: Latency of sampled requests beside batch work.
        alone_ms: Latency of the same requests without batch work.
        work: Useful processor-seconds by batch class (`urgent`, `lower`).
        urgent_waits_s: Time from submission to start of urgent tasks.
        swallowed: Tasks that each worker failed before it was put aside.
        timeline: (time, p99 of the tick, processors of useful work).
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    alone_ms: list[float] = attrs.field(factory=list)
    missed: int = 0
    work: collections.Counter[str] = attrs.field(factory=collections.Counter)
    lost_to_evictions: float = 0.0
    lost_to_faults: float = 0.0
    evictions: int = 0
    throttles: int = 0
    starts: int = 0
    finished: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    urgent_waits_s: list[float] = attrs.field(factory=list)
    swallowed: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    aside: set[str] = attrs.field(factory=set)
    timeline: list[tuple[float, float, float]] = attrs.field(factory=list)

    def record_failure(self, worker_id: str, aside: bool) -> None:
        """Counts a failed task until its worker is first put aside."""
        if worker_id not in self.aside:
            self.swallowed[worker_id] += 1
        if aside:
            self.aside.add(worker_id)

    def record_start(
        self, worker_id: str, waiting: owner.Waiting, now: float
    ) -> None:
        """Counts a start and the wait of an urgent task's first start."""
        self.starts += 1
        first = waiting.record.urgency >= model.URGENT and not waiting.seen
        if first and not waiting.excused:
            self.urgent_waits_s.append(now - waiting.since)
        waiting.seen = True

    def record_eviction(self, lost: float) -> None:
        """Counts an eviction and the processor-seconds that it lost."""
        self.evictions += 1
        self.lost_to_evictions += lost

    def add_request(self, alone_ms: float, slowdown: float) -> None:
        """Adds one request, with and without the batch work beside it."""
        latency_ms = alone_ms * slowdown
        self.alone_ms.append(alone_ms)
        self.latencies_ms.append(latency_ms)
        self.missed += latency_ms > DEADLINE_MS

    def compute_goodput(self) -> float:
        """Returns the share of requests answered within the deadline."""
        return 1.0 - self.missed / max(1, len(self.latencies_ms))

    def compute_ratio(self, share: float) -> float:
        """Returns a quantile of the latency over that of services alone."""
        alone_ms = compute_quantile(self.alone_ms, share)
        return compute_quantile(self.latencies_ms, share) / max(1e-9, alone_ms)

    def compute_useful_work(self) -> float:
        """Returns processor-seconds of batch work that were not repeated."""
        return sum(self.work.values()) - self.lost_to_evictions


def compute_quantile(values: list[float], share: float) -> float:
    """Returns a quantile by nearest rank; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
