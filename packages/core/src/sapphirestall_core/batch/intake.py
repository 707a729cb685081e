"""Handlers of callers' calls, which are answered from the platform's store.

An instance keeps no state of jobs for its callers. It accepts a job once the
store has confirmed the record, and it shows the state that the store holds.
"""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pending_jobs
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_calls
from sapphirestall_core.batch import submissions
from sapphirestall_core.batch import summary_reads

MAX_SUMMARY_AGE_S = 0.7
FINAL_STATE_NAMES = {
    model.JobState.CANCELLED: "cancelled",
    model.JobState.COMPLETED: "completed",
    model.JobState.FAILED: "failed",
}


@attrs.frozen
class Submission(store_calls.CallWrite):
    """Purpose of the write of the record of a new job."""


@attrs.frozen
class StateRead(store_calls.CallPurpose):
    """Purpose of the read of a job's state to show it."""


@attrs.frozen
class RepeatRead(store_calls.CallPurpose):
    """Purpose of the read of the state that a submission has found."""


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
    effects = store_calls.send(Submission(call.call_id), call)
    if now - batch.summaries_read_at > MAX_SUMMARY_AGE_S:
        effects += summary_reads.read_summaries(batch, now)
    return effects


@store_calls.make_store_call.register
def _(purpose: Submission, call: state.Call) -> store_messages.StoreEffect:
    assert call.record is not None
    key = records.make_state_key(call.job_id)
    job_key = records.make_job_key(call.record.partition, call.job_id)
    puts = (
        store_messages.Put(key, records.make_accepted_state(call.record)),
        store_messages.Put(job_key, call.record),
    )
    return store_messages.StoreTransaction(purpose, ((key, 0),), puts)


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
        return store_calls.send(StateRead(call.call_id), call)
    return pending_jobs.count(batch, call, now)


@dispatch.handle_store_reply.register(Submission)
def handle_submission(
    purpose: Submission,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Answers a submission when its record is stored.

    If a state of the job is already stored, it is read: either the call is a
    repeat, or the job was cancelled before.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    if isinstance(reply.outcome, store_messages.Unavailable):
        return store_calls.handle_failure(
            purpose, reply.outcome, batch, call, now
        )
    if isinstance(reply.outcome, store_messages.Conflict):
        # Until the state is read, the job may have been accepted before.
        call.ambiguous = True
        return store_calls.send(RepeatRead(call.call_id), call)
    assert isinstance(reply.outcome, store_messages.Committed)
    assert call.record is not None
    return calls.answer_call(
        batch,
        call,
        caller_messages.Accepted(),
        now,
        queue=call.queue.name,
        partition=call.record.partition,
    )


@dispatch.handle_store_reply.register(RepeatRead)
def handle_repeat_read(
    purpose: RepeatRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Answers a submission of a job of which a state was stored before.

    A repeat is answered like the first submission. A job that was cancelled
    before it was submitted never runs, nor does one whose id belongs to a job
    of another queue: tasks are told apart by the id alone.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Unavailable):
        return store_calls.handle_failure(purpose, outcome, batch, call, now)
    answer: caller_messages.Answer
    if not isinstance(outcome, store_messages.Found):
        # The state was removed after its retention time.
        answer = caller_messages.Undecided("state_removed")
        return calls.answer_call(batch, call, answer, now)
    assert isinstance(outcome.value, records.StateRecord)
    is_own = outcome.value.queue == call.queue.name
    if outcome.value.submitted and is_own:
        answer = caller_messages.Accepted()
    elif not is_own:
        answer = caller_messages.Refused("id_in_use", calls.MIN_RETRY_AFTER_S)
    else:
        answer = caller_messages.Refused("cancelled", calls.MIN_RETRY_AFTER_S)
    return calls.answer_call(
        batch,
        call,
        answer,
        now,
        queue=call.queue.name,
        partition=outcome.value.partition,
        repeat=outcome.value.submitted and is_own,
    )


@dispatch.handle_store_reply.register(StateRead)
def handle_state_read(
    purpose: StateRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Shows the state of a job that was read from the store."""
    job = store_calls.get_found_job(purpose, reply, batch, now)
    if not isinstance(job, store_calls.FoundJob):
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
