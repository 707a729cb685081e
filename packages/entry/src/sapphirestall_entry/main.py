"""Command line of the entry daemon."""

import asyncio
import pathlib
import sys

import click

from sapphirestall_core import errors
from sapphirestall_entry import composition
from sapphirestall_entry import logs
from sapphirestall_entry import settings


@click.command()
@click.argument(
    "settings_file",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
)
def serve(settings_file: pathlib.Path) -> None:
    """Runs an entry instance with the settings in SETTINGS_FILE."""
    loaded = settings.load(settings_file)
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


if __name__ == "__main__":
    run()
