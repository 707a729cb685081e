"""Failure detection of entry instances from their heartbeats.

A peer is suspect after `PEER_SUSPECT_S` without a heartbeat and dead after
`PEER_DEAD_S`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import membership

if TYPE_CHECKING:
    from sapphirestall_core import state

PEER_SUSPECT_S = 2.0
PEER_DEAD_S = 5.0
# The state of a dead peer is kept for this time, so that a late heartbeat of a
# superseded incarnation is still recognised and dropped.
PEER_RETENTION_S = 60.0


def find_live_entries(instance: state.Instance, now: float) -> list[str]:
    """Returns the ids of the usable entry instances of the own data centre.

    These are the peers that are neither dead nor leaving, including suspect
    ones, and this instance unless it shuts down.

    Returns:
        Sorted instance ids.
    """
    identity = instance.identity
    live = [
        peer_id
        for peer_id, peer in instance.peers.items()
        if now - peer.last_heartbeat_at < PEER_DEAD_S
        and peer.data_centre == identity.data_centre
        and peer.state is membership.State.LIVE
    ]
    if instance.shutdown.requested_at is None:
        live.append(identity.instance_id)
    return sorted(live)


def is_suspect(peer_id: str, instance: state.Instance, now: float) -> bool:
    """Returns whether a peer is suspect; suspect peers get no slot loans."""
    peer = instance.peers.get(peer_id)
    return peer is None or now - peer.last_heartbeat_at >= PEER_SUSPECT_S


def is_dead(peer_id: str, instance: state.Instance, now: float) -> bool:
    """Returns whether a peer is dead or unknown."""
    peer = instance.peers.get(peer_id)
    return peer is None or now - peer.last_heartbeat_at >= PEER_DEAD_S


def drop_dead_peers(instance: state.Instance, now: float) -> None:
    """Removes peers without a heartbeat for `PEER_RETENTION_S`."""
    for peer_id, peer in list(instance.peers.items()):
        if now - peer.last_heartbeat_at >= PEER_RETENTION_S:
            del instance.peers[peer_id]
