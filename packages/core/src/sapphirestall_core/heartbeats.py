"""Exchange of heartbeats and rosters between entry instances.

A full heartbeat carries the whole state of the sender; a short one (`Beat`) is
sent while most of this state stays the same. A roster tells another data centre
which configuration versions are in force in the sender's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import links
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import state as state_module

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "membership"
HEARTBEAT_PERIOD_S = 0.5
# After a change, full heartbeats are sent for `FULL_AFTER_CHANGE_S`, so that
# the loss of one message does not hide a leaving record. A full heartbeat every
# `FULL_PERIOD_S` repairs what a peer still misses after that.
FULL_AFTER_CHANGE_S = 2.0
FULL_PERIOD_S = 20.0
# In heartbeat periods. Slot shares depend only on the liveness of the own data
# centre, so half the rate suffices for peers of other data centres.
REMOTE_INTERVAL_TICKS = 2
ROSTER_INTERVAL_TICKS = 4
MAX_SUPERSEDED = 4


@attrs.frozen
class HeartbeatDue(messages.Timer):
    """Timer to send the next heartbeats."""


@dispatch.handle_timer.register(HeartbeatDue)
def send_heartbeats(
    timer: HeartbeatDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Sends heartbeats to the linked peers, and rosters to the remote ones."""
    instance.links.ticks += 1
    liveness.drop_dead_peers(instance, now)
    instance.members.advance(now)
    effects: dispatch.Effects = []
    ticks = instance.links.ticks
    chosen = links.choose_links(instance, now)
    full_sent_at = instance.links.full_sent_at
    for peer_id in full_sent_at.keys() - set(chosen):
        del full_sent_at[peer_id]
    roster = make_roster(instance, now)
    for peer_id in chosen:
        if not _is_remote(peer_id, instance):
            effects.append(_make_message(peer_id, instance, now))
            continue
        if ticks % REMOTE_INTERVAL_TICKS == 0:
            effects.append(_make_message(peer_id, instance, now))
        if ticks % ROSTER_INTERVAL_TICKS == 0:
            effects.append(peer_messages.SendPeer(peer_id, roster))
    effects.append(messages.StartTimer(HeartbeatDue(), HEARTBEAT_PERIOD_S, 0.1))
    return effects


def broadcast_heartbeat(
    instance: state.Instance, now: float
) -> dispatch.Effects:
    """Sends heartbeats to all linked peers at once, outside the period."""
    return [
        _make_message(peer_id, instance, now)
        for peer_id in links.choose_links(instance, now)
    ]


def _is_remote(peer_id: str, instance: state.Instance) -> bool:
    peer = instance.peers.get(peer_id)
    listing = instance.members.listings.get(peer_id)
    known = peer or listing
    own = instance.identity.data_centre
    return known is not None and known.data_centre != own


def _make_message(
    peer_id: str, instance: state.Instance, now: float
) -> peer_messages.SendPeer:
    """Returns a full or short heartbeat for a peer and records a full one."""
    full = make_heartbeat(instance, now)
    link_state = instance.links
    content = attrs.evolve(full, configuration_version=0, slot_demand={})
    if content != link_state.last_content:
        link_state.last_content, link_state.changed_at = content, now
    last_full_at = link_state.full_sent_at.get(peer_id)
    if (
        last_full_at is None
        or now - link_state.changed_at < FULL_AFTER_CHANGE_S
        or now - last_full_at >= FULL_PERIOD_S
    ):
        link_state.full_sent_at[peer_id] = now
        return peer_messages.SendPeer(peer_id, full)
    beat = peer_messages.Beat(
        membership.compute_hash16(full.incarnation),
        full.configuration_version,
        full.slot_demand,
    )
    return peer_messages.SendPeer(peer_id, beat)


def make_heartbeat(
    instance: state.Instance, now: float
) -> peer_messages.Heartbeat:
    """Builds the full heartbeat of this instance."""
    identity = instance.identity
    stopping = instance.shutdown.requested_at is not None
    own_state = membership.State.LEAVING if stopping else membership.State.LIVE
    return peer_messages.Heartbeat(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        state=own_state,
        configuration_version=instance.configuration.document.version,
        slot_demand=dict(instance.requests.slots.demand),
        leaving=instance.members.list_leaving_to_share(),
    )


def make_roster(instance: state.Instance, now: float) -> peer_messages.Roster:
    """Builds a roster of the versions in force in the own data centre."""
    identity = instance.identity
    own = instance.members.find_entries().get(identity.data_centre, [])
    versions = {identity.instance_id: instance.configuration.document.version}
    unreachable = []
    for entry_id in own:
        if entry_id == identity.instance_id:
            continue
        if liveness.is_dead(entry_id, instance, now):
            unreachable.append(entry_id)
        else:
            peer = instance.peers[entry_id]
            versions[entry_id] = peer.configuration_version
    newest = max(versions.values())
    return peer_messages.Roster(
        identity.data_centre,
        membership.compute_hash16("\n".join(own)),
        newest,
        {
            entry_id: version
            for entry_id, version in versions.items()
            if version < newest
        },
        tuple(unreachable),
    )


@dispatch.receive.register(peer_messages.Heartbeat)
def receive_heartbeat(
    message: peer_messages.Heartbeat,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a peer's state; requests its configuration if it is newer.

    Heartbeats of superseded incarnations, and those sent in the name of another
    instance, are refused.
    """
    if message.instance_id != peer_id:
        return [messages.CountRefusal(PART, "peer_mismatch")]
    known = instance.peers.get(peer_id)
    superseded = known.superseded_incarnations if known else ()
    if message.incarnation in superseded:
        return [messages.CountRefusal(PART, "superseded_incarnation")]
    if known and known.incarnation != message.incarnation:
        superseded = (*superseded, known.incarnation)[-MAX_SUPERSEDED:]
        # The restarted process has lost the state of earlier full heartbeats.
        instance.links.full_sent_at.pop(peer_id, None)
    instance.peers[peer_id] = state_module.Peer(
        last_heartbeat_at=now,
        incarnation=message.incarnation,
        data_centre=message.data_centre,
        state=_merge_state(message, known),
        configuration_version=message.configuration_version,
        slot_demand=message.slot_demand,
        superseded_incarnations=superseded,
    )
    for instance_id, incarnation in message.leaving:
        instance.members.record_leaving(instance_id, incarnation)
    return request_configuration(
        message.configuration_version, peer_id, instance, now
    )


def _merge_state(
    message: peer_messages.Heartbeat, known: state.Peer | None
) -> membership.State:
    # Messages on two connections may be reordered, so a live heartbeat does not
    # end the leaving state of the same incarnation.
    same = known is not None and known.incarnation == message.incarnation
    if known and same and known.state is membership.State.LEAVING:
        return known.state
    return message.state


@dispatch.receive.register(peer_messages.Beat)
def receive_beat(
    message: peer_messages.Beat,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Updates a known peer; requests a full heartbeat of an unknown one."""
    peer = instance.peers.get(peer_id)
    if (
        peer is None
        or membership.compute_hash16(peer.incarnation) != message.tag
    ):
        request = peer_messages.HeartbeatRequested()
        return [peer_messages.SendPeer(peer_id, request)]
    peer.last_heartbeat_at = now
    peer.configuration_version = message.version
    peer.slot_demand = message.demand
    return request_configuration(message.version, peer_id, instance, now)


@dispatch.receive.register(peer_messages.HeartbeatRequested)
def send_full_heartbeat(
    message: peer_messages.HeartbeatRequested,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Sends a full heartbeat to a peer that requested it."""
    instance.links.full_sent_at[peer_id] = now
    full = make_heartbeat(instance, now)
    return [peer_messages.SendPeer(peer_id, full)]


@dispatch.receive.register(peer_messages.Roster)
def receive_roster(
    message: peer_messages.Roster,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records the roster of another data centre."""
    peer = instance.peers.get(peer_id)
    if peer is None or peer.data_centre != message.data_centre:
        return [messages.CountRefusal(PART, "peer_mismatch")]
    view = state_module.RosterView(now, message)
    instance.links.rosters[message.data_centre] = view
    return []


# A configuration document may have up to 1 MB and every peer announces a new
# version; without this limit each announcement would trigger a transfer.
CONFIGURATION_REQUEST_PERIOD_S = 1.0


def request_configuration(
    version: int, peer_id: str, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Requests a peer's configuration if it is newer than the one in force.

    A version is requested at most once per `CONFIGURATION_REQUEST_PERIOD_S`,
    and not at all if its body was rejected before.
    """
    current = instance.configuration
    if version <= max(current.document.version, current.rejected_version):
        return []
    recent = now - current.requested_at < CONFIGURATION_REQUEST_PERIOD_S
    if version <= current.requested_version and recent:
        return []
    current.requested_version, current.requested_at = version, now
    request = peer_messages.ConfigurationRequested()
    return [peer_messages.SendPeer(peer_id, request)]


@dispatch.handle.register(peer_messages.PeerLost)
def handle_peer_lost(
    event: peer_messages.PeerLost, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Makes the next heartbeat to a disconnected peer a full one.

    The peer's liveness depends on its heartbeats only.
    """
    instance.links.full_sent_at.pop(event.peer_id, None)
    return []
