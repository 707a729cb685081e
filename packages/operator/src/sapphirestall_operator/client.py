"""HTTP client of the operators' interface of an entry instance."""

import json
from typing import Any
from urllib import parse

import aiohttp
import attrs
import yarl

from sapphirestall_core import errors

# An entry instance answers after 10 s at the latest.
CALL_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0


@attrs.frozen
class Client:
    """Calls one entry instance.

    Attributes:
        address: Address of its operators' interface, as host:port.
    """

    address: str

    async def call(
        self, method: str, path: str, body: object = None
    ) -> dict[str, Any]:
        """Sends a call and returns the decoded answer.

        Args:
            method: HTTP method.
            path: Path and query, already percent-encoded.
            body: Value to send as JSON; None sends no body.

        Raises:
            errors.UnreachableError: The call was not sent, a call that changes
                no state got no answer, or the answer is not a JSON object.
            errors.UnknownOutcomeError: A call that changes state got no
                answer, or the instance answered that the outcome is unknown.
            errors.RefusedError: The instance refused the call.
        """
        try:
            status, text = await self._exchange(method, path, body)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise self._make_error(
                errors.UnreachableError, str(error)
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            error_class = (
                errors.UnreachableError
                if method == "GET"
                else errors.UnknownOutcomeError
            )
            detail = f"no answer: {error!r:.200}"
            raise self._make_error(error_class, detail) from error
        return self._decode(status, text)

    async def _exchange(
        self, method: str, path: str, body: object
    ) -> tuple[int, str]:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = yarl.URL(f"http://{self.address}{path}", encoded=True)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status, await response.text()

    def _decode(self, status: int, text: str) -> dict[str, Any]:
        try:
            answer = json.loads(text)
        except ValueError:
            answer = None
        if not isinstance(answer, dict):
            detail = f"status {status} without a JSON object"
            raise self._make_error(errors.UnreachableError, detail)
        if answer.get("outcome") == "unknown":
            raise self._make_error(
                errors.UnknownOutcomeError, _describe_problem(answer)
            )
        if status >= 400:
            raise self._make_error(
                errors.RefusedError, _describe_problem(answer)
            )
        return answer

    def _make_error(
        self, error_class: type[errors.SapphirestallError], detail: str
    ) -> errors.SapphirestallError:
        return error_class(detail, step="call", peer=self.address)


def _describe_problem(answer: dict[str, Any]) -> str:
    return f"{answer.get('code')}: {answer.get('detail')}"


def make_path(*parts: str) -> str:
    """Returns the path of a resource with its parts percent-encoded."""
    return "/v1/" + "/".join(parse.quote(part, safe="") for part in parts)
