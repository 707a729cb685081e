"""State of batch work at one entry instance."""

import attrs

from sapphirestall_core import jobs
from sapphirestall_core import ownership
from sapphirestall_core import resources
from sapphirestall_core import task_messages


@attrs.define
class Worker:
    """View of one worker, rebuilt from its reports.

    Attributes:
        clock: Reading of the worker's clock in its last report.
        reported_at: Own time at which the last report was received.
    """

    worker_id: str
    address: str
    partition: str
    clock: float = 0.0
    reported_at: float = -1.0
    incarnation: str = ""
    ledger: resources.Ledger | None = None


@attrs.define
class Task:
    """One task of a slice that this instance owns."""

    task: int
    attempt: task_messages.AttemptName | None = None
    worker_id: str = ""
    state: task_messages.TaskState | None = None


@attrs.define
class Job:
    """A job of which this instance owns at least one slice."""

    record: jobs.JobRecord
    version: int
    tasks: dict[int, Task] = attrs.field(factory=dict)


@attrs.define
class Partition:
    """A partition of this data centre.

    Attributes:
        epoch: Own epoch; 0 while another instance or none owns it.
        owner_id: Owner according to the store.
        progress_version: Version of the `progress` key that was read last.
    """

    name: str
    workers: dict[str, Worker] = attrs.field(factory=dict)
    epoch: int = 0
    owner_id: str = ""
    owner_epoch: int = 0
    progress: jobs.Progress = attrs.field(factory=jobs.Progress)
    progress_version: int = 0
    commit_in_flight: bool = False
    uncommitted: set[task_messages.AttemptName] = attrs.field(factory=set)
    acknowledged: list[task_messages.AttemptName] = attrs.field(factory=list)
    round_number: int = 0


@attrs.define
class Tasks:
    """All batch work of this instance."""

    lease: ownership.StoreLease = attrs.field(factory=ownership.StoreLease)
    partitions: dict[str, Partition] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    attempts_made: int = 0
