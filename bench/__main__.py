"""Runs every scenario under every policy and prints a comparison.

Runs of `python -m bench` with the same seed print the same figures.
"""

import argparse
from concurrent import futures
import pathlib

import attrs

from bench import baselines
from bench import measurements
from bench import model
from bench import plots
from bench import scenarios
from bench import table

DEPLOYMENTS = {"belkadi": model.BELKADI, "magnolia": model.MAGNOLIA}
REPORT_DIRECTORY = pathlib.Path(__file__).parents[1] / "report"


@attrs.frozen
class RunSpec:
    """Parameters of one run, which a process of the pool executes."""

    scenario: scenarios.Scenario
    deployment: str
    policy: str
    seed: int


def execute_run(spec: RunSpec) -> measurements.Measurements:
    """Runs one scenario under one policy."""
    return scenarios.run(
        spec.scenario,
        DEPLOYMENTS[spec.deployment],
        baselines.STRATEGIES[spec.policy],
        spec.seed,
    )


def list_runs(
    deployments: list[str], chosen: list[scenarios.Scenario], seed: int
) -> list[RunSpec]:
    """Returns all runs; scenarios with a flood also run without it."""
    specs = [
        RunSpec(scenario, deployment, policy, seed)
        for deployment in deployments
        for scenario in chosen
        for policy in baselines.STRATEGIES
    ]
    return specs + [
        attrs.evolve(spec, scenario=attrs.evolve(spec.scenario, flood=0.0))
        for spec in specs
        if spec.scenario.flood
    ]


def print_scenario(
    deployment: str,
    scenario: scenarios.Scenario,
    seed: int,
    results_by_run: dict[RunSpec, measurements.Measurements],
) -> list[table.Verdict]:
    """Prints the table of one scenario and returns its verdicts."""
    without_flood = attrs.evolve(scenario, flood=0.0)
    results = {
        policy: table.PolicyResult(
            results_by_run[RunSpec(scenario, deployment, policy, seed)],
            results_by_run[RunSpec(without_flood, deployment, policy, seed)]
            if scenario.flood
            else None,
        )
        for policy in baselines.STRATEGIES
    }
    print(f"\n{DEPLOYMENTS[deployment].name}: {scenario.name}")
    print(table.HEADER)
    for policy, result in results.items():
        print(table.format_row(policy, result, scenario))
    verdicts = list(table.judge(results, scenario))
    for verdict in verdicts:
        print(table.format_verdict(verdict))
    return verdicts


def parse_arguments() -> argparse.Namespace:
    """Returns the options of the command line."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--scenario", default="", help="part of its name")
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS))
    return parser.parse_args()


def main() -> None:
    """Runs the benchmark; missed targets do not change the exit status."""
    options = parse_arguments()
    deployments = (
        [options.deployment] if options.deployment else list(DEPLOYMENTS)
    )
    chosen = [s for s in scenarios.SCENARIOS if options.scenario in s.name]
    specs = list_runs(deployments, chosen, options.seed)
    with futures.ProcessPoolExecutor(options.processes) as pool:
        results = pool.map(execute_run, specs)
        results_by_run = dict(zip(specs, results, strict=True))
    verdicts: list[table.Verdict] = []
    for deployment in deployments:
        for scenario in chosen:
            verdicts += print_scenario(
                deployment, scenario, options.seed, results_by_run
            )
    met = sum(verdict.met for verdict in verdicts)
    print(f"\n{met} of {len(verdicts)} verdicts met, seed {options.seed}")
    timelines = {
        (spec.deployment, spec.scenario.name, spec.policy): measured
        for spec, measured in results_by_run.items()
        if spec.scenario in chosen
    }
    plots.draw(timelines, REPORT_DIRECTORY)


if __name__ == "__main__":
    main()
