"""WebSocket links between entry instances.

Each instance opens links to the peers that the core names. A link carries
messages in both directions, so that an instance that is not yet in its peers'
instance lists can be answered.
"""

import asyncio
from collections.abc import AsyncIterable
import logging
import random
import socket

import attrs
from websockets import exceptions
from websockets import frames
from websockets.asyncio import client
from websockets.asyncio import connection as websocket
from websockets.asyncio import server

from sapphirestall_core import errors
from sapphirestall_core import peer_messages
from sapphirestall_entry import codec
from sapphirestall_entry import context as context_module

RECONNECT_DELAY_S = 0.5
MAX_RECONNECT_DELAY_S = 2.0
OPEN_TIMEOUT_S = 1.0
# If more messages wait on a link, the oldest are dropped. Heartbeats are
# repeated anyway.
MAX_QUEUED_MESSAGES = 256
MAX_FRAME_BYTES = 2_000_000
INSTANCE_ID_HEADER = "X-Instance-Id"

logger = logging.getLogger("peers")


def _make_queue() -> asyncio.Queue[bytes]:
    return asyncio.Queue(MAX_QUEUED_MESSAGES)


@attrs.define
class Link:
    """An outgoing link to one peer.

    Attributes:
        peer_id: Instance id of the peer.
        address: Address of the peer, as host:port.
        queue: Frames to send; None while the link is not open.
        task: Task that keeps the link open.
    """

    peer_id: str
    address: str
    queue: asyncio.Queue[bytes] | None = None
    task: asyncio.Task[None] | None = None


@attrs.define
class Peers:
    """Opens and accepts the links of this instance.

    Attributes:
        context: Adapters and settings of the process.
        links: Links that this instance opens, by peer id.
        incoming: Frames to send on links that peers opened, by peer id.
    """

    context: context_module.Context
    links: dict[str, Link] = attrs.field(factory=dict)
    incoming: dict[str, asyncio.Queue[bytes]] = attrs.field(factory=dict)

    async def serve(self, listener: socket.socket) -> None:
        """Accepts links of peers until cancelled."""
        # Compression would take about 300 KB of memory for each link.
        async with server.serve(
            self._accept,
            sock=listener,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        ) as running_server:
            await running_server.serve_forever()

    async def _accept(self, connection: server.ServerConnection) -> None:
        assert connection.request is not None
        peer_id = connection.request.headers.get(INSTANCE_ID_HEADER, "")
        if not peer_id:
            self.context.counters.count_refusal("peers", "no_instance_id")
            return
        queue = _make_queue()
        self.incoming[peer_id] = queue
        try:
            await self._exchange(connection, peer_id, queue)
        finally:
            if self.incoming.get(peer_id) is queue:
                del self.incoming[peer_id]
            self.context.feed(peer_messages.PeerLost(peer_id))

    async def _exchange(
        self,
        connection: websocket.Connection,
        peer_id: str,
        queue: asyncio.Queue[bytes],
    ) -> None:
        """Sends and receives frames until the connection ends."""
        loop = asyncio.get_running_loop()
        send_task = loop.create_task(_send_all(connection, queue))
        try:
            await self._receive_all(connection, peer_id)
        except exceptions.ConnectionClosed as error:
            sent = error.sent
            if sent and sent.code == frames.CloseCode.MESSAGE_TOO_BIG:
                self.context.counters.count_refusal("peers", "frame_too_long")
                logger.warning("peers: frame too long peer=%s", peer_id)
        finally:
            send_task.cancel()

    async def _receive_all(
        self, incoming_frames: AsyncIterable[str | bytes], peer_id: str
    ) -> None:
        async for frame in incoming_frames:
            self._handle_frame(frame, peer_id)

    def _handle_frame(self, frame: str | bytes, peer_id: str) -> None:
        try:
            if isinstance(frame, str):
                raise errors.InvalidMessageError(
                    "text frame", step="decode", peer=peer_id
                )
            message = codec.decode(frame, peer_id)
        except errors.InvalidMessageError as error:
            self.context.counters.count_refusal("peers", error.code)
            logger.warning("peers: dropped a frame: %s", error)
            return
        self.context.feed(peer_messages.PeerReceived(peer_id, message))

    def connect(self, addresses: dict[str, str]) -> None:
        """Opens links to new peers and closes links to removed ones.

        Args:
            addresses: Addresses as host:port of all peers to which this
                instance keeps a link, by peer id.
        """
        for peer_id in set(self.links) - set(addresses):
            self._close(self.links.pop(peer_id))
        for peer_id, address in addresses.items():
            link = self.links.get(peer_id)
            if link and link.address == address:
                continue
            if link:
                self._close(link)
            link = Link(peer_id, address)
            link.task = self.context.spawn(self._maintain_link(link))
            self.links[peer_id] = link

    def _close(self, link: Link) -> None:
        if link.task:
            link.task.cancel()

    async def _maintain_link(self, link: Link) -> None:
        delay_s = RECONNECT_DELAY_S
        while True:
            try:
                await self._open(link)
                delay_s = RECONNECT_DELAY_S
            except (OSError, TimeoutError, exceptions.WebSocketException):
                self.context.counters.count_retry("peers", "connect_failed")
                delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)
            # Jitter keeps the peers of a restarted instance from reconnecting
            # at the same moment.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))

    async def _open(self, link: Link) -> None:
        identity = self.context.identity
        async with client.connect(
            f"ws://{link.address}",
            additional_headers={INSTANCE_ID_HEADER: identity.instance_id},
            open_timeout=OPEN_TIMEOUT_S,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        ) as connection:
            link.queue = _make_queue()
            try:
                await self._exchange(connection, link.peer_id, link.queue)
            finally:
                link.queue = None

    def send(self, effect: peer_messages.SendPeer) -> None:
        """Queues a message; drops it if there is no link to the peer."""
        link = self.links.get(effect.peer_id)
        queue = link.queue if link else None
        if queue is None:
            queue = self.incoming.get(effect.peer_id)
        if queue is None:
            self.context.counters.count_refusal("peers", "not_linked")
            return
        if queue.full():
            queue.get_nowait()
            self.context.counters.count_refusal("peers", "queue_full")
        queue.put_nowait(codec.encode(effect.message))


async def _send_all(
    connection: websocket.Connection, queue: asyncio.Queue[bytes]
) -> None:
    try:
        while True:
            await connection.send(await queue.get())
    except exceptions.ConnectionClosed:
        # The receive loop gets the same error and closes the link.
        return
