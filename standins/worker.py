"""Stand-in for a worker of the entry daemon; it runs tasks under leases.

`POST /faults` sets the faults that it simulates; see `Faults`.
"""

import time
import uuid

from aiohttp import web
import attrs
import click

from standins import worker_model


@attrs.define
class Faults:
    """Simulated faults; the field names are the keys of the JSON body.

    Attributes:
        fail_starts: Every start fails.
        lose_answers: Number of further calls that take effect but whose answer
            is lost.
    """

    fail_starts: bool = False
    lose_answers: int = 0


WORKER = web.AppKey("worker", worker_model.Worker)
FAULTS = web.AppKey("faults", Faults)


def make_refusal(worker: worker_model.Worker, code: str) -> web.Response:
    """Returns the answer to a refused call."""
    body = {"code": code, "highest_epoch": worker.highest_epoch}
    return web.json_response(body, status=409)


@web.middleware
async def check_fence(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    """Refuses outdated calls, and drops answers while this fault is set."""
    worker = request.app[WORKER]
    worker.advance(time.monotonic())
    if request.path in ("/faults", "/starts"):
        return await handler(request)
    body = await request.json()
    fenced = request.path != "/poll" or body["renew"]
    expires_at = body["expires_at"] if fenced else None
    try:
        worker.admit(
            body["owner"],
            body["epoch"],
            expires_at,
            body.get("incarnation", ""),
        )
        response = await handler(request)
    except worker_model.RefusalError as error:
        return make_refusal(worker, error.code)
    faults = request.app[FAULTS]
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        if request.transport:
            request.transport.abort()
    return response


async def poll(request: web.Request) -> web.Response:
    """Renews leases, removes acknowledged tasks and reports the inventory."""
    worker = request.app[WORKER]
    body = await request.json()
    for name in body["renew"]:
        worker.renew(format_name(name), body["lease_s"])
    for name in body["acknowledge"]:
        worker.acknowledge(format_name(name))
    report = {
        "clock": worker.now,
        "highest_epoch": worker.highest_epoch,
        "incarnation": worker.incarnation,
        "capacity": attrs.asdict(worker.capacity),
        "tasks": [render(t, worker.now) for t in worker.tasks.values()],
    }
    return web.json_response(report)


def format_name(name: dict[str, object]) -> str:
    """Returns the path form of an attempt's name."""
    return f"{name['job_id']}.{name['task']}.{name['attempt']}"


def parse_name(text: str) -> dict[str, object]:
    """Returns the JSON form of an attempt's name."""
    job_id, task, attempt = text.rsplit(".", 2)
    return {"job_id": job_id, "task": int(task), "attempt": int(attempt)}


def render(task: worker_model.Task, now: float) -> dict[str, object]:
    """Returns the JSON form of a task."""
    reserved = attrs.asdict(task.reserved)
    return {
        "name": parse_name(task.name),
        "state": task.state,
        "reserved": reserved,
        "usage": reserved,
        "lease_left_s": task.lease_until - now,
        "checkpoint": task.checkpoint,
        "kind": task.kind,
        "throttle": task.throttle,
    }


async def start(request: web.Request) -> web.Response:
    """Starts an attempt."""
    worker = request.app[WORKER]
    body = await request.json()
    worker.start(
        worker_model.Task(
            format_name(body["name"]),
            body["kind"],
            worker_model.Amount(**body["reserved"]),
            body["run_s"],
            worker.now + body["lease_s"],
            checkpoint=body["checkpoint"],
            start_expires_at=body["expires_at"],
        )
    )
    return web.json_response({})


async def run_command(request: web.Request) -> web.Response:
    """Checkpoints, throttles or stops an attempt."""
    name = request.match_info["name"]
    task = request.app[WORKER].find_running(name)
    match request.match_info["command"]:
        case "checkpoint":
            request.app[WORKER].take_checkpoint(task)
        case "throttle":
            task.throttle = (await request.json())["share"]
        case "stop":
            task.state = "stopped"
    return web.json_response({"checkpoint": task.checkpoint})


async def set_faults(request: web.Request) -> web.Response:
    """Sets the simulated faults."""
    faults = Faults(**await request.json())
    request.app[FAULTS].lose_answers = faults.lose_answers
    request.app[WORKER].fail_starts = faults.fail_starts
    return web.json_response(attrs.asdict(faults))


async def show_starts(request: web.Request) -> web.Response:
    """Returns the names of all attempts that were started, in order."""
    return web.json_response(request.app[WORKER].started)


def build_app(capacity: worker_model.Amount) -> web.Application:
    """Returns the HTTP application of a worker with the given capacity."""
    app = web.Application(middlewares=[check_fence])
    app[WORKER] = worker_model.Worker(
        capacity, uuid.uuid4().hex, now=time.monotonic()
    )
    app[FAULTS] = Faults()
    app.add_routes(
        [
            web.post("/poll", poll),
            web.post("/tasks", start),
            web.post("/tasks/{name}/{command}", run_command),
            web.post("/faults", set_faults),
            web.get("/starts", show_starts),
        ]
    )
    return app


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--cpu-millis", type=int, default=32_000)
@click.option("--memory-mb", type=int, default=125_000)
@click.option("--accelerators", type=int, default=0)
def run(port: int, cpu_millis: int, memory_mb: int, accelerators: int) -> None:
    """Serves the stand-in until the process ends."""
    capacity = worker_model.Amount(cpu_millis, memory_mb, accelerators)
    web.run_app(build_app(capacity), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    run()
