"""Contact of an owner with one worker: holds, answers, refusals, lost runs.

Each worker has at most two holds in flight: a poll, which waits for an end,
and a look, which does not. An answer ends only the hold with its number.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "workers"
REFUSAL_PAUSE_S = 0.5
# A poll waits this long for an end; shorter where tail latencies are watched.
LONG_POLL_S = 1.5
LATENCY_LONG_POLL_S = 0.4
# Another worker answers at the address: this one and its runs are gone.
REPLACED = "replaced"
# A later life of the worker answers, and has carried the call out.
RESTARTED = "reborn"


def find_worker(
    call: worker_messages.WorkerCall, batch: state.Batch
) -> tuple[state.Partition, state.Worker] | None:
    """Returns the owned worker that a call went to, in that incarnation."""
    partition = batch.find_owned(call.partition, call.token)
    if partition is None:
        return None
    worker = partition.workers.get(call.target.worker_id)
    if worker is None or worker.target != call.target:
        return None
    return partition, worker


def record_answer(
    worker: state.Worker, clock_ms: int | None, now: float
) -> None:
    """Records that a worker has answered."""
    if clock_ms is not None:
        leases.record_clock(worker, clock_ms, now)
    worker.contact_at = now
    worker.silent = False


def record_missing_answer(
    worker: state.Worker, event: worker_messages.WorkerReplied
) -> None:
    """Takes an order without an answer as a sign that a worker is silent.

    It is no sign of the worker where the cause lies in this process, or where
    the worker has answered another call since.
    """
    answered = (worker.contact_at or 0.0) > event.sent_at
    if not answered and not has_local_cause(event.reply):
        worker.silent = True


def has_local_cause(reply: worker_messages.Reply) -> bool:
    """Tells whether a call got no answer for a cause in this process."""
    return isinstance(reply, worker_messages.NoAnswer) and reply.local


def handle_refusal(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    reply: worker_messages.Rejected,
    now: float,
) -> dispatch.Effects:
    """Handles a refusal: a higher fencing token ends the ownership."""
    if reply.reason == "fence":
        return ownership.resign(batch, partition.name, ownership.FENCED, now)
    if reply.reason == REPLACED:
        worker.silent = True
        return requeue_lost_runs(partition, worker, REPLACED, now)
    stops: dispatch.Effects = []
    if reply.reason == RESTARTED and worker.reborn_at is None:
        worker.reborn_at = now
        stops = stop_late_starts(partition, worker, now)
    record_answer(worker, reply.clock_ms, now)
    worker.suspended_until = now + REFUSAL_PAUSE_S
    return [
        messages.CountRefusal(PART, reply.reason),
        make_log(
            "refused", partition, worker.entry.worker_id, reason=reply.reason
        ),
        *stops,
    ]


def requeue_lost_runs(
    partition: state.Partition, worker: state.Worker, reason: str, now: float
) -> dispatch.Effects:
    """Lets the tasks of all runs of a worker wait for another start.

    A start without an answer is kept while a later life of the worker may
    carry it out, unless another worker has replaced it.
    """
    lost = [
        run
        for run in worker.runs.values()
        if reason == REPLACED or not may_start_late(run, now)
    ]
    for run in lost:
        passes.drop_run(worker, run)
    worker.orphans.clear()
    if not lost:
        return []
    log = make_log(
        "runs_lost",
        partition,
        worker.entry.worker_id,
        count=len(lost),
        reason=reason,
        runs=",".join(format_run(run.task.name, run.number) for run in lost),
        clock_age_s=round(now - worker.clock_at, 3),
        clock_ms=worker.clock_ms,
        lease_end_ms=worker.lease_end_ms,
    )
    return [log, *passes.plan(partition)]


def may_start_late(run: state.Run, now: float) -> bool:
    """Tells whether a start without an answer may still be carried out."""
    if run.started_clock_ms is not None or run.unanswered_at is None:
        return False
    return now < run.started_at + leases.LATE_COMMAND_S


def stop_late_starts(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Stops what a new life of a worker may carry out late.

    Stops that the former life has confirmed are not known to the new one.
    """
    return [
        worker_messages.StopRun(
            worker.target, partition.name, partition.token, task, number
        )
        for (task, number), until in worker.late_starts.items()
        if now < until
    ]


def long_poll(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Extends the lease of a worker's runs and waits for an end there."""
    if worker.poll is not None:
        return []
    wait_s = LATENCY_LONG_POLL_S if worker.serving_cpu else LONG_POLL_S
    lease_s = _choose_lease(batch, partition, now)
    poll = make_poll(partition, worker, lease_s, now, wait_s)
    worker.poll = poll.number
    return [poll]


def short_poll(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Extends the lease of a worker's runs and asks what runs there now."""
    if worker.look is not None:
        worker.look_again = True
        return []
    lease_s = _choose_lease(batch, partition, now)
    poll = make_poll(partition, worker, lease_s, now, 0.0)
    worker.look = poll.number
    worker.look_again = False
    return [poll]


def _choose_lease(
    batch: state.Batch, partition: state.Partition, now: float
) -> float | None:
    """Returns the lease that runs get; None where a successor may count on it.

    A successor starts tasks again once the leases of its predecessor must have
    ended.
    """
    if ownership.may_have_successor(batch, partition, now):
        return None
    return batch.identity.limits.worker_lease_s


def finish_poll(worker: state.Worker, number: int) -> bool:
    """Notes that a hold is over; tells whether it was in flight."""
    if number == worker.poll:
        worker.poll = None
    elif number == worker.look:
        worker.look = None
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
    """Returns a hold; active owners extend the leases with it, if any."""
    lease_end_ms = None
    # A worker that does not answer gets no longer lease: its runs would have
    # to be waited for as long as it is asked.
    is_known = worker.reborn_at is None and not worker.silent
    is_active = partition.phase is state.Phase.ACTIVE
    if lease_s is not None and is_active and is_known:
        lease_end_ms = leases.extend(worker, lease_s, now)
    worker.held_at = now
    partition.hold_number += 1
    return worker_messages.HoldLease(
        worker.target,
        partition.name,
        partition.token,
        # Ends are counted anew in each life, and a silent worker may have a
        # later one.
        worker.acknowledged if is_known else 0,
        lease_end_ms,
        wait_s,
        partition.hold_number,
    )


def format_run(task: model.TaskName, number: int) -> str:
    """Returns the name of a run in log lines."""
    return f"{task.job_id}.{task.step}.{task.index}/{number}"


def make_log(
    text: str, partition: state.Partition, worker_id: str, **fields: object
) -> messages.Log:
    """Returns a log line on a worker."""
    return messages.Log(
        PART,
        text,
        {"worker": worker_id, "partition": partition.name, **fields},
    )
