"""Events and effects towards workers."""

import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources


class TaskState(enum.Enum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class AttemptName:
    """Names one attempt at one task; unique for ever."""

    job_id: str
    task: int
    attempt: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.task}.{self.attempt}"


@attrs.frozen
class TaskName:
    """Names one task of a job."""

    job_id: str
    task: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.task}"


@attrs.frozen
class TaskReport:
    """One task in a worker's report.

    Attributes:
        lease_left_s: Time until the task's lease ends on the worker's clock.
        checkpoint: Name of the newest checkpoint; empty when there is none.
        usage: Measured use, which lags.
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
    """One latency-critical task in a worker's report.

    Attributes:
        slowdown: Measured latency over its undisturbed latency.
        measured_at: Reading of the worker's clock at the measurement.
    """

    service: str
    reserved: resources.Vector
    slowdown: float
    measured_at: float


@attrs.frozen
class WorkerReport:
    """Whole inventory of a worker.

    Attributes:
        clock: Reading of the worker's monotonic clock, in seconds.
        highest_epoch: Highest epoch that the worker has accepted.
    """

    clock: float
    highest_epoch: int
    incarnation: str
    capacity: resources.Vector
    tasks: tuple[TaskReport, ...]
    services: tuple[ServiceReport, ...] = ()


@attrs.frozen
class WorkerEffect(messages.Effect):
    """A call to a worker, fenced by epoch and expiry.

    Attributes:
        epoch: Epoch of the sender; the worker refuses an older one.
        expires_at: Reading of the worker's clock after which it refuses the
            call.
        incarnation: Incarnation of the worker that is meant; another one
            refuses the call. Empty in a poll, which learns the incarnation.
    """

    worker_id: str
    address: str
    epoch: int
    expires_at: float
    incarnation: str = attrs.field(default="", kw_only=True)


@attrs.frozen
class PollWorker(WorkerEffect):
    """Renews task leases, acknowledges committed ends, asks for a report.

    Attributes:
        round_number: Number of the poll round, repeated in the report.
        lease_s: Term to which the leases in `renew` are set.
    """

    round_number: int
    lease_s: float
    renew: tuple[AttemptName, ...] = ()
    acknowledge: tuple[AttemptName, ...] = ()


@attrs.frozen
class StartTask(WorkerEffect):
    """Starts an attempt under a lease."""

    name: AttemptName
    kind: str
    reserved: resources.Vector
    run_s: float
    lease_s: float
    checkpoint: str = ""


@attrs.frozen
class CheckpointTask(WorkerEffect):
    """Asks for a checkpoint of a running attempt."""

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
    """Something that came back from a worker.

    Attributes:
        sent_at: Time at which the call was sent, on this process's clock.
    """

    worker_id: str
    sent_at: float


@attrs.frozen
class WorkerReported(WorkerEvent):
    """A worker answered a poll."""

    epoch: int
    round_number: int
    report: WorkerReport


@attrs.frozen
class WorkerFailed(WorkerEvent):
    """A poll failed.

    Attributes:
        code: `unreachable`, `stale_epoch`, `expired` or another refusal code.
        highest_epoch: Epoch named by a `stale_epoch` refusal, else 0.
    """

    epoch: int
    round_number: int
    code: str
    highest_epoch: int = 0


@attrs.frozen
class CommandDone(WorkerEvent):
    """A worker carried out a command on an attempt.

    Attributes:
        command: The effect that was performed.
        checkpoint: Name of the checkpoint taken, if any.
    """

    command: WorkerEffect
    checkpoint: str = ""


@attrs.frozen
class CommandFailed(WorkerEvent):
    """A command on an attempt failed.

    Attributes:
        code: `unreachable`, `stale_epoch`, `expired`, `no_room`, `duplicate`,
            `unknown_task`, `start_failed`, `wrong_incarnation`,
            `checkpoint_failed`.
        ambiguous: Whether the command may still have taken effect.
    """

    command: WorkerEffect
    code: str
    ambiguous: bool
    highest_epoch: int = 0
