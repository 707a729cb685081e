"""Loop that passes events to the core and performs the resulting effects."""

from collections.abc import Callable
from typing import Protocol

import attrs

from sapphirestall_core import messages
from sapphirestall_entry import counters

# Time after which a timer is started again whose handler failed.
FAILED_TIMER_RETRY_S = 1.0


class Process(Protocol):
    """Part of the process context that the loop uses."""

    counters: counters.Counters

    def report_fault(self, place: str, error: BaseException) -> None:
        """Logs and counts an unhandled exception raised in `place`."""


def drop(event: messages.Event) -> list[messages.Event]:
    """Returns no events: one whose handler failed is dropped."""
    return []


@attrs.define
class Loop:
    """Runs the core on one thread, one event at a time.

    Attributes:
        handle: Handles an event at a monotonic time and returns the effects.
        perform: Performs one effect without waiting for its result.
        clock: Monotonic clock, in seconds.
        make_failures: Returns the events to handle in place of one whose
            handler failed, such as one that says that a call got no answer.
            None of them may lead back to that event.
        context: Context of the process, set by the composition root.
    """

    handle: Callable[[messages.Event, float], list[messages.Effect]]
    perform: Callable[[messages.Effect], None]
    clock: Callable[[], float]
    make_failures: Callable[[messages.Event], list[messages.Event]] = drop
    context: Process = attrs.field(init=False)

    def feed(self, event: messages.Event) -> None:
        """Handles one event and performs its effects in order.

        An exception in a handler or adapter is logged and counted. It ends only
        the event or effect concerned; the process continues. A timer is started
        again, because otherwise periodic work, which is continued by the
        effects of its handler, would end for good. For the same reason another
        event is replaced by its failure.
        """
        started = self.clock()
        try:
            effects = self.handle(event, started)
        except Exception as error:  # noqa: BLE001
            self.context.report_fault(type(event).__name__, error)
            self._handle_failure(event)
            return
        for effect in effects:
            try:
                self.perform(effect)
            except Exception as error:  # noqa: BLE001
                self.context.report_fault(type(effect).__name__, error)
        self.context.counters.observe_event(
            type(event).__name__, self.clock() - started
        )

    def _handle_failure(self, event: messages.Event) -> None:
        """Continues the work of an event whose handler failed."""
        failures = self.make_failures(event)
        if isinstance(event, messages.TimerFired):
            self.perform(messages.StartTimer(event.timer, FAILED_TIMER_RETRY_S))
        for failure in failures:
            self.feed(failure)
