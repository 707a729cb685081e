"""Expectations of traces and their checks."""

from __future__ import annotations

import functools

import attrs

from sapphirestall_core import operator_messages
from sapphirestall_core import outcomes
from standins import trace_run

KINDS: dict[type[outcomes.Outcome], str] = {
    outcomes.Answered: "answered",
    outcomes.NotRun: "not_run",
    outcomes.Unknown: "unknown",
}


@attrs.frozen
class Expectation:
    """A statement about a run that must hold."""


@attrs.frozen
class Outcome(Expectation):
    """A request has one of several outcomes.

    Attributes:
        request: Id of the request.
        is_in: Allowed outcomes, of `answered`, `not_run`, `unknown` and `none`.
        code: Expected reason code, if any.
        runs: Expected number of times that executors started it, if any.
    """

    request: str
    is_in: list[str]
    code: str = ""
    runs: int | None = None


@attrs.frozen
class Loaded(Expectation):
    """The requests of a load have one of several outcomes.

    Attributes:
        load: Id of the load.
        is_in: Allowed outcomes; see `Outcome`.
        at_most: Largest number of requests with another outcome.
        sent: Smallest number of requests that were sent.
    """

    load: str
    is_in: list[str]
    at_most: int = 0
    sent: int = 1


@attrs.frozen
class KeyRuns(Expectation):
    """Executors started the requests with a key a number of times in total."""

    key: str
    times: int
    operation: str = "assign"


@attrs.frozen
class Finished(Expectation):
    """A number of tasks of a job are committed as finished."""

    job: str
    at_least: int
    at_most: int = 10**9


@attrs.frozen
class Attempts(Expectation):
    """A number of attempts were started for the tasks of a job."""

    job: str
    at_least: int = 0
    at_most: int = 10**9


@attrs.frozen
class Running(Expectation):
    """A number of tasks of a job are running."""

    job: str
    at_least: int = 0
    at_most: int = 10**9


@attrs.frozen
class Result(Expectation):
    """The result of an operator's command is `ok`, a reason code or `none`.

    Attributes:
        call: Name of the command in the trace.
        is_in: Allowed results.
    """

    call: str
    is_in: list[str]


@attrs.frozen
class Accepted(Expectation):
    """A number of several operators' commands were accepted."""

    calls: list[str]
    times: int


@attrs.frozen
class Version(Expectation):
    """A configuration version is in force at live instances.

    Attributes:
        version: The version.
        who: Entry instances; all of them if empty.
    """

    version: int
    who: list[str] = attrs.field(factory=list)


@attrs.frozen
class Owner(Expectation):
    """The owner of a partition in the store is none of `not_in`."""

    partition: str
    not_in: list[str] = attrs.field(factory=lambda: [""])


@attrs.frozen
class Ended(Expectation):
    """An entry instance has ended, or has not."""

    who: str
    ended: bool = True


@attrs.frozen
class Count(Expectation):
    """A counter of the simulation, such as `store StorePut`, has a value."""

    name: str
    at_least: int = 0
    at_most: int = 10**9


@functools.singledispatch
def check(expectation: Expectation, run: trace_run.Run) -> str:
    """Returns why an expectation does not hold; empty if it holds."""
    raise NotImplementedError(type(expectation).__name__)


def _check_range(name: str, value: int, at_least: int, at_most: int) -> str:
    if at_least <= value <= at_most:
        return ""
    limit = f"{at_least} to {at_most}" if at_most < 10**9 else f">= {at_least}"
    return f"{name} is {value}, expected {limit}"


def _find_outcome(request_id: str, run: trace_run.Run) -> tuple[str, str]:
    answers = run.world.answers.get(request_id, [])
    outcome = answers[0] if answers else None
    kind = KINDS[type(outcome)] if outcome else "none"
    return kind, getattr(outcome, "code", "")


@check.register
def _(expectation: Loaded, run: trace_run.Run) -> str:
    prefix = f"{expectation.load}-"
    sent = [name for name in run.monitor.sent if name.startswith(prefix)]
    found = {name: _find_outcome(name, run) for name in sent}
    wrong = {n: k for n, k in found.items() if k[0] not in expectation.is_in}
    if len(sent) < expectation.sent:
        return f"only {len(sent)} requests were sent"
    if len(wrong) > expectation.at_most:
        return (
            f"{len(wrong)} of {len(sent)} have another outcome: {wrong!s:.300}"
        )
    return ""


@check.register
def _(expectation: Outcome, run: trace_run.Run) -> str:
    kind, code = _find_outcome(expectation.request, run)
    runs = run.monitor.count_runs(expectation.request)
    if kind not in expectation.is_in:
        return f"{expectation.request} is {kind} {code}"
    if expectation.code and code != expectation.code:
        return f"{expectation.request} has code {code}"
    if expectation.runs is not None and runs != expectation.runs:
        return f"{expectation.request} ran {runs} times"
    return ""


@check.register
def _(expectation: KeyRuns, run: trace_run.Run) -> str:
    runs = run.monitor.count_key_runs(expectation.key, expectation.operation)
    name = f"runs of key {expectation.key}"
    return _check_range(name, runs, expectation.times, expectation.times)


@check.register
def _(expectation: Finished, run: trace_run.Run) -> str:
    done = len(run.list_finished(expectation.job))
    name = f"finished tasks of {expectation.job}"
    return _check_range(name, done, expectation.at_least, expectation.at_most)


@check.register
def _(expectation: Attempts, run: trace_run.Run) -> str:
    started = sum(
        len(starts)
        for task, starts in run.monitor.starts.items()
        if task.job_id == expectation.job
    )
    name = f"attempts of {expectation.job}"
    return _check_range(
        name, started, expectation.at_least, expectation.at_most
    )


@check.register
def _(expectation: Running, run: trace_run.Run) -> str:
    running = sum(
        run.monitor.is_still_running(starts[-1])
        for task, starts in run.monitor.starts.items()
        if task.job_id == expectation.job
    )
    name = f"running tasks of {expectation.job}"
    return _check_range(
        name, running, expectation.at_least, expectation.at_most
    )


def describe_result(call: str, run: trace_run.Run) -> str:
    """Returns the result of an operator's command: `ok`, a code or `none`."""
    result = run.world.results.get(run.calls.get(call, ""))
    if result is None:
        return "none"
    if isinstance(result, operator_messages.Failure):
        return result.code
    return "ok"


@check.register
def _(expectation: Result, run: trace_run.Run) -> str:
    found = describe_result(expectation.call, run)
    return "" if found in expectation.is_in else f"{expectation.call}: {found}"


@check.register
def _(expectation: Accepted, run: trace_run.Run) -> str:
    found = [describe_result(call, run) for call in expectation.calls]
    times = expectation.times
    return _check_range(f"accepted of {found}", found.count("ok"), times, times)


@check.register
def _(expectation: Version, run: trace_run.Run) -> str:
    versions = {
        node_id: node.state.configuration.document.version
        for node_id, node in run.world.nodes.items()
        if node.alive and (not expectation.who or node_id in expectation.who)
    }
    wrong = {n: v for n, v in versions.items() if v != expectation.version}
    return f"versions are {wrong}" if wrong else ""


@check.register
def _(expectation: Owner, run: trace_run.Run) -> str:
    owner = run.find_owner(expectation.partition)
    if owner in expectation.not_in:
        return f"owner of {expectation.partition} is {owner!r}"
    return ""


@check.register
def _(expectation: Ended, run: trace_run.Run) -> str:
    alive = run.world.nodes[expectation.who].alive
    if alive is expectation.ended:
        return f"{expectation.who} is alive: {alive}"
    return ""


@check.register
def _(expectation: Count, run: trace_run.Run) -> str:
    value = run.world.counts[expectation.name]
    low, high = expectation.at_least, expectation.at_most
    return _check_range(f"count {expectation.name!r}", value, low, high)
