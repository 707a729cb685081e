"""State of batch work at one entry instance."""

from __future__ import annotations

import enum

import attrs

from sapphirestall_core import jobs
from sapphirestall_core import ownership
from sapphirestall_core import ranges
from sapphirestall_core import resources
from sapphirestall_core import task_messages


class Phase(enum.Enum):
    """Phase of an attempt that runs or may run."""

    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


# Several times the lag of the list; the tasks of such a worker also lost their
# leases long before.
TERMINATED_AFTER_S = 60.0


@attrs.define(eq=False)
class Attempt:
    """An attempt that runs or may run on a worker.

    Attributes:
        share: None until the record of the job was read.
        start_expires_at: Reading of the worker's clock after which the start
            command can no longer take effect; 0 when a report showed it.
        phase_since: Own time at which the phase began.
        checkpoint: Newest checkpoint that the attempt is known to have.
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
    """View of one worker, rebuilt from its reports.

    Attributes:
        clock: Reading of the worker's clock in its last report.
        reported_at: Own time at which the last report was received; negative
            while none was received under the present epoch.
        round_number: Poll round of the last report.
        witness_incarnation: Incarnation that answered under authority (a).
        registered: Whether the platform's list shows it in this partition.
        attempts: Attempts that run or may run there, by task.
        unwanted: Attempts that it reports but that must not run, with their
            reservations.
        acknowledge: Ended attempts that the worker may forget.
        inventoried: Whether a report was taken under the present epoch after
            the job records were read.
        awaits_report: Whether it refused a start since its last report; what
            is known about it is out of date then.
        paused_until: Own time before which it gets no start, after a failed
            one.
        finished_at: Own time of the last finished task, by job; the newest two
            jobs.
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

    def forget_inventory(self) -> None:
        """Drops what only holds for one epoch or incarnation."""
        self.reported_at = -1.0
        self.round_number = 0
        self.ledger = None
        self.attempts.clear()
        self.unwanted.clear()
        self.acknowledge.clear()
        self.inventoried = self.needs_report = False


@attrs.define(eq=False)
class Job:
    """A job of which this instance owns at least one slice.

    Attributes:
        create_revision: Store revision at which the record was created.
        amending: Whether a change of the record is under way.
    """

    record: jobs.JobRecord
    version: int
    create_revision: int = 0
    shares: dict[str, Share] = attrs.field(factory=dict)
    updating: bool = False


@attrs.define(eq=False)
class Share:
    """The part of a job that belongs to one owned partition.

    Attributes:
        slices: Slices from which the sets below were built.
        waiting: Tasks without an attempt that may run.
        finished: Finished tasks, committed or not.
        running: Number of attempts that run or may run.
        checkpoints: Checkpoints of stopped tasks.
        failures: Workers on which a task failed and when first, by task.
        failure_counts: Number of its failures, by task.
        waiting_since: Own time since which tasks wait without a start.
        waiting_reason: Why the policy placed none of them last.
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
    """Shares with equal keys are equal to placement."""

    urgency: int
    declared: resources.Vector
    kind: str
    team: str


@attrs.define(eq=False)
class Partition:
    """A partition of this data centre.

    Attributes:
        epoch: Own epoch; 0 while another instance or none owns it.
        pending_epoch: Epoch of a takeover that has not fenced `progress` yet.
        lease_id: Store lease under which the own owner key lives.
        owner_id: Owner according to the store; empty when the key is absent.
        absent_since: Own time since which the key is seen absent.
        acquiring: Whether a create is planned or under way.
        progress_version: Version of the `progress` key that was read last.
        answered: Workers that answered the present round as witnesses.
        round_valid_until: Own time until which the newest round with a
            majority gives authority (b).
        majority_round: Number of that round.
        majority_at: Own time at which a majority gave inventories; negative
            before.
        settled: Whether tasks that no inventory shows may be placed.
        unlisted: Witnesses that the platform no longer lists, with the time of
            the first list without them.
        list_read_at: Time of the newest list of the platform.
        jobs_listed: Whether the job records were read under this epoch.
        handing_over: Whether a shutdown gives the partition up.
        ended: Ended attempts whose end is not committed, with their worker.
        dirty: Jobs whose finished tasks or checkpoints are not committed.
        closing: Jobs that ended here but may still have attempts.
        moving: Moves to commit in `progress`.
        moved: Moves that the job records show; to remove from `progress`.
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

        The platform's list lags, but an instance that it has left out for a
        minute is not coming back. Without this rule, a takeover would wait for
        ever once most workers of a partition were replaced.
        """
        return {
            worker_id
            for worker_id, since in self.deregistered_since.items()
            if self.list_read_at - since >= TERMINATED_AFTER_S
        }

    def reset(self) -> None:
        """Drops everything that holds only under one owner."""
        for worker in self.workers.values():
            worker.forget_inventory()
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
    """What the owner of a partition last said about it.

    Attributes:
        free: Sum of what is free on its workers.
        capacities: Distinct capacities of its workers.
    """

    owner_id: str
    received_at: float
    free: resources.Vector
    capacities: tuple[resources.Vector, ...]


@attrs.define(eq=False)
class Query:
    """A question about a job that waits for answers of other owners.

    Attributes:
        awaited: Partitions whose owners have not answered.
        reasons: Why tasks wait, as the owners said.
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
        store_failed_at: Own time of the last failed store call.
        started_at: Own time at which the partitions were first looked at.
        unread: Jobs whose records are to be read.
        forwarded: Number of commands handed to other instances.
        rooms: Partitions of peers by name.
        queries: Questions about jobs that wait for answers of peers.
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
        """Tells whether no partition is held or being acquired."""
        return not any(
            p.epoch or p.pending_epoch or p.acquiring
            for p in self.partitions.values()
        )
