"""Documents that are kept in the platform's store, and their keys.

An owner watches the prefix of its partition, so that no owner reads changes
that concern other partitions. What callers ask for is stored under the job's
id.
"""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import revisions

# Prefix of the job records and a copy of the owner key of each partition, which
# its owner watches together.
LIVE_PREFIX = "live/"
OWNERS_PREFIX = "owners/"
STATES_PREFIX = "jobs/"
ENDED_PREFIX = "ended/"
PROGRESS_PREFIX = "progress/"
ROSTERS_PREFIX = "rosters/"
SUMMARIES_PREFIX = "summaries/"
INTERFERENCE_KEY = "harms"
DIVISION_KEY = "division"


@attrs.frozen(slots=True)
class MovedTask:
    """A long-running task that runs outside the partition of its job.

    Attributes:
        partition: Partition whose owner runs the task.
        first_number: Lowest number that the next run of the task may have.
        tried: Partitions whose owners found no worker for the task since its
            last run.
    """

    partition: str
    first_number: int
    tried: tuple[str, ...] = ()


def _check_steps(
    record: object, attribute: object, steps: tuple[model.Step, ...]
) -> None:
    """Checks that an owner can build the tasks of stored steps."""
    if sum(step.count for step in steps) > model.MAX_TASKS:
        raise ValueError(f"more than {model.MAX_TASKS} tasks")
    for number, step in enumerate(steps):
        if step.count < 0 or any(not 0 <= i < number for i in step.after):
            raise ValueError(f"step {number} has a bad count or order")
        if min(attrs.astuple(step.amount)) < 0:
            raise ValueError(f"step {number} has a negative amount")


@attrs.frozen(slots=True)
class JobRecord:
    """Record of a job that has not ended.

    Each partition that runs tasks of the job has a copy of the record.

    Attributes:
        job_id: Id of the job.
        queue: The queue as it was when the job was accepted.
        partition: Partition whose owner runs the job.
        spec: Text that the tasks receive.
        steps: Steps of the job.
        moved: Long-running tasks that other partitions run, by `step.index`.
        accepted_ms: Wall-clock time at which the job was accepted, by the clock
            of the accepting instance, in Unix milliseconds.
        first_number: Lowest number that the next run of any task may have.
        has_progress: Whether the job was moved here from another partition
            together with its progress.
        has_started: Whether a task of the job had started when an owner last
            moved the job or some of its tasks. Owners of the version before
            drop this.
    """

    job_id: str
    queue: model.Queue
    partition: str
    spec: str = ""
    steps: tuple[model.Step, ...] = attrs.field(
        default=(), validator=_check_steps
    )
    moved: dict[str, MovedTask] = attrs.field(factory=dict)
    accepted_ms: int = 0
    first_number: int = 1
    has_progress: bool = False
    has_started: bool = False


@attrs.frozen(slots=True)
class StateRecord:
    """State of a job for its callers.

    It is written in the same transaction as all copies of the job's record. All
    of them therefore have the same store revision, and a transaction that
    expects this revision of one copy fails if any of them has changed.

    Attributes:
        queue: Name of the job's queue.
        partition: Partition whose owner runs, or ran, the job.
        state: State of the job.
        copies: Partitions that have a copy of the job's record.
        ended_ms: Wall-clock time at which a final state was written, in Unix
            milliseconds; 0 before.
        submitted: Whether a submission of the job was stored. It was not if the
            job was cancelled before, so that a later one has no effect.
    """

    queue: str
    partition: str
    state: model.JobState
    copies: tuple[str, ...] = ()
    ended_ms: int = 0
    submitted: bool = True


@attrs.frozen(slots=True)
class EndedRecord:
    """Records that a job has ended, so that its state is found and removed.

    Attributes:
        ended_ms: Wall-clock time at which the job ended, in Unix milliseconds.
    """

    ended_ms: int


@attrs.frozen(slots=True)
class StepProgress:
    """Progress of one step.

    Attributes:
        done: Indexes of the tasks that are done.
        failed: Numbers of the failed runs of each task with failed runs, by
            task index.
        checkpoints: Newest known checkpoint of each task that has one, by task
            index.
    """

    done: tuple[int, ...] = ()
    failed: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class ProgressRecord:
    """Progress of a job that has not ended.

    Attributes:
        steps: Progress of each step.
    """

    steps: tuple[StepProgress, ...]


@attrs.frozen(slots=True)
class OwnerRecord:
    """Owner of a partition, stored under the owner's store lease.

    The record is stored at the owner key, with a copy among the partition's job
    records. The store revision at which both were created is the fencing token.

    Attributes:
        instance_id: Owner, as its instance id and incarnation.
    """

    instance_id: str


@attrs.frozen(slots=True)
class ReleaseRecord:
    """What an owner that has resigned tells the next one about its leases.

    Attributes:
        released_generation: Number of the owner among those of the partition.
        lease_ms: For each worker, the time from the write on within which all
            leases of runs there expire, in milliseconds. It lacks workers for
            which the owner did not know.
    """

    released_generation: int
    lease_ms: dict[str, int]


@attrs.frozen(slots=True)
class DivisionRecord:
    """Division of data centres into partitions, which never changes.

    Attributes:
        racks_per_partition: Number of consecutive racks that form a partition.
    """

    racks_per_partition: int = attrs.field(validator=attrs.validators.ge(1))


LiveDocument = JobRecord | OwnerRecord | ReleaseRecord


@attrs.frozen(slots=True)
class RosterRecord:
    """Workers of a partition on which runs may exist.

    Attributes:
        generation: Number of owners that the partition has had.
        workers: Ids of the workers.
        owner: Process of the owner that wrote the record; empty if it is not
            known.
        settled: Whether this owner knew that no runs of former owners were left
            that no listing had shown.
        witnesses: Ids of workers that all earlier owners whose runs may be left
            had in their rosters too; empty if the record is settled.
        entries: Entries of the workers, without labels, as the owner last read
            them. With them a successor calls workers that the platform's list
            lacks.
        withheld_ms: For each worker on which the owner grants no lease before
            it has written a roster that lacks it here, the time from the write
            on within which all leases of runs there expire, in milliseconds.
    """

    generation: int
    workers: tuple[str, ...] = ()
    owner: str = ""
    settled: bool = False
    entries: tuple[model.WorkerEntry, ...] = ()
    witnesses: tuple[str, ...] = ()
    withheld_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class InterferenceEstimate:
    """Headroom that a serving image loses to an opportunistic image.

    Attributes:
        serving: Image of the serving tasks.
        filling: Image of the opportunistic tasks on the same worker.
        loss: Loss of headroom if the opportunistic image uses all processors of
            a worker.
        variance: Variance of the error of `loss`.
    """

    serving: str
    filling: str
    loss: float
    variance: float = 2.0


@attrs.frozen(slots=True)
class InterferenceRecord:
    """Interference that owners have learned, shared by all owners.

    Attributes:
        harms: Interference of pairs of images.
    """

    harms: tuple[InterferenceEstimate, ...] = ()


def _check_ages(
    record: object, attribute: object, ages_ms: dict[str, int]
) -> None:
    """Checks what a successor uses to bound the leases of former owners."""
    most_ms = revisions.PUBLISHED_AGE_S * 1000
    for revision, age_ms in ages_ms.items():
        if not revision.isdecimal() or not 0 <= age_ms <= most_ms:
            raise ValueError("a bad revision or age")


@attrs.frozen(slots=True)
class SummaryRecord:
    """Summary that an owner publishes of its partition.

    Attributes:
        pending: Ids of accepted jobs of which no task has started, by queue.
        fill_load: Processors that all unfinished opportunistic tasks request,
            as a share of those that other tasks leave unused.
        fill_rooms: Processors that each known opportunistic image could still
            use without too much interference, in thousandths.
        rooms: Free capacity of the workers that have most of it, for owners of
            the version before, which do not read `groups`.
        offers: Labels of the workers that accept new runs, by service; None if
            they are not known.
        workers: Number of the workers that accept new runs, by service; empty
            if it is not known.
        groups: The workers that accept new runs with their free capacity, by
            service; None if an owner of the version before wrote the summary.
        revision_ages_ms: By recent revision of the store, the time since which
            it had that revision when the summary was written, in milliseconds.
            It changes all the time, and is no reason to write a summary.
    """

    pending: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    fill_load: float = 0.0
    fill_rooms: dict[str, int] = attrs.field(factory=dict)
    rooms: tuple[published_capacity.FreeCapacity, ...] = ()
    offers: dict[str, tuple[str, ...]] | None = None
    workers: dict[str, int] = attrs.field(factory=dict)
    groups: dict[str, tuple[published_capacity.WorkerGroup, ...]] | None = None
    revision_ages_ms: dict[str, int] = attrs.field(
        factory=dict, eq=False, validator=_check_ages
    )


@store_messages.check_key.register
def _(document: JobRecord, key: str) -> None:
    if key.rpartition("/")[2] != document.job_id:
        raise ValueError("the record of another job")


def make_live_prefix(partition: str) -> str:
    """Returns the prefix that the owner of a partition watches."""
    return f"{LIVE_PREFIX}{partition}/"


def make_live_owner_key(partition: str) -> str:
    """Returns the key of the copy of the owner key among the job records."""
    return f"{LIVE_PREFIX}{partition}/owner"


def make_release_key(partition: str) -> str:
    """Returns the key of the release by the last owner that has resigned."""
    return f"{LIVE_PREFIX}{partition}/release"


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
    """Returns the prefix of a partition's records of ended jobs."""
    return f"{ENDED_PREFIX}{partition}/"


def make_ended_key(partition: str, job_id: str) -> str:
    """Returns the key of a partition's record of an ended job."""
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
    """Returns the partitions that have a copy of a job's record, sorted."""
    names = {record.partition}
    names.update(moved.partition for moved in record.moved.values())
    return tuple(sorted(names))


def count_step_tasks(record: JobRecord, step: int) -> dict[str, int]:
    """Returns the number of tasks of a step that each partition has."""
    counts: dict[str, int] = {}
    for index in range(record.steps[step].count):
        moved = record.moved.get(make_task_key(step, index))
        name = moved.partition if moved else record.partition
        counts[name] = counts.get(name, 0) + 1
    return counts


def make_accepted_state(record: JobRecord) -> StateRecord:
    """Returns the state of a job that has not ended."""
    return StateRecord(
        record.queue.name,
        record.partition,
        model.JobState.ACCEPTED,
        list_partitions(record),
    )


def make_task_key(step: int, index: int) -> str:
    """Returns the key of a task in `JobRecord.moved`."""
    return f"{step}.{index}"
