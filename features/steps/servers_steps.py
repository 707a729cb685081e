"""Steps for servers.feature."""

import asyncio
import socket
import subprocess
import sys

import behave

from sapphirestall_core import errors
from sapphirestall_entry import background
from sapphirestall_entry import servers
from standins import fleet

EXIT_LIMIT_S = 30


@behave.given("an entry daemon whose peer port is in use")
def step(context):
    context.bound = socket.create_server((fleet.HOST, fleet.find_port()))
    context.add_cleanup(context.bound.close)
    context.fleet = fleet.Fleet()
    context.settings = context.fleet.directory / "entry.yaml"
    lines = [
        "instance_id: entry-1",
        "data_centre: sefrou",
        f"callers_listen: {fleet.HOST}:{fleet.find_port()}",
        f"operators_listen: {fleet.HOST}:{fleet.find_port()}",
        f"peers_listen: {fleet.HOST}:{context.bound.getsockname()[1]}",
        f"store_address: {fleet.HOST}:{fleet.find_port()}",
    ]
    context.settings.write_text("\n".join(lines), encoding="utf-8")


@behave.when("the daemon is started")
def step(context):
    context.process = subprocess.run(
        [sys.executable, "-m", "sapphirestall_entry.main", context.settings],
        capture_output=True,
        text=True,
        timeout=EXIT_LIMIT_S,
        check=False,
    )


@behave.then('it exits with code {code:d} and names the error "{name}"')
def step(context, code, name):
    assert context.process.returncode == code, context.process
    assert name in context.process.stderr, context.process.stderr


@behave.when("a socket is opened on {address}")
def step(context, address):
    try:
        servers.open_socket(address).close()
    except errors.ListenError as error:
        context.error = error


@behave.then('the error "{code}" names {address}')
def step(context, code, address):
    assert (context.error.code, context.error.peer) == (code, address)


@behave.given("a background task that waits")
def step(context):
    context.faults = []
    context.continued = []
    context.background = background.Background(
        lambda place, error: context.faults.append(error)
    )

    async def work(name, seconds):
        await asyncio.sleep(seconds)
        context.continued.append(name)

    context.work = work


@behave.when("the background tasks are stopped and another one is started")
def step(context):
    async def stop():
        context.background.spawn(context.work("before", 0.05))
        await asyncio.sleep(0)
        await context.background.stop()
        context.background.spawn(context.work("after", 0.0))
        await asyncio.sleep(0.1)

    asyncio.run(stop())


@behave.then("neither task continues and no fault is reported")
def step(context):
    assert not context.continued, context.continued
    assert not context.faults, context.faults
