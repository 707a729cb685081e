"""HTTP client to the platform's key-value store and instance list."""

import functools
from typing import Any
from urllib import parse

import aiohttp
import attrs
import cattrs
import yarl

from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_entry import context as context_module
from sapphirestall_entry import decoding

CALL_TIMEOUT_S = 2.0
# Shorter than the time limit of the call. A call that could not connect then
# fails as such, which proves that it had no effect.
CONNECT_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 30.0


class UnexpectedStatusError(Exception):
    """The store answered with a status that the protocol does not define.

    Attributes:
        refused: Whether the status means that the call had no effect.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.refused = 400 <= status < 500


@attrs.define
class Store:
    """Calls the platform's store; each call results in one `StoreReply`.

    Attributes:
        context: Adapters and settings of the process.
        session: HTTP client session.
        address: Address of the store, as host:port.
        converter: Converts the values of keys.
        instances_etag: Entity tag of the last instance list that was read.
    """

    context: context_module.Context
    session: aiohttp.ClientSession
    address: str
    converter: cattrs.Converter
    instances_etag: str = ""

    async def call(self, effect: store_messages.StoreEffect) -> None:
        """Performs a call and passes its outcome to the core."""
        sent_at = self.context.clock()
        outcome = await self._perform(effect)
        self.context.feed(
            store_messages.StoreReply(effect.purpose, outcome, sent_at)
        )

    async def _perform(
        self, effect: store_messages.StoreEffect
    ) -> store_messages.Outcome:
        is_write = changes_state(effect)
        try:
            return await request(effect, self)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return store_messages.Unavailable(False, f"connect: {error!r:.200}")
        except UnexpectedStatusError as error:
            ambiguous = is_write and not error.refused
            return store_messages.Unavailable(ambiguous, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return store_messages.Unavailable(is_write, f"{error!r:.200}")
        except decoding.DECODE_ERRORS as error:
            self.context.counters.count_refusal("store", "invalid_answer")
            detail = f"invalid answer: {decoding.describe_error(error)}"
            return store_messages.Unavailable(is_write, detail)

    async def exchange(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Sends a request and returns the status and the JSON body.

        Args:
            method: HTTP method.
            path: Path and query, already percent-encoded.
            body: Value to send as JSON; None sends no body.
            timeout_s: Time limit for the answer, in seconds.

        Raises:
            UnexpectedStatusError: The protocol does not define the status.
            aiohttp.ClientError: The call failed.
            TimeoutError: No answer arrived within the time limit.
            ValueError: The body is not JSON.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        # The path is already percent-encoded; a second encoding would change
        # the keys.
        url = yarl.URL(f"http://{self.address}{path}", encoded=True)
        async with self.session.request(
            method, url, json=body, timeout=timeout
        ) as response:
            if response.status not in (200, 404, 409, 410):
                raise UnexpectedStatusError(response.status)
            return response.status, await response.json(content_type=None)

    async def read_instances(self) -> None:
        """Reads the instance list if it has changed since the last read."""
        try:
            event = await self._read_instances()
        except (
            UnexpectedStatusError,
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *decoding.DECODE_ERRORS,
        ):
            self.context.counters.count_retry("store", "instances_unread")
            event = membership.InstancesUnread()
        self.context.feed(event)

    async def _read_instances(self) -> messages.Event:
        headers = (
            {"If-None-Match": self.instances_etag}
            if self.instances_etag
            else {}
        )
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"http://{self.address}/instances"
        async with self.session.get(
            url, headers=headers, timeout=timeout
        ) as response:
            if response.status == 304:
                return membership.InstancesUnchanged()
            if response.status != 200:
                raise UnexpectedStatusError(response.status)
            listings = self.converter.structure(
                await response.json(content_type=None),
                tuple[membership.Listing, ...],
            )
            self.instances_etag = response.headers.get("ETag", "")
        return membership.InstancesListed(listings)

    def decode(self, raw: Any, document: type) -> store_messages.Found:
        """Returns a stored key with its value.

        Args:
            raw: Decoded JSON object of the key.
            document: Type to which the value is decoded.
        """
        structure = self.converter.structure
        return store_messages.Found(
            structure(raw["key"], str),
            structure(raw["value"], document),
            structure(raw["version"], int),
            structure(raw["create_revision"], int),
            structure(raw["revision"], int),
        )

    def decode_all(
        self, raw: Any, document: type
    ) -> tuple[store_messages.Found, ...]:
        """Returns the listed keys whose values can be decoded.

        Other keys are omitted and counted, so that one damaged record does not
        hide the others.
        """
        found = []
        for item in raw:
            try:
                found.append(self.decode(item, document))
            except decoding.DECODE_ERRORS:
                self.context.counters.count_refusal("store", "invalid_value")
        return tuple(found)


def changes_state(effect: store_messages.StoreEffect) -> bool:
    """Returns whether a call changes the store."""
    return isinstance(
        effect,
        store_messages.StorePut
        | store_messages.StoreDelete
        | store_messages.StoreGrantLease
        | store_messages.StoreRenewLease,
    )


def _quote(text: str) -> str:
    return parse.quote(text, safe="/")


@functools.singledispatch
async def request(
    effect: store_messages.StoreEffect, store: Store
) -> store_messages.Outcome:
    """Sends a call to the store and returns its outcome."""
    raise NotImplementedError(type(effect).__name__)


@request.register
async def _(
    effect: store_messages.StoreGet, store: Store
) -> store_messages.Outcome:
    status, raw = await store.exchange("GET", f"/kv/{_quote(effect.key)}")
    if status == 404:
        return store_messages.Absent(effect.key)
    return store.decode(raw, effect.document)


@request.register
async def _(
    effect: store_messages.StorePut, store: Store
) -> store_messages.Outcome:
    body = {
        "value": store.converter.unstructure(effect.value),
        "expected_version": effect.expected_version,
        "lease_id": effect.lease_id,
    }
    status, raw = await store.exchange("PUT", f"/kv/{_quote(effect.key)}", body)
    return _decode_write(effect.key, status, raw, store)


@request.register
async def _(
    effect: store_messages.StoreDelete, store: Store
) -> store_messages.Outcome:
    path = (
        f"/kv/{_quote(effect.key)}?expected_version={effect.expected_version}"
    )
    status, raw = await store.exchange("DELETE", path)
    return _decode_write(effect.key, status, raw, store)


def _decode_write(
    key: str, status: int, raw: Any, store: Store
) -> store_messages.Outcome:
    structure = store.converter.structure
    if status == 409:
        return store_messages.VersionMismatch(
            key, structure(raw["version"], int)
        )
    if status == 410:
        return store_messages.LeaseLost(structure(raw["lease_id"], str))
    if status == 404:
        raise UnexpectedStatusError(status)
    return store_messages.Written(
        key,
        structure(raw["version"], int),
        structure(raw["create_revision"], int),
        structure(raw["revision"], int),
    )


@request.register
async def _(
    effect: store_messages.StoreList, store: Store
) -> store_messages.Outcome:
    _, raw = await store.exchange("GET", f"/kv?prefix={_quote(effect.prefix)}")
    entries = store.decode_all(raw["entries"], effect.document)
    return store_messages.Listed(
        entries, store.converter.structure(raw["revision"], int)
    )


@request.register
async def _(
    effect: store_messages.StoreGrantLease, store: Store
) -> store_messages.Outcome:
    _, raw = await store.exchange("POST", "/leases", {"ttl_s": effect.ttl_s})
    structure = store.converter.structure
    return store_messages.LeaseGranted(
        structure(raw["lease_id"], str), structure(raw["ttl_s"], float)
    )


@request.register
async def _(
    effect: store_messages.StoreRenewLease, store: Store
) -> store_messages.Outcome:
    path = f"/leases/{_quote(effect.lease_id)}/renew"
    status, raw = await store.exchange("POST", path)
    if status == 410:
        return store_messages.LeaseLost(effect.lease_id)
    ttl_s = store.converter.structure(raw["ttl_s"], float)
    return store_messages.LeaseGranted(effect.lease_id, ttl_s)


@request.register
async def _(
    effect: store_messages.StoreWatch, store: Store
) -> store_messages.Outcome:
    path = (
        f"/watch/{_quote(effect.prefix)}?after={effect.after_revision}"
        f"&wait_s={WATCH_TIMEOUT_S}"
    )
    _, raw = await store.exchange(
        "GET", path, timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S
    )
    structure = store.converter.structure
    revision = structure(raw["revision"], int)
    if structure(raw["changed"], bool):
        return store_messages.Changed(revision)
    return store_messages.Unchanged(revision)
