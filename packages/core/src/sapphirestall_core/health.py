"""Health polls of executors, to find those that are about to leave.

Each executor is polled by one live entry instance of its data centre, which
tells the others in its heartbeats. See docs/design.md, section 4.9.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import dispatch
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import request_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "health"
POLL_PERIOD_S = 1.0


@attrs.frozen
class HealthDue(messages.Timer):
    """Timer to poll the health of executors."""


@dispatch.handle_timer.register(HealthDue)
def poll_executors(
    timer: HealthDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Polls the executors for which this instance ranks first."""
    identity = instance.identity
    live = liveness.find_live_entries(instance, now)
    executors = instance.members.find(
        membership.Kind.EXECUTOR, identity.data_centre
    )
    effects: dispatch.Effects = [
        request_messages.PollHealth(listing.instance_id, listing.address)
        for listing in executors
        if membership.rank_candidates(listing.instance_id, live)[:1]
        == [identity.instance_id]
    ]
    effects.append(messages.StartTimer(timer, POLL_PERIOD_S, 0.1))
    return effects


@dispatch.handle.register(request_messages.HealthRead)
def record_health(
    event: request_messages.HealthRead, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Marks an executor as leaving if its answer says so.

    Heartbeats pass this leaving record on to the other entry instances.
    """
    if not event.leaving:
        return []
    instance.members.mark_leaving(event.executor_id)
    instance.journal.record(now, event.executor_id, "leave", "health reply")
    text = f"executor {event.executor_id} is leaving"
    return [messages.Log(PART, text)]


@dispatch.handle.register(request_messages.HealthUnread)
def count_missed_poll(
    event: request_messages.HealthUnread, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Counts a poll without an answer.

    A missing answer does not mean that the executor is leaving.
    """
    return [messages.CountRetry(PART, "health_unread")]
