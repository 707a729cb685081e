"""Changes of job records by compare-and-swap."""

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
class Amendment:
    """A change of one job record."""

    job_id: str


@attrs.frozen
class FailJob(Amendment):
    """Ends a job because of a task that cannot run."""

    reason: str


@attrs.frozen
class CancelJob(Amendment):
    """Marks a job as cancelled for an operator."""

    call_id: str


@attrs.frozen
class FinishSlices(Amendment):
    """Marks all slices of a partition as done."""

    partition: str


@attrs.frozen
class MoveTasks(Amendment):
    """Gives a range of tasks to another partition."""

    origin: str
    move: jobs.Move


@attrs.frozen
class AmendDue(messages.Timer):
    """Time to try a change again."""

    change: Amendment


@attrs.frozen
class ReadToAmend(store_messages.Purpose):
    """Reads a record before it is changed."""

    change: Amendment


@attrs.frozen
class WriteAmended(store_messages.Purpose):
    """Writes a changed record."""

    change: Amendment
    record: jobs.JobRecord


@functools.singledispatch
def amend(
    change: Amendment, record: jobs.JobRecord, wall_now: float
) -> jobs.JobRecord:
    """Returns the changed record; the same object if nothing is to change."""
    raise NotImplementedError(type(change).__name__)


@amend.register(FailJob)
def _(
    change: FailJob, record: jobs.JobRecord, wall_now: float
) -> jobs.JobRecord:
    if record.state is not jobs.JobState.ACTIVE:
        return record
    return attrs.evolve(
        record,
        state=jobs.JobState.FAILED,
        ended_at=wall_now,
        reason=change.reason,
    )


@amend.register(CancelJob)
def _(
    change: CancelJob, record: jobs.JobRecord, wall_now: float
) -> jobs.JobRecord:
    if record.state is not jobs.JobState.ACTIVE:
        return record
    return attrs.evolve(
        record, state=jobs.JobState.CANCELLED, ended_at=wall_now
    )


@amend.register(FinishSlices)
def _(
    change: FinishSlices, record: jobs.JobRecord, wall_now: float
) -> jobs.JobRecord:
    slices = tuple(
        attrs.evolve(part, done=True)
        if part.partition == change.partition
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
        ended_at=wall_now,
    )


@amend.register(MoveTasks)
def _(
    change: MoveTasks, record: jobs.JobRecord, wall_now: float
) -> jobs.JobRecord:
    move = change.move
    slices: list[jobs.Slice] = []
    for part in record.slices:
        held = (
            part.partition == change.origin
            and not part.done
            and part.first <= move.first
            and move.last <= part.last
        )
        if not held:
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


def begin(
    change: Amendment, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Writes a change on the known record, or reads the record first."""
    job = instance.tasks.jobs.get(change.job_id)
    if job is None:
        return _read(change, instance)
    if job.amending:
        return [messages.StartTimer(AmendDue(change), RETRY_S / 4, 0.5)]
    return _write(change, job.record, job.version, instance, now)


def _read(change: Amendment, instance: state.Instance) -> dispatch.Effects:
    key = jobs.make_job_key(instance.identity.data_centre, change.job_id)
    return [store_messages.StoreGet(ReadToAmend(change), key, jobs.JobRecord)]


def _write(
    change: Amendment,
    record: jobs.JobRecord,
    version: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    amended = amend(change, record, now + instance.identity.wall_offset)
    if amended is record:
        return finish(change, record, instance, now)
    job = instance.tasks.jobs.get(change.job_id)
    if job is not None:
        job.amending = True
    key = jobs.make_job_key(instance.identity.data_centre, change.job_id)
    return [
        store_messages.StorePut(
            WriteAmended(change, amended), key, amended, version
        )
    ]


@dispatch.expire.register(AmendDue)
def retry(
    timer: AmendDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Tries a change again."""
    return begin(timer.change, instance, now)


@dispatch.resume.register(ReadToAmend)
def take_read(
    purpose: ReadToAmend,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Changes the record that was read."""
    change = purpose.change
    match reply.outcome:
        case store_messages.Found(value=jobs.JobRecord() as record) as found:
            taken = records.take(
                record, found.version, found.create_revision, instance, now
            )
            return taken + _write(change, record, found.version, instance, now)
        case store_messages.Absent():
            return reject(change, "unknown_job")
        case _:
            return give_up(change)


@dispatch.resume.register(WriteAmended)
def take_written(
    purpose: WriteAmended,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Takes a confirmed change; settles every other answer by re-reading."""
    job = instance.tasks.jobs.get(purpose.change.job_id)
    if job is not None:
        job.amending = False
    match reply.outcome:
        case store_messages.Written() as written:
            taken = records.take(
                purpose.record,
                written.version,
                written.create_revision,
                instance,
                now,
            )
            done = finish(purpose.change, purpose.record, instance, now)
            return taken + done
        case store_messages.Unavailable(ambiguous=False):
            return give_up(purpose.change)
        case _:
            return _read(purpose.change, instance)


@functools.singledispatch
def give_up(change: Amendment) -> dispatch.Effects:
    """Handles a store that does not answer: owners try again."""
    return [
        messages.CountRetry(PART, "store_unavailable"),
        messages.StartTimer(AmendDue(change), RETRY_S, 0.5),
    ]


@give_up.register(CancelJob)
def _(change: CancelJob) -> dispatch.Effects:
    return answers.refuse_without_store(change.call_id, "cancel")


@functools.singledispatch
def reject(change: Amendment, code: str) -> dispatch.Effects:
    """Handles a record that does not exist."""
    return []


@reject.register(CancelJob)
def _(change: CancelJob, code: str) -> dispatch.Effects:
    detail = f"no job {change.job_id!r} exists"
    return answers.refuse(change.call_id, code, "cancel", detail, 404)


@functools.singledispatch
def finish(
    change: Amendment,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles a change that the store has."""
    return notify_owners(record, instance)


@finish.register(FinishSlices)
def _(
    change: FinishSlices,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    return []


@finish.register(CancelJob)
def _(
    change: CancelJob,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    if record.state is not jobs.JobState.CANCELLED:
        detail = f"the job is {record.state.value}"
        return answers.refuse(
            change.call_id, "job_ended", "cancel", detail, 409
        )
    shown = operator_messages.JobShown(
        record.job_id, record.data_centre, record.state.value, 0, 0, 0
    )
    instance.journal.record(now, record.job_id, "cancel", "operator")
    return [
        *answers.answer(change.call_id, shown),
        *notify_owners(record, instance),
    ]


@finish.register(MoveTasks)
def _(
    change: MoveTasks,
    record: jobs.JobRecord,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    partition = instance.tasks.partitions[change.origin]
    if partition.epoch:
        partition.moved.add(change.move)
    return notify_owners(record, instance)


def notify_owners(
    record: jobs.JobRecord, instance: state.Instance
) -> dispatch.Effects:
    """Tells the owners of a job's partitions to read its record."""
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
