"""Recorded traces: their file format and their player.

    python -m standins.trace features/traces/requests/*.yaml

With `-v` the events before each violation are printed as well.
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
        guards: The failure that it guards against.
        end_s: Time from the last step and load to the check of the outcome.
    """

    guards: str
    steps: list[trace_steps.Step]
    seed: int = 1
    layout: trace_run.Layout = attrs.field(factory=trace_run.Layout)
    end_s: float = 10.0
    outcome: list[trace_outcomes.Expectation] = attrs.field(factory=list)


def _name(kind: type) -> str:
    text = "".join(f"_{c.lower()}" if c.isupper() else c for c in kind.__name__)
    return text.removeprefix("_")


STEPS = {_name(kind): kind for kind in trace_steps.Step.__subclasses__()}
EXPECTATIONS = {
    _name(kind): kind for kind in trace_outcomes.Expectation.__subclasses__()
}


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    plain = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    for base, mark, kinds in (
        (trace_steps.Step, "do", STEPS),
        (trace_outcomes.Expectation, "that", EXPECTATIONS),
    ):

        def structure(
            tree: dict[str, Any],
            _: object,
            mark: str = mark,
            kinds: dict[str, type] = kinds,
        ) -> Any:
            rest = {key: tree[key] for key in tree if key != mark}
            return plain.structure(rest, kinds[tree[mark]])

        def unstructure(value: object, mark: str = mark) -> dict[str, Any]:
            tree = plain.unstructure(value, type(value))
            return {mark: _name(type(value)), **tree}

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
    """Plays a trace; the run holds violations and failures."""
    run = trace_run.make_run(trace.layout, trace.seed)
    try:
        for step in trace.steps:
            play_step(step, run)
    except Exception as error:
        # A process would end here; the rest of the trace says nothing.
        run.failures.append(f"{type(error).__name__}: {error}")
        return run
    finish(trace, run)
    return run


def finish(trace: Trace, run: trace_run.Run) -> None:
    """Waits for the end of a trace and checks its outcome."""
    try:
        run.world.run(max(0.0, run.loaded_until - run.world.now) + trace.end_s)
    except Exception as error:
        run.failures.append(f"{type(error).__name__}: {error}")
    run.monitor.finish()
    for expectation in trace.outcome:
        failure = trace_outcomes.check(expectation, run)
        if failure:
            run.failures.append(f"in the end: {failure}")


def play_step(step: trace_steps.Step, run: trace_run.Run) -> None:
    """Waits for the time and the condition of a step and carries it out."""
    world = run.world
    world.run(max(0.0, run.started_at + step.at - world.now))
    if step.after and not _wait(step.after, run):
        run.failures.append(f"{step.after!r} did not happen")
        return
    try:
        trace_steps.apply(step, run)
    except trace_run.UnknownNameError as error:
        run.failures.append(f"at {step.at}: nothing is {error}")
    run.monitor.observe()


def _wait(condition: str, run: trace_run.Run) -> bool:
    # The step follows the very event that makes the condition true.
    limit = run.world.now + MAX_WAIT_S
    while run.world.now < limit:
        if trace_conditions.holds(condition, run):
            return True
        if not run.world.step():
            return False
    return False


def list_faults(run: trace_run.Run) -> list[str]:
    """Returns all violations and failures of a run."""
    return [*map(str, run.monitor.violations), *run.failures]


def main() -> int:
    """Plays the traces named on the command line."""
    wrong = 0
    for name in sys.argv[1:]:
        if name == "-v":
            continue
        faults = list_faults(play(load(pathlib.Path(name))))
        wrong += bool(faults)
        print(f"{'FAILS' if faults else 'holds'} {name}")
        for fault in faults:
            print(f"  {fault if '-v' in sys.argv else fault.splitlines()[0]}")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
