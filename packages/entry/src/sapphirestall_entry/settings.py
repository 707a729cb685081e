"""YAML settings of the daemon.

All errors of a file are reported together, so that an operator does not have to
correct them one at a time.
"""

from collections.abc import Callable
import pathlib
from typing import Any

import attrs
import yaml

from sapphirestall_core import errors

LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Rule:
    """Rule for the values of a setting.

    Attributes:
        accepts: Returns whether a value is allowed.
        allowed: Description of the allowed values.
    """

    accepts: Callable[[Any], bool]
    allowed: str


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdecimal() and 0 < int(port) < 65536


def _is_name(value: object) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= 200
        and value.isprintable()
        and "/" not in value
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_peer_map(value: object) -> bool:
    return isinstance(value, dict) and all(
        _is_name(name) and _is_address(address)
        for name, address in value.items()
    )


def _make_range_rule(low: float, high: float, unit: str) -> Rule:
    def accept(value: Any) -> bool:
        return _is_number(value) and low <= value <= high

    return Rule(accept, f"a number from {low:g} to {high:g} ({unit})")


def _is_size(value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 1_000 <= value <= 100_000_000


_ADDRESS = Rule(_is_address, "host:port, port 1 to 65535")
_NAME = Rule(_is_name, "1 to 200 printable characters without '/'")
_LEVEL = Rule(LOG_LEVELS.__contains__, ", ".join(LOG_LEVELS))
_SIZE = Rule(_is_size, "an integer from 1000 to 100000000 (bytes)")
_PEERS = Rule(_is_peer_map, "a map from instance id to host:port")


def _make_setting(rule: Rule, **options: Any) -> Any:
    return attrs.field(metadata={"rule": rule}, **options)


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one entry instance; docs/operators.md lists them.

    Attributes:
        instance_id: Name of this instance, unique in the deployment.
        data_centre: Data centre in which this instance runs.
        callers_listen: Address on which callers are served, as host:port.
        operators_listen: Address for operators, health and metrics.
        peers_listen: Address for links from other entry instances.
        store_address: Address of the platform's key-value store.
        seed_peers: Addresses of peers by instance id, used until the instance
            list of the platform has been read.
        log_level: Lowest level of the log lines that are written.
        max_body_bytes: Largest body of a request or an answer, in bytes.
        drain_s: Longest time for a graceful shutdown, in seconds.
        notice_s: Initial part of `drain_s` in which requests are still
            accepted, so that load balancers notice that the instance is not
            ready, in seconds.
    """

    instance_id: str = _make_setting(_NAME)
    data_centre: str = _make_setting(_NAME)
    callers_listen: str = _make_setting(_ADDRESS)
    operators_listen: str = _make_setting(_ADDRESS)
    peers_listen: str = _make_setting(_ADDRESS)
    store_address: str = _make_setting(_ADDRESS)
    seed_peers: dict[str, str] = _make_setting(_PEERS, factory=dict)
    log_level: str = _make_setting(_LEVEL, default="info")
    max_body_bytes: int = _make_setting(_SIZE, default=1_000_000)
    drain_s: float = _make_setting(
        _make_range_rule(0.1, 3600, "seconds"), default=30.0
    )
    notice_s: float = _make_setting(
        _make_range_rule(0, 60, "seconds"), default=2.0
    )


@attrs.frozen
class InvalidSetting:
    """Setting whose value is missing, unknown or not allowed.

    Attributes:
        path: Name of the setting.
        problem: Description of the error, with the value.
        allowed: Description of the allowed values.
    """

    path: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}; allowed: {self.allowed}"


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file can't be read or is invalid; the detail
            lists each invalid setting on a line of its own.
    """
    try:
        tree = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise errors.SettingsError(str(error), step="settings") from error
    return check(tree)


def check(tree: object) -> Settings:
    """Returns the settings in the content of a YAML file.

    Raises:
        errors.SettingsError: The settings are invalid; the detail lists each
            invalid setting on a line of its own.
    """
    if not isinstance(tree, dict):
        kind = type(tree).__name__
        item = InvalidSetting(
            "settings", f"the file contains {kind}", "a map of settings"
        )
        raise errors.SettingsError(str(item), step="settings")
    invalid = list_invalid_settings(tree)
    if invalid:
        detail = "\n".join(str(item) for item in invalid)
        raise errors.SettingsError(detail, step="settings")
    return Settings(**tree)


def list_invalid_settings(tree: dict[Any, object]) -> list[InvalidSetting]:
    """Returns all invalid settings in their order, then the unknown ones.

    The settings are compared with each other only if each is valid by itself.
    """
    invalid = []
    fields = attrs.fields_dict(Settings)
    for name, field in fields.items():
        rule: Rule = field.metadata["rule"]
        if name not in tree:
            if field.default is attrs.NOTHING:
                invalid.append(InvalidSetting(name, "is missing", rule.allowed))
        elif not rule.accepts(tree[name]):
            invalid.append(
                InvalidSetting(name, f"is {tree[name]!r:.80}", rule.allowed)
            )
    known_names = ", ".join(fields)
    for name in tree:
        if name not in fields:
            invalid.append(InvalidSetting(str(name), "is unknown", known_names))
    if not invalid:
        invalid += _list_shared_addresses(tree)
    return invalid


def _list_shared_addresses(tree: dict[Any, Any]) -> list[InvalidSetting]:
    names = ("callers_listen", "operators_listen", "peers_listen")
    invalid = []
    for index, name in enumerate(names):
        for other in names[:index]:
            if tree[name] == tree[other]:
                problem = f"is {tree[name]!r}, the same as {other}"
                invalid.append(
                    InvalidSetting(name, problem, "an address of its own")
                )
    return invalid
