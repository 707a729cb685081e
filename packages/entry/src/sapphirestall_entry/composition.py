"""The only composition root: builds and wires the adapters."""

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
from sapphirestall_entry import loop
from sapphirestall_entry import operators
from sapphirestall_entry import peers
from sapphirestall_entry import servers
from sapphirestall_entry import settings as settings_module
from sapphirestall_entry import store
from sapphirestall_entry import workers

# Executors accept 64 connections, shared by the entries of a data centre.
CONNECTIONS_PER_EXECUTOR = 16


def make_identity(settings: settings_module.Settings) -> state.Identity:
    """Returns the identity of this start of the process."""
    return state.Identity(
        instance_id=settings.instance_id,
        incarnation=uuid.uuid4().hex,
        data_centre=settings.data_centre,
        address=settings.peers_listen,
        wall_offset=time.time() - time.monotonic(),
    )


def build(
    settings: settings_module.Settings,
    session: aiohttp.ClientSession,
    executor_session: aiohttp.ClientSession,
) -> context_module.Context:
    """Returns the wired adapters of a process."""
    identity = make_identity(settings)
    runner = loop.Loop(instance.build(identity), time.monotonic)
    context = context_module.Context(
        settings, identity, runner.feed, time.monotonic, counters.Counters()
    )
    runner.context = context
    converter = converters.make_converter()
    context.callers = callers.Callers(context)
    context.operators = operators.Operators(context, converter)
    context.executors = executors.Executors(context, executor_session)
    context.workers = workers.Workers(context, session, converter)
    context.store = store.Store(
        context, session, settings.store_address, converter
    )
    context.peers = peers.Peers(context)
    return context


async def run(settings: settings_module.Settings) -> None:
    """Runs an entry instance until it was asked to end and has drained."""
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
    event_loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(
            number, context.feed, messages.ShutdownRequested()
        )
    caller_server = servers.make_server(
        context.callers.build_app(),
        settings.callers_listen,
        context.callers.reject_malformed,
    )
    operator_server = servers.make_server(
        context.operators.build_app(), settings.operators_listen
    )
    running = [
        event_loop.create_task(caller_server.serve()),
        event_loop.create_task(operator_server.serve()),
        event_loop.create_task(context.peers.serve()),
    ]
    context.feed(messages.Started())
    await context.exit.wait()
    caller_server.should_exit = True
    operator_server.should_exit = True
    running[2].cancel()
    await asyncio.gather(*running, return_exceptions=True)
    context.peers.connect({})
