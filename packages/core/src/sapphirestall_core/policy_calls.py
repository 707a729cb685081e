"""Places at which batch work asks the policies.

Each function is called at exactly one kind of moment and returns effects, so
that a policy needs no change in the handlers of batch work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state
    from sapphirestall_core import task_messages
    from sapphirestall_core import tasks_state


def note_report(
    worker: tasks_state.Worker,
    report: task_messages.WorkerReport,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Called when a worker's report was taken."""
    return []


def note_start_failed(
    worker: tasks_state.Worker,
    name: task_messages.AttemptName,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Called when a worker failed to start a task, or a task failed."""
    return []


def note_finished(
    worker: tasks_state.Worker,
    name: task_messages.AttemptName,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Called once when a task finished."""
    return []


def make_room(
    share: tasks_state.Share,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Called when no worker of a partition has room for a waiting task.

    A policy that wants room calls `eviction.start` for some of
    `eviction.list_candidates` and returns the effects.
    """
    return []


def is_on_probation(
    worker: tasks_state.Worker, instance: state.Instance, now: float
) -> bool:
    """Tells whether a worker's failures count against it, not the job."""
    return False
