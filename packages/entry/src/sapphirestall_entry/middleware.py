"""Layer round the callers' application that measures latency."""

from collections.abc import Callable

import attrs
from starlette import types

from sapphirestall_entry import counters as counters_module


@attrs.frozen
class Timer:
    """Observes the time from a request's head to the head of its answer."""

    app: types.ASGIApp
    counters: counters_module.Counters
    clock: Callable[[], float]

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serves one request."""
        started = self.clock()

        async def observe(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                seconds = self.clock() - started
                self.counters.observe_request(message["status"], seconds)
            await send(message)

        await self.app(scope, receive, observe)
