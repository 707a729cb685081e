"""Stand-in for the entry daemon's key-value store and instance list.

It is a single process with its state in memory. `POST /faults` sets the faults
that it simulates; see `Faults`.
"""

import asyncio
import collections
import hashlib
import json
import time

from aiohttp import web
import attrs
import click

from standins import store_model

# Largest value. A request body may be twice as long, for its other fields.
MAX_VALUE_BYTES = 1_000_000


@attrs.define
class Faults:
    """Simulated faults; the field names are the keys of the JSON body.

    Attributes:
        down: Every call fails.
        slow_s: Delay before each answer, in seconds.
        lose_answers: Number of further writes that take effect but whose answer
            is lost.
        body: Body that is sent instead of every answer, such as truncated or
            wrong JSON; empty for the answers themselves.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    body: str = ""


@attrs.define
class Platform:
    """State of the stand-in.

    Attributes:
        store: Keys and leases.
        instances: The instance list.
        counts: Number of calls by method and first part of the path.
        faults: Simulated faults.
        changed: Notified after each write.
    """

    store: store_model.Store = attrs.field(factory=store_model.Store)
    instances: list[dict[str, object]] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    faults: Faults = attrs.field(factory=Faults)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)


def render(item: store_model.Item) -> dict[str, object]:
    """Returns the JSON form of a key and its value."""
    return attrs.asdict(item)


PLATFORM = web.AppKey("platform", Platform)


@web.middleware
async def apply_faults(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    """Counts the call and simulates the faults that are set."""
    platform = request.app[PLATFORM]
    if request.path in ("/faults", "/counts"):
        return await handler(request)
    platform.counts[f"{request.method} /{request.path.split('/')[1]}"] += 1
    faults = platform.faults
    if faults.slow_s:
        await asyncio.sleep(faults.slow_s)
    if faults.down:
        raise web.HTTPServiceUnavailable(text="down")
    platform.store.expire_leases(time.monotonic())
    try:
        response = await handler(request)
    except store_model.VersionMismatchError as error:
        return web.json_response({"version": error.version}, status=409)
    except store_model.LeaseLostError as error:
        return web.json_response({"lease_id": str(error)}, status=410)
    if faults.body:
        return web.Response(text=faults.body, content_type="application/json")
    if request.method in ("PUT", "DELETE") and faults.lose_answers > 0:
        faults.lose_answers -= 1
        if request.transport:
            request.transport.abort()
    return response


async def get_item(request: web.Request) -> web.Response:
    """Returns a key with its value, or status 404 if it is absent."""
    store = request.app[PLATFORM].store
    item = store.items.get(request.match_info["key"])
    if item is None:
        return web.json_response({"code": "absent"}, status=404)
    return web.json_response(render(item))


async def put_item(request: web.Request) -> web.Response:
    """Writes a key if its version is the expected one."""
    platform = request.app[PLATFORM]
    body = await request.json()
    item = platform.store.put(
        request.match_info["key"],
        body["value"],
        body["expected_version"],
        body.get("lease_id"),
    )
    await _notify(platform)
    return web.json_response(render(item))


async def delete_item(request: web.Request) -> web.Response:
    """Deletes a key if its version is the expected one."""
    platform = request.app[PLATFORM]
    expected = int(request.query["expected_version"])
    item = platform.store.delete(request.match_info["key"], expected)
    await _notify(platform)
    return web.json_response(render(item))


async def list_items(request: web.Request) -> web.Response:
    """Returns all keys with a prefix."""
    store = request.app[PLATFORM].store
    entries = [render(item) for item in store.find(request.query["prefix"])]
    return web.json_response({"entries": entries, "revision": store.revision})


async def grant_lease(request: web.Request) -> web.Response:
    """Grants a lease."""
    body = await request.json()
    lease = request.app[PLATFORM].store.grant(
        float(body["ttl_s"]), time.monotonic()
    )
    return web.json_response(attrs.asdict(lease))


async def renew_lease(request: web.Request) -> web.Response:
    """Renews a lease."""
    lease = request.app[PLATFORM].store.renew(
        request.match_info["lease_id"], time.monotonic()
    )
    return web.json_response(attrs.asdict(lease))


async def watch(request: web.Request) -> web.Response:
    """Waits for a change under a prefix after a revision."""
    platform = request.app[PLATFORM]
    prefix = request.match_info["prefix"]
    after = int(request.query["after"])
    changed = True
    try:
        async with asyncio.timeout(float(request.query["wait_s"])):
            async with platform.changed:
                await platform.changed.wait_for(
                    lambda: platform.store.has_changed(prefix, after)
                )
    except TimeoutError:
        changed = False
    return web.json_response(
        {"changed": changed, "revision": platform.store.revision}
    )


async def list_instances(request: web.Request) -> web.Response:
    """Returns the instance list unless the caller has the current one."""
    text = json.dumps(request.app[PLATFORM].instances)
    tag = f'"{hashlib.blake2b(text.encode(), digest_size=8).hexdigest()}"'
    headers = {"ETag": tag}
    if request.headers.get("If-None-Match") == tag:
        return web.Response(status=304, headers=headers)
    response = web.Response(
        text=text, content_type="application/json", headers=headers
    )
    response.enable_compression()
    return response


async def set_instances(request: web.Request) -> web.Response:
    """Replaces the instance list, which a test may set late or outdated."""
    request.app[PLATFORM].instances = await request.json()
    return web.json_response({})


async def set_faults(request: web.Request) -> web.Response:
    """Sets the simulated faults."""
    platform = request.app[PLATFORM]
    platform.faults = Faults(**await request.json())
    return web.json_response(attrs.asdict(platform.faults))


async def show_counts(request: web.Request) -> web.Response:
    """Returns the number of calls of each kind."""
    return web.json_response(dict(request.app[PLATFORM].counts))


async def _notify(platform: Platform) -> None:
    async with platform.changed:
        platform.changed.notify_all()


def build_app() -> web.Application:
    """Returns the HTTP application of a store without keys."""
    app = web.Application(
        middlewares=[apply_faults], client_max_size=2 * MAX_VALUE_BYTES
    )
    app[PLATFORM] = Platform()
    app.add_routes(
        [
            web.get("/kv", list_items),
            web.get("/kv/{key:.+}", get_item),
            web.put("/kv/{key:.+}", put_item),
            web.delete("/kv/{key:.+}", delete_item),
            web.post("/leases", grant_lease),
            web.post("/leases/{lease_id}/renew", renew_lease),
            web.get("/watch/{prefix:.+}", watch),
            web.get("/instances", list_instances),
            web.put("/instances", set_instances),
            web.post("/faults", set_faults),
            web.get("/counts", show_counts),
        ]
    )
    return app


@click.command()
@click.option("--port", type=int, required=True)
def run(port: int) -> None:
    """Serves the stand-in until the process ends."""
    web.run_app(build_app(), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    run()
