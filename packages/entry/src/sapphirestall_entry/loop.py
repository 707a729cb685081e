"""Feeds events to the core and performs the effects."""

from collections.abc import Callable
from typing import Protocol

import attrs

from sapphirestall_core import messages
from sapphirestall_entry import counters


class Process(Protocol):
    """What the loop needs of the process that it runs in."""

    counters: counters.Counters

    def report_fault(self, place: str, error: BaseException) -> None:
        """Logs and counts an exception that nothing else handles."""


@attrs.define
class Loop:
    """Runs the core; one event at a time, on one thread.

    Attributes:
        handle: Takes an event and a time and returns effects.
        perform: Performs one effect without waiting for its result.
        clock: Monotonic clock, in seconds.
    """

    handle: Callable[[messages.Event, float], list[messages.Effect]]
    perform: Callable[[messages.Effect], None]
    clock: Callable[[], float]
    context: Process = attrs.field(init=False)

    def feed(self, event: messages.Event) -> None:
        """Handles one event and performs its effects in order.

        A fault in a handler or adapter is logged and counted and ends only
        this event or effect: the process goes on with all other work.
        """
        started = self.clock()
        try:
            effects = self.handle(event, started)
        except Exception as error:  # noqa: BLE001
            self.context.report_fault(type(event).__name__, error)
            return
        for effect in effects:
            try:
                self.perform(effect)
            except Exception as error:  # noqa: BLE001
                self.context.report_fault(type(effect).__name__, error)
        self.context.counters.observe_event(
            type(event).__name__, self.clock() - started
        )
