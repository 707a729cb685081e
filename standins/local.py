"""Runs an entry instance and an executor on the event loop of a test.

The entry instance has no store and no peers; its state is set directly.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import logging
from typing import Any

import aiohttp
from aiohttp import web
import attrs

from sapphirestall_core import configuration
from sapphirestall_core import membership
from sapphirestall_core import policy
from sapphirestall_core import state as state_module
from sapphirestall_entry import composition
from sapphirestall_entry import context as context_module
from sapphirestall_entry import servers
from sapphirestall_entry import settings as settings_module
from standins import executor as executor_module
from standins import fleet
from standins import traffic

MAX_BODY_BYTES = 10_000


@attrs.define
class LocalEntry:
    """An entry instance with one executor.

    Attributes:
        context: Context of the entry daemon.
        state: State of its core.
        executor: The executor.
        server: Server of the entry instance for callers.
        address: Address of the server.
        session: Connections of callers.
    """

    context: context_module.Context
    state: state_module.Instance
    executor: executor_module.Executor
    server: servers.Server
    address: str
    session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        """URL of the service."""
        return f"http://{self.address}/v1/services/{traffic.SERVICE}"

    async def post(
        self, operation: str, headers: dict[str, str] | None = None, **more: Any
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Sends a request of a caller; returns the answer and its body."""
        async with self.session.post(
            f"{self.url}/{operation}", headers=headers, **more
        ) as response:
            return response, await response.read()

    def count_refusals(self, part: str, code: str) -> int:
        """Returns the value of a counter of refusals."""
        labels = {"part": part, "code": code}
        try:
            return int(self.context.counters.refusals.get(labels))
        except KeyError:
            return 0


def _make_settings() -> settings_module.Settings:
    ports = [f"{fleet.HOST}:{fleet.find_port()}" for _ in range(4)]
    return settings_module.check(
        {
            "instance_id": "entry-0",
            "data_centre": "sefrou",
            "callers_listen": ports[0],
            "operators_listen": ports[1],
            "peers_listen": ports[2],
            "store_address": ports[3],
            "max_body_bytes": MAX_BODY_BYTES,
        }
    )


def _set_state(instance: state_module.Instance, address: str) -> None:
    body: dict[str, object] = dict(traffic.CONFIGURATION)
    instance.configuration.adopt(configuration.Document(1, body))
    instance.policy = policy.parse(body)
    listing = membership.Listing(
        "executor-0",
        membership.Kind.EXECUTOR,
        "sefrou",
        address,
        service=traffic.SERVICE,
    )
    instance.members.replace_listings((listing,))


@contextlib.asynccontextmanager
async def run() -> AsyncIterator[LocalEntry]:
    """Runs an entry instance and an executor until the block ends."""
    settings = _make_settings()
    app = executor_module.build_app("executor-0", 8, 0.0)
    runner = web.AppRunner(app, access_log=None)
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
    await runner.setup()
    port = fleet.find_port()
    await web.TCPSite(runner, fleet.HOST, port).start()
    async with (
        aiohttp.ClientSession() as session,
        aiohttp.ClientSession() as store_session,
        aiohttp.ClientSession(auto_decompress=False) as executor_session,
    ):
        context = composition.build(settings, store_session, executor_session)
        instance = context.core
        _set_state(instance, f"{fleet.HOST}:{port}")
        server = servers.make_server(
            context.callers.build_app(),
            context.callers.reject_malformed,
        )
        listener = servers.open_socket(settings.callers_listen)
        serving = asyncio.get_running_loop().create_task(
            server.serve(sockets=[listener])
        )
        while not server.started:
            await asyncio.sleep(0.01)
        yield LocalEntry(
            context,
            instance,
            app[executor_module.EXECUTOR],
            server,
            settings.callers_listen,
            session,
        )
        server.stop()
        await serving
    await runner.cleanup()
