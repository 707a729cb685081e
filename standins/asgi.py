"""Calls an ASGI application in the same process, without sockets."""

import json
from typing import Any

import attrs


@attrs.define
class Reply:
    """An answer of the application."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    def decode(self) -> Any:
        """Returns the JSON value in the body."""
        return json.loads(self.body)


async def call(
    app: Any, method: str, target: str, body: bytes = b"", chunk: int = 65536
) -> Reply:
    """Sends a request and returns the complete answer.

    Args:
        app: The application.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        chunk: Size of the parts in which the body is sent, in bytes.
    """
    path, _, query = target.partition("?")
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "root_path": "",
        "query_string": query.encode(),
        "headers": [(b"host", b"test")],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
    }
    chunks = [body[i : i + chunk] for i in range(0, len(body), chunk)] or [b""]
    pending = [
        {"type": "http.request", "body": part, "more_body": True}
        for part in chunks
    ]
    pending[-1]["more_body"] = False
    reply = Reply()

    async def receive() -> dict[str, Any]:
        return pending.pop(0) if pending else {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            reply.status = message["status"]
            reply.headers = {
                name.decode(): value.decode()
                for name, value in message["headers"]
            }
        else:
            reply.body += message.get("body", b"")

    await app(scope, receive, send)
    return reply
