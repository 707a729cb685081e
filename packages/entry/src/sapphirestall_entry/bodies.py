"""Reading and parsing of JSON request bodies, with limits."""

import json
from typing import Any

from starlette import requests

from sapphirestall_core import errors
from sapphirestall_entry import decoding


class BodyTooLargeError(errors.InvalidMessageError):
    """A body exceeds the size limit."""

    code = "body_too_large"


async def read(request: requests.Request, limit_bytes: int) -> bytes:
    """Reads the body of a request; stops at the size limit.

    Args:
        request: The request.
        limit_bytes: Largest allowed size of the body, in bytes.

    Raises:
        BodyTooLargeError: The body exceeds the limit.
        errors.InvalidMessageError: The client disconnected before the body was
            complete.
    """
    chunks, size = [], 0
    try:
        async for chunk in request.stream():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit_bytes:
                raise BodyTooLargeError(
                    f"allowed: {limit_bytes} bytes", step="read"
                )
    except requests.ClientDisconnect as error:
        raise errors.InvalidMessageError(
            "the client disconnected before the body was complete", step="read"
        ) from error
    return b"".join(chunks)


def parse(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
        errors.InvalidMessageError: The body is not valid JSON (RFC 8259), is
            not an object or is nested too deeply.
    """
    try:
        tree = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidMessageError(
            f"invalid JSON: {error!s:.200}", step="decode"
        ) from error
    if not isinstance(tree, dict):
        raise errors.InvalidMessageError(
            f"expected an object, got {type(tree).__name__}", step="decode"
        )
    decoding.check_depth(tree)
    return tree


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")
