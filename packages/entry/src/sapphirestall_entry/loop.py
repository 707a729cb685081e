"""Feeds events to the core and performs the effects."""

from collections.abc import Callable

import attrs

from sapphirestall_core import instance
from sapphirestall_core import messages
from sapphirestall_core import state
from sapphirestall_entry import context
from sapphirestall_entry import performer


@attrs.define
class Loop:
    """Runs the core; one event at a time, on one thread."""

    state: state.Instance
    clock: Callable[[], float]
    context: "context.Context" = attrs.field(init=False)

    def feed(self, event: messages.Event) -> None:
        """Handles one event and performs its effects in order.

        A fault in a handler or adapter is logged and counted and ends only
        this event or effect: the process goes on with all other work.
        """
        started = self.clock()
        try:
            effects = instance.handle(event, self.state, started)
        except Exception as error:  # noqa: BLE001
            self.context.report_fault(type(event).__name__, error)
            return
        for effect in effects:
            try:
                performer.perform(effect, self.context)
            except Exception as error:  # noqa: BLE001
                self.context.report_fault(type(effect).__name__, error)
        self.context.counters.observe_event(
            type(event).__name__, self.clock() - started
        )
