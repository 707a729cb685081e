"""Free capacity of the workers of a partition, as its owner publishes it.

Other instances tell from it for which tasks the partition has room. Workers are
therefore listed by service and labels. The figures of a group of workers are
kept in lists, since a summary is written and read about once a second.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools
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

    def count_fitting(self, step: model.Step) -> int:
        """Counts the tasks of a step that fit, whatever its constraints."""
        return max(
            0,
            min(
                self.cpu_millis // max(1, step.amount.cpu_millis),
                self.memory_mb // max(1, step.amount.memory_mb),
            ),
        )

    def deduct(self, step: model.Step) -> "FreeCapacity":
        """Returns what a task of a step leaves free."""
        return FreeCapacity(
            self.cpu_millis - step.amount.cpu_millis,
            self.memory_mb - step.amount.memory_mb,
        )


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
    """

    labels: tuple[str, ...]
    workers: int
    cpu_millis: tuple[int, ...] = ()
    memory_mb: tuple[int, ...] = attrs.field(
        default=(), validator=_check_lengths
    )

    def accepts(self, step: model.Step) -> bool:
        """Returns whether the workers have the label that a step requires."""
        return not step.required_label or step.required_label in self.labels

    def list_free(self) -> Iterator[FreeCapacity]:
        """Yields the free capacity of each worker that has any."""
        return map(FreeCapacity, self.cpu_millis, self.memory_mb)

    def count_fitting(self, step: model.Step, limit: int) -> int:
        """Counts the tasks of a step that fit, whatever label it requires.

        Owners count for each waiting task in all partitions, so that workers
        without room are left out at once.

        Args:
            step: Step of the tasks.
            limit: Highest number to return.
        """
        least_cpu, least_memory = step.amount.cpu_millis, step.amount.memory_mb
        fitting = (
            FreeCapacity(cpu, memory)
            for cpu, memory in zip(self.cpu_millis, self.memory_mb, strict=True)
            if cpu >= least_cpu and memory >= least_memory
        )
        return count_fitting_tasks(step, fitting, limit)

    def replace_free(self, capacities: list[FreeCapacity]) -> "WorkerGroup":
        """Returns the group with other free capacities of its workers."""
        return attrs.evolve(
            self,
            cpu_millis=tuple(free.cpu_millis for free in capacities),
            memory_mb=tuple(free.memory_mb for free in capacities),
        )


def count_fitting_tasks(
    step: model.Step, capacities: Iterable[FreeCapacity], limit: int
) -> int:
    """Counts the tasks of a step for which workers have free capacity.

    Args:
        step: Step of the tasks.
        capacities: Free capacities of workers that have the required label.
        limit: Highest number to return.
    """
    per_worker = step.max_per_worker or limit
    count = 0
    for free in capacities:
        count += min(free.count_fitting(step), per_worker)
        if count >= limit:
            return limit
    return count


def deduct_tasks(
    capacities: list[FreeCapacity], step: model.Step, count: int
) -> list[FreeCapacity]:
    """Returns the free capacities of workers after tasks were sent to them.

    Each task is deducted from the worker with most processors of those that can
    run it, or of all if there is none: it will use what becomes free first.
    """
    remaining = list(capacities)
    sent = [0] * len(remaining)

    def rank(index: int) -> tuple[bool, int, int]:
        """Returns a sort key of a worker; the lowest is preferred."""
        free = remaining[index]
        allowed = not step.max_per_worker or sent[index] < step.max_per_worker
        fits = allowed and free.count_fitting(step) > 0
        return not fits, -free.cpu_millis, index

    ranks = [rank(index) for index in range(len(remaining))]
    heapq.heapify(ranks)
    for _ in range(count if remaining else 0):
        chosen = ranks[0][-1]
        remaining[chosen] = remaining[chosen].deduct(step)
        sent[chosen] += 1
        heapq.heapreplace(ranks, rank(chosen))
    return remaining


def deduct_from_groups(
    groups: tuple[WorkerGroup, ...], step: model.Step, count: int
) -> tuple[WorkerGroup, ...]:
    """Returns groups of workers after tasks of a step were sent to them."""
    accepting = [group for group in groups if group.accepts(step)]
    capacities = [free for group in accepting for free in group.list_free()]
    remaining = iter(deduct_tasks(capacities, step, count))
    return tuple(
        group.replace_free(
            list(itertools.islice(remaining, len(group.cpu_millis)))
        )
        if group.accepts(step)
        else group
        for group in groups
    )
