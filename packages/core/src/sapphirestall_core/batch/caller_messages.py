"""Calls of callers and the answers to them."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import model


@attrs.frozen
class CallerCalled(messages.Event):
    """A call of a caller.

    Attributes:
        call_id: Names the call in the answer and in logs.
        host: Host that the caller asked for.
        path: Path that the caller asked for.
        deadline_s: How long the caller waits, in seconds.
    """

    call_id: str
    host: str
    path: str
    deadline_s: float


@attrs.frozen
class SubmitCalled(CallerCalled):
    """Hands in a job."""

    spec: str
    steps: tuple[model.Step, ...]
    schedule: model.Schedule


@attrs.frozen
class StateCalled(CallerCalled):
    """Asks for the state of a job or, without an id, of a queue."""


@attrs.frozen
class CancelCalled(CallerCalled):
    """Cancels a job."""


@attrs.frozen
class Answer:
    """Answer to a call."""


@attrs.frozen
class Accepted(Answer):
    """The job is stored; a repeat of the call changes nothing."""


@attrs.frozen
class Cancelled(Answer):
    """The job is stored as cancelled, or had ended before."""


@attrs.frozen
class StateShown(Answer):
    """State of a job, in the words of the callers' interface."""

    state: str


@attrs.frozen
class PendingShown(Answer):
    """Number of accepted jobs of a queue of which no task has started."""

    count: int


@attrs.frozen
class Gone(Answer):
    """The store holds no such job."""


@attrs.frozen
class QueueUnknown(Answer):
    """The configuration has no such queue."""


@attrs.frozen
class Invalid(Answer):
    """The call can't be carried out, now or later."""

    code: str
    detail: str


@attrs.frozen
class Refused(Answer):
    """The call had no effect and never will have.

    Attributes:
        retry_after_s: When a repeat may succeed, in seconds.
    """

    code: str
    retry_after_s: int


@attrs.frozen
class Undecided(Answer):
    """The call may or may not have taken effect; a repeat is safe."""

    code: str


@attrs.frozen
class AnswerCaller(messages.Effect):
    """Answers a call."""

    call_id: str
    answer: Answer
