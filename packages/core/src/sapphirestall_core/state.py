"""State of one entry instance, one attribute for each part."""

from __future__ import annotations

import attrs

from sapphirestall_core import configuration
from sapphirestall_core import journal
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import policy
from sapphirestall_core import requests_state
from sapphirestall_core import tasks_state


@attrs.frozen
class Identity:
    """Who this process is.

    Attributes:
        incarnation: Differs for each start of the process.
        wall_offset: Wall clock less monotonic clock, in seconds.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    address: str
    wall_offset: float = 0.0


@attrs.define
class Peer:
    """What a peer said last.

    Attributes:
        heard_at: Time of its last heartbeat.
    """

    heard_at: float
    incarnation: str
    data_centre: str
    state: membership.State
    configuration_version: int
    slot_demand: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Instance:
    """State of one entry instance.

    Attributes:
        start_timers: Timers of the parts that fire when the process starts.
    """

    identity: Identity
    configuration: configuration.Configuration = attrs.field(
        factory=configuration.Configuration
    )
    policy: policy.Policy = attrs.field(factory=policy.Policy)
    members: membership.Members = attrs.field(factory=membership.Members)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    journal: journal.Journal = attrs.field(factory=journal.Journal)
    requests: requests_state.Requests = attrs.field(
        factory=requests_state.Requests
    )
    tasks: tasks_state.Tasks = attrs.field(factory=tasks_state.Tasks)
    start_timers: tuple[messages.Timer, ...] = ()
    draining: bool = False
