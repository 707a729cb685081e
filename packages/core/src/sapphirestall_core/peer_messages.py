"""Messages between entry instances."""

import attrs

from sapphirestall_core import messages


@attrs.frozen
class PeerMessage:
    """Base of the messages between entry instances."""


@attrs.frozen
class Heartbeat(PeerMessage):
    """Periodic state of an entry instance.

    Attributes:
        state: `live` or `leaving`.
        configuration_version: Highest version in force there.
        slot_demand: Slots that the sender could use beyond its share, by
            service.
        leaving: Ids and incarnations of instances that the sender saw leaving.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    state: str
    configuration_version: int
    slot_demand: dict[str, int] = attrs.field(factory=dict)
    leaving: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class ConfigurationRequested(PeerMessage):
    """Asks for the receiver's configuration document."""


@attrs.frozen
class ConfigurationSent(PeerMessage):
    """A configuration document that the store accepted."""

    version: int
    body: dict[str, object]
    patch_ids: tuple[str, ...] = ()


@attrs.frozen
class SliceAssigned(PeerMessage):
    """Tells the owner of a partition that a job record names it."""

    data_centre: str
    job_id: str
    partition: str


@attrs.frozen
class SlotLoan(PeerMessage):
    """Lends slots of one executor; a later loan replaces an earlier one.

    Attributes:
        term_s: How long the loan lasts, in seconds.
    """

    executor_id: str
    count: int
    term_s: float


@attrs.frozen
class SendPeer(messages.Effect):
    """Sends a message to one peer; lost when the peer is not connected."""

    peer_id: str
    message: PeerMessage


@attrs.frozen
class PeerReceived(messages.Event):
    """A message arrived from a peer."""

    peer_id: str
    message: PeerMessage


@attrs.frozen
class ConnectPeers(messages.Effect):
    """States which peers the shell keeps connections to.

    Attributes:
        addresses: `host:port` by peer id.
    """

    addresses: dict[str, str]


@attrs.frozen
class PeerLost(messages.Event):
    """The connection to a peer ended."""

    peer_id: str
