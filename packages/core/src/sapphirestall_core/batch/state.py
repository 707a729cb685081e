"""State of the batch side of one entry instance."""

import enum
import math

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import trends
from sapphirestall_core.batch import worker_messages

FULL_PACE_PERCENT = 100
# Share of their processors that serving tasks use, before it is known.
FIRST_SERVING_LOAD = 0.4


@attrs.frozen
class Limits:
    """Times that the deployment promises or allows.

    Attributes:
        worker_lease_s: Longest lease that a worker grants.
        stop_s: Longest time that a stop takes.
        retention_s: Time for which the state of an ended job can be asked.
    """

    worker_lease_s: float = 6.0
    stop_s: float = 0.4
    retention_s: float = 120.0


@attrs.frozen
class Identity:
    """What an instance knows of itself.

    Attributes:
        incarnation: Unique for each start of the process.
        wall_offset_s: Time of day less the monotonic clock at the start.
        processors: Processors that the instance may use; those with more take
            more partitions.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    wall_offset_s: float = 0.0
    limits: Limits = attrs.field(factory=Limits)
    processors: float = 1.0


class RunPhase(enum.Enum):
    """What is known of a run."""

    STARTING = "starting"
    RUNNING = "running"
    # A stop was ordered, or has to be: the end is wanted, or the run may be one
    # that a former life of the worker was meant to start.
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """A run of a task that a worker may have.

    Attributes:
        lease_end_ms: End of the lease of its start, on the worker's clock.
        started_clock_ms: Worker's clock when it confirmed the start, or when
            a listing showed it.
        unanswered_at: When its start ended without an answer; None before.
        stop_sent_at: When a stop was last sent.
        stopped_clock_ms: Worker's clock when it confirmed a stop; None before.
        pace: Percent that is wanted.
        paced_at: When a pace was last ordered.
        pacing: Whether an order of a pace is in flight.
        pace_lost: Whether the last such order got no answer.
        starved: Whether it started in spite of the harm expected of it.
        paced_since: Since when the pace is low; None if it is not.
        percent: Progress last listed.
        reading: Tail latency in milliseconds or processors, as last listed.
        overloaded: Whether a tail that grew far beyond its target has not
            settled yet.
    """

    task: "Task"
    worker_id: str
    number: int
    phase: RunPhase
    started_at: float
    lease_end_ms: int
    started_clock_ms: int | None = None
    unanswered_at: float | None = None
    stop_sent_at: float = -1e9
    stopped_clock_ms: int | None = None
    pace: int = FULL_PACE_PERCENT
    paced_at: float = -1e9
    pacing: bool = False
    pace_lost: bool = False
    starved: bool = False
    paced_since: float | None = None
    percent: int = 0
    reading: float = 0.0
    overloaded: bool = False


@attrs.define(slots=True, eq=False)
class Task:
    """A task that is not done.

    Attributes:
        run: The run that may exist; a task has at most one.
        next_number: Lowest number that the next run may have.
        checkpoint: Newest known checkpoint; empty for none.
        refused_at: When no worker was found for it first; None if it runs.
        failed_numbers: Numbers of the runs that failed.
        failed_on: Workers on which runs of the task failed.
    """

    job: "Job"
    name: model.TaskName
    step: model.Step
    run: Run | None = None
    next_number: int = 1
    checkpoint: str = ""
    refused_at: float | None = None
    failed_numbers: set[int] = attrs.field(factory=set)
    failed_on: set[str] = attrs.field(factory=set)


@attrs.define(slots=True, eq=False)
class StepState:
    """Progress of one step.

    Attributes:
        open: Tasks that are not done, by index.
        done: Indexes of tasks that are done.
        waiting: Tasks that may start, by index.
        released: Whether all steps before this one are done.
        load: Load of serving tasks, as the headroom that it costs; None before
            the first reading.
        load_at: When that was last corrected.
    """

    step: model.Step
    open: dict[int, Task]
    done: set[int] = attrs.field(factory=set)
    waiting: dict[int, Task] = attrs.field(factory=dict)
    released: bool = False
    load: trends.Trend | None = None
    load_at: float = 0.0


@attrs.define(slots=True, eq=False)
class Job:
    """A job of an owned partition.

    Attributes:
        revision: Revision of the job's record.
        created: Revision at which the record was created.
        progress_revision: Revision of the progress record; 0 when absent.
        final: State to be written; None while the job goes on.
        ordered: Whether a run of the job was ever ordered, as far as is known.
        begun: Whether a worker has begun a run, as far as is known.
        rereading: Whether its record is read again after a conflict.
        moving: Whether a write that moves tasks of the job is in flight.
        accepted_at: When this instance learned of the job.
        chain_s: Longest chain of its steps, in seconds; None before it was
            computed.
    """

    record: records.JobRecord
    queue: model.Queue
    revision: int
    created: int
    steps: list[StepState]
    progress_revision: int = 0
    final: model.JobState | None = None
    ordered: bool = False
    begun: bool = False
    rereading: bool = False
    moving: bool = False
    accepted_at: float = 0.0
    chain_s: float | None = None


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker of an owned partition.

    Attributes:
        clock_ms: Last reading of the worker's clock; None before the first.
        clock_at: When the reading arrived.
        listed_clock_ms: Clock of the newest listing; others may come later. A
            reading that was long under way is not kept as `clock_ms`.
        lease_end_ms: Latest end of a lease that any call asked for.
        contact_at: When the worker last answered.
        acknowledged: Position of ends that the worker may forget.
        seen: Position up to which ends were processed.
        reserved: Processors and memory of runs; of runs that fill, memory.
        filled_cpu: Processors that runs that fill ask for, in thousandths.
        serving_cpu: Processors reserved by runs with a tail target.
        serving_load: Share of these that such runs use.
        runs: Runs that may exist on the worker, by task and number.
        late_starts: Starts without an answer that were given up, with the time
            until which they may still be carried out.
        orphans: Listed runs that belong to no task that wants them, with the
            time at which a stop was last sent.
        listed: Whether the worker told this owner what runs there.
        poll: Number of the hold in flight that waits for an end, if any.
        look: Number of the hold in flight that does not wait, if any.
        look_again: Whether the answer to that may come too early to settle
            what happened meanwhile.
        held_at: When a hold was last sent.
        silent: Whether the last call got no answer.
        reborn_at: When a later life of the worker answered first that the
            platform's list does not show yet; None if none did.
        suspended_until: No starts before this time.
        failures: Failed runs since the last one that was done.
        learned_at: When its readings were last learned from.
        trust: Factor on the headroom that runs that fill may cost.
        trust_changed_at: When it was last changed.
        missed_since: Since when a tail target is missed.
        missing_since: Since when the platform's list lacks the worker.
    """

    entry: model.WorkerEntry
    target: worker_messages.Target
    clock_ms: int | None = None
    clock_at: float = 0.0
    listed_clock_ms: int = 0
    lease_end_ms: int = 0
    contact_at: float | None = None
    acknowledged: int = 0
    seen: int = 0
    reserved: resources.Vector = attrs.field(factory=resources.Vector)
    filled_cpu: int = 0
    serving_cpu: int = 0
    serving_load: float = FIRST_SERVING_LOAD
    late_starts: dict[tuple[model.TaskName, int], float] = attrs.field(
        factory=dict
    )
    runs: dict[tuple[model.TaskName, int], Run] = attrs.field(factory=dict)
    orphans: dict[tuple[model.TaskName, int], float] = attrs.field(factory=dict)
    listed: bool = False
    poll: int | None = None
    look: int | None = None
    look_again: bool = False
    held_at: float = -1e9
    silent: bool = False
    reborn_at: float | None = None
    suspended_until: float = -1e9
    failures: int = 0
    learned_at: float = -1e9
    trust: float = 1.0
    trust_changed_at: float = -1e9
    missed_since: float | None = None
    missing_since: float | None = None


class Phase(enum.Enum):
    """How far an owner has taken over its partition."""

    LOADING = "loading"
    ACTIVE = "active"


@attrs.define(slots=True, eq=False)
class Partition:
    """A partition that this instance owns.

    Attributes:
        token: Fencing token: revision at which the owner's key was created.
        generation: Number of owners that the partition has had.
        roster: Workers on which runs may exist, as written to the store.
        roster_revision: Revision of the roster's record; None before a read.
        roster_writing: Whether a write of the roster is in flight.
        listed: Whether the platform's list of workers was read.
        unsettled: Workers on which runs of former owners may exist.
        settled_at: When such runs have ended in any case.
        reached_at: When a worker first answered this owner; None before.
        active_at: When the owner became active; None before.
        reading: Whether the job records are being read.
        following: Whether a call follows the job records.
        loaded: Job records read at the takeover; None before.
        loaded_revision: Revision of the store when they were read.
        changes: Changes of job records that came while the owner loaded.
        loaded_progress: Progress records read at the takeover; None before.
        dirty: Jobs whose progress differs from the store's.
        committing: Whether a commit is in flight.
        commit_due: Whether a timer will start a commit.
        pass_due: Whether a timer will start tasks.
        sent: Jobs that were moved away: queue and time.
        summary: The summary as last published.
        summary_at: When the summary was last written.
        summary_writing: Whether a write of it is in flight.
        removed: Jobs whose record was removed a short time ago; older copies
            of it may still arrive.
        cleaned_at: When states of ended jobs were last removed.
        cleaning: Whether they are being listed or removed.
        hold_number: Number of the hold that was last sent.
    """

    name: str
    token: int
    taken_at: float
    phase: Phase = Phase.LOADING
    generation: int = 0
    roster: frozenset[str] = frozenset()
    roster_revision: int | None = None
    roster_writing: bool = False
    listed: bool = False
    unsettled: set[str] = attrs.field(factory=set)
    settled_at: float = math.inf
    reached_at: float | None = None
    active_at: float | None = None
    reading: bool = False
    following: bool = False
    loaded: "list[LoadedJob] | None" = None
    loaded_revision: int = 0
    changes: "list[LoadedJob | RemovedJob]" = attrs.field(factory=list)
    loaded_progress: "dict[str, LoadedProgress] | None" = None
    workers: dict[str, Worker] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    dirty: dict[str, Job] = attrs.field(factory=dict)
    committing: bool = False
    commit_due: bool = False
    pass_due: bool = False
    sent: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    summary: records.SummaryRecord | None = None
    summary_at: float = -1e9
    summary_writing: bool = False
    removed: "dict[str, RemovedJob]" = attrs.field(factory=dict)
    cleaned_at: float = -1e9
    cleaning: bool = False
    hold_number: int = 0

    def note_removed(self, removed: "RemovedJob") -> None:
        """Keeps the newest removal of a job's record."""
        known = self.removed.get(removed.job_id)
        if known is None or known.revision < removed.revision:
            self.removed[removed.job_id] = removed


@attrs.frozen(slots=True)
class LoadedJob:
    """A job record as it was read, with its revisions."""

    record: records.JobRecord
    revision: int
    created: int


@attrs.frozen(slots=True)
class RemovedJob:
    """A job record that was removed.

    Attributes:
        revision: Revision of the removal, or one at which it had happened.
        seen_at: When this instance learned of it.
    """

    job_id: str
    revision: int
    seen_at: float


@attrs.frozen(slots=True)
class LoadedProgress:
    """A progress record as it was read, with its revision."""

    record: records.ProgressRecord
    revision: int


@attrs.define(slots=True, eq=False)
class Call:
    """A caller's call that waits for the store.

    Attributes:
        attempts: Store calls made so far.
        ambiguous: Whether a write for it may still take effect.
    """

    call_id: str
    queue: model.Queue
    job_id: str
    deadline_at: float
    started_at: float
    record: records.JobRecord | None = None
    attempts: int = 0
    ambiguous: bool = False


@attrs.define(slots=True, eq=False)
class Batch:
    """State of the batch side of one entry instance.

    Attributes:
        harm: What was learned of images that disturb others.
        calls: Callers' calls that wait for the store, by call id.
        lease_id: Store lease of the owner keys; empty before it is granted.
        lease_busy: Whether a grant or renewal is in flight.
        renewed_at: When the last renewal that the store confirmed was sent.
        names: Data centre of each partition that is known to exist.
        names_loaded: Whether the partitions of the past were read.
        absent_since: Since when each partition is known to have no owner.
        taking: Partitions whose owner key is being written.
        fenced: Token by partition that workers refused.
        owners_following: Whether a call follows the owner keys.
        store_down_at: Since when calls to the store fail; None if they work.
        workers_reading: Whether the platform's list is being read.
        summaries: What the owners publish, by partition.
        summary_changes: Revision of each summary, and when it was first seen.
        summaries_at: When the summaries of the own data centre were read.
        all_summaries_at: When the summaries of all data centres were read.
        summaries_reading: Whether the summaries are being read.
        pending_calls: Calls that wait for the summaries.
        stopping: Whether the process was asked to end.
        stopping_at: When it was asked.
    """

    identity: Identity
    configuration: model.Configuration | None = None
    harm: interference_module.InterferenceModel = attrs.field(
        factory=interference_module.InterferenceModel
    )
    calls: dict[str, Call] = attrs.field(factory=dict)
    partitions: dict[str, Partition] = attrs.field(factory=dict)
    lease_id: str = ""
    lease_busy: bool = False
    renewed_at: float = -1e9
    names: dict[str, str] = attrs.field(factory=dict)
    names_loaded: bool = False
    absent_since: dict[str, float] = attrs.field(factory=dict)
    taking: set[str] = attrs.field(factory=set)
    fenced: dict[str, int] = attrs.field(factory=dict)
    owners_following: bool = False
    store_down_at: float | None = None
    workers_reading: bool = False
    summaries: dict[str, records.SummaryRecord] = attrs.field(factory=dict)
    summary_changes: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    summaries_at: float = -1e9
    all_summaries_at: float = -1e9
    summaries_reading: bool = False
    pending_calls: list[Call] = attrs.field(factory=list)
    stopping: bool = False
    stopping_at: float = 0.0

    def find_owned(self, name: str, token: int) -> Partition | None:
        """Returns a partition if it is still owned under a token."""
        partition = self.partitions.get(name)
        if partition is None or partition.token != token:
            return None
        return partition
