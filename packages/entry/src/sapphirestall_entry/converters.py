"""Conversion between attrs classes and trees of JSON or CBOR values."""

import cattrs


def make_converter(*, forbid_extra_keys: bool = False) -> cattrs.Converter:
    """Returns a converter that passes untyped values through unchanged."""
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook_func(
        lambda target: target is object, lambda value, _: value
    )
    return converter
