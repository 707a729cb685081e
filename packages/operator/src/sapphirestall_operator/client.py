"""HTTP client to the operators' interface of an entry instance."""

import json
from typing import Any
from urllib import parse

import aiohttp
import attrs
import yarl

from sapphirestall_core import errors

# Above the 10 s after which an entry instance answers in any case.
TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0


@attrs.frozen
class Client:
    """Calls one entry instance.

    Attributes:
        address: `host:port` of its operators' interface.
    """

    address: str

    async def call(
        self, method: str, path: str, body: object = None
    ) -> dict[str, Any]:
        """Sends one call and returns the decoded answer.

        Raises:
            errors.UnreachableError: The call was not sent, or a call that
                changes nothing got no answer.
            errors.UnknownOutcomeError: A call that changes state got no
                answer that tells whether it did.
            errors.RefusedError: The instance refused the call.
        """
        try:
            status, text = await self._exchange(method, path, body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise self._fail(errors.UnreachableError, str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            kind = (
                errors.UnreachableError
                if method == "GET"
                else errors.UnknownOutcomeError
            )
            detail = f"no answer: {error!r:.200}"
            raise self._fail(kind, detail) from error
        return self._read(status, text)

    async def _exchange(
        self, method: str, path: str, body: object
    ) -> tuple[int, str]:
        timeout = aiohttp.ClientTimeout(
            total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = yarl.URL(f"http://{self.address}{path}", encoded=True)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status, await response.text()

    def _read(self, status: int, text: str) -> dict[str, Any]:
        try:
            answer = json.loads(text)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            detail = f"status {status} without a JSON object"
            raise self._fail(errors.UnreachableError, detail)
        if answer.get("outcome") == "unknown":
            raise self._fail(errors.UnknownOutcomeError, _describe(answer))
        if status >= 400:
            raise self._fail(errors.RefusedError, _describe(answer))
        return answer

    def _fail(
        self, kind: type[errors.SapphirestallError], detail: str
    ) -> errors.SapphirestallError:
        return kind(detail, step="call", peer=self.address)


def _describe(answer: dict[str, Any]) -> str:
    return f"{answer.get('code')}: {answer.get('detail')}"


def make_path(*parts: str) -> str:
    """Returns the path of a resource; each part is quoted."""
    return "/v1/" + "/".join(parse.quote(part, safe="") for part in parts)
