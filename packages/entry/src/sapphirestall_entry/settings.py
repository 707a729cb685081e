"""YAML settings of the daemon, validated as a whole."""

import pathlib
from typing import Any

import attrs
import cattrs
import yaml

from sapphirestall_core import errors

LOG_LEVELS = ("debug", "info", "warning", "error")


def _check_address(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(
            f"{value!r} is not an address; allowed: host:port, port 1 to 65535"
        )


def _check_name(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    if not value or "/" in value:
        raise ValueError(
            f"{value!r} is not a name; allowed: non-empty text without '/'"
        )


def _check_level(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    if value not in LOG_LEVELS:
        allowed = ", ".join(LOG_LEVELS)
        raise ValueError(f"{value!r} is not a level; allowed: {allowed}")


def _check_positive(
    instance: object, attribute: "attrs.Attribute[Any]", value: float
) -> None:
    if value <= 0:
        raise ValueError(f"{value!r} is too small; allowed: above 0")


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one entry instance.

    Attributes:
        callers_listen: Address for callers' requests.
        operators_listen: Address for operators, health and metrics.
        peers_listen: Address for other entry instances.
        store_address: Address of the platform's key-value store.
        max_body_bytes: Largest request or answer body.
        drain_s: Longest time for a graceful shutdown, in seconds.
    """

    instance_id: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    callers_listen: str = attrs.field(validator=_check_address)
    operators_listen: str = attrs.field(validator=_check_address)
    peers_listen: str = attrs.field(validator=_check_address)
    store_address: str = attrs.field(validator=_check_address)
    log_level: str = attrs.field(default="info", validator=_check_level)
    max_body_bytes: int = attrs.field(
        default=1_000_000, validator=_check_positive
    )
    drain_s: float = attrs.field(default=30.0, validator=_check_positive)


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or has faults; the
            detail lists every fault with its path.
    """
    try:
        tree = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise errors.SettingsError(str(error), step="settings") from error
    return check(tree)


def check(tree: object) -> Settings:
    """Returns the settings in a YAML tree.

    Raises:
        errors.SettingsError: The tree has faults; the detail lists them all.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _read_text)
    converter.register_structure_hook(int, _read_integer)
    converter.register_structure_hook(float, _read_number)
    try:
        return converter.structure(tree, Settings)
    except cattrs.BaseValidationError as error:
        faults = cattrs.transform_error(error, format_exception=_describe)
        raise errors.SettingsError(
            "\n".join(faults), step="settings"
        ) from error


def _read_text(value: object, target: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text; allowed: text")
    return value


def _read_integer(value: object, target: type) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not an integer; allowed: an integer")
    return value


def _read_number(value: object, target: type) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a number; allowed: a number")
    return float(value)


def _describe(error: BaseException, target: type | None) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown keys: {names}; allowed: the documented settings"
    if isinstance(error, KeyError):
        return "required key is missing"
    return str(error)
