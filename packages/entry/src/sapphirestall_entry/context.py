"""Context that the adapters of a process share."""

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
    """Adapters of the process, set by the composition root.

    Attributes:
        settings: Settings of the process.
        core: State of the core; only the core's handlers change it.
        identity: Identity of the process.
        feed: Passes an event to the core and performs the resulting effects.
        clock: Monotonic clock, in seconds.
        counters: Metrics of the process.
        callers: HTTP front end for callers.
        operators: HTTP front end for operators.
        executors: Client to executors.
        workers: Client to workers.
        store: Client to the platform's key-value store.
        peers: Links to other entry instances.
        exit: Set when the process may exit.
        background: Background tasks, such as calls in flight.
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
        """Passes exceptions of background tasks to `report_fault`."""
        self.background = background_module.Background(self.report_fault)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task; an exception is logged and counted."""
        return self.background.spawn(coroutine)

    def report_fault(self, place: str, error: BaseException) -> None:
        """Logs and counts an unhandled exception raised in `place`."""
        self.counters.count_fault(place)
        logs.write_fault(place, error)
