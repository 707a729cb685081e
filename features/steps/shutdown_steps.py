"""Steps for shutdown.feature."""

import asyncio
import signal
import time

import aiohttp
import behave

from sapphirestall_core import heartbeats
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_core import state
from standins import fleet as fleet_module
from standins import virtual
from standins import worker_model

LIMIT_S = 30
RUN = {"repeatable": True, "timeout_s": 10.0}
PATCH = {"services": {"rota": {"operations": {"run": RUN}}}}


def send_request(world, node_id, request_id):
    world.deliver(
        world.nodes[node_id],
        request_messages.RequestArrived(
            request_id, "rota", "run", "", world.now + 60, b"x"
        ),
    )


def find_owner(world):
    found = world.store.items.get("owners/sefrou/rack")
    return found.value.instance_id if found else None


@behave.given("a configured entry instance with a peer, a worker and a request")
def step(context):
    world = context.world = virtual.make_world(1)
    for name in ("one", "two"):
        world.add_entry(name, "sefrou")
    world.add_worker(
        "worker", "sefrou", "rack", worker_model.Amount(8000, 8000, 0)
    )
    executor = world.add_executor("executor", "sefrou", "rota")
    world.run(10)
    command = operator_messages.PatchConfiguration("p", 0, PATCH)
    world.send_operator_command("one", command)
    assert world.run_until(lambda: find_owner(world) is not None, 30)
    world.run(5)
    context.leaving_id = find_owner(world)
    context.staying_id = {"one": "two", "two": "one"}[context.leaving_id]
    executor.work_s = 3.0
    send_request(world, context.leaving_id, "in flight")
    world.run(0.1)
    context.node = world.nodes[context.leaving_id]


def shut_down(context, limit_s, notice_s):
    context.node.state.shutdown = state.Shutdown(limit_s, notice_s)
    context.world.deliver(context.node, messages.ShutdownRequested())


@behave.when(
    "it is shut down with a notice period of {notice:d} s and a limit of "
    "{limit:d} s"
)
def step(context, notice, limit):
    shut_down(context, float(limit), float(notice))


@behave.then("it is not ready at once and its peer considers it leaving")
def step(context):
    world = context.world
    call = world.send_operator_command(
        context.leaving_id, operator_messages.ShowReadiness()
    )
    assert not world.results[call].ready
    world.run(0.1)
    peer = world.nodes[context.staying_id].state.peers[context.leaving_id]
    assert peer.state is membership.State.LEAVING
    beat = heartbeats.make_heartbeat(context.node.state, world.now)
    assert beat.state is membership.State.LEAVING


@behave.then(
    "it accepts requests during the notice period and refuses them afterwards"
)
def step(context):
    world = context.world
    send_request(world, context.leaving_id, "during")
    assert not world.answers["during"]
    world.run(1)
    send_request(world, context.leaving_id, "after")
    (refusal,) = world.answers["after"]
    assert isinstance(refusal, outcomes.NotRun), refusal
    assert refusal.retry


@behave.then("it exits only after the request in flight was answered")
def step(context):
    world = context.world
    assert context.node.alive
    assert not world.answers["in flight"]
    assert world.run_until(lambda: not context.node.alive, 10)
    (answer,) = world.answers["in flight"]
    assert isinstance(answer, outcomes.Answered), answer
    (answer,) = world.answers["during"]
    assert isinstance(answer, outcomes.Answered), answer


@behave.then("the peer owns the partition within {limit:d} s of the exit")
def step(context, limit):
    world = context.world
    assert world.run_until(
        lambda: find_owner(world) == context.staying_id, limit
    )


@behave.when(
    "its request never ends and it is shut down with a limit of {limit:d} s"
)
def step(context, limit):
    world = context.world
    world.kill(context.staying_id)
    world.executors["executor"].work_s = 1000.0
    send_request(world, context.leaving_id, "stuck")
    shut_down(context, float(limit), 0.0)


@behave.then("it has exited after {most:f} s and not after {least:f} s")
def step(context, most, least):
    context.world.run(least)
    assert context.node.alive
    context.world.run(most - least)
    assert not context.node.alive


@behave.when("it is shut down twice")
def step(context):
    shut_down(context, 30.0, 1.0)
    context.world.deliver(context.node, messages.ShutdownRequested())


@behave.then("it has exited at once")
def step(context):
    assert not context.node.alive


@behave.given("a store and an entry daemon as processes")
def step(context):
    fleet = context.fleet = fleet_module.Fleet()
    context.add_cleanup(fleet.stop)
    fleet.add_store()
    fleet.add_entry("entry", "sefrou")
    context.url = f"http://{fleet.entries['entry'].operators}"
    asyncio.run(publish(fleet))


async def publish(fleet):
    async with aiohttp.ClientSession() as session:
        await fleet.wait_ready(session)
        await fleet.publish(session)


async def exchange(method, url, body=None):
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=body) as response,
    ):
        return response.status, await response.text()


def wait_for_status(url, status):
    ends_at = time.monotonic() + LIMIT_S
    while True:
        got, text = asyncio.run(exchange("GET", url))
        if got == status or time.monotonic() > ends_at:
            assert got == status, (got, text)
            return text
        time.sleep(0.1)


@behave.then("the daemon is alive but not ready without a configuration")
def step(context):
    wait_for_status(f"{context.url}/healthz", 200)
    text = wait_for_status(f"{context.url}/readyz", 503)
    assert "no configuration is in force" in text, text


@behave.then("the daemon is ready once a patch was accepted")
def step(context):
    body = {"patch_id": "p", "base_version": 0, "patch": PATCH}
    status, text = asyncio.run(
        exchange("PATCH", f"{context.url}/v1/configuration", body)
    )
    assert status == 200, text
    wait_for_status(f"{context.url}/readyz", 200)


@behave.then("after SIGTERM it is not ready and exits with code {code:d}")
def step(context, code):
    process = context.fleet.processes["entry"]
    process.send_signal(signal.SIGTERM)
    text = wait_for_status(f"{context.url}/readyz", 503)
    assert "shutting down" in text, text
    assert process.wait(LIMIT_S) == code


@behave.then("after two SIGTERM a restarted daemon exits with code {code:d}")
def step(context, code):
    context.fleet.start_entry("entry")
    asyncio.run(publish(context.fleet))
    process = context.fleet.processes["entry"]
    process.send_signal(signal.SIGTERM)
    wait_for_status(f"{context.url}/readyz", 503)
    process.send_signal(signal.SIGTERM)
    assert process.wait(LIMIT_S) == code
