"""Fuzz test: random sequences of work and faults.

    python -m standins.fuzz [--seed N] [--examples N]

The invariants are checked after each step. A sequence that breaks one, or that
leaves work undone at its end, is shortened and saved as a trace under
features/traces/found/.
"""

from __future__ import annotations

import hashlib
import pathlib
import random

import attrs
import click
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from standins import trace
from standins import trace_outcomes
from standins import trace_run
from standins import trace_steps

FOUND_TRACES = (
    pathlib.Path(__file__).parents[1] / "features" / "traces" / "found"
)
DATA_CENTRES = ["sefrou", "imouzzer"]
PARTITIONS = [f"{name}-rack-0" for name in DATA_CENTRES]
LAYOUT = trace_run.Layout(DATA_CENTRES, trusting=True)
RECOVERY_S = 240.0
STEPS = 18
# In CI, the sequences are derived from the code; `make fuzz` draws a seed.
CI_EXAMPLES = 30

WAITS = strategies.sampled_from([0.0, 0.002, 0.02, 0.3, 1.0, 3.0, 8.0, 25.0])
SHARES = strategies.sampled_from([0.0, 0.2, 0.5])
KEYS = strategies.sampled_from(["", "k1", "k2", "k3"])


def _sample_ids(kind: str, count: int) -> strategies.SearchStrategy[str]:
    return strategies.sampled_from(
        [f"{dc}-{kind}-{n}" for dc in DATA_CENTRES for n in range(count)]
    )


ENTRIES = _sample_ids("entry", LAYOUT.entries)
EXECUTORS = _sample_ids("executor", LAYOUT.executors)
WORKERS = _sample_ids("worker", LAYOUT.workers)
OWNERS = strategies.sampled_from([f"owner:{name}" for name in PARTITIONS])
NODES = ENTRIES | OWNERS
GROUPS = strategies.sampled_from([*DATA_CENTRES, "store"]) | NODES | WORKERS


class Machine(stateful.RuleBasedStateMachine):
    """State machine that sends work and sets faults in any order.

    Attributes:
        last: Trace of the sequence that was run last.
    """

    last: trace.Trace | None = None

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[trace_steps.Step] = []
        self.jobs: list[str] = []
        self.cancelled: set[str] = set()
        self.at = 0.0
        self.names_made = 0
        self.step_failed = False

    @stateful.initialize(seed=strategies.integers(0, 99))
    def build(self, seed: int) -> None:
        """Builds the simulation."""
        self.seed = seed
        self.run = trace_run.make_run(LAYOUT, seed)

    def run_step(self, step: trace_steps.Step, wait_s: float) -> None:
        """Carries out a step after a wait and adds it to the trace."""
        self.at = round(self.at + wait_s, 3)
        try:
            if isinstance(getattr(step, "who", None), str):
                step = attrs.evolve(step, who=self.run.resolve(step.who))
            if isinstance(step, trace_steps.Cut):
                one = [self.run.resolve(name) for name in step.one]
                step = attrs.evolve(step, one=one)
        except trace_run.UnknownNameError:
            return
        step = attrs.evolve(step, at=self.at)
        self.steps.append(step)
        self._record_trace([])
        self.step_failed = True
        trace.play_step(step, self.run)
        self.check()
        self.step_failed = False

    def check(self) -> None:
        """Asserts that no invariant was broken."""
        failures = trace.list_failures(self.run)
        assert not failures, "\n".join(failures)

    def _record_trace(self, outcome: list[trace_outcomes.Expectation]) -> None:
        Machine.last = trace.Trace(
            "a sequence that a random run found",
            list(self.steps),
            self.seed,
            LAYOUT,
            RECOVERY_S,
            outcome,
        )

    def make_name(self, kind: str) -> str:
        """Returns a name that was not used before."""
        self.names_made += 1
        return f"{kind}{self.names_made}"

    @stateful.rule(wait=WAITS, through=ENTRIES, key=KEYS)
    def request(self, wait: float, through: str, key: str) -> None:
        """Sends a request, which is not repeatable if it has a key."""
        operation = "assign" if key else trace_run.REPEATABLE
        step = trace_steps.Request(self.make_name("r"), through, operation, key)
        self.run_step(step, wait)

    @stateful.rule(
        wait=WAITS,
        through=ENTRIES,
        tasks=strategies.sampled_from([1, 4, 14]),
        run_s=strategies.sampled_from([0.2, 3.0, 15.0, 40.0]),
        urgency=strategies.integers(0, 2),
    )
    def submit(
        self, wait: float, through: str, tasks: int, run_s: float, urgency: int
    ) -> None:
        """Submits a job."""
        job = self.make_name("j")
        self.jobs.append(job)
        step = trace_steps.Submit(job, through, tasks, run_s, urgency=urgency)
        self.run_step(step, wait)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(wait=WAITS, through=ENTRIES, data=strategies.data())
    def cancel(
        self, wait: float, through: str, data: strategies.DataObject
    ) -> None:
        """Cancels a job."""
        job = data.draw(strategies.sampled_from(self.jobs))
        self.cancelled.add(job)
        self.run_step(
            trace_steps.Cancel(job, through, self.make_name("c")), wait
        )

    @stateful.rule(wait=WAITS, through=ENTRIES)
    def patch(self, wait: float, through: str) -> None:
        """Patches the configuration."""
        name = self.make_name("p")
        body = {"teams": {name: {"cpu_millis": 0}}}
        self.run_step(trace_steps.Patch(name, through, patch=body), wait)

    @stateful.rule(wait=WAITS, who=NODES | EXECUTORS | WORKERS)
    def kill(self, wait: float, who: str) -> None:
        """Kills a process."""
        self.run_step(trace_steps.Kill(who), wait)

    @stateful.rule(wait=WAITS, who=ENTRIES | EXECUTORS | WORKERS)
    def start(self, wait: float, who: str) -> None:
        """Restarts a process."""
        self.run_step(trace_steps.Start(who), wait)

    @stateful.rule(wait=WAITS, who=NODES)
    def shut_down(self, wait: float, who: str) -> None:
        """Shuts an entry instance down."""
        self.run_step(trace_steps.Shutdown(who), wait)

    @stateful.rule(
        wait=WAITS,
        who=NODES | WORKERS,
        for_s=strategies.sampled_from([0.5, 6.0, 15.0, 40.0]),
    )
    def pause(self, wait: float, who: str, for_s: float) -> None:
        """Pauses a process."""
        self.run_step(trace_steps.Pause(who, for_s), wait)

    @stateful.rule(wait=WAITS, who=EXECUTORS)
    def leave(self, wait: float, who: str) -> None:
        """Marks an executor as leaving."""
        self.run_step(trace_steps.Leave(who), wait)

    @stateful.rule(wait=WAITS, one=GROUPS, other=GROUPS | strategies.just(""))
    def cut(self, wait: float, one: str, other: str) -> None:
        """Disconnects two groups, or one group from everything else."""
        others = [other] if other else ["others"]
        if "owner:" in other or one == other:
            others = ["others"]
        self.run_step(trace_steps.Cut([one], others), wait)

    @stateful.rule(wait=WAITS)
    def heal(self, wait: float) -> None:
        """Ends all network partitions."""
        self.run_step(trace_steps.Heal(), wait)

    @stateful.rule(
        wait=WAITS,
        loss=SHARES,
        duplication=SHARES,
        delay=strategies.sampled_from([0.0, 0.5, 3.0]),
        lost=SHARES,
    )
    def set_faults(
        self,
        wait: float,
        loss: float,
        duplication: float,
        delay: float,
        lost: float,
    ) -> None:
        """Sets the fractions of lost and duplicated messages, and delays."""
        step = trace_steps.SetFaults(
            loss=loss,
            duplication=duplication,
            extra_delay_s=delay,
            lost_answers=lost,
        )
        self.run_step(step, wait)

    @stateful.rule(wait=WAITS, down=strategies.booleans())
    def set_store_down(self, wait: float, down: bool) -> None:
        """Starts or ends a store outage."""
        self.run_step(trace_steps.SetFaults(store_down=down), wait)

    @stateful.rule(wait=WAITS, partition=strategies.sampled_from(PARTITIONS))
    def expire_lease(self, wait: float, partition: str) -> None:
        """Expires the store lease of an owner that keeps running."""
        if self.run.find_owner(partition):
            self.run_step(trace_steps.ExpireLease(partition), wait)

    def teardown(self) -> None:
        """Ends all faults and asserts that all work gets done."""
        if self.step_failed or not self.steps:
            return
        for step in self._list_repairs():
            self.run_step(step, 0.0)
        outcome: list[trace_outcomes.Expectation] = [
            trace_outcomes.Finished(job, self._count_tasks(job))
            for job in self.jobs
            if trace_outcomes.describe_result(job, self.run) == "ok"
            and job not in self.cancelled
        ]
        self._record_trace(outcome)
        trace.finish(Machine.last, self.run)
        self.check()

    def _count_tasks(self, job: str) -> int:
        return next(
            step.tasks
            for step in self.steps
            if isinstance(step, trace_steps.Submit) and step.job == job
        )

    def _list_repairs(self) -> list[trace_steps.Step]:
        world = self.run.world
        stopped = [
            n for n, executor in world.executors.items() if not executor.alive
        ]
        stopped += [
            n for n, executor in world.executors.items() if executor.leaving
        ]
        stopped += [n for n, node in world.nodes.items() if not node.alive]
        stopped += sorted(world.unresponsive_workers)
        return [
            trace_steps.Heal(),
            trace_steps.SetFaults(False, 0.0, 0.0, 0.0, 0.0, 0.0),
            *(trace_steps.Start(name) for name in dict.fromkeys(stopped)),
        ]


def explore(seed: int | None, examples: int) -> str:
    """Runs random sequences.

    Args:
        seed: Seed of the sequences; None derives them from the code.
        examples: Number of sequences.

    Returns:
        The error of a sequence that failed; empty if none failed.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=seed is None,
        database=None,
        # `shorten` needs far fewer runs than the shrinking of Hypothesis.
        phases=[hypothesis.Phase.generate],
        deadline=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = type("Machine", (Machine,), {})
    if seed is not None:
        machine = hypothesis.seed(seed)(machine)
    try:
        stateful.run_state_machine_as_test(machine, settings=settings)
    except Exception as error:
        return f"{type(error).__name__}: {error}"
    return ""


def _still_fails(found: trace.Trace, invariants: set[str]) -> bool:
    run = trace.play(found)
    violated = {violation.invariant for violation in run.monitor.violations}
    return bool(violated & invariants if invariants else run.failures)


def shorten(found: trace.Trace) -> trace.Trace:
    """Removes the steps that are not needed for the failure of a trace."""
    run = trace.play(found)
    violated = {violation.invariant for violation in run.monitor.violations}
    for number in reversed(range(len(found.steps))):
        if not violated and isinstance(found.steps[number], trace_steps.Submit):
            continue
        rest = [step for n, step in enumerate(found.steps) if n != number]
        shorter = attrs.evolve(found, steps=rest)
        if _still_fails(shorter, violated):
            found = shorter
    return found


def save_last() -> pathlib.Path:
    """Shortens and saves the last sequence, and returns its path."""
    assert Machine.last is not None
    found = shorten(Machine.last)
    digest = hashlib.sha256(repr(found).encode()).hexdigest()[:8]
    path = FOUND_TRACES / f"{digest}.yaml"
    trace.save(found, path)
    return path


@click.command()
@click.option("--seed", type=int, default=None, help="Default: drawn.")
@click.option("--examples", type=int, default=500, show_default=True)
def main(seed: int | None, examples: int) -> None:
    """Searches for sequences that break an invariant."""
    chosen = random.SystemRandom().randrange(2**32) if seed is None else seed
    print(f"seed {chosen}, {examples} sequences of up to {STEPS} steps")
    failure = explore(chosen, examples)
    if failure:
        print(failure)
        print(f"saved as features/traces/found/{save_last().name}")
        raise SystemExit(1)
    print("every invariant held")


if __name__ == "__main__":
    main()
