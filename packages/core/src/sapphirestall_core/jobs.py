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
    """Tasks `first` to `last` (inclusive) belong to one partition."""

    partition: str
    first: int
    last: int


@attrs.frozen
class JobRecord:
    """One job in the store under `jobs/<data centre>/<job id>`.

    Attributes:
        declared: Declared size of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: 0 is the least urgent.
        submitted_at: Wall-clock time, in seconds since the epoch.
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
    state: JobState = JobState.ACTIVE


@attrs.frozen
class Range:
    """Tasks `first` to `last` (inclusive)."""

    first: int
    last: int


@attrs.frozen
class Progress:
    """Committed state of a partition, under `progress/<dc>/<partition>`.

    Attributes:
        epoch: Epoch of the owner that wrote it.
        witnesses: Ids of the workers of the partition.
        finished: Finished tasks by job id, as sorted ranges.
        checkpoints: Newest checkpoint of evicted tasks, by `job.task`.
    """

    epoch: int = 0
    witnesses: tuple[str, ...] = ()
    finished: dict[str, tuple[Range, ...]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)


def make_job_key(data_centre: str, job_id: str) -> str:
    """Returns the store key of a job record."""
    return f"jobs/{data_centre}/{job_id}"


def make_owner_key(data_centre: str, partition: str) -> str:
    """Returns the store key that names the owner of a partition."""
    return f"owners/{data_centre}/{partition}"


def make_progress_key(data_centre: str, partition: str) -> str:
    """Returns the store key of a partition's committed state."""
    return f"progress/{data_centre}/{partition}"
