"""Rows of the benchmark report and verdicts on its targets."""

from collections.abc import Iterable

import attrs

from bench import measurements
from bench import model
from bench import scenarios

MAX_P99_RATIO = 1.1
MIN_WORK_RATIO = 0.9
MAX_EVICTION_RATIO = 0.25
MIN_KEPT_SHARE = 0.95
MAX_URGENT_WAIT_S = 7.5
WORKER_FAILURE_LIMIT = 10
PREDICTED = "predicted"
FIRST_FIT = "first fit"
PREEMPTING = "preempting"

HEADER = (
    f"{'policy':<11}{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>7}{'p99/alone':>10}"
    f"{'missed':>8}{'work':>9}{'evict':>7}{'lost':>7}{'urgent p99.9':>13}"
    f"{'kept':>6}{'failures':>10}  refusals"
)


@attrs.frozen
class PolicyResult:
    """Measurements of one policy in one scenario.

    Attributes:
        measurements: Measurements of the scenario.
        without_flood: Measurements of the same policy and jobs without the
            flood; None if the scenario has none.
    """

    measurements: measurements.Measurements
    without_flood: measurements.Measurements | None = None


@attrs.frozen
class Verdict:
    """Measured value of a target and whether it meets the bound."""

    target: str
    value: float
    bound: float
    met: bool


def compute_kept_share(
    result: PolicyResult, scenario: scenarios.Scenario
) -> float:
    """Returns the share of other work that remains under a flood.

    Other work is the services, measured by answers within the deadline, and
    the classes of batch work that are not flooded, measured by processor time.
    The least share is returned; 1 without a flood.
    """
    if result.without_flood is None:
        return 1.0
    goodput = (
        result.measurements.compute_goodput()
        / result.without_flood.compute_goodput()
    )
    urgent = scenario.flood_urgency >= model.URGENT
    other_classes = ["lower"] if urgent else ["lower", "urgent"]
    work = [
        result.measurements.work[name]
        / max(1e-9, result.without_flood.work[name])
        for name in other_classes
    ]
    return min(goodput, *work)


def format_row(
    name: str, result: PolicyResult, scenario: scenarios.Scenario
) -> str:
    """Returns the report line of one policy."""
    measured = result.measurements
    quantile = measurements.compute_quantile
    refusals = ", ".join(
        f"{reason} {count}"
        for reason, count in sorted(measured.refusals.items())
    )
    kept = (
        f"{compute_kept_share(result, scenario):.2f}"
        if result.without_flood
        else "-"
    )
    max_failures = max(measured.failures_by_worker.values(), default=0)
    return (
        f"{name:<11}{quantile(measured.latencies_ms, 0.5):>8.1f}"
        f"{quantile(measured.latencies_ms, 0.99):>8.1f}"
        f"{quantile(measured.latencies_ms, 0.999):>7.1f}"
        f"{measured.compute_ratio(0.99):>10.3f}{measured.deadline_misses:>8}"
        f"{measured.compute_useful_work():>9.0f}{measured.evictions:>7}"
        f"{measured.lost_to_evictions:>7.0f}"
        f"{quantile(measured.urgent_waits_s, 0.999):>13.1f}"
        f"{kept:>6}{max_failures:>10}  {refusals}"
    )


def judge(
    results: dict[str, PolicyResult], scenario: scenarios.Scenario
) -> Iterable[Verdict]:
    """Yields the verdicts on one scenario."""
    predicted = results[PREDICTED].measurements
    p99_ratio = predicted.compute_ratio(0.99)
    yield Verdict(
        "p99 over alone", p99_ratio, MAX_P99_RATIO, p99_ratio <= MAX_P99_RATIO
    )
    work = predicted.compute_useful_work()
    first_fit_work = results[FIRST_FIT].measurements.compute_useful_work()
    work_ratio = work / max(1.0, first_fit_work)
    yield Verdict(
        "work over first fit",
        work_ratio,
        MIN_WORK_RATIO,
        work_ratio >= MIN_WORK_RATIO,
    )
    if scenario.flood_urgency < model.URGENT:
        preempting_evictions = results[PREEMPTING].measurements.evictions
        eviction_ratio = predicted.evictions / max(1, preempting_evictions)
        yield Verdict(
            "evictions over preempting",
            eviction_ratio,
            MAX_EVICTION_RATIO,
            eviction_ratio <= MAX_EVICTION_RATIO,
        )
        wait_s = measurements.compute_quantile(predicted.urgent_waits_s, 0.999)
        yield Verdict(
            "urgent start p99.9, s",
            wait_s,
            MAX_URGENT_WAIT_S,
            wait_s <= MAX_URGENT_WAIT_S,
        )
    if scenario.flood:
        kept = compute_kept_share(results[PREDICTED], scenario)
        yield Verdict(
            "kept under flood", kept, MIN_KEPT_SHARE, kept >= MIN_KEPT_SHARE
        )
    if scenario.faulty_workers:
        max_failures = max(predicted.failures_by_worker.values(), default=0)
        yield Verdict(
            "failures before probation",
            max_failures,
            WORKER_FAILURE_LIMIT,
            max_failures < WORKER_FAILURE_LIMIT,
        )


def format_verdict(verdict: Verdict) -> str:
    """Returns the report line of one verdict."""
    outcome = "met" if verdict.met else "MISSED"
    return (
        f"  {verdict.target:<27}{verdict.value:>8.3f}"
        f"  bound {verdict.bound:<5g} {outcome}"
    )
