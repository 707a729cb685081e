"""Which entry instances exchange heartbeats.

A full mesh of 162 entry instances in 6 data centres cost 52 KB/s an instance.
Within a data centre every pair is linked, because slot shares and ownership
need the liveness of all. Between data centres each instance has a few links;
rosters tell the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import liveness

if TYPE_CHECKING:
    from sapphirestall_core import state

# Two links, so that the loss of one peer does not cut an instance off from a
# data centre before the platform's list names its successor.
LINKS_PER_DATA_CENTRE = 2


def choose_links(instance: state.Instance, now: float) -> list[str]:
    """Returns the ids of the peers that get heartbeats, sorted."""
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
    # Pairs places in the two sorted lists, so that every instance of either
    # data centre has at least one link to the other one.
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
    # An instance that started during an outage is in no list yet.
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
