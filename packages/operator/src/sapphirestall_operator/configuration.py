"""Commands that show and patch the configuration."""

import json
from typing import Any
from typing import TextIO
import uuid

import click
import yaml

from sapphirestall_core import errors
from sapphirestall_operator import output
from sapphirestall_operator import session as session_module

PATH = "/v1/configuration"
STATUS_PATH = f"{PATH}/status"
CHANGE_COLUMNS = ("path", "before", "after")


@click.group()
def configuration() -> None:
    """Shows and patches the configuration."""


@configuration.command("show")
@click.pass_obj
def show_configuration(session: session_module.Session) -> None:
    """Shows the version that is in force and its content."""
    answer = session.call("GET", PATH)
    if session.form == "json":
        session.show(answer)
        return
    click.echo(f"version {answer['version']}")
    click.echo(yaml.safe_dump(answer["body"], sort_keys=False), nl=False)


@configuration.command()
@click.pass_obj
def status(session: session_module.Session) -> None:
    """Shows which version is in force at each entry instance.

    Unreachable instances are listed without a version.
    """
    answer = session.call("GET", STATUS_PATH)
    if session.form == "json":
        session.show(answer)
        return
    click.echo(_describe_status(answer))
    rows = [
        {"instance": name, "version": version}
        for name, version in sorted(answer["in_force"].items())
    ]
    rows += [{"instance": name} for name in answer["unreachable"]]
    output.show_table(rows, ("instance", "version"))


@configuration.command()
@click.argument("patch_file", type=click.File(encoding="utf-8"))
@click.option(
    "--base-version",
    type=click.IntRange(min=0),
    required=True,
    help="Version to which the patch applies; refused if it is not current.",
)
@click.option(
    "--patch-id",
    default="",
    help="Id of an earlier attempt, to learn its outcome; default: a new id.",
)
@click.option(
    "--preview", is_flag=True, help="Shows the changes without applying them."
)
@session_module.add_wait_options
@click.pass_obj
def patch(
    session: session_module.Session,
    patch_file: TextIO,
    base_version: int,
    patch_id: str,
    preview: bool,
    wait: bool,
    wait_s: float,
) -> None:
    """Applies the JSON merge patch (RFC 7396) in PATCH_FILE.

    PATCH_FILE contains JSON or YAML; `-` reads standard input. A null value
    removes a key. With --wait, the command ends when the new version is in
    force in every entry instance.
    """
    body = {
        "patch_id": patch_id or uuid.uuid4().hex,
        "base_version": base_version,
        "patch": _read_patch(patch_file),
        "preview": preview,
    }
    try:
        answer = session.call("PATCH", PATH, body)
    except errors.UnknownOutcomeError:
        hint = f"repeat with --patch-id {body['patch_id']} to learn the outcome"
        click.echo(hint, err=True)
        raise
    if preview:
        session.show(answer, "changes", CHANGE_COLUMNS)
        return
    if wait:
        _wait_in_force(session, answer["version"], wait_s)
    if session.form == "json":
        session.show(answer)
    else:
        click.echo(f"version {answer['version']} is accepted")


def _read_patch(patch_file: TextIO) -> dict[str, Any]:
    # JSON is tried first, because YAML decodes some JSON texts differently.
    text = patch_file.read()
    try:
        try:
            tree = json.loads(text)
        except ValueError:
            tree = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError) as error:
        raise errors.UsageError(
            f"the patch is neither JSON nor YAML: {error}", step="patch"
        ) from error
    if not isinstance(tree, dict):
        raise errors.UsageError(
            f"the patch is of type {type(tree).__name__}; allowed: an object",
            step="patch",
        )
    return tree


def _wait_in_force(
    session: session_module.Session, version: int, limit_s: float
) -> None:
    def is_reached(answer: dict[str, Any]) -> bool:
        return bool(answer["everywhere"]) and answer["lowest"] >= version

    session.wait(STATUS_PATH, is_reached, _describe_status, limit_s)


def _describe_status(answer: dict[str, Any]) -> str:
    if not answer["instances_listed"]:
        return (
            f"version {answer['version']} is in force at the addressed "
            "instance, which has not read the instance list yet"
        )
    newest = answer["version"]
    count = sum(1 for held in answer["in_force"].values() if held == newest)
    total = len(answer["in_force"]) + len(answer["unreachable"])
    text = f"version {newest} is in force in {count} of {total} instances"
    if answer["unreachable"]:
        text += f"; unreachable: {', '.join(answer['unreachable'])}"
    return text
