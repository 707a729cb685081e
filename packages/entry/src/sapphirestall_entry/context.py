"""The object passed to every adapter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import TYPE_CHECKING
from typing import Any

import attrs

from sapphirestall_core import messages
from sapphirestall_core import state
from sapphirestall_entry import background as background_module
from sapphirestall_entry import logs

if TYPE_CHECKING:
    from sapphirestall_entry import callers
    from sapphirestall_entry import counters
    from sapphirestall_entry import executors
    from sapphirestall_entry import operators
    from sapphirestall_entry import peers
    from sapphirestall_entry import settings
    from sapphirestall_entry import store
    from sapphirestall_entry import workers


@attrs.define
class Context:
    """Adapters of one process, wired by the composition root.

    Attributes:
        core: State of the core; only its handlers change it.
        feed: Hands an event to the core and performs its effects.
        clock: Monotonic clock, in seconds.
        exit: Set when the process may end.
    """

    settings: settings.Settings
    core: state.Instance
    identity: state.Identity
    feed: Callable[[messages.Event], None]
    clock: Callable[[], float]
    counters: counters.Counters
    callers: callers.Callers = attrs.field(init=False)
    operators: operators.Operators = attrs.field(init=False)
    executors: executors.Executors = attrs.field(init=False)
    workers: workers.Workers = attrs.field(init=False)
    store: store.Store = attrs.field(init=False)
    peers: peers.Peers = attrs.field(init=False)
    exit: asyncio.Event = attrs.field(factory=asyncio.Event)
    background: background_module.Background = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Lets failures of background work be reported here."""
        self.background = background_module.Background(self.report_fault)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine in the background; logs and counts its failure."""
        return self.background.spawn(work)

    def report_fault(self, place: str, error: BaseException) -> None:
        """Logs and counts an exception that nothing else handles."""
        self.counters.count_fault(place)
        logs.write_fault(place, error)
