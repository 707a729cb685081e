"""Submission of jobs: checks, division into slices, creation of the record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import answers
from sapphirestall_core import dispatch
from sapphirestall_core import job_updates
from sapphirestall_core import jobs
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import records
from sapphirestall_core import resources
from sapphirestall_core import starts
from sapphirestall_core import store_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

FREE_CAPACITY_PERIOD_S = 2.0
# An owner that was not heard for three periods is left out of new jobs.
FREE_CAPACITY_TIMEOUT_S = 3 * FREE_CAPACITY_PERIOD_S
STEP = "submit"
# Tasks that fit nowhere now are divided into slices of at least this size.
MIN_TASKS_PER_SLICE = 16
# A larger job takes more partitions than it needs, so that jobs that are
# submitted at once do not fill the same ones; see bench/batch_scale.py.
TARGET_TASKS_PER_SLICE = 128


@attrs.frozen
class FreeCapacityDue(messages.Timer):
    """Time to tell the peers how much room the own partitions have."""


@attrs.frozen
class CreateJob(store_messages.Purpose):
    """Creates a job record."""

    call_id: str
    record: jobs.JobRecord


@attrs.frozen
class RereadJob(store_messages.Purpose):
    """Finds out whether a create whose answer was lost took effect."""

    call_id: str
    record: jobs.JobRecord


@dispatch.handle_timer.register(FreeCapacityDue)
def send_free_capacity(
    timer: FreeCapacityDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Tells the peers of the data centre how much room there is."""
    rooms = tuple(list_own_free_capacity(instance))
    effects: dispatch.Effects = [
        messages.StartTimer(FreeCapacityDue(), FREE_CAPACITY_PERIOD_S, 0.1)
    ]
    if rooms and not instance.draining:
        message = peer_messages.PartitionsOwned(rooms)
        own = instance.identity.data_centre
        effects += [
            peer_messages.SendPeer(peer_id, message)
            for peer_id in answers.find_live_peers(own, instance, now)
        ]
    return effects


def list_own_free_capacity(
    instance: state.Instance,
) -> list[peer_messages.PartitionRoom]:
    """Returns the room in the owned partitions that have reported."""
    rooms = []
    for partition in instance.tasks.find_owned():
        free = resources.Vector()
        capacities = set()
        for worker in partition.workers.values():
            if worker.ledger is not None:
                free = free.plus(worker.ledger.compute_free())
                capacities.add(worker.ledger.capacity)
        if capacities:
            rooms.append(
                peer_messages.PartitionRoom(
                    partition.name, free, tuple(sorted(capacities, key=repr))
                )
            )
    return rooms


@dispatch.receive.register(peer_messages.PartitionsOwned)
def receive_free_capacity(
    message: peer_messages.PartitionsOwned,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records the room in a peer's partitions."""
    for room in message.rooms:
        instance.tasks.free_capacities[room.partition] = (
            tasks_state.FreeCapacity(peer_id, now, room.free, room.capacities)
        )
    return []


def list_free_capacity(
    instance: state.Instance, now: float
) -> list[peer_messages.PartitionRoom]:
    """Returns the partitions with a live owner, by name."""
    rooms = {
        name: peer_messages.PartitionRoom(name, room.free, room.capacities)
        for name, room in instance.tasks.free_capacities.items()
        if now - room.received_at < FREE_CAPACITY_TIMEOUT_S
    }
    if not instance.draining:
        rooms |= {
            room.partition: room for room in list_own_free_capacity(instance)
        }
    return [rooms[name] for name in sorted(rooms)]


def divide(
    job_id: str,
    task_count: int,
    declared: resources.Vector,
    rooms: list[peer_messages.PartitionRoom],
) -> tuple[jobs.Slice, ...]:
    """Divides tasks over partitions by the number that fits now.

    Each slice costs a write of the job record, so a job gets as few partitions
    as it needs. The job id decides which come first, so that many small jobs
    spread. Partitions without a worker that could ever hold a task get none.
    """
    able = {r.partition: r for r in rooms if could_fit(declared, r)}
    ranked = membership.rank_candidates(job_id, sorted(able))
    fitting = {
        name: count_fitting(declared, able[name].free) for name in ranked
    }
    chosen: dict[str, int] = {}
    for name in ranked:
        enough = len(chosen) * TARGET_TASKS_PER_SLICE >= task_count
        if fitting[name] and (not enough or sum(chosen.values()) < task_count):
            chosen[name] = fitting[name]
    short = task_count - sum(chosen.values())
    if short > 0:
        # What fits nowhere now waits in equal parts.
        waiting = ranked[: -(-short // MIN_TASKS_PER_SLICE)]
        for name in waiting:
            part = max(1, short // len(waiting))
            chosen[name] = chosen.get(name, 0) + part
    total = sum(chosen.values())
    slices = []
    first = reached = 0
    for name in sorted(chosen):
        reached += chosen[name]
        last = task_count * reached // total - 1
        if last >= first:
            slices.append(jobs.Slice(name, first, last))
            first = last + 1
    return tuple(slices)


def could_fit(
    declared: resources.Vector, room: peer_messages.PartitionRoom
) -> bool:
    """Tells whether a worker of a partition could ever hold a task."""
    return any(declared.fits(capacity) for capacity in room.capacities)


def count_fitting(declared: resources.Vector, free: resources.Vector) -> int:
    """Returns about how many tasks fit into what is free in a partition."""
    counts = [
        max(0, there) // needed
        for needed, there in (
            (declared.cpu_millis, free.cpu_millis),
            (declared.memory_mb, free.memory_mb),
            (declared.accelerators, free.accelerators),
        )
        if needed > 0
    ]
    return min(counts, default=1)


@dispatch.execute.register(operator_messages.SubmitJob)
def submit_job(
    command: operator_messages.SubmitJob,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Checks a submission and creates the job's record."""
    data_centre = instance.identity.data_centre
    if command.data_centre != data_centre:
        forwarded = peer_messages.SubmissionForwarded(call_id, command)
        return answers.forward(
            command.data_centre, call_id, forwarded, instance, now
        )
    fault = _find_error(command, instance)
    if fault:
        code, detail = fault
        return answers.refuse(call_id, code, STEP, detail, 422)
    declared = resources.Vector(
        command.cpu_millis, command.memory_mb, command.accelerators
    )
    rooms = list_free_capacity(instance, now)
    slices = divide(command.job_id, command.task_count, declared, rooms)
    if not slices:
        return _refuse_unplaceable(call_id, rooms, instance)
    record = jobs.JobRecord(
        job_id=command.job_id,
        data_centre=data_centre,
        team=command.team,
        kind=command.kind,
        task_count=command.task_count,
        declared=declared,
        run_s=command.run_s,
        urgency=command.urgency,
        checkpointable=command.checkpointable,
        slices=slices,
        submitted_at=now + instance.identity.wall_clock_offset_s,
        submission=f"{instance.identity.incarnation}/{call_id}",
    )
    key = jobs.make_job_key(data_centre, command.job_id)
    return [store_messages.StorePut(CreateJob(call_id, record), key, record, 0)]


def _find_error(
    command: operator_messages.SubmitJob, instance: state.Instance
) -> tuple[str, str] | None:
    sizes = (command.cpu_millis, command.memory_mb, command.accelerators)
    if not any(sizes):
        return "invalid_job", "a task needs some processors or memory"
    teams = instance.policy.teams
    if teams and command.team not in teams:
        return "unknown_team", f"no team {command.team!r} is configured"
    return None


def _refuse_unplaceable(
    call_id: str,
    rooms: list[peer_messages.PartitionRoom],
    instance: state.Instance,
) -> dispatch.Effects:
    """Refuses for good only when every partition's workers are known."""
    known = {room.partition for room in rooms}
    if known and known.issuperset(instance.tasks.partitions):
        detail = "no worker of the data centre could ever hold a task"
        return answers.refuse(call_id, "job_too_large", STEP, detail, 422)
    detail = "no partition that could hold a task has an owner at present"
    return answers.refuse(call_id, "no_partition", STEP, detail, 503)


@dispatch.handle_store_reply.register(CreateJob)
def handle_job_created(
    purpose: CreateJob,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Answers the operator and tells the owners."""
    match reply.outcome:
        case store_messages.Written() as written:
            return _accept(
                purpose.call_id,
                purpose.record,
                written.version,
                written.create_revision,
                instance,
                now,
            )
        case store_messages.Unavailable(ambiguous=False):
            return answers.refuse_without_store(purpose.call_id, STEP)
    record = purpose.record
    key = jobs.make_job_key(record.data_centre, record.job_id)
    reread = RereadJob(purpose.call_id, record)
    return [store_messages.StoreGet(reread, key, jobs.JobRecord)]


@dispatch.handle_store_reply.register(RereadJob)
def handle_job_reread(
    purpose: RereadJob,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Tells a lost answer from a duplicate id by the submission's token."""
    call_id, record = purpose.call_id, purpose.record
    match reply.outcome:
        case store_messages.Found(value=jobs.JobRecord() as stored) as found:
            if stored.submission == record.submission:
                return _accept(
                    call_id,
                    stored,
                    found.version,
                    found.create_revision,
                    instance,
                    now,
                )
            detail = f"the job id {record.job_id!r} is taken"
            return answers.refuse(call_id, "duplicate_job", STEP, detail, 409)
        case store_messages.Absent():
            # The create may still take effect, so it is repeated: the version
            # check lets one of the two in.
            key = jobs.make_job_key(record.data_centre, record.job_id)
            create = CreateJob(call_id, record)
            return [store_messages.StorePut(create, key, record, 0)]
    return answers.refuse_without_store(call_id, STEP)


def _accept(
    call_id: str,
    record: jobs.JobRecord,
    version: int,
    create_revision: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    effects = records.apply_record(
        record, version, create_revision, instance, now
    )
    _deduct_capacity(record, instance)
    shown = operator_messages.JobShown(
        record.job_id,
        record.data_centre,
        "waiting",
        0,
        0,
        record.task_count,
    )
    effects += answers.answer(call_id, shown)
    effects += job_updates.notify_owners(record, instance)
    for partition in instance.tasks.find_owned():
        if record.job_id in partition.shares:
            effects += starts.place(partition, instance, now)
    return effects


def _deduct_capacity(record: jobs.JobRecord, instance: state.Instance) -> None:
    """Takes new tasks off the room of peers until they report again.

    Otherwise all jobs of one period would go to the same partitions.
    """
    needed = record.declared
    for part in record.slices:
        room = instance.tasks.free_capacities.get(part.partition)
        if room is None:
            continue
        count = part.last - part.first + 1
        free = room.free.minus(
            resources.Vector(
                needed.cpu_millis * count,
                needed.memory_mb * count,
                needed.accelerators * count,
            )
        )
        instance.tasks.free_capacities[part.partition] = attrs.evolve(
            room, free=free
        )
