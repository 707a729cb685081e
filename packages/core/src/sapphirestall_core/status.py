"""Operators' queries about the configuration and this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import dispatch
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import operator_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

# Rosters arrive every 2 s; after three missing ones a roster is out of date.
ROSTER_TIMEOUT_S = 6.5
# Number of heartbeat periods within which a new instance receives the leaving
# records of its peers. If it were ready earlier, it would send work to
# executors that are leaving.
READY_TICKS = 4


@dispatch.execute.register(operator_messages.ShowConfiguration)
def show_configuration(
    command: operator_messages.ShowConfiguration,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Returns the configuration in force at this instance."""
    document = instance.configuration.document
    shown = operator_messages.ConfigurationShown(
        document.version, document.body
    )
    return [operator_messages.AnswerOperator(call_id, shown)]


@dispatch.execute.register(operator_messages.ShowConfigurationStatus)
def show_configuration_status(
    command: operator_messages.ShowConfigurationStatus,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Returns the configuration version in force at each entry instance.

    Versions come from the heartbeats of linked peers and, for the other
    instances, from the rosters of their data centres.
    """
    own_id = instance.identity.instance_id
    version = instance.configuration.document.version
    in_force = {own_id: version, **_list_live_versions(instance, now)}
    unreachable = []
    for data_centre, entries in instance.members.find_entries().items():
        roster_versions = _read_roster_versions(
            data_centre, entries, instance, now
        )
        for entry_id in entries:
            if entry_id in in_force or _has_left(entry_id, instance):
                continue
            if entry_id in roster_versions:
                in_force[entry_id] = roster_versions[entry_id]
            else:
                unreachable.append(entry_id)
    newest, lowest = max(in_force.values()), min(in_force.values())
    listed = instance.members.has_list
    status = operator_messages.ConfigurationStatus(
        version=newest,
        lowest=lowest,
        in_force=in_force,
        unreachable=sorted(unreachable),
        instances_listed=listed,
        everywhere=listed and not unreachable and lowest == newest,
    )
    return [operator_messages.AnswerOperator(call_id, status)]


def _list_live_versions(instance: state.Instance, now: float) -> dict[str, int]:
    return {
        peer_id: peer.configuration_version
        for peer_id, peer in sorted(instance.peers.items())
        if not liveness.is_dead(peer_id, instance, now)
    }


def _has_left(entry_id: str, instance: state.Instance) -> bool:
    # The platform's list may still contain an instance that has announced its
    # shutdown; such an instance does not count as unreachable.
    peer = instance.peers.get(entry_id)
    return peer is not None and peer.state is membership.State.LEAVING


def _read_roster_versions(
    data_centre: str, entries: list[str], instance: state.Instance, now: float
) -> dict[str, int]:
    view = instance.links.rosters.get(data_centre)
    if view is None or now - view.received_at >= ROSTER_TIMEOUT_S:
        return {}
    roster = view.roster
    # A roster made from a different instance list does not tell which instances
    # it covers.
    if roster.digest != membership.compute_hash16("\n".join(entries)):
        return {}
    return {
        entry_id: roster.behind.get(entry_id, roster.version)
        for entry_id in entries
        if entry_id not in roster.unreachable
    }


@dispatch.execute.register(operator_messages.ShowReadiness)
def show_readiness(
    command: operator_messages.ShowReadiness,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Returns whether this instance can accept work, or the reasons why not."""
    reasons = []
    if instance.configuration.document.version == 0:
        reasons.append("no configuration is in force")
    if not instance.members.listings:
        reasons.append("the list of instances was not read")
    if instance.links.ticks < READY_TICKS:
        reasons.append("leaving records of peers may not have arrived")
    if instance.shutdown.requested_at is not None:
        reasons.append("the instance is shutting down")
    shown = operator_messages.ReadinessShown(not reasons, reasons)
    return [operator_messages.AnswerOperator(call_id, shown)]


@dispatch.execute.register(operator_messages.Explain)
def explain(
    command: operator_messages.Explain,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Returns the decisions of this instance about a subject."""
    identity = instance.identity
    decisions = [
        operator_messages.Decision(
            entry.at + identity.wall_clock_offset_s,
            identity.instance_id,
            entry.subject,
            entry.action,
            entry.reason,
        )
        for entry in instance.journal.find(command.subject)
    ]
    explanation = operator_messages.Explanation(command.subject, decisions)
    return [operator_messages.AnswerOperator(call_id, explanation)]
