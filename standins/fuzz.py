"""Random sequences of work and faults, checked after each step.

    python -m standins.fuzz [--seed N] [--examples N]

A sequence that breaks an invariant, or after which work is left undone, is
shortened and saved as a trace under features/traces/found/.
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

FOUND = pathlib.Path(__file__).parents[1] / "features" / "traces" / "found"
DATA_CENTRES = ["sefrou", "imouzzer"]
PARTITIONS = [f"{name}-rack-0" for name in DATA_CENTRES]
LAYOUT = trace_run.Layout(DATA_CENTRES, trusting=True)
RECOVERY_S = 240.0
STEPS = 18
# In CI the sequences follow from the code alone; `make fuzz` draws a seed.
CI_EXAMPLES = 30

WAITS = strategies.sampled_from([0.0, 0.002, 0.02, 0.3, 1.0, 3.0, 8.0, 25.0])
SHARES = strategies.sampled_from([0.0, 0.2, 0.5])
KEYS = strategies.sampled_from(["", "k1", "k2", "k3"])


def _name(kind: str, count: int) -> strategies.SearchStrategy[str]:
    return strategies.sampled_from(
        [f"{dc}-{kind}-{n}" for dc in DATA_CENTRES for n in range(count)]
    )


ENTRIES = _name("entry", LAYOUT.entries)
EXECUTORS = _name("executor", LAYOUT.executors)
WORKERS = _name("worker", LAYOUT.workers)
OWNERS = strategies.sampled_from([f"owner:{name}" for name in PARTITIONS])
NODES = ENTRIES | OWNERS
GROUPS = strategies.sampled_from([*DATA_CENTRES, "store"]) | NODES | WORKERS


class Machine(stateful.RuleBasedStateMachine):
    """Does work and sets faults in any order."""

    last: trace.Trace | None = None

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[trace_steps.Step] = []
        self.jobs: list[str] = []
        self.cancelled: set[str] = set()
        self.at = 0.0
        self.names = 0
        self.broken = False

    @stateful.initialize(seed=strategies.integers(0, 99))
    def build(self, seed: int) -> None:
        """Builds the world."""
        self.seed = seed
        self.run = trace_run.make_run(LAYOUT, seed)

    def do(self, step: trace_steps.Step, wait_s: float) -> None:
        """Carries out a step after a while and records it."""
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
        self._remember([])
        self.broken = True
        trace.play_step(step, self.run)
        self.check()
        self.broken = False

    def check(self) -> None:
        """Fails when an invariant was broken."""
        faults = trace.list_faults(self.run)
        assert not faults, "\n".join(faults)

    def _remember(self, outcome: list[trace_outcomes.Expectation]) -> None:
        Machine.last = trace.Trace(
            "a sequence that a random run found",
            list(self.steps),
            self.seed,
            LAYOUT,
            RECOVERY_S,
            outcome,
        )

    def name(self, kind: str) -> str:
        """Returns a name that was not used before."""
        self.names += 1
        return f"{kind}{self.names}"

    @stateful.rule(wait=WAITS, through=ENTRIES, key=KEYS)
    def request(self, wait: float, through: str, key: str) -> None:
        """Sends a request; one with a key is not repeatable."""
        operation = "assign" if key else trace_run.REPEATABLE
        step = trace_steps.Request(self.name("r"), through, operation, key)
        self.do(step, wait)

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
        job = self.name("j")
        self.jobs.append(job)
        step = trace_steps.Submit(job, through, tasks, run_s, urgency=urgency)
        self.do(step, wait)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(wait=WAITS, through=ENTRIES, data=strategies.data())
    def cancel(
        self, wait: float, through: str, data: strategies.DataObject
    ) -> None:
        """Cancels a job."""
        job = data.draw(strategies.sampled_from(self.jobs))
        self.cancelled.add(job)
        self.do(trace_steps.Cancel(job, through, self.name("c")), wait)

    @stateful.rule(wait=WAITS, through=ENTRIES)
    def patch(self, wait: float, through: str) -> None:
        """Patches the configuration."""
        name = self.name("p")
        body = {"teams": {name: {"cpu_millis": 0}}}
        self.do(trace_steps.Patch(name, through, patch=body), wait)

    @stateful.rule(wait=WAITS, who=NODES | EXECUTORS | WORKERS)
    def kill(self, wait: float, who: str) -> None:
        """Ends a process."""
        self.do(trace_steps.Kill(who), wait)

    @stateful.rule(wait=WAITS, who=ENTRIES | EXECUTORS | WORKERS)
    def start(self, wait: float, who: str) -> None:
        """Starts a process again."""
        self.do(trace_steps.Start(who), wait)

    @stateful.rule(wait=WAITS, who=NODES)
    def shut_down(self, wait: float, who: str) -> None:
        """Shuts an entry instance down."""
        self.do(trace_steps.Shutdown(who), wait)

    @stateful.rule(
        wait=WAITS,
        who=NODES | WORKERS,
        for_s=strategies.sampled_from([0.5, 6.0, 15.0, 40.0]),
    )
    def pause(self, wait: float, who: str, for_s: float) -> None:
        """Freezes a process."""
        self.do(trace_steps.Pause(who, for_s), wait)

    @stateful.rule(wait=WAITS, who=EXECUTORS)
    def leave(self, wait: float, who: str) -> None:
        """Marks an executor as leaving."""
        self.do(trace_steps.Leave(who), wait)

    @stateful.rule(wait=WAITS, one=GROUPS, other=GROUPS | strategies.just(""))
    def cut(self, wait: float, one: str, other: str) -> None:
        """Cuts two groups off from each other, or one from everything."""
        others = [other] if other else ["others"]
        if "owner:" in other or one == other:
            others = ["others"]
        self.do(trace_steps.Cut([one], others), wait)

    @stateful.rule(wait=WAITS)
    def heal(self, wait: float) -> None:
        """Ends all cuts."""
        self.do(trace_steps.Heal(), wait)

    @stateful.rule(
        wait=WAITS,
        loss=SHARES,
        duplication=SHARES,
        delay=strategies.sampled_from([0.0, 0.5, 3.0]),
        lost=SHARES,
    )
    def disturb(
        self,
        wait: float,
        loss: float,
        duplication: float,
        delay: float,
        lost: float,
    ) -> None:
        """Sets losses, copies and delays."""
        step = trace_steps.SetFaults(
            loss=loss,
            duplication=duplication,
            extra_delay_s=delay,
            lost_answers=lost,
        )
        self.do(step, wait)

    @stateful.rule(wait=WAITS, down=strategies.booleans())
    def break_store(self, wait: float, down: bool) -> None:
        """Starts or ends a store outage."""
        self.do(trace_steps.SetFaults(store_down=down), wait)

    @stateful.rule(wait=WAITS, partition=strategies.sampled_from(PARTITIONS))
    def expire_lease(self, wait: float, partition: str) -> None:
        """Ends the store lease of an owner that lives on."""
        if self.run.find_owner(partition):
            self.do(trace_steps.ExpireLease(partition), wait)

    def teardown(self) -> None:
        """Ends all faults; then all work must be done."""
        if self.broken or not self.steps:
            return
        for step in self._list_repairs():
            self.do(step, 0.0)
        outcome: list[trace_outcomes.Expectation] = [
            trace_outcomes.Finished(job, self._count_tasks(job))
            for job in self.jobs
            if trace_outcomes.describe_result(job, self.run) == "ok"
            and job not in self.cancelled
        ]
        self._remember(outcome)
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
        gone = [
            n for n, executor in world.executors.items() if not executor.alive
        ]
        gone += [
            n for n, executor in world.executors.items() if executor.leaving
        ]
        gone += [n for n, node in world.nodes.items() if not node.alive]
        gone += sorted(world.unresponsive_workers)
        return [
            trace_steps.Heal(),
            trace_steps.SetFaults(False, 0.0, 0.0, 0.0, 0.0, 0.0),
            *(trace_steps.Start(name) for name in dict.fromkeys(gone)),
        ]


def explore(seed: int | None, examples: int) -> str:
    """Runs sequences; returns what the shortest failing one showed.

    Args:
        seed: Seed of the sequences; without one they are always the same.
        examples: Number of sequences.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=seed is None,
        database=None,
        # Shortening by steps of the trace takes far fewer runs.
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


def _fails_alike(found: trace.Trace, invariants: set[str]) -> bool:
    run = trace.play(found)
    shown = {violation.invariant for violation in run.monitor.violations}
    return bool(shown & invariants if invariants else run.failures)


def shorten(found: trace.Trace) -> trace.Trace:
    """Leaves out every step without which the trace still fails alike."""
    run = trace.play(found)
    shown = {violation.invariant for violation in run.monitor.violations}
    for number in reversed(range(len(found.steps))):
        if not shown and isinstance(found.steps[number], trace_steps.Submit):
            continue
        rest = [step for n, step in enumerate(found.steps) if n != number]
        shorter = attrs.evolve(found, steps=rest)
        if _fails_alike(shorter, shown):
            found = shorter
    return found


def save_last() -> pathlib.Path:
    """Saves the last sequence, shortened, and returns its path."""
    assert Machine.last is not None
    found = shorten(Machine.last)
    digest = hashlib.sha256(repr(found).encode()).hexdigest()[:8]
    path = FOUND / f"{digest}.yaml"
    trace.save(found, path)
    return path


@click.command()
@click.option("--seed", type=int, default=None, help="Default: drawn.")
@click.option("--examples", type=int, default=500, show_default=True)
def main(seed: int | None, examples: int) -> None:
    """Searches for sequences that break an invariant."""
    chosen = random.SystemRandom().randrange(2**32) if seed is None else seed
    print(f"seed {chosen}, {examples} sequences of up to {STEPS} steps")
    fault = explore(chosen, examples)
    if fault:
        print(fault)
        print(f"saved as features/traces/found/{save_last().name}")
        raise SystemExit(1)
    print("every invariant held")


if __name__ == "__main__":
    main()
