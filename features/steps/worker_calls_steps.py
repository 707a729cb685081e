"""Steps for worker_calls.feature."""

import asyncio
import contextlib
import errno
import logging
import os
import socket
import time
import types
from unittest import mock

import aiohttp
from aiohttp import web
import behave

from features import virtual_time
from sapphirestall_core import messages
from sapphirestall_core import request_messages
from sapphirestall_core import task_messages
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages
from sapphirestall_entry import converters
from sapphirestall_entry import counters as counters_module
from sapphirestall_entry import executors
from sapphirestall_entry import lateness
from sapphirestall_entry import logs
from sapphirestall_entry import workers as entry_workers
from sapphirestall_platform import call_report
from sapphirestall_platform import composition
from sapphirestall_platform import settings
from sapphirestall_platform import transport
from sapphirestall_platform import workers

TASK = model.TaskName("00000000000000aa", 0, 0, 0)
MEGABYTE = 2**20


@behave.when("a loop runs its timers {late_s:g} s late for {seconds:g} s")
def step(context, late_s, seconds):
    context.lines = []
    monitor = lateness.LatenessMonitor(
        counters_module.Counters(),
        lambda: 0.0,
        lambda part, text, fields: context.lines.append((part, text, fields)),
    )
    now = 0.0
    while now < seconds:
        monitor.observe(late_s, now)
        now += lateness.PERIOD_S + late_s


@behave.then('{count:d} log lines report it, with "{field}"')
def step(context, count, field):
    assert len(context.lines) == count, context.lines
    for part, text, fields in context.lines:
        assert (part, text) == ("process", "loop_late")
        assert f"worst_s={fields['worst_s']}" == field, fields


@behave.when("a process writes {count:d} log lines at once")
def step(context, count):
    reader, writer = os.pipe()
    context.now = 0.0
    context.handler = logs.StdoutHandler(writer, lambda: context.now)
    context.reader = reader
    context.read = ""
    for number in range(count):
        write_log_line(context, f"line-{number}")


def write_log_line(context, text):
    record = logging.LogRecord("x", logging.INFO, "", 0, text, (), None)
    context.handler.emit(record)
    if not context.handler.dropped:
        context.read += os.read(context.reader, 65536).decode()


@behave.then("the reader gets the first {count:d} of them")
def step(context, count):
    expected = [f"line-{number}" for number in range(count)]
    assert context.read.split() == expected, len(context.read.split())


@behave.then("the next log line reports that {count:d} were dropped")
def step(context, count):
    context.read = ""
    context.now += 1.0
    write_log_line(context, "later")
    assert context.read == f"log: dropped lines={count}\nlater\n"


@behave.when("log lines are formatted {delays} s after {start:g} s")
def step(context, delays, start):
    formatter = logs.Formatter()
    standard = logging.Formatter(logs.FORMAT)
    context.lines = []
    for delay in delays.split(","):
        record = logging.LogRecord("x", logging.INFO, "", 0, "text", (), None)
        record.created = start + float(delay)
        record.msecs = record.created % 1 * 1000
        pair = (formatter.format(record), standard.format(record))
        context.lines.append(pair)


@behave.then("each has the time that the standard formatter writes")
def step(context):
    for line, expected in context.lines:
        assert line == expected, (line, expected)


@behave.given("a worker that answers each call after {seconds:g} s")
def step(context, seconds):
    async def serve(request):
        await asyncio.sleep(seconds)
        return web.json_response({"clock_ms": 1000})

    context.serve = serve


@behave.given("a worker that answers each call with {megabytes:d} MB")
def step(context, megabytes):
    context.sent_megabytes = 0
    chunk = b" " * MEGABYTE

    async def serve(request):
        response = web.StreamResponse()
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            for _ in range(megabytes):
                await response.write(chunk)
                context.sent_megabytes += 1
        return response

    context.serve = serve


@behave.then("at most {megabytes:d} MB of the answer were sent")
def step(context, megabytes):
    assert context.sent_megabytes <= megabytes, context.sent_megabytes


async def start_server(serve):
    app = web.Application()
    if serve is not None:
        app.router.add_post("/{path:.*}", serve)
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    return runner, f"127.0.0.1:{port}"


def make_command(address, number):
    target = worker_messages.Target("w-1", 7, address)
    return worker_messages.StopRun(target, "north", 1, TASK, number)


def make_poll(address, number):
    target = worker_messages.Target("w-1", 7, address)
    return worker_messages.HoldLease(target, "north", 1, 0, None, 1.5, number)


async def send_calls(context, calls, concurrent):
    """Sends calls concurrently with each other and with a coroutine.

    The replies and the times at which they came are kept in the context.
    """
    runner, address = await start_server(context.serve)
    address = getattr(context, "address", address)
    context.counters = counters_module.Counters()
    context.replies = []
    clock = asyncio.get_running_loop().time
    trace = (transport.make_trace(),)
    async with (
        transport.make_session(
            composition.POLL_CONNECTIONS_PER_WORKER, trace
        ) as polls,
        transport.make_session(
            composition.COMMAND_CONNECTIONS_PER_WORKER, trace
        ) as commands,
    ):
        report = call_report.CallReport(context.counters, lambda *_: None)
        client = workers.Workers(
            transport.Transport(polls),
            transport.Transport(commands),
            lambda event: context.replies.append((event, clock())),
            clock,
            lambda *_: None,
            report,
        )
        made = [make(address, n) for n, make in enumerate(calls)]
        context.started_at = clock()
        await asyncio.gather(*(client.call(call) for call in made), concurrent)
    await runner.cleanup()


def send_commands(context, count, concurrent):
    context.count = count
    asyncio.run(send_calls(context, [make_command] * count, concurrent))


async def block_loop(seconds):
    """Blocks the event loop after the calls have been sent."""
    await asyncio.sleep(0.02)
    asyncio.get_running_loop().call_soon(time.sleep, seconds)


async def delay_loop(seconds, times):
    """Makes the event loop late again and again, in virtual time."""
    loop = asyncio.get_running_loop()
    for _ in range(times):
        await asyncio.sleep(0.02)
        loop.call_soon(loop.pass_time, seconds)


@behave.when("{count:d} commands are sent to it at once")
def step(context, count):
    send_commands(context, count, asyncio.sleep(0))


@behave.when(
    "{count:d} commands are sent to it at once and the loop is blocked for "
    "{seconds:g} s"
)
def step(context, count, seconds):
    send_commands(context, count, block_loop(seconds))


@behave.when(
    "{count:d} commands are sent to it while the loop is blocked repeatedly"
)
def step(context, count):
    context.count = count
    calls = [make_command] * count
    virtual_time.run(send_calls(context, calls, delay_loop(0.13, times=20)))


@behave.given("an address on which no worker listens")
def step(context):
    context.serve = None
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        context.address = f"127.0.0.1:{free.getsockname()[1]}"


@behave.given("a worker that answers commands at once and polls after 1 s")
def step(context):
    async def serve(request):
        if request.path.endswith("/hold"):
            await asyncio.sleep(1.0)
        listing = {"clock_ms": 1000, "running": [], "ended": []}
        return web.json_response(listing)

    context.serve = serve


@behave.when("{count:d} polls and then a command are sent to it")
def step(context, count):
    calls = [make_poll] * count + [make_command]
    virtual_time.run(send_calls(context, calls, asyncio.sleep(0)))


@behave.then("the command was answered within {seconds:g} s")
def step(context, seconds):
    ((event, at),) = [
        (event, at)
        for event, at in context.replies
        if isinstance(event.call, worker_messages.StopRun)
    ]
    assert isinstance(event.reply, worker_messages.Done), event
    assert at - context.started_at < seconds, at - context.started_at


def count_replies(context, reply_type, *, local):
    return sum(
        type(event.reply) is reply_type and event.reply.local is local
        for event, _ in context.replies
    )


IS_LOCAL = {"in": True, "outside": False}


@behave.then("the reply is NoAnswer with a cause in this process")
def step(context):
    found = count_replies(context, worker_messages.NoAnswer, local=True)
    assert found == 1, context.replies


@behave.then("the reply came within {seconds:g} s")
def step(context, seconds):
    ((_, at),) = context.replies
    assert at - context.started_at < seconds, at - context.started_at


@behave.then("{count:d} replies are NoAnswer")
def step(context, count):
    # The cause is not checked: on a busy machine the loop of the test may be
    # late itself, and the replies then say so.
    found = [type(event.reply) for event, _ in context.replies]
    assert found.count(worker_messages.NoAnswer) == count, context.replies


USAGES = {
    "it had a connection": transport.ConnectionUsage(connected=True),
    "it could not connect": transport.ConnectionUsage(),
    "it waited to connect": transport.ConnectionUsage(queued_at=1.0),
    "its loop was late": transport.ConnectionUsage(
        connected=True, loop_was_late=True
    ),
}


@behave.when("a call ends without an answer, and {what}")
def step(context, what):
    context.reply = workers.classify_failure(TimeoutError(), USAGES[what])


CALL_ERRORS = {
    "a server disconnect": aiohttp.ServerDisconnectedError(),
    "a connection reset": ConnectionResetError(errno.ECONNRESET, "reset"),
    "a time-out": TimeoutError(),
    "a connect time-out": aiohttp.ConnectionTimeoutError(),
    "an unreachable host": OSError(errno.EHOSTUNREACH, "no route"),
}


@behave.when("a call ends with {error}")
def step(context, error):
    usage = transport.ConnectionUsage(connected=True)
    context.reply = workers.classify_failure(CALL_ERRORS[error], usage)


@behave.then("its reply tells that the connection was {how}")
def step(context, how):
    assert context.reply.closed is (how == "closed"), context.reply


@behave.then("its connection was closed by the worker's host")
def step(context):
    ((event, _),) = context.replies
    assert event.reply.closed, event.reply


@behave.then("its reply is {name:w}, with a cause {where:w} this process")
def step(context, name, where):
    assert type(context.reply).__name__ == name, context.reply
    assert context.reply.local is IS_LOCAL[where], context.reply


@behave.then("{count:d} reply is NotSent with a cause {where:w} this process")
def step(context, count, where):
    reply_type = worker_messages.NotSent
    found = count_replies(context, reply_type, local=IS_LOCAL[where])
    assert found == count, context.replies


def count_outcome(context, outcome):
    labels = {"call": "StopRun", "outcome": outcome}
    return context.counters.worker_calls.get(labels)["count"]


@behave.then("all of them are counted as answered")
def step(context):
    assert count_outcome(context, "answered") == context.count
    assert all(
        isinstance(event.reply, worker_messages.Done)
        for event, _ in context.replies
    )


@behave.then("all of them are counted as not answered")
def step(context):
    assert count_outcome(context, "no_answer") == context.count


@behave.then("the metrics count the connections opened and the waits for them")
def step(context):
    opened = composition.COMMAND_CONNECTIONS_PER_WORKER
    assert context.counters.connections.get({}) == opened
    waits = context.counters.connection_waits.get({})
    assert waits["count"] == context.count - opened, waits
    assert waits["sum"] > 0.03, waits


BODIES = {
    "100000 lists": b"[" * 100_000 + b"]" * 100_000,
    "bytes that are not UTF-8": b"\xff\xfe\xfd",
}


@behave.given("a worker that answers the entry daemon {status:d} with {body}")
def step(context, status, body):
    async def serve(request):
        return web.Response(
            body=BODIES.get(body, body.encode()),
            status=status,
            content_type="application/json",
        )

    context.serve = serve


async def call_from_entry_daemon(context):
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", context.serve)
    runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    context.events = []
    adapters = types.SimpleNamespace(
        clock=lambda: 0.0,
        identity=types.SimpleNamespace(instance_id="entry-1"),
        feed=context.events.append,
    )
    poll = task_messages.PollWorker("w-1", address, 1, 0.0, 1, 1.0)
    health = request_messages.PollHealth("executor-1", address)
    async with aiohttp.ClientSession() as session:
        converter = converters.make_converter()
        client = entry_workers.Workers(adapters, session, converter)
        await client.call(poll)
        await executors.Executors(adapters, session).poll(health)
    await runner.cleanup()


@behave.when("the entry daemon polls it and reads its health")
def step(context):
    asyncio.run(call_from_entry_daemon(context))


@behave.then("both calls report a failure")
def step(context):
    found = [type(event) for event in context.events]
    expected = [task_messages.WorkerFailed, request_messages.HealthUnread]
    assert found == expected, context.events


@behave.given("a process of the platform")
def step(context):
    loaded = settings.Settings(
        "e-1",
        "north",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:1",
        state.Limits(),
    )
    context.process = composition.build(loaded, None, None, None)


@behave.when("its machine is suspended for {seconds:g} s between two events")
def step(context, seconds):
    read = time.clock_gettime
    context.times = []

    def handle(event, core, now):
        context.times.append(now)
        return []

    def read_later(clock):
        # Of these clocks only the monotonic one leaves out a suspension.
        is_monotonic = clock == time.CLOCK_MONOTONIC
        return read(clock) + (0.0 if is_monotonic else seconds)

    with mock.patch.object(instance, "handle", handle):
        context.process.feed(messages.Started())
        with mock.patch.object(time, "clock_gettime", read_later):
            context.process.feed(messages.Started())


@behave.then("at least {seconds:g} s have passed for the core")
def step(context, seconds):
    before, after = context.times
    assert after - before >= seconds, context.times
