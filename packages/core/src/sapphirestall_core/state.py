"""State of one entry instance, one attribute for each part."""

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
    """Who this process is.

    Attributes:
        incarnation: Differs for each start of the process.
        wall_offset: Wall clock less monotonic clock, in seconds.
        seed_peers: Addresses of entry instances by id, used until the
            platform's list was read.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    address: str
    wall_clock_offset_s: float = 0.0
    seed_peers: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Peer:
    """What a peer said last.

    Attributes:
        last_heartbeat_at: Time of its last heartbeat.
        superseded: Earlier incarnations, newest last; bounded.
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
    """Newest roster of another data centre.

    Attributes:
        received_at: Time of its arrival.
    """

    received_at: float
    roster: peer_messages.Roster


@attrs.define
class Links:
    """What this instance sends to its peers.

    Attributes:
        ticks: Number of heartbeat periods since the start.
        content: The heartbeat last sent, less the fields of a `Beat`.
        changed_at: Time at which `content` changed.
        greeted: Time of the last whole heartbeat, by peer.
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
        limit_s: Longest time that it may take, in seconds.
        notice_s: Time in which requests are still accepted, so that load
            balancers see the readiness before requests are refused.
        requested_at: Time of the first signal.
    """

    limit_s: float = 30.0
    notice_s: float = 0.0
    requested_at: float | None = None


@attrs.define
class Instance:
    """State of one entry instance.

    Attributes:
        start_timers: Timers of the parts that fire when the process starts.
        draining: Whether new work is refused.
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
    scheduling: scheduling.Scheduling = attrs.field(
        factory=scheduling.Scheduling
    )
    start_timers: tuple[messages.Timer, ...] = ()
    draining: bool = False
