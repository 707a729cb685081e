"""Orders to workers and their replies."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import model


@attrs.frozen(slots=True)
class Target:
    """Names one incarnation of a worker."""

    worker_id: str
    born_ms: int
    address: str


@attrs.frozen
class WorkerCall(messages.Effect):
    """A call to a worker.

    Attributes:
        partition: Partition on whose behalf the call is made.
        token: Fencing token of the partition's owner.
    """

    target: Target
    partition: str
    token: int


@attrs.frozen
class HoldLease(WorkerCall):
    """Extends the lease of all runs of a worker and asks what runs there.

    Attributes:
        acknowledged: Position up to which the worker may forget ends.
        lease_end_ms: End of the lease on the worker's clock; None keeps it.
        wait_s: Time for which the worker may wait for an end, in seconds.
        number: Tells the holds of one owner apart.
    """

    acknowledged: int
    lease_end_ms: int | None
    wait_s: float
    number: int


@attrs.frozen
class StartRun(WorkerCall):
    """Starts a run of a task."""

    task: model.TaskName
    number: int
    spec: str
    lease_end_ms: int
    checkpoint: str


@attrs.frozen
class StopRun(WorkerCall):
    """Stops a run; also voids a start of it that has not arrived yet."""

    task: model.TaskName
    number: int


@attrs.frozen
class PaceRun(WorkerCall):
    """Lets a run work at a share of its speed."""

    task: model.TaskName
    number: int
    percent: int


@attrs.frozen
class Reply:
    """Reply to a call to a worker."""


# Ends that a worker lists at once, the oldest first.
MAX_LISTED_ENDS = 500


@attrs.frozen
class Listing(Reply):
    """All that runs on a worker, and the ends not yet acknowledged.

    Attributes:
        clock_ms: Steady clock of the worker.
    """

    clock_ms: int
    running: tuple[model.RunRow, ...]
    ended: tuple[model.EndRow, ...]

    def lists_all_ends(self) -> bool:
        """Tells whether no end is left out of the list."""
        return len(self.ended) < MAX_LISTED_ENDS


@attrs.frozen
class Done(Reply):
    """The call was carried out."""

    clock_ms: int


@attrs.frozen
class Rejected(Reply):
    """The worker refused the call and did nothing.

    Attributes:
        reason: `fence`, `old`, `late`, `room` or `ticket`; `unhealthy` and
            `invalid` for refusals without a reason; `replaced` when another
            worker answers at the address, `reborn` when a later life of this
            worker does.
    """

    reason: str
    clock_ms: int | None = None


@attrs.frozen
class NoAnswer(Reply):
    """No answer came; the call may be carried out later, or may have been.

    Attributes:
        detail: Error of the connection.
        local: Whether the cause lies in this process: it was late, or had no
            free connection.
    """

    detail: str
    local: bool = False


@attrs.frozen
class NotSent(NoAnswer):
    """The call never left this process; the worker did nothing."""


@attrs.frozen
class WorkerReplied(messages.Event):
    """Reply to a call, with the time at which the call was sent."""

    call: WorkerCall
    reply: Reply
    sent_at: float
