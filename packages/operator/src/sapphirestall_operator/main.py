"""Command line of the operators' tool."""

import asyncio
import json
import sys
from typing import TextIO
import uuid

import click

from sapphirestall_core import errors
from sapphirestall_operator import client


@click.group()
@click.option(
    "--address",
    envvar="SAPPHIRESTALL_ADDRESS",
    default="127.0.0.1:8002",
    show_default=True,
    help="Operators' address of any entry instance.",
)
@click.pass_context
def tool(context: click.Context, address: str) -> None:
    """Submits jobs, patches the configuration and explains decisions."""
    context.obj = client.Client(address)


def _call(
    target: client.Client, method: str, path: str, body: object = None
) -> None:
    answer = asyncio.run(target.call(method, path, body))
    click.echo(json.dumps(answer, indent=2))


@tool.group()
def job() -> None:
    """Submits, shows and cancels jobs."""


@job.command()
@click.argument("job_id")
@click.option("--data-centre", required=True)
@click.option("--team", required=True)
@click.option("--kind", required=True)
@click.option("--tasks", default=1, show_default=True)
@click.option("--cpu-millis", default=1000, show_default=True)
@click.option("--memory-mb", default=1000, show_default=True)
@click.option("--run-s", default=60.0, show_default=True)
@click.pass_obj
def submit(
    target: client.Client,
    job_id: str,
    data_centre: str,
    team: str,
    kind: str,
    tasks: int,
    cpu_millis: int,
    memory_mb: int,
    run_s: float,
) -> None:
    """Submits a job."""
    body = {
        "job_id": job_id,
        "data_centre": data_centre,
        "team": team,
        "kind": kind,
        "task_count": tasks,
        "cpu_millis": cpu_millis,
        "memory_mb": memory_mb,
        "run_s": run_s,
    }
    _call(target, "POST", "/v1/jobs", body)


@job.command("show")
@click.argument("job_id")
@click.option("--data-centre", required=True)
@click.pass_obj
def show_job(target: client.Client, job_id: str, data_centre: str) -> None:
    """Shows a job."""
    _call(target, "GET", f"/v1/jobs/{data_centre}/{job_id}")


@tool.group()
def configuration() -> None:
    """Patches and shows the configuration."""


@configuration.command("show")
@click.pass_obj
def show_configuration(target: client.Client) -> None:
    """Shows the configuration in force."""
    _call(target, "GET", "/v1/configuration")


@configuration.command()
@click.pass_obj
def status(target: client.Client) -> None:
    """Shows which entry instance has which version."""
    _call(target, "GET", "/v1/configuration/status")


@configuration.command()
@click.argument("patch_file", type=click.File())
@click.option("--base-version", type=int, required=True)
@click.option("--preview", is_flag=True, help="Shows the result only.")
@click.pass_obj
def patch(
    target: client.Client,
    patch_file: TextIO,
    base_version: int,
    preview: bool,
) -> None:
    """Amends a numbered version by the JSON merge patch in PATCH_FILE."""
    body = {
        "patch_id": uuid.uuid4().hex,
        "base_version": base_version,
        "patch": json.load(patch_file),
        "preview": preview,
    }
    _call(target, "PATCH", "/v1/configuration", body)


def run() -> None:
    """Runs the tool and maps errors to exit codes."""
    try:
        tool(standalone_mode=False)
    except errors.SapphirestallError as error:
        click.echo(str(error), err=True)
        sys.exit(error.exit_code)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
