"""Simulation of calls to executors in virtual time."""

from __future__ import annotations

import attrs

from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from standins import world as world_module

Stage = request_messages.FailureStage
Code = outcomes.Code


@attrs.define
class Exchange:
    """An attempt that an entry instance sends to an executor.

    Attributes:
        effect: The attempt.
        node: The entry instance.
        world: The simulation.
        ended: Whether the entry instance got an answer or a failure.
    """

    effect: request_messages.SendAttempt
    node: world_module.Node
    world: world_module.World
    ended: bool = False

    def start(self) -> None:
        """Sends the attempt and starts its timeout."""
        world = self.world
        world.schedule(self.effect.timeout_s, self._time_out)
        world.schedule(world.draw_delay(), self._arrive)

    def _is_disconnected(self) -> bool:
        own_id = self.node.state.identity.instance_id
        return self.world.is_disconnected(own_id, self.effect.executor_id)

    def _fail(self, stage: Stage, code: outcomes.Code, delay_s: float) -> None:
        executor = self.world.executors.get(self.effect.executor_id)
        event = request_messages.AttemptFailed(
            self.effect.attempt_id,
            self.effect.executor_id,
            stage,
            code,
            code.value,
            bool(executor and executor.leaving),
        )
        self._schedule_event(event, delay_s)

    def _schedule_event(self, event: messages.Event, delay_s: float) -> None:
        def deliver() -> None:
            # An answer after the timeout is delivered too, to check that the
            # core drops it.
            late_failure = self.ended and isinstance(
                event, request_messages.AttemptFailed
            )
            self.ended = True
            if not late_failure:
                self.world.deliver(self.node, event)

        self.world.schedule(delay_s, deliver)

    def _time_out(self) -> None:
        if not self.ended:
            self._fail(Stage.SENT, Code.TIMEOUT, 0.0)

    def _arrive(self) -> None:
        link_s = world_module.LINK_DELAY_S
        executor = self.world.executors.get(self.effect.executor_id)
        if self._is_disconnected():
            delay_s = self.effect.connect_timeout_s
            self._fail(Stage.CONNECT, Code.CONNECT_TIMEOUT, delay_s)
        elif executor is None or not executor.alive:
            self._fail(Stage.CONNECT, Code.CONNECT_FAILED, link_s)
        elif executor.running >= executor.slots:
            self._fail(Stage.REFUSED, Code.EXECUTOR_BUSY, link_s)
        else:
            executor.running += 1
            request_id = self.effect.request_id
            executor.runs[request_id].append(self.world.now)
            work_s = executor.draw_work(self.world.rng)
            self.world.schedule(work_s, lambda: self._finish(executor))

    def _finish(self, executor: world_module.Executor) -> None:
        executor.running -= 1
        if not executor.alive or self._is_disconnected():
            link_s = world_module.LINK_DELAY_S
            self._fail(Stage.SENT, Code.CONNECTION_LOST, link_s)
            return
        if executor.fault == "truncate":
            self._fail(Stage.SENT, Code.TRUNCATED_ANSWER, 0.0)
            return
        attempt_id = self.effect.attempt_id
        if executor.fault == "crossed":
            attempt_id = executor.last_attempt
            link_s = world_module.LINK_DELAY_S
            self._fail(Stage.SENT, Code.CROSSED_ANSWER, link_s)
        executor.last_attempt = self.effect.attempt_id
        self._answer(executor, attempt_id)
        if executor.fault == "duplicate":
            self._answer(executor, attempt_id)

    def _answer(self, executor: world_module.Executor, attempt_id: str) -> None:
        answer = request_messages.AttemptAnswered(
            attempt_id,
            self.effect.executor_id,
            200,
            self.effect.content_type,
            self.effect.body,
            executor.leaving,
        )
        self._schedule_event(answer, self.world.draw_delay())


@world_module.perform.register
def _(
    effect: request_messages.SendAttempt,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    Exchange(effect, node, world).start()


@world_module.perform.register
def _(
    effect: request_messages.PollHealth,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    own_id = node.state.identity.instance_id

    def reply(event: messages.Event) -> None:
        world.schedule(
            2 * world.draw_delay(), lambda: world.deliver(node, event)
        )

    executor = world.executors.get(effect.executor_id)
    world.counts["health polls"] += 1
    if (
        executor is None
        or not executor.alive
        or world.is_disconnected(own_id, effect.executor_id)
    ):
        reply(request_messages.HealthUnread(effect.executor_id))
    else:
        reply(request_messages.HealthRead(effect.executor_id, executor.leaving))
