"""HTTP client to executors on backend servers."""

import random

import aiohttp
import attrs

from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_entry import context as context_module
from sapphirestall_entry import decoding

HEALTH_TIMEOUT_S = 0.5
CONNECT_JITTER = 0.2
NOT_RUN_HEADER = "X-Not-Run"
STATE_HEADER = "X-State"
ATTEMPT_HEADER = "Attempt-Id"

Code = outcomes.Code
Stage = request_messages.FailureStage


class InvalidAnswerError(Exception):
    """An executor's answer is invalid and must not be passed to a caller.

    Attributes:
        code: Stable reason code for the caller and for metrics.
    """

    def __init__(self, code: outcomes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code


@attrs.define
class Executors:
    """Sends attempts and health polls to executors.

    Attributes:
        context: Adapters and settings of the process.
        session: HTTP client session.
    """

    context: context_module.Context
    session: aiohttp.ClientSession

    async def send(self, effect: request_messages.SendAttempt) -> None:
        """Sends an attempt and passes its result to the core.

        Any failure closes the connection. On a reused connection, a late answer
        could be mistaken for the answer to the next request.
        """
        event: messages.Event
        try:
            event = await self._exchange(effect)
        except aiohttp.ClientConnectorError as error:
            event = _make_failed(
                effect, Stage.CONNECT, Code.CONNECT_FAILED, error
            )
        except aiohttp.ConnectionTimeoutError as error:
            event = _make_failed(
                effect, Stage.CONNECT, Code.CONNECT_TIMEOUT, error
            )
        except InvalidAnswerError as error:
            event = _make_failed(effect, Stage.SENT, error.code, error)
        except TimeoutError as error:
            event = _make_failed(effect, Stage.SENT, Code.TIMEOUT, error)
        except aiohttp.ClientPayloadError as error:
            event = _make_failed(
                effect, Stage.SENT, Code.TRUNCATED_ANSWER, error
            )
        except (aiohttp.ClientError, OSError) as error:
            event = _make_failed(
                effect, Stage.SENT, Code.CONNECTION_LOST, error
            )
        self.context.feed(event)

    async def _exchange(
        self, effect: request_messages.SendAttempt
    ) -> request_messages.AttemptAnswered | request_messages.AttemptFailed:
        # Jitter keeps entry instances from retrying at the same moment; it
        # needs no cryptographic random numbers.
        factor = 1 + CONNECT_JITTER * random.uniform(-1, 1)
        connect_s = min(effect.connect_timeout_s * factor, effect.timeout_s)
        timeout = aiohttp.ClientTimeout(
            total=effect.timeout_s, sock_connect=connect_s
        )
        headers = {
            "Request-Id": effect.request_id,
            ATTEMPT_HEADER: effect.attempt_id,
            "Content-Type": effect.content_type,
        }
        async with self.session.post(
            f"http://{effect.address}/run/{effect.operation}",
            data=effect.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            try:
                return await self._read_answer(effect, response)
            except BaseException:
                response.close()
                raise

    async def _read_answer(
        self,
        effect: request_messages.SendAttempt,
        response: aiohttp.ClientResponse,
    ) -> request_messages.AttemptAnswered | request_messages.AttemptFailed:
        """Reads the complete answer to an attempt.

        Raises:
            InvalidAnswerError: The answer belongs to another attempt, is too
                long, or is sent without a length, so that a truncation could
                not be detected.
        """
        headers = response.headers
        if headers.get(ATTEMPT_HEADER) != effect.attempt_id:
            detail = "the answer names another attempt"
            raise InvalidAnswerError(Code.CROSSED_ANSWER, detail)
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        if "Content-Length" not in headers and not chunked:
            detail = "the answer does not state its length"
            raise InvalidAnswerError(Code.TRUNCATED_ANSWER, detail)
        body = await self._read_body(response)
        leaving = headers.get(STATE_HEADER) == "leaving"
        if response.status == 503 and headers.get(NOT_RUN_HEADER) == "1":
            return _make_failed(
                effect, Stage.REFUSED, Code.EXECUTOR_BUSY, None, leaving
            )
        return request_messages.AttemptAnswered(
            effect.attempt_id,
            effect.executor_id,
            response.status,
            headers.get("Content-Type", ""),
            body,
            leaving,
        )

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        limit = self.context.settings.max_body_bytes
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > limit:
                detail = f"the answer is longer than {limit} bytes"
                raise InvalidAnswerError(Code.ANSWER_TOO_LONG, detail)
        return bytes(body)

    async def poll(self, effect: request_messages.PollHealth) -> None:
        """Polls the health of an executor and passes the result to the core."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        url = f"http://{effect.address}/health"
        event: messages.Event
        try:
            async with self.session.get(url, timeout=timeout) as response:
                health = await response.json()
            leaving = health["state"] == "leaving"
            event = request_messages.HealthRead(effect.executor_id, leaving)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            *decoding.DECODE_ERRORS,
        ):
            event = request_messages.HealthUnread(effect.executor_id)
        self.context.feed(event)


def _make_failed(
    effect: request_messages.SendAttempt,
    stage: request_messages.FailureStage,
    code: outcomes.Code,
    error: Exception | None,
    leaving: bool = False,
) -> request_messages.AttemptFailed:
    return request_messages.AttemptFailed(
        effect.attempt_id,
        effect.executor_id,
        stage,
        code,
        str(error) if error and str(error) else code.value,
        leaving,
    )
