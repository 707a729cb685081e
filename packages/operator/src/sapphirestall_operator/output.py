"""Forms in which answers are printed."""

import json
from typing import Any

import click

MISSING = "-"


def show_json(answer: object) -> None:
    """Prints an answer as it came."""
    click.echo(json.dumps(answer, indent=2))


def show_fields(answer: dict[str, Any]) -> None:
    """Prints one field a line, with aligned values."""
    width = max((len(name) for name in answer), default=0)
    for name, value in answer.items():
        click.echo(f"{name.ljust(width)}  {format_value(value)}")


def show_table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Prints rows under column heads; says so when there is none."""
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
    """Returns the short form of a value in a table."""
    if value is None or value in ("", [], {}):
        return MISSING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(format_value(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)
