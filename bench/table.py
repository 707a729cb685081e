"""Rows of the bench's report and the verdicts on its targets."""

from collections.abc import Iterable

import attrs

from bench import measures
from bench import model
from bench import scenarios

P99_BOUND = 1.1
THROUGHPUT_BOUND = 0.9
EVICTION_BOUND = 0.25
KEPT_BOUND = 0.95
URGENT_BOUND_S = 7.5
SWALLOWED_BOUND = 10
OURS = "predicted"
UNPROTECTED = "first fit"
UNPREDICTED = "preempting"

HEADER = (
    f"{'policy':<11}{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>7}{'p99/alone':>10}"
    f"{'missed':>8}{'work':>9}{'evict':>7}{'lost':>7}{'urgent p99.9':>13}"
    f"{'kept':>6}{'swallowed':>10}  refusals"
)


@attrs.frozen
class Cell:
    """One policy in one scenario.

    Attributes:
        calm: The same policy and jobs without the flood; None without flood.
    """

    measures: measures.Measures
    calm: measures.Measures | None = None


@attrs.frozen
class Verdict:
    """Whether a target was met."""

    target: str
    value: float
    bound: float
    met: bool


def compute_kept(cell: Cell, scenario: scenarios.Scenario) -> float:
    """Returns what the other kind keeps under a flood; 1 without flood.

    The other kinds are the services, by answers within the deadline, and the
    batch work that is not flooded, by useful work. The worse one counts.
    """
    if cell.calm is None:
        return 1.0
    goodput = cell.measures.compute_goodput() / cell.calm.compute_goodput()
    urgent = scenario.flood_urgency >= model.URGENT
    others = ["lower"] if urgent else ["lower", "urgent"]
    work = [
        cell.measures.work[name] / max(1e-9, cell.calm.work[name])
        for name in others
    ]
    return min(goodput, *work)


def format_row(name: str, cell: Cell, scenario: scenarios.Scenario) -> str:
    """Returns the line of one policy."""
    found = cell.measures
    quantile = measures.compute_quantile
    refusals = ", ".join(
        f"{reason} {count}" for reason, count in sorted(found.refusals.items())
    )
    kept = f"{compute_kept(cell, scenario):.2f}" if cell.calm else "-"
    swallowed = max(found.swallowed.values(), default=0)
    return (
        f"{name:<11}{quantile(found.latencies_ms, 0.5):>8.1f}"
        f"{quantile(found.latencies_ms, 0.99):>8.1f}"
        f"{quantile(found.latencies_ms, 0.999):>7.1f}"
        f"{found.compute_ratio(0.99):>10.3f}{found.missed:>8}"
        f"{found.compute_useful_work():>9.0f}{found.evictions:>7}"
        f"{found.lost_to_evictions:>7.0f}"
        f"{quantile(found.urgent_waits_s, 0.999):>13.1f}"
        f"{kept:>6}{swallowed:>10}  {refusals}"
    )


def judge(
    cells: dict[str, Cell], scenario: scenarios.Scenario
) -> Iterable[Verdict]:
    """Yields the verdicts on one scenario."""
    ours = cells[OURS].measures
    ratio = ours.compute_ratio(0.99)
    yield Verdict("p99 over alone", ratio, P99_BOUND, ratio <= P99_BOUND)
    work = ours.compute_useful_work()
    base = cells[UNPROTECTED].measures.compute_useful_work()
    share = work / max(1.0, base)
    yield Verdict(
        "work over first fit",
        share,
        THROUGHPUT_BOUND,
        share >= THROUGHPUT_BOUND,
    )
    if scenario.flood_urgency < model.URGENT:
        evicted = cells[UNPREDICTED].measures.evictions
        part = ours.evictions / max(1, evicted)
        yield Verdict(
            "evictions over preempting",
            part,
            EVICTION_BOUND,
            part <= EVICTION_BOUND,
        )
        wait_s = measures.compute_quantile(ours.urgent_waits_s, 0.999)
        yield Verdict(
            "urgent start p99.9, s",
            wait_s,
            URGENT_BOUND_S,
            wait_s <= URGENT_BOUND_S,
        )
    if scenario.flood:
        kept = compute_kept(cells[OURS], scenario)
        yield Verdict("kept under flood", kept, KEPT_BOUND, kept >= KEPT_BOUND)
    if scenario.bad_workers:
        count = max(ours.swallowed.values(), default=0)
        yield Verdict(
            "tasks swallowed", count, SWALLOWED_BOUND, count < SWALLOWED_BOUND
        )


def format_verdict(verdict: Verdict) -> str:
    """Returns the line of one verdict."""
    word = "met" if verdict.met else "MISSED"
    return (
        f"  {verdict.target:<27}{verdict.value:>8.3f}"
        f"  bound {verdict.bound:<5g} {word}"
    )
