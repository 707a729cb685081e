"""Typed view of the configuration body.

The field names are the keys of the configuration document.
"""

import math
from typing import Any

import attrs
import cattrs

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_SLOWDOWN_LIMIT = 1.1

_POSITIVE: Any = attrs.validators.gt(0)
_NOT_NEGATIVE: Any = attrs.validators.ge(0)
_AT_LEAST_ONE: Any = attrs.validators.ge(1)
_SHARE: Any = attrs.validators.and_(_NOT_NEGATIVE, attrs.validators.le(1))


@attrs.frozen
class Operation:
    """How requests for an operation of a service are handled.

    Attributes:
        repeatable: Whether a request may be run twice without harm.
        request_class: Name of the admission class.
        timeout_s: Time limit of one attempt, in seconds.
    """

    repeatable: bool = False
    request_class: str = "default"
    timeout_s: float = attrs.field(
        default=DEFAULT_TIMEOUT_S, validator=_POSITIVE
    )


@attrs.frozen
class Service:
    """A latency-critical service.

    Attributes:
        operations: Operations by name.
        slowdown_limit: Highest accepted ratio of the latency to the
            undisturbed latency.
    """

    operations: dict[str, Operation] = attrs.field(factory=dict)
    slowdown_limit: float = attrs.field(
        default=DEFAULT_SLOWDOWN_LIMIT, validator=attrs.validators.ge(1)
    )


@attrs.frozen
class RequestClass:
    """Admission class of requests.

    Attributes:
        floor: Share of the executor slots reserved for the class while it has
            demand.
        weight: Weight of the class when the remaining slots are divided.
        queue_limit: Number of requests that may wait at an entry instance.
    """

    floor: float = attrs.field(default=0.0, validator=_SHARE)
    weight: float = attrs.field(default=1.0, validator=_POSITIVE)
    queue_limit: int = attrs.field(default=256, validator=_POSITIVE)


@attrs.frozen
class Team:
    """Resource quota of a team; 0 means no limit.

    Attributes:
        cpu_millis: Processors, in thousandths.
        memory_mb: Memory, in megabytes.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    memory_mb: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    accelerators: int = attrs.field(default=0, validator=_NOT_NEGATIVE)


@attrs.frozen
class Weights:
    """Weights of the costs that a placement minimises.

    Attributes:
        slowdown: Weight of the predicted slowdown of services, as a share of
            the accepted slowdown.
        packing: Weight of the processors left unused on a worker that already
            has load.
        eviction: Cost of evicting one task, in processor-seconds of lost work.
    """

    slowdown: float = attrs.field(default=1.0, validator=_NOT_NEGATIVE)
    packing: float = attrs.field(default=0.2, validator=_NOT_NEGATIVE)
    eviction: float = attrs.field(default=60.0, validator=_NOT_NEGATIVE)


# Presets for a deployment that is judged by tail latency, such as Belkadi, and
# for one that is judged by evictions and throughput, such as Magnolia.
TAIL_LATENCY_WEIGHTS = Weights(slowdown=2.0, packing=0.1, eviction=30.0)
THROUGHPUT_WEIGHTS = Weights(slowdown=1.0, packing=0.5, eviction=300.0)


@attrs.frozen
class Sharing:
    """How services and batch work share workers.

    Attributes:
        weights: Weights of the costs of a placement.
        margin: Share of the accepted slowdown that placement may use.
        evictions_per_minute: Limit of evictions for services, per worker and
            minute.
        urgent_from: Lowest urgency at which work may evict less urgent tasks.
        background_below: Urgency below which work is background work, which
            may be evicted for any other work.
        lower_floor: Share of the processors not reserved by services that is
            guaranteed to work below `urgent_from` while it has demand.
    """

    weights: Weights = attrs.field(factory=Weights)
    margin: float = attrs.field(default=1.0, validator=_POSITIVE)
    evictions_per_minute: int = attrs.field(default=2, validator=_NOT_NEGATIVE)
    urgent_from: int = attrs.field(default=5, validator=_NOT_NEGATIVE)
    background_below: int = attrs.field(default=1, validator=_NOT_NEGATIVE)
    lower_floor: float = attrs.field(default=0.3, validator=_SHARE)


@attrs.frozen
class Policy:
    """The configuration in force, as operators have written it.

    Attributes:
        services: Services by name.
        request_classes: Admission classes by name.
        teams: Quotas by team.
        sharing: Rules for services and batch work on the same workers.
    """

    services: dict[str, Service] = attrs.field(factory=dict)
    request_classes: dict[str, RequestClass] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)
    sharing: Sharing = attrs.field(factory=Sharing)


def _structure_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r:.80} is not a string")
    return value


def _structure_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"{value!r:.80} is not a boolean")
    return value


def _structure_int(value: Any, _: type) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r:.80} is not an integer")
    return value


def _structure_float(value: Any, _: type) -> float:
    known = isinstance(value, int | float) and not isinstance(value, bool)
    if not known or not math.isfinite(value):
        raise TypeError(f"{value!r:.80} is not a number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    # Without these hooks, cattrs would convert values of a wrong type, such as
    # the string "false" to `True`.
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    return converter


_converter = _make_converter()


def parse(body: dict[str, Any]) -> Policy:
    """Converts a configuration body to its typed view.

    Raises:
        cattrs.BaseValidationError: The body has unknown keys or invalid values.
    """
    return _converter.structure(body, Policy)


def list_errors(body: dict[str, Any]) -> list[str]:
    """Returns all errors of a configuration body, each with its path."""
    try:
        parse(body)
    except cattrs.BaseValidationError as error:
        return cattrs.transform_error(error, format_exception=_format_error)
    return []


def _format_error(error: BaseException, target: type | None) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown keys: {', '.join(sorted(error.extra_fields))}"
    return str(error)
