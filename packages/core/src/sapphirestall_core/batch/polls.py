"""Handling of the listings with which workers answer polls.

A listing names all runs on a worker and the ends of runs that the owner has not
acknowledged. A poll acknowledges an end, so that the worker may discard it,
only after the effect of the end was committed to the store.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import suspensions
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_messages

PART = "workers"
# A worker lists a run at the latest this long after it confirmed the start.
LISTING_MARGIN_MS = 100
# A worker that has not answered for this long counts as unresponsive, even if
# the cause lies in this process.
LOCAL_CAUSE_LIMIT_S = 3.0


@dispatch.handle_worker_reply.register(worker_messages.HoldLease)
def handle_poll_reply(
    call: worker_messages.HoldLease,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Handles the reply to a poll.

    Applies a listing unless its clock is below a reading that is already known:
    answers to polls can overtake each other. A new long poll follows if no
    listed end awaits its commit. Otherwise the worker would answer at once with
    the same ends.
    """
    found = contact.find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    reply = event.reply
    leases.record_outcome(
        worker, call.number, is_refused=contact.did_nothing(reply)
    )
    if not contact.finish_poll(worker, call.number):
        return []
    if isinstance(reply, worker_messages.Rejected):
        return contact.handle_refusal(batch, partition, worker, reply, now)
    if not isinstance(reply, worker_messages.Listing):
        return _handle_failed_poll(batch, partition, worker, reply, now)
    was_usable = usability.is_usable(worker, now)
    effects = _handle_listing(batch, partition, worker, call, event, now)
    if not was_usable and usability.is_usable(worker, now):
        effects += passes.request_pass(partition)
    return effects


def _handle_listing(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    call: worker_messages.HoldLease,
    event: worker_messages.WorkerReplied,
    now: float,
) -> dispatch.Effects:
    """Handles a listing, and sends the next poll unless ends are uncommitted.

    Applies it unless its clock is below a reading that is already known.
    """
    listing = event.reply
    assert isinstance(listing, worker_messages.Listing)
    stale = listing.clock_ms < max(worker.clock_ms or 0, worker.listed_clock_ms)
    contact.record_answer(
        worker, listing.clock_ms, now, carried_out_at=event.sent_at
    )
    lease_s = leases.choose_run_lease(batch.identity.limits)
    worker_id = worker.entry.worker_id
    former_runs.record_contact(partition, worker_id, lease_s, now)
    if not worker.listing_received:
        leases.assume_longest_lease(worker, lease_s, listing.clock_ms)
    if partition.phase is not state.Phase.ACTIVE:
        return []
    effects = _request_roster(batch, partition, worker, now)
    if not stale:
        worker.listing_received = True
        worker.listed_clock_ms = listing.clock_ms
        effects += apply_listing(batch, partition, worker, call, listing, now)
    if worker.short_poll_again:
        effects += contact.short_poll(batch, partition, worker, now)
    if worker.processed_position > worker.acknowledged_position:
        return effects
    return effects + contact.long_poll(batch, partition, worker, now)


def _request_roster(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Has the roster written again if it withholds leases on a worker."""
    if not partition.withholds_leases(worker.entry.worker_id):
        return []
    return dispatch.handle(contact.RosterDue(partition.name), batch, now)


def _handle_failed_poll(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    reply: worker_messages.Reply,
    now: float,
) -> dispatch.Effects:
    """Sends a short poll after a poll without an answer.

    The worker is first marked as unresponsive, so that this poll extends no
    lease, unless the cause lies in this process. A worker that was marked
    before is polled only by the periodic checks.
    """
    if isinstance(reply, worker_messages.NoAnswer) and reply.closed:
        worker.closed_at = now
    if worker.unresponsive:
        return []
    age_s = now - (worker.last_answer_at or now)
    if contact.has_local_cause(reply) and age_s < LOCAL_CAUSE_LIMIT_S:
        retry = messages.CountRetry(PART, "hold_late")
        return [retry, *contact.short_poll(batch, partition, worker, now)]
    worker.unresponsive = True
    log = contact.make_log(
        "silent",
        partition,
        worker.entry.worker_id,
        contact_age_s=round(age_s, 3),
        detail=getattr(reply, "detail", ""),
    )
    return [log, *contact.short_poll(batch, partition, worker, now)]


def apply_listing(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    call: worker_messages.HoldLease,
    listing: worker_messages.Listing,
    now: float,
) -> dispatch.Effects:
    """Updates the runs of a worker from a listing.

    Applies ends that are new, adopts or stops runs that this owner did not
    start, and removes runs that can no longer exist.
    """
    effects: dispatch.Effects = []
    run_count = len(worker.runs)
    orphans = worker.orphans
    worker.orphans = {}
    for end in listing.ended:
        if end.position > worker.processed_position:
            worker.processed_position = end.position
            effects += _apply_end(partition, worker, end, now)
    listed = set()
    for listed_run in listing.running:
        listed.add((listed_run.task, listed_run.number))
        effects += _apply_running(partition, worker, listed_run, orphans, now)
    for key, run in list(worker.runs.items()):
        if key in listed:
            continue
        # If the listing leaves out ends, an unlisted run may have been done.
        if not listing.lists_all_ends() or not _has_run_ended(run, listing):
            effects += commands.stop_unlisted_start(partition, worker, run, now)
        else:
            effects.append(
                contact.make_log(
                    "run_absent",
                    partition,
                    worker.entry.worker_id,
                    run=contact.format_run(*key),
                    phase=run.phase.value,
                    clock_ms=listing.clock_ms,
                    started_clock_ms=run.started_clock_ms,
                    stopped_clock_ms=run.stopped_clock_ms,
                    lease_end_ms=run.lease_end_ms,
                )
            )
            effects += contact.remove_unlisted_run(batch, worker, run, now)
    if listing.lists_all_ends():
        partition.unlisted_workers.discard(worker.entry.worker_id)
    effects += suspensions.record_working_runs(partition, worker, now)
    batch.interference.update(worker, now)
    effects += pacing.adjust_paces(partition, worker, batch.interference, now)
    if len(worker.runs) < run_count or listing.ended:
        effects += passes.request_pass(partition)
    if worker.processed_position > worker.acknowledged_position:
        effects += commits.request_commit(partition)
    return effects


def _has_run_ended(run: state.Run, listing: worker_messages.Listing) -> bool:
    """Returns whether a run that a listing lacks can no longer exist."""
    if run.stopped_clock_ms is not None:
        return listing.clock_ms > run.stopped_clock_ms
    if run.started_clock_ms is not None:
        return listing.clock_ms > run.started_clock_ms + LISTING_MARGIN_MS
    return listing.clock_ms > run.lease_end_ms


def _apply_running(
    partition: state.Partition,
    worker: state.Worker,
    listed_run: model.ListedRun,
    orphans: dict[tuple[model.TaskName, int], float],
    now: float,
) -> dispatch.Effects:
    run = worker.runs.get((listed_run.task, listed_run.number))
    task = jobs.find_unfinished_task(partition, listed_run.task)
    effects: dispatch.Effects = []
    if run is None and task is not None and task.run is None:
        run = _adopt(worker, task, listed_run, now)
        effects.append(
            _make_run_log("adopted", partition, worker, listed_run, task)
        )
    if run is None:
        stops = _stop_orphan(partition, worker, listed_run, orphans, now)
        if not stops:
            return []
        return [
            _make_run_log("unwanted", partition, worker, listed_run, task),
            *stops,
        ]
    run.task.job.start_confirmed = True
    run.progress_percent = listed_run.percent
    run.measurement = listed_run.measurement
    if listed_run.checkpoint and task is not None and task.run is run:
        task.checkpoint = listed_run.checkpoint
    if run.phase is state.RunPhase.STARTING:
        run.phase = state.RunPhase.RUNNING
    if run.started_clock_ms is None:
        run.started_clock_ms = worker.listed_clock_ms
        effects += suspensions.record_answered_start(
            partition, worker, run.started_at
        )
    stopping = run.phase is state.RunPhase.STOPPING
    if run.task.run is not run or task is None or stopping:
        effects += commands.stop(partition, worker, run, now)
    return effects


def _make_run_log(
    text: str,
    partition: state.Partition,
    worker: state.Worker,
    listed_run: model.ListedRun,
    task: state.Task | None,
) -> messages.Log:
    """Returns a log line about a listed run that this owner did not start.

    The line also names the run of the same task that this owner knows, with its
    worker.
    """
    current_run = task.run if task is not None else None
    return contact.make_log(
        text,
        partition,
        worker.entry.worker_id,
        token=partition.token,
        run=contact.format_run(listed_run.task, listed_run.number),
        wanted=task is not None,
        known_run=current_run.number if current_run else "",
        known_on=current_run.worker_id if current_run else "",
    )


def _stop_orphan(
    partition: state.Partition,
    worker: state.Worker,
    listed_run: model.ListedRun,
    orphans: dict[tuple[model.TaskName, int], float],
    now: float,
) -> dispatch.Effects:
    """Stops a run that belongs to no task, unless a stop was just sent."""
    key = (listed_run.task, listed_run.number)
    sent_at = orphans.get(key, -1e9)
    worker.orphans[key] = sent_at
    if now - sent_at < commands.STOP_INTERVAL_S:
        return []
    worker.orphans[key] = now
    return [
        commands.make_stop(
            partition, worker, listed_run.task, listed_run.number
        )
    ]


def _adopt(
    worker: state.Worker,
    task: state.Task,
    listed_run: model.ListedRun,
    now: float,
) -> state.Run:
    """Assigns a run that a former owner started to its task.

    That owner may have set another pace than the full one, which no listing
    shows, so that the first pace that is chosen here is sent in any case.
    """
    run = state.Run(
        task,
        worker.entry.worker_id,
        listed_run.number,
        state.RunPhase.RUNNING,
        now,
        leases.find_latest_end(worker),
        pace_unconfirmed=task.step.fills,
    )
    task.run = run
    task.next_run_number = max(task.next_run_number, listed_run.number + 1)
    task.job.start_sent = True
    task.job.steps[task.name.step].runnable.pop(task.name.index, None)
    passes.reserve(worker, run)
    return run


def _apply_end(
    partition: state.Partition,
    worker: state.Worker,
    end: model.EndedRun,
    now: float,
) -> dispatch.Effects:
    run = worker.runs.get((end.task, end.number))
    if run is not None:
        passes.release(worker, run)
    task = jobs.find_unfinished_task(partition, end.task)
    log = messages.Log(
        PART,
        "end",
        {
            "job": end.task.job_id,
            "task": f"{end.task.step}.{end.task.index}",
            "run": end.number,
            "how": end.kind.value,
            "worker": worker.entry.worker_id,
            "wanted": task is not None,
            "ran_s": round(now - run.started_at, 3) if run else "",
        },
    )
    if task is None:
        return [log]
    # If a former owner started the run, this end is the first sign of it.
    task.job.start_sent = task.job.start_confirmed = True
    task.next_run_number = max(task.next_run_number, end.number + 1)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    effects: dispatch.Effects = [log]
    job_ended = False
    if end.kind is model.EndKind.DONE and not task.step.long_running:
        # The start of a run of a former owner is not known. As with its failed
        # runs, the order of the ends takes the place of that of the starts.
        started_at = run.started_at if run else now
        effects += suspensions.record_done(partition, worker, started_at)
        job_ended = jobs.finish_task(task)
        if task.run is not None and task.run is not run:
            effects += _stop_other_run(partition, task.run, now)
    elif end.kind is model.EndKind.FAILED:
        step = task.job.steps[end.task.step]
        ran_s = now - run.started_at if run else 0.0
        effects += suspensions.record_failure(
            partition, worker, step, ran_s, now
        )
        job_ended = jobs.record_failed_run(task, end, worker.entry.worker_id)
    if not job_ended and (task.run is run or task.run is None):
        jobs.requeue(task)
    if task.step.long_running:
        # A long-running task has no progress to store; its job record suffices.
        effects += commits.request_commit(partition)
    else:
        effects += commits.mark_dirty(partition, task.job)
    if job_ended:
        effects += commands.stop_job(partition, task.job, now)
    return effects


def _stop_other_run(
    partition: state.Partition, run: state.Run, now: float
) -> dispatch.Effects:
    worker = partition.workers.get(run.worker_id)
    if worker is None:
        return []
    return commands.stop(partition, worker, run, now)
