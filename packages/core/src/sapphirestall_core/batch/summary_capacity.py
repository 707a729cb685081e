"""Free capacity that the summary of a partition shows for the tasks of a step.

A summary by an owner of the version before shows some workers, whatever their
service and labels.
"""

import attrs

from sapphirestall_core.batch import model
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records


def list_free(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> list[published_capacity.FreeCapacity]:
    """Returns the free capacity of each worker that can run a step.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: The step, which may require a label.
    """
    if summary.groups is None:
        return list(summary.rooms)
    return [
        free
        for name, groups in summary.groups.items()
        if service in ("", name)
        for group in groups
        if group.accepts(step)
        for free in group.list_free()
    ]


def count_fitting_tasks(
    summary: records.SummaryRecord,
    service: str,
    step: model.Step,
    limit: int,
) -> int:
    """Counts the tasks of a step for which a partition has free capacity.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: Step of the tasks.
        limit: Highest number to return.
    """
    capacities = list_free(summary, service, step)
    return published_capacity.count_fitting_tasks(step, capacities, limit)


def count_workers(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> int | None:
    """Returns the number of workers for a step; None if it is not known."""
    if summary.groups is None:
        return summary.workers.get(service)
    groups = summary.groups.get(service, ())
    return sum(group.workers for group in groups if group.accepts(step))


def deduct(
    summary: records.SummaryRecord, service: str, step: model.Step
) -> records.SummaryRecord:
    """Returns a summary after the tasks of a step were sent to its partition.

    Args:
        summary: Summary of the partition.
        service: Service of the step; empty for any.
        step: The step.
    """
    if summary.groups is None:
        rooms = published_capacity.deduct_tasks(
            list(summary.rooms), step, step.count
        )
        return attrs.evolve(summary, rooms=tuple(rooms))
    groups = {
        name: published_capacity.deduct_from_groups(groups, step, step.count)
        if service in ("", name)
        else groups
        for name, groups in summary.groups.items()
    }
    return attrs.evolve(summary, groups=groups)
