"""Steps of traces: requests, commands and faults, and when they happen."""

from __future__ import annotations

import functools
from typing import Any

import attrs

from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import request_messages
from standins import trace_outcomes
from standins import trace_run
from standins import world as world_module


@attrs.frozen
class Step:
    """A step of a trace.

    Attributes:
        at: Time of the step, in seconds after the deployment was ready.
        after: Condition that the step waits for from `at` on; see
            `trace_conditions.holds`.
    """

    at: float = attrs.field(default=0.0, kw_only=True)
    after: str = attrs.field(default="", kw_only=True)


@attrs.frozen
class Request(Step):
    """A caller sends a request through an entry instance."""

    id: str
    through: str
    operation: str = trace_run.REPEATABLE
    key: str = ""
    body: str = ""
    deadline_s: float = 5.0


@attrs.frozen
class Load(Step):
    """Callers send requests at a rate, each through the next ready instance.

    Attributes:
        id: Prefix of the ids and keys.
        rate: Requests in a second.
        for_s: Duration, in seconds.
        through: Entry instances; all of them if empty.
        operation: Operation of the requests.
        repeats: Number of times that each request is sent again with the same
            key, each time a second later and through the next instance.
    """

    id: str
    rate: float
    for_s: float
    through: list[str] = attrs.field(factory=list)
    operation: str = trace_run.REPEATABLE
    repeats: int = 0


@attrs.frozen
class Submit(Step):
    """An operator submits a job."""

    job: str
    through: str
    tasks: int = 1
    run_s: float = 10.0
    cpu_millis: int = 1000
    memory_mb: int = 100
    urgency: int = 0
    checkpointable: bool = True
    kind: str = "tally"
    team: str = "press"


@attrs.frozen
class Cancel(Step):
    """An operator cancels a job."""

    job: str
    through: str
    id: str = "cancel"


@attrs.frozen
class Patch(Step):
    """An operator sends a patch of the configuration.

    Attributes:
        id: Id of the patch.
        through: Entry instance that gets it.
        base: Version that it is based on; None for the version in force at the
            entry instance.
        patch: The patch.
    """

    id: str
    through: str
    base: int | None = None
    patch: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Kill(Step):
    """An entry instance, executor or worker ends without a shutdown."""

    who: str


@attrs.frozen
class Start(Step):
    """An entry instance, executor or worker starts again with empty state."""

    who: str


@attrs.frozen
class Shutdown(Step):
    """An entry instance is asked to drain and exit."""

    who: str


@attrs.frozen
class Pause(Step):
    """An entry instance or worker is paused for `for_s` seconds."""

    who: str
    for_s: float


@attrs.frozen
class Leave(Step):
    """An executor reports from now on that it is leaving."""

    who: str


@attrs.frozen
class Cut(Step):
    """Two groups are disconnected from each other.

    Attributes:
        one: Ids, names or data centres of the first group.
        other: Those of the second group; `others` denotes everything else.
    """

    one: list[str]
    other: list[str] = attrs.field(factory=lambda: ["others"])


@attrs.frozen
class Heal(Step):
    """All network partitions end, or those of some instances."""

    who: list[str] = attrs.field(factory=list)


@attrs.frozen
class SetFaults(Step):
    """Sets faults of the network and the store; None leaves one unchanged.

    See `world.Faults`.
    """

    store_down: bool | None = None
    loss: float | None = None
    duplication: float | None = None
    extra_delay_s: float | None = None
    lost_answers: float | None = None
    slow_store_s: float | None = None


@attrs.frozen
class SetExecutor(Step):
    """Sets how an executor behaves; None leaves a setting unchanged.

    See `world.Executor`.
    """

    who: str
    work_s: float | None = None
    slots: int | None = None
    fault: str | None = None


@attrs.frozen
class ExpireLease(Step):
    """The store expires the lease of an owner whose process runs on."""

    partition: str


@attrs.frozen
class Expect(Step):
    """An expectation is checked at this step."""

    that: trace_outcomes.Expectation


@functools.singledispatch
def apply(step: Step, run: trace_run.Run) -> None:
    """Carries out a step."""
    raise NotImplementedError(type(step).__name__)


@apply.register
def _(step: Request, run: trace_run.Run) -> None:
    node = run.world.nodes[run.resolve(step.through)]
    if not node.alive:
        return
    body = (step.body or f"body of {step.key or step.id}").encode()
    arrived = request_messages.RequestArrived(
        step.id,
        trace_run.SERVICE,
        step.operation,
        step.key,
        run.world.now + step.deadline_s,
        body,
    )
    repeatable = step.operation == trace_run.REPEATABLE
    run.monitor.record_request(arrived, repeatable, node)
    run.world.deliver(node, arrived)


@apply.register
def _(step: Load, run: trace_run.Run) -> None:
    end = run.world.now + step.for_s
    run.loaded_until = max(run.loaded_until, end + step.repeats)
    for number in range(int(step.rate * step.for_s)):
        for turn in range(1 + step.repeats):
            send = functools.partial(_send_load, step, number, turn, run)
            run.world.schedule(number / step.rate + turn, send)


def _send_load(step: Load, number: int, turn: int, run: trace_run.Run) -> None:
    names = set(run.expand(step.through) or run.world.nodes)
    live = [
        n for n in run.world.nodes if n in names and run.accepts_requests(n)
    ]
    if not live:
        return
    request = Request(
        f"{step.id}-{number}" + (f"-{turn}" if turn else ""),
        live[(number + turn) % len(live)],
        step.operation,
        key=f"{step.id}-{number}",
    )
    apply(request, run)


@apply.register
def _(step: Submit, run: trace_run.Run) -> None:
    through = run.resolve(step.through)
    command = operator_messages.SubmitJob(
        job_id=step.job,
        data_centre=run.world.listings[through].data_centre,
        team=step.team,
        kind=step.kind,
        task_count=step.tasks,
        cpu_millis=step.cpu_millis,
        memory_mb=step.memory_mb,
        run_s=step.run_s,
        urgency=step.urgency,
        checkpointable=step.checkpointable,
    )
    _send_command(run, step.job, through, command)


@apply.register
def _(step: Cancel, run: trace_run.Run) -> None:
    through = run.resolve(step.through)
    data_centre = run.world.listings[through].data_centre
    command = operator_messages.CancelJob(step.job, data_centre)
    _send_command(run, step.id, through, command)


@apply.register
def _(step: Patch, run: trace_run.Run) -> None:
    through = run.resolve(step.through)
    base = step.base
    if base is None:
        state = run.world.nodes[through].state
        base = state.configuration.document.version
    command = operator_messages.PatchConfiguration(step.id, base, step.patch)
    _send_command(run, step.id, through, command)


def _send_command(
    run: trace_run.Run,
    name: str,
    through: str,
    command: operator_messages.Command,
) -> None:
    if run.world.nodes[through].alive:
        run.calls[name] = run.world.send_operator_command(through, command)


@apply.register
def _(step: Kill, run: trace_run.Run) -> None:
    who, world = run.resolve(step.who), run.world
    if who in world.nodes:
        world.kill(who)
    elif who in world.executors:
        world.executors[who].alive = False
    else:
        world.unresponsive_workers.add(who)
        world.workers[who].tasks.clear()


@apply.register
def _(step: Start, run: trace_run.Run) -> None:
    who, world = run.resolve(step.who), run.world
    if who in world.nodes:
        world.kill(who)
        world.start_entry(who)
    elif who in world.executors:
        world.executors[who].alive = True
        world.executors[who].leaving = False
        world.listings[who] = attrs.evolve(
            world.listings[who], incarnation=f"{who}-{next(world.sequence)}"
        )
    else:
        world.restart_worker(who)
        world.unresponsive_workers.discard(who)


@apply.register
def _(step: Shutdown, run: trace_run.Run) -> None:
    node = run.world.nodes[run.resolve(step.who)]
    run.world.deliver(node, messages.ShutdownRequested())


@apply.register
def _(step: Pause, run: trace_run.Run) -> None:
    who, world = run.resolve(step.who), run.world
    if who in world.nodes:
        world.pause(who, step.for_s)
        return
    world.unresponsive_workers.add(who)
    world.schedule(step.for_s, lambda: world.unresponsive_workers.discard(who))


@apply.register
def _(step: Leave, run: trace_run.Run) -> None:
    run.world.executors[run.resolve(step.who)].leaving = True


@apply.register
def _(step: Cut, run: trace_run.Run) -> None:
    one = run.expand(step.one)
    if step.other == ["others"]:
        others = [name for name in run.list_everything() if name not in one]
    else:
        others = run.expand(step.other)
    run.world.disconnect(one, others)


@apply.register
def _(step: Heal, run: trace_run.Run) -> None:
    pairs, who = run.world.faults.disconnected, set(run.expand(step.who))
    ended = {pair for pair in pairs if not who or pair & who}
    pairs -= ended


@apply.register
def _(step: SetFaults, run: trace_run.Run) -> None:
    _set_fields(step, run.world.faults)


@apply.register
def _(step: SetExecutor, run: trace_run.Run) -> None:
    _set_fields(step, run.world.executors[run.resolve(step.who)])


def _set_fields(
    step: Step, target: world_module.Faults | world_module.Executor
) -> None:
    for name, value in attrs.asdict(step).items():
        if value is not None and name not in ("at", "after", "who"):
            setattr(target, name, value)


@apply.register
def _(step: ExpireLease, run: trace_run.Run) -> None:
    data_centre = step.partition.rsplit("-rack-", 1)[0]
    item = run.world.store.items.get(f"owners/{data_centre}/{step.partition}")
    lease = run.world.store.leases.get(str(item.lease_id)) if item else None
    if lease is not None:
        lease.ends_at = run.world.now
        run.world.store.expire_leases(run.world.now)


@apply.register
def _(step: Expect, run: trace_run.Run) -> None:
    failure = trace_outcomes.check(step.that, run)
    if failure:
        run.failures.append(f"at {step.at}: {failure}")
