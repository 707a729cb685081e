"""Typed view of the configuration body."""

from typing import Any

import attrs
import cattrs

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_SLOWDOWN_LIMIT = 1.1


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
    slowdown_limit: float = DEFAULT_SLOWDOWN_LIMIT


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
class Weights:
    """What a placement is worth avoiding, relative to each other.

    Attributes:
        slowdown: Predicted slowdown, as a share of the service's limit.
        packing: Processors left unused on a worker that already has load.
        eviction: Evicting one task, in processor-seconds of lost work.
    """

    slowdown: float = 1.0
    packing: float = 0.2
    eviction: float = 60.0


# Belkadi's measure is tail latency; Magnolia's are evictions and throughput.
TAIL_LATENCY = Weights(slowdown=2.0, packing=0.1, eviction=30.0)
THROUGHPUT = Weights(slowdown=1.0, packing=0.5, eviction=300.0)


@attrs.frozen
class Sharing:
    """How services and batch work share workers.

    Attributes:
        margin: Share of the slowdown limit that placement may use up.
        evictions_per_minute: Evictions per worker and minute for the sake of
            services.
        urgent_from: Lowest urgency that may evict tasks of lower urgency.
        background_below: Work below this urgency may be evicted for any work
            that is not.
        lower_floor: Share of the processors left by services that work below
            `urgent_from` keeps while it has demand.
    """

    weights: Weights = attrs.field(factory=Weights)
    margin: float = 1.0
    evictions_per_minute: int = 2
    urgent_from: int = 5
    background_below: int = 1
    lower_floor: float = 0.3


@attrs.frozen
class Policy:
    """What operators state about services, teams and sharing."""

    services: dict[str, Service] = attrs.field(factory=dict)
    request_classes: dict[str, RequestClass] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)
    sharing: Sharing = attrs.field(factory=Sharing)


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
