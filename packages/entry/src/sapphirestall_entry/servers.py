"""HTTP servers that run on the event loop of the process."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket

import h11
from starlette import responses
from starlette import types
import uvicorn
from uvicorn.protocols.http import h11_impl

from sapphirestall_core import errors

# Time limit for sending the remaining responses after the drain.
CLOSE_TIMEOUT_S = 2
BACKLOG = 1024
# Longer than clients keep idle connections, so that clients close them first.
KEEP_ALIVE_S = 75
# The Date header has a resolution of a second.
DATE_INTERVAL_S = 1.0

RenderRejection = Callable[[str], responses.Response]


class Server(uvicorn.Server):
    """Uvicorn server that installs no signal handlers and does not poll.

    The main loop of `uvicorn.Server` wakes up ten times a second.
    """

    _stop_requested: asyncio.Event | None = None

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the composition root installs them."""
        yield

    def stop(self) -> None:
        """Makes the server finish the requests in flight and return."""
        self.should_exit = True
        if self._stop_requested is not None:
            self._stop_requested.set()

    async def main_loop(self) -> None:
        """Waits until the server is stopped; updates the Date header."""
        self._stop_requested = asyncio.Event()
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DATE_INTERVAL_S):
                    await self._stop_requested.wait()


class Protocol(h11_impl.H11Protocol):
    """Closes a connection on which an invalid request cannot be refused."""

    def send_400_response(self, msg: str) -> None:
        """Refuses a request that is not valid HTTP."""
        # The response has a body, also to a HEAD request.
        with contextlib.suppress(h11.LocalProtocolError):
            self.send_refusal(msg)
        self.transport.close()

    def send_refusal(self, message: str) -> None:
        """Sends the response to a request that is not valid HTTP."""
        super().send_400_response(message)


def _make_protocol(reject: RenderRejection) -> type[Protocol]:
    class RejectingProtocol(Protocol):
        """Answers requests that are not valid HTTP with `reject`."""

        def send_refusal(self, message: str) -> None:
            response = reject(message)
            for event in (
                h11.Response(status_code=400, headers=response.raw_headers),
                h11.Data(data=bytes(response.body)),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")

    return RejectingProtocol


def open_socket(address: str) -> socket.socket:
    """Returns a listening socket.

    All sockets are opened before the first server starts. If a port is in use,
    the process then exits instead of running without one of its interfaces.

    Args:
        address: Address to listen on, as host:port.

    Raises:
        errors.ListenError: The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, OverflowError, ValueError) as error:
        raise errors.ListenError(
            str(error), step="listen", peer=address
        ) from error


def make_server(
    app: types.ASGIApp, reject: RenderRejection | None = None
) -> Server:
    """Returns a server for an application; `serve(sockets=...)` runs it.

    Args:
        app: The application.
        reject: Returns the response to a request that is not valid HTTP; takes
            a description of the error.
    """
    config = uvicorn.Config(
        app,
        lifespan="off",
        log_config=None,
        access_log=False,
        ws="none",
        http=_make_protocol(reject) if reject else Protocol,
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    return Server(config)
