"""Validation of submitted jobs."""

from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import model

JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
MAX_SPEC_BYTES = 4000


def is_job_id(text: str) -> bool:
    """Returns whether a job can have an id."""
    return len(text) == JOB_ID_LENGTH and set(text) <= HEX_DIGITS


def validate(
    event: caller_messages.SubmitCalled, job_id: str, queue: model.Queue
) -> caller_messages.Invalid | None:
    """Checks whether a submitted job can be accepted.

    Args:
        event: The call that submits the job.
        job_id: Id of the job.
        queue: Queue that the call addresses.

    Returns:
        The answer that rejects the job, or None if the job is valid.
    """
    if not is_job_id(job_id):
        return caller_messages.Invalid("bad_job_id", "not 16 hex digits")
    if queue.advice is not None:
        return caller_messages.Invalid("unsupported", "queue needs advice")
    if len(event.spec.encode()) > MAX_SPEC_BYTES:
        return caller_messages.Invalid("spec_too_long", "spec is too long")
    if event.schedule.count:
        return caller_messages.Invalid(
            "unsupported", "scheduled jobs are not supported"
        )
    return _validate_steps(event.steps)


def _validate_steps(
    steps: tuple[model.Step, ...],
) -> caller_messages.Invalid | None:
    if not steps:
        return caller_messages.Invalid("no_steps", "the job has no steps")
    for number, step in enumerate(steps):
        if step.count < 1 or any(not 0 <= i < number for i in step.after):
            return caller_messages.Invalid(
                "bad_step", f"step {number} has a bad count or order"
            )
        if step.gang or step.same_rack:
            return caller_messages.Invalid(
                "unsupported", f"step {number} asks for a gang or one rack"
            )
    if sum(step.count for step in steps) > model.MAX_TASKS:
        return caller_messages.Invalid(
            "too_many_tasks", f"the job has more than {model.MAX_TASKS} tasks"
        )
    return None
