"""Typed view of the configuration body."""

from typing import Any

import attrs
import cattrs

DEFAULT_TIMEOUT_S = 2.0


@attrs.frozen
class Operation:
    """How requests of one operation are handled.

    Attributes:
        repeatable: Whether running a request twice does no harm.
        request_class: Name of the admission class.
        timeout_s: Longest time for one attempt, in seconds.
    """

    repeatable: bool = False
    request_class: str = "default"
    timeout_s: float = DEFAULT_TIMEOUT_S


@attrs.frozen
class Service:
    """A latency-critical service.

    Attributes:
        slowdown_limit: Highest accepted latency over undisturbed latency.
    """

    operations: dict[str, Operation] = attrs.field(factory=dict)
    slowdown_limit: float = 1.1


@attrs.frozen
class RequestClass:
    """Admission class of requests.

    Attributes:
        floor: Share of the slots that is kept for the class on demand.
        weight: Share of the rest, relative to the other classes.
        queue_limit: Requests that may wait at one entry instance.
    """

    floor: float = 0.0
    weight: float = 1.0
    queue_limit: int = 256


@attrs.frozen
class Team:
    """Quota of a team; 0 means no limit."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class Policy:
    """What operators state about services, teams and sharing."""

    services: dict[str, Service] = attrs.field(factory=dict)
    request_classes: dict[str, RequestClass] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse(body: dict[str, Any]) -> Policy:
    """Returns the typed view of a configuration body.

    Raises:
        cattrs.BaseValidationError: The body does not have the stated form.
    """
    return _converter.structure(body, Policy)


def list_faults(body: dict[str, Any]) -> list[str]:
    """Returns every fault of a configuration body, with its path."""
    try:
        parse(body)
    except cattrs.BaseValidationError as error:
        return cattrs.transform_error(error)
    return []
