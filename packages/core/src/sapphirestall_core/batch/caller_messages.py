"""Callers' calls and the answers to them."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import model


@attrs.frozen
class CallerCalled(messages.Event):
    """Base of the events that report a call of a caller.

    Attributes:
        call_id: Id of the call, which its answer and log lines repeat.
        host: Host that the caller asked for.
        path: Path that the caller asked for: a queue's prefix and a job id.
        deadline_s: Time for which the caller waits, in seconds.
    """

    call_id: str
    host: str
    path: str
    deadline_s: float


@attrs.frozen
class SubmitCalled(CallerCalled):
    """Reports that a caller submits a job.

    Attributes:
        spec: Text that the tasks receive.
        steps: Steps of the job.
        schedule: Times at which the job runs.
    """

    spec: str
    steps: tuple[model.Step, ...]
    schedule: model.Schedule


@attrs.frozen
class StateCalled(CallerCalled):
    """Reports that a caller asks for the state of a job or of a queue.

    It is the state of the queue if the path has no job id.
    """


@attrs.frozen
class CancelCalled(CallerCalled):
    """Reports that a caller cancels a job."""


@attrs.frozen
class Answer:
    """Base of the answers to callers' calls."""


@attrs.frozen
class Accepted(Answer):
    """The job is stored. Repeating the call has no further effect."""


@attrs.frozen
class Cancelled(Answer):
    """The job is stored as cancelled, or had already ended."""


@attrs.frozen
class StateShown(Answer):
    """State of a job.

    Attributes:
        state: State in the terms of the callers' interface, such as "running".
    """

    state: str


@attrs.frozen
class PendingShown(Answer):
    """Number of pending jobs of a queue.

    Attributes:
        count: Number of accepted jobs of which no task has started.
    """

    count: int


@attrs.frozen
class Gone(Answer):
    """The store has no such job."""


@attrs.frozen
class QueueUnknown(Answer):
    """No queue of the configuration matches the call."""


@attrs.frozen
class Invalid(Answer):
    """The call cannot be carried out, and repeating it will not help.

    Attributes:
        code: Reason, from a fixed set.
        detail: Explanation for people.
    """

    code: str
    detail: str


@attrs.frozen
class Refused(Answer):
    """The call has had no effect and will have none.

    Attributes:
        code: Reason, from a fixed set.
        retry_after_s: Time after which a repeated call may succeed, in seconds.
    """

    code: str
    retry_after_s: int


@attrs.frozen
class Undecided(Answer):
    """It is unknown whether the call has taken effect; repeating it is safe.

    Attributes:
        code: Reason, from a fixed set.
    """

    code: str


@attrs.frozen
class AnswerCaller(messages.Effect):
    """Sends the answer to a call.

    Attributes:
        call_id: Id of the call.
        answer: The answer.
    """

    call_id: str
    answer: Answer
