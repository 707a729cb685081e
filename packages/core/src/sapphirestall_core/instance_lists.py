"""Periodic reads of the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import links
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "membership"
# Most reads get the short answer that the list is unchanged; a complete list of
# 2,500 instances has about 370 KB.
INSTANCE_LIST_PERIOD_S = 2.0


@attrs.frozen
class InstancesDue(messages.Timer):
    """Timer to read the instance list."""


@dispatch.handle_timer.register(InstancesDue)
def read_instances(
    timer: InstancesDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the instance list."""
    return [membership.ReadInstances()]


@dispatch.handle.register(membership.InstancesListed)
def apply_instance_list(
    event: membership.InstancesListed, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Replaces the instance list, unless the new one is empty.

    An empty list is treated as a platform error; the last list stays in use.
    """
    effects: dispatch.Effects = []
    if event.listings:
        instance.members.replace_listings(event.listings)
        instance.members.list_read_at = now
    else:
        effects.append(messages.CountRefusal(PART, "list_empty"))
    return effects + _connect_peers(instance, now)


@dispatch.handle.register(membership.InstancesUnchanged)
@dispatch.handle.register(membership.InstancesUnread)
def keep_instance_list(
    event: messages.Event, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Keeps the last list and updates the connections.

    Heartbeats may have changed the set of peers to connect to.
    """
    return _connect_peers(instance, now)


def _connect_peers(instance: state.Instance, now: float) -> dispatch.Effects:
    listings = instance.members.listings
    seeds = instance.identity.seed_peers
    addresses = {}
    for peer_id in links.choose_links(instance, now):
        listing = listings.get(peer_id)
        address = listing.address if listing else seeds.get(peer_id, "")
        if address:
            addresses[peer_id] = address
    return [
        peer_messages.ConnectPeers(addresses),
        messages.StartTimer(InstancesDue(), INSTANCE_LIST_PERIOD_S, 0.2),
    ]
