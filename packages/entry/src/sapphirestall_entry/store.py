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

CALL_TIMEOUT_S = 2.0
# Below the call's limit, so that a connection that was never made is told
# apart from an answer that never came.
CONNECT_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 30.0

# What an answer of an unexpected form raises while it is read.
_FORM_ERRORS = (
    cattrs.BaseValidationError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class AnswerError(Exception):
    """The store answered with a status that tells no outcome.

    Attributes:
        refused: Whether the status says that the call took no effect.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.refused = 400 <= status < 500


@attrs.define
class Store:
    """Calls the platform's store; every call ends in one `StoreReply`.

    Attributes:
        list_tag: Entity tag of the instance list that was read last.
    """

    context: context_module.Context
    session: aiohttp.ClientSession
    address: str
    converter: cattrs.Converter
    list_tag: str = ""

    async def call(self, effect: store_messages.StoreEffect) -> None:
        """Performs a call and feeds its outcome to the core."""
        sent_at = self.context.clock()
        outcome = await self._attempt(effect)
        self.context.feed(
            store_messages.StoreReply(effect.purpose, outcome, sent_at)
        )

    async def _attempt(
        self, effect: store_messages.StoreEffect
    ) -> store_messages.Outcome:
        writes = changes_state(effect)
        try:
            return await request(effect, self)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return store_messages.Unavailable(False, f"connect: {error!r:.200}")
        except AnswerError as error:
            ambiguous = writes and not error.refused
            return store_messages.Unavailable(ambiguous, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return store_messages.Unavailable(writes, f"{error!r:.200}")
        except _FORM_ERRORS as error:
            self.context.counters.count_refusal("store", "invalid_answer")
            detail = f"invalid answer: {error!r:.200}"
            return store_messages.Unavailable(writes, detail)

    async def exchange(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Sends one request and returns its status and JSON body.

        Raises:
            AnswerError: The status is none of the protocol.
            aiohttp.ClientError: The call failed.
            ValueError: The body is not JSON.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        # The path is quoted already; a second quoting would change keys.
        url = yarl.URL(f"http://{self.address}{path}", encoded=True)
        async with self.session.request(
            method, url, json=body, timeout=timeout
        ) as response:
            if response.status not in (200, 404, 409, 410):
                raise AnswerError(response.status)
            return response.status, await response.json(content_type=None)

    async def read_instances(self) -> None:
        """Reads the instance list, if it is another than the last one."""
        try:
            event = await self._read_instances()
        except (
            AnswerError,
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *_FORM_ERRORS,
        ):
            self.context.counters.count_retry("store", "instances_unread")
            event = membership.InstancesUnread()
        self.context.feed(event)

    async def _read_instances(self) -> messages.Event:
        headers = {"If-None-Match": self.list_tag} if self.list_tag else {}
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
                raise AnswerError(response.status)
            listings = self.converter.structure(
                await response.json(content_type=None),
                tuple[membership.Listing, ...],
            )
            self.list_tag = response.headers.get("ETag", "")
        return membership.InstancesListed(listings)

    def decode(self, raw: Any, document: type) -> store_messages.Found:
        """Returns a stored key with its value as a typed document."""
        read = self.converter.structure
        return store_messages.Found(
            read(raw["key"], str),
            read(raw["value"], document),
            read(raw["version"], int),
            read(raw["create_revision"], int),
            read(raw["revision"], int),
        )

    def decode_all(
        self, raw: Any, document: type
    ) -> tuple[store_messages.Found, ...]:
        """Returns the listed keys; drops and counts values of another form.

        One damaged record must not hide all others.
        """
        found = []
        for item in raw:
            try:
                found.append(self.decode(item, document))
            except _FORM_ERRORS:
                self.context.counters.count_refusal("store", "invalid_value")
        return tuple(found)


def changes_state(effect: store_messages.StoreEffect) -> bool:
    """Tells whether a call changes the store."""
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
    """Performs one type of store call."""
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
    return _read_write(effect.key, status, raw, store)


@request.register
async def _(
    effect: store_messages.StoreDelete, store: Store
) -> store_messages.Outcome:
    path = (
        f"/kv/{_quote(effect.key)}?expected_version={effect.expected_version}"
    )
    status, raw = await store.exchange("DELETE", path)
    return _read_write(effect.key, status, raw, store)


def _read_write(
    key: str, status: int, raw: Any, store: Store
) -> store_messages.Outcome:
    read = store.converter.structure
    if status == 409:
        return store_messages.VersionMismatch(key, read(raw["version"], int))
    if status == 410:
        return store_messages.LeaseLost(read(raw["lease_id"], str))
    if status == 404:
        raise AnswerError(status)
    return store_messages.Written(
        key,
        read(raw["version"], int),
        read(raw["create_revision"], int),
        read(raw["revision"], int),
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
    read = store.converter.structure
    return store_messages.LeaseGranted(
        read(raw["lease_id"], str), read(raw["ttl_s"], float)
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
    read = store.converter.structure
    revision = read(raw["revision"], int)
    if read(raw["changed"], bool):
        return store_messages.Changed(revision)
    return store_messages.Unchanged(revision)
