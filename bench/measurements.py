"""Measurements of one run of the benchmark."""

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
class Measurements:
    """Counts and samples of one run.

    Attributes:
        latencies_ms: Latency of sampled requests beside batch work.
        alone_ms: Latency of the same requests without batch work.
        deadline_misses: Number of sampled requests answered after the deadline.
        work: Processor-seconds by class of batch work (`urgent`, `lower`,
            `flood`), including work that evictions lost later.
        lost_to_evictions: Processor-seconds that evicted tasks must repeat.
        lost_to_faults: Processor-seconds of tasks on workers that were lost.
        throttles: Number of throttle commands.
        starts: Number of started attempts.
        finished: Number of finished tasks, by urgency.
        refusals: Number of refusals, by reason code.
        urgent_waits_s: Time from submission to first start of urgent tasks.
        failures_by_worker: Tasks that failed on each worker before it was first
            put on probation.
        on_probation: Workers that have been on probation.
        timeline: Time in seconds, p99 in milliseconds and processors in use by
            batch work, for each tick.
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    alone_ms: list[float] = attrs.field(factory=list)
    deadline_misses: int = 0
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
    failures_by_worker: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    on_probation: set[str] = attrs.field(factory=set)
    timeline: list[tuple[float, float, float]] = attrs.field(factory=list)

    def record_failure(self, worker_id: str, on_probation: bool) -> None:
        """Counts a failed task until its worker is first put on probation."""
        if worker_id not in self.on_probation:
            self.failures_by_worker[worker_id] += 1
        if on_probation:
            self.on_probation.add(worker_id)

    def record_start(
        self, worker_id: str, waiting: owner.WaitingTask, now: float
    ) -> None:
        """Counts a start and records the wait of an urgent task's first one."""
        self.starts += 1
        urgent_first_start = (
            waiting.record.urgency >= model.URGENT
            and not waiting.started_before
        )
        if urgent_first_start and not waiting.exempt:
            self.urgent_waits_s.append(now - waiting.waiting_since)
        waiting.started_before = True

    def record_eviction(self, lost: float) -> None:
        """Counts an eviction and the processor-seconds lost by it."""
        self.evictions += 1
        self.lost_to_evictions += lost

    def add_request(self, alone_ms: float, slowdown: float) -> None:
        """Adds the latency of one request without and beside batch work."""
        latency_ms = alone_ms * slowdown
        self.alone_ms.append(alone_ms)
        self.latencies_ms.append(latency_ms)
        self.deadline_misses += latency_ms > DEADLINE_MS

    def compute_goodput(self) -> float:
        """Returns the share of requests answered within the deadline."""
        return 1.0 - self.deadline_misses / max(1, len(self.latencies_ms))

    def compute_ratio(self, share: float) -> float:
        """Returns the ratio of a latency quantile to that of services alone."""
        alone_ms = compute_quantile(self.alone_ms, share)
        return compute_quantile(self.latencies_ms, share) / max(1e-9, alone_ms)

    def compute_useful_work(self) -> float:
        """Returns the processor-seconds of batch work not lost to evictions."""
        return sum(self.work.values()) - self.lost_to_evictions


def compute_quantile(values: list[float], share: float) -> float:
    """Returns a nearest-rank quantile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
