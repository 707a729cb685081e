"""Performs the effects of the core, dispatched by their type."""

import asyncio
import functools
import random

from sapphirestall_core import errors
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import request_messages
from sapphirestall_core import store_messages
from sapphirestall_core import task_messages
from sapphirestall_entry import context as context_module
from sapphirestall_entry import logs


@functools.singledispatch
def perform(effect: messages.Effect, context: context_module.Context) -> None:
    """Performs one effect without waiting for its result.

    Raises:
        errors.UnhandledMessageError: No adapter performs this type of effect.
    """
    raise errors.UnhandledMessageError(
        f"no adapter performs {type(effect).__name__}", step="perform"
    )


@perform.register
def _(effect: messages.StartTimer, context: context_module.Context) -> None:
    # Jitter spreads the timers of instances that started together; it needs no
    # cryptographic random numbers.
    factor = 1 + effect.jitter * random.uniform(-1, 1)
    asyncio.get_running_loop().call_later(
        effect.delay_s * factor,
        context.feed,
        messages.TimerFired(effect.timer),
    )


@perform.register
def _(effect: messages.Exit, context: context_module.Context) -> None:
    context.exit.set()


@perform.register
def _(effect: messages.CountRefusal, context: context_module.Context) -> None:
    context.counters.count_refusal(effect.part, effect.code)


@perform.register
def _(effect: messages.CountRetry, context: context_module.Context) -> None:
    context.counters.count_retry(effect.part, effect.code)


@perform.register
def _(effect: messages.Log, context: context_module.Context) -> None:
    logs.write(effect.part, effect.text, effect.fields)


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
