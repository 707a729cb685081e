"""Communication of an owner with one worker: polls, answers and refusals.

A poll asks a worker for its runs and extends their leases. Each worker has at
most two polls in flight: a long poll, which waits at the worker until a run
ends, and a short poll, which returns at once. Polls are numbered, and an answer
completes only the poll with the same number.
"""

import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_lease
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import withheld_leases
from sapphirestall_core.batch import worker_messages

PART = "workers"
# A worker that refused a call gets no starts for this time.
REFUSAL_PAUSE_S = 0.5
# Longest wait of a long poll for the end of a run. The shorter time applies to
# workers with tasks that have a tail latency target, because each answer also
# carries latency measurements, to draining workers, because their last answer
# tells whether they have left, and to all workers while the confirmation of the
# ownership is overdue, because it then has to be known that they answer.
LONG_POLL_S = 1.5
LATENCY_LONG_POLL_S = 0.4
# Longest lease that polls request from a draining worker, in seconds. Its runs
# end with it, and nothing but the end of their leases proves that they have. In
# most cases it outlasts the kill of the owner.
DRAINING_LEASE_S = 3.5
# Refusal reason: another worker answers at the address, so this worker and its
# runs no longer exist.
REPLACED = "replaced"
# The worker announced its departure and has exited.
DEPARTED = "departed"
# Reasons for which no start can be carried out late.
FINAL_REASONS = (REPLACED, DEPARTED)
# Refusal reason: the worker is overloaded, and has done nothing.
UNHEALTHY = "unhealthy"
# Refusal reason: a newer incarnation of the worker answers than the call named.
# It may have carried out the call.
RESTARTED = "reborn"


@attrs.frozen
class RosterDue(messages.Event):
    """Reports that the roster of a partition may no longer be right.

    Its workers may have changed, or one of them may be silent or answer again.
    """

    partition: str


def find_worker(
    call: worker_messages.WorkerCall, batch: state.Batch
) -> tuple[state.Partition, state.Worker] | None:
    """Returns the worker that a call was sent to, and its partition.

    Returns:
        Partition and worker; None if the partition is no longer owned under the
        token of the call, or the worker now has another incarnation or address.
    """
    partition = batch.find_owned(call.partition, call.token)
    if partition is None:
        return None
    worker = partition.workers.get(call.target.worker_id)
    if worker is None or worker.target != call.target:
        return None
    return partition, worker


def make_worker(entry: model.WorkerEntry) -> state.Worker:
    """Returns the state of a worker that was not called yet."""
    target = worker_messages.Target(
        entry.worker_id, entry.started_at_ms, entry.address
    )
    return state.Worker(entry, target)


def record_answer(
    worker: state.Worker,
    clock_ms: int | None,
    now: float,
    *,
    carried_out_at: float = -math.inf,
) -> None:
    """Records an answer of a worker.

    Args:
        worker: The worker.
        clock_ms: Its clock in the answer, in milliseconds; None if it has none.
        now: Monotonic time, in seconds.
        carried_out_at: Monotonic time before which the worker cannot have
            carried out the call, in seconds: that of the call. Left out if it
            refused the call.
    """
    if clock_ms is not None:
        leases.record_clock(worker, clock_ms, now)
    worker.answered_call_sent_at = max(
        worker.answered_call_sent_at, carried_out_at
    )
    worker.last_answer_at = now
    worker.unresponsive = False


def record_missing_answer(
    worker: state.Worker, event: worker_messages.WorkerReplied
) -> None:
    """Marks a worker as unresponsive after a call without an answer.

    The worker is not marked if the cause lies in this process or if it has
    answered another call since this one was sent.
    """
    answered = (worker.last_answer_at or 0.0) > event.sent_at
    if not answered and not has_local_cause(event.reply):
        worker.unresponsive = True


def did_nothing(reply: worker_messages.Reply) -> bool:
    """Returns whether a reply proves that a call has extended no lease.

    Other refusals may follow after an extension.
    """
    if isinstance(reply, worker_messages.Rejected):
        return reply.reason == UNHEALTHY
    return isinstance(reply, worker_messages.NotSent)


def has_local_cause(reply: worker_messages.Reply) -> bool:
    """Returns whether a call got no answer for a cause in this process."""
    return isinstance(reply, worker_messages.NoAnswer) and reply.local


def handle_refusal(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    reply: worker_messages.Rejected,
    now: float,
) -> dispatch.Effects:
    """Handles a refusal of a call.

    A refused fencing token ends the ownership of the partition. The runs of a
    replaced worker are removed and their tasks are queued again. After any
    other reason the worker gets no starts for `REFUSAL_PAUSE_S`.
    """
    if reply.reason == "fence":
        return ownership.resign(batch, partition.name, ownership.FENCED, now)
    if reply.reason == REPLACED:
        worker.unresponsive = True
        partition.unlisted_workers.discard(worker.entry.worker_id)
        return requeue_lost_runs(batch, partition, worker, REPLACED, now)
    stops: dispatch.Effects = []
    if reply.reason == RESTARTED and worker.restarted_at is None:
        worker.restarted_at = now
        stops = stop_abandoned_starts(partition, worker, now)
    record_answer(worker, reply.clock_ms, now)
    worker.paused_until = now + REFUSAL_PAUSE_S
    return [
        messages.CountRefusal(PART, reply.reason),
        make_log(
            "refused", partition, worker.entry.worker_id, reason=reply.reason
        ),
        *stops,
    ]


def requeue_lost_runs(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    reason: str,
    now: float,
) -> dispatch.Effects:
    """Removes the runs of a worker and queues their tasks for another start.

    A run whose start got no answer is kept while a restarted worker may still
    carry out the start, unless this worker is gone for good.
    """
    lost = [
        run
        for run in worker.runs.values()
        if reason in FINAL_REASONS or not may_start_late(run, now)
    ]
    worker.orphans.clear()
    if not lost:
        return []
    effects: dispatch.Effects = []
    for run in lost:
        effects += remove_unlisted_run(batch, worker, run, now)
    log = make_log(
        "runs_lost",
        partition,
        worker.entry.worker_id,
        count=len(lost),
        reason=reason,
        runs=",".join(format_run(run.task.name, run.number) for run in lost),
        clock_age_s=round(now - worker.clock_read_at, 3),
        clock_ms=worker.clock_ms,
        lease_end_ms=leases.find_latest_end(worker),
    )
    return [log, *effects, *passes.request_pass(partition)]


def remove_unlisted_run(
    batch: state.Batch, worker: state.Worker, run: state.Run, now: float
) -> dispatch.Effects:
    """Removes a run that has ended although no listing has shown its end.

    The task may be done: a successor may have listed the end and acknowledged
    it, whereupon the worker has discarded it. The tasks of the job are
    therefore started only after a later confirmation of the ownership, which
    is requested here.
    """
    run.task.job.runs_lost_at = now
    passes.remove_run(worker, run)
    return store_lease.request_confirmation(batch, now)


def may_start_late(run: state.Run, now: float) -> bool:
    """Returns whether an unanswered start may still be carried out."""
    if run.started_clock_ms is not None or run.start_unanswered_at is None:
        return False
    return now < run.started_at + leases.LATE_COMMAND_S


def stop_abandoned_starts(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Stops all starts that a restarted worker may still carry out.

    The new incarnation does not know of stops that a former one confirmed.
    """
    return [
        worker_messages.StopRun(
            worker.target, partition.name, partition.token, task, number
        )
        for (task, number), until in worker.abandoned_starts.items()
        if now < until
    ]


def long_poll(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Sends a long poll to a worker, unless one is in flight."""
    if worker.long_poll is not None:
        return []
    is_short = (
        worker.serving_cpu_millis
        or worker.entry.draining
        or tenure.is_overdue(batch, now)
    )
    wait_s = LATENCY_LONG_POLL_S if is_short else LONG_POLL_S
    lease_s = _choose_lease(batch, partition, worker, now)
    call = make_poll(partition, worker, lease_s, now, wait_s)
    worker.long_poll = call.number
    return [call]


def short_poll(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Sends a short poll to a worker.

    If one is in flight, another follows its answer.
    """
    if worker.short_poll is not None:
        worker.short_poll_again = True
        return []
    lease_s = _choose_lease(batch, partition, worker, now)
    call = make_poll(partition, worker, lease_s, now, 0.0)
    worker.short_poll = call.number
    worker.short_poll_again = False
    return [call]


def _choose_lease(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> float | None:
    """Returns the duration of the lease to request from a worker, in seconds.

    Returns:
        None, for no extension, if this owner may have a successor.
    """
    lease_s = tenure.choose_lease(batch, partition, now)
    if lease_s is None or not worker.entry.draining:
        return lease_s
    return min(lease_s, DRAINING_LEASE_S)


def finish_poll(worker: state.Worker, number: int) -> bool:
    """Records that a poll has completed.

    Returns:
        Whether a poll with this number was in flight.
    """
    if number == worker.long_poll:
        worker.long_poll = None
    elif number == worker.short_poll:
        worker.short_poll = None
    else:
        return False
    return True


def make_poll(
    partition: state.Partition,
    worker: state.Worker,
    lease_s: float | None,
    now: float,
    wait_s: float,
) -> worker_messages.HoldLease:
    """Returns the call that polls a worker.

    It extends the leases only if the owner is active, and the worker responds
    and has listed its runs.

    Args:
        partition: The owned partition.
        worker: The worker to poll; its poll time and lease are updated.
        lease_s: Duration of the requested lease, in seconds; None for none.
        now: Monotonic time, in seconds.
        wait_s: How long the worker may wait for the end of a run, in seconds.
    """
    lease_end_ms = None
    partition.poll_number += 1
    # The lease of an unresponsive worker is not extended. Otherwise each poll
    # would postpone the time at which its runs may be started elsewhere.
    is_responsive = worker.restarted_at is None and not worker.unresponsive
    # Before its first listing, `former_runs` decides when the runs of a worker
    # have ended, and that counts no lease of this owner.
    is_active = (
        partition.phase is state.Phase.ACTIVE and worker.listing_received
    )
    if lease_s is not None:
        lease_s = withheld_leases.limit_lease(
            partition, worker.entry.worker_id, lease_s, now
        )
    if lease_s is not None and is_active and is_responsive:
        lease_end_ms = leases.extend(
            worker, partition.poll_number, lease_s, now
        )
    worker.polled_at = now
    return worker_messages.HoldLease(
        worker.target,
        partition.name,
        partition.token,
        # Each incarnation numbers its ends from 1, and an unresponsive worker
        # may have restarted: an old position could discard new ends.
        worker.acknowledged_position if is_responsive else 0,
        lease_end_ms,
        wait_s,
        partition.poll_number,
    )


def format_run(task: model.TaskName, number: int) -> str:
    """Returns the text that identifies a run in log lines."""
    return f"{task.job_id}.{task.step}.{task.index}/{number}"


def make_log(
    text: str, partition: state.Partition, worker_id: str, **fields: object
) -> messages.Log:
    """Returns a log line about a worker, with its partition."""
    return messages.Log(
        PART,
        text,
        {"worker": worker_id, "partition": partition.name, **fields},
    )
