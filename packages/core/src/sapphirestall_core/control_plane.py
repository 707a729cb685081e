"""Control plane of an instance: configuration, membership and shutdown.

Starts the periodic work of the instance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import configuration_sync
from sapphirestall_core import dispatch
from sapphirestall_core import heartbeats
from sapphirestall_core import instance_lists
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import patches
from sapphirestall_core import peer_messages
from sapphirestall_core import shutdown
from sapphirestall_core import status

if TYPE_CHECKING:
    from sapphirestall_core import state

# Importing a module registers its handlers with `dispatch`.
HANDLER_MODULES = (
    heartbeats,
    instance_lists,
    patches,
    shutdown,
    configuration_sync,
    status,
)


@dispatch.handle.register(messages.Started)
def start_control_plane(
    event: messages.Started, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Connects to the seed peers and starts all periodic work."""
    watch_s = liveness.PEER_DEAD_S / 2
    return [
        peer_messages.ConnectPeers(instance.identity.seed_peers),
        membership.ReadInstances(),
        messages.StartTimer(heartbeats.HeartbeatDue(), 0.0),
        messages.StartTimer(configuration_sync.ConfigurationDue(), 0.0),
        messages.StartTimer(configuration_sync.WatchDue(), watch_s, 0.5),
        *(messages.StartTimer(timer, 0.0) for timer in instance.start_timers),
    ]
