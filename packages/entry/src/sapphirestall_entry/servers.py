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


def open_listener(address: str) -> socket.socket:
    """Returns a listening socket.

    Raises:
        errors.ListenError: The address is in use or not of this machine.
    """
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=BACKLOG,
        )
    except OSError as error:
        raise errors.ListenError(
            f"cannot listen on {address}: {error}", step="start", peer=address
        ) from error


def make_server(app: types.ASGIApp) -> Server:
    """Returns a server for an application; `serve()` runs it."""
    config = uvicorn.Config(
        app,
        lifespan="off",
        log_config=None,
        access_log=False,
        ws="none",
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    return Server(config)
