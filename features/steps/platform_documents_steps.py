"""Steps for platform_documents.feature."""

import asyncio
import base64
import contextlib
import json
import time
from unittest import mock

import attrs
import behave
from starlette import requests
import yarl

from sapphirestall_core import errors
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import configuration
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages
from sapphirestall_entry import counters
from sapphirestall_platform import call_report
from sapphirestall_platform import documents
from sapphirestall_platform import front
from sapphirestall_platform import settings
from sapphirestall_platform import store
from sapphirestall_platform import transport
from sapphirestall_platform import workers
from sapphirestall_standins import documents as standin_documents

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
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "6",
    "bounds.config_apply_ms": "2000",
    "heartbeat_ms": "1500",
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
JOB_ID = "0123456789abcdef"
CHUNK_BYTES = 65536
READ_TIMEOUT_S = 1.0
TARGET = worker_messages.Target("w-1", 5, "127.0.0.1:8080")
POLL = worker_messages.HoldLease(TARGET, "sefrou", 1, 0, None, 0.0, 1)


class FixedSession:
    """Answers each request with the same body, as an HTTP session would.

    It is the session, its only response and the content of that response.
    """

    def __init__(self, body, status=200):
        self.status = status
        self.body = body
        self.content = self

    @contextlib.asynccontextmanager
    async def request(self, *_, **__):
        """Yields the response."""
        yield self

    async def iter_any(self):
        """Yields the body of the response."""
        await asyncio.sleep(0)
        yield self.body


def make_store(context, answer=None, status=200):
    """Makes a client of a store that answers each call alike."""
    context.events = []
    context.reports = []
    session = FixedSession(json.dumps(answer).encode(), status)
    context.store = store.Store(
        transport.Transport(session),
        "127.0.0.1:1",
        store.make_converter(),
        context.events.append,
        time.monotonic,
        lambda text, fields: context.reports.append((text, fields)),
    )


def make_list(items):
    """Returns a store's answer to both a read and a watch of a prefix."""
    return {
        **standin_documents.encode_page(items, False, 9),
        **standin_documents.encode_events(items, 9),
    }


def make_workers(context, body, status=200):
    """Makes a client of workers that answer each call alike."""
    context.events = []
    context.reports = []
    client = transport.Transport(FixedSession(body.encode(), status))
    context.workers = workers.Workers(
        client,
        client,
        context.events.append,
        time.monotonic,
        lambda text, fields: context.reports.append((text, fields)),
        call_report.CallReport(counters.Counters(), lambda *_: None),
    )


def make_request(body, headers=(), path="/x/1", method="POST"):
    async def receive():
        return {"type": "http.request", "body": body}

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": b"",
        "headers": [(b"host", b"h"), *headers],
        "server": ("h", 80),
        "scheme": "http",
    }
    return requests.Request(scope, receive)


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


@behave.then('it belongs to partition "{name}" of two racks')
def step(context, name):
    assert model.Division(2).find_partition(context.entry) == name


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


@behave.given("a worker's entry with a {field} of {length:d} bytes")
def step(context, field, length):
    changes = {
        "rack": {"labels": ["a", "9" * length]},
        "zone": {"zone": "z" * length},
    }
    context.entry = {**ENTRY, **changes[field]}


@behave.given("a worker's entry with the longest zone and rack")
def step(context):
    longest = documents.MAX_NAME_BYTES
    labels = ["a", "r" + "9" * (longest - 1)]
    context.entry = {**ENTRY, "zone": "z" * longest, "labels": labels}


@behave.then("no key of its partition is longer than {length:d} bytes")
def step(context, length):
    entry = documents.decode_worker("w-1", context.entry)
    name = model.Division().find_partition(entry)
    keys = (
        records.make_job_key(name, JOB_ID),
        records.make_progress_key(name, JOB_ID),
        records.make_ended_key(name, JOB_ID),
        records.make_live_owner_key(name),
        records.make_owner_key(name),
        records.make_roster_key(name),
        records.make_summary_key(name),
    )
    assert max(len(key) for key in keys) <= length, keys


@behave.then("a call to the address can be made")
def step(context):
    worker = documents.decode_worker("w-1", context.entry)
    url = yarl.URL(f"http://{worker.address}/x", encoded=True)
    assert url.host and url.port


@behave.then("an entry with the id {name} is refused")
def step(context, name):
    try:
        documents.decode_worker(json.loads(name), ENTRY)
    except errors.InvalidMessageError:
        return
    raise AssertionError("accepted")


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
    try:
        asyncio.run(front.decode(make_request(body.encode()), "c-1"))
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
    make_store(context)
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
    context.found = context.store.decode_each(
        items, lambda item: context.store.decode(item, records.LiveDocument)
    )


@behave.then("the owner key and the job record are decoded as such")
def step(context):
    values = [found.value for found in context.found]
    assert values == [context.owner, context.job], values


@behave.then("the unreadable value is logged and skipped")
def step(context):
    ((text, fields),) = context.reports
    key = records.make_job_key("sefrou/r1", "foreign")
    assert (text, fields["key"]) == ("skipped", key)


def make_nested(depth):
    return "[" * depth + "]" * depth


@behave.given(
    "the store lists a valid worker and an entry nested {depth:d} deep"
)
def step(context, depth):
    entry = json.dumps({**ENTRY, "state": "X"})
    entry = entry.replace('"X"', make_nested(depth - 1))
    items = [
        make_item("servers/w-2", entry.encode()),
        make_item("servers/w-1", json.dumps(ENTRY).encode()),
    ]
    make_store(context, make_list(items))


@behave.when("the list of workers is read twice")
def step(context):
    for _ in range(2):
        asyncio.run(context.store.read_workers())


@behave.then("each read passes on the valid worker")
def step(context):
    entry = documents.decode_worker("w-1", ENTRY)
    expected = worker_list.EntriesRead((entry,), 0.0)
    # The time at which each read was sent differs.
    events = [attrs.evolve(event, sent_at=0.0) for event in context.events]
    assert events == [expected, expected], context.events


@behave.then(
    'the entry "{name}" was logged once, in at most {length:d} characters'
)
def step(context, name, length):
    ((text, fields),) = context.reports
    assert text == "skipped", text
    assert fields["key"] == f"servers/{name}", fields
    assert len(str(fields)) <= length, fields


@behave.given("the store holds a configuration nested {depth:d} deep")
def step(context, depth):
    text = f'{{"version": {make_nested(depth - 1)}}}'
    make_store(context, make_item("op/config", text.encode()))


@behave.when("the configuration is read")
def step(context):
    asyncio.run(context.store.read_configuration())


@behave.then("the core is told that no configuration was read")
def step(context):
    assert context.events == [configuration.ConfigurationRead(None)]


@behave.given("the store has an owner key and a record nested {depth:d} deep")
def step(context, depth):
    text = f'{{"job_id": {make_nested(depth - 1)}}}'
    owner = json.dumps({"instance_id": "edge-sefrou-1/ab"})
    items = [
        make_item(records.make_job_key("sefrou/r1", "x"), text.encode()),
        make_item(records.make_live_owner_key("sefrou/r1"), owner.encode()),
    ]
    make_store(context, make_list(items))


@behave.when("the owner lists and follows the records of its partition")
def step(context):
    prefix = records.make_live_prefix("sefrou/r1")
    document = records.LiveDocument
    purpose = store_messages.Purpose()
    for effect in (
        store_messages.StoreList(purpose, prefix, document),
        store_messages.StoreFollow(purpose, prefix, 7, document, 1.0),
    ):
        asyncio.run(context.store.call(effect))


@behave.then("both replies contain the owner key only")
def step(context):
    listed, followed = (event.outcome for event in context.events[-2:])
    owner = records.OwnerRecord("edge-sefrou-1/ab")
    assert [found.value for found in listed.entries] == [owner], listed
    assert [found.value for found in followed.changes] == [owner], followed


ANSWERS = {
    "clock": '{"clock_ms": X, "running": [], "ended": []}',
    "task": '{"clock_ms": 1, "running": [[X, 1, "", 0]], "ended": []}',
    "number": (
        '{"clock_ms": 1, "running": [["a.0.0.0", X, "", 0]], "ended": []}'
    ),
    "end": (
        '{"clock_ms": 1, "running": [], "ended": [[1, "a.0.0.0", 1, X, ""]]}'
    ),
    "reason": '{"clock_ms": 1, "reason": X}',
    "body": "X",
}


@behave.given("a worker that answers with a {part} nested {depth:d} deep")
def step(context, part, depth):
    text = ANSWERS[part].replace("X", make_nested(depth))
    make_workers(context, text, 409 if part == "reason" else 200)


@behave.when("the worker is polled")
def step(context):
    asyncio.run(context.workers.call(POLL))


@behave.then("the reply is NoAnswer, in at most {length:d} characters")
def step(context, length):
    (event,) = context.events
    assert isinstance(event.reply, worker_messages.NoAnswer), event
    assert len(event.reply.detail) <= length, event


@behave.when("a submission with a spec nested {depth:d} deep is served")
def step(context, depth):
    body = f'{{"spec": {make_nested(depth - 1)}, "steps": []}}'
    front_end = front.FrontEnd(
        None, time.monotonic, None, counters.Counters(), "edge-sefrou-1"
    )
    request = make_request(body.encode())
    context.response = asyncio.run(front_end.serve(request))


@behave.then("the call is answered with status {status:d}")
def step(context, status):
    assert context.response.status_code == status, context.response.body


def make_valid_items():
    owner = json.dumps({"instance_id": "edge-sefrou-1/ab"})
    key = records.make_live_owner_key("sefrou/r1")
    return [
        make_item("servers/w-1", json.dumps(ENTRY).encode()),
        make_item(key, owner.encode()),
    ]


@behave.given("a store whose lists contain the item {item} and valid ones")
def step(context, item):
    make_store(context, make_list([json.loads(item), *make_valid_items()]))


@behave.given("a store that announces a further page with each page")
def step(context):
    answer = standin_documents.encode_page(make_valid_items(), True, 9)
    make_store(context, answer)


@behave.when("the list of workers is read")
def step(context):
    async def read():
        async with asyncio.timeout(READ_TIMEOUT_S):
            await context.store.read_workers()

    asyncio.run(read())


@behave.then("the core is told that the list was not read")
def step(context):
    (event,) = context.events
    assert isinstance(event, worker_list.EntriesRead), event
    assert event.entries is None, event


def make_answer(fields):
    """Returns the body of a listing in which some fields are replaced."""
    listing = {"clock_ms": 1, "running": [], "ended": [], "reason": "room"}
    return json.dumps({**listing, **json.loads(fields)})


def list_run(context, checkpoint="c1", measurement=7):
    row = ["a.0.0.0", 1, checkpoint, 0, measurement]
    make_workers(context, make_answer(json.dumps({"running": [row]})))


@behave.given("a worker that answers {status:d} with {fields}")
def step(context, status, fields):
    make_workers(context, make_answer(f"{{{fields}}}"), status)


@behave.given("a worker that lists a run with the {part:w} {value}")
def step(context, part, value):
    list_run(context, **{part: json.loads(value)})


@behave.given("a worker that lists a run with a checkpoint of {length:d} bytes")
def step(context, length):
    list_run(context, checkpoint="c" * length)


@behave.then("the run is listed without a {part}")
def step(context, part):
    (event,) = context.events
    (run,) = event.reply.running
    assert not getattr(run, part), run
    assert run.checkpoint or run.measurement, run


@behave.when("the worker is polled {count:d} times")
def step(context, count):
    for _ in range(count):
        asyncio.run(context.workers.call(POLL))


@behave.then("{replies:d} replies are passed on and {lines:d} line is logged")
def step(context, replies, lines):
    assert len(context.events) == replies, context.events
    assert len(context.reports) == lines, context.reports


ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}
SERVICE = {"name": "s"}


def hold_configuration(context, name, item):
    value = {"version": 3, "routes": [ROUTE], "services": [SERVICE]}
    value[name] = [item, *value[name]]
    make_store(context, make_item("op/config", json.dumps(value).encode()))


@behave.given(
    "a configuration whose {name} contain the item {item} and valid ones"
)
def step(context, name, item):
    hold_configuration(context, name, json.loads(item))


@behave.given(
    'a configuration whose {name} contain one with the field "{field}" of '
    "{value} and valid ones"
)
def step(context, name, field, value):
    hold_configuration(context, name, {**ROUTE, field: json.loads(value)})


@behave.when("the configuration is read twice")
def step(context):
    for _ in range(2):
        asyncio.run(context.store.read_configuration())


@behave.then("each read passes on the valid queue and service")
def step(context):
    for event in context.events:
        found = event.configuration
        assert found is not None, context.reports
        assert [queue.name for queue in found.queues] == ["q"], found
        assert [service.name for service in found.services] == ["s"], found


@behave.then("{count:d} line is logged about the configuration")
def step(context, count):
    assert len(context.reports) == count, context.reports


def decode_record(context, document, value):
    make_store(context)
    key = records.make_job_key("sefrou/r1", JOB_ID)
    item = make_item(key, json.dumps(value).encode())
    context.found = context.store.decode_each(
        [item], lambda item: context.store.decode(item, document)
    )


def make_job_record():
    queue = {**ROUTE, "priority": 0, "max_attempts": 1, "stretch": 1.0}
    queue["target_latency_s"] = 1.0
    return {"job_id": JOB_ID, "queue": queue, "partition": "sefrou/r1"}


@behave.given('a stored job record with "{field}" set to {value}')
def step(context, field, value):
    record = make_job_record()
    document = records.LiveDocument
    decode_record(context, document, record)
    assert context.found, context.reports
    decode_record(context, document, {**record, field: json.loads(value)})


@behave.given("a stored {record:w} with {fields}")
def step(context, record, fields):
    value = json.loads(f"{{{fields}}}")
    decode_record(context, getattr(records, record), value)


@behave.then("the record is skipped")
def step(context):
    assert not context.found, context.found
    assert len(context.reports) == 1, context.reports


@behave.then("the record is decoded, and {field:w} is {value}")
def step(context, field, value):
    assert not context.reports, context.reports
    (found,) = context.found
    # Tuples become lists.
    plain = json.loads(json.dumps(attrs.asdict(found.value)))
    assert plain[field] == json.loads(value), plain


@behave.given("a stored state of a job that is accepted")
def step(context):
    value = {"queue": "q", "partition": "sefrou/r1", "state": "accepted"}
    decode_record(context, records.StateRecord, value)


@behave.then("its state is the known state")
def step(context):
    (found,) = context.found
    assert found.value.state is model.JobState.ACCEPTED, found


def is_refused(body):
    try:
        documents.decode_submission(body)
    except errors.InvalidMessageError:
        return True
    return False


@behave.then('a step with "{field}" set to {value} is refused')
def step(context, field, value):
    plain = {"count": 1}
    assert not is_refused({"spec": "x", "steps": [plain]})
    changed = {**plain, field: json.loads(value)}
    assert is_refused({"spec": "x", "steps": [changed]})


@behave.then("a job whose image has a name of {length:d} bytes is refused")
def step(context, length):
    steps = [{"count": 1, "image": "i" * length}]
    assert is_refused({"spec": "x", "steps": steps})


@behave.when("a submission with a body of {size:d} MB is decoded")
def step(context, size):
    context.sent = 0

    async def receive():
        context.sent += CHUNK_BYTES
        more = context.sent < size * 10**6
        body = b" " * CHUNK_BYTES
        return {"type": "http.request", "body": body, "more_body": more}

    request = requests.Request(make_request(b"").scope, receive)
    try:
        asyncio.run(front.decode(request, "c-1"))
    except errors.InvalidMessageError:
        return
    raise AssertionError("accepted")


@behave.then("at most {size:d} MB of it was read")
def step(context, size):
    assert context.sent <= size * 10**6, context.sent


DEADLINES = {
    "5000 digits": "9" * 5000,
    "no text": "",
    "superscript two": "\u00b2",
}


@behave.then("a request with the deadline {text} may take {seconds:g} s")
def step(context, text, seconds):
    value = DEADLINES.get(text, text).encode("latin-1")
    request = make_request(b"", [(b"deadline-ms", value)])
    assert front.read_deadline(request) == seconds


def read_all(context, change):
    """Reads a worker and a configuration whose capacity and version tell."""
    entry = {**ENTRY, "capacity": {"cpu": len(change), "mem_mb": 1}}
    worker = make_item("servers/w-1", json.dumps(entry).encode())
    document = json.dumps({"version": len(change)}).encode()
    configured = make_item("op/config", document)
    for item in (worker, configured):
        if change == "new revisions":
            item["revision"] += 1
        elif change == "no revisions":
            del item["revision"]
    for answer, read in (
        (make_list([worker]), context.store.read_workers),
        (configured, context.store.read_configuration),
    ):
        body = json.dumps(answer).encode()
        context.store.transport = transport.Transport(FixedSession(body))
        asyncio.run(read())


def read_heartbeat(context, number, worker_state):
    entry = {**ENTRY, "seq": number, "state": worker_state}
    item = make_item("servers/w-1", json.dumps(entry).encode())
    item["revision"] += number
    body = json.dumps(make_list([item])).encode()
    context.store.transport = transport.Transport(FixedSession(body))
    asyncio.run(context.store.read_workers())


@behave.given(
    'the list of workers was read with heartbeat {number:d} in state "{name}"'
)
def step(context, number, name):
    make_store(context)
    read_heartbeat(context, number, name)


@behave.when('it is read again with heartbeat {number:d} in state "{name}"')
def step(context, number, name):
    read_heartbeat(context, number, name)


@behave.then("the entry of the first read is passed on")
def step(context):
    assert context.events[-1].entries[0] is context.events[0].entries[0]


@behave.then("a new entry is passed on")
def step(context):
    assert context.events[-1].entries[0].draining, context.events


@behave.given("the store's list of workers and configuration were read")
def step(context):
    make_store(context)
    read_all(context, "")


@behave.when("they are read again with {change}")
def step(context, change):
    read_all(context, change)


@behave.then("the second read passes on {which} ones")
def step(context, which):
    old_list, old, new_list, new = context.events
    workers_differ = old_list.entries[0] != new_list.entries[0]
    assert workers_differ == (which == "new"), context.events
    versions_differ = old.configuration != new.configuration
    assert versions_differ == (which == "new"), context.events


@behave.given("a store that answers each call with status {status:d}")
def step(context, status):
    make_store(context, {}, status)


@behave.when("a key is written {what}")
def step(context, what):
    lease_id = "7" if what == "with a lease" else ""
    put = store_messages.Put("k", records.EndedRecord(1), lease_id)
    effect = store_messages.StoreTransaction(
        store_messages.Purpose(), (("k", 0),), (put,)
    )
    asyncio.run(context.store.call(effect))


WRITE_OUTCOMES = {
    "an unanswered write": store_messages.Unavailable(
        True, "StoreTransaction status 404"
    ),
    "the loss of the lease": store_messages.LeaseLost(""),
}


@behave.then("the outcome of the write is {outcome}")
def step(context, outcome):
    (event,) = context.events
    assert event.outcome == WRITE_OUTCOMES[outcome], event


def list_record(context, record):
    item = make_item(context.key, json.dumps(record).encode())
    make_store(context, make_list([item]))
    effect = store_messages.StoreList(
        store_messages.Purpose(), "live/", records.LiveDocument
    )
    asyncio.run(context.store.call(effect))
    return context.events[0].outcome


@behave.given("a store that lists a job record with {fields}")
def step(context, fields):
    context.key = records.make_job_key("sefrou/r1", JOB_ID)
    record = make_job_record()
    assert list_record(context, record).entries
    record.update(json.loads(f"{{{fields}}}"))
    context.outcome = list_record(context, record)


@behave.then("the list contains no record and names its key as unreadable")
def step(context):
    assert context.outcome.entries == (), context.outcome
    assert context.outcome.unreadable == (context.key,), context.outcome


SUBMISSION = b'{"spec": "x", "steps": [{"count": 1}]}'


@behave.when("a submission is served and the core does not answer it")
def step(context):
    context.front = front.FrontEnd(
        lambda event: None, time.monotonic, None, counters.Counters(), "e-1"
    )
    request = make_request(SUBMISSION, [(b"deadline-ms", b"10")])
    with mock.patch.object(front, "ANSWER_MARGIN_S", 0.01):
        call = asyncio.wait_for(context.front.serve(request), READ_TIMEOUT_S)
        context.response = asyncio.run(call)


@behave.then("no call is waiting")
def step(context):
    assert not context.front.waiting_calls, context.front.waiting_calls


@behave.when("a HEAD request with the body of a submission is decoded")
def step(context):
    request = make_request(SUBMISSION, method="HEAD")
    context.event = asyncio.run(front.decode(request, "c-1"))


@behave.then("it asks for the state of the job")
def step(context):
    assert isinstance(context.event, caller_messages.StateCalled), context.event


class PagedSession(FixedSession):
    """Answers each request with the page that its query asks for."""

    def __init__(self, choose_page):
        super().__init__(b"")
        self.choose_page = choose_page

    @contextlib.asynccontextmanager
    async def request(self, method, url, **_):
        """Yields the response."""
        # Reads of pages without end would otherwise never let others run.
        await asyncio.sleep(0)
        page = self.choose_page(url.query.get("after", ""))
        self.body = json.dumps(page).encode()
        yield self


def make_worker_item(name):
    return make_item(f"servers/{name}", json.dumps(ENTRY).encode())


def make_paged_store(context, choose_page):
    make_store(context)
    context.store.transport = transport.Transport(PagedSession(choose_page))


@behave.given("a store whose pages are two that lead to each other")
def step(context):
    def choose_page(after):
        name = "w-1" if after.endswith("w-2") else "w-2"
        return standin_documents.encode_page([make_worker_item(name)], True, 9)

    make_paged_store(context, choose_page)


@behave.given("a store whose pages are empty but not the last")
def step(context):
    page = standin_documents.encode_page([], True, 9)
    make_paged_store(context, lambda after: page)


@behave.given("a store whose first page ends with an unreadable item")
def step(context):
    first = [make_worker_item("w-1"), 7]
    pages = {
        "": standin_documents.encode_page(first, True, 9),
        "servers/w-1": standin_documents.encode_page(
            [make_worker_item("w-2")], False, 9
        ),
    }
    make_paged_store(context, pages.__getitem__)


@behave.then("the workers of both pages are passed on")
def step(context):
    (event,) = context.events
    assert event.entries is not None, context.reports
    names = [entry.worker_id for entry in event.entries]
    assert names == ["w-1", "w-2"], names


@behave.when("everything is read from the store")
def step(context):
    context.queries = []

    class RecordingSession(FixedSession):
        """Records the query of each request."""

        @contextlib.asynccontextmanager
        async def request(self, method, url, **_):
            """Yields the response."""
            context.queries.append(dict(url.query))
            yield self

    make_store(context)
    body = json.dumps(make_list([])).encode()
    context.store.transport = transport.Transport(RecordingSession(body))
    purpose, document = store_messages.Purpose(), records.EndedRecord
    for call in (
        context.store.read_configuration(),
        context.store.read_workers(),
        context.store.call(store_messages.StoreGet(purpose, "k", document)),
        context.store.call(store_messages.StoreList(purpose, "k", document)),
        context.store.call(
            store_messages.StoreFollow(purpose, "k", 7, document, 1.0)
        ),
    ):
        asyncio.run(call)


@behave.then("no read allowed an older state")
def step(context):
    assert len(context.queries) == 5, context.queries
    names = {name for query in context.queries for name in query}
    assert names == {"key", "prefix", "after", "wait_ms"}, names
