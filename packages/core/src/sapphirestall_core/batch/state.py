"""State that one entry instance keeps for batch jobs."""

import enum
import math

import attrs

from sapphirestall_core import failure_shares
from sapphirestall_core import resources
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import processor_use
from sapphirestall_core.batch import records
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import trends
from sapphirestall_core.batch import worker_faults
from sapphirestall_core.batch import worker_messages

FULL_PACE_PERCENT = 100
# Share of their reserved processors that serving tasks are assumed to use until
# the first measurement.
INITIAL_SERVING_LOAD = 0.4


@attrs.frozen
class Limits:
    """Time limits of the deployment.

    Attributes:
        worker_lease_s: Longest lease that a worker grants, in seconds.
        stop_s: Longest time that a worker takes to stop a run, in seconds.
        retention_s: Time for which callers can ask for the state of a job that
            has ended, in seconds.
        drain_s: Time after which a worker that has announced its departure must
            get no starts, in seconds.
        grace_s: Time after which the platform kills a process that was asked to
            end, in seconds.
        configuration_s: Time after which a new version of the configuration
            must be in force, in seconds.
        heartbeat_s: Time between two heartbeats of a worker, in seconds. Its
            entry in the platform's list expires after three without one.
    """

    worker_lease_s: float = 6.0
    stop_s: float = 0.4
    retention_s: float = 120.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    configuration_s: float = 2.0
    heartbeat_s: float = 1.1


@attrs.frozen
class Identity:
    """Identity and fixed properties of this instance.

    Attributes:
        instance_id: Name of the instance; survives restarts.
        incarnation: Identifier that is unique for each start of the process.
        data_centre: Data centre in which the instance runs.
        wall_clock_offset_s: Wall-clock time minus monotonic time when the
            process started, in seconds.
        limits: Time limits of the deployment.
        processors: Number of processors that the instance may use. An instance
            with more processors acquires more partitions.
        address: Address at which the instance serves callers, as host:port. Two
            processes with the same name and address never run at a time.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    wall_clock_offset_s: float = 0.0
    limits: Limits = attrs.field(factory=Limits)
    processors: float = 1.0
    address: str = ""


class RunPhase(enum.Enum):
    """Phase of a run as far as its owner knows."""

    STARTING = "starting"
    RUNNING = "running"
    # Stops are sent until the run is known to have ended. It is not wanted any
    # more, has to move, or its start is not confirmed and may still be carried
    # out, perhaps by a later incarnation of the worker.
    STOPPING = "stopping"


@attrs.define(slots=True, eq=False)
class Run:
    """A run of a task that may exist on a worker.

    Attributes:
        task: The task that the run executes.
        worker_id: Worker on which the run may exist.
        number: Number of the run; each later run of the task has a higher one.
        phase: Phase of the run as far as its owner knows.
        started_at: Monotonic time at which the start was sent, in seconds.
        lease_end_ms: End of the lease that the start requested, on the worker's
            clock, in milliseconds.
        started_clock_ms: Worker's clock when it confirmed the start, or when
            a listing showed the run; None before.
        start_unanswered_at: Monotonic time at which the call that starts the
            run ended without an answer, in seconds; None if it did not.
        stop_sent_at: Monotonic time at which a stop was last sent, in seconds.
        stopped_clock_ms: Worker's clock when it confirmed a stop; None before.
        pace_percent: Target pace, in percent of the processors of the task.
        pace_sent_at: Monotonic time at which the target pace was last changed
            or sent again, in seconds.
        pace_in_flight: Whether a pace command is in flight.
        pace_unconfirmed: Whether the last pace command got no answer or was
            refused, or a former owner may have set the pace.
        forced: Whether the task was placed although it was expected to disturb
            serving tasks on the worker, because it had waited too long.
        low_pace_since: Monotonic time since which the pace is so low that the
            run should move, in seconds; None if it is higher.
        progress_percent: Progress of the task in the last listing, in percent.
        measurement: Value in the last listing. For a task with a target for
            its tail latency it is that latency in milliseconds, else the
            processors in use, in thousandths.
        overloaded: Whether the tail latency grew far beyond its target and has
            not returned to it yet.
    """

    task: "Task"
    worker_id: str
    number: int
    phase: RunPhase
    started_at: float
    lease_end_ms: int
    started_clock_ms: int | None = None
    start_unanswered_at: float | None = None
    stop_sent_at: float = -1e9
    stopped_clock_ms: int | None = None
    pace_percent: int = FULL_PACE_PERCENT
    pace_sent_at: float = -1e9
    pace_in_flight: bool = False
    pace_unconfirmed: bool = False
    forced: bool = False
    low_pace_since: float | None = None
    progress_percent: int = 0
    measurement: float = 0.0
    overloaded: bool = False

    def count_paced_cpu(self) -> int:
        """Returns the processors used at the target pace, in thousandths."""
        cpu_millis = self.task.step.amount.cpu_millis
        return cpu_millis * self.pace_percent // FULL_PACE_PERCENT


@attrs.frozen(slots=True)
class Nomination:
    """Worker on which finite tasks leave capacity free for a waiting task.

    Attributes:
        worker_id: Id of the worker; empty if none will have enough free
            capacity soon.
        made_at: Monotonic time at which the worker was chosen, in seconds.
    """

    worker_id: str
    made_at: float


@attrs.define(slots=True, eq=False)
class Task:
    """A task that is not done.

    Attributes:
        job: The job that the task belongs to.
        name: Name of the task.
        step: Description of the step that the task belongs to.
        run: The run that may exist; a task has at most one.
        next_run_number: Lowest number that the next run may have.
        checkpoint: Newest known checkpoint; empty if there is none.
        unplaced_since: Monotonic time at which a scheduling pass first found no
            worker for the task, in seconds; None if that has not happened since
            its last start.
        nomination: Worker nominated for the task, which is long-running; None
            if none was chosen since its last start.
        failed_run_numbers: Numbers of the runs that failed.
        failed_worker_ids: Workers on which runs of the task failed.
    """

    job: "Job"
    name: model.TaskName
    step: model.Step
    run: Run | None = None
    next_run_number: int = 1
    checkpoint: str = ""
    unplaced_since: float | None = None
    nomination: Nomination | None = None
    failed_run_numbers: set[int] = attrs.field(factory=set)
    failed_worker_ids: set[str] = attrs.field(factory=set)


@attrs.define(slots=True, eq=False)
class StepState:
    """Progress of one step of a job.

    Attributes:
        step: Description of the step.
        unfinished: Tasks that are not done, by index.
        done: Indexes of tasks that are done.
        runnable: Tasks that wait for a worker and may start, by index.
        unblocked: Whether all steps that must come before this one are done.
        load_estimate: Estimated headroom that the load on the serving tasks of
            this step costs; None before the first measurement.
        load_corrected_at: Monotonic time at which a measurement last corrected
            `load_estimate`, in seconds.
        failed_worker_ids: Workers on which runs of the step failed.
        has_worked: Whether a run of the step, which is long-running, has lasted
            long enough to show that the step can run.
    """

    step: model.Step
    unfinished: dict[int, Task]
    done: set[int] = attrs.field(factory=set)
    runnable: dict[int, Task] = attrs.field(factory=dict)
    unblocked: bool = False
    load_estimate: trends.Trend | None = None
    load_corrected_at: float = 0.0
    failed_worker_ids: set[str] = attrs.field(factory=set)
    has_worked: bool = False


@attrs.define(slots=True, eq=False)
class Job:
    """A job of which an owned partition runs tasks.

    Attributes:
        record: The job's record, as this owner last read or wrote it.
        queue: The job's queue in the newest configuration.
        revision: Store revision of the job's record.
        create_revision: Store revision at which the record was created.
        steps: Progress of each step.
        progress_revision: Store revision of the progress record; 0 when it does
            not exist.
        final_state: State to be written to the store; None until the job ends.
        start_sent: Whether a start of any of its tasks may have been sent, as
            far as this owner knows.
        start_confirmed: Whether a task of it has started for certain: a worker
            has confirmed or listed a run, or a record says so.
        reread_in_flight: Whether the job's record is being read again after a
            write conflict; its progress is not written meanwhile.
        move_in_flight: Whether a write that moves tasks of the job to another
            partition is in flight.
        accepted_at: Monotonic time at which the job was accepted, in seconds.
        runs_lost_at: Monotonic time at which this owner last concluded that a
            run of the job has ended without its listed end, from a worker's
            silence or from a listing that lacks the run, in seconds.
        critical_path_s: Duration of the longest chain of dependent steps, in
            seconds; None until it is computed.
    """

    record: records.JobRecord
    queue: model.Queue
    revision: int
    create_revision: int
    steps: list[StepState]
    progress_revision: int = 0
    final_state: model.JobState | None = None
    start_sent: bool = False
    start_confirmed: bool = False
    reread_in_flight: bool = False
    move_in_flight: bool = False
    accepted_at: float = 0.0
    runs_lost_at: float = -math.inf
    critical_path_s: float | None = None


@attrs.frozen(slots=True)
class Absence:
    """Period in which no read of the platform's list showed a worker.

    Attributes:
        since: Monotonic time of the first such read, in seconds.
        until: Monotonic time of the last such read, in seconds.
    """

    since: float
    until: float


@attrs.define(slots=True)
class ListedWorker:
    """What reads of the platform's list have shown of a worker.

    Attributes:
        draining: Whether the worker has announced its departure.
        absence: Period in which the list has lacked the worker; None if the
            last successful read showed it, or if no read has succeeded since.
        ready_at: Monotonic time at which the last read was sent that showed the
            worker as not draining, in seconds; minus infinity if there is none
            or a later read has failed.
    """

    draining: bool
    absence: Absence | None = None
    ready_at: float = -math.inf


# Number of a poll, or task and number of the run that a start requests.
LeaseCall = int | tuple[model.TaskName, int]


@attrs.define(slots=True, eq=False)
class Worker:
    """A worker of an owned partition.

    Attributes:
        entry: The worker's entry in the platform's list of workers.
        target: Address and incarnation to which calls are sent.
        clock_ms: Last accepted reading of the worker's clock, in milliseconds;
            None before the first. A reading from an answer that was long in
            transit is not accepted.
        clock_read_at: Monotonic time at which that reading arrived, in seconds.
        listed_clock_ms: Worker's clock in the newest listing that was applied,
            in milliseconds. An older listing that arrives later is ignored.
        lease_end_ms: Latest end of a lease that any call requested which may
            have been carried out, on the worker's clock, in milliseconds.
        requested_lease_ends: The same for each call without a reply yet.
        last_answer_at: Monotonic time of the worker's last answer, in seconds;
            None before the first.
        answered_call_sent_at: Monotonic time at which the newest call was sent
            that the worker carried out, in seconds. An answer that waited in
            this process does not seem newer by it.
        acknowledged_position: Position up to which the worker may discard ended
            runs, because their effects are in the store.
        processed_position: Position up to which ended runs were processed.
        reserved: Resources that runs reserve. Opportunistic runs reserve no
            processors.
        opportunistic_cpu_millis: Processors that opportunistic runs request, in
            thousandths.
        paced_cpu_millis: Processors that opportunistic runs use at their target
            paces, in thousandths.
        serving_cpu_millis: Processors that runs with a target for their tail
            latency reserve, in thousandths.
        serving_load: Share of `serving_cpu_millis` that these runs use.
        abandoned_starts: Starts that got no answer and whose runs were removed,
            each with the monotonic time in seconds until which the worker may
            still carry it out.
        runs: Runs that may exist on the worker, by task and number.
        orphans: Runs in the last listing that belong to no task of this owner,
            each with the monotonic time in seconds at which a stop was last
            sent.
        listing_received: Whether this owner has applied a listing of the
            worker.
        long_poll: Number of the poll in flight that waits for a run to end;
            None if there is none.
        short_poll: Number of the poll in flight that is answered at once; None
            if there is none.
        short_poll_again: Whether to send another short poll after the one in
            flight, whose answer may be older than a later event.
        polled_at: Monotonic time at which a poll was last sent, in seconds.
        unresponsive: Whether the last call got no answer.
        closed_at: Monotonic time at which the worker's host last closed or
            refused a connection, in seconds; None before.
        restarted_at: Monotonic time at which an answer first showed that the
            worker has restarted, in seconds; None once the platform's list
            shows the new incarnation too.
        paused_until: Monotonic time before which no starts are sent, since the
            worker has refused a call, in seconds.
        failed_runs: Failed runs that may show a fault of the worker, but for
            those of steps that are the cause themselves.
        unanswered_starts: Starts without an answer that may show such a fault.
            Of those in flight at the same time only one is counted.
        start_unanswered_at: Monotonic time at which the last of them was
            counted, in seconds.
        suspension: Time in which the worker gets no starts, as it seems to
            have a fault; None if there is none.
        measurements_learned_at: Monotonic time at which the interference model
            last used the measurements of the worker, in seconds.
        listed_shares: Use of processors in those measurements; None before the
            first.
        trust: Trust in the interference model for this worker, 0 to 1. It
            scales the headroom that opportunistic runs may cost.
        trust_changed_at: Monotonic time at which `trust` was last changed, in
            seconds.
        target_missed_since: Monotonic time since which a serving run on the
            worker misses its target, in seconds; None if none does.
        is_registered: Whether the platform's list has the worker.
        is_leaving: Whether the worker is removed once no poll is in flight.
    """

    entry: model.WorkerEntry
    target: worker_messages.Target
    clock_ms: int | None = None
    clock_read_at: float = 0.0
    listed_clock_ms: int = 0
    lease_end_ms: int = 0
    requested_lease_ends: dict[LeaseCall, int] = attrs.field(factory=dict)
    last_answer_at: float | None = None
    answered_call_sent_at: float = -math.inf
    acknowledged_position: int = 0
    processed_position: int = 0
    reserved: resources.Vector = attrs.field(factory=resources.Vector)
    opportunistic_cpu_millis: int = 0
    paced_cpu_millis: int = 0
    serving_cpu_millis: int = 0
    serving_load: float = INITIAL_SERVING_LOAD
    abandoned_starts: dict[tuple[model.TaskName, int], float] = attrs.field(
        factory=dict
    )
    runs: dict[tuple[model.TaskName, int], Run] = attrs.field(factory=dict)
    orphans: dict[tuple[model.TaskName, int], float] = attrs.field(factory=dict)
    listing_received: bool = False
    long_poll: int | None = None
    short_poll: int | None = None
    short_poll_again: bool = False
    polled_at: float = -1e9
    unresponsive: bool = False
    closed_at: float | None = None
    restarted_at: float | None = None
    paused_until: float = -1e9
    failed_runs: worker_faults.Failures = attrs.field(
        factory=worker_faults.Failures
    )
    unanswered_starts: worker_faults.Failures = attrs.field(
        factory=worker_faults.Failures
    )
    start_unanswered_at: float = -math.inf
    suspension: worker_faults.Suspension | None = None
    measurements_learned_at: float = -1e9
    listed_shares: processor_use.ListedShares | None = None
    trust: float = 1.0
    trust_changed_at: float = -1e9
    target_missed_since: float | None = None
    is_registered: bool = True
    is_leaving: bool = False


class Confirmation(enum.Enum):
    """Whether an owner knows that it has no successor, and acts without."""

    CONFIRMED = "confirmed"
    # It acts on, as its workers answer.
    UNCONFIRMED = "unconfirmed"
    # It starts nothing and extends no lease.
    SUSPENDED = "suspended"


class Phase(enum.Enum):
    """Phase of the takeover of a partition by its owner."""

    LOADING = "loading"
    ACTIVE = "active"


@attrs.frozen(slots=True)
class Vacancy:
    """Time at which an instance learned that a partition has no owner.

    Attributes:
        since: Monotonic time, in seconds.
        revision: Store revision at which the partition had no owner. An owner
            that wrote at a later revision has come and gone since.
    """

    since: float = -math.inf
    revision: int = 0


@attrs.define(slots=True, eq=False)
class Partition:
    """A partition that this instance owns.

    Attributes:
        name: Name of the partition.
        token: Fencing token, which is the store revision at which the owner key
            was created.
        acquired_at: Monotonic time at which this instance became the owner, in
            seconds.
        phase: How far the takeover has come.
        confirmation: Whether the ownership was confirmed when that was last
            logged.
        proved_at: Monotonic time at which the last proof of the ownership was
            sent, in seconds; see `tenure`.
        generation: Number of owners that the partition has had.
        generation_raised: Whether the roster in the store counts this owner.
        roster: Workers on which runs may exist, as written to the store.
        roster_targets: Incarnations of workers whose entries the roster holds.
        roster_settled: Whether the roster says that no runs of former owners
            are left that no listing has shown.
        roster_targets_in_flight: The same for a roster whose write has not been
            confirmed, so that the store may hold it.
        withheld_ms: By worker on which this owner grants no lease, the time
            that the stored roster gives for the end of the leases there, in
            milliseconds.
        grants_end_at: By worker that the first roster named before it answered,
            monotonic time by which leases there have to end, in seconds.
        withheld_from: Monotonic time from which on these times last at the
            least, in seconds.
        withheld_in_flight: Such workers of a roster whose write has not been
            confirmed, so that the store may hold it.
        witnesses: Workers that the rosters of all former owners named that may
            still act. The answer of one proves that they will learn of this
            owner.
        roster_revision: Store revision of the roster; None before it was read.
        roster_write_in_flight: Whether a write of the roster is in flight.
        roster_write_sent_at: Monotonic time at which it was sent, in seconds.
        roster_write_sent: Whether this owner has ever sent one.
        workers_listed: Whether the platform's list of workers was read.
        unlisted_workers: Workers on which runs of former owners may exist,
            because no listing has shown all runs there yet.
        former_runs_end_at: Monotonic time at which the leases of all such runs
            have expired, in seconds.
        former_proved_at: Monotonic time at which the store had the last proof
            of a former owner for certain, in seconds; infinite before that is
            known.
        former_owner_ended_at: Monotonic time before which the former owner's
            process, and all before it, had ended, in seconds; None if that is
            not known.
        release_read: Whether the release of the former owner was read, or is
            known not to exist.
        released_generation: Generation of the owner that wrote the release that
            was read; -1 before one was read.
        former_leases_end_at: By worker, monotonic time at which the leases
            there have expired according to the former owner, in seconds.
        former_withheld_end_at: By worker on which the former owner granted no
            lease any more, monotonic time at which the leases there have
            expired, in seconds.
        witness_answered_at: Monotonic time at which one of `witnesses` first
            answered this owner, in seconds; None before.
        active_at: Monotonic time at which the owner became active, in seconds;
            None before.
        job_read_in_flight: Whether the job records are being read.
        watching: Whether a call waits for changes of the job records.
        loaded_jobs: Job records read at the takeover; None before.
        loaded_revision: Store revision at which `loaded_jobs` were read.
        loading_changes: Changes of job records that arrived while the owner was
            loading.
        loaded_progress: Progress records read at the takeover; None before.
        unreadable_progress: Jobs whose progress records cannot be used.
        failed_runs_share: Share of runs that fail on its sound workers.
        unanswered_starts_share: Share of starts that get no answer there.
        workers: Workers of the partition, by id.
        jobs: Jobs of which the partition runs tasks, by id.
        dirty_jobs: Jobs whose progress or final state is not in the store yet.
        commit_in_flight: Whether a commit is in flight.
        commit_sent_at: Monotonic time at which it was sent, in seconds.
        commit_scheduled: Whether a timer will start a commit.
        pass_scheduled: Whether a timer will start a scheduling pass.
        moves_due_at: Monotonic time of the last timer that was set for moves,
            in seconds.
        moved_jobs: Jobs that were moved to other partitions a short time ago,
            each with its queue and the monotonic time of the move, in seconds.
        summary: The summary as last published.
        summary_written_at: Monotonic time at which the summary was last
            written, in seconds.
        summary_write_in_flight: Whether a write of the summary is in flight.
        removed_jobs: Jobs whose record was removed a short time ago. They are
            kept since older copies of the record may still arrive.
        retention_checked_at: Monotonic time at which the states of ended jobs
            were last checked for removal, in seconds.
        retention_in_flight: Whether such states are being listed or removed.
        poll_number: Number of the poll that was last sent.
        vacancy: Since when the partition had no owner, before this instance
            became the owner.
        capacity_logged_at: Monotonic time at which the use of its idle
            processors was last logged, in seconds.
    """

    name: str
    token: int
    acquired_at: float
    phase: Phase = Phase.LOADING
    confirmation: Confirmation = Confirmation.CONFIRMED
    proved_at: float = -math.inf
    generation: int = 0
    generation_raised: bool = False
    roster: frozenset[str] = frozenset()
    roster_targets: frozenset[worker_messages.Target] = frozenset()
    roster_targets_in_flight: frozenset[worker_messages.Target] = frozenset()
    withheld_ms: dict[str, int] = attrs.field(factory=dict)
    grants_end_at: dict[str, float] = attrs.field(factory=dict)
    withheld_from: float = 0.0
    withheld_in_flight: frozenset[str] = frozenset()
    witnesses: frozenset[str] = frozenset()
    roster_settled: bool = False
    roster_revision: int | None = None
    roster_write_in_flight: bool = False
    roster_write_sent_at: float = -math.inf
    roster_write_sent: bool = False
    workers_listed: bool = False
    unlisted_workers: set[str] = attrs.field(factory=set)
    former_runs_end_at: float = math.inf
    former_proved_at: float = math.inf
    former_owner_ended_at: float | None = None
    release_read: bool = False
    released_generation: int = -1
    former_leases_end_at: dict[str, float] = attrs.field(factory=dict)
    former_withheld_end_at: dict[str, float] = attrs.field(factory=dict)
    witness_answered_at: float | None = None
    active_at: float | None = None
    job_read_in_flight: bool = False
    watching: bool = False
    loaded_jobs: "list[LoadedJob] | None" = None
    loaded_revision: int = 0
    loading_changes: "list[LoadedJob | RemovedJob]" = attrs.field(factory=list)
    loaded_progress: "dict[str, LoadedProgress] | None" = None
    unreadable_progress: set[str] = attrs.field(factory=set)
    failed_runs_share: failure_shares.FailureShare = attrs.field(
        factory=failure_shares.assume_failed_runs
    )
    unanswered_starts_share: failure_shares.FailureShare = attrs.field(
        factory=worker_faults.assume_unanswered_starts
    )
    workers: dict[str, Worker] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    dirty_jobs: dict[str, Job] = attrs.field(factory=dict)
    commit_in_flight: bool = False
    commit_sent_at: float = -math.inf
    commit_scheduled: bool = False
    pass_scheduled: bool = False
    moves_due_at: float = -math.inf
    moved_jobs: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    summary: records.SummaryRecord | None = None
    summary_written_at: float = -1e9
    summary_write_in_flight: bool = False
    removed_jobs: "dict[str, RemovedJob]" = attrs.field(factory=dict)
    retention_checked_at: float = -1e9
    retention_in_flight: bool = False
    poll_number: int = 0
    vacancy: Vacancy = attrs.field(factory=Vacancy)
    capacity_logged_at: float = -math.inf

    def compute_own_generation(self) -> int:
        """Returns the generation of this owner, also before it is stored."""
        return self.generation + (not self.generation_raised)

    def withholds_leases(self, worker_id: str) -> bool:
        """Returns whether the owner must grant no lease on a worker."""
        return (
            worker_id in self.withheld_ms
            or worker_id in self.withheld_in_flight
        )

    def record_removal(self, removed: "RemovedJob") -> None:
        """Records that a job's record was removed.

        A removal at a higher revision that is already recorded is kept.
        """
        previous = self.removed_jobs.get(removed.job_id)
        if previous is None or previous.revision < removed.revision:
            self.removed_jobs[removed.job_id] = removed


@attrs.frozen(slots=True)
class LoadedJob:
    """A job record that was read, with its store revisions."""

    record: records.JobRecord
    revision: int
    create_revision: int


@attrs.frozen(slots=True)
class RemovedJob:
    """A job whose record was removed.

    Attributes:
        job_id: Id of the job.
        revision: Store revision of the removal, or a later one at which the
            record was found to be gone.
        observed_at: Monotonic time at which this instance learned of the
            removal, in seconds.
    """

    job_id: str
    revision: int
    observed_at: float


@attrs.frozen(slots=True)
class LoadedProgress:
    """A progress record that was read, with its store revision."""

    record: records.ProgressRecord
    revision: int


@attrs.frozen(slots=True)
class UnpublishedJobs:
    """Pending jobs that the summary of a partition lacks.

    Attributes:
        read_at: Monotonic time at which the records were read, in seconds.
        pending: Ids of the jobs, by queue.
    """

    read_at: float
    pending: dict[str, set[str]]


@attrs.define(slots=True, eq=False)
class Call:
    """A caller's call that waits for the store.

    Attributes:
        call_id: Id of the call.
        queue: Queue that the call addresses.
        job_id: Job that the call addresses; empty for the whole queue.
        deadline_at: Monotonic time at which the caller stops waiting, in
            seconds.
        started_at: Monotonic time at which the call arrived, in seconds.
        record: Record to write for a new job; None for other calls.
        attempts: Number of store calls made so far.
        ambiguous: Whether a write made for the call got no answer and may still
            take effect.
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
    """All state that one entry instance keeps for batch jobs.

    Attributes:
        identity: Identity and fixed properties of this instance.
        started_at: Monotonic time at which this process started, in seconds.
        configuration: Newest configuration; None before the first.
        interference: Learned interference between images on one worker.
        calls: Callers' calls that wait for the store, by call id.
        partitions: Partitions that this instance owns, by name.
        lease_id: Store lease of the owner keys; empty before it is granted.
        lease_call_in_flight: Whether a grant, renewal or end of the lease is in
            flight.
        lease_call_sent_at: Monotonic time at which it was sent, in seconds.
        lease_renewed_at: Monotonic time at which the last renewal that the
            store confirmed was sent, in seconds.
        confirmation_wanted_at: Monotonic time after which a renewal has to be
            sent before some waiting tasks may start, in seconds; None if no
            task waits for that.
        division: Division of the data centres into partitions.
        division_adopted: Whether `division` is the one that the store holds.
            Before, no worker is assigned to a partition.
        known_partitions: Data centre of each partition that is known to exist.
        partitions_loaded: Whether the partitions that ever had an owner were
            read from the store.
        vacancies: By partition that is known to have no owner, since when.
        acquiring: Partitions whose owner key is being written.
        fenced_tokens: By partition, a token of this instance that workers
            refuse because they have received a higher one.
        owners_watching: Whether a call waits for changes of the owner keys.
        revision_times: When the store had reached which revision.
        store_down_since: Monotonic time since which calls to the store fail, in
            seconds; None while they succeed.
        workers_read_sent_at: Monotonic time at which the read of the platform's
            list of workers that is in flight was sent, in seconds; None if
            there is none.
        workers_listed_at: Monotonic time at which the last successful read of
            that list was sent, in seconds; None before the first.
        listed_workers: What reads of that list have shown of each worker.
        summaries: Summaries that the owners publish, by partition.
        summary_changes: Store revision of each summary, and the monotonic time
            in seconds at which this instance first read that revision.
        summaries_read_at: Monotonic time at which the summaries of the
            instance's own data centre were last read, in seconds.
        all_summaries_read_at: Monotonic time at which the summaries of all data
            centres were last read, in seconds.
        summaries_read_in_flight: Whether summaries are being read.
        calls_awaiting_summaries: Callers' calls that wait for the summaries.
        unpublished_jobs: Pending jobs of partitions whose owner published no
            summary of them, as last read.
        unpublished_reads: Partitions whose job records are being read for this.
        calls_awaiting_unpublished: Callers' calls that wait for these reads.
        releases_in_flight: Partitions whose release is being written.
        release_missing: Whether a release of this shutdown may not be stored.
        shutting_down: Whether the process was asked to end.
        shutdown_requested_at: Monotonic time at which it was asked, in seconds.
        effects_lost_at: Monotonic time at which a handler last failed, in
            seconds.
        repetition_scheduled: Whether a timer will repeat the effects that a
            failed handler lost.
    """

    identity: Identity
    started_at: float = 0.0
    configuration: model.Configuration | None = None
    interference: interference_module.InterferenceModel = attrs.field(
        factory=interference_module.InterferenceModel
    )
    calls: dict[str, Call] = attrs.field(factory=dict)
    partitions: dict[str, Partition] = attrs.field(factory=dict)
    lease_id: str = ""
    lease_call_in_flight: bool = False
    lease_call_sent_at: float = -math.inf
    lease_renewed_at: float = -1e9
    confirmation_wanted_at: float | None = None
    division: model.Division = attrs.field(factory=model.Division)
    division_adopted: bool = False
    known_partitions: dict[str, str] = attrs.field(factory=dict)
    partitions_loaded: bool = False
    vacancies: dict[str, Vacancy] = attrs.field(factory=dict)
    acquiring: set[str] = attrs.field(factory=set)
    fenced_tokens: dict[str, int] = attrs.field(factory=dict)
    owners_watching: bool = False
    revision_times: revisions.RevisionTimes = attrs.field(
        factory=revisions.RevisionTimes
    )
    store_down_since: float | None = None
    workers_read_sent_at: float | None = None
    workers_listed_at: float | None = None
    listed_workers: dict[str, ListedWorker] = attrs.field(factory=dict)
    summaries: dict[str, records.SummaryRecord] = attrs.field(factory=dict)
    summary_changes: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    summaries_read_at: float = -1e9
    all_summaries_read_at: float = -1e9
    summaries_read_in_flight: bool = False
    calls_awaiting_summaries: list[Call] = attrs.field(factory=list)
    unpublished_jobs: dict[str, UnpublishedJobs] = attrs.field(factory=dict)
    unpublished_reads: set[str] = attrs.field(factory=set)
    calls_awaiting_unpublished: list[Call] = attrs.field(factory=list)
    releases_in_flight: set[str] = attrs.field(factory=set)
    release_missing: bool = False
    shutting_down: bool = False
    shutdown_requested_at: float = 0.0
    effects_lost_at: float = -math.inf
    repetition_scheduled: bool = False

    def find_owned(self, name: str, token: int) -> Partition | None:
        """Returns a partition that this instance still owns under a token.

        Returns:
            The partition, or None if this instance has lost it or has acquired
            it again under another token.
        """
        partition = self.partitions.get(name)
        if partition is None or partition.token != token:
            return None
        return partition
