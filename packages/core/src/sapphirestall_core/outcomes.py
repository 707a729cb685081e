"""Outcome of a caller's request.

`NotRun` can only be built from a proof, so that a caller is told "not run"
only where that is certain.
"""

import attrs


@attrs.frozen
class Proof:
    """Evidence that a request was not run; base of the closed set below."""


@attrs.frozen
class NeverSent(Proof):
    """No byte of the request was written to any executor."""


@attrs.frozen
class ConnectionRefused(Proof):
    """The connection failed before any byte was written."""

    executor_id: str


@attrs.frozen
class RefusedByExecutor(Proof):
    """The executor stated that it did not start the request."""

    executor_id: str


@attrs.frozen
class ClaimNotMade(Proof):
    """The idempotency key was not claimed, so nothing was sent."""


@attrs.frozen
class Outcome:
    """Base of the outcomes of a request."""


@attrs.frozen
class Answered(Outcome):
    """The executor's whole answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class NotRun(Outcome):
    """The request was refused and did not run.

    Attributes:
        proof: Why that is certain.
        code: Stable reason code.
        step: Step at which the request was refused.
        peer: The other side at that step.
        retry: Whether the same request may succeed later.
        detail: One sentence for a person.
    """

    proof: Proof = attrs.field(validator=attrs.validators.instance_of(Proof))
    code: str
    step: str
    peer: str
    retry: bool
    detail: str


@attrs.frozen
class Unknown(Outcome):
    """The request may or may not have run."""

    code: str
    step: str
    peer: str
    retry: bool
    detail: str
