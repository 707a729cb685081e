"""Updates of job records in the store by compare-and-swap.

An update is computed from the known record, or from one that is read first, and
written on the condition that the record has not changed. Otherwise the record
is read again and the update is repeated.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import answers
from sapphirestall_core import dispatch
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import records
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "jobs"
RETRY_S = 1.0


@attrs.frozen
class JobUpdate:
    """Base of the updates of a job record."""

    job_id: str


@attrs.frozen
class FailJob(JobUpdate):
    """Ends a job as failed because one of its tasks cannot run."""

    reason: str


@attrs.frozen
class CancelJob(JobUpdate):
    """Cancels a job at an operator's request.

    Attributes:
        call_id: Call of the operator, which gets the result.
    """

    call_id: str


@attrs.frozen
class FinishSlices(JobUpdate):
    """Marks the slices of a job in a partition as done."""

    partition: str


@attrs.frozen
class MoveTasks(JobUpdate):
    """Assigns a range of tasks to another partition.

    Attributes:
        origin: Partition that has the tasks now.
        move: Range of tasks and their target partition.
    """

    origin: str
    move: jobs.Move


@attrs.frozen
class JobUpdateDue(messages.Timer):
    """Timer to start an update, or to try it again."""

    update: JobUpdate


@attrs.frozen
class ReadForUpdate(store_messages.Purpose):
    """Purpose of the read of a record before its update."""

    update: JobUpdate


@attrs.frozen
class WriteUpdate(store_messages.Purpose):
    """Purpose of the write of an updated record."""

    update: JobUpdate
    record: jobs.JobRecord


@functools.singledispatch
def apply_update(
    update: JobUpdate, record: jobs.JobRecord, wall_clock_s: float
) -> jobs.JobRecord:
    """Returns the updated record.

    The given object itself is returned if the update changes nothing, such as
    the cancellation of a job that has ended.

    Args:
        update: Update to apply.
        record: Current record.
        wall_clock_s: Wall-clock time, in seconds.
    """
    raise NotImplementedError(type(update).__name__)


@apply_update.register(FailJob)
def _(
    update: FailJob, record: jobs.JobRecord, wall_clock_s: float
) -> jobs.JobRecord:
    if record.state is not jobs.JobState.ACTIVE:
        return record
    return attrs.evolve(
        record,
        state=jobs.JobState.FAILED,
        ended_at=wall_clock_s,
        reason=update.reason,
    )


@apply_update.register(CancelJob)
def _(
    update: CancelJob, record: jobs.JobRecord, wall_clock_s: float
) -> jobs.JobRecord:
    if record.state is not jobs.JobState.ACTIVE:
        return record
    return attrs.evolve(
        record, state=jobs.JobState.CANCELLED, ended_at=wall_clock_s
    )


@apply_update.register(FinishSlices)
def _(
    update: FinishSlices, record: jobs.JobRecord, wall_clock_s: float
) -> jobs.JobRecord:
    slices = tuple(
        attrs.evolve(part, done=True)
        if part.partition == update.partition
        else part
        for part in record.slices
    )
    if slices == record.slices or record.state is not jobs.JobState.ACTIVE:
        return record
    if not all(part.done for part in slices):
        return attrs.evolve(record, slices=slices)
    return attrs.evolve(
        record,
        slices=slices,
        state=jobs.JobState.FINISHED,
        ended_at=wall_clock_s,
    )


@apply_update.register(MoveTasks)
def _(
    update: MoveTasks, record: jobs.JobRecord, wall_clock_s: float
) -> jobs.JobRecord:
    move = update.move
    slices: list[jobs.Slice] = []
    for part in record.slices:
        covers_move = (
            part.partition == update.origin
            and not part.done
            and part.first <= move.first
            and move.last <= part.last
        )
        if not covers_move:
            slices.append(part)
            continue
        if part.first < move.first:
            slices.append(attrs.evolve(part, last=move.first - 1))
        slices.append(jobs.Slice(move.target, move.first, move.last))
        if move.last < part.last:
            slices.append(attrs.evolve(part, first=move.last + 1))
    if tuple(slices) == record.slices:
        return record
    return attrs.evolve(record, slices=tuple(slices))


def start(
    update: JobUpdate, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts an update with the known record, or reads the record first.

    It waits while another update of the record is in flight.
    """
    job = instance.tasks.jobs.get(update.job_id)
    if job is None:
        return _read(update, instance)
    if job.updating:
        return [messages.StartTimer(JobUpdateDue(update), RETRY_S / 4, 0.5)]
    return _write(update, job.record, job.version, instance, now)


def _read(update: JobUpdate, instance: state.Instance) -> dispatch.Effects:
    key = jobs.make_job_key(instance.identity.data_centre, update.job_id)
    return [store_messages.StoreGet(ReadForUpdate(update), key, jobs.JobRecord)]


def _write(
    update: JobUpdate,
    record: jobs.JobRecord,
    version: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    updated = apply_update(
        update, record, now + instance.identity.wall_clock_offset_s
    )
    if updated is record:
        return handle_committed(update, record, instance, now)
    job = instance.tasks.jobs.get(update.job_id)
    if job is not None:
        job.updating = True
    key = jobs.make_job_key(instance.identity.data_centre, update.job_id)
    return [
        store_messages.StorePut(
            WriteUpdate(update, updated), key, updated, version
        )
    ]


@dispatch.handle_timer.register(JobUpdateDue)
def retry(
    timer: JobUpdateDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts an update that was delayed."""
    return start(timer.update, instance, now)


@dispatch.handle_store_reply.register(ReadForUpdate)
def handle_read_reply(
    purpose: ReadForUpdate,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Updates the record that was read, or reports that there is none."""
    update = purpose.update
    match reply.outcome:
        case store_messages.Found(value=jobs.JobRecord() as record) as found:
            apply_effects = records.apply_record(
                record, found.version, found.create_revision, instance, now
            )
            return apply_effects + _write(
                update, record, found.version, instance, now
            )
        case store_messages.Absent():
            return handle_missing_record(update, "unknown_job")
        case _:
            return handle_unavailable(update)


@dispatch.handle_store_reply.register(WriteUpdate)
def handle_write_reply(
    purpose: WriteUpdate,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Finishes a confirmed update; after other replies, reads the record again.

    After an ambiguous failure, the record shows whether the write took effect.
    """
    job = instance.tasks.jobs.get(purpose.update.job_id)
    if job is not None:
        job.updating = False
    match reply.outcome:
        case store_messages.Written() as written:
            apply_effects = records.apply_record(
                purpose.record,
                written.version,
                written.create_revision,
                instance,
                now,
            )
            commit_effects = handle_committed(
                purpose.update, purpose.record, instance, now
            )
            return apply_effects + commit_effects
        case store_messages.Unavailable(ambiguous=False):
            return handle_unavailable(purpose.update)
        case _:
            return _read(purpose.update, instance)


@functools.singledispatch
def handle_unavailable(update: JobUpdate) -> dispatch.Effects:
    """Schedules an update again, since the store is unavailable.

    An operator's command is refused instead.
    """
    return [
        messages.CountRetry(PART, "store_unavailable"),
        messages.StartTimer(JobUpdateDue(update), RETRY_S, 0.5),
    ]


@handle_unavailable.register(CancelJob)
def _(update: CancelJob) -> dispatch.Effects:
    return answers.refuse_without_store(update.call_id, "cancel")


@functools.singledispatch
def handle_missing_record(update: JobUpdate, code: str) -> dispatch.Effects:
    """Handles an update of a record that does not exist."""
    return []


@handle_missing_record.register(CancelJob)
def _(update: CancelJob, code: str) -> dispatch.Effects:
    detail = f"no job {update.job_id!r} exists"
    return answers.refuse(update.call_id, code, "cancel", detail, 404)


@functools.singledispatch
def handle_committed(
    update: JobUpdate,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles an update that is in the store or changes nothing."""
    return notify_owners(record, instance)


@handle_committed.register(FinishSlices)
def _(
    update: FinishSlices,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    return []


@handle_committed.register(CancelJob)
def _(
    update: CancelJob,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    if record.state is not jobs.JobState.CANCELLED:
        detail = f"the job is {record.state.value}"
        return answers.refuse(
            update.call_id, "job_ended", "cancel", detail, 409
        )
    shown = operator_messages.JobShown(
        record.job_id, record.data_centre, record.state.value, 0, 0, 0
    )
    instance.journal.record(now, record.job_id, "cancel", "operator")
    return [
        *answers.answer(update.call_id, shown),
        *notify_owners(record, instance),
    ]


@handle_committed.register(MoveTasks)
def _(
    update: MoveTasks,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    partition = instance.tasks.partitions[update.origin]
    if partition.epoch:
        partition.applied_moves.add(update.move)
    return notify_owners(record, instance)


def notify_owners(
    record: jobs.JobRecord, instance: state.Instance
) -> dispatch.Effects:
    """Tells the owners of a job's partitions to read its record again."""
    identity = instance.identity
    names = {part.partition for part in record.slices if not part.done}
    effects: dispatch.Effects = []
    for name in sorted(names):
        partition = instance.tasks.partitions.get(name)
        owner_id = partition.owner_id if partition else ""
        if owner_id and owner_id != identity.instance_id:
            message = peer_messages.SliceAssigned(
                identity.data_centre, record.job_id, name
            )
            effects.append(peer_messages.SendPeer(owner_id, message))
    return effects
