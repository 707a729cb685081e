"""Runs all tests and prints `N passed, N failed` from the runner's reports.

Each feature file runs in a separate process, several at a time. Those tagged
`@alone` start many processes and run one by one after the others. Scenarios
listed in KNOWN-RED.txt do not count as failures; those that fail are printed.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
ALONE_TAG = "@alone"
# Leaves half of the cores to the processes that features start.
MAX_RUNNERS = max(1, (os.cpu_count() or 1) // 2)


@attrs.frozen
class FeatureRun:
    """Result of one feature file.

    Attributes:
        path: Path of the feature file.
        code: Exit code of behave.
        output: Output of behave.
        report: Parsed JSON report of behave; empty if it wrote none.
    """

    path: pathlib.Path
    code: int
    output: str
    report: list[dict[str, Any]]


@attrs.define
class Verdict:
    """Scenarios by outcome.

    Attributes:
        passed: Number of scenarios that passed.
        skipped: Number of scenarios that did not run.
        failed: Feature and name of scenarios that failed.
        known_red: Feature and name of scenarios that may fail and did.
    """

    passed: int = 0
    skipped: int = 0
    failed: list[str] = attrs.field(factory=list)
    known_red: list[str] = attrs.field(factory=list)


def read_known_red() -> set[str]:
    """Returns the names of the scenarios that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


async def run_feature(
    path: pathlib.Path, directory: pathlib.Path, semaphore: asyncio.Semaphore
) -> FeatureRun:
    """Runs one feature file and prints its output."""
    report = directory / f"{path.stem}.json"
    async with semaphore:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "behave", "--no-capture", "--no-summary"),
            *("--format=progress3", "--outfile=/dev/stdout"),
            *("--format=json", f"--outfile={report}", str(path)),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    text = output.decode(errors="replace")
    print(text, end="", flush=True)
    report_text = report.read_text(encoding="utf-8") if report.exists() else ""
    code = process.returncode or 0
    return FeatureRun(path, code, text, json.loads(report_text or "[]"))


async def run_all(paths: list[pathlib.Path]) -> list[FeatureRun]:
    """Runs all feature files, several at a time."""
    semaphore = asyncio.Semaphore(MAX_RUNNERS)
    alone = [p for p in paths if p.read_text("utf-8").startswith(ALONE_TAG)]
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        others = [p for p in paths if p not in alone]
        runs = await asyncio.gather(
            *(run_feature(path, directory, semaphore) for path in others)
        )
        for path in alone:
            runs.append(await run_feature(path, directory, semaphore))
    return runs


def judge(runs: list[FeatureRun]) -> Verdict:
    """Counts the scenarios of all runs by outcome."""
    verdict = Verdict()
    known_names = read_known_red()
    for run in runs:
        before = len(verdict.failed) + len(verdict.known_red)
        for feature in run.report:
            for element in feature.get("elements", []):
                if element["type"] != "background":
                    _count(feature["name"], element, known_names, verdict)
        # An error outside of scenarios appears only in the exit code.
        if run.code and len(verdict.failed) + len(verdict.known_red) == before:
            verdict.failed.append(
                f"{run.path.name}: error outside of scenarios"
            )
    return verdict


def _count(
    feature: str,
    element: dict[str, Any],
    known_names: set[str],
    verdict: Verdict,
) -> None:
    name = element["name"].strip()
    match element.get("status"):
        case "passed":
            verdict.passed += 1
        case "skipped" | "untested":
            verdict.skipped += 1
        case _:
            group = verdict.known_red if name in known_names else verdict.failed
            group.append(f"{feature}: {name}")


def main() -> int:
    """Returns 0 if tests passed and none failed that may not."""
    chosen = [pathlib.Path(name) for name in sys.argv[1:]]
    paths = chosen or sorted((ROOT / "features").glob("*.feature"))
    verdict = judge(asyncio.run(run_all(paths)))
    for name in verdict.known_red:
        print(f"known red: {name}")
    for name in verdict.failed:
        print(f"failed: {name}")
    if verdict.skipped:
        print(f"not run: {verdict.skipped} scenarios")
    print(f"{verdict.passed} passed, {len(verdict.failed)} failed")
    return 1 if verdict.failed or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main())
