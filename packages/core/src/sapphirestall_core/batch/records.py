"""Documents that last in the platform's store, and their keys."""

import attrs

from sapphirestall_core.batch import model

# Owner keys and job records, which owners follow together.
LIVE = "live/"
JOBS = LIVE + "jobs/"
OWNERS = LIVE + "owners/"
PROGRESS = "progress/"
ROSTERS = "rosters/"
SUMMARIES = "summaries/"


@attrs.frozen(slots=True)
class MovedTask:
    """A long-running task that another partition than its job's runs.

    Attributes:
        first_number: Lowest number that its next run may have.
    """

    partition: str
    first_number: int


@attrs.frozen(slots=True)
class JobRecord:
    """A job that was accepted; written before the caller hears of it.

    Attributes:
        queue: The queue as it was when the job was accepted.
        partition: Partition whose owner runs the job.
        spec: Text that the tasks receive; dropped when the job has ended.
        moved: Long-running tasks that other partitions run, by `step.index`.
        accepted_ms: Time of day at the accepting instance, Unix milliseconds.
        ended_ms: Time of day at which a final state was written; 0 before.
    """

    job_id: str
    queue: model.Queue
    partition: str
    state: model.JobState
    spec: str = ""
    steps: tuple[model.Step, ...] = ()
    moved: dict[str, MovedTask] = attrs.field(factory=dict)
    accepted_ms: int = 0
    ended_ms: int = 0


@attrs.frozen(slots=True)
class StepProgress:
    """Progress of one step.

    Attributes:
        done: Indexes of the tasks that are done.
        failed: For each index with failed runs, the numbers of these runs.
        checkpoints: Newest known checkpoint by index.
    """

    done: tuple[int, ...] = ()
    failed: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class ProgressRecord:
    """Progress of a job that has not ended, by step."""

    steps: tuple[StepProgress, ...]


@attrs.frozen(slots=True)
class OwnerRecord:
    """Owner of a partition; lives under the owner's store lease.

    The revision at which it was created is the owner's fencing token.
    """

    instance_id: str


LIVE_DOCUMENTS = JobRecord | OwnerRecord


@attrs.frozen(slots=True)
class RosterRecord:
    """Workers on which runs of a partition may exist, and its generation.

    Attributes:
        generation: Number of owners that the partition has had.
        workers: Ids of the workers.
    """

    generation: int
    workers: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class Room:
    """What one worker has left for tasks that do not fill."""

    cpu_millis: int
    memory_mb: int


@attrs.frozen(slots=True)
class KnownHarm:
    """Headroom that a serving image loses to one that fills beside it.

    Attributes:
        loss: Loss if the image that fills uses all processors of a worker.
    """

    serving: str
    filling: str
    loss: float


@attrs.frozen(slots=True)
class SummaryRecord:
    """What an owner publishes of its partition.

    Attributes:
        pending: Ids of accepted jobs of which no task has started, by queue.
        fill_load: Processors that all unfinished tasks that fill ask for, as a
            share of those that other tasks leave unused.
        fill_rooms: Processors, in thousandths, that each known image which
            fills could still use without too much harm.
        rooms: Room of the workers that have most.
        harms: What the owner has learned of images, for other owners.
    """

    pending: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    fill_load: float = 0.0
    fill_rooms: dict[str, int] = attrs.field(factory=dict)
    rooms: tuple[Room, ...] = ()
    harms: tuple[KnownHarm, ...] = ()


def name_job_key(job_id: str) -> str:
    """Returns the key of a job's record."""
    return JOBS + job_id


def name_progress_key(job_id: str) -> str:
    """Returns the key of a job's progress."""
    return PROGRESS + job_id


def name_owner_key(partition: str) -> str:
    """Returns the key of a partition's owner."""
    return OWNERS + partition


def name_roster_key(partition: str) -> str:
    """Returns the key of a partition's roster."""
    return ROSTERS + partition


def name_summary_key(partition: str) -> str:
    """Returns the key of a partition's summary."""
    return SUMMARIES + partition


def concerns(record: JobRecord, partition: str) -> bool:
    """Tells whether a partition runs tasks of a job."""
    return record.partition == partition or any(
        moved.partition == partition for moved in record.moved.values()
    )


def name_task(step: int, index: int) -> str:
    """Returns the name of a task within its job's record."""
    return f"{step}.{index}"
