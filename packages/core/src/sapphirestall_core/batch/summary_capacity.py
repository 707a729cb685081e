"""Free capacity that the summary of a partition shows for the tasks of a step.

A summary by an owner of the version before shows some workers, whatever their
service and labels.
"""

import attrs

from sapphirestall_core.batch import model
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records


def list_groups(
    summary: records.SummaryRecord,
    service: str,
    step: model.Step,
    *,
    yielding: bool = False,
) -> list[published_capacity.WorkerGroup]:
    """Returns the workers that can run a step.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: The step, which may require a label.
        yielding: Whether to return, in place of the free capacity, what finite
            tasks leave to long-running ones.
    """
    if summary.groups is None:
        return [] if yielding else [_make_former_group(summary, step)]
    listed = [
        published_capacity.show_yielding(group) if yielding else group
        for name, groups in summary.groups.items()
        if service in ("", name)
        for group in groups
    ]
    return [group for group in listed if group.accepts(step)]


def _make_former_group(
    summary: records.SummaryRecord, step: model.Step
) -> published_capacity.WorkerGroup:
    """Returns what an owner of the version before shows of its workers.

    They are assumed to have the label that a step requires.
    """
    rooms = summary.rooms
    labels = (step.required_label,)
    return published_capacity.make_group(labels, len(rooms), rooms)


def count_fitting_tasks(
    summary: records.SummaryRecord,
    service: str,
    step: model.Step,
    limit: int,
    *,
    yielding: bool = False,
) -> int:
    """Counts the tasks of a step for which a partition has capacity.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: Step of the tasks.
        limit: Highest number to return.
        yielding: Whether to count, in place of the free capacity, what finite
            tasks leave to long-running ones.
    """
    count = 0
    for group in list_groups(summary, service, step, yielding=yielding):
        count += group.count_fitting(step, limit - count)
        if count >= limit:
            break
    return count


def has_yielding(summary: records.SummaryRecord) -> bool:
    """Returns whether a summary shows what finite tasks leave to others."""
    return any(
        group.yielding
        for groups in (summary.groups or {}).values()
        for group in groups
    )


def sum_free_cpu(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> int:
    """Returns the free processors of all workers that can run a step."""
    groups = list_groups(summary, service, step)
    return sum(sum(group.cpu_millis) for group in groups)


def find_largest_free_cpu(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> int:
    """Returns the most free processors of a worker that can run a step."""
    groups = list_groups(summary, service, step)
    return max(
        (max(group.cpu_millis, default=0) for group in groups), default=0
    )


def count_workers(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> int | None:
    """Returns the number of workers for a step; None if it is not known."""
    if summary.groups is None:
        return summary.workers.get(service)
    return sum(group.workers for group in list_groups(summary, service, step))


def deduct(
    summary: records.SummaryRecord,
    service: str,
    step: model.Step,
    *,
    yielding: bool = False,
) -> records.SummaryRecord:
    """Returns a summary after the tasks of a step were sent to its partition.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: The step.
        yielding: Whether its tasks get what finite tasks leave to them.
    """
    if summary.groups is None:
        former = _make_former_group(summary, step)
        (group,) = published_capacity.deduct_tasks((former,), step)
        pairs = zip(group.cpu_millis, group.memory_mb, strict=True)
        rooms = (published_capacity.FreeCapacity(*pair) for pair in pairs)
        return attrs.evolve(summary, rooms=tuple(rooms))
    deduct_from = (
        published_capacity.deduct_yielding
        if yielding
        else published_capacity.deduct_tasks
    )
    groups = {
        name: deduct_from(groups, step) if service in ("", name) else groups
        for name, groups in summary.groups.items()
    }
    return attrs.evolve(summary, groups=groups)
