"""Documents that last in the platform's store, and their keys.

What an owner follows lies under a prefix of its partition, so that no owner
reads what concerns others. What callers ask for lies under the job's id.
"""

import attrs

from sapphirestall_core.batch import model

# Each partition's owner key and job records, which its owner follows together.
LIVE_PREFIX = "live/"
OWNERS_PREFIX = "owners/"
STATES_PREFIX = "jobs/"
ENDED_PREFIX = "ended/"
PROGRESS_PREFIX = "progress/"
ROSTERS_PREFIX = "rosters/"
SUMMARIES_PREFIX = "summaries/"
INTERFERENCE_KEY = "harms"


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
    """A job that goes on; each partition that runs tasks of it has a copy.

    Attributes:
        queue: The queue as it was when the job was accepted.
        partition: Partition whose owner runs the job.
        spec: Text that the tasks receive.
        moved: Long-running tasks that other partitions run, by `step.index`.
        accepted_ms: Time of day at the accepting instance, Unix milliseconds.
        first_number: Lowest number that the next run of any task may have.
        has_progress: Whether the job came from another partition together with
            its progress.
    """

    job_id: str
    queue: model.Queue
    partition: str
    spec: str = ""
    steps: tuple[model.Step, ...] = ()
    moved: dict[str, MovedTask] = attrs.field(factory=dict)
    accepted_ms: int = 0
    first_number: int = 1
    has_progress: bool = False


@attrs.frozen(slots=True)
class StateRecord:
    """State of a job for its callers; written with every copy of its record.

    All of them therefore have the same revision, and a transaction that
    expects one of them expects them all.

    Attributes:
        queue: Name of the job's queue.
        partition: Partition whose owner runs, or ran, the job.
        copies: Partitions that have a copy of the job's record.
        ended_ms: Time of day at which a final state was written, Unix
            milliseconds; 0 before.
    """

    queue: str
    partition: str
    state: model.JobState
    copies: tuple[str, ...] = ()
    ended_ms: int = 0


@attrs.frozen(slots=True)
class EndedRecord:
    """Marks a job whose state is removed after its retention.

    Attributes:
        ended_ms: Time of day at which the job ended, Unix milliseconds.
    """

    ended_ms: int


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

    It is written to the owner key and repeated among the partition's job
    records. The revision at which both were created is the fencing token.
    """

    instance_id: str


LiveDocument = JobRecord | OwnerRecord


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
class FreeCapacity:
    """What one worker has left for tasks that do not fill."""

    cpu_millis: int
    memory_mb: int


@attrs.frozen(slots=True)
class KnownInterference:
    """Headroom that a serving image loses to one that fills beside it.

    Attributes:
        loss: Loss if the image that fills uses all processors of a worker.
        variance: Variance of its error.
    """

    serving: str
    filling: str
    loss: float
    variance: float = 2.0


@attrs.frozen(slots=True)
class InterferenceRecord:
    """What owners have learned of images, for all owners."""

    harms: tuple[KnownInterference, ...] = ()


@attrs.frozen(slots=True)
class SummaryRecord:
    """What an owner publishes of its partition.

    Attributes:
        pending: Ids of accepted jobs of which no task has started, by queue.
        fill_load: Processors that all unfinished tasks that fill ask for, as a
            share of those that other tasks leave unused.
        fill_rooms: Processors, in thousandths, that each known image which
            fills could still use without too much harm.
        rooms: Free capacity of the workers that have most.
        offers: Labels of the workers that take new runs, by service; None
            where that is not known.
    """

    pending: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    fill_load: float = 0.0
    fill_rooms: dict[str, int] = attrs.field(factory=dict)
    rooms: tuple[FreeCapacity, ...] = ()
    offers: dict[str, tuple[str, ...]] | None = None


def make_live_prefix(partition: str) -> str:
    """Returns the prefix of what the owner of a partition follows."""
    return f"{LIVE_PREFIX}{partition}/"


def make_live_owner_key(partition: str) -> str:
    """Returns the key that repeats the owner key among the job records."""
    return f"{LIVE_PREFIX}{partition}/owner"


def make_live_jobs_prefix(partition: str) -> str:
    """Returns the prefix of the job records of a partition."""
    return f"{LIVE_PREFIX}{partition}/jobs/"


def make_job_key(partition: str, job_id: str) -> str:
    """Returns the key of a partition's copy of a job's record."""
    return make_live_jobs_prefix(partition) + job_id


def make_state_key(job_id: str) -> str:
    """Returns the key of a job's state."""
    return STATES_PREFIX + job_id


def make_ended_prefix(partition: str) -> str:
    """Returns the prefix of the marks of jobs that ended in a partition."""
    return f"{ENDED_PREFIX}{partition}/"


def make_ended_key(partition: str, job_id: str) -> str:
    """Returns the key of the mark of a job that has ended."""
    return make_ended_prefix(partition) + job_id


def make_progress_prefix(partition: str) -> str:
    """Returns the prefix of the progress of a partition's jobs."""
    return f"{PROGRESS_PREFIX}{partition}/"


def make_progress_key(partition: str, job_id: str) -> str:
    """Returns the key of a job's progress."""
    return make_progress_prefix(partition) + job_id


def make_owner_key(partition: str) -> str:
    """Returns the key of a partition's owner."""
    return OWNERS_PREFIX + partition


def make_roster_key(partition: str) -> str:
    """Returns the key of a partition's roster."""
    return ROSTERS_PREFIX + partition


def make_summary_key(partition: str) -> str:
    """Returns the key of a partition's summary."""
    return SUMMARIES_PREFIX + partition


def list_partitions(record: JobRecord) -> tuple[str, ...]:
    """Returns the partitions that have a copy of a job's record."""
    names = {record.partition}
    names.update(moved.partition for moved in record.moved.values())
    return tuple(sorted(names))


def make_accepted_state(record: JobRecord) -> StateRecord:
    """Returns the state of a job that goes on."""
    return StateRecord(
        record.queue.name,
        record.partition,
        model.JobState.ACCEPTED,
        list_partitions(record),
    )


def make_task_key(step: int, index: int) -> str:
    """Returns the name of a task within its job's record."""
    return f"{step}.{index}"
