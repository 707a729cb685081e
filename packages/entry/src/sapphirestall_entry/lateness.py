"""Measurement of the event loop's delay with a periodic timer."""

import asyncio
from collections.abc import Callable

import attrs

from sapphirestall_entry import counters as counters_module

PART = "process"
PERIOD_S = 0.2
# When the loop is at least this late, the answer to a call that timed out may
# have arrived in time.
LATE_LOOP_S = 0.1
REPORT_INTERVAL_S = 5.0


@attrs.define
class LatenessMonitor:
    """Measures how long after its due time the loop runs a timer.

    Attributes:
        counters: Metrics of the process.
        clock: Monotonic clock, in seconds.
        report: Writes a log line with a part, a text and fields.
        due_at: Monotonic time at which the timer is due next, in seconds.
        reported_at: Monotonic time of the last log line, in seconds.
        late_count: Number of late timers since the last log line.
        max_lateness_s: Largest lateness since the last log line, in seconds.
    """

    counters: counters_module.Counters
    clock: Callable[[], float]
    report: Callable[[str, str, dict[str, object]], None]
    due_at: float = 0.0
    reported_at: float = -1e9
    late_count: int = 0
    max_lateness_s: float = 0.0

    def start(self) -> None:
        """Starts the timer on the running loop."""
        self.due_at = self.clock() + PERIOD_S
        asyncio.get_running_loop().call_later(PERIOD_S, self._run)

    def _run(self) -> None:
        now = self.clock()
        self.observe(max(0.0, now - self.due_at), now)
        self.start()

    def observe(self, lateness_s: float, now: float) -> None:
        """Records one measurement.

        The first late timer is logged at once; later ones are summarised in at
        most one log line per `REPORT_INTERVAL_S`.

        Args:
            lateness_s: Delay of the timer, in seconds.
            now: Monotonic time, in seconds.
        """
        self.counters.observe_lateness(lateness_s)
        if lateness_s >= LATE_LOOP_S:
            self.late_count += 1
            self.max_lateness_s = max(self.max_lateness_s, lateness_s)
        if not self.late_count or now - self.reported_at < REPORT_INTERVAL_S:
            return
        fields: dict[str, object] = {
            "worst_s": round(self.max_lateness_s, 3),
            "timers": self.late_count,
        }
        self.report(PART, "loop_late", fields)
        self.reported_at = now
        self.late_count = 0
        self.max_lateness_s = 0.0
