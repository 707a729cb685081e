"""Runs all tests and prints `N passed, N failed` from the runner's report.

Scenarios that KNOWN-RED.txt lists do not count as failures; they are printed.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MARK = "test: "


def read_known_red() -> set[str]:
    """Returns the names of the scenarios that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(MARK).strip()
        for line in lines
        if line.startswith(MARK)
    }


def run_behave(report: pathlib.Path, arguments: list[str]) -> int:
    """Runs the tests and returns the runner's exit code."""
    command = [
        sys.executable,
        "-m",
        "behave",
        "--format=progress3",
        "--outfile=/dev/stdout",
        "--format=json",
        f"--outfile={report}",
        "--no-capture",
        *arguments,
    ]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main() -> int:
    """Returns 0 when no test failed but those that may."""
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / "report.json"
        code = run_behave(report, sys.argv[1:])
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    known = read_known_red()
    passed, failed, red = 0, [], []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            elif element.get("status") not in ("skipped", "untested"):
                group = red if element["name"] in known else failed
                group.append(f"{feature['name']}: {element['name']}")
    for name in red:
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    # An error outside a scenario shows only in the exit code.
    if code and not failed and not red:
        failed.append("the runner itself")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
