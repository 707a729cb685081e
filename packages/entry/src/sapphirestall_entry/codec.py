"""CBOR encoding of the messages between entry instances."""

import cattrs
import cbor2

from sapphirestall_core import errors
from sapphirestall_core import peer_messages
from sapphirestall_entry import converters

_TYPES: dict[str, type[peer_messages.PeerMessage]] = {
    subclass.__name__: subclass
    for subclass in peer_messages.PeerMessage.__subclasses__()
}
_converter = converters.make_converter(forbid_extra_keys=True)


def encode(message: peer_messages.PeerMessage) -> bytes:
    """Returns one frame: a map with the message's type and fields."""
    fields = _converter.unstructure(message)
    return cbor2.dumps({"type": type(message).__name__, "fields": fields})


def decode(frame: bytes, peer: str) -> peer_messages.PeerMessage:
    """Returns the message in a frame.

    Raises:
        errors.InvalidMessageError: The frame is truncated, of an unknown type
            or has wrong fields.
    """
    try:
        tree = cbor2.loads(frame)
        return _converter.structure(tree["fields"], _TYPES[tree["type"]])
    except (
        cbor2.CBORError,
        cattrs.BaseValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.InvalidMessageError(
            f"invalid frame: {error!r}", step="decode", peer=peer
        ) from error
