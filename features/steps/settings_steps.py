"""Steps for settings.feature."""

import pathlib
import subprocess
import sys
import tempfile

import behave
import yaml

from sapphirestall_entry import settings

VALID = {
    "instance_id": "entry-1",
    "data_centre": "sefrou",
    "callers_listen": "127.0.0.1:8001",
    "operators_listen": "127.0.0.1:8002",
    "peers_listen": "127.0.0.1:8003",
    "store_address": "127.0.0.1:8004",
}


def write_settings(context, content):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name) / "entry.yaml"
    context.path.write_bytes(content)


@behave.given("a settings file with")
def step(context):
    write_settings(context, context.text.encode())


@behave.given("a settings file with the content {content}")
def step(context, content):
    raw = content.encode().decode("unicode_escape").encode("latin-1")
    write_settings(context, raw)


@behave.when("the settings are checked by the daemon")
def step(context):
    command = [sys.executable, "-m", "sapphirestall_entry.main", "--check"]
    context.process = subprocess.run(
        [*command, str(context.path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@behave.then(
    "the daemon exits with code {code:d} and prints exactly these errors"
)
def step(context, code):
    assert context.process.returncode == code, context.process
    text = context.process.stderr.removeprefix("settings_invalid: ")
    lines = text.strip().splitlines()
    assert len(lines) == len(context.table.rows), lines
    for line, row in zip(lines, context.table, strict=True):
        path, _, rest = line.partition(": ")
        problem, _, allowed = rest.partition("; allowed: ")
        assert path == row["path"], line
        assert row["value"] in problem, line
        assert row["allowed"] in allowed, line


@behave.then("the daemon exits with code {code:d} and no traceback")
def step(context, code):
    assert context.process.returncode == code, context.process
    assert context.process.stderr.startswith("settings_invalid: ")
    assert "Traceback" not in context.process.stderr, context.process.stderr


@behave.given("valid settings with {name:w} set to {value}")
def step(context, name, value):
    assert not settings.list_invalid_settings(dict(VALID))
    context.tree = VALID | {name: yaml.safe_load(value)}


@behave.then("the settings have one error, at {name:w}")
def step(context, name):
    invalid = settings.list_invalid_settings(context.tree)
    assert [item.path for item in invalid] == [name], invalid
