"""Runs every scenario under every policy and prints the comparison.

`python -m bench` is deterministic: the seed is the only source of chance.
"""

import argparse
from concurrent import futures
import pathlib

import attrs

from bench import baselines
from bench import measures
from bench import model
from bench import plots
from bench import scenarios
from bench import table

DEPLOYMENTS = {"belkadi": model.BELKADI, "magnolia": model.MAGNOLIA}
REPORT = pathlib.Path(__file__).parents[1] / "report"


@attrs.frozen
class Job:
    """One run for a worker process."""

    scenario: scenarios.Scenario
    deployment: str
    policy: str
    seed: int


def run_job(job: Job) -> measures.Measures:
    """Runs one scenario under one policy."""
    return scenarios.run(
        job.scenario,
        DEPLOYMENTS[job.deployment],
        baselines.STRATEGIES[job.policy],
        job.seed,
    )


def list_jobs(
    deployments: list[str], chosen: list[scenarios.Scenario], seed: int
) -> list[Job]:
    """Returns all runs, with a calm one for each scenario with a flood."""
    jobs = [
        Job(scenario, deployment, policy, seed)
        for deployment in deployments
        for scenario in chosen
        for policy in baselines.STRATEGIES
    ]
    return jobs + [
        attrs.evolve(job, scenario=attrs.evolve(job.scenario, flood=0.0))
        for job in jobs
        if job.scenario.flood
    ]


def print_scenario(
    deployment: str,
    scenario: scenarios.Scenario,
    seed: int,
    found: dict[Job, measures.Measures],
) -> list[table.Verdict]:
    """Prints the table of one scenario and returns its verdicts."""
    calm = attrs.evolve(scenario, flood=0.0)
    cells = {
        policy: table.Cell(
            found[Job(scenario, deployment, policy, seed)],
            found[Job(calm, deployment, policy, seed)]
            if scenario.flood
            else None,
        )
        for policy in baselines.STRATEGIES
    }
    print(f"\n{DEPLOYMENTS[deployment].name}: {scenario.name}")
    print(table.HEADER)
    for policy, cell in cells.items():
        print(table.format_row(policy, cell, scenario))
    verdicts = list(table.judge(cells, scenario))
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
    """Runs the bench. Missed targets are printed, not hidden by a status."""
    options = parse_arguments()
    deployments = (
        [options.deployment] if options.deployment else list(DEPLOYMENTS)
    )
    chosen = [s for s in scenarios.SCENARIOS if options.scenario in s.name]
    jobs = list_jobs(deployments, chosen, options.seed)
    with futures.ProcessPoolExecutor(options.processes) as pool:
        results = pool.map(run_job, jobs)
        found = dict(zip(jobs, results, strict=True))
    verdicts: list[table.Verdict] = []
    for deployment in deployments:
        for scenario in chosen:
            verdicts += print_scenario(
                deployment, scenario, options.seed, found
            )
    met = sum(verdict.met for verdict in verdicts)
    print(f"\n{met} of {len(verdicts)} verdicts met, seed {options.seed}")
    timelines = {
        (job.deployment, job.scenario.name, job.policy): measured
        for job, measured in found.items()
        if job.scenario in chosen
    }
    plots.draw(timelines, REPORT)


if __name__ == "__main__":
    main()
