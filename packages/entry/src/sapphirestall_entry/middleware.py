"""ASGI middleware that measures the latency of callers' requests."""

from collections.abc import Callable

import attrs
from starlette import types

from sapphirestall_entry import counters as counters_module


@attrs.frozen
class LatencyMiddleware:
    """Measures the time from the head of a request to that of its response.

    Attributes:
        app: Application that serves the requests.
        counters: Metrics of the process.
        clock: Monotonic clock, in seconds.
    """

    app: types.ASGIApp
    counters: counters_module.Counters
    clock: Callable[[], float]

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves one request and records its duration."""
        started = self.clock()

        async def observe(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                seconds = self.clock() - started
                self.counters.observe_request(message["status"], seconds)
            await send(message)

        await self.app(scope, receive, observe)
