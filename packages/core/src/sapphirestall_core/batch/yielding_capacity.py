"""Capacity that finite tasks use and leave to long-running ones.

Finite tasks that end one after another may use the only capacity that a
long-running task of another partition could have, so that none of it is ever
free. The owner therefore publishes what finite tasks would leave to such a
task: once it has moved here, a worker is nominated for it.
"""

from collections.abc import Iterable

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_core.batch import nominations
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import state

# Number of workers that are published, those with most processors. All
# instances read the summary about once a second.
MAX_WORKERS = 4
# A worker is published if it would have this many times its free processors.
MIN_GAIN = 2.0


def find_most(
    partition: state.Partition,
    usable: Iterable[state.Worker],
    nominated: set[str],
    now: float,
) -> dict[str, published_capacity.FreeCapacity]:
    """Returns what finite tasks leave to tasks of others, by worker.

    Args:
        partition: The owned partition.
        usable: Its workers that accept new runs.
        nominated: Ids of workers that are nominated for tasks of the partition.
        now: Monotonic time, in seconds.
    """
    waiting = _list_waiting_steps(partition)
    found = []
    for worker in usable:
        if worker.entry.worker_id in nominated:
            continue
        free = worker.entry.capacity.minus(worker.reserved)
        capacity = free.plus(_sum_finite(worker, now))
        if capacity.cpu_millis < MIN_GAIN * max(1, free.cpu_millis):
            continue
        if not _is_needed(worker, capacity, waiting):
            found.append((capacity, worker.entry.worker_id))
    found.sort(key=lambda pair: (-pair[0].cpu_millis, pair[1]))
    return {
        name: published_capacity.FreeCapacity(
            capacity.cpu_millis, capacity.memory_mb
        )
        for capacity, name in found[:MAX_WORKERS]
    }


def _list_waiting_steps(
    partition: state.Partition,
) -> list[tuple[str, model.Step]]:
    """Returns the long-running steps with waiting tasks, with their service."""
    return [
        (job.queue.service, step.step)
        for job in partition.jobs.values()
        for step in job.steps
        if step.step.long_running and step.runnable
    ]


def _sum_finite(worker: state.Worker, now: float) -> resources.Vector:
    """Returns what runs reserve that will end by themselves before long."""
    total = resources.Vector()
    for run in worker.runs.values():
        step = run.task.step
        if step.long_running or step.fills:
            continue
        if nominations.estimate_remaining(run, now) <= nominations.MAX_WAIT_S:
            total = total.plus(placement.find_reserved_amount(step))
    return total


def _is_needed(
    worker: state.Worker,
    capacity: resources.Vector,
    waiting: Iterable[tuple[str, model.Step]],
) -> bool:
    """Returns whether a task that waits here may get the capacity."""
    entry = worker.entry
    return any(
        service == entry.service
        and step.amount.fits(capacity)
        and (not step.required_label or step.required_label in entry.labels)
        for service, step in waiting
    )
