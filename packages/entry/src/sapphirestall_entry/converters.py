"""Conversion between attrs classes and trees of JSON or CBOR values."""

import base64
import enum
import typing
from typing import Any

import cattrs

from sapphirestall_entry import decoding


def make_converter(
    *,
    forbid_extra_keys: bool = False,
    omit_if_default: bool = False,
    max_integer: int | None = None,
) -> cattrs.Converter:
    """Returns a converter that checks the types of all values.

    Values of type `object` pass unchanged. Bytes are written as base64 text,
    since JSON has no type for them. The hooks reject values of another type;
    cattrs alone would silently convert between numbers and strings.

    Args:
        forbid_extra_keys: Whether unknown fields are errors.
        omit_if_default: Whether fields that have their default value are left
            out when an object is written.
        max_integer: Largest absolute value of an integer; None for no limit.
    """
    converter = cattrs.Converter(
        forbid_extra_keys=forbid_extra_keys, omit_if_default=omit_if_default
    )
    converter.register_structure_hook_func(
        lambda target: target is object, lambda value, _: value
    )
    converter.register_unstructure_hook(bytes, _write_bytes)
    converter.register_structure_hook(bytes, _read_bytes)
    converter.register_structure_hook(str, _read_string)
    # Otherwise the hook for `str` is used for the members of enumerations too.
    converter.register_structure_hook(enum.StrEnum, _read_member)
    converter.register_structure_hook(
        int, lambda value, _: _read_integer(value, max_integer)
    )
    converter.register_structure_hook(float, _read_number)
    converter.register_structure_hook(bool, _read_boolean)
    converter.register_structure_hook_func(
        _is_sequence,
        lambda value, target: _read_sequence(value, target, converter),
    )
    return converter


def _write_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")


def _read_bytes(value: Any, _: type) -> bytes:
    return base64.b64decode(_read_string(value, str), validate=True)


def _read_string(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{decoding.describe(value)} is not a string")
    return value


def _read_member(value: Any, target: type[enum.StrEnum]) -> enum.StrEnum:
    return target(_read_string(value, str))


def _read_integer(value: Any, maximum: int | None) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{decoding.describe(value)} is not an integer")
    if maximum is not None and abs(value) > maximum:
        raise ValueError(f"{decoding.describe(value)} is too large")
    return value


def _read_number(value: Any, _: type) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{decoding.describe(value)} is not a number")
    return float(value)


def _read_boolean(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{decoding.describe(value)} is not a boolean")
    return value


def _is_sequence(target: Any) -> bool:
    origin = typing.get_origin(target)
    return origin is list or origin is tuple


def _read_sequence(value: Any, target: Any, converter: cattrs.Converter) -> Any:
    # cattrs would accept a string as a sequence of its characters and a map as
    # a sequence of its keys.
    if not isinstance(value, list | tuple):
        raise TypeError(f"{decoding.describe(value)} is not a list")
    kind, inner = typing.get_origin(target), typing.get_args(target)
    if kind is list or inner[1:] == (...,):
        return kind(converter.structure(item, inner[0]) for item in value)
    if len(value) != len(inner):
        raise TypeError(
            f"{decoding.describe(value)} does not have {len(inner)} items"
        )
    pairs = zip(value, inner, strict=True)
    return tuple(converter.structure(item, part) for item, part in pairs)
