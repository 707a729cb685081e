"""Executors in virtual time."""

import functools

from sapphirestall_core import request_messages
from standins import world as world_module

BROKEN_ANSWERS = ("truncate", "crossed")


@world_module.perform.register
def _(
    effect: request_messages.SendAttempt,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    own_id = node.state.identity.instance_id
    stage = request_messages.FailureStage
    ends_at = world.now + effect.timeout_s
    fail = functools.partial(_fail, effect, node, world)

    def arrive() -> None:
        executor = world.executors.get(effect.executor_id)
        if executor is None or not executor.alive:
            fail(stage.CONNECT, "connect_failed", world_module.LINK_DELAY_S)
        elif world.is_cut(own_id, effect.executor_id):
            fail(stage.CONNECT, "connect_timeout", 1.0)
        elif executor.running >= executor.slots:
            fail(stage.REFUSED, "executor_busy", world_module.LINK_DELAY_S)
        else:
            executor.running += 1
            executor.runs[effect.request_id].append(world.now)
            world.at(executor.work_s, lambda: finish(executor))

    def finish(executor: world_module.Executor) -> None:
        executor.running -= 1
        lost = not executor.alive or world.is_cut(own_id, effect.executor_id)
        if lost:
            fail(stage.SENT, "connection_lost", world_module.LINK_DELAY_S)
            return
        timed_out = world.now > ends_at
        if timed_out:
            fail(stage.SENT, "timeout", 0.0)
        if not timed_out or executor.fault == "late":
            _answer(effect, executor, node, world)
        if executor.fault in BROKEN_ANSWERS:
            fail(stage.SENT, executor.fault, world_module.LINK_DELAY_S)

    world.at(world.draw_delay(), arrive)


def _fail(
    effect: request_messages.SendAttempt,
    node: world_module.Node,
    world: world_module.World,
    stage: request_messages.FailureStage,
    code: str,
    delay_s: float,
) -> None:
    """Reports the failure of an attempt after a delay."""
    executor = world.executors.get(effect.executor_id)
    event = request_messages.AttemptFailed(
        effect.attempt_id,
        effect.executor_id,
        stage,
        code,
        code,
        bool(executor and executor.leaving),
    )
    world.at(delay_s, lambda: world.feed(node, event))


def _answer(
    effect: request_messages.SendAttempt,
    executor: world_module.Executor,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    """Delivers an answer, with the fault that is set."""
    if executor.fault == "truncate":
        return
    attempt_id = effect.attempt_id
    if executor.fault == "crossed":
        attempt_id = executor.last_attempt
    executor.last_attempt = effect.attempt_id
    answer = request_messages.AttemptAnswered(
        attempt_id,
        effect.executor_id,
        200,
        effect.content_type,
        effect.body,
    )
    for _ in range(2 if executor.fault == "duplicate" else 1):
        world.at(world.draw_delay(), lambda: world.feed(node, answer))
