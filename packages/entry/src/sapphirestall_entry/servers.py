"""HTTP servers on the loop of the process."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import h11
from starlette import applications
from starlette import responses
import uvicorn
from uvicorn.protocols.http import h11_impl

Reject = Callable[[str], responses.Response]


class Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers; the composition root has its own."""
        yield


def _make_protocol(reject: Reject) -> type[h11_impl.H11Protocol]:
    class Protocol(h11_impl.H11Protocol):
        """Answers bytes that are not HTTP in the form of other refusals."""

        def send_400_response(self, msg: str) -> None:
            response = reject(msg)
            for event in (
                h11.Response(status_code=400, headers=response.raw_headers),
                h11.Data(data=bytes(response.body)),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")
            self.transport.close()

    return Protocol


def make_server(
    app: applications.Starlette, address: str, reject: Reject | None = None
) -> Server:
    """Returns a server for an application; `serve()` runs it.

    Args:
        app: The application.
        address: `host:port`.
        reject: Renders the answer to a request that is not valid HTTP.
    """
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        lifespan="off",
        log_config=None,
        access_log=False,
        ws="none",
        http=_make_protocol(reject) if reject else "auto",
    )
    return Server(config)
