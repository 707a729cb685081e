"""Store calls that are made for callers' calls, and their retries."""

import functools

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Delays before the first, second and third retry of a failed store call, in
# seconds.
RETRY_DELAYS_S = (0.05, 0.15, 0.4)
# A store call takes milliseconds. None is retried if less time than this would
# be left before the caller's deadline.
STORE_CALL_MARGIN_S = 0.1


@attrs.frozen
class CallPurpose(store_messages.Purpose):
    """Base of the purposes of store calls made for a caller's call.

    Attributes:
        call_id: Id of the caller's call.
    """

    call_id: str


@attrs.frozen
class CallWrite(CallPurpose):
    """Base of the purposes of writes made for a caller's call."""


@attrs.frozen
class CallRetryDue(messages.Timer):
    """Timer to retry a store call.

    Attributes:
        purpose: Purpose of the store call.
    """

    purpose: CallPurpose


@functools.singledispatch
def make_store_call(
    purpose: CallPurpose, call: state.Call
) -> store_messages.StoreEffect:
    """Returns the store call for a purpose; a read of the job's state."""
    key = records.make_state_key(call.job_id)
    return store_messages.StoreGet(purpose, key, records.StateRecord)


def send(purpose: CallPurpose, call: state.Call) -> dispatch.Effects:
    """Sends a store call for a caller's call."""
    call.attempts += 1
    return [make_store_call(purpose, call)]


@dispatch.handle_timer.register(CallRetryDue)
def retry(
    timer: CallRetryDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Retries a store call."""
    call = batch.calls.get(timer.purpose.call_id)
    return send(timer.purpose, call) if call else []


def handle_failure(
    purpose: CallPurpose,
    outcome: store_messages.Outcome,
    batch: state.Batch,
    call: state.Call,
    now: float,
    *,
    again: CallPurpose | None = None,
) -> dispatch.Effects:
    """Retries a failed store call, or answers the caller.

    A call is not retried if the caller's deadline is too near.

    Args:
        purpose: Purpose of the store call.
        outcome: Its outcome.
        batch: State of this instance.
        call: The caller's call.
        now: Monotonic time, in seconds.
        again: Purpose of the store call to make next; None for the same.
    """
    assert isinstance(outcome, store_messages.Unavailable)
    call.ambiguous |= isinstance(purpose, CallWrite) and outcome.ambiguous
    number = call.attempts - 1
    if number < len(RETRY_DELAYS_S) and not batch.shutting_down:
        delay_s = RETRY_DELAYS_S[number]
        if now + delay_s + STORE_CALL_MARGIN_S < call.deadline_at:
            return [
                messages.CountRetry(calls.PART, "store_unavailable"),
                messages.StartTimer(
                    CallRetryDue(again or purpose), delay_s, 0.3
                ),
            ]
    answer: caller_messages.Answer
    if call.ambiguous:
        answer = caller_messages.Undecided("store_no_answer")
    else:
        retry_after_s = calls.choose_retry_after(batch, now)
        answer = caller_messages.Refused("store_unavailable", retry_after_s)
    return calls.answer_call(batch, call, answer, now, detail=outcome.detail)


@attrs.frozen(slots=True)
class FoundJob:
    """State of a job that was read for a caller's call.

    Attributes:
        call: The caller's call.
        record: State of the job.
        found: The record's key and store revision.
    """

    call: state.Call
    record: records.StateRecord
    found: store_messages.Found


def get_found_job(
    purpose: CallPurpose,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> FoundJob | dispatch.Effects:
    """Returns the job state that was read.

    Returns:
        The job state, or the effects that follow if it was not found or could
        not be read.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Absent):
        return handle_unknown_job(purpose, batch, call, now)
    if not isinstance(outcome, store_messages.Found):
        return handle_failure(purpose, outcome, batch, call, now)
    assert isinstance(outcome.value, records.StateRecord)
    # Callers of other queues neither see a job nor cancel it.
    is_own = outcome.value.queue == call.queue.name
    if not (outcome.value.submitted and is_own):
        return calls.answer_call(batch, call, caller_messages.Gone(), now)
    return FoundJob(call, outcome.value, outcome)


@functools.singledispatch
def handle_unknown_job(
    purpose: CallPurpose, batch: state.Batch, call: state.Call, now: float
) -> dispatch.Effects:
    """Handles a call for a job of which the store has no state."""
    return calls.answer_call(batch, call, caller_messages.Gone(), now)
