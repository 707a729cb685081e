"""What an owner knows of its workers, and the leases that it extends there.

Each worker has one hold in flight: a call that extends the lease of all its
runs, waits for an end and lists everything. The next hold acknowledges ends
only after they were committed.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "workers"
ENTRIES_INTERVAL_S = 1.0
TICK_S = 0.25
# A hold waits this long for an end; shorter where tail latencies are watched.
HOLD_WAIT_S = 1.5
WATCHED_HOLD_WAIT_S = 0.4
# Ends that are not committed yet make a hold return at once; meanwhile the
# lease is extended this often.
UNCOMMITTED_HOLD_S = 0.5
STOP_INTERVAL_S = 0.5
# A start that was confirmed is listed from this time on.
LISTING_MARGIN_MS = 100
# Later than any reading of a clock that starts anew.
UNKNOWN_CLOCK_MS = 2**62
# Failed runs in a row, of several jobs, after which a worker gets no work for
# a while.
FAILURES_TO_SUSPEND = 3
SUSPENSION_S = 5.0
REFUSAL_PAUSE_S = 0.5
# Another worker answers at the address: this one and its runs are gone.
REPLACED = "replaced"


@attrs.frozen
class ReadEntries(messages.Effect):
    """Reads the platform's list of workers."""


@attrs.frozen
class EntriesRead(messages.Event):
    """The platform's list of workers; None when it could not be read."""

    entries: tuple[model.WorkerEntry, ...] | None


@attrs.frozen
class EntriesDue(messages.Timer):
    """Reads the platform's list again."""


@attrs.frozen
class TickDue(messages.Timer):
    """Looks for what has timed out."""


def read_entries(batch: state.Batch) -> dispatch.Effects:
    """Reads the platform's list, unless that is under way."""
    if batch.workers_reading:
        return []
    batch.workers_reading = True
    return [ReadEntries()]


@dispatch.expire.register(EntriesDue)
def poll_entries(
    timer: EntriesDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the platform's list while this instance owns a partition."""
    again = messages.StartTimer(EntriesDue(), ENTRIES_INTERVAL_S, 0.1)
    return [again, *(read_entries(batch) if batch.partitions else [])]


@dispatch.handle.register(EntriesRead)
def take_entries(
    event: EntriesRead, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Compares the list with the workers of each owned partition."""
    batch.workers_reading = False
    if event.entries is None:
        return []
    effects: dispatch.Effects = []
    for partition in list(batch.partitions.values()):
        partition.listed = True
        present = set()
        for entry in event.entries:
            if entry.data_centre == partition.name:
                present.add(entry.worker_id)
                effects += _see_entry(batch, partition, entry, now)
        for name, worker in partition.workers.items():
            if name in present:
                worker.missing_since = None
            elif worker.missing_since is None:
                worker.missing_since = now
        effects += dispatch.handle(RosterDue(partition.name), batch, now)
    return effects


@attrs.frozen
class RosterDue(messages.Event):
    """The workers of a partition may differ from its roster."""

    partition: str


def _see_entry(
    batch: state.Batch,
    partition: state.Partition,
    entry: model.WorkerEntry,
    now: float,
) -> dispatch.Effects:
    worker = partition.workers.get(entry.worker_id)
    if worker is not None and worker.entry.born_ms > entry.born_ms:
        return []
    if worker is not None and worker.entry.born_ms == entry.born_ms:
        effects: dispatch.Effects = []
        if entry.draining and not worker.entry.draining:
            effects.append(_log("draining", partition, entry.worker_id))
        worker.entry = entry
        return effects
    target = worker_messages.Target(
        entry.worker_id, entry.born_ms, entry.address
    )
    joined = state.Worker(entry, target)
    partition.workers[entry.worker_id] = joined
    if worker is not None:
        _transfer_runs(worker, joined)
    log = _log(
        "joined",
        partition,
        entry.worker_id,
        born=entry.born_ms,
        runs=len(joined.runs),
    )
    return [log, *hold(batch, partition, joined, now, wait_s=0.0)]


def _transfer_runs(old: state.Worker, new: state.Worker) -> None:
    """Keeps the runs of an incarnation that ended until the next one lists.

    An order may have reached the new incarnation: a run is over only when the
    new one does not list it, and a start without an answer only when the new
    one has also confirmed a stop of it.
    """
    for run in old.runs.values():
        if run.started_clock_ms is None:
            run.phase = state.RunPhase.STOPPING
            run.stop_sent_at = -1e9
            run.until_ms = UNKNOWN_CLOCK_MS
        else:
            run.started_clock_ms = -LISTING_MARGIN_MS
        run.stopped_clock_ms = None
        passes.reserve(new, run)


def _log(
    text: str, partition: state.Partition, worker_id: str, **fields: object
) -> messages.Log:
    return messages.Log(
        PART,
        text,
        {"worker": worker_id, "partition": partition.name, **fields},
    )


def _lose_runs(
    partition: state.Partition, worker: state.Worker, reason: str
) -> dispatch.Effects:
    """Lets the tasks of all runs of a worker wait for another start."""
    lost = list(worker.runs.values())
    for run in lost:
        passes.drop_run(worker, run)
    worker.orphans.clear()
    if not lost:
        return []
    log = _log(
        "runs_lost",
        partition,
        worker.entry.worker_id,
        count=len(lost),
        reason=reason,
    )
    return [log, *passes.plan(partition)]


def hold(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
    wait_s: float | None = None,
) -> dispatch.Effects:
    """Extends the lease of a worker's runs and asks what runs there."""
    if worker.holding:
        return []
    worker.holding = True
    if wait_s is None:
        wait_s = WATCHED_HOLD_WAIT_S if worker.serving_cpu else HOLD_WAIT_S
    lease_s = batch.identity.limits.worker_lease_s
    return [_make_hold(partition, worker, lease_s, now, wait_s)]


def _make_hold(
    partition: state.Partition,
    worker: state.Worker,
    lease_s: float,
    now: float,
    wait_s: float,
) -> worker_messages.HoldLease:
    until_ms = None
    # A worker that does not answer gets no longer lease: its runs would have
    # to be waited for as long as it is asked.
    if partition.phase is state.Phase.ACTIVE and not worker.silent:
        until_ms = leases.extend(worker, lease_s, now)
    return worker_messages.HoldLease(
        worker.target,
        partition.name,
        partition.token,
        worker.acknowledged,
        until_ms,
        wait_s,
    )


def find_worker(
    call: worker_messages.WorkerCall, batch: state.Batch
) -> tuple[state.Partition, state.Worker] | None:
    """Returns the owned worker that a call went to, in that incarnation."""
    partition = batch.partitions.get(call.partition)
    if partition is None or partition.token != call.token:
        return None
    worker = partition.workers.get(call.target.worker_id)
    if worker is None or worker.target != call.target:
        return None
    return partition, worker


def note_answer(worker: state.Worker, clock_ms: int | None, now: float) -> None:
    """Records that a worker has answered."""
    if clock_ms is not None:
        leases.note_clock(worker, clock_ms, now)
    worker.contact_at = now
    worker.silent = False


@dispatch.settle.register(worker_messages.HoldLease)
def end_hold(
    call: worker_messages.HoldLease,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Processes a listing and holds again once its ends are committed."""
    found = find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    worker.holding = False
    reply = event.reply
    if isinstance(reply, worker_messages.Rejected):
        return refuse(batch, partition, worker, reply, now)
    if not isinstance(reply, worker_messages.Listing):
        if worker.silent:
            return []
        worker.silent = True
        age_s = round(now - (worker.contact_at or now), 3)
        detail = getattr(reply, "detail", "")
        log = _log(
            "silent",
            partition,
            worker.entry.worker_id,
            contact_age_s=age_s,
            detail=detail,
        )
        return [log, *hold(batch, partition, worker, now, wait_s=0.0)]
    first = worker.clock_ms is None
    stale = worker.clock_ms is not None and reply.clock_ms < worker.clock_ms
    note_answer(worker, reply.clock_ms, now)
    if first:
        lease_s = batch.identity.limits.worker_lease_s
        leases.assume_lease(worker, lease_s)
    if partition.phase is not state.Phase.ACTIVE:
        return []
    effects: dispatch.Effects = []
    if not stale:
        worker.listed = True
        effects += take_listing(batch, partition, worker, call, reply, now)
    if worker.seen > worker.acknowledged or worker.holding:
        return effects
    wait_s = 0.0 if first else None
    return effects + hold(batch, partition, worker, now, wait_s)


def refuse(
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
        return _lose_runs(partition, worker, REPLACED)
    note_answer(worker, reply.clock_ms, now)
    worker.suspended_until = now + REFUSAL_PAUSE_S
    return [
        messages.CountRefusal(PART, reply.reason),
        _log("refused", partition, worker.entry.worker_id, reason=reply.reason),
    ]


def take_listing(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    call: worker_messages.HoldLease,
    listing: worker_messages.Listing,
    now: float,
) -> dispatch.Effects:
    """Brings the runs of a worker up to date with what it lists."""
    effects: dispatch.Effects = []
    before = len(worker.runs)
    worker.orphans.clear()
    for end in listing.ended:
        if end.position > worker.seen:
            worker.seen = end.position
            effects += _take_end(partition, worker, end, now)
    listed = set()
    for row in listing.running:
        listed.add((row.task, row.number))
        effects += _take_row(partition, worker, row, now)
    for key, run in list(worker.runs.items()):
        if key not in listed and _is_over(batch, run, listing):
            effects.append(
                _log(
                    "run_absent",
                    partition,
                    worker.entry.worker_id,
                    task=f"{key[0].job_id}.{key[0].step}.{key[0].index}",
                    run=run.number,
                    phase=run.phase.value,
                )
            )
            passes.drop_run(worker, run)
    partition.unsettled.discard(worker.entry.worker_id)
    batch.harm.learn(worker)
    effects += pacing.adjust(partition, worker, batch.harm, now)
    if len(worker.runs) < before or listing.ended:
        effects += passes.plan(partition)
    if worker.seen > worker.acknowledged:
        effects += commits.plan(partition)
    return effects


def _is_over(
    batch: state.Batch, run: state.Run, listing: worker_messages.Listing
) -> bool:
    """Tells whether a run that is not listed can't be there any more."""
    if run.stopped_clock_ms is not None:
        return listing.clock_ms > run.stopped_clock_ms
    if run.started_clock_ms is not None:
        return listing.clock_ms > run.started_clock_ms + LISTING_MARGIN_MS
    return listing.clock_ms > run.until_ms


def _take_row(
    partition: state.Partition,
    worker: state.Worker,
    row: model.RunRow,
    now: float,
) -> dispatch.Effects:
    run = worker.runs.get((row.task, row.number))
    task = jobs.find_task(partition, row.task)
    if run is None and task is not None and task.run is None:
        run = _adopt(worker, task, row, now)
    if run is None:
        worker.orphans.add((row.task, row.number))
        return [_make_stop(partition, worker, row.task, row.number)]
    run.percent = row.percent
    run.reading = row.reading
    if row.checkpoint and task is not None and task.run is run:
        task.checkpoint = row.checkpoint
    if run.phase is state.RunPhase.STARTING:
        run.phase = state.RunPhase.RUNNING
    if run.task.run is not run or task is None:
        return stop(partition, worker, run, now)
    if run.phase is state.RunPhase.STOPPING:
        return stop(partition, worker, run, now)
    return []


def _adopt(
    worker: state.Worker, task: state.Task, row: model.RunRow, now: float
) -> state.Run:
    """Takes over a run that a former owner started."""
    run = state.Run(
        task,
        worker.entry.worker_id,
        row.number,
        state.RunPhase.RUNNING,
        now,
        worker.until_ms,
    )
    run.started_clock_ms = worker.clock_ms
    task.run = run
    task.next_number = max(task.next_number, row.number + 1)
    task.job.started = True
    task.job.steps[task.name.step].waiting.pop(task.name.index, None)
    passes.reserve(worker, run)
    return run


def _take_end(
    partition: state.Partition,
    worker: state.Worker,
    end: model.EndRow,
    now: float,
) -> dispatch.Effects:
    run = worker.runs.get((end.task, end.number))
    if run is not None:
        passes.release(worker, run)
    task = jobs.find_task(partition, end.task)
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
    task.next_number = max(task.next_number, end.number + 1)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    effects: dispatch.Effects = [log]
    over = False
    if end.kind is model.EndKind.DONE and not task.step.long_running:
        worker.failures = 0
        over = jobs.finish_task(task)
        if task.run is not None and task.run is not run:
            effects += _stop_elsewhere(partition, task.run, now)
    elif end.kind is model.EndKind.FAILED:
        effects += _note_failure(partition, worker, now)
        over = jobs.fail_task(task, end, worker.entry.worker_id)
    if not over and (task.run is run or task.run is None):
        jobs.requeue(task)
    if task.step.long_running:
        # Nothing of a task that never ends has to last but its record.
        effects += commits.plan(partition)
    else:
        effects += commits.mark(partition, task.job)
    if over:
        effects += stop_job(partition, task.job, now)
    return effects


def _note_failure(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    worker.failures += 1
    if worker.failures < FAILURES_TO_SUSPEND:
        return []
    worker.suspended_until = now + SUSPENSION_S
    return [
        _log(
            "suspended",
            partition,
            worker.entry.worker_id,
            failures=worker.failures,
            for_s=SUSPENSION_S,
        )
    ]


def _stop_elsewhere(
    partition: state.Partition, run: state.Run, now: float
) -> dispatch.Effects:
    worker = partition.workers.get(run.worker_id)
    if worker is None:
        return []
    return stop(partition, worker, run, now)


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
    """Orders a worker to stop a run; repeated until its end is listed."""
    run.phase = state.RunPhase.STOPPING
    if now - run.stop_sent_at < STOP_INTERVAL_S:
        return []
    run.stop_sent_at = now
    return [_make_stop(partition, worker, run.task.name, run.number)]


def _make_stop(
    partition: state.Partition,
    worker: state.Worker,
    task: model.TaskName,
    number: int,
) -> worker_messages.StopRun:
    return worker_messages.StopRun(
        worker.target, partition.name, partition.token, task, number
    )


@dispatch.settle.register(worker_messages.StopRun)
def end_stop(
    call: worker_messages.StopRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Notes when the worker confirmed a stop, and looks whether it is over."""
    found = find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    reply = event.reply
    if isinstance(reply, worker_messages.Rejected) and reply.reason == "fence":
        return refuse(batch, partition, worker, reply, now)
    if not isinstance(reply, worker_messages.Done | worker_messages.Rejected):
        worker.silent = True
        return []
    note_answer(worker, reply.clock_ms, now)
    run = worker.runs.get((call.task, call.number))
    if run is None or not isinstance(reply, worker_messages.Done):
        return []
    if run.stopped_clock_ms is None:
        run.stopped_clock_ms = reply.clock_ms
    lease_s = batch.identity.limits.worker_lease_s
    # A second hold that does not wait; the one in flight may wait for long.
    return [_make_hold(partition, worker, lease_s, now, 0.0)]


@dispatch.settle.register(worker_messages.StartRun)
def end_start(
    call: worker_messages.StartRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Notes whether a run was started, was refused or may start late."""
    found = find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    run = worker.runs.get((call.task, call.number))
    reply = event.reply
    if isinstance(reply, worker_messages.Done):
        note_answer(worker, reply.clock_ms, now)
        if run is not None:
            run.started_clock_ms = reply.clock_ms
            if run.phase is state.RunPhase.STARTING:
                run.phase = state.RunPhase.RUNNING
        return []
    if isinstance(reply, worker_messages.Rejected):
        effects = refuse(batch, partition, worker, reply, now)
        if run is not None and partition.name in batch.partitions:
            passes.drop_run(worker, run)
            effects += passes.plan(partition)
        return effects
    worker.silent = True
    effects = [
        messages.CountRetry(PART, "start_no_answer"),
        _log(
            "start_no_answer",
            partition,
            worker.entry.worker_id,
            job=call.task.job_id,
            run=call.number,
        ),
    ]
    if run is not None:
        # A confirmed stop voids the start wherever it is.
        effects += stop(partition, worker, run, now)
    return effects


@dispatch.settle.register(worker_messages.PaceRun)
def end_pace(
    call: worker_messages.PaceRun,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Notes that the worker answered; readings tell whether the pace helps."""
    found = find_worker(call, batch)
    if found is None:
        return []
    partition, worker = found
    reply = event.reply
    if isinstance(reply, worker_messages.Rejected) and reply.reason == "fence":
        return refuse(batch, partition, worker, reply, now)
    if isinstance(reply, worker_messages.Done):
        note_answer(worker, reply.clock_ms, now)
    return []


@dispatch.expire.register(TickDue)
def tick(timer: TickDue, batch: state.Batch, now: float) -> dispatch.Effects:
    """Repeats what got no answer and ends what has lapsed."""
    effects: dispatch.Effects = [messages.StartTimer(TickDue(), TICK_S)]
    for partition in list(batch.partitions.values()):
        if partition.unsettled and now >= partition.settled_at > 0:
            names = sorted(partition.unsettled)
            partition.unsettled.clear()
            log = messages.Log(PART, "settled_by_time", {"workers": names})
            effects += [log, *passes.plan(partition)]
        for worker in list(partition.workers.values()):
            effects += _tick_worker(batch, partition, worker, now)
        effects += commits.tick(batch, partition, now)
        effects += balance.tick(batch, partition, now)
        # Also places tasks for which a suspension or a silence has ended.
        effects += passes.plan(partition)
    return effects


def _tick_worker(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    age_s = now - (worker.contact_at if worker.contact_at else -1e9)
    if not worker.holding and age_s > UNCOMMITTED_HOLD_S:
        effects += hold(batch, partition, worker, now, wait_s=0.0)
    if worker.runs and leases.has_lapsed(worker, now):
        effects += _lose_runs(partition, worker, "lapsed")
    for run in list(worker.runs.values()):
        if run.phase is state.RunPhase.STOPPING:
            effects += stop(partition, worker, run, now)
    gone = worker.missing_since is not None and age_s > 3 * HOLD_WAIT_S
    if gone and not worker.runs:
        partition.workers.pop(worker.entry.worker_id, None)
        effects.append(_log("left", partition, worker.entry.worker_id))
    return effects
