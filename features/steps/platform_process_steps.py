"""Steps for platform_process.feature."""

import contextlib
import logging
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import behave

from sapphirestall_entry import logs
from sapphirestall_platform import settings

EXIT_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.01
# Runs the process with a closed standard output.
CLOSED_OUTPUT = (
    "import os, sys; os.close(1);"
    " os.execv(sys.executable, [sys.executable, *sys.argv[1:]])"
)
PROGRAM = ("-m", "sapphirestall_platform")


def start_process(context, stdout, *options):
    """Starts a process whose settings are read from a pipe."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = pathlib.Path(directory.name, "boot.conf")
    os.mkfifo(path)
    context.process = subprocess.Popen(
        [sys.executable, *options, *PROGRAM],
        env={**os.environ, settings.PATH_VARIABLE: str(path)},
        stdout=stdout,
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.process.kill)
    context.settings = open_when_read(path, context.process)


def open_when_read(path, process):
    """Opens a pipe for writing once the process reads from it."""
    while process.poll() is None:
        with contextlib.suppress(OSError):
            return os.fdopen(os.open(path, os.O_WRONLY | os.O_NONBLOCK), "w")
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"exited with code {process.returncode}")


@behave.given("a process that is reading its settings")
def step(context):
    start_process(context, subprocess.DEVNULL)


@behave.given("a process whose output is closed")
def step(context):
    start_process(context, None, "-c", CLOSED_OUTPUT)


@behave.given("a process whose output is full")
def step(context):
    with open("/dev/full", "w") as full:
        start_process(context, full)


@behave.given("a process whose output is unread")
def step(context):
    reader, writer = os.pipe()
    os.close(reader)
    start_process(context, writer)
    os.close(writer)


@behave.when("it gets the signal SIGHUP")
def step(context):
    context.process.send_signal(signal.SIGHUP)


@behave.when("its settings are invalid")
def step(context):
    context.settings.close()


@behave.then("it exits with code {code:d}")
def step(context, code):
    assert context.process.wait(EXIT_TIMEOUT_S) == code, context.process


@behave.when("a process logs a text with half a surrogate pair")
def step(context):
    reader, writer = os.pipe()
    record = logging.LogRecord("x", logging.ERROR, "", 0, "\ud800", (), None)
    logs.StdoutHandler(writer).emit(record)
    context.line = os.read(reader, 100)


@behave.then("the line has the text escaped")
def step(context):
    assert context.line == b"\\ud800\n", context.line
