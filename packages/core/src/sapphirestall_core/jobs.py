"""Records of jobs and of the progress of partitions in the store.

The class attributes and enum values are the stored format.
"""

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
    """Consecutive tasks of a job that belong to one partition.

    Attributes:
        partition: Name of the partition.
        first: Number of the first task.
        last: Number of the last task (inclusive).
        done: Whether all of them have finished, so that the partition's
            progress no longer has to list them.
    """

    partition: str
    first: int
    last: int
    done: bool = False


@attrs.frozen
class JobRecord:
    """Record of a job, stored under `jobs/<data centre>/<job id>`.

    Attributes:
        job_id: Id, unique within the data centre.
        data_centre: Data centre in which the job runs.
        team: Team whose quota the job uses.
        kind: Kind of work; usage and interference are learned per kind.
        task_count: Number of tasks.
        declared: Declared size of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: Urgency of the job; 0 is the lowest.
        checkpointable: Whether its tasks can be checkpointed.
        slices: Division of the tasks over partitions.
        submitted_at: Wall-clock time of the submission, in seconds.
        submission: Token of the submission. If the answer to the write of the
            record is lost, it tells whether that write took effect.
        state: Durable state; a cancel command sets it to `CANCELLED`.
        ended_at: Wall-clock time of the end, in seconds; 0 while the job is
            active.
        reason: Why the job failed; empty if it did not.
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
    """Consecutive tasks, from `first` to `last` (inclusive)."""

    first: int
    last: int


@attrs.frozen
class Checkpoint:
    """Newest checkpoint of a stopped task.

    Attributes:
        attempt: Number of the attempt that was stopped.
        checkpoint: Name of the checkpoint on the platform; empty if there is
            none.
    """

    attempt: int
    checkpoint: str


@attrs.frozen
class Move:
    """Move of tasks of a job to another partition.

    The move is committed in `progress` before the job record changes.
    Otherwise an owner that has lost the partition could move tasks that its
    successor has already placed.

    Attributes:
        job_id: Id of the job.
        target: Partition that the tasks move to.
        first: Number of the first task.
        last: Number of the last task (inclusive).
    """

    job_id: str
    target: str
    first: int
    last: int


@attrs.frozen
class Progress:
    """Committed state of a partition.

    It is stored under `progress/<data centre>/<partition>`.

    Attributes:
        epoch: Epoch of the owner that wrote it.
        witnesses: Ids of the workers that may get tasks. A majority of them
            can give the owner authority; see docs/design.md, section 4.3.
        finished: Finished tasks by job id, as sorted ranges.
        checkpoints: Checkpoints of stopped tasks, by job id and task.
        moves: Moves that may not be in the job records yet.
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
