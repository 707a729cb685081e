"""Reads and watches of the job records of a partition by its owner.

A copy of the owner key lies under the same prefix as the job records, so that
an owner sees changes to both in the order in which they were written. An owner
that has been replaced therefore resigns before it learns of a job that its
successor may start.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import owner_keys
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import state

PART = "records"
RETRY_S = 0.2
# Longest wait of a watch. If its connection stops answering permanently, the
# watch fails after this time and a margin.
WATCH_TIMEOUT_S = 1.5

Change = store_messages.Found | store_messages.Removed


@attrs.frozen
class JobsRead(store_messages.Purpose):
    """Purpose of the read of a partition's owner key and job records."""

    partition: str
    token: int


@attrs.frozen
class JobsWatch(store_messages.Purpose):
    """Purpose of the watch of a partition's owner key and job records."""

    partition: str
    token: int


@attrs.frozen
class JobsReadDue(messages.Timer):
    """Timer to read the records again after a failed read or watch."""

    partition: str
    token: int


@attrs.frozen
class JobsLoaded(messages.Event):
    """Reports that the job records of a loading owner were read."""

    partition: str


def read(partition: state.Partition) -> dispatch.Effects:
    """Reads the owner key and all job records, unless a read is in flight."""
    if partition.job_read_in_flight:
        return []
    partition.job_read_in_flight = True
    return [
        store_messages.StoreList(
            JobsRead(partition.name, partition.token),
            records.make_live_prefix(partition.name),
            records.LiveDocument,
        )
    ]


@dispatch.handle_timer.register(JobsReadDue)
def read_again(
    timer: JobsReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the records again if the partition is still owned."""
    partition = batch.find_owned(timer.partition, timer.token)
    return read(partition) if partition else []


def _retry_read(partition: state.Partition) -> dispatch.Effects:
    """Reads the records again after a failed read or watch."""
    timer = JobsReadDue(partition.name, partition.token)
    return [messages.StartTimer(timer, RETRY_S, 0.3)]


@dispatch.handle_store_reply.register(JobsRead)
def apply_records(
    purpose: JobsRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies all records that were read and starts the watch if none runs."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.job_read_in_flight = False
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        return _retry_read(partition)
    effects = _check_owner(batch, partition, outcome, now)
    if partition.name not in batch.partitions:
        return effects
    effects.append(_make_log(partition, outcome, reply, now))
    for found in outcome.entries:
        releases.observe_record(batch, partition, found, now)
    effects += _apply_jobs(batch, partition, outcome, now)
    if partition.phase is state.Phase.LOADING:
        effects += dispatch.handle(JobsLoaded(partition.name), batch, now)
    if not partition.watching:
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
    """Resigns if the listed owner key is absent or that of a successor."""
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
    """Keeps the listed jobs for a loading owner, or updates an active owner.

    The pages of a list are not a snapshot. Records newer than the first page
    are ignored here: the watch returns them, after any earlier changes to the
    owner key.
    """
    listed = [
        make_loaded(found, found.value)
        for found in outcome.entries
        if isinstance(found.value, records.JobRecord)
    ]
    jobs = [job for job in listed if job.revision <= outcome.revision]
    if partition.phase is state.Phase.LOADING:
        if any(_changed_during_list(partition, job, outcome) for job in listed):
            # Without its record, the first listing would show runs of this job
            # as belonging to no task, and they would be stopped.
            return read(partition)
        partition.loaded_jobs = jobs
        partition.loaded_revision = outcome.revision
        return []
    effects: dispatch.Effects = []
    for loaded in jobs:
        event = commits.RecordObserved(partition.name, loaded)
        effects += dispatch.handle(event, batch, now)
    present = {job.record.job_id for job in listed}
    # A record that cannot be decoded any more has not been removed.
    prefix = records.make_live_jobs_prefix(partition.name)
    present.update(key.removeprefix(prefix) for key in outcome.unreadable)
    for job_id, job in list(partition.jobs.items()):
        if job_id not in present and job.revision <= outcome.revision:
            removed = state.RemovedJob(job_id, outcome.revision, now)
            event = commits.RecordObserved(partition.name, removed)
            effects += dispatch.handle(event, batch, now)
    return effects


def _changed_during_list(
    partition: state.Partition,
    job: state.LoadedJob,
    outcome: store_messages.Listed,
) -> bool:
    """Returns whether a job that may have runs changed during the list.

    Only jobs older than this ownership can have runs of former owners.
    """
    return (
        job.revision > outcome.revision
        and job.create_revision < partition.token
    )


def make_loaded(
    found: store_messages.Found, record: records.JobRecord
) -> state.LoadedJob:
    """Combines a job record with its store revisions."""
    return state.LoadedJob(record, found.revision, found.create_revision)


def _watch(partition: state.Partition, revision: int) -> dispatch.Effects:
    partition.watching = True
    return [
        store_messages.StoreFollow(
            JobsWatch(partition.name, partition.token),
            records.make_live_prefix(partition.name),
            revision,
            records.LiveDocument,
            WATCH_TIMEOUT_S,
        )
    ]


@dispatch.handle_store_reply.register(JobsWatch)
def apply_changes(
    purpose: JobsWatch,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies changes in order and continues the watch."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.watching = False
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Followed):
        return _retry_read(partition)
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
    if change.key == records.make_live_owner_key(partition.name):
        return owner_keys.apply_owner_change(batch, partition.name, change, now)
    if isinstance(change, store_messages.Found):
        releases.observe_record(batch, partition, change, now)
    observed = parse_change(partition, change, now)
    if observed is None:
        return []
    if partition.phase is state.Phase.ACTIVE:
        event = commits.RecordObserved(partition.name, observed)
        return dispatch.handle(event, batch, now)
    # The read in flight may be older than this change, so it is kept.
    partition.loading_changes.append(observed)
    return []


def parse_change(
    partition: state.Partition, change: Change, now: float
) -> state.LoadedJob | state.RemovedJob | None:
    """Returns the new or removed job record of a change.

    Returns:
        None if the change concerns no job record.
    """
    if isinstance(change, store_messages.Removed):
        prefix = records.make_live_jobs_prefix(partition.name)
        job_id = change.key.removeprefix(prefix)
        return state.RemovedJob(job_id, change.revision, now)
    if isinstance(change.value, records.JobRecord):
        return make_loaded(change, change.value)
    return None
