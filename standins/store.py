"""Stand-in for the platform's key-value store and instance list.

One process, state in memory. `POST /faults` sets the faults to show:
`down` (every call fails), `slow_s` (delay before each answer) and
`lose_answers` (number of writes whose answer is lost after they took effect).
"""

import asyncio
import collections
import time

from aiohttp import web
import attrs
import click

# A value may hold up to a megabyte; the envelope needs some more room.
MAX_VALUE_BYTES = 1_000_000


@attrs.define
class Item:
    """One key."""

    key: str
    value: object
    version: int
    create_revision: int
    revision: int
    lease_id: str | None = None


@attrs.define
class Lease:
    """One lease; its keys are deleted when it ends."""

    lease_id: str
    ttl_s: float
    ends_at: float


@attrs.define
class Faults:
    """Faults to show."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@attrs.define
class Store:
    """Keys, leases, instance list and counts of calls."""

    items: dict[str, Item] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)
    instances: list[dict[str, object]] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    revision: int = 0
    faults: Faults = attrs.field(factory=Faults)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)
    # Newest deletions, so that a watch sees them too.
    deletions: collections.deque[tuple[int, str]] = attrs.field(
        factory=lambda: collections.deque(maxlen=1024)
    )

    def expire_leases(self) -> None:
        """Deletes the keys of leases that ended."""
        now = time.monotonic()
        for lease in list(self.leases.values()):
            if lease.ends_at <= now:
                del self.leases[lease.lease_id]
                for item in list(self.items.values()):
                    if item.lease_id == lease.lease_id:
                        self.remove(item.key)

    def remove(self, key: str) -> None:
        """Deletes a key."""
        self.revision += 1
        self.deletions.append((self.revision, key))
        del self.items[key]

    def write(self, key: str, value: object, lease_id: str | None) -> Item:
        """Writes a key and returns it."""
        self.revision += 1
        item = self.items.get(key)
        if item is None:
            item = Item(key, value, 0, self.revision, 0, lease_id)
            self.items[key] = item
        item.value = value
        item.version += 1
        item.revision = self.revision
        return item

    def find_change(self, prefix: str, after: int) -> bool:
        """Tells whether anything under a prefix changed after a revision."""
        return any(
            item.revision > after
            for key, item in self.items.items()
            if key.startswith(prefix)
        ) or any(
            revision > after and key.startswith(prefix)
            for revision, key in self.deletions
        )


def render(item: Item) -> dict[str, object]:
    """Returns the JSON form of a key."""
    return attrs.asdict(item)


STORE = web.AppKey("store", Store)


@web.middleware
async def apply_faults(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    """Counts the call and shows the faults that are set."""
    store = request.app[STORE]
    if request.path in ("/faults", "/counts"):
        return await handler(request)
    store.counts[f"{request.method} /{request.path.split('/')[1]}"] += 1
    faults = store.faults
    if faults.slow_s:
        await asyncio.sleep(faults.slow_s)
    if faults.down:
        raise web.HTTPServiceUnavailable(text="down")
    store.expire_leases()
    response = await handler(request)
    if request.method in ("PUT", "DELETE") and faults.lose_answers > 0:
        faults.lose_answers -= 1
        if request.transport:
            request.transport.abort()
    return response


async def get_item(request: web.Request) -> web.Response:
    """Reads one key."""
    item = request.app[STORE].items.get(request.match_info["key"])
    if item is None:
        return web.json_response({"code": "absent"}, status=404)
    return web.json_response(render(item))


async def put_item(request: web.Request) -> web.Response:
    """Writes one key if its version is the expected one."""
    store = request.app[STORE]
    body = await request.json()
    key = request.match_info["key"]
    current = store.items[key].version if key in store.items else 0
    if body["expected_version"] != current:
        return web.json_response({"version": current}, status=409)
    lease_id = body.get("lease_id")
    if lease_id and lease_id not in store.leases:
        return web.json_response({"lease_id": lease_id}, status=410)
    item = store.write(key, body["value"], lease_id)
    await _notify(store)
    return web.json_response(render(item))


async def delete_item(request: web.Request) -> web.Response:
    """Deletes one key if its version is the expected one."""
    store = request.app[STORE]
    key = request.match_info["key"]
    item = store.items.get(key)
    current = item.version if item else 0
    if item is None or int(request.query["expected_version"]) != current:
        return web.json_response({"version": current}, status=409)
    store.remove(key)
    await _notify(store)
    return web.json_response(render(item))


async def list_items(request: web.Request) -> web.Response:
    """Reads all keys with a prefix."""
    store = request.app[STORE]
    prefix = request.query["prefix"]
    entries = [
        render(item)
        for key, item in sorted(store.items.items())
        if key.startswith(prefix)
    ]
    return web.json_response({"entries": entries, "revision": store.revision})


async def grant_lease(request: web.Request) -> web.Response:
    """Grants a lease."""
    store = request.app[STORE]
    body = await request.json()
    store.revision += 1
    lease_id = f"lease-{store.revision}"
    ttl_s = float(body["ttl_s"])
    store.leases[lease_id] = Lease(lease_id, ttl_s, time.monotonic() + ttl_s)
    return web.json_response({"lease_id": lease_id, "ttl_s": ttl_s})


async def renew_lease(request: web.Request) -> web.Response:
    """Renews a lease."""
    lease = request.app[STORE].leases.get(request.match_info["lease_id"])
    if lease is None:
        body = {"lease_id": request.match_info["lease_id"]}
        return web.json_response(body, status=410)
    lease.ends_at = time.monotonic() + lease.ttl_s
    return web.json_response({"ttl_s": lease.ttl_s})


async def watch(request: web.Request) -> web.Response:
    """Waits for a change under a prefix after a revision."""
    store = request.app[STORE]
    prefix = request.match_info["prefix"]
    after = int(request.query["after"])
    changed = True
    try:
        async with asyncio.timeout(float(request.query["wait_s"])):
            async with store.changed:
                await store.changed.wait_for(
                    lambda: store.find_change(prefix, after)
                )
    except TimeoutError:
        changed = False
    return web.json_response({"changed": changed, "revision": store.revision})


async def list_instances(request: web.Request) -> web.Response:
    """Reads the instance list."""
    return web.json_response(request.app[STORE].instances)


async def set_instances(request: web.Request) -> web.Response:
    """Replaces the instance list; the caller decides how far it lags."""
    request.app[STORE].instances = await request.json()
    return web.json_response({})


async def set_faults(request: web.Request) -> web.Response:
    """Sets the faults to show."""
    store = request.app[STORE]
    store.faults = Faults(**await request.json())
    return web.json_response(attrs.asdict(store.faults))


async def show_counts(request: web.Request) -> web.Response:
    """Shows how many calls of each kind arrived."""
    return web.json_response(dict(request.app[STORE].counts))


async def _notify(store: Store) -> None:
    async with store.changed:
        store.changed.notify_all()


def build_app() -> web.Application:
    """Returns the application."""
    app = web.Application(
        middlewares=[apply_faults], client_max_size=2 * MAX_VALUE_BYTES
    )
    app[STORE] = Store()
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
    """Runs the stand-in."""
    web.run_app(build_app(), host="127.0.0.1", port=port, print=None)


if __name__ == "__main__":
    run()
