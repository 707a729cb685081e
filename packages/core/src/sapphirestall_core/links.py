"""Topology of the heartbeat links between entry instances.

With a full mesh, 162 entry instances in 6 data centres sent 52 KB/s each.
Therefore every pair is linked only within a data centre, where slot shares and
partition ownership depend on the liveness of all instances. Between data
centres each instance has a few links, and rosters carry the versions of the
instances that are not linked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import liveness

if TYPE_CHECKING:
    from sapphirestall_core import state

# With two links, an instance still reaches a data centre after the loss of one
# peer, until the platform's list contains a replacement.
LINKS_PER_DATA_CENTRE = 2


def choose_links(instance: state.Instance, now: float) -> list[str]:
    """Returns the sorted ids of the peers that get heartbeats."""
    identity = instance.identity
    groups = instance.members.find_entries()
    own = groups.pop(identity.data_centre, [])
    chosen = set(own)
    for others in groups.values():
        chosen.update(_choose_remote(identity.instance_id, own, others))
    chosen.update(_find_unlisted_peers(instance, now))
    chosen.discard(identity.instance_id)
    return sorted(chosen)


def _choose_remote(own_id: str, own: list[str], others: list[str]) -> list[str]:
    # Matches positions in the two sorted lists, so that each instance of either
    # data centre has at least one link to the other data centre.
    if own_id not in own:
        return others[:LINKS_PER_DATA_CENTRE]
    position = own.index(own_id)
    smaller = min(len(own), len(others))
    return [
        other
        for index, other in enumerate(others)
        if (index - position) % smaller < LINKS_PER_DATA_CENTRE
    ]


def _find_unlisted_peers(instance: state.Instance, now: float) -> list[str]:
    # Covers live peers that started while the platform was unavailable and are
    # therefore not listed, and the seed peers until a list has been read.
    listings = instance.members.listings
    found = [
        peer_id
        for peer_id in instance.peers
        if peer_id not in listings
        and not liveness.is_dead(peer_id, instance, now)
    ]
    if not instance.members.has_list:
        found += instance.identity.seed_peers
    return found
