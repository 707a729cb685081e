"""Handlers of callers' calls that cancel a job."""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_calls
from sapphirestall_core.batch import submissions


@attrs.frozen
class CancelRead(store_calls.CallPurpose):
    """Purpose of the read of a job's state to cancel the job."""


@attrs.frozen
class CancelWrite(store_calls.CallWrite):
    """Purpose of the write that marks a job as cancelled."""


@attrs.frozen
class EarlyCancelWrite(store_calls.CallWrite):
    """Purpose of the write that cancels a job before it is submitted."""


@dispatch.handle.register(caller_messages.CancelCalled)
def cancel(
    event: caller_messages.CancelCalled, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts to cancel a job by reading its state.

    The caller is told that the job is cancelled, or that there is none, only
    when no submission of it can take effect any more.
    """
    call = calls.make_call(event, batch, now)
    if isinstance(call, caller_messages.Answer):
        return calls.make_answer(event.call_id, call, path=event.path)
    if not submissions.is_job_id(call.job_id):
        return calls.make_answer(event.call_id, caller_messages.Gone())
    batch.calls[call.call_id] = call
    if calls.is_store_down(batch, now):
        return calls.refuse_without_store(batch, call, now)
    return store_calls.send(CancelRead(call.call_id), call)


@store_calls.handle_unknown_job.register
def _(
    purpose: CancelRead, batch: state.Batch, call: state.Call, now: float
) -> dispatch.Effects:
    """Stores that a job of which no state is known is cancelled.

    A submission of it that another instance has sent to the store may take
    effect seconds later, and its caller may have left meanwhile. The condition
    of its write then fails.
    """
    partition = _choose_early_cancel_partition(batch, call.job_id)
    if partition is None:
        # There may be partitions of which this instance has not learned yet.
        refusal = caller_messages.Refused("no_workers", calls.MIN_RETRY_AFTER_S)
        return calls.answer_call(batch, call, refusal, now)
    wall_clock_ms = round((now + batch.identity.wall_clock_offset_s) * 1000)
    record = records.StateRecord(
        call.queue.name,
        partition,
        model.JobState.CANCELLED,
        ended_ms=wall_clock_ms,
        submitted=False,
    )
    key = records.make_state_key(call.job_id)
    ended_key = records.make_ended_key(partition, call.job_id)
    puts = (
        store_messages.Put(key, record),
        store_messages.Put(ended_key, records.EndedRecord(wall_clock_ms)),
    )
    write = EarlyCancelWrite(call.call_id)
    return [store_messages.StoreTransaction(write, ((key, 0),), puts)]


def _choose_early_cancel_partition(
    batch: state.Batch, job_id: str
) -> str | None:
    """Returns the partition whose owner removes the state of such a job."""
    names = sorted(batch.known_partitions)
    if not names:
        return None
    return names[int(job_id, 16) % len(names)]


@dispatch.handle_store_reply.register(CancelRead)
def handle_cancel_read(
    purpose: CancelRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Stores a job as cancelled, unless it has ended."""
    job = store_calls.get_found_job(purpose, reply, batch, now)
    if not isinstance(job, store_calls.FoundJob):
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
    return _finish_cancel(
        purpose, reply, batch, caller_messages.Cancelled(), now
    )


@dispatch.handle_store_reply.register(EarlyCancelWrite)
def handle_early_cancel_write(
    purpose: EarlyCancelWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Answers that a job does not exist, once it cannot appear any more.

    After a conflict, the job's state is read again.
    """
    return _finish_cancel(purpose, reply, batch, caller_messages.Gone(), now)


def _finish_cancel(
    purpose: store_calls.CallPurpose,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    answer: caller_messages.Answer,
    now: float,
) -> dispatch.Effects:
    """Answers a call to cancel a job if its write has succeeded.

    A write that has failed may still take effect, so the call starts again with
    a read.
    """
    call = batch.calls.get(purpose.call_id)
    if call is None:
        return []
    if isinstance(reply.outcome, store_messages.Committed):
        return calls.answer_call(batch, call, answer, now)
    again = CancelRead(call.call_id)
    if isinstance(reply.outcome, store_messages.Conflict):
        return store_calls.send(again, call)
    return store_calls.handle_failure(
        purpose, reply.outcome, batch, call, now, again=again
    )
