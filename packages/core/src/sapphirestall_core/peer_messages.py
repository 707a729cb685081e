"""Messages between entry instances."""

import attrs

from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import resources


@attrs.frozen
class PeerMessage:
    """Base of the messages between entry instances."""


@attrs.frozen
class Heartbeat(PeerMessage):
    """Whole state of an entry instance; sent when it changed.

    Attributes:
        configuration_version: Highest version in force there.
        slot_demand: Slots that the sender could use beyond its share, by
            service.
        leaving: Ids and incarnations of instances that the sender saw leaving.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    state: membership.State
    configuration_version: int
    slot_demand: dict[str, int] = attrs.field(factory=dict)
    leaving: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Beat(PeerMessage):
    """Periodic short form of a heartbeat whose other fields did not change.

    Attributes:
        tag: `membership.tag_text` of the sender's incarnation.
        version: Highest configuration version in force there.
        demand: Slots that the sender could use beyond its share, by service.
    """

    tag: int
    version: int
    demand: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class HeartbeatRequested(PeerMessage):
    """Asks for a `Heartbeat`, after a `Beat` of an unknown incarnation."""


@attrs.frozen
class Roster(PeerMessage):
    """Versions in force in the sender's data centre.

    Every listed entry instance that is named in neither field has `version`.

    Attributes:
        digest: `membership.tag_text` of the ids that the sender has listed.
        version: Highest version in force there.
        behind: Lower versions, by instance id.
        unreachable: Ids that the sender has not heard.
    """

    data_centre: str
    digest: int
    version: int
    behind: dict[str, int] = attrs.field(factory=dict)
    unreachable: tuple[str, ...] = ()


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
class PartitionRoom:
    """Room in a partition that the sender owns.

    Attributes:
        free: Sum of what is free on its workers.
        capacities: Distinct capacities of its workers.
    """

    partition: str
    free: resources.Vector
    capacities: tuple[resources.Vector, ...]


@attrs.frozen
class PartitionsOwned(PeerMessage):
    """Tells peers of the data centre how much room the sender has."""

    rooms: tuple[PartitionRoom, ...]


@attrs.frozen
class SharesRequested(PeerMessage):
    """Asks how far the tasks of a job are in the receiver's partitions."""

    call_id: str
    job_id: str


@attrs.frozen
class ShareState:
    """How far the tasks of a job are in one partition."""

    partition: str
    finished: int
    running: int
    reason: str


@attrs.frozen
class SharesReported(PeerMessage):
    """Answers `SharesRequested`."""

    call_id: str
    shares: tuple[ShareState, ...]


@attrs.frozen
class SubmissionForwarded(PeerMessage):
    """Hands a submission to an instance of the job's data centre."""

    call_id: str
    command: operator_messages.SubmitJob


@attrs.frozen
class CancellationForwarded(PeerMessage):
    """Hands a cancellation to an instance of the job's data centre."""

    call_id: str
    command: operator_messages.CancelJob


@attrs.frozen
class QuestionForwarded(PeerMessage):
    """Hands a question about a job to an instance of its data centre."""

    call_id: str
    command: operator_messages.ShowJob


@attrs.frozen
class CommandAnswered(PeerMessage):
    """Result of a forwarded command; exactly one of the two is set."""

    call_id: str
    shown: operator_messages.JobShown | None
    failure: operator_messages.Failure | None


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
