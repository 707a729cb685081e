"""Commands of operators and their results.

The field names are part of the operators' interface.
"""

import math
from typing import Any

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import messages

MAX_NAME_LENGTH = 200
# The owner of a partition holds a list of a job's tasks in memory; larger jobs
# have to be split by the submitter.
MAX_TASKS = 100_000


def _check_name(
    instance: object, attribute: "attrs.Attribute[Any]", value: str
) -> None:
    good = 0 < len(value) <= MAX_NAME_LENGTH and value.isprintable()
    if not good or "/" in value:
        raise ValueError(
            f"{attribute.name} must have 1 to {MAX_NAME_LENGTH} printable "
            "characters without '/'"
        )


def _check_not_negative(
    instance: object, attribute: "attrs.Attribute[Any]", value: float
) -> None:
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{attribute.name} must be 0 or more")


def _check_count(
    instance: object, attribute: "attrs.Attribute[Any]", value: int
) -> None:
    if not 0 < value <= MAX_TASKS:
        raise ValueError(f"{attribute.name} must be 1 to {MAX_TASKS}")


@attrs.frozen
class Command:
    """Base of the commands of operators."""


@attrs.frozen
class OperatorCalled(messages.Event):
    """Reports that a command of an operator has arrived."""

    call_id: str
    command: Command


@attrs.frozen
class Result:
    """Base of the results of commands."""


@attrs.frozen
class Failure(Result):
    """A command was refused and changed no state.

    Attributes:
        code: Stable reason code.
        step: Processing step at which the command was refused.
        detail: Description of the reason in one sentence.
        status: HTTP status for HTTP front ends.
        peer: Remote side of the step; empty if there is none.
    """

    code: str
    step: str
    detail: str
    status: int = 400
    peer: str = ""


@attrs.frozen
class OutcomeUnknown(Result):
    """It is unknown whether a command took effect.

    Attributes:
        code: Stable reason code.
        step: Processing step at which the outcome became unknown.
        detail: How the operator can find out the outcome.
        status: HTTP status for HTTP front ends.
    """

    code: str
    step: str
    detail: str
    status: int = 504


@attrs.frozen
class AnswerOperator(messages.Effect):
    """Sends the result of a command to the operator."""

    call_id: str
    result: Result


@attrs.frozen
class PatchConfiguration(Command):
    """Patches the configuration.

    Attributes:
        patch_id: Id chosen by the sender. A patch that is repeated after a lost
            answer is recognised by it and is not applied twice.
        base_version: Version to which the patch applies; the patch is refused
            if it is not the current one.
        patch: JSON merge patch (RFC 7396).
        preview: Whether to return the changes without writing them.
    """

    patch_id: str = attrs.field(validator=_check_name)
    base_version: int = attrs.field(validator=_check_not_negative)
    patch: dict[str, object]
    preview: bool = False


@attrs.frozen
class ShowConfiguration(Command):
    """Requests the configuration in force at this instance."""


@attrs.frozen
class ConfigurationShown(Result):
    """Configuration document."""

    version: int
    body: dict[str, object]


@attrs.frozen
class ConfigurationPreviewed(Result):
    """Changes that a patch would make.

    Attributes:
        version: Version that the patch would create.
        changes: Changed values, ordered by path.
        body: Configuration body with the patch applied.
    """

    version: int
    changes: list[configuration.Change]
    body: dict[str, object]


@attrs.frozen
class ShowReadiness(Command):
    """Requests the readiness of this instance."""


@attrs.frozen
class ReadinessShown(Result):
    """Readiness of this instance.

    Attributes:
        ready: Whether the instance can accept work.
        reasons: Why the instance is not ready; empty if it is.
    """

    ready: bool
    reasons: list[str]


@attrs.frozen
class ShowConfigurationStatus(Command):
    """Requests the configuration version in force at each instance."""


@attrs.frozen
class ConfigurationStatus(Result):
    """Configuration versions in force at the entry instances.

    Attributes:
        version: Highest known version.
        lowest: Lowest version among the reachable entry instances.
        in_force: Version by id of the entry instance.
        unreachable: Ids of the entry instances whose version is unknown.
        instances_listed: Whether the platform's instance list has been read;
            if not, instances may be missing from the other fields.
        everywhere: Whether `version` is in force at every listed instance.
    """

    version: int
    lowest: int
    in_force: dict[str, int]
    unreachable: list[str]
    instances_listed: bool
    everywhere: bool


@attrs.frozen
class SubmitJob(Command):
    """Submits a batch job.

    Attributes:
        job_id: Id, unique within the data centre.
        data_centre: Data centre in which the job runs.
        team: Team whose quota the job uses.
        kind: Kind of work; usage and interference are learned per kind.
        task_count: Number of tasks, all with the same demand.
        cpu_millis: Processors of one task, in thousandths.
        memory_mb: Memory of one task, in megabytes.
        accelerators: Accelerators of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: Urgency of the job; 0 is the lowest.
        checkpointable: Whether its tasks can be checkpointed.
    """

    job_id: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    team: str = attrs.field(validator=_check_name)
    kind: str = attrs.field(validator=_check_name)
    task_count: int = attrs.field(validator=_check_count)
    cpu_millis: int = attrs.field(validator=_check_not_negative)
    memory_mb: int = attrs.field(validator=_check_not_negative)
    run_s: float = attrs.field(validator=_check_not_negative)
    accelerators: int = attrs.field(default=0, validator=_check_not_negative)
    urgency: int = attrs.field(default=0, validator=_check_not_negative)
    checkpointable: bool = True


@attrs.frozen
class CancelJob(Command):
    """Cancels a job."""

    job_id: str
    data_centre: str


@attrs.frozen
class ShowJob(Command):
    """Requests the state of a job."""

    job_id: str
    data_centre: str


@attrs.frozen
class ListJobs(Command):
    """Requests the state of all jobs of a data centre."""

    data_centre: str


@attrs.frozen
class JobShown(Result):
    """State of one job.

    Attributes:
        state: `waiting`, `running`, `finished`, `failed` or `cancelled`.
        finished_tasks: Number of finished tasks.
        running_tasks: Number of running tasks.
        waiting_tasks: Number of waiting tasks.
        reason: Why tasks are waiting; empty if none is.
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
    """Requests the workers of the partitions that this instance owns."""


@attrs.frozen
class WorkerShown:
    """State of a worker as its owner sees it.

    Attributes:
        partition: Partition of the worker.
        state: `live`, `silent` (no recent report), `probation` (it gets only
            trial tasks after failures) or `leaving`.
        epoch: Epoch under which this instance owns the partition.
        running_tasks: Number of batch tasks on the worker.
        free_cpu_millis: Free processors, in thousandths.
        free_memory_mb: Free memory, in megabytes.
        free_accelerators: Number of free accelerators.
    """

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
    """State of several workers."""

    workers: list[WorkerShown]


@attrs.frozen
class ListPartitions(Command):
    """Requests the partitions of this data centre and their owners."""


@attrs.frozen
class PartitionShown:
    """Ownership of a partition.

    Attributes:
        owner: Id of the entry instance that owns the partition.
        epoch: Epoch of the ownership; each new owner gets a higher one.
        authority: Basis on which the answering instance owns the partition:
            `lease`, `witnesses` or `none`; `elsewhere` if another instance
            owns it.
        workers: Number of its workers that the platform lists as live.
    """

    partition: str
    owner: str
    epoch: int
    authority: str
    workers: int


@attrs.frozen
class PartitionsListed(Result):
    """Ownership of several partitions."""

    partitions: list[PartitionShown]


@attrs.frozen
class Explain(Command):
    """Requests the recorded decisions about a subject.

    Attributes:
        subject: Id of a job, task attempt, worker, executor or partition, or
            `configuration`.
    """

    subject: str


@attrs.frozen
class Decision:
    """A decision in the journal of an entry instance.

    Attributes:
        at: Wall-clock time of the decision, in seconds.
        instance_id: Entry instance that decided.
        subject: Job, task attempt, worker, executor or partition that it
            concerns, or `configuration`.
        action: Name of the action that was decided.
        reason: Explanation of the decision.
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
