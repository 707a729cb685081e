"""Commands that submit, show and cancel batch jobs."""

from typing import Any

import click

from sapphirestall_core import errors
from sapphirestall_operator import client
from sapphirestall_operator import session as session_module

COLUMNS = (
    "job_id",
    "data_centre",
    "state",
    "finished_tasks",
    "running_tasks",
    "waiting_tasks",
    "reason",
)
ENDED_STATES = ("finished", "failed", "cancelled")

data_centre_option = click.option(
    "--data-centre",
    required=True,
    envvar="SAPPHIRESTALL_DATA_CENTRE",
    show_envvar=True,
    help="Data centre of the job.",
)


@click.group()
def job() -> None:
    """Submits, shows and cancels batch jobs."""


@job.command()
@click.argument("job_id")
@data_centre_option
@click.option("--team", required=True, help="Team whose quota the job uses.")
@click.option("--kind", required=True, help="Kind of work, such as `tally`.")
@click.option(
    "--tasks",
    "task_count",
    type=click.IntRange(min=1),
    default=1,
    show_default=True,
    help="Number of equal tasks.",
)
@click.option(
    "--cpu-millis",
    type=click.IntRange(min=0),
    default=1000,
    show_default=True,
    help="CPU of one task, in thousandths of a core.",
)
@click.option(
    "--memory-mb",
    type=click.IntRange(min=0),
    default=1000,
    show_default=True,
    help="Memory of one task, in megabytes.",
)
@click.option(
    "--accelerators",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Accelerators of one task.",
)
@click.option(
    "--run-s",
    type=click.FloatRange(min=0),
    default=60.0,
    show_default=True,
    help="Expected run time of one task, in seconds.",
)
@click.option(
    "--urgency",
    type=click.IntRange(min=0),
    default=0,
    show_default=True,
    help="Jobs with a higher value may evict tasks with a lower one.",
)
@click.option(
    "--checkpointable/--not-checkpointable",
    default=True,
    show_default=True,
    help="Whether evicted tasks resume from a checkpoint.",
)
@session_module.add_wait_options
@click.pass_obj
def submit(
    session: session_module.Session,
    /,
    wait: bool,
    wait_s: float,
    **fields: Any,
) -> None:
    """Submits a job with the id JOB_ID.

    The id is unique within the data centre. If the outcome is unknown, submit
    the job again with the same id: the error `duplicate_job` then means that
    the first submission was accepted.
    """
    answer = session.call("POST", "/v1/jobs", fields)
    if wait:
        answer = _wait_ended(session, answer, wait_s)
    session.show(answer)


@job.command("list")
@data_centre_option
@click.pass_obj
def list_jobs(session: session_module.Session, data_centre: str) -> None:
    """Lists the jobs of a data centre."""
    answer = session.call("GET", client.make_path("jobs", data_centre))
    session.show(answer, "jobs", COLUMNS)


@job.command("show")
@click.argument("job_id")
@data_centre_option
@session_module.add_wait_options
@click.pass_obj
def show_job(
    session: session_module.Session,
    job_id: str,
    data_centre: str,
    wait: bool,
    wait_s: float,
) -> None:
    """Shows a job; with --wait, waits until it has ended."""
    path = client.make_path("jobs", data_centre, job_id)
    answer = session.call("GET", path)
    if wait:
        answer = _wait_ended(session, answer, wait_s)
    session.show(answer)


@job.command()
@click.argument("job_id")
@data_centre_option
@click.pass_obj
def cancel(
    session: session_module.Session, job_id: str, data_centre: str
) -> None:
    """Cancels a job and stops its running tasks."""
    path = client.make_path("jobs", data_centre, job_id)
    session.show(session.call("DELETE", path))


def _wait_ended(
    session: session_module.Session, answer: dict[str, Any], limit_s: float
) -> dict[str, Any]:
    path = client.make_path("jobs", answer["data_centre"], answer["job_id"])
    ended = session.wait(path, _has_ended, _describe_job, limit_s)
    if ended["state"] != "finished":
        raise errors.JobEndedError(
            f"job {ended['job_id']!r} {ended['state']}: "
            f"{ended.get('reason') or 'no reason given'}",
            step="wait",
        )
    return ended


def _has_ended(answer: dict[str, Any]) -> bool:
    return answer["state"] in ENDED_STATES


def _describe_job(answer: dict[str, Any]) -> str:
    text = (
        f"{answer['job_id']}: {answer['state']}, "
        f"{answer['finished_tasks']} finished, "
        f"{answer['running_tasks']} running, "
        f"{answer['waiting_tasks']} waiting"
    )
    reason = answer.get("reason")
    return f"{text} ({reason})" if reason else text
