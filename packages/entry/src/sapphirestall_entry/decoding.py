"""What all decoders of documents from other processes share.

A decoder refuses a document with one of `DECODE_ERRORS` and describes the value
that it refuses with `describe`.
"""

import binascii
from collections.abc import Iterable
import contextlib
from typing import Any

import cattrs

from sapphirestall_core import errors

ERROR_STEP = "decode"
# Documents are decoded, compared and described recursively; deeper nesting
# would exceed the recursion limit.
MAX_DEPTH = 64
# Larger integers are not exact as floats, and their sums may exceed the 64 bits
# that can be encoded.
MAX_INTEGER = 2**53 - 1
MAX_DESCRIPTION_CHARACTERS = 60
MAX_ERROR_CHARACTERS = 120

# Raised by a decoder for a document that it can't read.
DECODE_ERRORS = (
    errors.InvalidMessageError,
    cattrs.BaseValidationError,
    binascii.Error,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def make_error(detail: str) -> errors.InvalidMessageError:
    """Returns the error for a document that can't be decoded."""
    return errors.InvalidMessageError(detail, step=ERROR_STEP)


def check_depth(tree: Any) -> None:
    """Checks how deeply the lists and objects of a JSON value are nested.

    Raises:
        errors.InvalidMessageError: The nesting is deeper than `MAX_DEPTH`.
    """
    level = _select_containers([tree])
    for _ in range(MAX_DEPTH):
        if not level:
            return
        level = [child for node in level for child in _list_children(node)]
    if level:
        raise make_error(f"nested deeper than {MAX_DEPTH} levels")


def _list_children(node: Any) -> list[Any]:
    return _select_containers(node.values() if isinstance(node, dict) else node)


def _select_containers(values: Iterable[Any]) -> list[Any]:
    return [value for value in values if isinstance(value, dict | list)]


def describe(value: object) -> str:
    """Returns a short text for a value of any size and depth."""
    if isinstance(value, str):
        return repr(value[:MAX_DESCRIPTION_CHARACTERS])[
            :MAX_DESCRIPTION_CHARACTERS
        ]
    if isinstance(value, int | float | None):
        return repr(value)
    return f"a value of type {type(value).__name__}"


def describe_error(error: Exception) -> str:
    """Returns a short text for an exception.

    For a group, which cattrs raises, it tells the first cause.
    """
    context = ""
    cause: BaseException = error
    if isinstance(error, BaseExceptionGroup):
        context = f"{error.message}: "
    while isinstance(cause, BaseExceptionGroup):
        cause = cause.exceptions[0]
    text = type(cause).__name__
    # The text of an error that names a key fails if the key is not a text.
    with contextlib.suppress(*DECODE_ERRORS):
        text += f": {cause}"
    return f"{context}{text}"[:MAX_ERROR_CHARACTERS]
