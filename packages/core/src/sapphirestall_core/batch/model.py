"""Jobs, steps, queues, workers and runs of the batch core."""

import enum

import attrs

from sapphirestall_core import resources

# An opportunistic step of 40 to 160 tasks finds too few workers in two racks
# that it does not disturb. An owner with 0.3 processors does not carry the 60
# workers of eight racks.
RACKS_PER_PARTITION = 4
# The progress of all tasks of a job must fit into one value of the store.
MAX_TASKS = 20_000


class JobState(enum.StrEnum):
    """State of a job, as stored in the platform's store."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    COMPLETED = "completed"
    FAILED = "failed"


class EndKind(enum.StrEnum):
    """How a run ended, as its worker reports it.

    Only `DONE` completes a task and only `FAILED` counts as a failed attempt.
    After any other kind of end the task is queued again. `LAPSED` means that
    the lease of the run expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(slots=True)
class Step:
    """Tasks of one kind within a job.

    Attributes:
        count: Number of tasks.
        amount: Resources that one task needs.
        estimate_s: Rough duration of a task, in seconds.
        after: Indexes of the steps whose tasks must all be done first.
        checkpointing: Whether a task saves its progress and can resume.
        gang: Whether the tasks can run only all at the same time.
        same_rack: Whether the tasks slow down when spread over several racks.
        required_label: Label that the worker must have; empty if any will do.
        data_rack: Rack that holds the data; empty if there is none.
        max_per_worker: Largest number of tasks of the step on one worker; 0 for
            no limit.
        concurrent: Whether several runs of one task may exist at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        image: Program that the tasks run. Tasks of one image load a worker in
            the same way.
        tail_target_ms: Largest tail latency that the tasks may have, in
            milliseconds; 0 if they have no such target.
        fills: Whether the tasks are opportunistic: they use only processors
            that other tasks leave unused.
        max_unavailable: Largest number of tasks that the system may interrupt
            at the same time; 0 for no limit.
    """

    count: int
    amount: resources.Vector
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    concurrent: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


@attrs.frozen(slots=True)
class Schedule:
    """Times at which a job runs.

    Attributes:
        first_at_ms: Wall-clock time of the first occurrence, in Unix
            milliseconds.
        interval_ms: Time between occurrences, in milliseconds.
        count: Number of occurrences; 0 for a job that runs once, immediately.
    """

    first_at_ms: int = 0
    interval_ms: int = 0
    count: int = 0


@attrs.frozen(slots=True)
class Advice:
    """Cost of asking the outside service that selects workers for a queue.

    Attributes:
        decide_s: Fixed duration of a call, in seconds.
        per_worker_s: Additional duration for each worker in the call, in
            seconds.
        valid_s: Time for which a ticket of the service is valid, in seconds.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


@attrs.frozen(slots=True)
class Queue:
    """A queue of jobs, from the operators' configuration.

    Attributes:
        name: Name of the queue.
        host: Host under which callers reach the queue.
        prefix: Path prefix under which callers reach it.
        service: Service whose workers run the tasks.
        priority: Priority of the jobs; 0 is the highest.
        max_attempts: Number of failed runs of one task after which its job
            fails.
        stretch: Allowed duration of a job, as a multiple of its critical path.
        target_latency_s: Allowed duration in addition to that, in seconds.
        advice: Set if only an outside service knows which workers to use.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float
    advice: Advice | None = None


@attrs.frozen(slots=True)
class Service:
    """A service, from the operators' configuration.

    Attributes:
        name: Name of the service.
        checks_capacity: Whether its workers refuse runs that exceed their
            capacity.
        standby: Whether its instances are switched off.
    """

    name: str
    checks_capacity: bool = False
    standby: bool = False


@attrs.frozen(slots=True)
class Configuration:
    """A version of the operators' configuration.

    Attributes:
        version: Version number; a newer configuration has a higher one.
        queues: All queues.
        services: All services.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds the queue that a caller addresses.

        Args:
            host: Host that the caller asked for.
            path: Path that the caller asked for.

        Returns:
            Of the queues on this host, the one with the longest prefix of the
            path; None if there is none.
        """
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name: str) -> Queue | None:
        """Returns the queue with a name, or None if there is none."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


@attrs.frozen(slots=True)
class WorkerEntry:
    """Entry of a worker in the platform's list of workers.

    Attributes:
        worker_id: Id of the worker.
        started_at_ms: Wall-clock time at which this incarnation of the worker
            started, in Unix milliseconds.
        service: Service that the worker belongs to.
        address: Address at which the worker accepts calls.
        data_centre: Data centre in which the worker runs.
        capacity: Resources of the worker.
        labels: Kind of the worker and its rack.
        draining: Whether the worker accepts no new runs.
        rack: Rack of the worker; empty if it is not known.
    """

    worker_id: str
    started_at_ms: int
    service: str
    address: str
    data_centre: str
    capacity: resources.Vector
    labels: tuple[str, ...]
    draining: bool
    rack: str = ""


@attrs.frozen(slots=True)
class Division:
    """Division of the racks of each data centre into partitions.

    Attributes:
        racks_per_partition: Number of consecutive racks that form a partition.
    """

    racks_per_partition: int = attrs.field(factory=lambda: RACKS_PER_PARTITION)

    def make_partition_name(self, data_centre: str, rack: str) -> str:
        """Returns the name of the partition that a rack belongs to.

        Racks are grouped by their number, and a partition is named after the
        first rack of its group. A rack without a number is a partition of its
        own. Workers without a rack form one partition for each data centre,
        which is named after the data centre.
        """
        if not rack:
            return data_centre
        stem = rack.rstrip("0123456789")
        if stem == rack:
            return f"{data_centre}/{rack}"
        size = self.racks_per_partition
        group = max(0, int(rack[len(stem) :]) - 1) // size
        return f"{data_centre}/{stem}{group * size + 1}"

    def find_partition(self, entry: WorkerEntry) -> str:
        """Returns the name of the partition that a worker belongs to."""
        return self.make_partition_name(entry.data_centre, entry.rack)

    def contains_rack(self, partition: str, rack: str) -> bool:
        """Returns whether a rack belongs to a partition."""
        data_centre = get_data_centre(partition)
        return partition == self.make_partition_name(data_centre, rack)


def get_data_centre(partition: str) -> str:
    """Returns the data centre of a partition, from its name."""
    return partition.partition("/")[0]


@attrs.frozen(slots=True, cache_hash=True)
class TaskName:
    """Name of a task.

    Attributes:
        job_id: Id of the job.
        occurrence: Occurrence of the job, from 0.
        step: Index of the step in the job.
        index: Index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


@attrs.frozen(slots=True)
class ListedRun:
    """A run that a worker's listing shows as running.

    Attributes:
        task: The task that the run executes.
        number: Number of the run; each later run of the task has a higher one.
        checkpoint: Newest checkpoint that the run saved; empty if there is
            none.
        percent: Progress of the task, 0 to 100.
        measurement: For a task with a target for its tail latency, that latency
            in milliseconds; else the processors in use, in thousandths.
    """

    task: TaskName
    number: int
    checkpoint: str
    percent: int
    measurement: float


@attrs.frozen(slots=True)
class EndedRun:
    """A run that a worker's listing shows as ended.

    Attributes:
        position: Position in the sequence of ends that this incarnation of the
            worker has reported, from 1.
        task: The task that the run executed.
        number: Number of the run.
        kind: How the run ended.
        checkpoint: Newest checkpoint that the run saved; empty if there is
            none.
    """

    position: int
    task: TaskName
    number: int
    kind: EndKind
    checkpoint: str
