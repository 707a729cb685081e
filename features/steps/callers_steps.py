"""Steps for callers.feature."""

import asyncio
import json
import pathlib
import re

import behave

from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_entry import callers
from standins import executor as executor_module
from standins import local

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "callers.md"
LIMIT = local.MAX_BODY_BYTES

INPUTS = {
    "a deadline of 0": {"headers": {"Deadline-Ms": "0"}},
    "a deadline of soon": {"headers": {"Deadline-Ms": "soon"}},
    "a deadline of -5": {"headers": {"Deadline-Ms": "-5"}},
    "a deadline of 9999999": {"headers": {"Deadline-Ms": "9999999"}},
    "a key of 256 characters": {"headers": {"Idempotency-Key": "k" * 256}},
    "an empty key": {"headers": {"Idempotency-Key": ""}},
    "a request id with a space": {"headers": {"Request-Id": "a b"}},
    "a body over the limit": {"data": b"x" * (LIMIT + 1)},
    "an unknown operation": {"operation": "sing"},
    "no key": {"operation": "assign"},
    "an unknown path": {"operation": "compute/more"},
}
RAW = {
    "a GET": b"GET /v1/services/rota/compute HTTP/1.1\r\nHost: a\r\n\r\n",
    "bytes that are not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
    "a header without a name": (
        b"POST /v1/services/rota/compute HTTP/1.1\r\n: a\r\n\r\n"
    ),
}
FAULTS = {
    "swaps answers": {"cross": True},
    "truncates answers": {"truncate": True},
    "omits the length": {"unframed": True},
    "answers 20000 bytes": {"answer_bytes": 20000},
    "closes connections early": {"break_off": True},
    "answers after the timeout": {"freeze_s": 2.0},
    "refuses everything": {"refuse_all": True},
}


async def stream_body(size):
    for _ in range(size // 1000 + 1):
        yield b"x" * 1000


async def send_raw(entry, data):
    """Sends raw bytes; returns the status and the problem of the answer."""
    host, _, port = entry.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


async def send_request(entry, name):
    if name in RAW:
        return await send_raw(entry, RAW[name])
    options = dict(INPUTS.get(name, {}))
    if name == "a chunked body over the limit":
        options["data"] = stream_body(LIMIT)
    operation = options.pop("operation", "compute")
    response, body = await entry.post(operation, **options)
    assert response.content_type == callers.PROBLEM_TYPE
    return response.status, json.loads(body)


async def wait_until(check):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + 10
    expired = False
    while not check():
        assert not expired, "the condition did not come true in 10 s"
        # After a stall of the process, timers that were due before the deadline
        # run in the next iteration, so the condition is checked once more.
        expired = loop.time() >= deadline
        await asyncio.sleep(0.01)


@behave.when("callers: {name} is sent")
def step(context, name):
    async def run():
        async with local.run() as entry:
            context.answer = await send_request(entry, name)
            context.entry = entry

    asyncio.run(run())


@behave.then("callers: the answer is {status:d} {code} with ran {ran}")
def step(context, status, code, ran):
    got_status, problem = context.answer
    got = (got_status, problem["code"], problem["ran"])
    assert got == (status, code, ran), context.answer
    assert problem["status"] == status


@behave.then(
    'callers: counter "{part}" of {code} is {count:d} '
    "and no request is in flight"
)
def step(context, part, code, count):
    assert context.entry.count_refusals(part, code) == count
    assert not context.entry.state.requests.in_flight
    assert not context.entry.executor.runs


@behave.when("callers: a request is sent to an executor that {fault}")
def step(context, fault):
    async def run():
        async with local.run() as entry:
            entry.executor.faults = executor_module.Faults(
                **FAULTS.get(fault, {})
            )
            if fault == "is not listening":
                listings = entry.state.members.listings
                name, listing = next(iter(listings.items()))
                listings[name] = type(listing)(
                    name,
                    listing.kind,
                    listing.data_centre,
                    "127.0.0.1:1",
                    service=listing.service,
                )
            headers = {"Deadline-Ms": "300"}
            response, body = await entry.post("compute", headers)
            context.answer = response.status, json.loads(body)

    asyncio.run(run())


@behave.when(
    "callers: {count:d} requests with different bodies are sent at once"
)
def step(context, count):
    async def run():
        async with local.run() as entry:
            calls = [
                entry.post(
                    "compute", {"Request-Id": f"id-{i}"}, data=f"gate {i}"
                )
                for i in range(count)
            ]
            context.answers = await asyncio.gather(*calls)

    asyncio.run(run())


@behave.then("callers: each gets the complete answer to its body, with its id")
def step(context):
    for index, (response, body) in enumerate(context.answers):
        assert body == f"executor-0 ran gate {index}".encode(), body
        assert response.headers["Request-Id"] == f"id-{index}"


@behave.when("callers: a caller disconnects while its request waits for a slot")
def step(context):
    async def run():
        async with local.run() as entry:
            context.entry = entry
            in_flight = entry.state.requests.in_flight
            entry.state.requests.slots.executors.clear()
            slots = entry.state.requests.slots
            entry.executor.faults.freeze_s = 0.5
            running = [
                asyncio.create_task(entry.post("compute")) for _ in range(8)
            ]
            await wait_until(lambda: len(in_flight) == 8)
            assert slots.executors["executor-0"].in_use == 8
            leaving = asyncio.create_task(entry.post("compute"))
            await wait_until(lambda: len(in_flight) == 9)
            leaving.cancel()
            await wait_until(lambda: len(in_flight) == 8)
            await asyncio.gather(*running)

    asyncio.run(run())


@behave.then(
    'callers: nothing is in flight and counter "{part}" of {code} is {count:d}'
)
def step(context, part, code, count):
    assert not context.entry.state.requests.in_flight
    assert context.entry.count_refusals(part, code) == count
    assert sum(context.entry.executor.runs.values()) == 8


@behave.when("callers: a shutdown is requested while {count:d} requests run")
def step(context, count):
    async def run():
        async with local.run() as entry:
            entry.executor.faults.freeze_s = 0.4
            calls = [
                asyncio.create_task(entry.post("compute")) for _ in range(count)
            ]
            await wait_until(lambda: entry.executor.running == count)
            entry.context.feed(messages.ShutdownRequested())
            await wait_until(lambda: entry.state.draining)
            _, body = await entry.post("compute")
            context.refused = json.loads(body)
            await entry.context.exit.wait()
            entry.server.stop()
            context.answers = await asyncio.gather(*calls)

    asyncio.run(run())


@behave.then(
    "callers: all {count:d} are answered and a later one is refused with {code}"
)
def step(context, count, code):
    assert [r.status for r, _ in context.answers] == [200] * count
    assert context.refused["code"] == code, context.refused


@behave.then(
    "callers: docs/callers.md lists exactly the codes, with their statuses"
)
def step(context):
    rows = re.findall(
        r"^\| `(\w+)` \| (\d+|-)", PAGE.read_text(encoding="utf-8"), re.M
    )
    listed = dict(rows)
    assert set(listed) == {str(code) for code in outcomes.Code}
    for code, status in callers.STATUSES.items():
        assert listed[code] == str(status), code
