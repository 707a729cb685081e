"""A TCP relay that can interrupt its connections."""

import asyncio
import contextlib

import attrs

from standins import fleet as fleet_module

CHUNK_BYTES = 65_536


@attrs.define
class Relay:
    """Forwards connections to an address unless it is disconnected.

    Attributes:
        target: `host:port` to which connections are forwarded.
        address: `host:port` at which it listens.
        is_disconnected: Whether connections are aborted instead.
        server: The listening server.
        writers: Writers of both ends of open connections.
        tasks: Tasks that copy data.
    """

    target: str
    address: str = ""
    is_disconnected: bool = False
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts listening on a free port."""
        port = fleet_module.find_port()
        self.address = f"{fleet_module.HOST}:{port}"
        self.server = await asyncio.start_server(
            self._accept, fleet_module.HOST, port
        )

    def disconnect(self) -> None:
        """Aborts all open connections and each new one."""
        self.is_disconnected = True
        for writer in self.writers:
            writer.transport.abort()

    def reconnect(self) -> None:
        """Forwards new connections again."""
        self.is_disconnected = False

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        self.disconnect()
        if self.server is not None:
            self.server.close()
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_disconnected:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        copies = {
            asyncio.create_task(_copy(reader, target_writer)),
            asyncio.create_task(_copy(target_reader, writer)),
        }
        self.tasks |= copies
        await asyncio.wait(copies)
        self.tasks -= copies
        self.writers -= {writer, target_writer}


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()
