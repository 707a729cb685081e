"""HTTP servers on the loop of the process."""

from collections.abc import Iterator
import contextlib
import socket

from starlette import types
import uvicorn

from sapphirestall_core import errors

# Answers that are ready get this long to leave after the drain ended.
CLOSE_TIMEOUT_S = 2
BACKLOG = 1024


class Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the composition root has its own."""
        yield


def open_socket(address: str) -> socket.socket:
    """Returns a listening socket.

    Sockets are opened before anything is served, so that a port that is taken
    ends the process instead of leaving a part of it deaf.

    Raises:
        errors.ListenError: The address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except OSError as error:
        raise errors.ListenError(
            str(error), step="listen", peer=address
        ) from error


def make_server(app: types.ASGIApp) -> Server:
    """Returns a server for an application; `serve(sockets=...)` runs it."""
    config = uvicorn.Config(
        app,
        lifespan="off",
        log_config=None,
        access_log=False,
        ws="none",
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    return Server(config)
