"""Graceful shutdown, in order and within a bound.

Readiness turns false and heartbeats say `leaving`; after the notice, requests
are refused and those in flight end; then the parts give back what they hold;
then the process may end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import heartbeats
from sapphirestall_core import messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "shutdown"
DRAIN_CHECK_S = 0.1


@attrs.frozen
class NoticeEnded(messages.Timer):
    """Time to refuse requests."""


@attrs.frozen
class DrainDue(messages.Timer):
    """Time to check whether a shutdown can go on."""


@dispatch.handle.register(messages.ShutdownRequested)
def start_shutdown(
    event: messages.ShutdownRequested, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts a shutdown; a second request ends the process at once."""
    shutdown = instance.shutdown
    if shutdown.requested_at is not None:
        left = len(instance.requests.in_flight)
        return [
            messages.Log(PART, "was cut short", {"requests_left": left}),
            messages.Exit(),
        ]
    shutdown.requested_at = now
    return [
        messages.Log(PART, "started", {"limit_s": shutdown.limit_s}),
        *heartbeats.broadcast_heartbeat(instance, now),
        messages.StartTimer(NoticeEnded(), shutdown.notice_s),
    ]


@dispatch.expire.register(NoticeEnded)
def refuse_requests(
    timer: NoticeEnded, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Refuses new work from now on."""
    instance.draining = True
    return [messages.StartTimer(DrainDue(), 0.0)]


@dispatch.expire.register(DrainDue)
def exit_when_idle(
    timer: DrainDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Exits once nothing is in flight, or at the end of the time."""
    shutdown = instance.shutdown
    assert shutdown.requested_at is not None
    left = len(instance.requests.in_flight)
    idle = instance.requests.is_idle() and instance.tasks.is_idle()
    if not idle and now < shutdown.requested_at + shutdown.limit_s:
        return [messages.StartTimer(timer, DRAIN_CHECK_S)]
    return [
        messages.Log(PART, "ended", {"requests_left": left}),
        messages.Exit(),
    ]
