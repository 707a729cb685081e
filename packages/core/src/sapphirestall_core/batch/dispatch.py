"""Entry points for events of the batch core.

Each entry point is a `singledispatch` function. The modules of the batch core
register their handlers with it by the type of the first argument.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from sapphirestall_core import errors
from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import worker_messages

if TYPE_CHECKING:
    from sapphirestall_core.batch import state

Effects = list[messages.Effect]


def _make_error(message: object) -> errors.UnhandledMessageError:
    return errors.UnhandledMessageError(
        f"no handler for {type(message).__name__}", step="dispatch"
    )


@functools.singledispatch
def handle(event: messages.Event, batch: state.Batch, now: float) -> Effects:
    """Handles an event.

    Args:
        event: The event.
        batch: State of this instance; changed in place.
        now: Monotonic time, in seconds.

    Returns:
        Effects to perform, in order.

    Raises:
        errors.UnhandledMessageError: No handler is registered for this type of
            event.
    """
    raise _make_error(event)


@functools.singledispatch
def handle_timer(
    timer: messages.Timer, batch: state.Batch, now: float
) -> Effects:
    """Handles a timer that has fired, by the type of the timer."""
    raise _make_error(timer)


@functools.singledispatch
def handle_store_reply(
    purpose: store_messages.Purpose,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> Effects:
    """Handles the reply to a store call, by the purpose of the call."""
    raise _make_error(purpose)


@functools.singledispatch
def handle_worker_reply(
    call: worker_messages.WorkerCall,
    event: worker_messages.WorkerReplied,
    batch: state.Batch,
    now: float,
) -> Effects:
    """Handles the reply of a worker, by the type of the call."""
    raise _make_error(call)


@handle.register(messages.TimerFired)
def _(event: messages.TimerFired, batch: state.Batch, now: float) -> Effects:
    return handle_timer(event.timer, batch, now)


@handle.register(store_messages.StoreReply)
def _(
    event: store_messages.StoreReply, batch: state.Batch, now: float
) -> Effects:
    effects: Effects = []
    revision = revisions.find_revision(event.outcome)
    if revision is not None:
        batch.revision_times.record(revision, now)
    if not isinstance(event.outcome, store_messages.Unavailable):
        if batch.store_down_since is not None:
            effects.append(
                messages.Log(
                    "store",
                    "regained",
                    {"away_s": round(now - batch.store_down_since, 3)},
                )
            )
        batch.store_down_since = None
    elif batch.store_down_since is None and not _was_answered_since(
        batch, event.sent_at
    ):
        batch.store_down_since = now
        effects.append(
            messages.Log("store", "lost", {"detail": event.outcome.detail})
        )
    return effects + handle_store_reply(event.purpose, event, batch, now)


def _was_answered_since(batch: state.Batch, sent_at: float) -> bool:
    """Returns whether the store has answered a call that was sent later.

    A call without an answer ends only with its time limit. The store lease is
    renewed more often than that.

    Args:
        batch: State of this instance.
        sent_at: Monotonic time at which a call was sent, in seconds.
    """
    return sent_at < batch.lease_renewed_at


@handle.register(worker_messages.WorkerReplied)
def _(
    event: worker_messages.WorkerReplied, batch: state.Batch, now: float
) -> Effects:
    return handle_worker_reply(event.call, event, batch, now)
