"""Callers' calls that wait for the store, and the answers to them."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import state

PART = "intake"
# Time after which callers should retry; one second is the smallest value that
# the answer can hold.
MIN_RETRY_AFTER_S = 1
# Callers give up after a few attempts. During a longer store outage they are
# asked to retry later, so that their last attempt comes after its end.
OUTAGE_RETRY_AFTER_S = 2
LONG_OUTAGE_S = 0.6
# Once the store has been failing for this long, calls are refused without
# trying it.
REFUSAL_OUTAGE_S = 0.3


def make_answer(
    call_id: str, answer: caller_messages.Answer, **fields: object
) -> dispatch.Effects:
    """Returns the effects that answer a call, count a refusal and log it.

    Args:
        call_id: Id of the call.
        answer: The answer.
        fields: Further fields of the log line.
    """
    name = type(answer).__name__
    effects: dispatch.Effects = [caller_messages.AnswerCaller(call_id, answer)]
    code = getattr(answer, "code", "")
    if code:
        effects.append(messages.CountRefusal(PART, code))
        fields = {"code": code, **fields}
    if code or not isinstance(
        answer, caller_messages.StateShown | caller_messages.PendingShown
    ):
        effects.append(messages.Log(PART, name, {"call": call_id, **fields}))
    return effects


def answer_call(
    batch: state.Batch,
    call: state.Call,
    answer: caller_messages.Answer,
    now: float,
    **fields: object,
) -> dispatch.Effects:
    """Answers a call that waited for the store, and removes it."""
    batch.calls.pop(call.call_id, None)
    took_ms = round((now - call.started_at) * 1000)
    return make_answer(
        call.call_id,
        answer,
        job=call.job_id,
        attempts=call.attempts,
        took_ms=took_ms,
        **fields,
    )


def make_call(
    event: caller_messages.CallerCalled, batch: state.Batch, now: float
) -> state.Call | caller_messages.Answer:
    """Returns the state of a new call, or the answer if no queue matches it."""
    if batch.configuration is None:
        return caller_messages.Refused("no_configuration", MIN_RETRY_AFTER_S)
    queue = batch.configuration.find_queue(event.host, event.path)
    if queue is None:
        return caller_messages.QueueUnknown()
    job_id = event.path[len(queue.prefix) :]
    return state.Call(event.call_id, queue, job_id, now + event.deadline_s, now)


def is_store_down(batch: state.Batch, now: float) -> bool:
    """Returns whether calls should be refused without trying the store."""
    down_since = batch.store_down_since
    return down_since is not None and now - down_since > REFUSAL_OUTAGE_S


def choose_retry_after(batch: state.Batch, now: float) -> int:
    """Returns the time after which a caller should retry, in seconds.

    It is longer during a longer store outage.
    """
    down_since = batch.store_down_since
    if down_since is not None and now - down_since > LONG_OUTAGE_S:
        return OUTAGE_RETRY_AFTER_S
    return MIN_RETRY_AFTER_S


def refuse_without_store(
    batch: state.Batch, call: state.Call, now: float
) -> dispatch.Effects:
    """Refuses a call for which nothing was sent to the store."""
    retry_after_s = choose_retry_after(batch, now)
    answer = caller_messages.Refused("store_unavailable", retry_after_s)
    away_s = round(now - (batch.store_down_since or now), 3)
    return answer_call(batch, call, answer, now, store_away_s=away_s)


@attrs.frozen
class CallFailed(messages.Event):
    """Reports that a handler failed while it served a caller's call.

    Attributes:
        call_id: Id of the call.
    """

    call_id: str


@dispatch.handle.register(CallFailed)
def answer_failed_call(
    event: CallFailed, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Answers that it is unknown whether the call has taken effect."""
    batch.calls.pop(event.call_id, None)
    answer = caller_messages.Undecided("internal_error")
    return make_answer(event.call_id, answer)
