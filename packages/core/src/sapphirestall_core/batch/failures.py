"""Events that continue the work of an event whose handler failed.

Much work goes on only because the reply to a call leads to the next call. A
reply whose handler failed is therefore handled again as one that did not come:
whatever a handler does after a call without an answer is safe here too.
"""

import functools

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import configuration
from sapphirestall_core.batch import store_calls
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages

DETAIL = "the handler of the reply failed"


@functools.singledispatch
def make_failure(event: messages.Event) -> messages.Event | None:
    """Returns the event to handle in place of one whose handler failed.

    Returns:
        The event; None if there is none.
    """
    return None


@make_failure.register
def _(event: caller_messages.CallerCalled) -> messages.Event | None:
    return calls.CallFailed(event.call_id)


@make_failure.register
def _(event: messages.TimerFired) -> messages.Event | None:
    if isinstance(event.timer, store_calls.CallRetryDue):
        return calls.CallFailed(event.timer.purpose.call_id)
    return None


@make_failure.register
def _(event: store_messages.StoreReply) -> messages.Event | None:
    if not isinstance(event.outcome, store_messages.Unavailable):
        # The write may have taken effect.
        outcome = store_messages.Unavailable(True, DETAIL)
        return attrs.evolve(event, outcome=outcome)
    if isinstance(event.purpose, store_calls.CallPurpose):
        return calls.CallFailed(event.purpose.call_id)
    return None


@make_failure.register
def _(event: worker_messages.WorkerReplied) -> messages.Event | None:
    if isinstance(event.reply, worker_messages.NoAnswer):
        return None
    return attrs.evolve(event, reply=worker_messages.NoAnswer(DETAIL))


@make_failure.register
def _(event: configuration.ConfigurationRead) -> messages.Event | None:
    if event.configuration is None:
        return None
    return configuration.ConfigurationRead(None)


@make_failure.register
def _(event: worker_list.EntriesRead) -> messages.Event | None:
    if event.entries is None:
        return None
    return attrs.evolve(event, entries=None)
