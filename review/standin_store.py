"""Small stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
from collections.abc import Callable
import json
import time
from typing import Any

from aiohttp import web

ANSWER_S = 0.004
PAGE_ITEMS = 500
HOLD_UNANSWERED_S = 8.0
# What a fault does with a call: None to serve it, a number of seconds after
# which a write without an answer is carried out.
Fault = Callable[[str, dict[str, Any]], float | None]


class Store:
    """Keys with revisions, leases and watches, served over HTTP.

    Attributes:
        fault: Decides on each transaction whether it is carried out late.
        answer_s: Duration of each call, in seconds.
        writes: Number of transactions received.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.fault: Fault = lambda _name, _body: None
        self.answer_s = ANSWER_S
        self.writes = 0
        self.port = 0
        # Regions that the store's own region has lost.
        self.lost_regions: set[str] = set()
        # Finds the address of a server that a region uses; None for the
        # address in the server's entry.
        self.find_address: Callable[[str, str], str | None] = (
            lambda _region, _server: None
        )

    async def start(self) -> None:
        """Starts to serve on a free port of the loopback address."""
        self.port = await self.listen("")
        loop = asyncio.get_running_loop()
        self._expiry = loop.create_task(self._expire())

    async def listen(self, region: str) -> int:
        """Serves the nodes of a region on a port of their own."""

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            if region in self.lost_regions:
                return await self._lose(request)
            response = await self._serve(request, region)
            if region in self.lost_regions:
                return await self._lose(request)
            return response

        server = await asyncio.get_running_loop().create_server(
            web.Server(serve), "127.0.0.1", 0, backlog=512
        )
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _lose(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stays silent, as a message across a partition gets no answer."""
        await asyncio.sleep(HOLD_UNANSWERED_S)
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def put(self, key: str, value: object) -> None:
        """Writes a key for the operator or a server."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._put(key, text, 0)

    def remove(self, key: str) -> None:
        """Removes a key."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def read(self, key: str) -> Any:
        """Returns the document at a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def _put(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def _remove(self, key: str) -> None:
        del self.items[key]
        self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, request: web.BaseRequest, region: str
    ) -> web.StreamResponse:
        name = request.path.removeprefix("/sapphirestall/")
        body = await request.json() if request.can_read_body else {}
        if name == "kv-watch":
            return await self._watch(request)
        if name == "kv-txn":
            self.writes += 1
            late_s = self.fault(name, body)
            if late_s is not None:
                asyncio.get_running_loop().call_later(
                    late_s, self.transact, body
                )
                await asyncio.sleep(HOLD_UNANSWERED_S)
                if request.transport is not None:
                    request.transport.abort()
                return web.Response()
        # A slow store carries a call out at once; its answer takes long.
        status, answer = self._answer(name, request, body, region)
        await asyncio.sleep(self.answer_s)
        return web.json_response(answer, status=status)

    def _answer(
        self,
        name: str,
        request: web.BaseRequest,
        body: dict[str, Any],
        region: str,
    ) -> tuple[int, Any]:
        call, _, lease_text = name.partition("/")
        if call == "kv-key":
            item = self.items.get(request.query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if call == "kv-range":
            return 200, self._list(request, region)
        if call == "kv-txn":
            return self.transact(body)
        if call == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = max(1000, body["ttl_ms"]) / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": round(ttl_s * 1000)}
        lease = int(lease_text or 0)
        if lease not in self.leases:
            return 404, {}
        if call == "kv-keep":
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": round(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _list(self, request: web.BaseRequest, region: str) -> dict[str, Any]:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            "items": [
                self._show(self.items[key], region) for key in keys[:PAGE_ITEMS]
            ],
            "more_pages": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    def _show(self, item: dict[str, Any], region: str) -> dict[str, Any]:
        """Returns an item; a server's has the address for the region."""
        kind, _, server = item["key"].partition("/")
        address = self.find_address(region, server)
        if kind != "servers" or address is None:
            return item
        entry = self.read(item["key"])
        entry["address"] = address
        text = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**item, "value": text}

    def transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Carries out a transaction; returns status and body."""
        expect = body.get("expect", [])
        puts, removals = body.get("puts", []), body.get("remove", [])
        if len(expect) + len(puts) + len(removals) > 32:
            return 400, {}
        keys = [put["key"] for put in puts] + removals
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        found = [self.items.get(row["key"]) for row in expect]
        revisions = [item["revision"] if item else 0 for item in found]
        if revisions != [row["revision"] for row in expect]:
            return 412, {"items": [item for item in found if item]}
        if any(
            put.get("lease") and put["lease"] not in self.leases for put in puts
        ):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease") or 0)
        for key in removals:
            if key in self.items:
                self._remove(key)
        return 200, {"revision": self.revision}

    async def _watch(self, request: web.BaseRequest) -> web.StreamResponse:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue
        body = {"events": events, "store_revision": self.revision}
        await asyncio.sleep(self.answer_s)
        return web.json_response(body)
