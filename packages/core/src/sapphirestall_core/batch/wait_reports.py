"""Reports of what keeps long-running tasks waiting.

A long-running task should run again within seconds. It waits because runs of
former owners may still exist, because it is being moved, or because no usable
worker of its partition has enough unreserved capacity. The report also tells
how much capacity other partitions have according to their summaries.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state

PART = "capacity"


@attrs.define
class WaitReport:
    """Long-running tasks of a partition that have no run.

    Amounts are processors, in thousandths.

    Attributes:
        tasks: Number of these tasks.
        not_allowed: Of these, those that may not start yet, whatever capacity
            there is.
        moving: Of these, those whose move is being written.
        longest_s: Longest time since a pass found no worker for one of them, in
            seconds.
        smallest_cpu: Lowest request among them.
        largest_free: Most unreserved processors on one usable worker.
        usable_workers: Number of workers on which new runs may start.
        workers: Number of workers.
        elsewhere_free: Most unreserved processors on one worker of another
            partition, by the summaries.
        summary_age_s: Time since summaries were last read, in seconds.
    """

    tasks: int = 0
    not_allowed: int = 0
    moving: int = 0
    longest_s: float = 0.0
    smallest_cpu: int = 0
    largest_free: int = 0
    usable_workers: int = 0
    workers: int = 0
    elsewhere_free: int = 0
    summary_age_s: float = 0.0


def log_waits(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Logs a report of a partition in which long-running tasks wait."""
    waiting = _list_waiting(partition)
    if not waiting:
        return []
    report = make_report(batch, partition, waiting, now)
    fields = {"partition": partition.name, **attrs.asdict(report)}
    return [messages.Log(PART, "waits", fields)]


def _list_waiting(partition: state.Partition) -> list[state.Task]:
    """Returns the long-running tasks of a partition that have no run."""
    return [
        task
        for job in partition.jobs.values()
        for step in job.steps
        if step.step.long_running
        for task in step.runnable.values()
    ]


def make_report(
    batch: state.Batch,
    partition: state.Partition,
    waiting: list[state.Task],
    now: float,
) -> WaitReport:
    """Returns the report of a partition.

    Args:
        batch: State of this instance.
        partition: The owned partition.
        waiting: Its long-running tasks that have no run.
        now: Monotonic time, in seconds.
    """
    progress = former_runs.check_progress(partition, now)
    allowed = [
        task for task in waiting if passes.may_start(batch, task.job, progress)
    ]
    since = [
        task.unplaced_since
        for task in waiting
        if task.unplaced_since is not None
    ]
    usable = [
        worker
        for worker in partition.workers.values()
        if placement.is_usable(worker, now)
        and not partition.withholds_leases(worker.entry.worker_id)
    ]
    return WaitReport(
        tasks=len(waiting),
        not_allowed=len(waiting) - len(allowed),
        moving=sum(task.job.move_in_flight for task in waiting),
        longest_s=round(now - min(since, default=now), 3),
        smallest_cpu=min(
            (task.step.amount.cpu_millis for task in waiting), default=0
        ),
        largest_free=max(
            (
                worker.entry.capacity.minus(worker.reserved).cpu_millis
                for worker in usable
            ),
            default=0,
        ),
        usable_workers=len(usable),
        workers=len(partition.workers),
        elsewhere_free=_find_free_elsewhere(batch, partition, now),
        summary_age_s=round(now - batch.all_summaries_read_at, 3),
    )


def _find_free_elsewhere(
    batch: state.Batch, partition: state.Partition, now: float
) -> int:
    """Returns the most free processors that another partition publishes."""
    summaries = routing.list_fresh_summaries(batch, now)
    return max(
        (
            room.cpu_millis
            for name, summary in summaries.items()
            if name != partition.name
            for room in summary.rooms
        ),
        default=0,
    )
