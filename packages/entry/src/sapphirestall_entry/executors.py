"""HTTP client to backend servers."""

import aiohttp
import attrs

from sapphirestall_core import request_messages
from sapphirestall_entry import context as context_module

CONNECT_TIMEOUT_S = 1.0
NOT_RUN_HEADER = "X-Not-Run"
STATE_HEADER = "X-State"


@attrs.define
class Executors:
    """Sends attempts to executors."""

    context: context_module.Context
    session: aiohttp.ClientSession

    async def send(self, effect: request_messages.SendAttempt) -> None:
        """Sends one attempt and feeds its result to the core."""
        try:
            event = await self._exchange(effect)
        except aiohttp.ClientConnectorError as error:
            event = _fail(effect, "CONNECT", "connect_failed", error)
        except aiohttp.ConnectionTimeoutError as error:
            event = _fail(effect, "CONNECT", "connect_timeout", error)
        except TimeoutError as error:
            event = _fail(effect, "SENT", "timeout", error)
        except (aiohttp.ClientError, OSError) as error:
            event = _fail(effect, "SENT", "connection_lost", error)
        self.context.feed(event)

    async def _exchange(
        self, effect: request_messages.SendAttempt
    ) -> request_messages.AttemptAnswered | request_messages.AttemptFailed:
        timeout = aiohttp.ClientTimeout(
            total=effect.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {
            "Request-Id": effect.request_id,
            "Attempt-Id": effect.attempt_id,
            "Content-Type": effect.content_type,
        }
        url = f"http://{effect.address}/run/{effect.operation}"
        async with self.session.post(
            url,
            data=effect.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            leaving = response.headers.get(STATE_HEADER) == "leaving"
            if response.headers.get("Attempt-Id") != effect.attempt_id:
                response.close()
                return _fail(effect, "SENT", "crossed_answer", None)
            if response.headers.get(NOT_RUN_HEADER) == "1":
                return _fail(effect, "REFUSED", "executor_busy", None, leaving)
            return request_messages.AttemptAnswered(
                effect.attempt_id,
                effect.executor_id,
                response.status,
                response.content_type,
                body,
            )


def _fail(
    effect: request_messages.SendAttempt,
    stage: str,
    code: str,
    error: Exception | None,
    leaving: bool = False,
) -> request_messages.AttemptFailed:
    return request_messages.AttemptFailed(
        effect.attempt_id,
        effect.executor_id,
        request_messages.FailureStage[stage],
        code,
        str(error) if error else code,
        leaving,
    )
