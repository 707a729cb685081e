"""Summaries in which owners publish the state of their partitions.

A summary tells other instances how many jobs are pending in a partition, how
much capacity is free there and how high its load is.
"""

import collections

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import interference_records
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import yielding_capacity

# Shortest time between two writes of a summary, in seconds.
SUMMARY_INTERVAL_S = 0.7
# A summary that does not change is written again after this time, in seconds,
# so that others can tell an unchanged summary from an owner that cannot reach
# the store, and as a proof of the ownership (`tenure`).
SUMMARY_HEARTBEAT_S = 0.9
# For this time, in seconds, a job that was moved away still counts as pending
# here, as the new owner may become unreachable before its own summary shows the
# job.
MOVED_JOB_PENDING_S = 7.0
# Longest time until others have read a change and sent tasks, in seconds. A
# worker that will accept new runs by then is published already.
PUBLISHING_S = 1.0
# Number of workers whose free capacity is published for owners of the version
# before, which do not read the groups of workers. It is low as the summary is
# read about once a second by all instances, and versions mix for a short time.
MAX_PUBLISHED_WORKERS = 4
# Number of these that are chosen by memory as well as by processors.
BALANCED_WORKERS = 2
# Lowest load of a partition that has no idle processors.
SATURATED_LOAD = 1000.0


@attrs.frozen
class SummaryWrite(store_messages.Purpose):
    """Purpose of the write of the summary of a partition.

    Attributes:
        partition: Partition that the summary describes.
        token: Fencing token of the owner.
        summary: The summary that is written.
    """

    partition: str
    token: int
    summary: records.SummaryRecord


def publish(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Publishes the summary if it has changed or was not written recently."""
    if (
        partition.phase is not state.Phase.ACTIVE
        or partition.summary_write_in_flight
    ):
        return []
    if now < partition.summary_written_at + SUMMARY_INTERVAL_S:
        return []
    summary = make_summary(partition, batch.interference, now)
    unchanged = summary == partition.summary
    if unchanged and now < partition.summary_written_at + SUMMARY_HEARTBEAT_S:
        return []
    ages_ms = batch.revision_times.list_ages_ms(now)
    summary = attrs.evolve(summary, revision_ages_ms=ages_ms)
    partition.summary_written_at = now
    partition.summary_write_in_flight = True
    key = records.make_summary_key(partition.name)
    owner = (records.make_owner_key(partition.name), partition.token)
    return [
        store_messages.StoreTransaction(
            SummaryWrite(partition.name, partition.token, summary),
            (owner,),
            (store_messages.Put(key, summary),),
        )
    ]


def make_summary(
    partition: state.Partition,
    interference: interference_module.InterferenceModel,
    now: float,
) -> records.SummaryRecord:
    """Returns the summary of a partition.

    Also removes the moved jobs that no longer count as pending here.
    """
    pending: dict[str, list[str]] = {}
    opportunistic_cpu = 0
    for job in partition.jobs.values():
        if not job.start_confirmed and job.record.partition == partition.name:
            name = job.queue.name
            pending.setdefault(name, []).append(job.record.job_id)
        for step in job.steps:
            if step.unblocked and step.step.fills:
                opportunistic_cpu += (
                    len(step.unfinished) * step.step.amount.cpu_millis
                )
    for job_id, (queue, moved_at) in list(partition.moved_jobs.items()):
        if now - moved_at > MOVED_JOB_PENDING_S or job_id in partition.jobs:
            del partition.moved_jobs[job_id]
        else:
            pending.setdefault(queue, []).append(job_id)
    usable = usability.list_startable_workers(
        partition, now, suspension_left_s=PUBLISHING_S
    )
    nominated = _find_nominated(partition)
    yielding = yielding_capacity.find_most(partition, usable, nominated, now)
    idle_cpu = sum(placement.estimate_idle_cpu(worker) for worker in usable)
    min_load = 0.0 if idle_cpu > 0 else SATURATED_LOAD
    return records.SummaryRecord(
        {name: tuple(ids) for name, ids in pending.items()},
        round(max(opportunistic_cpu / max(1, idle_cpu), min_load), 2),
        interference_records.find_allowed_cpu_by_image(
            usable, interference, now
        ),
        _list_rooms(usable),
        _list_labels(usable),
        dict(collections.Counter(worker.entry.service for worker in usable)),
        _group_workers(usable, nominated, yielding),
    )


def _list_rooms(
    usable: list[state.Worker],
) -> tuple[published_capacity.FreeCapacity, ...]:
    """Returns the free capacity of the workers that have most of it.

    Those with most free processors may have no memory left, so that some are
    chosen by both: by the lower of two shares, each of the most that a worker
    has free.
    """
    free = [_find_free(worker) for worker in usable]
    free.sort(key=lambda amount: -amount.cpu_millis)
    most_cpu = max((amount.cpu_millis for amount in free), default=1)
    most_memory = max((amount.memory_mb for amount in free), default=1)

    def find_lower_share(amount: published_capacity.FreeCapacity) -> float:
        return min(
            amount.cpu_millis / max(1, most_cpu),
            amount.memory_mb / max(1, most_memory),
        )

    chosen = free[: MAX_PUBLISHED_WORKERS - BALANCED_WORKERS]
    others = sorted(free[len(chosen) :], key=find_lower_share, reverse=True)
    chosen += others[:BALANCED_WORKERS]
    chosen.sort(key=lambda amount: -amount.cpu_millis)
    return tuple(chosen)


def _find_free(worker: state.Worker) -> published_capacity.FreeCapacity:
    free = worker.entry.capacity.minus(worker.reserved)
    return published_capacity.FreeCapacity(free.cpu_millis, free.memory_mb)


def _find_nominated(partition: state.Partition) -> set[str]:
    """Returns the workers that are nominated for long-running tasks."""
    return {
        task.nomination.worker_id
        for job in partition.jobs.values()
        for step in job.steps
        if step.step.long_running
        for task in step.runnable.values()
        if task.nomination is not None
    }


def _group_workers(
    usable: list[state.Worker],
    nominated: set[str],
    yielding: dict[str, published_capacity.FreeCapacity],
) -> dict[str, tuple[published_capacity.WorkerGroup, ...]]:
    """Returns workers with their free capacity, by service and labels.

    Args:
        usable: The workers that accept new runs.
        nominated: Ids of those on which finite tasks leave capacity free.
        yielding: What finite tasks would leave free, by worker.
    """
    groups: dict[
        str, dict[tuple[tuple[str, ...], bool], list[state.Worker]]
    ] = {}
    for worker in usable:
        by_kind = groups.setdefault(worker.entry.service, {})
        kind = (worker.entry.labels, worker.entry.worker_id in nominated)
        by_kind.setdefault(kind, []).append(worker)
    return {
        service: tuple(
            _make_group(
                labels, by_kind[labels, is_nominated], is_nominated, yielding
            )
            for labels, is_nominated in sorted(by_kind)
        )
        for service, by_kind in groups.items()
    }


def _make_group(
    labels: tuple[str, ...],
    workers: list[state.Worker],
    is_nominated: bool,
    yielding: dict[str, published_capacity.FreeCapacity],
) -> published_capacity.WorkerGroup:
    """Returns the workers with the same labels, those with most free first."""
    free = [_find_free(worker) for worker in workers]
    some = [each for each in free if each.cpu_millis > 0 and each.memory_mb > 0]
    some.sort(key=lambda each: -each.cpu_millis)
    ids = [worker.entry.worker_id for worker in workers]
    return published_capacity.make_group(
        labels,
        len(workers),
        some,
        long_running_only=is_nominated,
        yielding=[yielding[name] for name in ids if name in yielding],
    )


def _list_labels(
    usable: list[state.Worker],
) -> dict[str, tuple[str, ...]]:
    """Returns the labels of workers, by their service."""
    labels: dict[str, set[str]] = {}
    for worker in usable:
        labels.setdefault(worker.entry.service, set()).update(
            worker.entry.labels
        )
    return {name: tuple(sorted(labels[name])) for name in sorted(labels)}


@dispatch.handle_store_reply.register(SummaryWrite)
def handle_summary_write(
    purpose: SummaryWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records a summary that was published.

    After a conflict another instance owns the partition, and this one resigns.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.summary_write_in_flight = False
    if isinstance(reply.outcome, store_messages.Committed):
        partition.summary = purpose.summary
        tenure.record_proof(partition, reply.sent_at)
    if isinstance(reply.outcome, store_messages.Conflict):
        return ownership.resign(batch, partition.name, "conflict", now)
    return []
