"""Owner key and job records of a partition, read and followed by its owner.

Both lie under one prefix, so that an owner sees them in the order in which they
were written. Whatever job record it takes, it knows of every change of its own
key that came before: an owner that was replaced resigns before it learns of
jobs that its successor may start.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "records"
RETRY_S = 0.2
# A connection can go silent for good; a follow ends after this and a margin.
WATCH_TIMEOUT_S = 1.5

Change = store_messages.Found | store_messages.Removed


@attrs.frozen
class JobsRead(store_messages.Purpose):
    """Reads the owner key and all job records of a partition."""

    partition: str
    token: int


@attrs.frozen
class JobsWatch(store_messages.Purpose):
    """Waits for changes of the owner key and job records of a partition."""

    partition: str
    token: int


@attrs.frozen
class JobsReadDue(messages.Timer):
    """Reads the records of a partition again after a failure."""

    partition: str
    token: int


@attrs.frozen
class JobsLoaded(messages.Event):
    """The job records that a new owner needs were read."""

    partition: str


def read(partition: state.Partition) -> dispatch.Effects:
    """Reads the owner key and all job records, unless that is under way."""
    if partition.reading:
        return []
    partition.reading = True
    return [
        store_messages.StoreList(
            JobsRead(partition.name, partition.token),
            records.name_live_prefix(partition.name),
            records.LIVE_DOCUMENTS,
        )
    ]


@dispatch.expire.register(JobsReadDue)
def read_again(
    timer: JobsReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the records again."""
    partition = batch.find_owned(timer.partition, timer.token)
    return read(partition) if partition else []


@dispatch.resume.register(JobsRead)
def apply_records(
    purpose: JobsRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes all records; an owner that loads goes on with the progress."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.reading = False
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        timer = JobsReadDue(partition.name, partition.token)
        return [messages.StartTimer(timer, RETRY_S, 0.3)]
    effects = _check_owner(batch, partition, outcome, now)
    if partition.name not in batch.partitions:
        return effects
    effects.append(_make_log(partition, outcome, reply, now))
    effects += _apply_jobs(batch, partition, outcome, now)
    if partition.phase is state.Phase.LOADING:
        effects += dispatch.handle(JobsLoaded(partition.name), batch, now)
    if not partition.following:
        effects += _watch(partition, outcome.revision)
    return effects


def _make_log(
    partition: state.Partition,
    outcome: store_messages.Listed,
    reply: store_messages.StoreReply,
    now: float,
) -> messages.Log:
    fields = {
        "partition": partition.name,
        "token": partition.token,
        "revision": outcome.revision,
        "entries": len(outcome.entries),
        "age_s": round(now - reply.sent_at, 3),
    }
    return messages.Log(PART, "read", fields)


def _check_owner(
    batch: state.Batch,
    partition: state.Partition,
    outcome: store_messages.Listed,
    now: float,
) -> dispatch.Effects:
    """Resigns where a list shows that another instance owns a partition."""
    token = next(
        (
            found.create_revision
            for found in outcome.entries
            if isinstance(found.value, records.OwnerRecord)
        ),
        None,
    )
    if token is None and partition.token <= outcome.revision:
        return ownership.resign(batch, partition.name, "key_removed", now)
    if token is not None and token > partition.token:
        return ownership.resign(batch, partition.name, "other_owner", now)
    return []


def _apply_jobs(
    batch: state.Batch,
    partition: state.Partition,
    outcome: store_messages.Listed,
    now: float,
) -> dispatch.Effects:
    """Takes the listed jobs.

    Pages are no snapshot: what is newer than the first one is left to the
    follow, which shows it after earlier changes of the owner key.
    """
    listed = [
        make_loaded(found, found.value)
        for found in outcome.entries
        if isinstance(found.value, records.JobRecord)
    ]
    jobs = [job for job in listed if job.revision <= outcome.revision]
    if partition.phase is state.Phase.LOADING:
        if any(_changed_during_list(partition, job, outcome) for job in listed):
            # Listings of its runs would come before its record.
            return read(partition)
        partition.loaded = jobs
        partition.loaded_revision = outcome.revision
        return []
    effects: dispatch.Effects = []
    for loaded in jobs:
        event = commits.JobSeen(partition.name, loaded)
        effects += dispatch.handle(event, batch, now)
    present = {job.record.job_id for job in listed}
    for job_id, job in list(partition.jobs.items()):
        if job_id not in present and job.revision <= outcome.revision:
            removed = state.RemovedJob(job_id, outcome.revision, now)
            event = commits.JobSeen(partition.name, removed)
            effects += dispatch.handle(event, batch, now)
    return effects


def _changed_during_list(
    partition: state.Partition,
    job: state.LoadedJob,
    outcome: store_messages.Listed,
) -> bool:
    """Tells whether a job that may have runs was changed during the list."""
    return job.revision > outcome.revision and job.created < partition.token


def make_loaded(
    found: store_messages.Found, record: records.JobRecord
) -> state.LoadedJob:
    """Returns a job record with its revisions."""
    return state.LoadedJob(record, found.revision, found.create_revision)


def _watch(partition: state.Partition, revision: int) -> dispatch.Effects:
    partition.following = True
    return [
        store_messages.StoreFollow(
            JobsWatch(partition.name, partition.token),
            records.name_live_prefix(partition.name),
            revision,
            records.LIVE_DOCUMENTS,
            WATCH_TIMEOUT_S,
        )
    ]


@dispatch.resume.register(JobsWatch)
def apply_changes(
    purpose: JobsWatch,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes changes in their order and goes on following them."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.following = False
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Followed):
        timer = JobsReadDue(partition.name, partition.token)
        return [messages.StartTimer(timer, RETRY_S, 0.3)]
    effects: dispatch.Effects = []
    for change in outcome.changes:
        if partition.name not in batch.partitions:
            return effects
        effects += _apply_change(batch, partition, change, now)
    if partition.name not in batch.partitions:
        return effects
    return effects + _watch(partition, outcome.revision)


def _apply_change(
    batch: state.Batch,
    partition: state.Partition,
    change: Change,
    now: float,
) -> dispatch.Effects:
    if change.key == records.name_live_owner_key(partition.name):
        return ownership.apply_owner_change(batch, partition.name, change, now)
    seen = parse_change(partition, change, now)
    if seen is None:
        return []
    if partition.phase is state.Phase.ACTIVE:
        event = commits.JobSeen(partition.name, seen)
        return dispatch.handle(event, batch, now)
    # A read that is under way may be older than this change.
    partition.changes.append(seen)
    return []


def parse_change(
    partition: state.Partition, change: Change, now: float
) -> state.LoadedJob | state.RemovedJob | None:
    """Returns what a change says of a job, if it is one of a job's record."""
    if isinstance(change, store_messages.Removed):
        prefix = records.name_live_jobs_prefix(partition.name)
        job_id = change.key.removeprefix(prefix)
        return state.RemovedJob(job_id, change.revision, now)
    if isinstance(change.value, records.JobRecord):
        return make_loaded(change, change.value)
    return None
