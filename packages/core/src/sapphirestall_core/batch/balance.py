"""Moves of work between partitions.

An owner moves what it can't start: a job of which no run may exist, with its
progress, or single tasks that are long-running. A move is one write of all
copies of the job's record under the owner's key and the record's revision.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_reads

PART = "balance"
# Tasks that wait for longer than this may move, in seconds.
MOVE_DELAY_S = 0.4
# The same for tasks of a job that has started.
STARTED_MOVE_DELAY_S = 1.2
MAX_SUMMARY_AGE_S = 0.9
MOVE_RETRY_S = 0.2
# Partitions that may run tasks of one job; a transaction has 32 entries.
MAX_COPIES = 10
# Jobs moved in one look at the summaries, which lag.
MAX_MOVES = 3


@attrs.frozen
class MoveWrite(store_messages.Purpose):
    """Writes the record of a job of which tasks move."""

    partition: str
    token: int
    loaded: state.LoadedJob


@attrs.frozen
class MoveRetry(messages.Timer):
    """Repeats a move whose outcome is unknown."""

    purpose: MoveWrite


def move_stuck_jobs(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Moves what has waited for long to partitions that have room."""
    if partition.phase is not state.Phase.ACTIVE or batch.shutting_down:
        return []
    stuck = [
        job for job in partition.jobs.values() if _has_stuck_task(job, now)
    ]
    if not stuck:
        return []
    if now - batch.summaries_read_at > MAX_SUMMARY_AGE_S:
        return summary_reads.read_summaries(batch, now)
    former_runs_ended = former_runs.have_ended(partition, now)
    stuck.sort(key=lambda job: (job.queue.priority, job.create_revision))
    effects: dispatch.Effects = []
    for job in stuck:
        if len(effects) >= 2 * MAX_MOVES:
            break
        if former_runs_ended or job.create_revision > partition.token:
            effects += _start_move(batch, partition, job, now)
    return effects


def _has_stuck_task(job: state.Job, now: float) -> bool:
    if job.move_in_flight or job.final_state is not None:
        return False
    delay_s = STARTED_MOVE_DELAY_S if job.start_sent else MOVE_DELAY_S
    return any(
        task.unplaced_since is not None and now - task.unplaced_since > delay_s
        for step in job.steps
        for task in step.runnable.values()
    )


def _start_move(
    batch: state.Batch, partition: state.Partition, job: state.Job, now: float
) -> dispatch.Effects:
    others = {
        name: summary
        for name, summary in routing.list_fresh_summaries(batch, now).items()
        if name != partition.name
        and routing.can_run(summary, job.queue.service, job.record.steps)
    }
    record: records.JobRecord | None = None
    if any(step.step.long_running for step in job.steps):
        record = _move_tasks(batch, job, others, now)
    elif is_idle(partition, job):
        record = _move_job(batch, partition, job, others)
    if record is None:
        return []
    job.move_in_flight = True
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    fields = {
        "job": record.job_id,
        "from": partition.name,
        "to": record.partition,
        "tasks": len(record.moved),
        "summary_age_s": round(now - batch.summaries_read_at, 3),
    }
    return [
        messages.Log(PART, "move", fields),
        _make_move_write(
            partition, MoveWrite(partition.name, partition.token, loaded)
        ),
    ]


def is_idle(partition: state.Partition, job: state.Job) -> bool:
    """Tells whether no run of a job may exist and its progress is stored."""
    if not job.start_sent:
        return True
    if job.record.job_id in partition.dirty_jobs or partition.commit_in_flight:
        return False
    return not any(
        task.run is not None
        for step in job.steps
        for task in step.unfinished.values()
    )


def _move_tasks(
    batch: state.Batch,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
    now: float,
) -> records.JobRecord | None:
    """Returns the record with long-running tasks moved, if any can be."""
    moved = dict(job.record.moved)
    for number, step in enumerate(job.steps):
        if not step.step.long_running:
            continue
        for index, task in step.runnable.items():
            if (
                task.unplaced_since is None
                or now - task.unplaced_since < MOVE_DELAY_S
            ):
                continue
            copies = {move.partition for move in moved.values()}
            full = len(copies) >= MAX_COPIES
            names = [name for name in others if not full or name in copies]
            key = records.name_task(number, index)
            subject = f"{job.record.job_id}.{key}"
            name = routing.choose_for_task(batch, names, step.step, subject)
            if name is not None:
                moved[key] = records.MovedTask(name, task.next_run_number)
    if moved == job.record.moved:
        return None
    return attrs.evolve(job.record, moved=moved)


def _move_job(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
) -> records.JobRecord | None:
    """Returns the record with the whole job moved, if that helps it."""
    step = max(job.record.steps, key=lambda s: s.count * s.amount.cpu_millis)
    own = batch.summaries.get(partition.name)
    if own is None or not others:
        return None
    steps = job.record.steps
    if step.fills:
        loads = {
            name: routing.estimate_load(name, others[name], steps)
            for name in others
        }
        best = routing.choose_by_load(loads, job.record.job_id)
        current_load = routing.estimate_load(partition.name, own, steps)
        is_able = routing.can_run(own, job.queue.service, steps)
        if is_able and current_load - loads[best] <= routing.MIN_LOAD_ADVANTAGE:
            return None
    else:
        best = max(
            others,
            key=lambda name: routing.count_fitting_tasks(
                step, others[name].rooms, step.count
            ),
        )
        if not routing.count_fitting_tasks(
            step, others[best].rooms, step.count
        ):
            return None
    routing.deduct_job(batch, best, job.record.steps)
    if not job.start_sent:
        return attrs.evolve(job.record, partition=best)
    # Runs elsewhere get numbers above those of all runs here.
    first_number = max(
        task.next_run_number
        for step in job.steps
        for task in step.unfinished.values()
    )
    return attrs.evolve(
        job.record,
        partition=best,
        first_number=first_number,
        has_progress=job.progress_revision > 0,
    )


def _make_move_write(
    partition: state.Partition, purpose: MoveWrite
) -> store_messages.StoreTransaction:
    """Returns the write of a move: all copies, the state and the progress."""
    record = purpose.loaded.record
    job = partition.jobs[record.job_id]
    expected = [
        (records.name_owner_key(partition.name), partition.token),
        (
            records.name_job_key(partition.name, record.job_id),
            purpose.loaded.revision,
        ),
    ]
    copies = records.list_copies(record)
    puts = [
        store_messages.Put(records.name_job_key(name, record.job_id), record)
        for name in copies
    ]
    state_key = records.name_state_key(record.job_id)
    puts.append(store_messages.Put(state_key, records.make_state(record)))
    removals = [
        records.name_job_key(name, record.job_id)
        for name in records.list_copies(job.record)
        if name not in copies
    ]
    if record.partition != job.record.partition:
        old = records.name_progress_key(partition.name, record.job_id)
        # Fails where the store has progress that this owner does not know.
        expected.append((old, job.progress_revision))
        if job.progress_revision:
            new = records.name_progress_key(record.partition, record.job_id)
            puts.append(store_messages.Put(new, jobs.make_progress(job)))
            removals.append(old)
    return store_messages.StoreTransaction(
        purpose, tuple(expected), tuple(puts), tuple(removals)
    )


@dispatch.expire.register(MoveRetry)
def retry_move(
    timer: MoveRetry, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats a move; the job's tasks rest until its outcome is known."""
    partition = batch.find_owned(timer.purpose.partition, timer.purpose.token)
    if partition is None:
        return []
    if timer.purpose.loaded.record.job_id not in partition.jobs:
        return []
    return [_make_move_write(partition, timer.purpose)]


@dispatch.resume.register(MoveWrite)
def handle_move_write(
    purpose: MoveWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes the written record; a conflict means that it has changed."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Committed):
        return _apply_move(batch, partition, purpose, outcome, now)
    if isinstance(outcome, store_messages.Conflict):
        return _handle_move_conflict(partition, purpose, outcome)
    return [messages.StartTimer(MoveRetry(purpose), MOVE_RETRY_S, 0.3)]


def _handle_move_conflict(
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Conflict,
) -> dispatch.Effects:
    """Reads the record again; the write can't take effect any more."""
    job_id = purpose.loaded.record.job_id
    job = partition.jobs.get(job_id)
    if job is not None:
        key = records.name_progress_key(partition.name, job_id)
        job.progress_revision = outcome.revisions.get(
            key, job.progress_revision
        )
    return [
        commits.read_record(
            partition, job_id, purpose.loaded.revision, settles_move=True
        )
    ]


def _apply_move(
    batch: state.Batch,
    partition: state.Partition,
    purpose: MoveWrite,
    outcome: store_messages.Committed,
    now: float,
) -> dispatch.Effects:
    loaded = attrs.evolve(purpose.loaded, revision=outcome.revision)
    record = loaded.record
    if partition.name in records.list_copies(record):
        event = commits.JobSeen(partition.name, loaded, settles_move=True)
        return dispatch.handle(event, batch, now)
    partition.note_removed(
        state.RemovedJob(record.job_id, outcome.revision, now)
    )
    job = partition.jobs.get(record.job_id)
    if job is not None and job.revision > outcome.revision:
        # It has come back since.
        return []
    partition.jobs.pop(record.job_id, None)
    if job is not None and not job.start_confirmed:
        partition.moved_jobs[record.job_id] = (record.queue.name, now)
    return []
