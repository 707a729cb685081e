"""Command line of the operators' tool."""

import sys

import click

from sapphirestall_core import errors
from sapphirestall_operator import client
from sapphirestall_operator import configuration
from sapphirestall_operator import jobs
from sapphirestall_operator import session
from sapphirestall_operator import views

EXIT_CODES = """
\b
Exit codes:
  0  success
  1  internal error
  2  invalid command-line arguments
  4  the entry instance was unreachable or did not answer; nothing changed
  5  the entry instance refused the command; nothing changed
  7  the outcome is unknown; the command may have taken effect
  8  --wait timed out; what was requested continues
  9  --wait ended because the job failed or was cancelled
"""


@click.group(
    epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.option(
    "--address",
    envvar="SAPPHIRESTALL_ADDRESS",
    default="127.0.0.1:8002",
    show_default=True,
    show_envvar=True,
    help="Operators' address of any entry instance.",
)
@click.option(
    "--output",
    "form",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Format of the results on standard output.",
)
@click.pass_context
def tool(context: click.Context, address: str, form: str) -> None:
    """Submits jobs, patches the configuration and explains decisions.

    Results are written to standard output, progress and errors to standard
    error.
    """
    context.obj = session.Session(client.Client(address), form)


for command in (
    configuration.configuration,
    jobs.job,
    views.explain,
    views.partitions,
    views.workers,
):
    tool.add_command(command)


def run() -> None:
    """Runs the tool and maps errors to exit codes."""
    try:
        tool(standalone_mode=False)
    except errors.SapphirestallError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(error.exit_code)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)


if __name__ == "__main__":
    run()
