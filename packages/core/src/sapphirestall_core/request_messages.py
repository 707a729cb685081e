"""Events and effects of the request path."""

import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core import outcomes


@attrs.frozen
class RequestArrived(messages.Event):
    """A caller's request was received whole.

    Attributes:
        request_id: Unique within this process.
        key: Idempotency key; empty when the caller sent none.
        deadline: Time on this process's monotonic clock, in seconds.
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
    """The caller closed its connection before the answer."""

    request_id: str


@attrs.frozen
class SendAttempt(messages.Effect):
    """Sends a request to an executor.

    Attributes:
        attempt_id: Unique for each send; the executor repeats it.
        timeout_s: After this time the shell closes the connection.
        connect_timeout_s: Longest time to set up a connection; the shell
            varies it at random so that entry instances do not act in step.
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
    """The executor's whole answer to an attempt arrived.

    Attributes:
        leaving: Whether the executor said that it is leaving.
    """

    attempt_id: str
    executor_id: str
    status: int
    content_type: str
    body: bytes
    leaving: bool = False


class FailureStage(enum.Enum):
    """How far an attempt had got when it failed."""

    CONNECT = "connect"
    REFUSED = "refused"
    SENT = "sent"


@attrs.frozen
class AttemptFailed(messages.Event):
    """An attempt ended without a whole answer.

    Attributes:
        stage: `CONNECT` (no byte written), `REFUSED` (the executor states that
            it did not start the request) or `SENT` (anything later).
        leaving: Whether the executor said that it is leaving.
    """

    attempt_id: str
    executor_id: str
    stage: FailureStage
    code: outcomes.Code
    detail: str
    leaving: bool = False


@attrs.frozen
class AnswerCaller(messages.Effect):
    """Hands the outcome of a request to its caller; sent once a request."""

    request_id: str
    outcome: outcomes.Outcome


@attrs.frozen
class PollHealth(messages.Effect):
    """Asks an executor whether it is leaving."""

    executor_id: str
    address: str


@attrs.frozen
class HealthRead(messages.Event):
    """An executor stated whether it is leaving."""

    executor_id: str
    leaving: bool


@attrs.frozen
class HealthUnread(messages.Event):
    """An executor did not answer a health poll."""

    executor_id: str
