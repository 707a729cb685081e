"""Small stand-in for an executor, as PROTOCOL.md describes it."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from aiohttp import web
import standin_store

HEARTBEAT_S = 1.5
# An entry is removed after three ping intervals of silence.
SILENCE_S = 3 * HEARTBEAT_S
HOLD_MAX_MS = 6000
STOP_S = 0.2
CLOCK_RATE = 0.99
Note = Callable[..., None]


class Run:
    """A run on an executor."""

    def __init__(self, ends_at: float) -> None:
        self.ends_at = ends_at
        self.stops_at: float | None = None


class Worker:
    """An executor with a lease, a fence, runs and unacknowledged ends.

    Attributes:
        store: The platform's store, in which the executor registers.
        note: Writes a line of the record.
        duration_s: Returns how long a task takes, by its name.
        cut_from_store: Whether the executor's reports don't reach the store.
        draining: Whether it has announced that it leaves.
        up: Whether its process runs.
    """

    def __init__(
        self,
        store: standin_store.Store,
        note: Note,
        name: str,
        zone: str,
        labels: list[str],
        duration_s: Callable[[str], float],
        cpu: int = 4000,
    ) -> None:
        self.store, self.note, self.name = store, note, name
        self.zone, self.labels, self.cpu = zone, labels, cpu
        self.duration_s = duration_s
        self.cut_from_store = False
        self.draining = False
        self.up = True
        self.sequence = 0
        self.reported_at = 0.0
        self.port = 0
        # Port for the nodes of other regions, and whether these are lost.
        self.far_port = 0
        self.far_lost = False
        self._reset()

    def _reset(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.lapsed_end = 0
        self.voided: dict[str, int] = {}

    async def start(self) -> None:
        """Starts to serve on a free port of the loopback address."""
        loop = asyncio.get_running_loop()
        self.server = web.Server(self._serve)
        listening = await loop.create_server(
            self.server, "127.0.0.1", 0, backlog=512
        )
        self.port = listening.sockets[0].getsockname()[1]
        far = await loop.create_server(
            web.Server(self._serve_far), "127.0.0.1", 0, backlog=512
        )
        self.far_port = far.sockets[0].getsockname()[1]
        self._beat = loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            self.advance(now)
            reports = self.up and not self.cut_from_store
            if reports and now - self.reported_at >= HEARTBEAT_S:
                self.report()
            key = f"servers/{self.name}"
            if now - self.reported_at > SILENCE_S and key in self.store.items:
                self.store.remove(key)
                self.note("entry_removed", worker=self.name)
            await asyncio.sleep(0.02)

    def report(self) -> None:
        """Writes the executor's entry."""
        self.reported_at = time.monotonic()
        self.sequence += 1
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born_ms,
            "capacity": {"cpu": self.cpu, "mem_mb": 32_000, "gpu": 0},
            "labels": self.labels,
        }
        if self.draining:
            entry["remaining_ms"] = 2000
        self.store.put(f"servers/{self.name}", entry)

    def drain(self) -> None:
        """Announces that the executor will leave."""
        self.draining = True
        self.note("drains", worker=self.name)
        self.report()

    def crash(self) -> None:
        """Ends the process with all that runs on it."""
        self.up = False
        self.note("crashes", worker=self.name, runs=self.list_names())
        self._reset()
        for connection in list(self.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def leave(self) -> None:
        """Exits after a drain, which also removes the entry."""
        self.crash()
        self.store.remove(f"servers/{self.name}")

    def restart(self) -> None:
        """Starts a new incarnation under the same id."""
        self._reset()
        self.up = True
        self.note("restarts", worker=self.name, born=self.born_ms)
        self.report()

    def list_names(self) -> str:
        """Returns the names of the runs."""
        return ",".join(f"{task}/{run}" for task, run in self.running)

    def clock(self, now: float) -> int:
        """Returns the executor's steady clock, in milliseconds."""
        return int((now - self.started_at) * 1000 * CLOCK_RATE)

    def advance(self, now: float) -> None:
        """Ends the runs that are over by now."""
        lapsed = self.until_ms <= self.clock(now)
        for key, run in list(self.running.items()):
            if run.ends_at <= now:
                self._end(key, "done")
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(key, "stopped")
            elif lapsed:
                self._end(key, "lapsed")
        if lapsed:
            self.lapsed_end = self.last_end

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.running[key]
        self.last_end += 1
        self.voided[key[0]] = max(self.voided.get(key[0], 0), key[1])
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.note(
            "end",
            worker=self.name,
            born=self.born_ms,
            n=self.last_end,
            task=key[0],
            run=key[1],
            how=how,
        )

    async def _serve_far(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves a node of another region, which may be lost."""
        lost = self.far_lost
        if not lost:
            response = await self._serve(request)
            lost = self.far_lost
        if not lost:
            return response
        await asyncio.sleep(standin_store.HOLD_UNANSWERED_S)
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.up:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        if request.headers.get("Expected-Instance") != self.name:
            return self._respond(421)
        body = await request.json()
        now = time.monotonic()
        self.advance(now)
        if body.get("fencing_token", 0) < self.fence:
            return self._respond(409, reason="fence")
        self.fence = body.get("fencing_token", 0)
        call = request.path.rpartition("/")[2]
        if call == "hold":
            return await self._hold(body, now)
        key = (body["task"], body["run"])
        if call == "run-start":
            return self._start(key, body, now)
        run = self.running.get(key)
        if call == "run-stop":
            self.voided[key[0]] = max(self.voided.get(key[0], 0), key[1])
            self.note("stop", worker=self.name, task=key[0], run=key[1])
            if run is not None and run.stops_at is None:
                run.stops_at = now + STOP_S
        return self._respond(200)

    def _respond(self, status: int, **fields: object) -> web.Response:
        clock_ms = self.clock(time.monotonic())
        body = {"clock_ms": clock_ms, "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    def _extend(self, until_ms: int | None, now: float) -> None:
        if until_ms is not None:
            most = self.clock(now) + HOLD_MAX_MS
            self.until_ms = max(self.until_ms, min(until_ms, most))

    def _start(
        self, key: tuple[str, int], body: dict[str, Any], now: float
    ) -> web.Response:
        if key in self.running:
            return self._respond(200)
        newest = max(
            (run for task, run in self.running if task == key[0]),
            default=self.voided.get(key[0], 0),
        )
        if key[1] <= newest:
            self._extend(body["until_ms"], now)
            return self._respond(409, reason="old")
        if body["until_ms"] < self.clock(now):
            return self._respond(409, reason="late")
        self._extend(body["until_ms"], now)
        self.running[key] = Run(now + self.duration_s(key[0]))
        self.note(
            "start",
            worker=self.name,
            born=self.born_ms,
            task=key[0],
            run=key[1],
            token=body.get("fencing_token", 0),
        )
        return self._respond(200)

    async def _hold(
        self, body: dict[str, Any], now: float
    ) -> web.StreamResponse:
        born_ms = self.born_ms
        self._extend(body.get("until_ms"), now)
        seen = body["last_seen"]
        if seen > self.last_end:
            # No end of this incarnation has this number yet.
            self.note(
                "seen_ahead",
                worker=self.name,
                born=born_ms,
                seen=seen,
                last=self.last_end,
            )
        for end in self.ended:
            if end[0] <= seen:
                self.note(
                    "noted",
                    worker=self.name,
                    born=born_ms,
                    n=end[0],
                    task=end[1],
                    run=end[2],
                    how=end[3],
                    lapsed=end[0] <= self.lapsed_end,
                )
        self.ended = [end for end in self.ended if end[0] > seen]
        ends_at = now + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
            if self.born_ms != born_ms:
                break
            self.advance(time.monotonic())
        self.advance(time.monotonic())
        return self._respond(
            200,
            running=[[task, run, "", 100, 1000] for task, run in self.running],
            ended=self.ended[:500],
        )
