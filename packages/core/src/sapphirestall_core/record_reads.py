"""Reads of job records: periodic lists and reads of single records.

An owner lists the records at takeover and periodically. In between, it reads
the records that peers report as created or changed.
"""

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
# Time for which the record of an ended job is kept.
RECORD_RETENTION_S = 24 * 3600.0
# Records that peers report within this time are read together.
READ_BATCHING_DELAY_S = 0.05
# One list is cheaper than more single reads than this.
MAX_SINGLE_READS = 8


@attrs.frozen
class JobListDue(messages.Timer):
    """Timer to list the job records periodically."""


@attrs.frozen
class RecordReadsDue(messages.Timer):
    """Timer to read the records that peers reported as changed."""


@attrs.frozen
class ListJobRecords(store_messages.Purpose):
    """Purpose of the list of the job records of the data centre.

    Attributes:
        epochs: Epochs of the owned partitions when the list was requested.
    """

    epochs: tuple[int, ...]


@attrs.frozen
class ReadJobRecord(store_messages.Purpose):
    """Purpose of the read of the record of one job."""

    job_id: str


def list_records(instance: state.Instance) -> dispatch.Effects:
    """Lists the job records if this instance owns a partition."""
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
    """Lists the job records, and schedules the next list.

    A peer's message about a changed record may have been lost.
    """
    next_timer = messages.StartTimer(JobListDue(), JOB_LIST_PERIOD_S, 0.2)
    return [*list_records(instance), next_timer]


@dispatch.handle_store_reply.register(ListJobRecords)
def handle_record_list(
    purpose: ListJobRecords,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies all records; the first list under an epoch completes a takeover.

    Only a list under the store lease counts, since another owner may exist
    otherwise.
    """
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
        has_lease = authority is ownership.Authority.LEASE
        if (
            has_lease
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
    partition = instance.tasks.partitions.get(record.slices[0].partition)
    wall_clock_s = now + instance.identity.wall_clock_offset_s
    retained = wall_clock_s < record.ended_at + RECORD_RETENTION_S
    if record.state is jobs.JobState.ACTIVE or retained:
        return []
    if partition is None or not partition.epoch:
        return []
    purpose = DeleteRecord(record.job_id)
    return [store_messages.StoreDelete(purpose, found.key, found.version)]


@attrs.frozen
class DeleteRecord(store_messages.Purpose):
    """Purpose of the deletion of a record after its retention period."""

    job_id: str


@dispatch.handle_store_reply.register(DeleteRecord)
def handle_delete_reply(
    purpose: DeleteRecord,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Ignores the outcome; the next list repeats a failed deletion."""
    return []


def _cancel_deleted(
    present: set[str], revision: int, instance: state.Instance, now: float
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    for job in list(instance.tasks.jobs.values()):
        record = job.record
        if record.job_id in present or job.create_revision > revision:
            continue
        cancelled = attrs.evolve(record, state=jobs.JobState.CANCELLED)
        effects += records.apply_record(
            cancelled, job.version, job.create_revision, instance, now
        )
    return effects


@dispatch.receive.register(peer_messages.SliceAssigned)
def record_assignment(
    message: peer_messages.SliceAssigned,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Schedules the read of a record that a peer created or changed."""
    tasks = instance.tasks
    is_first = not tasks.unread_job_ids
    tasks.unread_job_ids.add(message.job_id)
    return (
        [messages.StartTimer(RecordReadsDue(), READ_BATCHING_DELAY_S)]
        if is_first
        else []
    )


@dispatch.handle_timer.register(RecordReadsDue)
def read_records(
    timer: RecordReadsDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the records that peers reported, in one list if they are many."""
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
    """Applies one record and places its tasks."""
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
            # The next periodic list contains the record.
            return [messages.CountRetry(PART, "store_unavailable")]
    return []
