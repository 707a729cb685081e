"""Free capacity of the workers of a partition, as its owner publishes it.

Other instances tell from it for which tasks the partition has room. Workers are
therefore listed by service and labels. The figures of a group of workers are
kept in lists, since a summary is written and read about once a second.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from sapphirestall_core.batch import model


@attrs.frozen(slots=True)
class FreeCapacity:
    """Free capacity of one worker for tasks that are not opportunistic.

    Attributes:
        cpu_millis: Processors, in thousandths.
        memory_mb: Memory, in megabytes.
    """

    cpu_millis: int
    memory_mb: int


def _check_lengths(
    group: "WorkerGroup",
    attribute: "attrs.Attribute[Any]",
    value: tuple[int, ...],
) -> None:
    if len(value) != len(group.cpu_millis):
        raise ValueError("not as many figures of memory as of processors")


@attrs.frozen(slots=True)
class WorkerGroup:
    """Workers of one service that have the same labels.

    Attributes:
        labels: Their labels.
        workers: Their number.
        cpu_millis: Free processors of each that has any, in thousandths.
        memory_mb: Free memory of each of these, in the same order, in
            megabytes.
        long_running_only: Whether the free capacity is left to long-running
            tasks, as the workers are nominated for some that wait.
        yielding: Processors and memory that a worker would have free, without
            the finite tasks that leave them to long-running ones, for some
            workers with most of them.
    """

    labels: tuple[str, ...]
    workers: int
    cpu_millis: tuple[int, ...] = ()
    memory_mb: tuple[int, ...] = attrs.field(
        default=(), validator=_check_lengths
    )
    long_running_only: bool = False
    yielding: tuple[FreeCapacity, ...] = ()

    def accepts(self, step: model.Step) -> bool:
        """Returns whether tasks of a step may use the workers."""
        if self.long_running_only and not step.long_running:
            return False
        return not step.required_label or step.required_label in self.labels

    def count_fitting(self, step: model.Step, limit: int) -> int:
        """Counts the tasks of a step that fit, at most `limit`."""
        cpu_millis = max(1, step.amount.cpu_millis)
        memory_mb = max(1, step.amount.memory_mb)
        per_worker = step.max_per_worker or limit
        count = 0
        for cpu, memory in zip(self.cpu_millis, self.memory_mb, strict=True):
            if cpu >= cpu_millis and memory >= memory_mb:
                fitting = min(cpu // cpu_millis, memory // memory_mb)
                count += min(fitting, per_worker)
                if count >= limit:
                    return limit
        return count


def make_group(
    labels: tuple[str, ...],
    workers: int,
    capacities: Iterable[FreeCapacity],
    *,
    long_running_only: bool = False,
    yielding: Iterable[FreeCapacity] = (),
) -> WorkerGroup:
    """Returns a group of workers of which some have free capacity."""
    listed = list(capacities)
    return WorkerGroup(
        labels,
        workers,
        tuple(free.cpu_millis for free in listed),
        tuple(free.memory_mb for free in listed),
        long_running_only,
        tuple(yielding),
    )


def show_yielding(group: WorkerGroup) -> WorkerGroup:
    """Returns a group with what finite tasks leave as its free capacity."""
    return make_group(group.labels, 0, group.yielding, long_running_only=True)


def deduct_yielding(
    groups: tuple[WorkerGroup, ...], step: model.Step
) -> tuple[WorkerGroup, ...]:
    """Returns groups after tasks were sent to what finite tasks leave."""
    shown = tuple(show_yielding(group) for group in groups)
    return tuple(
        attrs.evolve(group, yielding=tuple(_list_capacities(left)))
        for group, left in zip(groups, deduct_tasks(shown, step), strict=True)
    )


def _list_capacities(group: WorkerGroup) -> Iterable[FreeCapacity]:
    pairs = zip(group.cpu_millis, group.memory_mb, strict=True)
    return (FreeCapacity(*pair) for pair in pairs)


@attrs.define(slots=True)
class _Worker:
    """A worker of a group while tasks are deducted from it.

    Attributes:
        cpu_millis: Its free processors, in thousandths.
        memory_mb: Its free memory, in megabytes.
        accepts: Whether tasks of the step may use it.
        tasks: Number of tasks that were deducted.
    """

    cpu_millis: int
    memory_mb: int
    accepts: bool
    tasks: int = 0


def deduct_tasks(
    groups: tuple[WorkerGroup, ...], step: model.Step
) -> tuple[WorkerGroup, ...]:
    """Returns groups of workers after the tasks of a step were sent to them.

    Each task is deducted from the worker with most processors of those that can
    run it, or else of those that they may use: it will use what becomes free
    first.
    """
    by_group = [
        [
            _Worker(cpu, memory, group.accepts(step))
            for cpu, memory in zip(
                group.cpu_millis, group.memory_mb, strict=True
            )
        ]
        for group in groups
    ]
    accepting = [
        worker for workers in by_group for worker in workers if worker.accepts
    ]
    for _ in range(step.count if accepting else 0):
        chosen = _choose_worker(accepting, step)
        chosen.cpu_millis -= step.amount.cpu_millis
        chosen.memory_mb -= step.amount.memory_mb
        chosen.tasks += 1
    return tuple(
        attrs.evolve(
            group,
            cpu_millis=tuple(worker.cpu_millis for worker in workers),
            memory_mb=tuple(worker.memory_mb for worker in workers),
        )
        for group, workers in zip(groups, by_group, strict=True)
    )


def _choose_worker(workers: list[_Worker], step: model.Step) -> _Worker:
    """Returns the worker from which the next task of a step is deducted."""
    amount = step.amount
    per_worker = step.max_per_worker or step.count
    largest = fitting = None
    for worker in workers:
        if largest is None or worker.cpu_millis > largest.cpu_millis:
            largest = worker
        if (
            worker.cpu_millis >= amount.cpu_millis
            and worker.memory_mb >= amount.memory_mb
            and worker.tasks < per_worker
            and (fitting is None or worker.cpu_millis > fitting.cpu_millis)
        ):
            fitting = worker
    chosen = fitting or largest
    assert chosen is not None
    return chosen
