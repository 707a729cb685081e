"""Graceful shutdown with a time limit.

The instance first reports that it is not ready and sends heartbeats in the
state `leaving`. After the notice period it refuses new requests, completes
those in flight and gives up its partitions. The process exits when all of this
is done or when the time limit is reached.
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
    """Timer to end the notice period."""


@attrs.frozen
class DrainDue(messages.Timer):
    """Timer to check whether all work has ended."""


@dispatch.handle.register(messages.ShutdownRequested)
def start_shutdown(
    event: messages.ShutdownRequested, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts a graceful shutdown; a second request exits immediately."""
    shutdown = instance.shutdown
    if shutdown.requested_at is not None:
        left = len(instance.requests.in_flight)
        return [
            messages.Log(
                PART, "aborted by a second request", {"requests_left": left}
            ),
            messages.Exit(),
        ]
    shutdown.requested_at = now
    return [
        messages.Log(PART, "started", {"limit_s": shutdown.limit_s}),
        *heartbeats.broadcast_heartbeat(instance, now),
        messages.StartTimer(NoticeEnded(), shutdown.notice_s),
    ]


@dispatch.handle_timer.register(NoticeEnded)
def refuse_requests(
    timer: NoticeEnded, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Refuses new work once the notice period has ended."""
    instance.draining = True
    return [messages.StartTimer(DrainDue(), 0.0)]


@dispatch.handle_timer.register(DrainDue)
def exit_when_idle(
    timer: DrainDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Exits once no work is in flight, or at the time limit."""
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
