"""HTTP client to workers."""

import functools
from typing import Any

import aiohttp
import attrs
import cattrs

from sapphirestall_core import messages
from sapphirestall_core import task_messages
from sapphirestall_entry import context as context_module
from sapphirestall_entry import decoding

CALL_TIMEOUT_S = 1.5


@attrs.frozen
class Refusal:
    """Body of an answer with which a worker refuses a call.

    Attributes:
        code: Reason code.
        highest_epoch: Highest epoch that the worker has seen; 0 if the refusal
            does not tell it.
    """

    code: str
    highest_epoch: int = 0


@attrs.define
class Workers:
    """Calls workers; each call results in exactly one event.

    Attributes:
        context: Adapters and settings of the process.
        session: HTTP client session.
        converter: Converts the bodies of calls and reports.
    """

    context: context_module.Context
    session: aiohttp.ClientSession
    converter: cattrs.Converter

    async def call(self, effect: task_messages.WorkerEffect) -> None:
        """Performs a call and passes its result to the core."""
        sent_at = self.context.clock()
        path, body = encode(effect, self.converter)
        body |= {
            "owner": self.context.identity.instance_id,
            "epoch": effect.epoch,
            "expires_at": effect.expires_at,
            "incarnation": effect.incarnation,
        }
        try:
            status, raw = await self._exchange(effect.address, path, body)
            event = self._decode(effect, sent_at, status, raw)
        except aiohttp.ClientConnectorError:
            event = make_failed(effect, sent_at, "unreachable", False, 0)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *decoding.DECODE_ERRORS,
        ):
            event = make_failed(effect, sent_at, "unreachable", True, 0)
        self.context.feed(event)

    def _decode(
        self,
        effect: task_messages.WorkerEffect,
        sent_at: float,
        status: int,
        raw: Any,
    ) -> messages.Event:
        if status == 200:
            return make_done(effect, sent_at, raw, self.converter)
        refusal = self.converter.structure(raw, Refusal)
        return make_failed(
            effect, sent_at, refusal.code, False, refusal.highest_epoch
        )

    async def _exchange(
        self, address: str, path: str, body: dict[str, Any]
    ) -> tuple[int, Any]:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        url = f"http://{address}{path}"
        async with self.session.post(
            url, json=body, timeout=timeout
        ) as response:
            return response.status, await response.json()


@functools.singledispatch
def encode(
    effect: task_messages.WorkerEffect, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    """Returns the path and the body of a call, without the common fields."""
    raise NotImplementedError(type(effect).__name__)


@encode.register
def _(
    effect: task_messages.PollWorker, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    return "/poll", {
        "lease_s": effect.lease_s,
        "renew": converter.unstructure(effect.renew),
        "acknowledge": converter.unstructure(effect.acknowledge),
    }


@encode.register
def _(
    effect: task_messages.StartTask, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    return "/tasks", {
        "name": converter.unstructure(effect.name),
        "kind": effect.kind,
        "reserved": converter.unstructure(effect.reserved),
        "run_s": effect.run_s,
        "lease_s": effect.lease_s,
        "checkpoint": effect.checkpoint,
    }


@encode.register
def _(
    effect: task_messages.CheckpointTask, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    return f"/tasks/{effect.name}/checkpoint", {}


@encode.register
def _(
    effect: task_messages.ThrottleTask, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    return f"/tasks/{effect.name}/throttle", {"share": effect.share}


@encode.register
def _(
    effect: task_messages.StopTask, converter: cattrs.Converter
) -> tuple[str, dict[str, Any]]:
    return f"/tasks/{effect.name}/stop", {}


@functools.singledispatch
def make_done(
    effect: task_messages.WorkerEffect,
    sent_at: float,
    raw: Any,
    converter: cattrs.Converter,
) -> messages.Event:
    """Returns the event for a call that the worker carried out.

    Args:
        effect: The call.
        sent_at: Monotonic time at which the call was sent, in seconds.
        raw: Body of the answer.
        converter: Converts the report in the body.
    """
    checkpoint = converter.structure(raw.get("checkpoint", ""), str)
    return task_messages.CommandDone(
        effect.worker_id, sent_at, effect, checkpoint
    )


@make_done.register
def _(
    effect: task_messages.PollWorker,
    sent_at: float,
    raw: Any,
    converter: cattrs.Converter,
) -> messages.Event:
    report = converter.structure(raw, task_messages.WorkerReport)
    return task_messages.WorkerReported(
        effect.worker_id, sent_at, effect.epoch, effect.round_number, report
    )


@functools.singledispatch
def make_failed(
    effect: task_messages.WorkerEffect,
    sent_at: float,
    code: str,
    ambiguous: bool,
    highest_epoch: int,
) -> messages.Event:
    """Returns the event for a call that failed or was refused.

    Args:
        effect: The call.
        sent_at: Monotonic time at which the call was sent, in seconds.
        code: Reason code.
        ambiguous: Whether the call may have taken effect.
        highest_epoch: Highest epoch that the worker has seen, if it refused the
            call; else 0.
    """
    return task_messages.CommandFailed(
        effect.worker_id, sent_at, effect, code, ambiguous, highest_epoch
    )


@make_failed.register
def _(
    effect: task_messages.PollWorker,
    sent_at: float,
    code: str,
    ambiguous: bool,
    highest_epoch: int,
) -> messages.Event:
    return task_messages.WorkerFailed(
        effect.worker_id,
        sent_at,
        effect.epoch,
        effect.round_number,
        code,
        highest_epoch,
    )
