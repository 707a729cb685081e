"""An event loop in virtual time, for steps that use real sockets."""

import asyncio
import selectors


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the time instead of waiting for it.

    Data on loopback sockets is there as soon as it was sent, so that nothing
    arrives while the loop has nothing to do.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Returns what is ready; if nothing is, the time-out passes at once."""
        ready = super().select(0)
        if not ready and timeout is None:
            return super().select(None)
        if not ready:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock does not depend on the load of the machine."""

    def __init__(self):
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        """Returns the virtual time, in seconds."""
        return self.virtual_selector.now

    def pass_time(self, seconds):
        """Advances the time as a callback does that takes long."""
        self.virtual_selector.now += seconds


def run(coroutine):
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
