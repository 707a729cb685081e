"""Plots of a run of the bench."""

import pathlib

import matplotlib
from matplotlib import pyplot

from bench import measures
from bench import table

matplotlib.use("Agg")

Key = tuple[str, str, str]
WINDOW = 20
FAULTS = ("load shift", "waves of noisy tasks", "rack lost")


def draw(found: dict[Key, measures.Measures], directory: pathlib.Path) -> None:
    """Draws all plots into a directory."""
    directory.mkdir(exist_ok=True)
    for deployment in sorted({key[0] for key in found}):
        own = {key[1:]: m for key, m in found.items() if key[0] == deployment}
        draw_load(own, directory / f"{deployment}-latency-load.png")
        draw_trade(own, directory / f"{deployment}-throughput-protection.png")
        draw_recovery(own, directory / f"{deployment}-recovery.png")


def draw_load(
    found: dict[tuple[str, str], measures.Measures], path: pathlib.Path
) -> None:
    """Draws latency against the batch work that runs at the same time."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in sorted({key[1] for key in found}):
        points: dict[int, list[float]] = {}
        for key, measured in found.items():
            if key[1] != policy:
                continue
            for _, p99_ms, cores in measured.timeline:
                points.setdefault(round(cores / 50) * 50, []).append(p99_ms)
        loads = sorted(load for load, seen in points.items() if len(seen) > 20)
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


def draw_trade(
    found: dict[tuple[str, str], measures.Measures], path: pathlib.Path
) -> None:
    """Draws batch work against the p99 of the services, by scenario."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy in sorted({key[1] for key in found}):
        xs, ys = [], []
        for (scenario, name), measured in found.items():
            base = found[scenario, table.UNPROTECTED]
            if name != policy:
                continue
            xs.append(measured.compute_ratio(0.99))
            work = measured.compute_useful_work()
            ys.append(work / max(1.0, base.compute_useful_work()))
        axes.scatter(xs, ys, label=policy)
    axes.axvline(table.P99_BOUND, color="grey", linestyle=":")
    axes.axhline(table.THROUGHPUT_BOUND, color="grey", linestyle=":")
    axes.set_xlabel("p99 of services over p99 alone")
    axes.set_ylabel("batch work over first fit")
    axes.set_title("Throughput against protection, one point a scenario")
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)


def draw_recovery(
    found: dict[tuple[str, str], measures.Measures], path: pathlib.Path
) -> None:
    """Draws the p99 over time for scenarios with a fault at 100 s."""
    names = [name for name in FAULTS if (name, table.OURS) in found]
    if not names:
        return
    figure, rows = pyplot.subplots(
        len(names), 1, figsize=(8, 3 * len(names)), squeeze=False
    )
    for row, name in zip(rows, names, strict=True):
        axes = row[0]
        for policy in (table.OURS, table.UNPROTECTED, table.UNPREDICTED):
            line = found[name, policy].timeline
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
        sum(values[max(0, i - WINDOW) : i + 1])
        / len(values[max(0, i - WINDOW) : i + 1])
        for i in range(len(values))
    ]
