"""Metrics of the process; docs/metrics.md lists them."""

import math
from typing import cast

import aioprometheus
from aioprometheus import histogram
import attrs

# Upper bounds in seconds. An event is usually handled in microseconds; one that
# takes more than a few milliseconds delays all other work of the process.
EVENT_BUCKETS_S = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 1.0, math.inf)
REQUEST_BUCKETS_S = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    3.0,
    10.0,
    math.inf,
)
LATENESS_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, math.inf)
CALL_BUCKETS_S = (0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, math.inf)
POLL_BUCKETS = (1, 2, 4, 8, math.inf)


@attrs.define
class Counters:
    """Counters and histograms of one process.

    Attributes:
        series: Histograms by metric name and label values. The cache saves the
            search for the labels at each observation.
        registry: Registry that holds all metrics.
        refusals: Refusals, by part and reason code.
        retries: Retries, by part and reason code.
        faults: Unhandled exceptions, by place.
        requests: Durations of callers' requests in seconds, by HTTP status.
        events: Durations of the handling of events in seconds, by event type.
        lateness: Delays of periodic timers in seconds.
        worker_calls: Durations of calls to workers in seconds, by call and
            outcome.
        connections: Connections opened to workers.
        connection_waits: Waits for a free connection to a worker in seconds.
        polls_in_flight: Numbers of long polls in flight at a worker.
    """

    series: dict[tuple[str, ...], histogram.Histogram] = attrs.field(
        factory=dict
    )
    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    refusals: aioprometheus.Counter = attrs.field(init=False)
    retries: aioprometheus.Counter = attrs.field(init=False)
    faults: aioprometheus.Counter = attrs.field(init=False)
    requests: aioprometheus.Histogram = attrs.field(init=False)
    events: aioprometheus.Histogram = attrs.field(init=False)
    lateness: aioprometheus.Histogram = attrs.field(init=False)
    worker_calls: aioprometheus.Histogram = attrs.field(init=False)
    connections: aioprometheus.Counter = attrs.field(init=False)
    connection_waits: aioprometheus.Histogram = attrs.field(init=False)
    polls_in_flight: aioprometheus.Histogram = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Registers the metrics."""
        self.refusals = self._make_counter(
            "sapphirestall_refusals_total", "Refusals by part and reason code"
        )
        self.retries = self._make_counter(
            "sapphirestall_retries_total", "Retries by part and reason code"
        )
        self.faults = self._make_counter(
            "sapphirestall_faults_total",
            "Exceptions that nothing handled, by place",
        )
        self.requests = self._make_histogram(
            "sapphirestall_request_seconds",
            "Time from a caller's request to its answer, by status",
            REQUEST_BUCKETS_S,
        )
        self.events = self._make_histogram(
            "sapphirestall_event_seconds",
            "Time in which the loop handled one event, by event type",
            EVENT_BUCKETS_S,
        )
        self.lateness = self._make_histogram(
            "sapphirestall_loop_lateness_seconds",
            "Time by which the loop ran a periodic timer late",
            LATENESS_BUCKETS_S,
        )
        self.worker_calls = self._make_histogram(
            "sapphirestall_worker_call_seconds",
            "Time from a call to a worker to its reply, by call and outcome",
            CALL_BUCKETS_S,
        )
        self.connections = self._make_counter(
            "sapphirestall_worker_connections_total",
            "Connections opened to workers",
        )
        self.connection_waits = self._make_histogram(
            "sapphirestall_worker_connection_wait_seconds",
            "Time for which a call waited while all connections were in use",
            CALL_BUCKETS_S,
        )
        self.polls_in_flight = self._make_histogram(
            "sapphirestall_worker_holds_in_flight",
            "Holds in flight at a worker, this one included, at each hold",
            POLL_BUCKETS,
        )

    def _make_counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, text, registry=self.registry)

    def _make_histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, text, buckets=list(buckets), registry=self.registry
        )

    def _observe(
        self,
        metric: aioprometheus.Histogram,
        labels: dict[str, str],
        value: float,
    ) -> None:
        """Adds a value to the histogram with the given labels."""
        key = (metric.name, *labels.values())
        known = self.series.get(key)
        if known is not None:
            known.observe(value)
            return
        metric.observe(labels, value)
        self.series[key] = cast(histogram.Histogram, metric.get_value(labels))

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics in a format that the client accepts.

        Args:
            accept: Values of the `Accept` headers of the request.

        Returns:
            The body and the headers of the response.
        """
        return aioprometheus.render(self.registry, accept)

    def count_refusal(self, part: str, code: str) -> None:
        """Counts a refusal."""
        self.refusals.inc({"part": part, "code": code})

    def count_retry(self, part: str, code: str) -> None:
        """Counts a retry."""
        self.retries.inc({"part": part, "code": code})

    def count_fault(self, place: str) -> None:
        """Counts an unhandled exception raised in `place`."""
        self.faults.inc({"place": place})

    def observe_request(self, status: int, seconds: float) -> None:
        """Records the duration of a caller's request, in seconds."""
        self._observe(self.requests, {"status": str(status)}, seconds)

    def observe_event(self, event: str, seconds: float) -> None:
        """Records how long the loop handled an event, in seconds."""
        self._observe(self.events, {"event": event}, seconds)

    def observe_lateness(self, seconds: float) -> None:
        """Records the delay of a periodic timer, in seconds."""
        self._observe(self.lateness, {}, seconds)

    def observe_worker_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        """Records the duration of a call to a worker, in seconds."""
        self._observe(
            self.worker_calls, {"call": call, "outcome": outcome}, seconds
        )

    def count_connection(self) -> None:
        """Counts a connection that was opened to a worker."""
        self.connections.inc({})

    def observe_connection_wait(self, seconds: float) -> None:
        """Records how long a call waited for a connection, in seconds."""
        self._observe(self.connection_waits, {}, seconds)

    def observe_polls_in_flight(self, in_flight: int) -> None:
        """Records the number of long polls in flight at a worker."""
        self._observe(self.polls_in_flight, {}, in_flight)
