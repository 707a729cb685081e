"""Handlers of callers' calls, which are answered from the platform's store.

An instance keeps no state of jobs for its callers. It accepts a job once the
store has confirmed the record, and it shows the state that the store holds.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pending_jobs
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import submissions
from sapphirestall_core.batch import summary_reads

# Delays before the first, second and third retry of a failed store call, in
# seconds.
RETRY_DELAYS_S = (0.05, 0.15, 0.4)
MAX_SUMMARY_AGE_S = 0.7
# A store call takes milliseconds. None is retried if less time than this would
# be left before the caller's deadline.
STORE_CALL_MARGIN_S = 0.1
FINAL_STATE_NAMES = {
    model.JobState.CANCELLED: "cancelled",
    model.JobState.COMPLETED: "completed",
    model.JobState.FAILED: "failed",
}


@attrs.frozen
class CallPurpose(store_messages.Purpose):
    """Base of the purposes of store calls made for a caller's call.

    Attributes:
        call_id: Id of the caller's call.
    """

    call_id: str


@attrs.frozen
class Submission(CallPurpose):
    """Purpose of the write of the record of a new job."""


@attrs.frozen
class StateRead(CallPurpose):
    """Purpose of the read of a job's state to show it."""


@attrs.frozen
class CancelRead(CallPurpose):
    """Purpose of the read of a job's state to cancel the job."""


@attrs.frozen
class CancelWrite(CallPurpose):
    """Purpose of the write that marks a job as cancelled."""


@attrs.frozen
class CallRetryDue(messages.Timer):
    """Timer to retry a store call.

    Attributes:
        purpose: Purpose of the store call.
    """

    purpose: CallPurpose


@dispatch.handle.register(caller_messages.SubmitCalled)
def submit(
    event: caller_messages.SubmitCalled, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Checks a submitted job, chooses its partition and writes its record."""
    call = calls.make_call(event, batch, now)
    if isinstance(call, caller_messages.Answer):
        return calls.make_answer(event.call_id, call, path=event.path)
    if batch.shutting_down:
        refusal = caller_messages.Refused(
            "shutting_down", calls.MIN_RETRY_AFTER_S
        )
        return calls.make_answer(event.call_id, refusal, job=call.job_id)
    if calls.is_store_down(batch, now):
        return calls.refuse_without_store(batch, call, now)
    rejection = submissions.validate(event, call.job_id, call.queue)
    if rejection is not None:
        return calls.make_answer(event.call_id, rejection, job=call.job_id)
    name = routing.choose_partition(
        batch, call.job_id, event.steps, now, call.queue.service
    )
    if name is None:
        refusal = caller_messages.Refused("no_workers", calls.MIN_RETRY_AFTER_S)
        return calls.make_answer(event.call_id, refusal, job=call.job_id)
    call.record = records.JobRecord(
        call.job_id,
        call.queue,
        name,
        event.spec,
        event.steps,
        accepted_ms=round((now + batch.identity.wall_clock_offset_s) * 1000),
    )
    batch.calls[call.call_id] = call
    effects = _send_to_store(Submission(call.call_id), call)
    if now - batch.summaries_read_at > MAX_SUMMARY_AGE_S:
        effects += summary_reads.read_summaries(batch, now)
    return effects


@dispatch.handle.register(caller_messages.StateCalled)
def show_state(
    event: caller_messages.StateCalled, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Shows the state of a job, or the number of pending jobs of a queue."""
    call = calls.make_call(event, batch, now)
    if isinstance(call, caller_messages.Answer):
        return calls.make_answer(event.call_id, call, path=event.path)
    if call.job_id and not submissions.is_job_id(call.job_id):
        return calls.make_answer(event.call_id, caller_messages.Gone())
    batch.calls[call.call_id] = call
    if calls.is_store_down(batch, now):
        return calls.refuse_without_store(batch, call, now)
    if call.job_id:
        return _send_to_store(StateRead(call.call_id), call)
    return pending_jobs.count(batch, call, now)


@dispatch.handle.register(caller_messages.CancelCalled)
def cancel(
    event: caller_messages.CancelCalled, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts to cancel a job by reading its state."""
    call = calls.make_call(event, batch, now)
    if isinstance(call, caller_messages.Answer):
        return calls.make_answer(event.call_id, call, path=event.path)
    if not submissions.is_job_id(call.job_id):
        return calls.make_answer(event.call_id, caller_messages.Gone())
    batch.calls[call.call_id] = call
    if calls.is_store_down(batch, now):
        return calls.refuse_without_store(batch, call, now)
    return _send_to_store(CancelRead(call.call_id), call)


def _send_to_store(purpose: CallPurpose, call: state.Call) -> dispatch.Effects:
    call.attempts += 1
    key = records.make_state_key(call.job_id)
    if not isinstance(purpose, Submission):
        return [store_messages.StoreGet(purpose, key, records.StateRecord)]
    assert call.record is not None
    job_key = records.make_job_key(call.record.partition, call.job_id)
    puts = (
        store_messages.Put(key, records.make_accepted_state(call.record)),
        store_messages.Put(job_key, call.record),
    )
    return [store_messages.StoreTransaction(purpose, ((key, 0),), puts)]


@dispatch.handle_timer.register(CallRetryDue)
def retry(
    timer: CallRetryDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Retries a store call."""
    call = batch.calls.get(timer.purpose.call_id)
    return _send_to_store(timer.purpose, call) if call else []


def _handle_failure(
    purpose: CallPurpose,
    outcome: store_messages.Outcome,
    batch: state.Batch,
    call: state.Call,
    now: float,
) -> dispatch.Effects:
    """Retries a failed store call, or answers the caller.

    A call is not retried if the caller's deadline is too near. After a write
    that may still take effect, a cancellation starts again with a read.
    """
    assert isinstance(outcome, store_messages.Unavailable)
    writes = isinstance(purpose, Submission | CancelWrite)
    call.ambiguous |= writes and outcome.ambiguous
    number = call.attempts - 1
    if number < len(RETRY_DELAYS_S) and not batch.shutting_down:
        delay_s = RETRY_DELAYS_S[number]
        if now + delay_s + STORE_CALL_MARGIN_S < call.deadline_at:
            again = purpose
            if isinstance(purpose, CancelWrite):
                again = CancelRead(call.call_id)
            return [
                messages.CountRetry(calls.PART, "store_unavailable"),
                messages.StartTimer(CallRetryDue(again), delay_s, 0.3),
            ]
    answer: caller_messages.Answer
    if call.ambiguous:
        answer = caller_messages.Undecided("store_no_answer")
    else:
        retry_after_s = calls.choose_retry_after(batch, now)
        answer = caller_messages.Refused("store_unavailable", retry_after_s)
    return calls.answer_call(batch, call, answer, now, detail=outcome.detail)


@dispatch.handle_store_reply.register(Submission)
def handle_submission(
    purpose: Submission,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Answers a submission when its record is stored.

    If a state of the job is already stored, the call is a repeat, which is
    answered in the same way.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    if isinstance(reply.outcome, store_messages.Unavailable):
        return _handle_failure(purpose, reply.outcome, batch, call, now)
    repeat = isinstance(reply.outcome, store_messages.Conflict)
    assert call.record is not None
    return calls.answer_call(
        batch,
        call,
        caller_messages.Accepted(),
        now,
        queue=call.queue.name,
        partition=call.record.partition,
        repeat=repeat,
    )


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


def _get_found_job(
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
        return calls.answer_call(batch, call, caller_messages.Gone(), now)
    if not isinstance(outcome, store_messages.Found):
        return _handle_failure(purpose, outcome, batch, call, now)
    assert isinstance(outcome.value, records.StateRecord)
    return FoundJob(call, outcome.value, outcome)


@dispatch.handle_store_reply.register(StateRead)
def handle_state_read(
    purpose: StateRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Shows the state of a job that was read from the store."""
    job = _get_found_job(purpose, reply, batch, now)
    if not isinstance(job, FoundJob):
        return job
    record = job.record
    job_id = job.call.job_id
    shown = FINAL_STATE_NAMES.get(record.state) or _describe_progress(
        batch, job_id, record
    )
    return calls.answer_call(
        batch, job.call, caller_messages.StateShown(shown), now
    )


def _describe_progress(
    batch: state.Batch, job_id: str, record: records.StateRecord
) -> str:
    summary = batch.summaries.get(record.partition)
    if summary and job_id in summary.pending.get(record.queue, ()):
        return "queued"
    return "running"


@dispatch.handle_store_reply.register(CancelRead)
def handle_cancel_read(
    purpose: CancelRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Stores a job as cancelled, unless it has ended."""
    job = _get_found_job(purpose, reply, batch, now)
    if not isinstance(job, FoundJob):
        return job
    call, record, found = job.call, job.record, job.found
    if record.state is not model.JobState.ACCEPTED:
        answer = caller_messages.Cancelled()
        return calls.answer_call(batch, call, answer, now, state=record.state)
    wall_clock_ms = round((now + batch.identity.wall_clock_offset_s) * 1000)
    puts, removals = jobs.make_final_writes(
        record, call.job_id, model.JobState.CANCELLED, wall_clock_ms
    )
    return [
        store_messages.StoreTransaction(
            CancelWrite(call.call_id),
            ((found.key, found.revision),),
            tuple(puts),
            tuple(removals),
        )
    ]


@dispatch.handle_store_reply.register(CancelWrite)
def handle_cancel_write(
    purpose: CancelWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Answers a cancellation that is stored.

    After a conflict, the job's state is read again.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    if isinstance(reply.outcome, store_messages.Committed):
        return calls.answer_call(batch, call, caller_messages.Cancelled(), now)
    if isinstance(reply.outcome, store_messages.Conflict):
        return _send_to_store(CancelRead(call.call_id), call)
    return _handle_failure(purpose, reply.outcome, batch, call, now)
