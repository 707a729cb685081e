"""Composition root of the entry daemon."""

import asyncio
import signal
import time
import uuid

import aiohttp

from sapphirestall_core import instance
from sapphirestall_core import messages
from sapphirestall_core import state
from sapphirestall_entry import callers
from sapphirestall_entry import context as context_module
from sapphirestall_entry import converters
from sapphirestall_entry import counters
from sapphirestall_entry import executors
from sapphirestall_entry import lateness
from sapphirestall_entry import logs
from sapphirestall_entry import loop
from sapphirestall_entry import middleware
from sapphirestall_entry import operators
from sapphirestall_entry import peers
from sapphirestall_entry import performer
from sapphirestall_entry import servers
from sapphirestall_entry import settings as settings_module
from sapphirestall_entry import store
from sapphirestall_entry import workers

# An executor accepts 64 connections, which the entry instances of its data
# centre share.
CONNECTIONS_PER_EXECUTOR = 16


def make_identity(settings: settings_module.Settings) -> state.Identity:
    """Returns the identity of the process with a new incarnation id."""
    return state.Identity(
        instance_id=settings.instance_id,
        incarnation=uuid.uuid4().hex,
        data_centre=settings.data_centre,
        address=settings.peers_listen,
        wall_clock_offset_s=time.time() - time.monotonic(),
        seed_peers=dict(settings.seed_peers),
    )


def build(
    settings: settings_module.Settings,
    session: aiohttp.ClientSession,
    executor_session: aiohttp.ClientSession,
) -> context_module.Context:
    """Builds the core and the adapters of the process and connects them.

    Args:
        settings: Settings of the process.
        session: HTTP client session for the store and for workers.
        executor_session: HTTP client session for executors.

    Returns:
        The context with all adapters set.
    """
    identity = make_identity(settings)
    core = instance.build(identity)
    core.shutdown = state.Shutdown(settings.drain_s, settings.notice_s)
    runner = loop.Loop(
        lambda event, now: instance.handle(event, core, now),
        lambda effect: performer.perform(effect, context),
        time.monotonic,
    )
    context = context_module.Context(
        counters.Counters(), settings, core, identity, time.monotonic
    )
    context.feed = runner.feed
    runner.context = context
    converter = converters.make_converter()
    context.callers = callers.Callers(context)
    context.operators = operators.Operators(context)
    context.executors = executors.Executors(context, executor_session)
    context.workers = workers.Workers(context, session, converter)
    context.store = store.Store(
        context, session, settings.store_address, converter
    )
    context.peers = peers.Peers(context)
    return context


async def run(settings: settings_module.Settings) -> None:
    """Runs an entry instance until it has shut down after a signal."""
    connector = aiohttp.TCPConnector(limit=0)
    executor_connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=CONNECTIONS_PER_EXECUTOR
    )
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        aiohttp.ClientSession(
            connector=executor_connector, auto_decompress=False
        ) as executor_session,
    ):
        context = build(settings, session, executor_session)
        await _serve(context)


async def _serve(context: context_module.Context) -> None:
    settings = context.settings
    listeners = [
        servers.open_socket(address)
        for address in (
            settings.callers_listen,
            settings.operators_listen,
            settings.peers_listen,
        )
    ]
    event_loop = asyncio.get_running_loop()
    context.report_callbacks(event_loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(
            signal_number, context.feed, messages.ShutdownRequested()
        )
    callers_app = middleware.LatencyMiddleware(
        context.callers.build_app(), context.counters, context.clock
    )
    web_servers = [
        servers.make_server(callers_app, context.callers.reject_malformed),
        servers.make_server(context.operators.build_app()),
    ]
    server_tasks = [
        context.spawn(server.serve(sockets=[listener]))
        for server, listener in zip(web_servers, listeners[:2], strict=True)
    ]
    peers_task = context.spawn(context.peers.serve(listeners[2]))
    lateness.LatenessMonitor(
        context.counters, context.clock, logs.write
    ).start()
    context.feed(messages.Started())
    await context.exit.wait()
    for server in web_servers:
        server.stop()
    await asyncio.gather(*server_tasks, return_exceptions=True)
    context.peers.connect({})
    peers_task.cancel()
    # Links are closed with a handshake. If the loop ended first, it would
    # cancel the task that closes them, and the server would wait for that task
    # for ever.
    await asyncio.wait({peers_task}, timeout=servers.CLOSE_TIMEOUT_S)
    await context.background.stop()
