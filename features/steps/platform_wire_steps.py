"""Steps for platform_wire.feature."""

import asyncio
import contextlib
import logging
import os
import random
import time

import behave

from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import records
from sapphirestall_core.batch import worker_messages
from sapphirestall_entry import counters
from sapphirestall_entry import logs
from sapphirestall_entry import servers
from sapphirestall_platform import call_report
from sapphirestall_platform import front
from sapphirestall_platform import store
from sapphirestall_platform import transport
from sapphirestall_platform import workers
from sapphirestall_standins import malformed

PURPOSE = store_messages.Purpose()
VALID_REQUEST = b"GET /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\n\r\n"
# Time for a response to a message that may have none, in seconds.
RESPONSE_S = 0.05
TIMEOUT_S = 5.0


def record_exceptions(context):
    context.exceptions = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, details: context.exceptions.append(details)
    )


def make_store_calls():
    document = records.EndedRecord
    put = store_messages.Put("k", document(1))
    return (
        store_messages.StoreGet(PURPOSE, "k", document),
        store_messages.StoreList(PURPOSE, "k", document),
        store_messages.StoreTransaction(PURPOSE, (("k", 0),), (put,)),
        store_messages.StoreGrantLease(PURPOSE, 2.5),
        store_messages.StoreRenewLease(PURPOSE, "7"),
        store_messages.StoreEndLease(PURPOSE, "7"),
        store_messages.StoreFollow(PURPOSE, "k", 3, document, 1.0),
    )


async def answer_calls(context, first, last):
    record_exceptions(context)
    answer = b""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    trace = (transport.make_trace(),)
    async with server, transport.make_session(4, trace) as session:
        client = transport.Transport(session)
        store_client = store.Store(
            client,
            address,
            store.make_converter(),
            context.events.append,
            time.monotonic,
            lambda *_: None,
        )
        worker_client = workers.Workers(
            client,
            client,
            context.events.append,
            time.monotonic,
            lambda *_: None,
            call_report.CallReport(counters.Counters(), lambda *_: None),
        )
        target = worker_messages.Target("w-1", 5, address)
        poll = worker_messages.HoldLease(target, "p", 1, 0, None, 0.0, 1)
        for seed in range(first, last + 1):
            rng = random.Random(seed)
            answer = malformed.make_response(rng)
            for call in (
                worker_client.call(poll),
                store_client.read_workers(),
                store_client.read_configuration(),
                store_client.call(rng.choice(make_store_calls())),
            ):
                context.calls += 1
                await call


@behave.when(
    "the store and a worker answer with the malformed responses {first:d} to "
    "{last:d}"
)
def step(context, first, last):
    context.events, context.calls = [], 0
    asyncio.run(answer_calls(context, first, last))


@behave.then("each call led to one reply and no exception")
def step(context):
    assert len(context.events) == context.calls, len(context.events)
    assert not context.exceptions, context.exceptions[0]


async def send_requests(context, requests):
    record_exceptions(context)
    loop = asyncio.get_running_loop()
    # The server's log lines about each request are not of interest.
    logging.disable(logging.CRITICAL)
    context.add_cleanup(logging.disable, logging.NOTSET)

    def feed(event):
        answer = caller_messages.AnswerCaller(
            event.call_id, caller_messages.Gone()
        )
        loop.call_soon(context.front.answer, answer)

    context.front = front.FrontEnd(
        feed, time.monotonic, lambda: True, counters.Counters(), "e-1"
    )
    listener = servers.open_socket("127.0.0.1:0")
    port = listener.getsockname()[1]
    server = servers.make_server(context.front.build_callers_app())
    served = asyncio.create_task(server.serve(sockets=[listener]))
    await asyncio.gather(*(exchange(port, data) for data in requests))
    context.response = await exchange(port, VALID_REQUEST, TIMEOUT_S)
    server.stop()
    await served


async def exchange(port, data, timeout_s=RESPONSE_S):
    """Sends data over a new connection and returns what comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    response = b""
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(data)
        response = await asyncio.wait_for(reader.read(1000), timeout_s)
    writer.close()
    return response


@behave.when("callers send the malformed requests {first:d} to {last:d}")
def step(context, first, last):
    asyncio.run(
        send_requests(
            context,
            [
                malformed.make_requests(random.Random(seed))
                for seed in range(first, last + 1)
            ],
        )
    )


@behave.then("no exception was reported, and no call is waiting")
def step(context):
    assert not context.exceptions, context.exceptions[0]
    assert not context.front.waiting_calls, context.front.waiting_calls


@behave.then("a valid request is answered")
def step(context):
    assert context.response.startswith(b"HTTP/1.1 410"), context.response


@behave.when("callers send an invalid HEAD request")
def step(context):
    # The length of a chunk of its body is no number.
    data = b"HEAD /q/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    data += b"\r\nZZ\r\n"
    asyncio.run(send_requests(context, [data]))


@behave.given("a log that has dropped informational lines")
def step(context):
    reader, writer = os.pipe()
    context.reader = os.fdopen(reader, "rb")
    context.handler = logs.StdoutHandler(writer, lambda: 0.0)
    for _ in range(logs.BURST_LINES + 1):
        log(context, logging.INFO)
    assert context.handler.dropped == 1, context.handler.dropped


def log(context, level):
    record = logging.LogRecord("x", level, "", 0, "x", (), None)
    context.handler.emit(record)


@behave.when("{count:d} warnings are logged at once")
def step(context, count):
    context.count = count
    context.handler.dropped = 0
    for _ in range(count):
        log(context, logging.WARNING)


@behave.then("{count:d} of them were written")
def step(context, count):
    assert context.handler.dropped == context.count - count
