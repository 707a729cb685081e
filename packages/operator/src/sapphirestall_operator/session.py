"""Session of the tool: the client and the output format of a command."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs
import click

from sapphirestall_core import errors
from sapphirestall_operator import client as client_module
from sapphirestall_operator import output

POLL_PERIOD_S = 1.0


@attrs.frozen
class Session:
    """Context of one command.

    Attributes:
        client: Client of the entry instance.
        form: Output format, `table` or `json`.
    """

    client: client_module.Client
    form: str = "table"

    def call(
        self, method: str, path: str, body: object = None
    ) -> dict[str, Any]:
        """Sends a call and returns the answer."""
        return asyncio.run(self.client.call(method, path, body))

    def show(
        self,
        answer: dict[str, Any],
        rows: str = "",
        columns: tuple[str, ...] = (),
    ) -> None:
        """Prints an answer in the output format.

        Args:
            answer: Answer of the entry instance.
            rows: Field of the answer that is printed as a table; empty prints
                all fields.
            columns: Names of the fields that are the table's columns.
        """
        if self.form == "json":
            output.show_json(answer)
        elif rows:
            output.show_table(answer.get(rows, []), columns)
        else:
            output.show_fields(answer)

    def wait(
        self,
        path: str,
        is_reached: Callable[[dict[str, Any]], bool],
        describe: Callable[[dict[str, Any]], str],
        limit_s: float,
    ) -> dict[str, Any]:
        """Polls a resource until a state is reached.

        Progress is written to standard error, one line for each change.

        Args:
            path: Path of the resource.
            is_reached: Returns whether the state is reached.
            describe: Returns the progress as one line.
            limit_s: Time limit, in seconds.

        Returns:
            The answer with which the state was reached.

        Raises:
            errors.WaitTimeoutError: The state was not reached in time; what was
                requested continues.
        """
        deadline = time.monotonic() + limit_s
        previous = ""
        while True:
            answer = self._read(path)
            text = describe(answer) if answer else "no answer, retrying"
            if text != previous:
                click.echo(text, err=True)
                previous = text
            if answer and is_reached(answer):
                return answer
            if time.monotonic() + POLL_PERIOD_S > deadline:
                raise errors.WaitTimeoutError(
                    f"not reached within {limit_s:g} s: {text}",
                    step="wait",
                    peer=self.client.address,
                )
            time.sleep(POLL_PERIOD_S)

    def _read(self, path: str) -> dict[str, Any]:
        # A wait may take hours; a restart of the instance must not end it.
        try:
            return self.call("GET", path)
        except errors.UnreachableError:
            return {}


wait_options = (
    click.option("--wait", is_flag=True, help="Waits and shows progress."),
    click.option(
        "--wait-s",
        type=click.FloatRange(min=0, min_open=True),
        default=600.0,
        show_default=True,
        help="Longest time to wait, in seconds.",
    ),
)


def add_wait_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds `--wait` and `--wait-s` to a command."""
    for option in reversed(wait_options):
        command = option(command)
    return command
