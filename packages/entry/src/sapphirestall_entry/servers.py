"""HTTP servers on the loop of the process."""

from collections.abc import Iterator
import contextlib

from starlette import applications
import uvicorn


class Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the composition root has its own."""
        yield


def make_server(app: applications.Starlette, address: str) -> Server:
    """Returns a server for an application; `serve()` runs it."""
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        lifespan="off",
        log_config=None,
        access_log=False,
        ws="none",
    )
    return Server(config)
