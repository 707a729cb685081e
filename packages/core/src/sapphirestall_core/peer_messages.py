"""Messages between entry instances, with their events and effects.

The names and defaults of the message classes and their fields are the wire
format.
"""

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
    """Full heartbeat: the state of an entry instance.

    Attributes:
        instance_id: Id of the sender.
        incarnation: Identifier of the sender's current run.
        data_centre: Data centre of the sender.
        state: Whether the sender accepts work or is leaving.
        configuration_version: Configuration version in force at the sender.
        slot_demand: Executor slots that the sender could use beyond its share,
            by service.
        leaving: Leaving records known to the sender, as pairs of an instance
            id and an incarnation.
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
    """Short heartbeat, sent while the remaining state is unchanged.

    Attributes:
        tag: `membership.compute_hash16` of the sender's incarnation.
        version: Configuration version in force at the sender.
        demand: Executor slots that the sender could use beyond its share, by
            service.
    """

    tag: int
    version: int
    demand: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class HeartbeatRequested(PeerMessage):
    """Requests a full heartbeat after a `Beat` of an unknown incarnation."""


@attrs.frozen
class Roster(PeerMessage):
    """Configuration versions in force in the sender's data centre.

    Entry instances of this data centre that are neither in `behind` nor in
    `unreachable` have `version` in force.

    Attributes:
        data_centre: Data centre of the sender.
        digest: `membership.compute_hash16` of the entry instance ids that the
            sender's list has for this data centre, joined by line feeds.
        version: Highest version in force in the data centre.
        behind: Lower versions, by instance id.
        unreachable: Ids of instances that are dead by the sender's view.
    """

    data_centre: str
    digest: int
    version: int
    behind: dict[str, int] = attrs.field(factory=dict)
    unreachable: tuple[str, ...] = ()


@attrs.frozen
class ConfigurationRequested(PeerMessage):
    """Requests the receiver's configuration document."""


@attrs.frozen
class ConfigurationSent(PeerMessage):
    """Configuration document in force at the sender.

    Attributes:
        version: Version of the document.
        body: Tree of JSON values.
        patch_ids: Ids of the most recent accepted patches, newest last.
    """

    version: int
    body: dict[str, object]
    patch_ids: tuple[str, ...] = ()


@attrs.frozen
class SliceAssigned(PeerMessage):
    """Tells the owner of a partition to read a changed job record.

    Attributes:
        data_centre: Data centre of the job.
        job_id: Id of the job.
        partition: Partition that the record assigns tasks to.
    """

    data_centre: str
    job_id: str
    partition: str


@attrs.frozen
class SlotLoan(PeerMessage):
    """Lends slots of an executor; replaces the sender's earlier loan of them.

    Attributes:
        executor_id: Executor whose slots are lent.
        count: Number of slots.
        term_s: Duration of the loan, in seconds.
    """

    executor_id: str
    count: int
    term_s: float


@attrs.frozen
class PartitionRoom:
    """Free capacity of a partition that the sender owns.

    Attributes:
        partition: Name of the partition.
        free: Sum of the free resources of its workers.
        capacities: Distinct capacities of its workers.
    """

    partition: str
    free: resources.Vector
    capacities: tuple[resources.Vector, ...]


@attrs.frozen
class PartitionsOwned(PeerMessage):
    """Announces the free capacity of the sender's partitions."""

    rooms: tuple[PartitionRoom, ...]


@attrs.frozen
class SharesRequested(PeerMessage):
    """Requests the progress of a job in the partitions of the receiver."""

    call_id: str
    job_id: str


@attrs.frozen
class ShareState:
    """Progress of a job in one partition.

    Attributes:
        partition: Name of the partition.
        finished: Number of finished tasks.
        running: Number of running tasks.
        reason: Why tasks are waiting; empty if none is.
    """

    partition: str
    finished: int
    running: int
    reason: str


@attrs.frozen
class SharesReported(PeerMessage):
    """Reports the progress of a job; the answer to `SharesRequested`."""

    call_id: str
    shares: tuple[ShareState, ...]


@attrs.frozen
class SubmissionForwarded(PeerMessage):
    """Forwards a submission to an instance of the job's data centre."""

    call_id: str
    command: operator_messages.SubmitJob


@attrs.frozen
class CancellationForwarded(PeerMessage):
    """Forwards a cancellation to an instance of the job's data centre."""

    call_id: str
    command: operator_messages.CancelJob


@attrs.frozen
class QuestionForwarded(PeerMessage):
    """Forwards a query about a job to an instance of its data centre."""

    call_id: str
    command: operator_messages.ShowJob


@attrs.frozen
class CommandAnswered(PeerMessage):
    """Result of a forwarded command: either `shown` or `failure` is set."""

    call_id: str
    shown: operator_messages.JobShown | None
    failure: operator_messages.Failure | None


@attrs.frozen
class SendPeer(messages.Effect):
    """Sends a message to a peer; dropped if the peer is not connected."""

    peer_id: str
    message: PeerMessage


@attrs.frozen
class PeerReceived(messages.Event):
    """Reports that a message from a peer has arrived."""

    peer_id: str
    message: PeerMessage


@attrs.frozen
class ConnectPeers(messages.Effect):
    """Sets the peers to which the shell keeps connections.

    Attributes:
        addresses: `host:port` of each peer, by peer id.
    """

    addresses: dict[str, str]


@attrs.frozen
class PeerLost(messages.Event):
    """Reports that the connection to a peer has ended."""

    peer_id: str
