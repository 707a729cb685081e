"""Calls to workers, as effects, and their answers, as events.

The fields of reports and calls are the interface of the workers.
"""

import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources


class TaskState(enum.Enum):
    """State of an attempt, as its worker reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class AttemptName:
    """Name of an attempt to run a task; never reused."""

    job_id: str
    task: int
    attempt: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.task}.{self.attempt}"


@attrs.frozen
class TaskName:
    """Name of a task of a job."""

    job_id: str
    task: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.task}"


@attrs.frozen
class TaskReport:
    """Task in a worker's report.

    Attributes:
        name: Name of the attempt.
        state: State of the attempt.
        reserved: Resources reserved for it.
        usage: Measured usage, which lags behind the report.
        lease_left_s: Remaining time of its lease, in seconds.
        checkpoint: Name of its newest checkpoint; empty if there is none.
        kind: Kind of work.
        throttle: Share of its processors that it may use; 1 if it is not
            throttled.
    """

    name: AttemptName
    state: TaskState
    reserved: resources.Vector
    usage: resources.Vector
    lease_left_s: float = 0.0
    checkpoint: str = ""
    kind: str = ""
    throttle: float = 1.0


@attrs.frozen
class ServiceReport:
    """Latency-critical service in a worker's report.

    Attributes:
        service: Name of the service.
        reserved: Resources reserved for it.
        slowdown: Measured latency divided by the undisturbed latency.
        measured_at: Time of the measurement by the worker's clock, in seconds.
    """

    service: str
    reserved: resources.Vector
    slowdown: float
    measured_at: float


@attrs.frozen
class WorkerReport:
    """Complete inventory of a worker.

    Attributes:
        clock: Reading of the worker's clock, in seconds.
        highest_epoch: Highest epoch that the worker has accepted.
        incarnation: Incarnation of the worker; a restart begins a new one.
        capacity: Capacity of the worker.
        tasks: Running attempts, and ended ones that have not been acknowledged.
        services: Services on the worker.
    """

    clock: float
    highest_epoch: int
    incarnation: str
    capacity: resources.Vector
    tasks: tuple[TaskReport, ...]
    services: tuple[ServiceReport, ...] = ()


@attrs.frozen
class WorkerEffect(messages.Effect):
    """Base of the calls to workers, fenced by epoch, expiry and incarnation.

    Attributes:
        worker_id: Id of the worker.
        address: Address of the worker.
        epoch: Epoch of the sender; the worker refuses an older one than it has
            accepted.
        expires_at: Time by the worker's clock, in seconds, after which it
            refuses the call.
        incarnation: Incarnation of the worker that the call is meant for;
            another one refuses it. Empty in a poll that renews no lease, whose
            report tells the incarnation.
    """

    worker_id: str
    address: str
    epoch: int
    expires_at: float
    incarnation: str = attrs.field(default="", kw_only=True)


@attrs.frozen
class PollWorker(WorkerEffect):
    """Requests a report, renews task leases and acknowledges committed ends.

    Attributes:
        round_number: Number of the poll round; returned with the report.
        lease_s: Term of the renewed leases, in seconds.
        renew: Attempts whose leases are renewed.
        acknowledge: Ended attempts that the worker may discard.
    """

    round_number: int
    lease_s: float
    renew: tuple[AttemptName, ...] = ()
    acknowledge: tuple[AttemptName, ...] = ()


@attrs.frozen
class StartTask(WorkerEffect):
    """Starts an attempt under a lease.

    Attributes:
        name: Name of the attempt.
        kind: Kind of work.
        reserved: Resources to reserve for it.
        run_s: Declared run time, in seconds.
        lease_s: Term of the lease, in seconds.
        checkpoint: Checkpoint to resume from; empty to start anew.
    """

    name: AttemptName
    kind: str
    reserved: resources.Vector
    run_s: float
    lease_s: float
    checkpoint: str = ""


@attrs.frozen
class CheckpointTask(WorkerEffect):
    """Requests a checkpoint of a running attempt."""

    name: AttemptName


@attrs.frozen
class ThrottleTask(WorkerEffect):
    """Limits an attempt to a share of its processors."""

    name: AttemptName
    share: float


@attrs.frozen
class StopTask(WorkerEffect):
    """Stops an attempt."""

    name: AttemptName


@attrs.frozen
class WorkerEvent(messages.Event):
    """Base of the events that report the outcomes of calls to workers.

    Attributes:
        worker_id: Id of the worker.
        sent_at: Monotonic time at which the call was sent, in seconds.
    """

    worker_id: str
    sent_at: float


@attrs.frozen
class WorkerReported(WorkerEvent):
    """Reports that a worker has answered a poll.

    Attributes:
        epoch: Epoch of the poll.
        round_number: Number of the poll round.
        report: Inventory of the worker.
    """

    epoch: int
    round_number: int
    report: WorkerReport


@attrs.frozen
class WorkerFailed(WorkerEvent):
    """Reports that a poll has failed.

    Attributes:
        epoch: Epoch of the poll.
        round_number: Number of the poll round.
        code: `unreachable`, `stale_epoch`, `expired` or another refusal code.
        highest_epoch: Highest epoch that the worker has accepted, from a
            `stale_epoch` refusal; otherwise 0.
    """

    epoch: int
    round_number: int
    code: str
    highest_epoch: int = 0


@attrs.frozen
class CommandDone(WorkerEvent):
    """Reports that a worker has carried out a command on an attempt.

    Attributes:
        command: The command.
        checkpoint: Name of the checkpoint that was taken; empty if none was.
    """

    command: WorkerEffect
    checkpoint: str = ""


@attrs.frozen
class CommandFailed(WorkerEvent):
    """Reports that a command on an attempt has failed.

    Attributes:
        command: The command.
        code: `unreachable`, `stale_epoch`, `expired`, `no_room`, `duplicate`,
            `unknown_task`, `start_failed`, `wrong_incarnation`,
            `checkpoint_failed`.
        ambiguous: Whether the command may have taken effect nevertheless.
        highest_epoch: Highest epoch that the worker has accepted, from a
            `stale_epoch` refusal; otherwise 0.
    """

    command: WorkerEffect
    code: str
    ambiguous: bool
    highest_epoch: int = 0
