"""Performs the effects of the core, dispatched by their type."""

import functools

from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import request_messages
from sapphirestall_core import store_messages
from sapphirestall_core import task_messages
from sapphirestall_entry import context as context_module
from sapphirestall_entry import process


@functools.singledispatch
def perform(effect: messages.Effect, context: context_module.Context) -> None:
    """Performs one effect without waiting for its result.

    Raises:
        errors.UnhandledMessageError: No adapter performs this type of effect.
    """
    process.perform(effect, context)


@perform.register
def _(
    effect: request_messages.SendAttempt, context: context_module.Context
) -> None:
    context.spawn(context.executors.send(effect))


@perform.register
def _(
    effect: request_messages.PollHealth, context: context_module.Context
) -> None:
    context.spawn(context.executors.poll(effect))


@perform.register
def _(
    effect: request_messages.AnswerCaller, context: context_module.Context
) -> None:
    context.callers.answer(effect)


@perform.register
def _(
    effect: operator_messages.AnswerOperator, context: context_module.Context
) -> None:
    context.operators.answer(effect)


@perform.register
def _(
    effect: store_messages.StoreEffect, context: context_module.Context
) -> None:
    context.spawn(context.store.call(effect))


@perform.register
def _(
    effect: membership.ReadInstances, context: context_module.Context
) -> None:
    context.spawn(context.store.read_instances())


@perform.register
def _(
    effect: task_messages.WorkerEffect, context: context_module.Context
) -> None:
    context.spawn(context.workers.call(effect))


@perform.register
def _(effect: peer_messages.SendPeer, context: context_module.Context) -> None:
    context.peers.send(effect)


@perform.register
def _(
    effect: peer_messages.ConnectPeers, context: context_module.Context
) -> None:
    context.peers.connect(effect.addresses)
