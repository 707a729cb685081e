"""Job records as the store keeps them."""

import enum

import attrs

from sapphirestall_core import resources


class JobState(enum.Enum):
    """Durable state of a job."""

    ACTIVE = "active"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class Slice:
    """Tasks `first` to `last` (inclusive) belong to one partition.

    Attributes:
        done: Whether all of them finished and the partition's progress no
            longer needs to list them.
    """

    partition: str
    first: int
    last: int
    done: bool = False


@attrs.frozen
class JobRecord:
    """One job in the store under `jobs/<data centre>/<job id>`.

    Attributes:
        declared: Declared size of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: 0 is the least urgent.
        submitted_at: Wall-clock time, in seconds since the epoch.
        submission: Token of the submission; settles a lost answer.
        state: `CANCELLED` is the mark that a cancel command sets.
        ended_at: Wall-clock time of the end; 0 while the job is active.
        reason: Why the job failed.
    """

    job_id: str
    data_centre: str
    team: str
    kind: str
    task_count: int
    declared: resources.Vector
    run_s: float
    urgency: int
    checkpointable: bool
    slices: tuple[Slice, ...]
    submitted_at: float
    submission: str = ""
    state: JobState = JobState.ACTIVE
    ended_at: float = 0.0
    reason: str = ""


@attrs.frozen
class Range:
    """Tasks `first` to `last` (inclusive)."""

    first: int
    last: int


@attrs.frozen
class Checkpoint:
    """Newest checkpoint of a task that was stopped.

    Attributes:
        attempt: Number of the attempt that was stopped.
        checkpoint: Name under which the platform keeps it; may be empty.
    """

    attempt: int
    checkpoint: str


@attrs.frozen
class Move:
    """Tasks that are on their way to another partition.

    The move is committed in `progress` before the job record changes, so that
    an owner that lost the partition cannot move tasks that the next owner has
    placed.
    """

    job_id: str
    target: str
    first: int
    last: int


@attrs.frozen
class Progress:
    """Committed state of a partition, under `progress/<dc>/<partition>`.

    Attributes:
        epoch: Epoch of the owner that wrote it.
        witnesses: Ids of the workers of the partition.
        finished: Finished tasks by job id, as sorted ranges.
        checkpoints: Checkpoints of stopped tasks, by job id and task.
        moves: Moves that the job records may not show yet.
    """

    epoch: int = 0
    witnesses: tuple[str, ...] = ()
    finished: dict[str, tuple[Range, ...]] = attrs.field(factory=dict)
    checkpoints: dict[str, dict[int, Checkpoint]] = attrs.field(factory=dict)
    moves: tuple[Move, ...] = ()


def make_job_key(data_centre: str, job_id: str) -> str:
    """Returns the store key of a job record."""
    return f"jobs/{data_centre}/{job_id}"


def make_owner_key(data_centre: str, partition: str) -> str:
    """Returns the store key that names the owner of a partition."""
    return f"owners/{data_centre}/{partition}"


def make_progress_key(data_centre: str, partition: str) -> str:
    """Returns the store key of a partition's committed state."""
    return f"progress/{data_centre}/{partition}"
