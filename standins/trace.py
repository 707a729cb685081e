"""Reads, writes and replays recorded traces.

    python -m standins.trace [-v] features/traces/requests/*.yaml

With `-v`, the events before each violation are printed as well.
"""

import pathlib
import sys
from typing import Any

import attrs
import cattrs
import yaml

from standins import trace_conditions
from standins import trace_outcomes
from standins import trace_run
from standins import trace_steps

MAX_WAIT_S = 60.0


@attrs.frozen
class Trace:
    """A recorded scenario.

    Attributes:
        guards: The failure that the trace guards against.
        steps: What happens, in order.
        seed: Seed of the simulation.
        layout: Instances of the simulation.
        end_s: Time from the end of the steps and loads to the check of the
            outcome, in seconds.
        outcome: What must hold at the end.
    """

    guards: str
    steps: list[trace_steps.Step]
    seed: int = 1
    layout: trace_run.Layout = attrs.field(factory=trace_run.Layout)
    end_s: float = 10.0
    outcome: list[trace_outcomes.Expectation] = attrs.field(factory=list)


def _make_tag(kind: type) -> str:
    text = "".join(f"_{c.lower()}" if c.isupper() else c for c in kind.__name__)
    return text.removeprefix("_")


STEPS = {_make_tag(kind): kind for kind in trace_steps.Step.__subclasses__()}
EXPECTATIONS = {
    _make_tag(kind): kind
    for kind in trace_outcomes.Expectation.__subclasses__()
}


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    plain = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    for base, tag_key, kinds in (
        (trace_steps.Step, "do", STEPS),
        (trace_outcomes.Expectation, "that", EXPECTATIONS),
    ):

        def structure(
            tree: dict[str, Any],
            _: object,
            tag_key: str = tag_key,
            kinds: dict[str, type] = kinds,
        ) -> Any:
            rest = {key: tree[key] for key in tree if key != tag_key}
            return plain.structure(rest, kinds[tree[tag_key]])

        def unstructure(
            value: object, tag_key: str = tag_key
        ) -> dict[str, Any]:
            tree = plain.unstructure(value, type(value))
            return {tag_key: _make_tag(type(value)), **tree}

        for target in (converter, plain):
            target.register_structure_hook_func(
                lambda kind, base=base: kind is base, structure
            )
        converter.register_unstructure_hook_func(
            lambda kind, base=base: kind is base, unstructure
        )
    return converter


_converter = _make_converter()


def load(path: pathlib.Path) -> Trace:
    """Reads a trace from a YAML file."""
    tree = yaml.safe_load(path.read_text(encoding="utf-8"))
    return _converter.structure(tree, Trace)


def save(trace: Trace, path: pathlib.Path) -> None:
    """Writes a trace to a YAML file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = yaml.safe_dump(
        _converter.unstructure(trace), sort_keys=False, width=78
    )
    path.write_text(text, encoding="utf-8")


def play(trace: Trace) -> trace_run.Run:
    """Replays a trace and returns the run with its violations and failures."""
    run = trace_run.make_run(trace.layout, trace.seed)
    try:
        for step in trace.steps:
            play_step(step, run)
    except Exception as error:
        # An entry instance would end here, so the later steps prove nothing.
        run.failures.append(f"{type(error).__name__}: {error}")
        return run
    finish(trace, run)
    return run


def finish(trace: Trace, run: trace_run.Run) -> None:
    """Runs a trace to its end and checks its outcome."""
    try:
        run.world.run(max(0.0, run.loaded_until - run.world.now) + trace.end_s)
    except Exception as error:
        run.failures.append(f"{type(error).__name__}: {error}")
    run.monitor.finish()
    for expectation in trace.outcome:
        failure = trace_outcomes.check(expectation, run)
        if failure:
            run.failures.append(f"at the end: {failure}")


def play_step(step: trace_steps.Step, run: trace_run.Run) -> None:
    """Waits for the time and the condition of a step, and carries it out."""
    world = run.world
    world.run(max(0.0, run.started_at + step.at - world.now))
    if step.after and not _wait(step.after, run):
        run.failures.append(f"condition {step.after!r} did not hold in time")
        return
    try:
        trace_steps.apply(step, run)
    except trace_run.UnknownNameError as error:
        run.failures.append(f"at {step.at}: {error} matches no instance")
    run.monitor.observe()


def _wait(condition: str, run: trace_run.Run) -> bool:
    # The condition is checked after each event, so that the step follows the
    # event that makes it true without delay.
    limit = run.world.now + MAX_WAIT_S
    while run.world.now < limit:
        if trace_conditions.holds(condition, run):
            return True
        if not run.world.step():
            return False
    return False


def list_failures(run: trace_run.Run) -> list[str]:
    """Returns the violations and failures of a run as text."""
    return [*map(str, run.monitor.violations), *run.failures]


def main() -> int:
    """Replays the traces that the command line names; returns the exit code."""
    failed = 0
    for name in sys.argv[1:]:
        if name == "-v":
            continue
        failures = list_failures(play(load(pathlib.Path(name))))
        failed += bool(failures)
        print(f"{'FAILS' if failures else 'holds'} {name}")
        for failure in failures:
            print(
                f"  {failure if '-v' in sys.argv else failure.splitlines()[0]}"
            )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
