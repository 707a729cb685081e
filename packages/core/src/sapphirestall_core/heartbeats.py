"""Heartbeats and rosters between entry instances."""

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
# A changed heartbeat is sent whole this long, so that a lost message does not
# hide a leaving mark; afterwards a whole one repairs what is still missing.
WHOLE_AFTER_CHANGE_S = 2.0
WHOLE_PERIOD_S = 20.0
# Other data centres need no liveness for slot shares; half the rate suffices.
REMOTE_TICKS = 2
ROSTER_TICKS = 4
SUPERSEDED_KEPT = 4


@attrs.frozen
class HeartbeatDue(messages.Timer):
    """Time to send heartbeats."""


@dispatch.expire.register(HeartbeatDue)
def send_heartbeats(
    timer: HeartbeatDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Sends heartbeats and, less often, rosters to the linked peers."""
    instance.links.ticks += 1
    liveness.drop_dead_peers(instance, now)
    instance.members.advance(now)
    effects: dispatch.Effects = []
    ticks = instance.links.ticks
    chosen = links.choose_links(instance, now)
    greeted = instance.links.greeted
    for peer_id in greeted.keys() - set(chosen):
        del greeted[peer_id]
    roster = make_roster(instance, now)
    for peer_id in chosen:
        if not _is_remote(peer_id, instance):
            effects.append(_make_message(peer_id, instance, now))
            continue
        if ticks % REMOTE_TICKS == 0:
            effects.append(_make_message(peer_id, instance, now))
        if ticks % ROSTER_TICKS == 0:
            effects.append(peer_messages.SendPeer(peer_id, roster))
    effects.append(messages.StartTimer(HeartbeatDue(), HEARTBEAT_PERIOD_S, 0.1))
    return effects


def announce(instance: state.Instance, now: float) -> dispatch.Effects:
    """Returns heartbeats to all linked peers, outside the period."""
    return [
        _make_message(peer_id, instance, now)
        for peer_id in links.choose_links(instance, now)
    ]


def _is_remote(peer_id: str, instance: state.Instance) -> bool:
    peer = instance.peers.get(peer_id)
    entry = instance.members.listings.get(peer_id)
    known = peer or entry
    own = instance.identity.data_centre
    return known is not None and known.data_centre != own


def _make_message(
    peer_id: str, instance: state.Instance, now: float
) -> peer_messages.SendPeer:
    whole = make_heartbeat(instance, now)
    sent = instance.links
    content = attrs.evolve(whole, configuration_version=0, slot_demand={})
    if content != sent.content:
        sent.content, sent.changed_at = content, now
    greeted_at = sent.greeted.get(peer_id)
    if (
        greeted_at is None
        or now - sent.changed_at < WHOLE_AFTER_CHANGE_S
        or now - greeted_at >= WHOLE_PERIOD_S
    ):
        sent.greeted[peer_id] = now
        return peer_messages.SendPeer(peer_id, whole)
    beat = peer_messages.Beat(
        membership.tag_text(whole.incarnation),
        whole.configuration_version,
        whole.slot_demand,
    )
    return peer_messages.SendPeer(peer_id, beat)


def make_heartbeat(
    instance: state.Instance, now: float
) -> peer_messages.Heartbeat:
    """Returns the whole heartbeat of this instance."""
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
        leaving=instance.members.find_new_marks(),
    )


def make_roster(instance: state.Instance, now: float) -> peer_messages.Roster:
    """Returns the versions in force in the own data centre."""
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
        membership.tag_text("\n".join(own)),
        newest,
        {name: value for name, value in versions.items() if value < newest},
        tuple(unreachable),
    )


@dispatch.receive.register(peer_messages.Heartbeat)
def take_heartbeat(
    message: peer_messages.Heartbeat,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a peer's state; asks for a configuration newer than ours."""
    if message.instance_id != peer_id:
        return [messages.CountRefusal(PART, "peer_mismatch")]
    known = instance.peers.get(peer_id)
    superseded = known.superseded if known else ()
    if message.incarnation in superseded:
        return [messages.CountRefusal(PART, "superseded_incarnation")]
    if known and known.incarnation != message.incarnation:
        superseded = (*superseded, known.incarnation)[-SUPERSEDED_KEPT:]
        # The new process knows nothing of what was sent to the old one.
        instance.links.greeted.pop(peer_id, None)
    instance.peers[peer_id] = state_module.Peer(
        heard_at=now,
        incarnation=message.incarnation,
        data_centre=message.data_centre,
        state=_read_state(message, known),
        configuration_version=message.configuration_version,
        slot_demand=message.slot_demand,
        superseded=superseded,
    )
    for instance_id, incarnation in message.leaving:
        instance.members.record_leaving(instance_id, incarnation)
    return request_configuration(
        message.configuration_version, peer_id, instance, now
    )


def _read_state(
    message: peer_messages.Heartbeat, known: state.Peer | None
) -> membership.State:
    # Messages of two connections may overtake each other: a live heartbeat
    # never ends the leaving state of the same incarnation.
    same = known is not None and known.incarnation == message.incarnation
    if known and same and known.state is membership.State.LEAVING:
        return known.state
    return message.state


@dispatch.receive.register(peer_messages.Beat)
def take_beat(
    message: peer_messages.Beat,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Refreshes a known peer; asks an unknown incarnation who it is."""
    peer = instance.peers.get(peer_id)
    if peer is None or membership.tag_text(peer.incarnation) != message.tag:
        request = peer_messages.HeartbeatRequested()
        return [peer_messages.SendPeer(peer_id, request)]
    peer.heard_at = now
    peer.configuration_version = message.version
    peer.slot_demand = message.demand
    return request_configuration(message.version, peer_id, instance, now)


@dispatch.receive.register(peer_messages.HeartbeatRequested)
def send_whole_heartbeat(
    message: peer_messages.HeartbeatRequested,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Sends the whole heartbeat."""
    instance.links.greeted[peer_id] = now
    whole = make_heartbeat(instance, now)
    return [peer_messages.SendPeer(peer_id, whole)]


@dispatch.receive.register(peer_messages.Roster)
def take_roster(
    message: peer_messages.Roster,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records the versions in force in another data centre."""
    peer = instance.peers.get(peer_id)
    if peer is None or peer.data_centre != message.data_centre:
        return [messages.CountRefusal(PART, "peer_mismatch")]
    view = state_module.RosterView(now, message)
    instance.links.rosters[message.data_centre] = view
    return []


# A document may hold a megabyte and every peer announces a new version.
REQUEST_PERIOD_S = 1.0


def request_configuration(
    version: int, peer_id: str, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Asks a peer for a version above ours, once per version and second."""
    held = instance.configuration
    if version <= max(held.document.version, held.rejected_version):
        return []
    recent = now - held.asked_at < REQUEST_PERIOD_S
    if version <= held.asked_version and recent:
        return []
    held.asked_version, held.asked_at = version, now
    request = peer_messages.ConfigurationRequested()
    return [peer_messages.SendPeer(peer_id, request)]


@dispatch.handle.register(peer_messages.PeerLost)
def lose_peer(
    event: peer_messages.PeerLost, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Greets the peer anew; its liveness is left to the heartbeats."""
    instance.links.greeted.pop(event.peer_id, None)
    return []
