"""Commands to workers (start, stop, pace) and handling of the replies."""

from sapphirestall_core import messages
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import suspensions
from sapphirestall_core.batch import worker_messages

PART = "workers"
# Minimum time between two stops of a run; usually a stop is answered sooner.
STOP_INTERVAL_S = 0.8
# An unanswered start is stopped if no listing has shown its run within this
# time, in seconds.
UNANSWERED_START_S = 1.0


def stop_job(
    partition: state.Partition, job: state.Job, now: float
) -> dispatch.Effects:
    """Stops all runs of a job that has ended."""
    effects: dispatch.Effects = []
    for worker in partition.workers.values():
        for run in list(worker.runs.values()):
            if run.task.job is job:
                effects += stop(partition, worker, run, now)
    return effects


def stop(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    now: float,
) -> dispatch.Effects:
    """Marks a run as stopping and sends a stop, unless one was just sent.

    The periodic checks repeat the stop until the end of the run is listed.
    """
    run.phase = state.RunPhase.STOPPING
    if now - run.stop_sent_at < STOP_INTERVAL_S:
        return []
    run.stop_sent_at = now
    return [make_stop(partition, worker, run.task.name, run.number)]


def make_stop(
    partition: state.Partition,
    worker: state.Worker,
    task: model.TaskName,
    number: int,
) -> worker_messages.StopRun:
    """Returns the command that stops a run."""
    return worker_messages.StopRun(
        worker.target, partition.name, partition.token, task, number
    )


def set_pace(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    percent: int,
) -> dispatch.Effects:
    """Sets the pace of a run.

    Commands in flight may overtake each other, so a run has at most one pace
    command in flight. The newest pace is sent after the answer to that command.
    """
    if run.task.step.fills:
        worker.paced_cpu_millis -= run.count_paced_cpu()
    run.pace_percent = percent
    if run.task.step.fills:
        worker.paced_cpu_millis += run.count_paced_cpu()
    if run.pace_in_flight:
        return []
    run.pace_in_flight = True
    run.pace_unconfirmed = False
    command = worker_messages.PaceRun(
        worker.target,
        partition.name,
        partition.token,
        run.task.name,
        run.number,
        percent,
    )
    return [command]


@dispatch.handle_worker_reply.register(worker_messages.StopRun)
def handle_stop_reply(
    call: worker_messages.StopRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records when the worker confirmed a stop.

    If the start of the run was never confirmed, a short poll follows to find
    out whether the run exists.
    """
    found = contact.find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    reply = event.reply
    if isinstance(reply, worker_messages.Rejected) and reply.reason == "fence":
        return contact.handle_refusal(batch, partition, worker, reply, now)
    if not isinstance(reply, worker_messages.Done | worker_messages.Rejected):
        contact.record_missing_answer(worker, event)
        return []
    if isinstance(reply, worker_messages.Done):
        contact.record_answer(
            worker, reply.clock_ms, now, carried_out_at=event.sent_at
        )
    else:
        contact.record_answer(worker, reply.clock_ms, now)
    run = worker.runs.get((call.task, call.number))
    if run is None or not isinstance(reply, worker_messages.Done):
        return []
    if run.stopped_clock_ms is None:
        run.stopped_clock_ms = reply.clock_ms
    if run.started_clock_ms is not None:
        # The long poll will return the end of the run.
        return []
    return contact.short_poll(batch, partition, worker, now)


@dispatch.handle_worker_reply.register(worker_messages.StartRun)
def handle_start_reply(
    call: worker_messages.StartRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Handles the reply to a start: confirmed, refused, unsent or unknown."""
    found = contact.find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    run_key = (call.task, call.number)
    run = worker.runs.get(run_key)
    reply = event.reply
    leases.record_outcome(
        worker, run_key, is_refused=contact.did_nothing(reply)
    )
    if isinstance(reply, worker_messages.Done):
        contact.record_answer(
            worker, reply.clock_ms, now, carried_out_at=event.sent_at
        )
        if run is not None:
            return _confirm_start(batch, partition, worker, run, reply, now)
        return []
    if isinstance(reply, worker_messages.Rejected):
        return _handle_refused_start(batch, partition, worker, call, event, now)
    contact.record_missing_answer(worker, event)
    if isinstance(reply, worker_messages.NotSent):
        return _requeue_unsent_start(partition, worker, run, now)
    effects = [
        messages.CountRetry(PART, "start_no_answer"),
        contact.make_log(
            "start_no_answer",
            partition,
            worker.entry.worker_id,
            run=contact.format_run(call.task, call.number),
            late_s=round(now - event.sent_at, 3),
        ),
    ]
    if run is not None and not contact.has_local_cause(reply):
        effects += suspensions.record_unanswered_start(
            partition, worker, run, now
        )
    if run is not None and run.started_clock_ms is None:
        run.start_unanswered_at = now
        effects += contact.short_poll(batch, partition, worker, now)
    return effects


def _confirm_start(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    reply: worker_messages.Done,
    now: float,
) -> dispatch.Effects:
    """Records that a worker has carried out the start of a run."""
    run.started_clock_ms = reply.clock_ms
    run.task.job.start_confirmed = True
    if run.phase is state.RunPhase.STARTING:
        run.phase = state.RunPhase.RUNNING
    effects = suspensions.record_answered_start(
        partition, worker, run.started_at, now
    )
    if run.task.step.fills:
        # A run starts at full pace, which may be too high here.
        due = passes.PaceDue(partition.name, worker.entry.worker_id)
        effects += dispatch.handle(due, batch, now)
    return effects


def _handle_refused_start(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    call: worker_messages.StartRun,
    event: worker_messages.WorkerReplied,
    now: float,
) -> dispatch.Effects:
    """Removes the run of a refused start and queues its task again."""
    reply = event.reply
    assert isinstance(reply, worker_messages.Rejected)
    effects = contact.handle_refusal(batch, partition, worker, reply, now)
    run = worker.runs.get((call.task, call.number))
    if run is None or partition.name not in batch.partitions:
        return effects
    if reply.reason == contact.RESTARTED:
        return effects + _stop_start_after_restart(
            batch, partition, worker, run, now
        )
    log = contact.make_log(
        "start_refused",
        partition,
        worker.entry.worker_id,
        run=contact.format_run(call.task, call.number),
        reason=reply.reason,
        late_s=round(now - event.sent_at, 3),
    )
    passes.remove_run(worker, run)
    return [*effects, log, *passes.request_pass(partition)]


def _stop_start_after_restart(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    now: float,
) -> dispatch.Effects:
    """Stops a run that a restarted worker may have started.

    A listing of the new incarnation tells whether the run exists, once the
    platform's list shows that incarnation. Until then the run may last as long
    as the longest lease.
    """
    run_key = (run.task.name, run.number)
    leases.extend(worker, run_key, batch.identity.limits.worker_lease_s, now)
    leases.record_outcome(worker, run_key, is_refused=False)
    retry = messages.CountRetry(PART, "start_reborn")
    return [retry, *stop(partition, worker, run, now)]


def _requeue_unsent_start(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run | None,
    now: float,
) -> dispatch.Effects:
    """Queues a task again whose start never left this process.

    The worker gets no starts for a short time.
    """
    worker.paused_until = max(
        worker.paused_until, now + contact.REFUSAL_PAUSE_S
    )
    retry = messages.CountRetry(PART, "start_not_sent")
    if run is None:
        return [retry]
    passes.remove_run(worker, run)
    return [retry, *passes.request_pass(partition)]


def stop_unlisted_start(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    now: float,
) -> dispatch.Effects:
    """Stops an unanswered start whose run the worker does not list.

    Once the worker has confirmed the stop, it ignores the start even if that
    arrives later.
    """
    is_starting = run.phase is state.RunPhase.STARTING
    if not is_starting or run.start_unanswered_at is None:
        return []
    return stop(partition, worker, run, now)


def is_start_overdue(run: state.Run, now: float) -> bool:
    """Returns whether no listing has shown an unanswered start in time.

    A listing that shows the run marks it as running.
    """
    if (
        run.phase is not state.RunPhase.STARTING
        or run.start_unanswered_at is None
    ):
        return False
    return now - run.start_unanswered_at > UNANSWERED_START_S


@dispatch.handle_worker_reply.register(worker_messages.PaceRun)
def handle_pace_reply(
    call: worker_messages.PaceRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Sends the newest pace if it differs from the one just answered."""
    found = contact.find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    reply = event.reply
    if isinstance(reply, worker_messages.Rejected) and reply.reason == "fence":
        return contact.handle_refusal(batch, partition, worker, reply, now)
    if isinstance(reply, worker_messages.Done):
        contact.record_answer(
            worker, reply.clock_ms, now, carried_out_at=event.sent_at
        )
    run = worker.runs.get((call.task, call.number))
    if run is None:
        return []
    run.pace_in_flight = False
    if not isinstance(reply, worker_messages.Done):
        # The pace is set again when the next measurements arrive.
        run.pace_unconfirmed = True
        return [_count_unconfirmed_pace(reply)]
    if (
        run.pace_percent == call.percent
        or run.phase is not state.RunPhase.RUNNING
    ):
        return []
    return set_pace(partition, worker, run, run.pace_percent)


def _count_unconfirmed_pace(reply: worker_messages.Reply) -> messages.Effect:
    if isinstance(reply, worker_messages.Rejected):
        return messages.CountRefusal(PART, reply.reason)
    return messages.CountRetry(PART, "pace_no_answer")
