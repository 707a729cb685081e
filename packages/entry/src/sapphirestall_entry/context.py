"""Context that the adapters of a process share."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import state
from sapphirestall_entry import process

if TYPE_CHECKING:
    from sapphirestall_entry import callers
    from sapphirestall_entry import executors
    from sapphirestall_entry import operators
    from sapphirestall_entry import peers
    from sapphirestall_entry import settings
    from sapphirestall_entry import store
    from sapphirestall_entry import workers


@attrs.define
class Context(process.Process):
    """Adapters of the process, set by the composition root.

    Attributes:
        settings: Settings of the process.
        core: State of the core; only the core's handlers change it.
        identity: Identity of the process.
        clock: Monotonic clock, in seconds.
        callers: HTTP front end for callers.
        operators: HTTP front end for operators.
        executors: Client to executors.
        workers: Client to workers.
        store: Client to the platform's key-value store.
        peers: Links to other entry instances.
    """

    settings: settings.Settings
    core: state.Instance
    identity: state.Identity
    clock: Callable[[], float]
    callers: callers.Callers = attrs.field(init=False)
    operators: operators.Operators = attrs.field(init=False)
    executors: executors.Executors = attrs.field(init=False)
    workers: workers.Workers = attrs.field(init=False)
    store: store.Store = attrs.field(init=False)
    peers: peers.Peers = attrs.field(init=False)
