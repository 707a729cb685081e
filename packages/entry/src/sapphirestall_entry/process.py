"""What the processes of all programs have in common."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import random
from typing import Any

import attrs

from sapphirestall_core import errors
from sapphirestall_core import messages
from sapphirestall_entry import background as background_module
from sapphirestall_entry import counters as counters_module
from sapphirestall_entry import logs


@attrs.define
class Process:
    """Base of the contexts of processes.

    Attributes:
        counters: Metrics of the process.
        feed: Passes an event to the core and performs the resulting effects.
        exit: Set when the process may exit.
        background: Background tasks, such as calls in flight.
    """

    counters: counters_module.Counters
    feed: Callable[[messages.Event], None] = attrs.field(init=False)
    exit: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    background: background_module.Background = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Passes exceptions of background tasks to `report_fault`."""
        self.background = background_module.Background(self.report_fault)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task; an exception is logged and counted."""
        return self.background.spawn(coroutine)

    def report_fault(self, place: str, error: BaseException) -> None:
        """Logs and counts an unhandled exception raised in `place`."""
        self.counters.count_fault(place)
        logs.write_fault(place, error)

    def report_callbacks(self, event_loop: asyncio.AbstractEventLoop) -> None:
        """Passes exceptions of callbacks of the loop to `report_fault`."""
        event_loop.set_exception_handler(
            lambda _, details: self.report_fault(
                "callback",
                details.get("exception") or RuntimeError(str(details)),
            )
        )


@functools.singledispatch
def perform(effect: messages.Effect, process: Process) -> None:
    """Performs an effect that is the same in all programs.

    Raises:
        errors.UnhandledMessageError: No adapter performs this type of effect.
    """
    raise errors.UnhandledMessageError(
        f"no adapter performs {type(effect).__name__}", step="perform"
    )


@perform.register
def _(effect: messages.StartTimer, process: Process) -> None:
    # Jitter spreads the timers of instances that started together; it needs no
    # cryptographic random numbers.
    factor = 1 + effect.jitter * random.uniform(-1, 1)
    asyncio.get_running_loop().call_later(
        effect.delay_s * factor, process.feed, messages.TimerFired(effect.timer)
    )


@perform.register
def _(effect: messages.Exit, process: Process) -> None:
    process.exit.set()


@perform.register
def _(effect: messages.CountRefusal, process: Process) -> None:
    process.counters.count_refusal(effect.part, effect.code)


@perform.register
def _(effect: messages.CountRetry, process: Process) -> None:
    process.counters.count_retry(effect.part, effect.code)


@perform.register
def _(effect: messages.Log, process: Process) -> None:
    logs.write(effect.part, effect.text, effect.fields)
