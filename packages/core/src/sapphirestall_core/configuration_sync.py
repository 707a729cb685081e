"""Distribution of the configuration to all entry instances.

An instance learns of a new version from a periodic read of the store, from its
peers' heartbeats and, if it is one of the few watchers of its data centre, from
a watch on the store. Only `WATCHERS_PER_DATA_CENTRE` instances of each data
centre hold a watch, so that the number of watches does not grow with the number
of instances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import dispatch
from sapphirestall_core import heartbeats
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import policy
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "configuration"
CONFIGURATION_KEY = "configuration"
CONFIGURATION_READ_PERIOD_S = 30.0
WATCHERS_PER_DATA_CENTRE = 2
STORE_BACKOFF_S = 0.5
MAX_STORE_BACKOFF_S = 4.0


@attrs.frozen
class ConfigurationDue(messages.Timer):
    """Timer to read the configuration periodically."""


@attrs.frozen
class WatchDue(messages.Timer):
    """Timer to start the next watch, if this instance is a watcher."""


@attrs.frozen
class ReadConfiguration(store_messages.Purpose):
    """Purpose of the periodic read of the configuration."""


@attrs.frozen
class ReadAfterChange(store_messages.Purpose):
    """Purpose of the read that follows a change seen by a watch.

    Attributes:
        revision: Store revision after which the next watch starts.
    """

    revision: int


@attrs.frozen
class WatchConfiguration(store_messages.Purpose):
    """Purpose of the watch for the next version."""


def compute_backoff(failures: int) -> float:
    """Returns the delay after a number of consecutive failures, in seconds."""
    doublings = min(failures - 1, 10)
    return min(MAX_STORE_BACKOFF_S, STORE_BACKOFF_S * 2.0**doublings)


def adopt_document(
    document: configuration.Document,
    instance: state.Instance,
    now: float,
    source: str,
) -> dispatch.Effects:
    """Brings a newer document into force and announces it to the peers.

    A document with an invalid body is counted and not adopted. Such a document
    was written by a newer release, or directly to the store instead of by a
    patch.

    Args:
        document: Document to adopt.
        instance: State of this entry instance; changed in place.
        now: Monotonic time, in seconds.
        source: Origin of the document, for the log and the journal.
    """
    current = instance.configuration
    if document.version <= current.document.version:
        return []
    errors = policy.list_errors(document.body)
    if errors:
        return _reject(document, errors, instance, now, source)
    current.adopt(document)
    instance.policy = policy.parse(document.body)
    instance.journal.record(
        now, CONFIGURATION_KEY, "adopt", f"version {document.version}: {source}"
    )
    text = f"version {document.version} is in force"
    return [
        messages.Log(PART, text, {"source": source}),
        *heartbeats.broadcast_heartbeat(instance, now),
    ]


def _reject(
    document: configuration.Document,
    errors: list[str],
    instance: state.Instance,
    now: float,
    source: str,
) -> dispatch.Effects:
    current = instance.configuration
    if document.version <= current.rejected_version:
        return [messages.CountRefusal(PART, "body_rejected")]
    current.rejected_version = document.version
    reason = f"version {document.version} from {source}: {errors[0]}"
    instance.journal.record(now, CONFIGURATION_KEY, "reject", reason)
    return [
        messages.CountRefusal(PART, "body_rejected"),
        messages.Log(PART, "rejected an invalid document", {"reason": reason}),
    ]


@dispatch.receive.register(peer_messages.ConfigurationRequested)
def send_configuration(
    message: peer_messages.ConfigurationRequested,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Sends the configuration in force to the peer that requested it."""
    document = instance.configuration.document
    answer = peer_messages.ConfigurationSent(
        document.version, document.body, document.patch_ids
    )
    return [peer_messages.SendPeer(peer_id, answer)]


@dispatch.receive.register(peer_messages.ConfigurationSent)
def receive_configuration(
    message: peer_messages.ConfigurationSent,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adopts a configuration received from a peer if it is newer."""
    document = configuration.Document(
        message.version, message.body, message.patch_ids
    )
    return adopt_document(document, instance, now, f"peer {peer_id}")


@dispatch.handle_timer.register(ConfigurationDue)
def read_configuration(
    timer: ConfigurationDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the configuration from the store."""
    return [_make_read(ReadConfiguration())]


def _make_read(purpose: store_messages.Purpose) -> store_messages.StoreGet:
    return store_messages.StoreGet(
        purpose, CONFIGURATION_KEY, configuration.Document
    )


@dispatch.handle_store_reply.register(ReadConfiguration)
def apply_stored_configuration(
    purpose: ReadConfiguration,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adopts the stored configuration and schedules the next read."""
    effects: dispatch.Effects = []
    current = instance.configuration
    delay_s = CONFIGURATION_READ_PERIOD_S
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as document):
            current.read_failures = 0
            effects += adopt_document(document, instance, now, "store")
        case store_messages.Unavailable():
            current.read_failures += 1
            effects.append(messages.CountRetry(PART, "store_unavailable"))
            delay_s = compute_backoff(current.read_failures)
        case _:
            current.read_failures = 0
    effects.append(messages.StartTimer(ConfigurationDue(), delay_s, 0.2))
    return effects


@dispatch.handle_timer.register(WatchDue)
def watch_configuration(
    timer: WatchDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts a watch if this instance is a watcher of its data centre.

    The watchers are the first `WATCHERS_PER_DATA_CENTRE` live instances in the
    order of `membership.rank_candidates`. The other instances check again after
    `liveness.PEER_DEAD_S`.
    """
    live = liveness.find_live_entries(instance, now)
    ranked = membership.rank_candidates(CONFIGURATION_KEY, live)
    own_id = instance.identity.instance_id
    if own_id not in ranked[:WATCHERS_PER_DATA_CENTRE]:
        return [messages.StartTimer(WatchDue(), liveness.PEER_DEAD_S, 0.2)]
    return [
        store_messages.StoreWatch(
            WatchConfiguration(),
            CONFIGURATION_KEY,
            instance.configuration.stored_revision,
        )
    ]


@dispatch.handle_store_reply.register(WatchConfiguration)
def handle_watch_reply(
    purpose: WatchConfiguration,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Reads the configuration after a change, or starts the next watch."""
    current = instance.configuration
    match reply.outcome:
        case store_messages.Changed(revision=revision):
            return [_make_read(ReadAfterChange(revision))]
        case store_messages.Unchanged(revision=revision):
            current.watch_failures = 0
            current.stored_revision = revision
            return [messages.StartTimer(WatchDue(), 0.0)]
        case _:
            return _retry_watch(instance)


@dispatch.handle_store_reply.register(ReadAfterChange)
def apply_changed_configuration(
    purpose: ReadAfterChange,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adopts the changed configuration and starts the next watch.

    After a failed read, the next watch starts at the old revision, so that it
    reports the change again.
    """
    current = instance.configuration
    effects: dispatch.Effects = []
    match reply.outcome:
        case store_messages.Found(value=configuration.Document() as document):
            effects += adopt_document(document, instance, now, "store")
        case store_messages.Absent():
            pass
        case _:
            return _retry_watch(instance)
    current.watch_failures = 0
    current.stored_revision = purpose.revision
    return [*effects, messages.StartTimer(WatchDue(), 0.0)]


def _retry_watch(instance: state.Instance) -> dispatch.Effects:
    current = instance.configuration
    current.watch_failures += 1
    delay_s = compute_backoff(current.watch_failures)
    return [
        messages.CountRetry(PART, "store_unavailable"),
        messages.StartTimer(WatchDue(), delay_s, 0.5),
    ]
