"""Commands that show workers, partitions and decisions."""

import datetime

import click

from sapphirestall_operator import client
from sapphirestall_operator import session as session_module

WORKER_COLUMNS = (
    "worker_id",
    "partition",
    "state",
    "epoch",
    "running_tasks",
    "free_cpu_millis",
    "free_memory_mb",
    "free_accelerators",
)
PARTITION_COLUMNS = ("partition", "owner", "epoch", "authority", "workers")
DECISION_COLUMNS = ("time", "instance_id", "action", "reason")


@click.command()
@click.pass_obj
def workers(session: session_module.Session) -> None:
    """Lists the workers that the addressed entry instance owns."""
    answer = session.call("GET", "/v1/workers")
    session.show(answer, "workers", WORKER_COLUMNS)


@click.command()
@click.pass_obj
def partitions(session: session_module.Session) -> None:
    """Lists the partitions of the data centre and their owners."""
    answer = session.call("GET", "/v1/partitions")
    session.show(answer, "partitions", PARTITION_COLUMNS)


@click.command()
@click.argument("subject")
@click.pass_obj
def explain(session: session_module.Session, subject: str) -> None:
    """Shows the decisions about SUBJECT and their reasons.

    SUBJECT is a job, an idempotency key, a worker, a partition or
    `configuration`. Each entry instance keeps only its own latest decisions;
    ask the owner of the partition.
    """
    path = client.make_path("explain", subject)
    answer = session.call("GET", path)
    if session.form == "table":
        for decision in answer["decisions"]:
            decision["time"] = _format_time(decision["at"])
    session.show(answer, "decisions", DECISION_COLUMNS)


def _format_time(unix_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds")
