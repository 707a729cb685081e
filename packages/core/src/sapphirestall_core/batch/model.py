"""Jobs, steps and queues, as callers and operators describe them."""

import enum

import attrs

from sapphirestall_core import resources

# The workers of two racks take a small share of a processor of 0.3 cores, and
# have room for usual jobs beside tasks that disturb each other.
RACKS_PER_PARTITION = 2


class JobState(enum.StrEnum):
    """State of a job as its record holds it."""

    ACCEPTED = "accepted"
    CANCELLED = "cancelled"
    COMPLETED = "completed"
    FAILED = "failed"


class EndKind(enum.StrEnum):
    """How a run ended."""

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
        amount: Resources of one task.
        estimate_s: Rough duration of a task, in seconds.
        after: Indexes of the steps whose tasks must all be done first.
        checkpointing: Whether a task saves its progress and can resume.
        gang: Whether the tasks work only all together.
        same_rack: Whether the tasks slow down on more than one rack.
        required_label: Label that the worker must have; empty for none.
        data_rack: Rack where the data is; empty for none.
        max_per_worker: Most tasks of the step on one worker; 0 for no limit.
        concurrent: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Tail latency that the tasks must keep; 0 for none.
        fills: Whether the tasks use only processors that others leave unused.
        max_unavailable: Most tasks that the system may interrupt at once; 0
            for no limit.
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
        first_at_ms: Time of day of the first occurrence, Unix milliseconds.
        interval_ms: Time between occurrences, in milliseconds.
        count: Number of occurrences; 0 for a job that runs once, at once.
    """

    first_at_ms: int = 0
    interval_ms: int = 0
    count: int = 0


@attrs.frozen(slots=True)
class Advice:
    """How long the service that selects workers for a queue takes.

    Attributes:
        decide_s: Fixed time of a call, in seconds.
        per_worker_s: Time for each worker named, in seconds.
        valid_s: Time for which a ticket is valid, in seconds.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


@attrs.frozen(slots=True)
class Queue:
    """A queue of jobs, from the operators' configuration.

    Attributes:
        host: Host under which callers reach the queue.
        prefix: Path prefix under which callers reach it.
        service: Service whose workers run the tasks.
        priority: 0 comes first.
        max_attempts: Failed runs of a task after which its job fails.
        stretch: Allowed duration, as a multiple of the job's longest chain.
        target_latency_s: Allowed duration beyond that, in seconds.
        advice: Set when only an outside service knows the workers to use.
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
        guards_capacity: Whether its workers refuse what does not fit.
        standby: Whether its instances are switched off.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


@attrs.frozen(slots=True)
class Configuration:
    """A version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name: str) -> Queue | None:
        """Returns the queue with a name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


@attrs.frozen(slots=True)
class WorkerEntry:
    """What a worker says of itself in the platform's list.

    Attributes:
        started_at_ms: Start of this incarnation, Unix milliseconds.
        labels: Kind of the worker and its rack.
        draining: Whether it takes no new runs.
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

    @property
    def partition(self) -> str:
        """Returns the name of the partition that the worker belongs to."""
        return make_partition_name(self.data_centre, self.rack)


def make_partition_name(data_centre: str, rack: str) -> str:
    """Returns the name of the partition that a rack belongs to.

    Racks whose numbers follow each other share a partition. A rack without a
    number is one by itself; workers without a rack form one partition in each
    data centre.
    """
    if not rack:
        return data_centre
    stem = rack.rstrip("0123456789")
    if stem == rack:
        return f"{data_centre}/{rack}"
    group = max(0, int(rack[len(stem) :]) - 1) // RACKS_PER_PARTITION
    return f"{data_centre}/{stem}{group * RACKS_PER_PARTITION + 1}"


def get_data_centre(partition: str) -> str:
    """Returns the data centre in the name of a partition."""
    return partition.partition("/")[0]


def contains_rack(partition: str, rack: str) -> bool:
    """Tells whether a rack belongs to a partition."""
    return partition == make_partition_name(get_data_centre(partition), rack)


@attrs.frozen(slots=True, cache_hash=True)
class TaskName:
    """Names one task of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@attrs.frozen(slots=True)
class ListedRun:
    """A run that a worker lists as running.

    Attributes:
        number: Number of the run; rises with each start of the task.
        checkpoint: Newest saved progress; empty for none.
        percent: Progress of the task, 0 to 100.
        measurement: For a task with a tail target its tail latency in
            milliseconds, else the processors in use in thousandths.
    """

    task: TaskName
    number: int
    checkpoint: str
    percent: int
    measurement: float


@attrs.frozen(slots=True)
class EndedRun:
    """A run that a worker lists as ended.

    Attributes:
        position: Number of the end in this incarnation, from 1.
    """

    position: int
    task: TaskName
    number: int
    kind: EndKind
    checkpoint: str
