"""Commands of operators and their results."""

import attrs

from sapphirestall_core import messages


@attrs.frozen
class Command:
    """Base of the operators' commands."""


@attrs.frozen
class OperatorCalled(messages.Event):
    """An operator's command arrived."""

    call_id: str
    command: Command


@attrs.frozen
class Result:
    """Base of the results of operators' commands."""


@attrs.frozen
class Failure(Result):
    """The command was refused and changed no state.

    Attributes:
        code: Stable reason code.
        status: HTTP status class of the reason, used by HTTP front ends.
    """

    code: str
    step: str
    detail: str
    status: int = 400
    peer: str = ""


@attrs.frozen
class AnswerOperator(messages.Effect):
    """Hands the result of a command to the operator."""

    call_id: str
    result: Result


@attrs.frozen
class PatchConfiguration(Command):
    """Amends a numbered version of the configuration.

    Attributes:
        patch_id: Chosen by the sender; settles a lost answer.
        base_version: The version that the patch amends.
        patch: JSON merge patch (RFC 7396).
    """

    patch_id: str
    base_version: int
    patch: dict[str, object]
    preview: bool = False


@attrs.frozen
class ShowConfiguration(Command):
    """Asks for the configuration in force here."""


@attrs.frozen
class ConfigurationShown(Result):
    """A configuration document."""

    version: int
    body: dict[str, object]


@attrs.frozen
class ShowConfigurationStatus(Command):
    """Asks where which version is in force."""


@attrs.frozen
class ConfigurationStatus(Result):
    """Versions in force.

    Attributes:
        version: Highest version known here.
        lowest: Lowest version among reachable entry instances.
        in_force: Version by entry instance.
        unreachable: Entry instances whose version is not known at present.
    """

    version: int
    lowest: int
    in_force: dict[str, int]
    unreachable: list[str]


@attrs.frozen
class SubmitJob(Command):
    """Submits a batch job.

    Attributes:
        job_id: Unique within its data centre.
        kind: Kind of work; usage and interference are learned per kind.
        task_count: Number of equal tasks.
        cpu_millis: Processors of one task, in thousandths.
        memory_mb: Memory of one task, in megabytes.
        accelerators: Accelerators of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: 0 is the least urgent.
    """

    job_id: str
    data_centre: str
    team: str
    kind: str
    task_count: int
    cpu_millis: int
    memory_mb: int
    run_s: float
    accelerators: int = 0
    urgency: int = 0
    checkpointable: bool = True


@attrs.frozen
class CancelJob(Command):
    """Cancels a job."""

    job_id: str
    data_centre: str


@attrs.frozen
class ShowJob(Command):
    """Asks for one job."""

    job_id: str
    data_centre: str


@attrs.frozen
class ListJobs(Command):
    """Asks for all jobs of a data centre."""

    data_centre: str


@attrs.frozen
class JobShown(Result):
    """State of one job.

    Attributes:
        state: `waiting`, `running`, `finished`, `failed` or `cancelled`.
        reason: Why tasks are waiting; empty when none is.
    """

    job_id: str
    data_centre: str
    state: str
    finished_tasks: int
    running_tasks: int
    waiting_tasks: int
    reason: str = ""


@attrs.frozen
class JobsListed(Result):
    """State of several jobs."""

    jobs: list[JobShown]


@attrs.frozen
class ListWorkers(Command):
    """Asks for the workers that this instance owns."""


@attrs.frozen
class WorkerShown:
    """One worker as its owner sees it."""

    worker_id: str
    partition: str
    state: str
    epoch: int
    running_tasks: int
    free_cpu_millis: int
    free_memory_mb: int
    free_accelerators: int


@attrs.frozen
class WorkersListed(Result):
    """Workers and their state."""

    workers: list[WorkerShown]


@attrs.frozen
class ListPartitions(Command):
    """Asks for the partitions of this data centre and their owners."""


@attrs.frozen
class PartitionShown:
    """One partition and who owns it."""

    partition: str
    owner: str
    epoch: int
    authority: str
    workers: int


@attrs.frozen
class PartitionsListed(Result):
    """Partitions and their owners."""

    partitions: list[PartitionShown]


@attrs.frozen
class Explain(Command):
    """Asks what was decided about a job, request key or worker, and why."""

    subject: str


@attrs.frozen
class Decision:
    """One entry of the decision journal.

    Attributes:
        at: Wall-clock time, in seconds since the epoch; filled in by the shell.
    """

    at: float
    instance_id: str
    subject: str
    action: str
    reason: str


@attrs.frozen
class Explanation(Result):
    """Decisions about a subject, oldest first."""

    subject: str
    decisions: list[Decision]
