"""Feeds events to the core and performs the effects."""

from collections.abc import Callable
import logging

import attrs

from sapphirestall_core import errors
from sapphirestall_core import instance
from sapphirestall_core import messages
from sapphirestall_core import state
from sapphirestall_entry import context
from sapphirestall_entry import performer

logger = logging.getLogger("loop")


@attrs.define
class Loop:
    """Runs the core; one event at a time, on one thread."""

    state: state.Instance
    clock: Callable[[], float]
    context: "context.Context" = attrs.field(init=False)

    def feed(self, event: messages.Event) -> None:
        """Handles one event and performs its effects in order."""
        try:
            effects = instance.handle(event, self.state, self.clock())
        except errors.SapphirestallError as error:
            logger.error("loop: rejected an event: %s", error)
            return
        for effect in effects:
            performer.perform(effect, self.context)
