"""Steps for store.feature."""

import asyncio
import json
import socket

import aiohttp
from aiohttp import web
import behave

from sapphirestall_core import configuration
from sapphirestall_core import membership
from sapphirestall_core import store_messages
from sapphirestall_entry import converters
from sapphirestall_entry import counters
from sapphirestall_entry import store as store_module
from standins import store as standin

PURPOSE = store_messages.Purpose()
DOCUMENT = configuration.Document
CALLS = {
    "put": store_messages.StorePut(PURPOSE, "key", 1, 0),
    "delete": store_messages.StoreDelete(PURPOSE, "key", 1),
    "get": store_messages.StoreGet(PURPOSE, "key", DOCUMENT),
    "list": store_messages.StoreList(PURPOSE, "key/", DOCUMENT),
    "grant": store_messages.StoreGrantLease(PURPOSE, 10.0),
    "renew": store_messages.StoreRenewLease(PURPOSE, "lease"),
    "watch": store_messages.StoreWatch(PURPOSE, "key", 0),
}
RECORD = {
    "key": "key/a",
    "value": {"version": 1, "body": {}, "patch_ids": []},
    "version": 1,
    "create_revision": 1,
    "revision": 1,
}
TEXT_NUMBERS = {"version": "1", "create_revision": 1, "revision": 1}
BODIES = {
    "answers truncated JSON": '{"version": 1, "rev',
    "answers a list": "[1]",
    "answers an empty object": "{}",
    "answers text for numbers": json.dumps(TEXT_NUMBERS),
    "answers a wrong document": json.dumps(
        RECORD | {"value": {"version": "x"}}
    ),
    "answers one valid and one damaged record": json.dumps(
        {"entries": [RECORD, RECORD | {"value": 7}], "revision": 1}
    ),
}


class Shell:
    """Substitutes the context of the adapter and records its events."""

    def __init__(self):
        self.events = []
        self.counters = counters.Counters()

    def clock(self):
        """Returns a fixed time."""
        return 1.0

    def feed(self, event):
        """Records an event."""
        self.events.append(event)


def make_answer(behaviour):
    """Returns the bytes that the store sends, or None to send nothing."""
    if behaviour == "closes after the request":
        return b""
    if behaviour == "never answers":
        return None
    if behaviour == "answers less than it announces":
        return b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}"
    status = behaviour.removeprefix("answers ")
    if status.isdigit():
        return f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
    body = BODIES[behaviour].encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def run_against(behaviour, work):
    """Runs `work` with an adapter whose store behaves as stated."""
    shell = Shell()
    finished = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        answer = make_answer(behaviour)
        if answer is None:
            await finished.wait()
        else:
            writer.write(answer)
        writer.close()

    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    server = None
    if behaviour == "refuses connections":
        listener.close()
    else:
        server = await asyncio.start_server(serve, sock=listener)
    async with aiohttp.ClientSession() as session:
        adapter = store_module.Store(
            shell, session, f"127.0.0.1:{port}", converters.make_converter()
        )
        await work(adapter)
    finished.set()
    if server:
        server.close()
    return shell


@behave.given("a store that {behaviour}")
def step(context, behaviour):
    context.behaviour = behaviour
    # The test checks only the kind of failure, so short time limits suffice.
    limit_s = store_module.CALL_TIMEOUT_S
    store_module.CALL_TIMEOUT_S = 0.2
    context.add_cleanup(setattr, store_module, "CALL_TIMEOUT_S", limit_s)
    exchange = store_module.Store.exchange
    defaults = exchange.__defaults__
    exchange.__defaults__ = (None, 0.2)
    context.add_cleanup(setattr, exchange, "__defaults__", defaults)


@behave.when("the instance makes a {call:w} call")
def step(context, call):
    context.shell = asyncio.run(
        run_against(context.behaviour, lambda a: a.call(CALLS[call]))
    )
    (event,) = context.shell.events
    assert event.purpose is PURPOSE
    context.outcome = event.outcome


@behave.then("the outcome is Unavailable and ambiguous is {ambiguous:w}")
def step(context, ambiguous):
    outcome = context.outcome
    assert isinstance(outcome, store_messages.Unavailable), outcome
    assert str(outcome.ambiguous) == ambiguous, outcome
    assert outcome.detail


@behave.then('the call lists {count:d} record and counts "{code}"')
def step(context, count, code):
    assert len(context.outcome.entries) == count, context.outcome
    refusals = context.shell.counters.refusals
    assert refusals.get({"part": "store", "code": code}) == 1


@behave.when("the instance reads the instance list")
def step(context):
    context.shell = asyncio.run(
        run_against(context.behaviour, lambda a: a.read_instances())
    )


@behave.then("the instance gets {name:w}")
def step(context, name):
    assert [type(e).__name__ for e in context.shell.events] == [name]


LISTING = {
    "instance_id": "x",
    "kind": "entry",
    "data_centre": "sefrou",
    "address": "a:1",
}


async def run_against_standin(work):
    app = standin.build_app()
    app[standin.PLATFORM].instances = [LISTING]
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    shell = Shell()
    async with aiohttp.ClientSession() as session:
        await work(
            store_module.Store(
                shell, session, f"127.0.0.1:{port}", converters.make_converter()
            )
        )
    await runner.cleanup()
    return shell, app[standin.PLATFORM]


@behave.given("the store stand-in with one listed instance")
def step(context):
    context.behaviour = "as the protocol defines"


@behave.when("the instance reads the instance list twice")
def step(context):
    async def work(adapter):
        await adapter.read_instances()
        await adapter.read_instances()

    context.shell, _ = asyncio.run(run_against_standin(work))


@behave.then("the instance gets {first:w} and then {second:w}")
def step(context, first, second):
    names = [type(event).__name__ for event in context.shell.events]
    assert names == [first, second], names
    (listing,) = context.shell.events[0].listings
    assert listing.kind is membership.Kind.ENTRY


@behave.when('a record with the key "{key}" is written and read back')
def step(context, key):
    context.key = key

    async def work(adapter):
        document = DOCUMENT(3, {"teams": {}}, ("p",))
        await adapter.call(store_messages.StorePut(PURPOSE, key, document, 0))
        await adapter.call(store_messages.StoreGet(PURPOSE, key, DOCUMENT))

    context.shell, context.platform = asyncio.run(run_against_standin(work))


@behave.then("the record was found under that key")
def step(context):
    written, found = (event.outcome for event in context.shell.events)
    assert isinstance(written, store_messages.Written), written
    assert found.key == context.key
    assert found.value.patch_ids == ("p",), found
    assert list(context.platform.store.items) == [context.key]
