"""State of the request path."""

import attrs

from sapphirestall_core import outcomes
from sapphirestall_core import request_messages


@attrs.define
class Attempt:
    """One send of a request to an executor."""

    attempt_id: str
    executor_id: str


@attrs.define
class Request:
    """A request in flight.

    Attributes:
        proofs: Proofs of the failed attempts so far.
        unproven: Whether an attempt failed without proof that it did not run.
    """

    arrived: request_messages.RequestArrived
    attempts_made: int = 0
    attempt: Attempt | None = None
    proofs: list[outcomes.Proof] = attrs.field(factory=list)
    unproven: bool = False


@attrs.define
class Requests:
    """All requests in flight at this instance.

    Attributes:
        by_attempt: Request id by id of the attempt that is under way.
        in_use: Slots in use by executor.
    """

    in_flight: dict[str, Request] = attrs.field(factory=dict)
    by_attempt: dict[str, str] = attrs.field(factory=dict)
    in_use: dict[str, int] = attrs.field(factory=dict)
