"""Answers to operators' commands, and forwarding to other data centres.

A command that another entry instance forwarded is answered through it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import dispatch
from sapphirestall_core import liveness
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "jobs"
# Prefix of the call ids of forwarded commands; the id of the peer follows.
FORWARDED_PREFIX = "forwarded\0"


def answer(call_id: str, result: operator_messages.Result) -> dispatch.Effects:
    """Returns the effects that deliver the result of a command.

    Args:
        call_id: Id of the call, which tells whether it was forwarded.
        result: Result for the operator.
    """
    effects: dispatch.Effects = []
    failure = None
    if isinstance(result, operator_messages.Failure):
        failure = result
        effects.append(messages.CountRefusal(PART, result.code))
    if not call_id.startswith(FORWARDED_PREFIX):
        return [*effects, operator_messages.AnswerOperator(call_id, result)]
    _, peer_id, original = call_id.split("\0", 2)
    shown = result if isinstance(result, operator_messages.JobShown) else None
    reply = peer_messages.CommandAnswered(original, shown, failure)
    return [*effects, peer_messages.SendPeer(peer_id, reply)]


def refuse(
    call_id: str, code: str, step: str, detail: str, status: int
) -> dispatch.Effects:
    """Returns the effects that refuse a command.

    Args:
        call_id: Id of the call.
        code: Stable reason code.
        step: Step at which the command is refused.
        detail: One sentence for a person.
        status: HTTP status of the answer.
    """
    failure = operator_messages.Failure(code, step, detail, status)
    return answer(call_id, failure)


def refuse_without_store(call_id: str, step: str) -> dispatch.Effects:
    """Refuses a command that fails because the store is unavailable."""
    detail = "the store did not answer; the command may be repeated"
    return refuse(call_id, "store_unavailable", step, detail, 503)


def find_live_peers(
    data_centre: str, instance: state.Instance, now: float
) -> list[str]:
    """Returns the sorted ids of the live peers in a data centre."""
    return sorted(
        peer_id
        for peer_id, peer in instance.peers.items()
        if peer.data_centre == data_centre
        and now - peer.last_heartbeat_at < liveness.PEER_DEAD_S
    )


def is_forwarded(call_id: str) -> bool:
    """Returns whether another entry instance forwarded a command."""
    return call_id.startswith(FORWARDED_PREFIX)


def make_call_id(peer_id: str, original: str) -> str:
    """Returns the local call id of a forwarded command."""
    return f"{FORWARDED_PREFIX}{peer_id}\0{original}"


def knows_data_centre(data_centre: str, instance: state.Instance) -> bool:
    """Returns whether any instance of a data centre is listed."""
    return data_centre == instance.identity.data_centre or any(
        listing.data_centre == data_centre
        for listing in instance.members.listings.values()
    )


def forward(
    data_centre: str,
    call_id: str,
    message: peer_messages.PeerMessage,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Forwards a command to an entry instance of another data centre.

    The peers take turns. A command that was itself forwarded is refused, so
    that commands do not circulate.

    Args:
        data_centre: Data centre that the command is for.
        call_id: Id of the operator's call.
        message: Message with the command.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    if not knows_data_centre(data_centre, instance):
        detail = f"no data centre {data_centre!r} is known"
        return refuse(call_id, "unknown_data_centre", "forward", detail, 422)
    peers = find_live_peers(data_centre, instance, now)
    if not peers or is_forwarded(call_id):
        detail = f"no entry instance of {data_centre!r} can be reached"
        return refuse(call_id, "unreachable", "forward", detail, 503)
    instance.tasks.forwarded += 1
    chosen = peers[instance.tasks.forwarded % len(peers)]
    return [peer_messages.SendPeer(chosen, message)]


@dispatch.receive.register(peer_messages.SubmissionForwarded)
@dispatch.receive.register(peer_messages.CancellationForwarded)
@dispatch.receive.register(peer_messages.QuestionForwarded)
def execute_forwarded(
    message: peer_messages.SubmissionForwarded
    | peer_messages.CancellationForwarded
    | peer_messages.QuestionForwarded,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Executes a command that a peer forwarded."""
    call_id = make_call_id(peer_id, message.call_id)
    return dispatch.execute(message.command, call_id, instance, now)


@dispatch.receive.register(peer_messages.CommandAnswered)
def deliver_answer(
    message: peer_messages.CommandAnswered,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Delivers the result of a forwarded command to the operator."""
    result = message.shown or message.failure
    if result is None:
        return [messages.CountRefusal(PART, "empty_answer")]
    return [operator_messages.AnswerOperator(message.call_id, result)]
