"""Output formats of answers."""

import json
from typing import Any

import click

EMPTY_CELL = "-"


def show_json(answer: object) -> None:
    """Prints an answer as indented JSON."""
    click.echo(json.dumps(answer, indent=2))


def show_fields(answer: dict[str, Any]) -> None:
    """Prints the fields of an answer, one per line, with aligned values."""
    width = max((len(name) for name in answer), default=0)
    for name, value in answer.items():
        click.echo(f"{name.ljust(width)}  {format_value(value)}")


def show_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Prints rows as a table with column headings, or `none`.

    Args:
        rows: Rows, as maps from field names to values.
        columns: Names of the fields to print.
    """
    if not rows:
        click.echo("none")
        return
    lines = [[name.replace("_", " ").upper() for name in columns]]
    lines += [[format_value(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = (c.ljust(w) for c, w in zip(line, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def format_value(value: object) -> str:
    """Returns the text of a value in a table."""
    if value is None or value in ("", [], {}):
        return EMPTY_CELL
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(format_value(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)
