"""Reads job records: lists, single reads, and when to read them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import inventory
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import peer_messages
from sapphirestall_core import records
from sapphirestall_core import starts
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "jobs"
JOB_LIST_PERIOD_S = 60.0
RECORD_RETENTION_S = 24 * 3600.0
# Assignments and cancellations that arrive within this time are read together.
READ_BATCHING_DELAY_S = 0.05
# From this number of records on, one list is cheaper than single reads.
MAX_SINGLE_READS = 8


@attrs.frozen
class JobListDue(messages.Timer):
    """Time to list the job records again."""


@attrs.frozen
class RecordReadsDue(messages.Timer):
    """Time to read the records of which peers spoke."""


@attrs.frozen
class ListJobRecords(store_messages.Purpose):
    """Reads the jobs of the data centre.

    Attributes:
        epochs: Own epochs when the list was asked for.
    """

    epochs: tuple[int, ...]


@attrs.frozen
class ReadJobRecord(store_messages.Purpose):
    """Reads one job."""

    job_id: str


def list_records(instance: state.Instance) -> dispatch.Effects:
    """Returns the call that lists all job records of the data centre."""
    epochs = tuple(p.epoch for p in instance.tasks.find_owned())
    if not epochs:
        return []
    prefix = jobs.make_job_key(instance.identity.data_centre, "")
    purpose = ListJobRecords(epochs)
    return [store_messages.StoreList(purpose, prefix, jobs.JobRecord)]


@dispatch.handle_timer.register(JobListDue)
def list_periodically(
    timer: JobListDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Lists the records, in case a peer's message was lost."""
    again = messages.StartTimer(JobListDue(), JOB_LIST_PERIOD_S, 0.2)
    return [*list_records(instance), again]


@dispatch.handle_store_reply.register(ListJobRecords)
def handle_record_list(
    purpose: ListJobRecords,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Takes all records; a first list completes a takeover."""
    if not isinstance(reply.outcome, store_messages.Listed):
        return [messages.CountRetry(PART, "store_unavailable")]
    effects: dispatch.Effects = []
    present = set()
    for found in reply.outcome.entries:
        if not isinstance(found.value, jobs.JobRecord):
            continue
        present.add(found.value.job_id)
        effects += records.apply_record(
            found.value, found.version, found.create_revision, instance, now
        )
        effects += _delete_expired(found, found.value, instance, now)
    effects += _cancel_deleted(present, reply.outcome.revision, instance, now)
    for partition in instance.tasks.find_owned():
        lease = instance.tasks.lease
        authority = ownership.find_authority(partition, lease, now)
        sure = authority is ownership.Authority.LEASE
        if (
            sure
            and not partition.jobs_listed
            and partition.epoch in purpose.epochs
        ):
            partition.jobs_listed = True
            records.bind_attempts(partition, instance)
            effects += inventory.stop_unwanted(partition, instance, now)
        effects += starts.place(partition, instance, now)
    return effects


def _delete_expired(
    found: store_messages.Found,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    first = instance.tasks.partitions.get(record.slices[0].partition)
    wall_now = now + instance.identity.wall_clock_offset_s
    kept = wall_now < record.ended_at + RECORD_RETENTION_S
    if record.state is jobs.JobState.ACTIVE or kept:
        return []
    if first is None or not first.epoch:
        return []
    purpose = DeleteRecord(record.job_id)
    return [store_messages.StoreDelete(purpose, found.key, found.version)]


@attrs.frozen
class DeleteRecord(store_messages.Purpose):
    """Deletes the record of a job that ended long ago."""

    job_id: str


@dispatch.handle_store_reply.register(DeleteRecord)
def handle_delete_reply(
    purpose: DeleteRecord,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Leaves a failed deletion to the next list."""
    return []


def _cancel_deleted(
    present: set[str], revision: int, instance: state.Instance, now: float
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    for job in list(instance.tasks.jobs.values()):
        record = job.record
        if record.job_id in present or job.create_revision > revision:
            continue
        gone = attrs.evolve(record, state=jobs.JobState.CANCELLED)
        effects += records.apply_record(
            gone, job.version, job.create_revision, instance, now
        )
    return effects


@dispatch.receive.register(peer_messages.SliceAssigned)
def record_assignment(
    message: peer_messages.SliceAssigned,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Plans to read a record that a peer created or changed."""
    tasks = instance.tasks
    first = not tasks.unread_job_ids
    tasks.unread_job_ids.add(message.job_id)
    return (
        [messages.StartTimer(RecordReadsDue(), READ_BATCHING_DELAY_S)]
        if first
        else []
    )


@dispatch.handle_timer.register(RecordReadsDue)
def read_records(
    timer: RecordReadsDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the records that peers spoke of, in one call if they are many."""
    unread = sorted(instance.tasks.unread_job_ids)
    instance.tasks.unread_job_ids.clear()
    if len(unread) > MAX_SINGLE_READS:
        return list_records(instance)
    data_centre = instance.identity.data_centre
    return [
        store_messages.StoreGet(
            ReadJobRecord(job_id),
            jobs.make_job_key(data_centre, job_id),
            jobs.JobRecord,
        )
        for job_id in unread
    ]


@dispatch.handle_store_reply.register(ReadJobRecord)
def handle_record(
    purpose: ReadJobRecord,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Takes one record and places its tasks."""
    match reply.outcome:
        case store_messages.Found(value=jobs.JobRecord() as record) as found:
            effects = records.apply_record(
                record, found.version, found.create_revision, instance, now
            )
            for partition in instance.tasks.find_owned():
                if record.job_id in partition.shares:
                    effects += starts.place(partition, instance, now)
            return effects
        case store_messages.Unavailable():
            # The periodic list covers a read that keeps failing.
            return [messages.CountRetry(PART, "store_unavailable")]
    return []
