"""Configuration, membership and the operators' view of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import dispatch
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import policy
from sapphirestall_core import state as state_module
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "control"
CONFIGURATION_KEY = "configuration"
HEARTBEAT_PERIOD_S = 0.5
PEER_DEAD_S = 5.0
INSTANCES_PERIOD_S = 1.0
CONFIGURATION_PERIOD_S = 30.0
WATCHERS_PER_DATA_CENTRE = 2
STORE_RETRY_S = 0.5
DRAIN_CHECK_S = 0.1
# The owner keys that a shutdown could not delete expire with the store lease.
HANDOVER_LIMIT_S = 10.0


@attrs.frozen
class HeartbeatDue(messages.Timer):
    """Time to send heartbeats."""


@attrs.frozen
class InstancesDue(messages.Timer):
    """Time to read the platform's instance list."""


@attrs.frozen
class ConfigurationDue(messages.Timer):
    """Time to read the configuration from the store."""


@attrs.frozen
class WatchDue(messages.Timer):
    """Time to decide whether to hold a watch on the configuration."""


@attrs.frozen
class DrainDue(messages.Timer):
    """Time to check whether a shutdown can end."""


@attrs.frozen
class ReadConfiguration(store_messages.Purpose):
    """Reads the configuration to adopt it."""


@attrs.frozen
class WatchConfiguration(store_messages.Purpose):
    """Waits for the next version."""


@attrs.frozen
class ReadBeforePatch(store_messages.Purpose):
    """Reads the configuration that a patch amends."""

    call_id: str
    command: operator_messages.PatchConfiguration


@attrs.frozen
class WritePatch(store_messages.Purpose):
    """Writes an amended configuration."""

    call_id: str
    command: operator_messages.PatchConfiguration
    document: configuration.Document


@dispatch.handle.register(messages.Started)
def start_control(
    event: messages.Started, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts the periodic work of every part."""
    return [
        membership.ReadInstances(),
        messages.StartTimer(HeartbeatDue(), 0.0),
        messages.StartTimer(ConfigurationDue(), 0.0),
        messages.StartTimer(WatchDue(), PEER_DEAD_S / 2, 0.5),
        *(messages.StartTimer(timer, 0.0) for timer in instance.start_timers),
    ]


@dispatch.expire.register(InstancesDue)
def read_instances(
    timer: InstancesDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the platform's list again."""
    return [membership.ReadInstances()]


@dispatch.handle.register(membership.InstancesListed)
def take_instances(
    event: membership.InstancesListed, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Takes a newer list and connects to the entry instances in it."""
    if event.listings:
        instance.members.replace_listings(event.listings)
    own_id = instance.identity.instance_id
    addresses = {
        entry.instance_id: entry.address
        for entry in instance.members.find(membership.Kind.ENTRY)
        if entry.instance_id != own_id
    }
    return [
        peer_messages.ConnectPeers(addresses),
        messages.StartTimer(InstancesDue(), INSTANCES_PERIOD_S, 0.2),
    ]


@dispatch.expire.register(HeartbeatDue)
def send_heartbeats(
    timer: HeartbeatDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Sends a heartbeat to every peer."""
    beat = _make_heartbeat(instance)
    own_id = instance.identity.instance_id
    effects: dispatch.Effects = [
        peer_messages.SendPeer(entry.instance_id, beat)
        for entry in instance.members.find(membership.Kind.ENTRY)
        if entry.instance_id != own_id
    ]
    effects.append(messages.StartTimer(HeartbeatDue(), HEARTBEAT_PERIOD_S, 0.1))
    return effects


def _make_heartbeat(instance: state.Instance) -> peer_messages.Heartbeat:
    identity = instance.identity
    own_state = (
        membership.State.LEAVING if instance.draining else membership.State.LIVE
    )
    return peer_messages.Heartbeat(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        state=own_state.value,
        configuration_version=instance.configuration.document.version,
        leaving=tuple(sorted(instance.members.leaving)),
    )


@dispatch.receive.register(peer_messages.Heartbeat)
def take_heartbeat(
    message: peer_messages.Heartbeat,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a peer's state; asks for a configuration newer than ours."""
    instance.peers[message.instance_id] = state_module.Peer(
        heard_at=now,
        incarnation=message.incarnation,
        data_centre=message.data_centre,
        state=membership.State(message.state),
        configuration_version=message.configuration_version,
        slot_demand=message.slot_demand,
    )
    instance.members.leaving.update(message.leaving)
    newest = instance.configuration.document.version
    if message.configuration_version <= newest:
        return []
    request = peer_messages.ConfigurationRequested()
    return [peer_messages.SendPeer(peer_id, request)]


@dispatch.receive.register(peer_messages.ConfigurationRequested)
def send_configuration(
    message: peer_messages.ConfigurationRequested,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Sends the configuration in force here."""
    document = instance.configuration.document
    answer = peer_messages.ConfigurationSent(
        document.version, document.body, document.patch_ids
    )
    return [peer_messages.SendPeer(peer_id, answer)]


@dispatch.receive.register(peer_messages.ConfigurationSent)
def take_configuration(
    message: peer_messages.ConfigurationSent,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adopts a peer's configuration if it is newer."""
    document = configuration.Document(
        message.version, message.body, message.patch_ids
    )
    return adopt_document(document, instance, now, f"peer {peer_id}")


def adopt_document(
    document: configuration.Document,
    instance: state.Instance,
    now: float,
    source: str,
) -> dispatch.Effects:
    """Brings a newer document into force and tells the peers."""
    if not instance.configuration.adopt(document):
        return []
    instance.policy = policy.parse(document.body)
    text = f"version {document.version} is in force"
    instance.journal.record(now, CONFIGURATION_KEY, "adopt", source)
    beat = _make_heartbeat(instance)
    return [
        messages.Log(PART, text, {"source": source}),
        *(peer_messages.SendPeer(peer, beat) for peer in instance.peers),
    ]


@dispatch.expire.register(ConfigurationDue)
def read_configuration(
    timer: ConfigurationDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the configuration from the store."""
    return [
        store_messages.StoreGet(
            ReadConfiguration(), CONFIGURATION_KEY, configuration.Document
        )
    ]


@dispatch.resume.register(ReadConfiguration)
def take_stored_configuration(
    purpose: ReadConfiguration,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adopts the stored configuration and plans the next read."""
    effects: dispatch.Effects = []
    delay_s = CONFIGURATION_PERIOD_S
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as document):
            effects += adopt_document(document, instance, now, "store")
        case store_messages.Unavailable():
            effects.append(messages.CountRetry(PART, "store_unavailable"))
            delay_s = STORE_RETRY_S
    effects.append(messages.StartTimer(ConfigurationDue(), delay_s, 0.2))
    return effects


@dispatch.expire.register(WatchDue)
def watch_configuration(
    timer: WatchDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Holds a watch if this instance is among the first of its data centre."""
    live = find_live_entries(instance, now)
    ranked = membership.rank_candidates(CONFIGURATION_KEY, live)
    own_id = instance.identity.instance_id
    if own_id not in ranked[:WATCHERS_PER_DATA_CENTRE]:
        return [messages.StartTimer(WatchDue(), PEER_DEAD_S, 0.2)]
    return [
        store_messages.StoreWatch(
            WatchConfiguration(),
            CONFIGURATION_KEY,
            instance.configuration.stored_revision,
        )
    ]


@dispatch.resume.register(WatchConfiguration)
def take_watch(
    purpose: WatchConfiguration,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Reads the configuration after a change and watches on."""
    match reply.outcome:
        case store_messages.Changed(revision=revision):
            instance.configuration.stored_revision = revision
            return [
                store_messages.StoreGet(
                    ReadConfiguration(),
                    CONFIGURATION_KEY,
                    configuration.Document,
                ),
                messages.StartTimer(WatchDue(), 0.0),
            ]
        case store_messages.Unchanged(revision=revision):
            instance.configuration.stored_revision = revision
            return [messages.StartTimer(WatchDue(), 0.0)]
        case _:
            return [
                messages.CountRetry(PART, "store_unavailable"),
                messages.StartTimer(WatchDue(), STORE_RETRY_S, 0.5),
            ]


def find_live_entries(instance: state.Instance, now: float) -> list[str]:
    """Returns ids of the live entry instances of the own data centre."""
    identity = instance.identity
    live = [
        peer_id
        for peer_id, peer in instance.peers.items()
        if now - peer.heard_at < PEER_DEAD_S
        and peer.data_centre == identity.data_centre
        and peer.state is membership.State.LIVE
    ]
    if not instance.draining:
        live.append(identity.instance_id)
    return sorted(live)


@dispatch.execute.register(operator_messages.ShowConfiguration)
def show_configuration(
    command: operator_messages.ShowConfiguration,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Shows the configuration in force here."""
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
    """Shows which entry instance has which version."""
    own_id = instance.identity.instance_id
    version = instance.configuration.document.version
    in_force = {own_id: version}
    unreachable = []
    for entry in instance.members.find(membership.Kind.ENTRY):
        peer = instance.peers.get(entry.instance_id)
        if entry.instance_id == own_id:
            continue
        if peer is None or now - peer.heard_at >= PEER_DEAD_S:
            unreachable.append(entry.instance_id)
        else:
            in_force[entry.instance_id] = peer.configuration_version
    status = operator_messages.ConfigurationStatus(
        max(in_force.values()), min(in_force.values()), in_force, unreachable
    )
    return [operator_messages.AnswerOperator(call_id, status)]


@dispatch.execute.register(operator_messages.PatchConfiguration)
def patch_configuration(
    command: operator_messages.PatchConfiguration,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Reads the stored version before it is amended."""
    return [
        store_messages.StoreGet(
            ReadBeforePatch(call_id, command),
            CONFIGURATION_KEY,
            configuration.Document,
        )
    ]


@dispatch.resume.register(ReadBeforePatch)
def write_patch(
    purpose: ReadBeforePatch,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Amends the version that was read, or reports why that is impossible."""
    command = purpose.command
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as current):
            stored_version = reply.outcome.version
        case store_messages.Absent():
            current, stored_version = configuration.Document(), 0
        case _:
            return _fail(purpose.call_id, "store_unavailable", 503, "")
    if command.patch_id in current.patch_ids:
        return _confirm(purpose.call_id, current, instance, now)
    if command.base_version != current.version:
        detail = f"the current version is {current.version}"
        return _fail(purpose.call_id, "version_conflict", 409, detail)
    document = configuration.amend(current, command.patch_id, command.patch)
    faults = policy.list_faults(document.body)
    if faults:
        detail = "; ".join(faults)
        return _fail(purpose.call_id, "configuration_invalid", 422, detail)
    if command.preview:
        shown = operator_messages.ConfigurationShown(
            document.version, document.body
        )
        return [operator_messages.AnswerOperator(purpose.call_id, shown)]
    return [
        store_messages.StorePut(
            WritePatch(purpose.call_id, command, document),
            CONFIGURATION_KEY,
            document,
            stored_version,
        )
    ]


@dispatch.resume.register(WritePatch)
def finish_patch(
    purpose: WritePatch,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Confirms an accepted patch; settles a lost answer by re-reading."""
    match reply.outcome:
        case store_messages.Written():
            return _confirm(purpose.call_id, purpose.document, instance, now)
        case _:
            return patch_configuration(
                purpose.command, purpose.call_id, instance, now
            )


def _confirm(
    call_id: str,
    document: configuration.Document,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    shown = operator_messages.ConfigurationShown(
        document.version, document.body
    )
    return [
        operator_messages.AnswerOperator(call_id, shown),
        *adopt_document(document, instance, now, "patch"),
    ]


def _fail(
    call_id: str, code: str, status: int, detail: str
) -> dispatch.Effects:
    failure = operator_messages.Failure(code, "configuration", detail, status)
    return [
        messages.CountRefusal(PART, code),
        operator_messages.AnswerOperator(call_id, failure),
    ]


@dispatch.handle.register(peer_messages.PeerLost)
def lose_peer(
    event: peer_messages.PeerLost, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Leaves the verdict to the missing heartbeats."""
    return []


@dispatch.handle.register(messages.ShutdownRequested)
def start_draining(
    event: messages.ShutdownRequested, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Refuses new work and exits when nothing is in flight."""
    instance.draining = True
    instance.tasks.drain_until = now + HANDOVER_LIMIT_S
    return [messages.StartTimer(DrainDue(), 0.0)]


@dispatch.expire.register(DrainDue)
def exit_when_idle(
    timer: DrainDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Exits once no request is in flight and the partitions are handed over."""
    if instance.requests.in_flight or not instance.tasks.is_idle(now):
        return [messages.StartTimer(timer, DRAIN_CHECK_S)]
    return [messages.Exit()]
