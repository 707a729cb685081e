"""Steps for operators.feature."""

import asyncio
import copy
import json

import attrs
import behave

from sapphirestall_core import instance
from sapphirestall_core import operator_messages
from sapphirestall_core import state
from sapphirestall_entry import composition
from sapphirestall_entry import operators
from sapphirestall_entry import settings
from standins import asgi

JOB = {
    "job_id": "tally",
    "data_centre": "sefrou",
    "team": "press",
    "kind": "tally",
    "task_count": 4,
    "cpu_millis": 1000,
    "memory_mb": 500,
    "run_s": 0.5,
}
PATCH = {"patch_id": "p", "base_version": 0, "patch": {}}


def make_settings(**options):
    return settings.Settings(
        instance_id="entry-1",
        data_centre="sefrou",
        callers_listen="127.0.0.1:8001",
        operators_listen="127.0.0.1:8002",
        peers_listen="127.0.0.1:8003",
        store_address="127.0.0.1:8004",
        **options,
    )


def nest(depth):
    return b'{"a":' * depth + b"1" + b"}" * depth


def make_body(name):
    def dump(tree):
        return json.dumps(tree).encode()

    without_team = {k: v for k, v in JOB.items() if k != "team"}
    return {
        "nothing": b"",
        "truncated JSON": dump(JOB)[:-5],
        "a list": b"[1, 2]",
        "NaN as run time": dump(JOB | {"run_s": float("nan")}),
        "text as a number": dump(JOB | {"task_count": "4"}),
        "a missing field": dump(without_team),
        "an unknown field": dump(JOB | {"colour": "red"}),
        "no tasks": dump(JOB | {"task_count": 0}),
        "a job id with /": dump(JOB | {"job_id": "a/b"}),
        "a huge body": dump(JOB | {"kind": "x" * 60_000}),
        "deep nesting": nest(65),
        "deeper nesting": nest(8_000),
        "no patch id": dump(PATCH | {"patch_id": ""}),
        "binary": b"\xff\xfe\x00",
        "a valid job": dump(JOB),
        "a valid patch": dump(PATCH),
    }[name]


def copy_state(context):
    instance_state = context.state
    return copy.deepcopy(
        (
            attrs.asdict(instance_state.configuration),
            instance_state.peers,
            instance_state.tasks.jobs,
        )
    )


@behave.given("the operators' application of one instance")
def step(context):
    context.shell = composition.build(
        make_settings(max_body_bytes=50_000), None, None
    )
    context.state = context.shell.core
    context.before = copy_state(context)


@behave.given("the operators' application of an instance that never answers")
def step(context):
    context.shell = composition.build(make_settings(), None, None)
    context.shell.feed = lambda event: None
    limit_s, operators.CALL_TIMEOUT_S = operators.CALL_TIMEOUT_S, 0.01
    context.add_cleanup(setattr, operators, "CALL_TIMEOUT_S", limit_s)


@behave.when("an operator sends {method:w} {path} with {body}")
def step(context, method, path, body):
    app = context.shell.operators.build_app()
    context.reply = asyncio.run(
        asgi.call(app, method, path, make_body(body), 1000)
    )


@behave.then("the operator gets problem {status:d} with code {code:w}")
def step(context, status, code):
    reply = context.reply
    assert reply.status == status, reply
    kind = reply.headers["content-type"]
    assert kind == "application/problem+json", reply
    problem = reply.decode()
    assert problem["code"] == code, problem
    assert problem["outcome"] == "refused", problem
    assert problem["detail"], problem
    context.code = code


@behave.then("the refusal was counted and no state changed")
def step(context):
    labels = {"part": "operators", "code": context.code}
    assert context.shell.counters.refusals.get(labels) == 1
    assert copy_state(context) == context.before
    assert not context.shell.operators.waiting_calls


@behave.then('the operator gets status {status:d} and the field "{field}"')
def step(context, status, field):
    assert context.reply.status == status, context.reply
    assert field in context.reply.decode(), context.reply


@behave.then("the operator gets outcome {outcome:w} with status {status:d}")
def step(context, outcome, status):
    assert context.reply.status == status, context.reply
    assert context.reply.decode()["outcome"] == outcome, context.reply
    assert not context.shell.operators.waiting_calls


@behave.when("the core gets a command of an unknown type")
def step(context):
    event = operator_messages.OperatorCalled("c", operator_messages.Command())
    context.effects = instance.handle(event, context.state, 1.0)


@behave.then('the command is refused as "{code}"')
def step(context, code):
    answer = context.effects[-1]
    assert isinstance(answer, operator_messages.AnswerOperator)
    assert answer.result.code == code, answer


@behave.given(
    'a journal with {count:d} decisions about "{subject}" and long texts'
)
def step(context, count, subject):
    identity = state.Identity(
        "entry-1", "i", "sefrou", "a:1", wall_clock_offset_s=1000.0
    )
    context.state = instance.build(identity)
    for number in range(count):
        context.state.journal.record(
            float(number), subject, f"step {number}", "x" * 5000
        )


@behave.then('an explanation of "{subject}" contains {count:d} decisions')
def step(context, subject, count):
    event = operator_messages.OperatorCalled(
        "c", operator_messages.Explain(subject)
    )
    (effect,) = instance.handle(event, context.state, 1.0)
    context.decisions = effect.result.decisions
    assert len(context.decisions) == count


@behave.then('its decisions are in order, of "{name}" and at wall-clock time')
def step(context, name):
    times = [decision.at for decision in context.decisions]
    assert times == sorted(times)
    assert times[-1] == 9999.0 + 1000.0
    assert {decision.instance_id for decision in context.decisions} == {name}
    assert max(len(d.reason) for d in context.decisions) <= 256
