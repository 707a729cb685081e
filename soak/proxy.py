"""TCP proxies between the parties of a soak, through which faults act."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
from typing import Any
import weakref

import attrs

from standins import fleet

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.05
STALL_S = 10.0


class Direction(enum.Enum):
    """Direction of data, as seen by the party that opens the connection."""

    # A soak writes these values into its list of faults.
    OUTBOUND = "forth"
    INBOUND = "back"


@attrs.define(eq=False)
class Connection:
    """A connection through a link.

    Attributes:
        transports: Transports to the source and, once connected, to the target.
        stalled: Whether it passes nothing on any more.
    """

    transports: list[asyncio.WriteTransport] = attrs.field(factory=list)
    stalled: bool = False

    def abort(self) -> None:
        """Resets both sides."""
        for transport in self.transports:
            transport.abort()


@attrs.define(eq=False)
class Link:
    """Proxy for all connections from one party to another.

    Attributes:
        source: Party that opens the connections.
        target: Party that accepts them.
        network: Network that the link belongs to.
        host: Host at which the target listens.
        port: Port at which the target listens.
        address: Address at which the link listens, as host:port.
        blocked: Number of faults that block the data, by direction.
        delay_s: Delay of each chunk of data in each direction, in seconds.
        resets: Number of faults that reset each new connection.
        connections: Open connections.
    """

    source: str
    target: str
    network: Network
    host: str
    port: int
    address: str = ""
    blocked: collections.Counter[Direction] = attrs.field(
        factory=collections.Counter
    )
    delay_s: float = 0.0
    resets: int = 0
    connections: set[Connection] = attrs.field(factory=set)

    async def listen(self) -> None:
        """Starts to accept connections on a free port."""
        server = await asyncio.start_server(
            self._accept, fleet.HOST, 0, backlog=256
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{fleet.HOST}:{port}"

    def reset(self) -> None:
        """Resets all open connections."""
        for connection in list(self.connections):
            connection.abort()

    def stall(self) -> None:
        """Stalls all open connections; new ones are not affected."""
        for connection in self.connections:
            connection.stalled = True

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._pass_on(reader, writer))
        self.network.tasks.add(task)
        task.add_done_callback(self.network.tasks.discard)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection([writer.transport])
        if self.resets:
            connection.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            connection.abort()
            return
        # The target identifies the source by these addresses.
        endpoints = target_writer.get_extra_info("sockname"), self.port
        self.network.sources_by_endpoints[endpoints] = self.source
        connection.transports.append(target_writer.transport)
        self.connections.add(connection)
        copies = [
            self._copy(reader, target_writer, Direction.OUTBOUND, connection),
            self._copy(target_reader, writer, Direction.INBOUND, connection),
        ]
        try:
            await asyncio.gather(*copies)
        finally:
            connection.abort()
            self.connections.discard(connection)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        connection: Connection,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.blocked[direction]:
                    await asyncio.sleep(POLL_INTERVAL_S)
                if not connection.stalled:
                    writer.write(data)
                    await writer.drain()
        while self.blocked[direction]:
            await asyncio.sleep(POLL_INTERVAL_S)
        if connection.stalled:
            # The other party does not notice the end of the connection either.
            await asyncio.sleep(STALL_S)
        writer.close()


@attrs.define(eq=False)
class Network:
    """All links of a soak.

    Attributes:
        links: Links by source and target.
        sources_by_endpoints: Source of the last connection with a local address
            and a target port. Connections to different ports may have the same
            local address.
        sources_by_transport: Source of each connection, by its transport at the
            target.
        tasks: Tasks of the open connections.
    """

    links: dict[tuple[str, str], Link] = attrs.field(factory=dict)
    sources_by_endpoints: dict[Any, str] = attrs.field(factory=dict)
    sources_by_transport: weakref.WeakKeyDictionary[Any, str] = attrs.field(
        factory=weakref.WeakKeyDictionary
    )
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def connect(
        self, source: str, target: str, host: str, port: int
    ) -> Link:
        """Adds a link.

        Args:
            source: Party that opens the connections.
            target: Party that accepts them.
            host: Host at which the target listens.
            port: Port at which the target listens.
        """
        link = Link(source, target, self, host, port)
        await link.listen()
        self.links[(source, target)] = link
        return link

    async def close(self) -> None:
        """Closes all connections."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def identify_caller(self, transport: Any) -> str:
        """Returns the source of a connection; empty if it is not known.

        Args:
            transport: Transport of the connection at the target; None if the
                connection is already closed.
        """
        if transport is None:
            return ""
        if transport not in self.sources_by_transport:
            peer = transport.get_extra_info("peername")
            own = transport.get_extra_info("sockname")
            endpoints = peer, own[1] if own else 0
            self.sources_by_transport[transport] = (
                self.sources_by_endpoints.get(endpoints, "")
            )
        return self.sources_by_transport[transport]

    def find(self, *parties: str) -> list[Link]:
        """Returns all links from or to any of the parties."""
        return [
            link
            for endpoints, link in self.links.items()
            if set(endpoints) & set(parties)
        ]
