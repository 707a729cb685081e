"""State of batch work at an entry instance."""

from __future__ import annotations

import enum

import attrs

from sapphirestall_core import jobs
from sapphirestall_core import ownership
from sapphirestall_core import ranges
from sapphirestall_core import resources
from sapphirestall_core import task_messages


class Phase(enum.Enum):
    """Phase of an attempt that is running or may be running."""

    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


# Several times the lag of the platform's list. The leases of all tasks on a
# worker that has been missing for so long have expired.
TERMINATED_AFTER_S = 60.0


@attrs.define(eq=False)
class Attempt:
    """Attempt that is running or may be running on a worker.

    Attributes:
        name: Name of the attempt.
        worker_id: Worker on which it runs.
        reserved: Resources reserved for it.
        phase: Phase of the attempt.
        share: Share of the job that it belongs to; None until the record of the
            job has been read.
        start_expires_at: Time by the worker's clock, in seconds, after which
            the start command can no longer take effect; 0 once a report has
            shown the attempt.
        phase_since: Monotonic time at which the phase began, in seconds.
        started_at: Monotonic time at which the start was sent or the attempt
            was first reported, in seconds.
        checkpoint: Newest known checkpoint of the task; empty if there is none.
    """

    name: task_messages.AttemptName
    worker_id: str
    reserved: resources.Vector
    phase: Phase
    share: Share | None = None
    start_expires_at: float = 0.0
    phase_since: float = 0.0
    started_at: float = 0.0
    checkpoint: str = ""


@attrs.define(eq=False)
class Worker:
    """State of a worker, rebuilt from its reports.

    Attributes:
        worker_id: Id of the worker.
        address: Address of the worker.
        partition: Partition of the worker.
        clock: Worker's clock in its last report, in seconds.
        reported_at: Monotonic time at which the last report was received, in
            seconds; negative if none has been received in the current epoch.
        round_number: Poll round of the last report.
        incarnation: Incarnation that sent the last report.
        witness_incarnation: Incarnation that last answered while the owner had
            authority from its store lease.
        registered: Whether the platform's list has it in this partition.
        ledger: Reservations; None before the first report.
        services: Services on the worker, as last reported.
        attempts: Attempts that are running or may be running, by task.
        unwanted: Reservations of reported attempts that must not run.
        acknowledge: Ended attempts that the worker may discard.
        inventoried: Whether a report has been processed in the current epoch
            after the job records were read.
        needs_report: Whether the worker has refused a start since its last
            report, so that its known state is out of date.
        no_starts_until: Monotonic time before which the worker gets no start
            after a failed one, in seconds.
        finished_at: Monotonic time of the last finished task, in seconds, for
            the two jobs that finished one most recently.
    """

    worker_id: str
    address: str
    partition: str
    clock: float = 0.0
    reported_at: float = -1.0
    round_number: int = 0
    incarnation: str = ""
    witness_incarnation: str = ""
    registered: bool = True
    ledger: resources.Ledger | None = None
    services: tuple[task_messages.ServiceReport, ...] = ()
    attempts: dict[task_messages.TaskName, Attempt] = attrs.field(factory=dict)
    unwanted: dict[task_messages.AttemptName, resources.Vector] = attrs.field(
        factory=dict
    )
    acknowledge: set[task_messages.AttemptName] = attrs.field(factory=set)
    inventoried: bool = False
    needs_report: bool = False
    no_starts_until: float = 0.0
    finished_at: dict[str, float] = attrs.field(factory=dict)

    def clear_inventory(self) -> None:
        """Clears the state that is valid for one epoch or incarnation only."""
        self.reported_at = -1.0
        self.round_number = 0
        self.ledger = None
        self.attempts.clear()
        self.unwanted.clear()
        self.acknowledge.clear()
        self.inventoried = self.needs_report = False


@attrs.define(eq=False)
class Job:
    """Job with at least one slice in an owned partition.

    Attributes:
        record: Newest known record.
        version: Version of the record in the store.
        create_revision: Store revision at which the record was created.
        shares: Shares of the job, by owned partition.
        updating: Whether an update of the record is in flight.
    """

    record: jobs.JobRecord
    version: int
    create_revision: int = 0
    shares: dict[str, Share] = attrs.field(factory=dict)
    updating: bool = False


@attrs.define(eq=False)
class Share:
    """Part of a job that belongs to one owned partition.

    Attributes:
        job: The job.
        partition: Name of the partition.
        slices: Slices of the job in the partition.
        waiting: Tasks that may run and have no attempt.
        finished: Finished tasks, committed or not.
        running: Number of attempts that are running or may be running.
        checkpoints: Checkpoints of stopped tasks, by task.
        failures: Monotonic time, in seconds, of the first failure of a task on
            each worker, by task and worker id.
        failure_counts: Number of failures, by task.
        waiting_since: Monotonic time since which tasks have waited without a
            start, in seconds; 0 if none waits.
        waiting_reason: Reason code of the last search that found no worker for
            one of them.
    """

    job: Job
    partition: str
    slices: tuple[jobs.Slice, ...] = ()
    waiting: ranges.RangeSet = attrs.field(factory=ranges.RangeSet)
    finished: ranges.RangeSet = attrs.field(factory=ranges.RangeSet)
    running: int = 0
    checkpoints: dict[int, jobs.Checkpoint] = attrs.field(factory=dict)
    failures: dict[int, dict[str, float]] = attrs.field(factory=dict)
    failure_counts: dict[int, int] = attrs.field(factory=dict)
    waiting_since: float = 0.0
    waiting_reason: str = ""

    @property
    def is_active(self) -> bool:
        """Whether tasks of the share may be started."""
        return self.job.record.state is jobs.JobState.ACTIVE


@attrs.frozen
class QueueKey:
    """Key of a queue; shares with equal keys are the same to placement."""

    urgency: int
    declared: resources.Vector
    kind: str
    team: str


@attrs.define(eq=False)
class Partition:
    """Partition of this data centre.

    Attributes:
        name: Name of the partition.
        workers: Workers of the partition, by id.
        epoch: Own epoch; 0 if this instance does not own the partition.
        pending_epoch: Epoch of a takeover that has not yet fenced `progress`.
        lease_id: Store lease to which the own owner key is bound.
        pending_lease_id: Store lease of a takeover that has not yet fenced
            `progress`.
        owner_id: Owner according to the store; empty if there is no owner key.
        owner_epoch: Epoch of that owner.
        unowned_since: Monotonic time since which there has been no owner key,
            in seconds; negative if there is one.
        acquiring: Whether the creation of the owner key is planned or in
            flight.
        progress: Progress that was last read or committed.
        progress_version: Version of the `progress` key that was last read or
            written.
        commit_in_flight: Whether a write of `progress` is in flight.
        round_number: Number of the current poll round.
        round_sent_at: Monotonic time at which the round was sent, in seconds.
        answered_witnesses: Witnesses that have answered the current round.
        round_valid_until: Monotonic time until which the newest round that a
            majority of the witnesses answered gives authority, in seconds.
        majority_round: Number of that round.
        majority_inventoried_at: Monotonic time since which inventories of a
            majority of the witnesses have been known, in seconds; negative
            before.
        former_attempts_ended: Whether tasks that no inventory shows may be
            placed, as no attempt of a former owner can still run unseen.
        deregistered_since: Monotonic time of the first platform list without a
            witness, in seconds, by id of the witness.
        list_read_at: Monotonic time of the newest platform list, in seconds.
        jobs_listed: Whether the job records have been read in this epoch.
        handing_over: Whether a shutdown is handing the partition over.
        attempts_made: Number of attempts made in this epoch.
        shares: Shares of jobs, by job id.
        attempts: Attempts that are running or may be running, by task.
        queues: Shares with waiting tasks, by queue and job id.
        uncommitted_ends: Worker of each ended attempt whose end is not
            committed.
        dirty_jobs: Jobs with uncommitted finished tasks or checkpoints.
        ended_jobs: Jobs that have ended but may still have attempts.
        uncommitted_moves: Moves to commit in `progress`.
        applied_moves: Moves that the job records contain, to be removed from
            `progress`.
    """

    name: str
    workers: dict[str, Worker] = attrs.field(factory=dict)
    epoch: int = 0
    pending_epoch: int = 0
    lease_id: str = ""
    pending_lease_id: str = ""
    owner_id: str = ""
    owner_epoch: int = 0
    unowned_since: float = -1.0
    acquiring: bool = False
    progress: jobs.Progress = attrs.field(factory=jobs.Progress)
    progress_version: int = 0
    commit_in_flight: bool = False
    round_number: int = 0
    round_sent_at: float = 0.0
    answered_witnesses: set[str] = attrs.field(factory=set)
    round_valid_until: float = 0.0
    majority_round: int = 0
    majority_inventoried_at: float = -1.0
    deregistered_since: dict[str, float] = attrs.field(factory=dict)
    list_read_at: float = 0.0
    former_attempts_ended: bool = False
    jobs_listed: bool = False
    handing_over: bool = False
    attempts_made: int = 0
    shares: dict[str, Share] = attrs.field(factory=dict)
    attempts: dict[task_messages.TaskName, Attempt] = attrs.field(factory=dict)
    queues: dict[QueueKey, dict[str, Share]] = attrs.field(factory=dict)
    uncommitted_ends: dict[task_messages.AttemptName, str] = attrs.field(
        factory=dict
    )
    dirty_jobs: set[str] = attrs.field(factory=set)
    ended_jobs: set[str] = attrs.field(factory=set)
    uncommitted_moves: set[jobs.Move] = attrs.field(factory=set)
    applied_moves: set[jobs.Move] = attrs.field(factory=set)

    def find_terminated(self) -> set[str]:
        """Returns the witnesses whose instances no longer exist.

        The platform's list lags, but an instance that has been missing from it
        for a minute does not come back. Without this rule a takeover would wait
        forever once most workers of a partition had been replaced.
        """
        return {
            worker_id
            for worker_id, since in self.deregistered_since.items()
            if self.list_read_at - since >= TERMINATED_AFTER_S
        }

    def reset(self) -> None:
        """Clears the state that is valid for one owner only."""
        for worker in self.workers.values():
            worker.clear_inventory()
            worker.witness_incarnation = ""
        for share in self.shares.values():
            share.job.shares.pop(self.name, None)
        self.epoch = self.pending_epoch = 0
        self.lease_id = self.pending_lease_id = ""
        self.progress, self.progress_version = jobs.Progress(), 0
        self.commit_in_flight = False
        self.answered_witnesses.clear()
        self.round_valid_until, self.majority_round = 0.0, 0
        self.majority_inventoried_at = -1.0
        self.former_attempts_ended = self.jobs_listed = self.handing_over = (
            False
        )
        for index in (
            self.shares,
            self.attempts,
            self.queues,
            self.uncommitted_ends,
        ):
            index.clear()
        self.dirty_jobs.clear()
        self.ended_jobs.clear()
        self.uncommitted_moves.clear()
        self.applied_moves.clear()


@attrs.frozen
class FreeCapacity:
    """Free capacity of a partition, as its owner last reported it.

    Attributes:
        owner_id: Entry instance that reported it.
        received_at: Monotonic time at which the report was received, in
            seconds.
        free: Sum of the free capacity of the workers.
        capacities: Distinct capacities of the workers.
    """

    owner_id: str
    received_at: float
    free: resources.Vector
    capacities: tuple[resources.Vector, ...]


@attrs.define(eq=False)
class Query:
    """Query about a job that waits for the answers of other owners.

    Attributes:
        call_id: Id of the operator's call.
        record: Record of the job.
        awaited: Partitions whose owners have not answered.
        finished: Number of finished tasks in the answers so far.
        running: Number of running tasks in the answers so far.
        reasons: Reasons of the owners why tasks are waiting.
    """

    call_id: str
    record: jobs.JobRecord
    awaited: set[str]
    finished: int = 0
    running: int = 0
    reasons: list[str] = attrs.field(factory=list)


@attrs.define
class Tasks:
    """All batch work of this instance.

    Attributes:
        lease: Store lease of this instance.
        partitions: Partitions of the data centre, by name.
        jobs: Jobs with slices in owned partitions, by id.
        store_failed_at: Monotonic time of the last failed store call, in
            seconds.
        started_at: Monotonic time of the first list of owner keys, in seconds;
            negative before.
        unread_job_ids: Jobs whose records are to be read.
        free_capacities: Free capacity of the partitions of peers, by name.
        queries: Queries about jobs that wait for answers of peers, by call id.
        forwarded: Number of commands forwarded to other instances.
    """

    lease: ownership.StoreLease = attrs.field(factory=ownership.StoreLease)
    partitions: dict[str, Partition] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    store_failed_at: float = -1000.0
    started_at: float = -1.0
    unread_job_ids: set[str] = attrs.field(factory=set)
    free_capacities: dict[str, FreeCapacity] = attrs.field(factory=dict)
    queries: dict[str, Query] = attrs.field(factory=dict)
    forwarded: int = 0

    def find_owned(self) -> list[Partition]:
        """Returns the partitions that this instance owns."""
        return [p for p in self.partitions.values() if p.epoch]

    def is_idle(self) -> bool:
        """Returns whether no partition is owned or being acquired."""
        return not any(
            p.epoch or p.pending_epoch or p.acquiring
            for p in self.partitions.values()
        )
