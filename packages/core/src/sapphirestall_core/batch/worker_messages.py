"""Calls to workers and their replies."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import model


@attrs.frozen(slots=True)
class Target:
    """Identifies one incarnation of a worker.

    Attributes:
        started_at_ms: Wall-clock time at which the incarnation started, in Unix
            milliseconds.
    """

    worker_id: str
    started_at_ms: int
    address: str


@attrs.frozen
class WorkerCall(messages.Effect):
    """Base of the calls to workers.

    Attributes:
        partition: Partition on whose behalf the call is made.
        token: Fencing token of the partition's owner.
    """

    target: Target
    partition: str
    token: int


@attrs.frozen
class HoldLease(WorkerCall):
    """Polls a worker: extends the leases of its runs and requests a listing.

    Attributes:
        acknowledged: Position up to which the worker may discard ends.
        lease_end_ms: New end of the leases on the worker's clock, in
            milliseconds; None leaves them unchanged.
        wait_s: How long the worker may delay the answer until a run ends, in
            seconds; 0 requests an answer at once.
        number: Number of the poll, unique within one ownership of a partition.
    """

    acknowledged: int
    lease_end_ms: int | None
    wait_s: float
    number: int


@attrs.frozen
class StartRun(WorkerCall):
    """Starts a run of a task.

    Attributes:
        number: Number of the run; rises with each start of the task.
        spec: Text of the job that the task receives.
        lease_end_ms: End of the run's lease on the worker's clock, in
            milliseconds; the worker refuses the start after it.
        checkpoint: Progress from which the run resumes; empty for none.
    """

    task: model.TaskName
    number: int
    spec: str
    lease_end_ms: int
    checkpoint: str


@attrs.frozen
class StopRun(WorkerCall):
    """Stops a run; a start of the run that arrives later is ignored."""

    task: model.TaskName
    number: int


@attrs.frozen
class PaceRun(WorkerCall):
    """Sets the pace of a run.

    Attributes:
        percent: Share of its processors that the run may use, in percent.
    """

    task: model.TaskName
    number: int
    percent: int


@attrs.frozen
class Reply:
    """Base of the outcomes of calls to workers."""


# Most ends that a worker names in one listing, the oldest first.
MAX_LISTED_ENDS = 500


@attrs.frozen
class Listing(Reply):
    """Lists the runs on a worker and the ends not yet acknowledged.

    Attributes:
        clock_ms: Steady clock of the worker, in milliseconds.
        running: All runs that the worker has.
        ended: The oldest unacknowledged ends; at most `MAX_LISTED_ENDS`.
    """

    clock_ms: int
    running: tuple[model.ListedRun, ...]
    ended: tuple[model.EndedRun, ...]

    def lists_all_ends(self) -> bool:
        """Returns whether the listing contains all unacknowledged ends."""
        return len(self.ended) < MAX_LISTED_ENDS


@attrs.frozen
class Done(Reply):
    """Confirms that the worker has carried out the call.

    Attributes:
        clock_ms: Steady clock of the worker, in milliseconds.
    """

    clock_ms: int


@attrs.frozen
class Rejected(Reply):
    """Refuses a call.

    The worker did nothing, except that after `reborn` it may have carried out
    the call.

    Attributes:
        reason: `fence`, `old`, `late`, `room` or `ticket`, as the worker says;
            `unhealthy` or `invalid` for refusals without a reason; `replaced`
            if another worker answers at the address; `reborn` if another
            incarnation of the worker answers.
        clock_ms: Steady clock of the worker, in milliseconds; None if it is
            not known.
    """

    reason: str
    clock_ms: int | None = None


@attrs.frozen
class NoAnswer(Reply):
    """Reports that no answer came.

    The call may have been carried out or may still be carried out.

    Attributes:
        detail: Text of the connection error.
        local: Whether the cause lies in this process: it was delayed, or had no
            free connection.
        closed: Whether the worker's host closed or refused the connection, as
            it does when the worker exits. A cut is usually silent.
    """

    detail: str
    local: bool = False
    closed: bool = False


@attrs.frozen
class NotSent(NoAnswer):
    """Reports that the call never left this process and had no effect."""


@attrs.frozen
class WorkerReplied(messages.Event):
    """Reports that a call to a worker has ended.

    Attributes:
        sent_at: Monotonic time at which the call was sent, in seconds.
    """

    call: WorkerCall
    reply: Reply
    sent_at: float
