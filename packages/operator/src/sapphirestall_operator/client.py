"""HTTP client to the operators' interface of an entry instance."""

from typing import Any

import aiohttp
import attrs

from sapphirestall_core import errors

TIMEOUT_S = 15.0


@attrs.frozen
class Client:
    """Calls one entry instance.

    Attributes:
        address: `host:port` of its operators' interface.
    """

    address: str

    async def call(self, method: str, path: str, body: object = None) -> Any:
        """Sends one call and returns the decoded answer.

        Raises:
            errors.UnreachableError: No answer arrived.
            errors.RefusedError: The instance refused the command.
        """
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        url = f"http://{self.address}{path}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body) as response,
            ):
                answer = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.UnreachableError(
                str(error), step="call", peer=self.address
            ) from error
        if status >= 400:
            detail = f"{answer.get('code')}: {answer.get('detail')}"
            raise errors.RefusedError(detail, step="call", peer=self.address)
        return answer
