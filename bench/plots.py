"""Plots of the results of the benchmark."""

import pathlib

import matplotlib
from matplotlib import pyplot

from bench import measurements
from bench import table

matplotlib.use("Agg")

# Deployment, scenario and policy.
RunKey = tuple[str, str, str]
SMOOTHING_TICKS = 20
RECOVERY_SCENARIOS = ("load shift", "waves of noisy tasks", "rack lost")


def draw(
    results: dict[RunKey, measurements.Measurements], directory: pathlib.Path
) -> None:
    """Draws all plots into a directory."""
    directory.mkdir(exist_ok=True)
    for deployment in sorted({key[0] for key in results}):
        selected = {
            key[1:]: m for key, m in results.items() if key[0] == deployment
        }
        draw_load(selected, directory / f"{deployment}-latency-load.png")
        draw_tradeoff(
            selected, directory / f"{deployment}-throughput-protection.png"
        )
        draw_recovery(selected, directory / f"{deployment}-recovery.png")


def draw_load(
    results: dict[tuple[str, str], measurements.Measurements],
    path: pathlib.Path,
) -> None:
    """Draws service latency against concurrent batch work."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in sorted({key[1] for key in results}):
        points: dict[int, list[float]] = {}
        for key, measured in results.items():
            if key[1] != policy:
                continue
            for _, p99_ms, cores in measured.timeline:
                points.setdefault(round(cores / 50) * 50, []).append(p99_ms)
        loads = sorted(
            load for load, samples in points.items() if len(samples) > 20
        )
        axes.plot(
            loads,
            [sum(points[load]) / len(points[load]) for load in loads],
            marker="o",
            label=policy,
        )
    axes.set_xlabel("processors in use by batch work")
    axes.set_ylabel("mean p99 of a tick, ms")
    axes.set_title("Service latency against batch load, all scenarios")
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)


def draw_tradeoff(
    results: dict[tuple[str, str], measurements.Measurements],
    path: pathlib.Path,
) -> None:
    """Draws useful batch work against the p99 of services, by scenario."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in sorted({key[1] for key in results}):
        p99_ratios, work_ratios = [], []
        for (scenario, name), measured in results.items():
            base = results[scenario, table.FIRST_FIT]
            if name != policy:
                continue
            p99_ratios.append(measured.compute_ratio(0.99))
            work = measured.compute_useful_work()
            work_ratios.append(work / max(1.0, base.compute_useful_work()))
        axes.scatter(p99_ratios, work_ratios, label=policy)
    axes.axvline(table.MAX_P99_RATIO, color="grey", linestyle=":")
    axes.axhline(table.MIN_WORK_RATIO, color="grey", linestyle=":")
    axes.set_xlabel("p99 of services over p99 alone")
    axes.set_ylabel("batch work over first fit")
    axes.set_title("Throughput against protection, one point a scenario")
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)


def draw_recovery(
    results: dict[tuple[str, str], measurements.Measurements],
    path: pathlib.Path,
) -> None:
    """Draws the p99 over time for scenarios with a fault at 100 s."""
    names = [
        name
        for name in RECOVERY_SCENARIOS
        if (name, table.PREDICTED) in results
    ]
    if not names:
        return
    figure, rows = pyplot.subplots(
        len(names), 1, figsize=(8, 3 * len(names)), squeeze=False
    )
    for row, name in zip(rows, names, strict=True):
        axes = row[0]
        for policy in (table.PREDICTED, table.FIRST_FIT, table.PREEMPTING):
            line = results[name, policy].timeline
            axes.plot(
                [at for at, _, _ in line],
                _smooth([p99_ms for _, p99_ms, _ in line]),
                label=policy,
            )
        axes.set_title(name)
        axes.set_ylabel("p99, ms")
    rows[-1][0].set_xlabel("time, s")
    rows[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)


def _smooth(values: list[float]) -> list[float]:
    return [
        sum(values[max(0, i - SMOOTHING_TICKS) : i + 1])
        / len(values[max(0, i - SMOOTHING_TICKS) : i + 1])
        for i in range(len(values))
    ]
