"""Submission of jobs.

A submission is checked, its tasks are divided into slices by the free capacity
of the partitions, and the job's record is created in the store.
"""

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
# A partition gets no new tasks after three missing reports of its owner.
FREE_CAPACITY_TIMEOUT_S = 3 * FREE_CAPACITY_PERIOD_S
STEP = "submit"
# Tasks that do not fit now are divided into slices of at least this size.
MIN_TASKS_PER_SLICE = 16
# A larger job gets more partitions than it needs. Otherwise jobs that are
# submitted at once would fill the same partitions; see bench/batch_scale.py.
TARGET_TASKS_PER_SLICE = 128


@attrs.frozen
class FreeCapacityDue(messages.Timer):
    """Timer to send the free capacity of owned partitions to the peers."""


@attrs.frozen
class CreateJob(store_messages.Purpose):
    """Purpose of the write that creates the record of a job."""

    call_id: str
    record: jobs.JobRecord


@attrs.frozen
class RereadJob(store_messages.Purpose):
    """Purpose of the read of a job record that may have been created.

    The record shows whether an unanswered create took effect.
    """

    call_id: str
    record: jobs.JobRecord


@dispatch.handle_timer.register(FreeCapacityDue)
def send_free_capacity(
    timer: FreeCapacityDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Sends the free capacity of owned partitions to the peers.

    Only peers of the own data centre get it.
    """
    partitions = tuple(list_own_free_capacity(instance))
    effects: dispatch.Effects = [
        messages.StartTimer(FreeCapacityDue(), FREE_CAPACITY_PERIOD_S, 0.1)
    ]
    if partitions and not instance.draining:
        message = peer_messages.PartitionsOwned(partitions)
        own = instance.identity.data_centre
        effects += [
            peer_messages.SendPeer(peer_id, message)
            for peer_id in answers.find_live_peers(own, instance, now)
        ]
    return effects


def list_own_free_capacity(
    instance: state.Instance,
) -> list[peer_messages.PartitionRoom]:
    """Returns the free capacity of owned partitions with reports."""
    partitions = []
    for partition in instance.tasks.find_owned():
        free = resources.Vector()
        capacities = set()
        for worker in partition.workers.values():
            if worker.ledger is not None:
                free = free.plus(worker.ledger.compute_free())
                capacities.add(worker.ledger.capacity)
        if capacities:
            partitions.append(
                peer_messages.PartitionRoom(
                    partition.name, free, tuple(sorted(capacities, key=repr))
                )
            )
    return partitions


@dispatch.receive.register(peer_messages.PartitionsOwned)
def receive_free_capacity(
    message: peer_messages.PartitionsOwned,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records the free capacity of a peer's partitions."""
    for reported in message.rooms:
        instance.tasks.free_capacities[reported.partition] = (
            tasks_state.FreeCapacity(
                peer_id, now, reported.free, reported.capacities
            )
        )
    return []


def list_free_capacity(
    instance: state.Instance, now: float
) -> list[peer_messages.PartitionRoom]:
    """Returns the free capacity of partitions with a live owner, by name."""
    partitions = {
        name: peer_messages.PartitionRoom(
            name, reported.free, reported.capacities
        )
        for name, reported in instance.tasks.free_capacities.items()
        if now - reported.received_at < FREE_CAPACITY_TIMEOUT_S
    }
    if not instance.draining:
        partitions |= {
            partition.partition: partition
            for partition in list_own_free_capacity(instance)
        }
    return [partitions[name] for name in sorted(partitions)]


def divide(
    job_id: str,
    task_count: int,
    declared: resources.Vector,
    partitions: list[peer_messages.PartitionRoom],
) -> tuple[jobs.Slice, ...]:
    """Divides tasks over partitions by the number that fits now.

    Each slice costs a write of the job record, so that a job gets as few
    partitions as it needs. The job id determines their order, so that small
    jobs are spread. Partitions without a worker on which a task could ever fit
    get none.

    Args:
        job_id: Id of the job.
        task_count: Number of tasks.
        declared: Declared size of one task.
        partitions: Free capacity of the partitions with a live owner.

    Returns:
        The slices; empty if no task could ever fit.
    """
    eligible = {p.partition: p for p in partitions if could_fit(declared, p)}
    ranked = membership.rank_candidates(job_id, sorted(eligible))
    fitting = {
        name: count_fitting(declared, eligible[name].free) for name in ranked
    }
    chosen: dict[str, int] = {}
    for name in ranked:
        enough = len(chosen) * TARGET_TASKS_PER_SLICE >= task_count
        if fitting[name] and (not enough or sum(chosen.values()) < task_count):
            chosen[name] = fitting[name]
    excess = task_count - sum(chosen.values())
    if excess > 0:
        # Tasks that do not fit now wait in equal parts.
        waiting = ranked[: -(-excess // MIN_TASKS_PER_SLICE)]
        for name in waiting:
            part = max(1, excess // len(waiting))
            chosen[name] = chosen.get(name, 0) + part
    total = sum(chosen.values())
    slices = []
    first = cumulative = 0
    for name in sorted(chosen):
        cumulative += chosen[name]
        last = task_count * cumulative // total - 1
        if last >= first:
            slices.append(jobs.Slice(name, first, last))
            first = last + 1
    return tuple(slices)


def could_fit(
    declared: resources.Vector, partition: peer_messages.PartitionRoom
) -> bool:
    """Returns whether a task fits on an empty worker of a partition."""
    return any(declared.fits(capacity) for capacity in partition.capacities)


def count_fitting(declared: resources.Vector, free: resources.Vector) -> int:
    """Returns roughly how many tasks fit into the free capacity."""
    counts = [
        max(0, available) // needed
        for needed, available in (
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
    error = _find_error(command, instance)
    if error:
        code, detail = error
        return answers.refuse(call_id, code, STEP, detail, 422)
    declared = resources.Vector(
        command.cpu_millis, command.memory_mb, command.accelerators
    )
    partitions = list_free_capacity(instance, now)
    slices = divide(command.job_id, command.task_count, declared, partitions)
    if not slices:
        return _refuse_unplaceable(call_id, partitions, instance)
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
    partitions: list[peer_messages.PartitionRoom],
    instance: state.Instance,
) -> dispatch.Effects:
    """Refuses a job whose tasks fit in none of the known partitions.

    The refusal is final only if the capacity of every partition is known.
    """
    known = {partition.partition for partition in partitions}
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
    """Answers the operator and notifies the owners.

    If the job id is taken or the create got no answer, the record is read.
    """
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
    """Tells a lost answer from a duplicate id by the submission token."""
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
            # The first create may still take effect. The version check lets
            # only one of the two succeed.
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
    """Deducts new tasks from the free capacity of peers' partitions.

    Otherwise all jobs submitted between two reports would go to the same
    partitions.
    """
    needed = record.declared
    for part in record.slices:
        reported = instance.tasks.free_capacities.get(part.partition)
        if reported is None:
            continue
        count = part.last - part.first + 1
        free = reported.free.minus(
            resources.Vector(
                needed.cpu_millis * count,
                needed.memory_mb * count,
                needed.accelerators * count,
            )
        )
        instance.tasks.free_capacities[part.partition] = attrs.evolve(
            reported, free=free
        )
