"""Commands to workers, fenced by epoch, expiry and incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

from sapphirestall_core import ownership
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import resources
    from sapphirestall_core import state

# Commands expire `ownership.COMMAND_TERM_S` after the worker's last report. If
# that report is older, a command might expire before it arrives.
MAX_REPORT_AGE_S = ownership.COMMAND_TERM_S - 1.0


class Fence(TypedDict):
    """Fields that fence a command to a worker.

    Attributes:
        worker_id: Id of the worker.
        address: Address of the worker.
        epoch: Epoch of the sender.
        expires_at: Time by the worker's clock, in seconds, after which it
            refuses the command.
        incarnation: Incarnation of the worker that the command is meant for.
    """

    worker_id: str
    address: str
    epoch: int
    expires_at: float
    incarnation: str


def make_fence(
    worker: tasks_state.Worker, partition: tasks_state.Partition
) -> Fence:
    """Returns the fencing fields of a command that is sent now."""
    return Fence(
        worker_id=worker.worker_id,
        address=worker.address,
        epoch=partition.epoch,
        expires_at=worker.clock + ownership.COMMAND_TERM_S,
        incarnation=worker.incarnation,
    )


def may_command(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> bool:
    """Returns whether a command to a worker may be sent at `now`.

    With authority from witnesses, the expiry has to be computed from the
    worker's clock in the round that gives the authority or in a later one. See
    docs/design.md, section 7, end of authority.
    """
    if worker.reported_at < 0 or now - worker.reported_at > MAX_REPORT_AGE_S:
        return False
    authority = ownership.find_authority(partition, instance.tasks.lease, now)
    if authority is ownership.Authority.WITNESSES:
        return worker.round_number >= partition.majority_round
    return authority is ownership.Authority.LEASE


def make_stop(
    name: task_messages.AttemptName,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
) -> task_messages.StopTask:
    """Returns the command that stops an attempt."""
    return task_messages.StopTask(name=name, **make_fence(worker, partition))


def make_checkpoint(
    name: task_messages.AttemptName,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
) -> task_messages.CheckpointTask:
    """Returns the command that requests a checkpoint of an attempt."""
    return task_messages.CheckpointTask(
        name=name, **make_fence(worker, partition)
    )


def make_throttle(
    name: task_messages.AttemptName,
    share: float,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
) -> task_messages.ThrottleTask:
    """Returns the command that limits an attempt to a processor share.

    Args:
        name: Name of the attempt.
        share: Share of its processors that it may use, from 0 to 1.
        worker: Worker on which it runs.
        partition: Partition of the worker.
    """
    return task_messages.ThrottleTask(
        name=name, share=share, **make_fence(worker, partition)
    )


def make_start(
    attempt: tasks_state.Attempt,
    reserved: resources.Vector,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
) -> task_messages.StartTask:
    """Returns the command that starts an attempt.

    Args:
        attempt: The attempt; its share must be known.
        reserved: Resources to reserve for it.
        worker: Worker on which it starts.
        partition: Partition of the worker.
    """
    assert attempt.share is not None
    record = attempt.share.job.record
    return task_messages.StartTask(
        name=attempt.name,
        kind=record.kind,
        reserved=reserved,
        run_s=record.run_s,
        lease_s=ownership.TASK_LEASE_S,
        checkpoint=attempt.checkpoint,
        **make_fence(worker, partition),
    )
