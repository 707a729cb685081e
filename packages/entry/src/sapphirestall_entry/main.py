"""Command line of the entry daemon."""

import asyncio
import pathlib
import sys

import click

from sapphirestall_core import errors
from sapphirestall_entry import composition
from sapphirestall_entry import logs
from sapphirestall_entry import settings

EXIT_CODES = """
\b
Exit codes:
  0  graceful shutdown after SIGTERM or SIGINT
  1  internal error
  2  invalid command-line arguments
  3  the settings file is invalid; all errors in it are printed
  6  an address cannot be listened on
"""


@click.command(epilog=EXIT_CODES)
@click.argument(
    "settings_file",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
)
@click.option(
    "--check", is_flag=True, help="Checks the settings file and exits."
)
def serve(settings_file: pathlib.Path, check: bool) -> None:
    """Runs an entry instance with the YAML settings in SETTINGS_FILE.

    SIGTERM starts a graceful shutdown; a second one ends the process at once.
    """
    loaded = settings.load(settings_file)
    if check:
        click.echo("the settings are valid")
        return
    logs.configure(loaded.log_level)
    asyncio.run(composition.run(loaded))


def run() -> None:
    """Runs the command and maps errors to exit codes."""
    try:
        serve(standalone_mode=False)
    except errors.SapphirestallError as error:
        click.echo(f"{error.code}: {error.detail}", err=True)
        sys.exit(error.exit_code)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)


if __name__ == "__main__":
    run()
