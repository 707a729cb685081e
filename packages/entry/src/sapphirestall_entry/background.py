"""Background tasks of a process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import attrs


@attrs.define
class Background:
    """Holds references to running tasks and reports their exceptions.

    Attributes:
        report_fault: Reports an unhandled exception and the place where it was
            raised.
        tasks: Tasks that have not ended; asyncio itself holds only weak
            references to them.
        stopped: Whether new tasks are cancelled at once.
    """

    report_fault: Callable[[str, BaseException], None]
    tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)
    stopped: bool = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task and returns the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._handle_done)
        if self.stopped:
            task.cancel()
        return task

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended.

        It is called before the client sessions that the tasks use are closed.
        """
        self.stopped = True
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.report_fault("background", error)
