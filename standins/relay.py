"""A relay of TCP connections that a test cuts and heals."""

import asyncio
import contextlib

import attrs

from standins import fleet as fleet_module

CHUNK_BYTES = 65_536


@attrs.define
class Relay:
    """Passes connections on to one address until it is cut.

    Attributes:
        address: `host:port` at which it listens.
        target: `host:port` that it connects to.
        writers: Open connections, which a cut aborts.
        tasks: Tasks that copy.
    """

    target: str
    address: str = ""
    is_cut: bool = False
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Starts to listen."""
        port = fleet_module.find_port()
        self.address = f"{fleet_module.HOST}:{port}"
        self.server = await asyncio.start_server(
            self._accept, fleet_module.HOST, port
        )

    def cut(self) -> None:
        """Aborts all connections and every later one."""
        self.is_cut = True
        for writer in self.writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Passes later connections on again."""
        self.is_cut = False

    async def stop(self) -> None:
        """Stops to listen and ends all connections."""
        self.cut()
        if self.server is not None:
            self.server.close()
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, forth}
        copies = {
            asyncio.create_task(_copy(reader, forth)),
            asyncio.create_task(_copy(back, writer)),
        }
        self.tasks |= copies
        await asyncio.wait(copies)
        self.tasks -= copies
        self.writers -= {writer, forth}


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()
