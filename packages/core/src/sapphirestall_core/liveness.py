"""Which entry instances are live, suspect or dead, by heartbeat."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import membership

if TYPE_CHECKING:
    from sapphirestall_core import state

PEER_SUSPECT_S = 2.0
PEER_DEAD_S = 5.0
# A dead peer is kept for a while, so that a late heartbeat of one of its
# superseded incarnations is still recognised.
PEER_RETENTION_S = 60.0


def find_live_entries(instance: state.Instance, now: float) -> list[str]:
    """Returns ids of the live entry instances of the own data centre."""
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
    """Tells whether a peer is missing heartbeats; it gets no loans then."""
    peer = instance.peers.get(peer_id)
    return peer is None or now - peer.last_heartbeat_at >= PEER_SUSPECT_S


def is_dead(peer_id: str, instance: state.Instance, now: float) -> bool:
    """Tells whether a peer was never heard or not for `PEER_DEAD_S`."""
    peer = instance.peers.get(peer_id)
    return peer is None or now - peer.last_heartbeat_at >= PEER_DEAD_S


def drop_dead_peers(instance: state.Instance, now: float) -> None:
    """Forgets peers that were dead for long."""
    for peer_id, peer in list(instance.peers.items()):
        if now - peer.last_heartbeat_at >= PEER_RETENTION_S:
            del instance.peers[peer_id]
