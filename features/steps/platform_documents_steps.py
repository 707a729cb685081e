"""Steps for platform_documents.feature."""

import asyncio
import base64
import json
import time

import behave
import cattrs
from starlette import requests

from sapphirestall_core import errors
from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import worker_messages
from sapphirestall_platform import documents
from sapphirestall_platform import front
from sapphirestall_platform import settings
from sapphirestall_platform import store
from sapphirestall_platform import workers

SETTINGS = {
    "node": "edge-sefrou-1",
    "zone": "sefrou",
    "zones.sefrou": "fes-meknes",
    "zones.imouzzer": "fes-meknes",
    "zones.el-hajeb": "fes-meknes",
    "listen.front": "127.0.0.1:8161",
    "listen.ready": "127.0.0.1:8167",
    "platform.address": "127.0.0.1:8169",
    "bounds.hold_max_ms": "6000",
    "bounds.stop_ms": "400",
    "bounds.status_s": "120",
    "limits.cpu_share": "0.43",
    "limits.cores": "2",
}
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:8080",
    "zone": "sefrou",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768},
    "labels": ["a", "r1-3"],
    "born": 5,
}
TARGET = worker_messages.Target("w-1", 5, "127.0.0.1:8080")
POLL = worker_messages.HoldLease(TARGET, "sefrou", 1, 0, None, 0.0, 1)


def write_settings(values):
    return "\n".join(f"{name}={value}" for name, value in values.items())


@behave.given('the platform\'s settings with the extra line "{line}"')
def step(context, line):
    context.settings_text = write_settings(SETTINGS) + "\n" + line


@behave.given('the platform\'s settings with "{name}" set to "{value}"')
def step(context, name, value):
    context.settings_text = write_settings({**SETTINGS, name: value})


@behave.given('the platform\'s settings with "{name}" set to ""')
def step(context, name):
    context.settings_text = write_settings({**SETTINGS, name: ""})


@behave.then(
    'the settings contain data centre "{name}", {processors:g} processors and '
    "a lease of {seconds:g} s"
)
def step(context, name, processors, seconds):
    loaded = settings.parse(context.settings_text)
    assert loaded.data_centre == name
    assert loaded.processors == processors
    assert loaded.limits.worker_lease_s == seconds


@behave.given("a worker's entry in the platform's list")
def step(context):
    context.entry = documents.decode_worker("w-1", ENTRY)


@behave.then('the worker belongs to partition "{name}"')
def step(context, name):
    assert context.entry.partition == name


@behave.then('the settings are refused naming "{name}"')
def step(context, name):
    try:
        settings.parse(context.settings_text)
    except errors.SettingsError as error:
        assert name in error.detail, error
    else:
        raise AssertionError("accepted")


@behave.given("a worker's entry")
def step(context):
    context.entry = dict(ENTRY)


@behave.given('a worker\'s entry with "{field}" set to {value}')
def step(context, field, value):
    context.entry = {**ENTRY, field: json.loads(value)}


@behave.then("the entry is refused")
def step(context):
    try:
        documents.decode_worker("w-1", context.entry)
    except errors.InvalidMessageError:
        return
    raise AssertionError("accepted")


@behave.then(
    'the worker has {cpu_millis:d} thousandths of a core and label "{label}"'
)
def step(context, cpu_millis, label):
    worker = documents.decode_worker("w-1", context.entry)
    assert worker.capacity.cpu_millis == cpu_millis
    assert label in worker.labels


@behave.then("the body {body} is refused")
def step(context, body):
    try:
        documents.decode_submission(json.loads(body))
    except errors.InvalidMessageError:
        return
    raise AssertionError("accepted")


@behave.then(
    "a call with the body {body} is refused before it reaches the core"
)
def step(context, body):
    async def receive():
        return {"type": "http.request", "body": body.encode()}

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/x/1",
        "query_string": b"",
        "headers": [(b"host", b"h")],
        "server": ("h", 80),
        "scheme": "http",
    }
    try:
        asyncio.run(front.decode(requests.Request(scope, receive), "c-1"))
    except (errors.InvalidMessageError, ValueError):
        return
    raise AssertionError(f"{body} was accepted")


@behave.given("a listing with a running and an ended task")
def step(context):
    raw = {
        "clock_ms": 100,
        "born": 5,
        "running": [["0123456789abcdef.0.1.17", 2, "c1", 41, 7]],
        "ended": [[58, "0123456789abcdef.0.1.9", 1, "done", ""]],
    }
    context.reply = workers.decode(POLL, 200, raw)


@behave.given("a listing of a later incarnation of the worker")
def step(context):
    raw = {"clock_ms": 100, "born": 6, "running": [], "ended": []}
    context.reply = workers.decode(POLL, 200, raw)


@behave.then(
    'the running task has number {number:d}, checkpoint "{checkpoint}", '
    "{percent:d} percent, measurement {measurement:g}"
)
def step(context, number, checkpoint, percent, measurement):
    row = context.reply.running[0]
    assert row == model.ListedRun(
        model.TaskName("0123456789abcdef", 0, 1, 17),
        number,
        checkpoint,
        percent,
        measurement,
    )


@behave.then("the ended task has position {position:d} and was done")
def step(context, position):
    end = context.reply.ended[0]
    assert end.position == position
    assert end.kind is model.EndKind.DONE


@behave.then('the reply is a rejection with the reason "reborn"')
def step(context):
    assert context.reply == worker_messages.Rejected("reborn")


def make_item(key, value):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": 7,
        "created": 5,
    }


@behave.given("a list of an owner key, a job record and an unreadable value")
def step(context):
    context.reports = []
    context.store = store.Store(
        None,
        "127.0.0.1:1",
        cattrs.Converter(omit_if_default=True),
        context.reports.append,
        time.monotonic,
        lambda text, fields: context.reports.append((text, fields["key"])),
    )
    queue = model.Queue("q", "host", "/q/", "service", 0, 3, 2.0, 1.0)
    step = model.Step(2, resources.Vector(1000, 100, 0), image="calm")
    context.job = records.JobRecord(
        "0123456789abcdef",
        queue,
        "sefrou/r1",
        "x",
        (step,),
        {"0.1": records.MovedTask("imouzzer/r4", 3)},
    )
    context.owner = records.OwnerRecord("edge-sefrou-1/ab")
    converter = context.store.converter
    job = json.dumps(converter.unstructure(context.job)).encode()
    owner = json.dumps(converter.unstructure(context.owner)).encode()
    items = [
        make_item(records.make_live_owner_key("sefrou/r1"), owner),
        make_item(records.make_job_key("sefrou/r1", context.job.job_id), job),
        make_item(records.make_job_key("sefrou/r1", "foreign"), b"\xff{"),
    ]
    context.found = context.store.decode_all(items, records.LiveDocument)


@behave.then("the owner key and the job record are decoded as such")
def step(context):
    values = [found.value for found in context.found]
    assert values == [context.owner, context.job], values


@behave.then("the unreadable value is logged and skipped")
def step(context):
    assert context.reports == [
        ("skipped", records.make_job_key("sefrou/r1", "foreign"))
    ]
