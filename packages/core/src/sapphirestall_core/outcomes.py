"""Outcomes of callers' requests.

A caller may send a request again without risk only if it did not run. `NotRun`
therefore requires a proof; in all other cases the outcome is `Unknown`.
"""

import enum

import attrs


class Code(enum.StrEnum):
    """Stable reason codes for callers, explained in docs/callers.md."""

    ALREADY_RUN = "already_run"
    ANSWER_TOO_LONG = "answer_too_long"
    BAD_DEADLINE = "bad_deadline"
    BAD_KEY = "bad_key"
    BAD_REQUEST_ID = "bad_request_id"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    CLAIM_UNCONFIRMED = "claim_unconfirmed"
    CLAIMS_FULL = "claims_full"
    CONNECT_FAILED = "connect_failed"
    CONNECT_TIMEOUT = "connect_timeout"
    CONNECTION_LOST = "connection_lost"
    CROSSED_ANSWER = "crossed_answer"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DRAINING = "draining"
    EXECUTOR_BUSY = "executor_busy"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    MALFORMED_REQUEST = "malformed_request"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    MISSING_KEY = "missing_key"
    NO_EXECUTOR = "no_executor"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUEUE_FULL = "queue_full"
    STORE_UNAVAILABLE = "store_unavailable"
    TIMEOUT = "timeout"
    TRUNCATED_ANSWER = "truncated_answer"
    UNKNOWN_OPERATION = "unknown_operation"


@attrs.frozen
class Proof:
    """Base of the kinds of proof that a request did not run."""


@attrs.frozen
class NeverSent(Proof):
    """No byte of the request was written to any executor."""


@attrs.frozen
class ConnectionRefused(Proof):
    """The connection failed before any byte of the request was written."""

    executor_id: str


@attrs.frozen
class RefusedByExecutor(Proof):
    """The executor answered that it did not start the request."""

    executor_id: str


@attrs.frozen
class ClaimNotMade(Proof):
    """The idempotency key was not claimed, so nothing was sent."""


@attrs.frozen
class Outcome:
    """Base of the outcomes of a request."""


@attrs.frozen
class Answered(Outcome):
    """The executor's complete answer.

    Attributes:
        status: HTTP status of the answer.
        content_type: Content type of the body.
        body: Body of the answer.
        recorded: Whether this is the stored answer to an earlier request with
            the same idempotency key.
    """

    status: int
    content_type: str
    body: bytes
    recorded: bool = False


@attrs.frozen
class AlreadyRun(Outcome):
    """An earlier request with the same key ran, but its answer was not stored.

    Attributes:
        status: HTTP status of the answer to the earlier request.
        code: Stable reason code.
        step: Step at which this was found.
        peer: Other side at that step; empty if there is none.
        retry: Whether the same request may succeed later.
        detail: One sentence for a person.
    """

    status: int
    code: Code = Code.ALREADY_RUN
    step: str = "claim"
    peer: str = ""
    retry: bool = False
    detail: str = "the request with this key ran; its answer was not kept"


@attrs.frozen
class NotRun(Outcome):
    """The request did not run.

    Attributes:
        proof: Proof that it did not run.
        code: Stable reason code.
        step: Step at which the request was refused.
        peer: Other side at that step; empty if there is none.
        retry: Whether the same request may succeed later.
        detail: One sentence for a person.
    """

    proof: Proof = attrs.field(validator=attrs.validators.instance_of(Proof))
    code: Code
    step: str
    peer: str
    retry: bool
    detail: str


@attrs.frozen
class Unknown(Outcome):
    """The request may or may not have run.

    Attributes:
        code: Stable reason code.
        step: Step at which the request failed.
        peer: Other side at that step; empty if there is none.
        retry: Whether the same request may succeed later.
        detail: One sentence for a person.
    """

    code: Code
    step: str
    peer: str
    retry: bool
    detail: str
