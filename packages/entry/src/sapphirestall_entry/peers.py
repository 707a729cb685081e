"""WebSocket links between entry instances.

Each instance sends on the connections that it opened and receives on those
that the others opened, so that no link needs to be negotiated.
"""

import asyncio
import logging
import socket

import attrs
from websockets import exceptions
from websockets.asyncio import client
from websockets.asyncio import server

from sapphirestall_core import errors
from sapphirestall_core import peer_messages
from sapphirestall_entry import codec
from sapphirestall_entry import context as context_module

RECONNECT_S = 0.5
OPEN_TIMEOUT_S = 1.0
QUEUE_LIMIT = 256
MAX_FRAME_BYTES = 2_000_000
ID_HEADER = "X-Instance-Id"

logger = logging.getLogger("peers")


@attrs.define
class Link:
    """An outgoing connection to one peer.

    Attributes:
        queue: Frames to send; the oldest is dropped when it is full.
    """

    peer_id: str
    address: str
    queue: asyncio.Queue[bytes]
    task: asyncio.Task[None] | None = None


@attrs.define
class Peers:
    """All links of this instance."""

    context: context_module.Context
    links: dict[str, Link] = attrs.field(factory=dict)

    async def serve(self, listener: socket.socket) -> None:
        """Receives messages of peers on a socket until cancelled."""
        async with server.serve(
            self._receive, sock=listener, max_size=MAX_FRAME_BYTES
        ) as running:
            await running.serve_forever()

    async def _receive(self, connection: server.ServerConnection) -> None:
        assert connection.request is not None
        peer_id = connection.request.headers.get(ID_HEADER, "")
        try:
            async for frame in connection:
                if isinstance(frame, bytes):
                    self._take(frame, peer_id)
        except exceptions.ConnectionClosed:
            pass
        self.context.feed(peer_messages.PeerLost(peer_id))

    def _take(self, frame: bytes, peer_id: str) -> None:
        try:
            message = codec.decode(frame, peer_id)
        except errors.InvalidMessageError as error:
            self.context.counters.count_refusal("peers", error.code)
            logger.warning("peers: dropped a frame: %s", error)
            return
        self.context.feed(peer_messages.PeerReceived(peer_id, message))

    def connect(self, addresses: dict[str, str]) -> None:
        """Opens links to new peers and closes links to removed ones."""
        for peer_id in set(self.links) - set(addresses):
            self._close(self.links.pop(peer_id))
        for peer_id, address in addresses.items():
            link = self.links.get(peer_id)
            if link and link.address == address:
                continue
            if link:
                self._close(link)
            link = Link(peer_id, address, asyncio.Queue(QUEUE_LIMIT))
            link.task = asyncio.get_running_loop().create_task(self._run(link))
            self.links[peer_id] = link

    def _close(self, link: Link) -> None:
        if link.task:
            link.task.cancel()

    async def _run(self, link: Link) -> None:
        while True:
            try:
                await self._send_all(link)
            except (OSError, TimeoutError, exceptions.WebSocketException):
                self.context.counters.count_retry("peers", "connect_failed")
            await asyncio.sleep(RECONNECT_S)

    async def _send_all(self, link: Link) -> None:
        identity = self.context.identity
        async with client.connect(
            f"ws://{link.address}",
            additional_headers={ID_HEADER: identity.instance_id},
            open_timeout=OPEN_TIMEOUT_S,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
        ) as connection:
            while True:
                await connection.send(await link.queue.get())

    def send(self, effect: peer_messages.SendPeer) -> None:
        """Queues a message; drops the oldest when the queue is full."""
        link = self.links.get(effect.peer_id)
        if link is None:
            return
        if link.queue.full():
            link.queue.get_nowait()
            self.context.counters.count_refusal("peers", "queue_full")
        link.queue.put_nowait(codec.encode(effect.message))
