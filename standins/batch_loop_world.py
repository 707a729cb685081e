"""Simulation of batch instances whose events pass through the real loop."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import instance
from sapphirestall_entry import counters as counters_module
from sapphirestall_entry import loop
from standins import batch_world


@attrs.define
class LoopWorld(batch_world.BatchWorld):
    """A simulation that goes on after a handler has failed.

    Attributes:
        faults: Failures of handlers, with the event of each.
    """

    faults: list[str] = attrs.field(factory=list)
    counters: counters_module.Counters = attrs.field(
        factory=counters_module.Counters
    )

    def deliver(self, node: batch_world.Node, event: messages.Event) -> None:
        """Passes an event to the loop of an instance."""
        if not node.alive:
            return
        runner = loop.Loop(
            lambda event, now: self.handle(node, event, now),
            lambda effect: batch_world.perform(effect, self, node),
            lambda: self.now,
            instance.make_failures,
        )
        runner.context = self
        runner.feed(event)

    def handle(
        self, node: batch_world.Node, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles an event in the core of an instance."""
        return instance.handle(event, node.batch, now)

    def report_fault(self, place: str, error: BaseException) -> None:
        """Records a failure of a handler."""
        self.faults.append(f"{place}: {error!r:.120}")
