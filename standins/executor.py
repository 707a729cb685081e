"""Stand-in for a backend server that runs requests in slots.

`POST /faults` sets the faults that it simulates; see `Faults`.
"""

import asyncio
import collections

from aiohttp import web
import attrs
import click


@attrs.define
class Faults:
    """Simulated faults; the field names are the keys of the JSON body.

    Attributes:
        leaving: Report that the executor is leaving.
        freeze_s: Delay before each answer, in seconds.
        refuse_all: Refuse each request as if all slots were in use.
        truncate: Close the connection within the body of the answer.
        cross: Answer with the id of another attempt.
        unframed: Answer without a length.
        break_off: Close the connection before the answer.
        answer_bytes: Length of the answer, in bytes; 0 for the usual answer.
    """

    leaving: bool = False
    freeze_s: float = 0.0
    refuse_all: bool = False
    truncate: bool = False
    cross: bool = False
    unframed: bool = False
    break_off: bool = False
    answer_bytes: int = 0


@attrs.define
class Executor:
    """An executor.

    Attributes:
        name: Its name, which is part of each answer.
        slots: Number of requests that it runs at once.
        work_s: Time that each request takes, in seconds.
        running: Number of requests that run now.
        runs: Number of runs by request id.
        faults: Simulated faults.
    """

    name: str
    slots: int
    work_s: float
    running: int = 0
    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    faults: Faults = attrs.field(factory=Faults)


EXECUTOR = web.AppKey("executor", Executor)


async def run_operation(request: web.Request) -> web.StreamResponse:
    """Runs a request, or refuses it if no slot is free."""
    executor = request.app[EXECUTOR]
    faults = executor.faults
    headers = {
        "Attempt-Id": request.headers["Attempt-Id"],
        "X-State": "leaving" if faults.leaving else "live",
    }
    if faults.refuse_all or executor.running >= executor.slots:
        headers["X-Not-Run"] = "1"
        return web.Response(status=503, headers=headers)
    executor.running += 1
    try:
        executor.runs[request.headers["Request-Id"]] += 1
        body = await request.read()
        await asyncio.sleep(executor.work_s + faults.freeze_s)
    finally:
        executor.running -= 1
    if faults.cross:
        headers["Attempt-Id"] = "another"
    answer = b"%s ran %s" % (executor.name.encode(), body)
    answer = answer if not faults.answer_bytes else b"x" * faults.answer_bytes
    if faults.truncate or faults.unframed or faults.break_off:
        return _send_faulty_answer(request, headers, answer, faults)
    return web.Response(body=answer, headers=headers)


def _send_faulty_answer(
    request: web.Request, headers: dict[str, str], answer: bytes, faults: Faults
) -> web.StreamResponse:
    """Sends a faulty answer, if any, and closes the connection."""
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
    if not faults.unframed:
        lines.append(f"Content-Length: {len(answer) + 10}")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    assert request.transport is not None
    if not faults.break_off:
        request.transport.write(head + answer)
    request.transport.close()
    return web.Response()


async def show_health(request: web.Request) -> web.Response:
    """Returns whether the executor is live or leaving."""
    executor = request.app[EXECUTOR]
    state = "leaving" if executor.faults.leaving else "live"
    return web.json_response({"state": state, "incarnation": executor.name})


async def set_faults(request: web.Request) -> web.Response:
    """Sets the simulated faults."""
    executor = request.app[EXECUTOR]
    executor.faults = Faults(**await request.json())
    return web.json_response(attrs.asdict(executor.faults))


async def show_runs(request: web.Request) -> web.Response:
    """Returns the number of runs by request id."""
    return web.json_response(dict(request.app[EXECUTOR].runs))


def build_app(name: str, slots: int, work_s: float) -> web.Application:
    """Returns the HTTP application of an executor."""
    app = web.Application()
    app[EXECUTOR] = Executor(name, slots, work_s)
    app.add_routes(
        [
            web.post("/run/{operation}", run_operation),
            web.get("/health", show_health),
            web.post("/faults", set_faults),
            web.get("/runs", show_runs),
        ]
    )
    return app


@click.command()
@click.option("--name", required=True)
@click.option("--port", type=int, required=True)
@click.option("--slots", type=int, default=8)
@click.option("--work-s", type=float, default=0.01)
def run(name: str, port: int, slots: int, work_s: float) -> None:
    """Serves the stand-in until the process ends."""
    app = build_app(name, slots, work_s)
    web.run_app(app, host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    run()
