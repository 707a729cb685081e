"""Events and effects for requests, attempts and health polls of executors."""

import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core import outcomes


@attrs.frozen
class RequestArrived(messages.Event):
    """Reports that a complete request of a caller has arrived.

    Attributes:
        request_id: Unique within this process.
        key: Idempotency key; empty if the caller sent none.
        deadline: Monotonic time by which the caller needs the answer, in
            seconds.
    """

    request_id: str
    service: str
    operation: str
    key: str
    deadline: float
    body: bytes
    content_type: str = "application/json"


@attrs.frozen
class CallerGone(messages.Event):
    """Reports that a caller closed its connection before it got an outcome."""

    request_id: str


@attrs.frozen
class SendAttempt(messages.Effect):
    """Sends a request to an executor.

    The result is an `AttemptAnswered` or `AttemptFailed` event.

    Attributes:
        attempt_id: Unique for each attempt; the executor returns it with its
            answer.
        address: `host:port` of the executor.
        timeout_s: Time after which the shell closes the connection, in seconds.
        connect_timeout_s: Maximum time for the connection setup, in seconds.
            The shell varies it at random, so that entry instances do not retry
            at the same moment.
    """

    attempt_id: str
    request_id: str
    executor_id: str
    address: str
    operation: str
    body: bytes
    content_type: str
    timeout_s: float
    connect_timeout_s: float


@attrs.frozen
class AttemptAnswered(messages.Event):
    """Reports that an executor has answered an attempt completely.

    Attributes:
        status: HTTP status of the answer.
        leaving: Whether the executor announced that it is leaving.
    """

    attempt_id: str
    executor_id: str
    status: int
    content_type: str
    body: bytes
    leaving: bool = False


class FailureStage(enum.Enum):
    """Stage at which an attempt failed.

    Attributes:
        CONNECT: No byte of the request was written.
        REFUSED: The executor stated that it did not start the request.
        SENT: Any later stage; the request may have run.
    """

    CONNECT = "connect"
    REFUSED = "refused"
    SENT = "sent"


@attrs.frozen
class AttemptFailed(messages.Event):
    """Reports that an attempt ended without a complete answer.

    Attributes:
        stage: Stage of the failure, which decides whether the request may have
            run.
        code: Reason code for the caller and for metrics.
        detail: One sentence for a person.
        leaving: Whether the executor announced that it is leaving.
    """

    attempt_id: str
    executor_id: str
    stage: FailureStage
    code: outcomes.Code
    detail: str
    leaving: bool = False


@attrs.frozen
class AnswerCaller(messages.Effect):
    """Delivers the outcome of a request to its caller, once per request."""

    request_id: str
    outcome: outcomes.Outcome


@attrs.frozen
class PollHealth(messages.Effect):
    """Asks an executor whether it is leaving.

    The result is a `HealthRead` or `HealthUnread` event.
    """

    executor_id: str
    address: str


@attrs.frozen
class HealthRead(messages.Event):
    """Reports that an executor has answered a health poll."""

    executor_id: str
    leaving: bool


@attrs.frozen
class HealthUnread(messages.Event):
    """Reports that an executor did not answer a health poll."""

    executor_id: str
