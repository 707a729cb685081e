"""Entry points of the core, with a registry of handlers by message type.

Each function dispatches on the type of its first argument, changes the state of
the instance in place and returns the effects to perform, in order. The modules
of the core register their handlers when they are imported.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from sapphirestall_core import errors
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

Effects = list[messages.Effect]


def _make_error(message: object) -> errors.UnhandledMessageError:
    return errors.UnhandledMessageError(
        f"no handler for {type(message).__name__}", step="dispatch"
    )


@functools.singledispatch
def handle(
    event: messages.Event, instance: state.Instance, now: float
) -> Effects:
    """Handles an event.

    Args:
        event: Event that the shell reports.
        instance: State of this entry instance; changed in place.
        now: Monotonic time, in seconds.

    Returns:
        Effects to perform, in order.

    Raises:
        errors.UnhandledMessageError: No handler is registered for this type of
            event.
    """
    raise _make_error(event)


@functools.singledispatch
def handle_store_reply(
    purpose: store_messages.Purpose,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> Effects:
    """Handles the reply to a store call, by the purpose of the call."""
    raise _make_error(purpose)


@functools.singledispatch
def handle_timer(
    timer: messages.Timer, instance: state.Instance, now: float
) -> Effects:
    """Handles a timer that has fired."""
    raise _make_error(timer)


@functools.singledispatch
def execute(
    command: operator_messages.Command,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> Effects:
    """Executes an operator's command; refuses it if it has no handler."""
    name = type(command).__name__
    failure = operator_messages.Failure(
        "not_supported", "dispatch", f"no handler for the command {name}", 501
    )
    return [
        messages.CountRefusal("dispatch", failure.code),
        operator_messages.AnswerOperator(call_id, failure),
    ]


@functools.singledispatch
def receive(
    message: peer_messages.PeerMessage,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> Effects:
    """Handles a message from another entry instance."""
    raise _make_error(message)


@handle.register(store_messages.StoreReply)
def _(
    event: store_messages.StoreReply, instance: state.Instance, now: float
) -> Effects:
    return handle_store_reply(event.purpose, event, instance, now)


@handle.register(messages.TimerFired)
def _(
    event: messages.TimerFired, instance: state.Instance, now: float
) -> Effects:
    return handle_timer(event.timer, instance, now)


@handle.register(operator_messages.OperatorCalled)
def _(
    event: operator_messages.OperatorCalled,
    instance: state.Instance,
    now: float,
) -> Effects:
    return execute(event.command, event.call_id, instance, now)


@handle.register(peer_messages.PeerReceived)
def _(
    event: peer_messages.PeerReceived, instance: state.Instance, now: float
) -> Effects:
    return receive(event.message, event.peer_id, instance, now)
