"""Commands of operators and their results."""

import math
from typing import Any

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import messages

MAX_NAME_LENGTH = 200
# A slice lists its tasks in memory at the owner; a larger job is split.
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
class OutcomeUnknown(Result):
    """The command may or may not have taken effect.

    Attributes:
        code: Stable reason code.
        detail: What the operator can do to learn the outcome.
        status: HTTP status, used by HTTP front ends.
    """

    code: str
    step: str
    detail: str
    status: int = 504


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
        preview: Whether to show what would change and to write nothing.
    """

    patch_id: str = attrs.field(validator=_check_name)
    base_version: int = attrs.field(validator=_check_not_negative)
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
class ConfigurationPreviewed(Result):
    """What a patch would change.

    Attributes:
        version: The version that the patch would make.
    """

    version: int
    changes: list[configuration.Change]
    body: dict[str, object]


@attrs.frozen
class ShowReadiness(Command):
    """Asks whether this instance can take work."""


@attrs.frozen
class ReadinessShown(Result):
    """Whether this instance can take work.

    Attributes:
        reasons: Why it is not ready; empty when it is.
    """

    ready: bool
    reasons: list[str]


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
        instances_listed: Whether the platform's list of instances was read;
            without it, instances may be missing from the other fields.
        everywhere: Whether `version` is in force in every listed instance.
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
        job_id: Unique within its data centre.
        kind: Kind of work; usage and interference are learned per kind.
        task_count: Number of equal tasks.
        cpu_millis: Processors of one task, in thousandths.
        memory_mb: Memory of one task, in megabytes.
        accelerators: Accelerators of one task.
        run_s: Declared run time of one task, in seconds.
        urgency: 0 is the least urgent.
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
    """One worker as its owner sees it.

    Attributes:
        state: `live`, `silent`, `probation` or `leaving`.
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
    """Workers and their state."""

    workers: list[WorkerShown]


@attrs.frozen
class ListPartitions(Command):
    """Asks for the partitions of this data centre and their owners."""


@attrs.frozen
class PartitionShown:
    """One partition and who owns it.

    Attributes:
        authority: `lease`, `witnesses` or `none` if the asked instance owns
            it, else `elsewhere`.
        workers: Number of its workers that the platform lists as live.
    """

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
