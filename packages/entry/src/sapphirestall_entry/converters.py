"""Conversion between attrs classes and trees of JSON or CBOR values."""

import base64
from typing import Any

import cattrs


def make_converter(*, forbid_extra_keys: bool = False) -> cattrs.Converter:
    """Returns a converter that passes untyped values through unchanged.

    Bytes become base64 text, since JSON has no type for them.
    """
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook_func(
        lambda target: target is object, lambda value, _: value
    )
    converter.register_unstructure_hook(bytes, _write_bytes)
    converter.register_structure_hook(bytes, _read_bytes)
    return converter


def _write_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")


def _read_bytes(value: Any, target: type) -> bytes:
    return base64.b64decode(value, validate=True)
