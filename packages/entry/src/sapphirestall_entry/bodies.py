"""Decoding of JSON bodies from outside, with limits."""

import json
from typing import Any

from starlette import requests

from sapphirestall_core import errors

# Deeper trees exceed the recursion limit where they are merged and compared.
DEPTH_LIMIT = 64


class TooLargeError(errors.InvalidMessageError):
    """A body exceeds the size limit."""

    code = "body_too_large"


async def read(request: requests.Request, limit_bytes: int) -> bytes:
    """Returns a body without holding more than the limit.

    Raises:
        TooLargeError: The body exceeds the limit.
        errors.InvalidMessageError: The client ended the body early.
    """
    chunks, size = [], 0
    try:
        async for chunk in request.stream():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit_bytes:
                raise TooLargeError(
                    f"allowed: {limit_bytes} bytes", step="read"
                )
    except requests.ClientDisconnect as error:
        raise errors.InvalidMessageError(
            "the body ended early", step="read"
        ) from error
    return b"".join(chunks)


def parse(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a body.

    Raises:
        errors.InvalidMessageError: The body is not JSON (RFC 8259), no object
            or nested too deeply.
    """
    try:
        tree = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidMessageError(
            f"not JSON: {error!s:.200}", step="decode"
        ) from error
    if not isinstance(tree, dict):
        raise errors.InvalidMessageError(
            f"{type(tree).__name__} instead of an object", step="decode"
        )
    if _is_deeper(tree, DEPTH_LIMIT):
        raise errors.InvalidMessageError(
            f"nested deeper than {DEPTH_LIMIT} levels", step="decode"
        )
    return tree


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def _is_deeper(tree: object, limit: int) -> bool:
    level: list[object] = [tree]
    for _ in range(limit):
        inner: list[object] = []
        for node in level:
            if isinstance(node, dict):
                inner += node.values()
            elif isinstance(node, list):
                inner += node
        if not inner:
            return False
        level = inner
    return True
