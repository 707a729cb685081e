"""CBOR encoding of the messages between entry instances."""

import functools
import io
from typing import Any

import cbor2

from sapphirestall_core import errors
from sapphirestall_core import peer_messages
from sapphirestall_entry import converters
from sapphirestall_entry import decoding

# Fields that have their default value are left out, which keeps heartbeats, by
# far the most frequent frames, short.
_converter = converters.make_converter(
    forbid_extra_keys=True, omit_if_default=True
)


@functools.cache
def _list_types() -> dict[str, type[peer_messages.PeerMessage]]:
    return {
        subclass.__name__: subclass
        for subclass in peer_messages.PeerMessage.__subclasses__()
    }


def encode(message: peer_messages.PeerMessage) -> bytes:
    """Returns a message as one frame: a map of its type and its fields."""
    fields: dict[str, Any] = _converter.unstructure(message)
    return cbor2.dumps({"type": type(message).__name__, **fields})


def decode(frame: bytes, peer: str) -> peer_messages.PeerMessage:
    """Returns the message in a frame.

    Args:
        frame: Bytes received from the peer.
        peer: Instance id of the peer, for the error.

    Raises:
        errors.InvalidMessageError: The frame is truncated, is followed by
            other bytes, is of an unknown type or has invalid fields.
    """
    try:
        stream = io.BytesIO(frame)
        tree = cbor2.load(stream)
        if stream.read(1):
            raise ValueError("trailing bytes after the message")
        message_type = _list_types()[tree.pop("type")]
        return _converter.structure(tree, message_type)
    except (cbor2.CBORError, *decoding.DECODE_ERRORS) as error:
        detail = f"invalid frame: {decoding.describe_error(error)}"
        raise errors.InvalidMessageError(
            detail, step=decoding.ERROR_STEP, peer=peer
        ) from error
