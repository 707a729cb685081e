"""State of an entry instance, with one attribute per functional area."""

from __future__ import annotations

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import journal
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import policy
from sapphirestall_core import requests_state
from sapphirestall_core import scheduling
from sapphirestall_core import tasks_state


@attrs.frozen
class Identity:
    """Identity of this process in the deployment.

    Attributes:
        instance_id: Name of the instance; the same after a restart.
        incarnation: Identifier of one run of the process; a restart gets a
            new one.
        data_centre: Data centre in which the process runs.
        address: `host:port` at which the instance listens for peers.
        wall_clock_offset_s: Wall-clock time minus monotonic time, in seconds.
        seed_peers: Addresses of entry instances by id, used until the
            platform's instance list has been read.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    address: str
    wall_clock_offset_s: float = 0.0
    seed_peers: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Peer:
    """Last state that a peer reported in its heartbeats.

    Attributes:
        last_heartbeat_at: Monotonic time at which its last heartbeat, full or
            short, arrived, in seconds.
        incarnation: Incarnation that sent the last full heartbeat.
        data_centre: Data centre of the peer.
        state: Whether the peer accepts work or is leaving.
        configuration_version: Configuration version in force at the peer.
        slot_demand: Executor slots that the peer could use beyond its share,
            by service.
        superseded_incarnations: Earlier incarnations of the peer, newest
            last; heartbeats of these are dropped. At most
            `heartbeats.MAX_SUPERSEDED` are kept.
    """

    last_heartbeat_at: float
    incarnation: str
    data_centre: str
    state: membership.State
    configuration_version: int
    slot_demand: dict[str, int] = attrs.field(factory=dict)
    superseded_incarnations: tuple[str, ...] = ()


@attrs.define
class RosterView:
    """Newest roster received from another data centre.

    Attributes:
        received_at: Monotonic time at which it arrived, in seconds.
        roster: Configuration versions in force in that data centre.
    """

    received_at: float
    roster: peer_messages.Roster


@attrs.define
class Links:
    """State of the heartbeat exchange with the linked peers.

    Attributes:
        ticks: Number of heartbeat periods since the start of the process.
        last_content: The heartbeat sent last, with the fields that a short
            heartbeat (`Beat`) carries set to zero; a difference means that a
            full heartbeat has to be sent.
        changed_at: Monotonic time at which `last_content` changed, in seconds.
        full_sent_at: Monotonic time of the last full heartbeat, by peer, in
            seconds.
        rosters: Newest roster, by data centre.
    """

    ticks: int = 0
    last_content: peer_messages.Heartbeat | None = None
    changed_at: float = 0.0
    full_sent_at: dict[str, float] = attrs.field(factory=dict)
    rosters: dict[str, RosterView] = attrs.field(factory=dict)


@attrs.define
class Shutdown:
    """Progress of a graceful shutdown.

    Attributes:
        limit_s: Time after which the process exits even if work is in flight,
            in seconds.
        notice_s: Time during which requests are still accepted although the
            instance reports that it is not ready, in seconds. It lets load
            balancers stop sending requests before requests are refused.
        requested_at: Monotonic time of the first shutdown request, in
            seconds; `None` while the instance runs normally.
    """

    limit_s: float = 30.0
    notice_s: float = 0.0
    requested_at: float | None = None


@attrs.define
class Instance:
    """State of one entry instance.

    Attributes:
        identity: Identity of this process.
        configuration: Configuration document in force.
        policy: Typed view of that document.
        members: The platform's instance list and the leaving records.
        peers: State of the other entry instances, by id.
        links: State of the heartbeat exchange.
        shutdown: Progress of a graceful shutdown.
        journal: Recent decisions, for explanations to operators.
        requests: State of request handling.
        tasks: State of batch work.
        scheduling: State of the scheduling policy.
        start_timers: Timers that fire once when the process starts, in
            addition to those of the control plane.
        draining: Whether new work is refused because of a shutdown.
    """

    identity: Identity
    configuration: configuration.Configuration = attrs.field(
        factory=configuration.Configuration
    )
    policy: policy.Policy = attrs.field(factory=policy.Policy)
    members: membership.Members = attrs.field(factory=membership.Members)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    links: Links = attrs.field(factory=Links)
    shutdown: Shutdown = attrs.field(factory=Shutdown)
    journal: journal.Journal = attrs.field(factory=journal.Journal)
    requests: requests_state.Requests = attrs.field(
        factory=requests_state.Requests
    )
    tasks: tasks_state.Tasks = attrs.field(factory=tasks_state.Tasks)
    scheduling: scheduling.SchedulingState = attrs.field(
        factory=scheduling.SchedulingState
    )
    start_timers: tuple[messages.Timer, ...] = ()
    draining: bool = False
