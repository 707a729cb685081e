"""Steps for tool.feature."""

import asyncio
import os
import pathlib
import re
import shlex
import socket
import subprocess
import sys
import tempfile
import threading
import time

import aiohttp
import behave

from sapphirestall_core import errors
from standins import fleet as fleet_module

JOB = (
    "--data-centre sefrou --team press --kind tally --tasks 2 --run-s 0.2 "
    "--memory-mb 100"
)
FILES = {
    "GOOD": '{"teams": {"press": {"cpu_millis": 9000}}}',
    "BAD": "{colour: red}",
    "LIST": "[1]",
}


def run_module(module, arguments, address):
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
        env=os.environ | {"SAPPHIRESTALL_ADDRESS": address},
    )


def run_tool(context, command):
    words = shlex.split(command.replace(" JOB", f" {JOB}"))
    if "JOB" in command and "--run-s 600" in command:
        words[words.index("0.2")] = "600"
    words = [
        str(context.directory / word) if word in FILES else word
        for word in words
    ]
    return run_module("sapphirestall_operator.main", words, context.address)


def write_patches(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = pathlib.Path(directory.name)
    for name, text in FILES.items():
        (context.directory / name).write_text(text, encoding="utf-8")


@behave.given("a running deployment for the operators' tool")
def step(context):
    write_patches(context)
    fleet = fleet_module.Fleet()
    context.add_cleanup(fleet.stop)
    fleet.add_store()
    fleet.add_worker("worker", "sefrou", "rack")
    fleet.add_entry("entry", "sefrou")
    context.address = fleet.entries["entry"].operators

    async def prepare():
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.publish(session)
            url = f"http://{context.address}/v1/configuration/status"
            async with asyncio.timeout(30):
                while True:
                    async with session.get(url) as response:
                        status = await response.json()
                    if status["instances_listed"]:
                        return
                    await asyncio.sleep(0.1)

    asyncio.run(prepare())
    wait_for_partition(context)


def wait_for_partition(context):
    """Waits until the partition has an owner, which refuses this job."""
    command = "job submit big JOB --memory-mb 999999999"
    deadline = time.monotonic() + 30
    while "no_partition" in run_tool(context, command).stderr:
        assert time.monotonic() < deadline, "the partition has no owner"


@behave.then("these commands exit with the code and print the text")
def step(context):
    failures = []
    for row in context.table:
        process = run_tool(context, row["command"])
        text = process.stdout + process.stderr
        if process.returncode != int(row["code"]) or row["text"] not in text:
            failures.append((row["command"], process.returncode, text))
        assert "Traceback" not in text, text
    assert not failures, "\n".join(map(str, failures))


def serve(listener, behaviour):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        with connection:
            connection.recv(65536)
            if behaviour == "answers text":
                head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                connection.sendall(head.encode())


@behave.given("an operators' address that {behaviour}")
def step(context, behaviour):
    write_patches(context)
    listener = socket.create_server(("127.0.0.1", 0))
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    if behaviour == "refuses connections":
        listener.close()
        return
    thread = threading.Thread(target=serve, args=(listener, behaviour))
    thread.start()

    def end():
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(10)

    context.add_cleanup(end)


@behave.then(
    'the command "{command}" exits with code {code:d} and prints "{text}"'
)
def step(context, command, code, text):
    process = run_tool(context, command)
    output = process.stdout + process.stderr
    assert process.returncode == code, (process.returncode, output)
    assert text in output, output


@behave.when("the help of the tool and of the daemon are read")
def step(context):
    modules = ("sapphirestall_operator.main", "sapphirestall_entry.main")
    context.codes = set()
    for module in modules:
        process = run_module(module, ["--help"], "127.0.0.1:1")
        listed = process.stdout.partition("Exit codes:")[2]
        context.codes |= {int(n) for n in re.findall(r"^ +(\d) ", listed, re.M)}


def list_errors(base):
    for error in base.__subclasses__():
        yield error
        yield from list_errors(error)


@behave.then("every exit code of the error classes is in one of them")
def step(context):
    used = {e.exit_code for e in list_errors(errors.SapphirestallError)}
    assert used <= context.codes, used - context.codes
