"""YAML settings of the daemon, validated as a whole."""

from collections.abc import Callable
import pathlib
from typing import Any

import attrs
import yaml

from sapphirestall_core import errors

LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class Rule:
    """What a setting may hold.

    Attributes:
        accepts: Tells whether a value is allowed.
        allowed: The allowed values in words.
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


def _is_peers(value: object) -> bool:
    return isinstance(value, dict) and all(
        _is_name(name) and _is_address(address)
        for name, address in value.items()
    )


def _make_range(low: float, high: float, unit: str) -> Rule:
    def accept(value: Any) -> bool:
        return _is_number(value) and low <= value <= high

    return Rule(accept, f"a number from {low:g} to {high:g} ({unit})")


def _accept_size(value: Any) -> bool:
    whole = isinstance(value, int) and not isinstance(value, bool)
    return whole and 1_000 <= value <= 100_000_000


_ADDRESS = Rule(_is_address, "host:port, port 1 to 65535")
_NAME = Rule(_is_name, "1 to 200 printable characters without '/'")
_LEVEL = Rule(LOG_LEVELS.__contains__, ", ".join(LOG_LEVELS))
_SIZE = Rule(_accept_size, "an integer from 1000 to 100000000 (bytes)")
_PEERS = Rule(_is_peers, "a map from instance id to host:port")


def _add(rule: Rule, **options: Any) -> Any:
    return attrs.field(metadata={"rule": rule}, **options)


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one entry instance; docs/operators.md lists them.

    Attributes:
        instance_id: Name of this instance, unique in the deployment.
        data_centre: Data centre that it runs in.
        callers_listen: Address for callers' requests.
        operators_listen: Address for operators, health and metrics.
        peers_listen: Address for other entry instances.
        store_address: Address of the platform's key-value store.
        seed_peers: Addresses of peers by instance id, used until the
            platform's list was read.
        log_level: Lowest level of the log lines that are written.
        max_body_bytes: Largest request or answer body.
        drain_s: Longest time for a graceful shutdown, in seconds.
        notice_s: Part of `drain_s` in which requests are still accepted, so
            that load balancers notice the readiness, in seconds.
    """

    instance_id: str = _add(_NAME)
    data_centre: str = _add(_NAME)
    callers_listen: str = _add(_ADDRESS)
    operators_listen: str = _add(_ADDRESS)
    peers_listen: str = _add(_ADDRESS)
    store_address: str = _add(_ADDRESS)
    seed_peers: dict[str, str] = _add(_PEERS, factory=dict)
    log_level: str = _add(_LEVEL, default="info")
    max_body_bytes: int = _add(_SIZE, default=1_000_000)
    drain_s: float = _add(_make_range(0.1, 3600, "seconds"), default=30.0)
    notice_s: float = _add(_make_range(0, 60, "seconds"), default=2.0)


@attrs.frozen
class Fault:
    """One fault of a settings file.

    Attributes:
        path: Name of the setting.
        problem: What is wrong, with the value.
        allowed: What is allowed.
    """

    path: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}; allowed: {self.allowed}"


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or has faults; the
            detail lists every fault with its path.
    """
    try:
        tree = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError, yaml.YAMLError) as error:
        raise errors.SettingsError(str(error), step="settings") from error
    return check(tree)


def check(tree: object) -> Settings:
    """Returns the settings in a YAML tree.

    Raises:
        errors.SettingsError: The tree has faults; the detail lists them all.
    """
    if not isinstance(tree, dict):
        kind = type(tree).__name__
        fault = Fault("settings", f"the file holds {kind}", "a map of settings")
        raise errors.SettingsError(str(fault), step="settings")
    faults = list_faults(tree)
    if faults:
        detail = "\n".join(str(fault) for fault in faults)
        raise errors.SettingsError(detail, step="settings")
    return Settings(**tree)


def list_faults(tree: dict[Any, object]) -> list[Fault]:
    """Returns every fault of a tree, in the order of the settings."""
    faults = []
    fields = attrs.fields_dict(Settings)
    for name, field in fields.items():
        rule: Rule = field.metadata["rule"]
        if name not in tree:
            if field.default is attrs.NOTHING:
                faults.append(Fault(name, "is missing", rule.allowed))
        elif not rule.accepts(tree[name]):
            faults.append(Fault(name, f"is {tree[name]!r:.80}", rule.allowed))
    known = ", ".join(fields)
    for name in tree:
        if name not in fields:
            faults.append(Fault(str(name), "is unknown", known))
    if not faults:
        faults += _compare(tree)
    return faults


def _compare(tree: dict[Any, Any]) -> list[Fault]:
    names = ("callers_listen", "operators_listen", "peers_listen")
    faults = []
    for index, name in enumerate(names):
        for other in names[:index]:
            if tree[name] == tree[other]:
                problem = f"is {tree[name]!r}, like {other}"
                faults.append(Fault(name, problem, "an address of its own"))
    return faults
