"""Executors in virtual time."""

from sapphirestall_core import request_messages
from standins import world as world_module


@world_module.perform.register
def _(
    effect: request_messages.SendAttempt,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    own_id = node.state.identity.instance_id
    stage = request_messages.FailureStage
    ends_at = world.now + effect.timeout_s

    def fail(
        at_stage: request_messages.FailureStage, code: str, delay_s: float
    ) -> None:
        executor = world.executors.get(effect.executor_id)
        event = request_messages.AttemptFailed(
            effect.attempt_id,
            effect.executor_id,
            at_stage,
            code,
            code,
            bool(executor and executor.leaving),
        )
        world.at(delay_s, lambda: world.feed(node, event))

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
        answer = request_messages.AttemptAnswered(
            effect.attempt_id,
            effect.executor_id,
            200,
            effect.content_type,
            effect.body,
        )
        lost = not executor.alive or world.is_cut(own_id, effect.executor_id)
        if lost:
            fail(stage.SENT, "connection_lost", world_module.LINK_DELAY_S)
        elif world.now > ends_at:
            fail(stage.SENT, "timeout", 0.0)
        else:
            world.at(world.draw_delay(), lambda: world.feed(node, answer))

    world.at(world.draw_delay(), arrive)
