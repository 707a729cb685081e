"""HTTP client to the platform's key-value store and instance list."""

import functools
from typing import Any

import aiohttp
import attrs
import cattrs

from sapphirestall_core import membership
from sapphirestall_core import store_messages
from sapphirestall_entry import context as context_module

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 30.0


@attrs.define
class Store:
    """Calls the platform's store; every call ends in one `StoreReply`."""

    context: context_module.Context
    session: aiohttp.ClientSession
    address: str
    converter: cattrs.Converter

    async def call(self, effect: store_messages.StoreEffect) -> None:
        """Performs a call and feeds its outcome to the core."""
        sent_at = self.context.clock()
        try:
            outcome = await request(effect, self)
        except aiohttp.ClientConnectorError as error:
            outcome = store_messages.Unavailable(False, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome = store_messages.Unavailable(True, repr(error))
        self.context.feed(
            store_messages.StoreReply(effect.purpose, outcome, sent_at)
        )

    async def exchange(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Sends one request and returns its status and JSON body.

        Raises:
            aiohttp.ClientError: The call failed; statuses of 500 and above
                count as failures.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{self.address}{path}"
        async with self.session.request(
            method, url, json=body, timeout=timeout
        ) as response:
            if response.status >= 500:
                response.raise_for_status()
            return response.status, await response.json()

    async def read_instances(self) -> None:
        """Reads the instance list; an empty event stands for a failure."""
        listings: tuple[membership.Listing, ...] = ()
        try:
            _, body = await self.exchange("GET", "/instances")
            listings = self.converter.structure(
                body, tuple[membership.Listing, ...]
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            cattrs.BaseValidationError,
        ):
            self.context.counters.count_retry("store", "instances_unread")
        self.context.feed(membership.InstancesListed(listings))

    def decode(self, raw: Any, document: type) -> store_messages.Found:
        """Returns a stored key with its value as a typed document."""
        return store_messages.Found(
            raw["key"],
            self.converter.structure(raw["value"], document),
            raw["version"],
            raw["create_revision"],
            raw["revision"],
        )


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
    status, raw = await store.exchange("GET", f"/kv/{effect.key}")
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
    status, raw = await store.exchange("PUT", f"/kv/{effect.key}", body)
    return _read_write(effect.key, status, raw)


@request.register
async def _(
    effect: store_messages.StoreDelete, store: Store
) -> store_messages.Outcome:
    path = f"/kv/{effect.key}?expected_version={effect.expected_version}"
    status, raw = await store.exchange("DELETE", path)
    return _read_write(effect.key, status, raw)


def _read_write(key: str, status: int, raw: Any) -> store_messages.Outcome:
    if status == 409:
        return store_messages.VersionMismatch(key, raw["version"])
    if status == 410:
        return store_messages.LeaseLost(raw["lease_id"])
    return store_messages.Written(
        key, raw["version"], raw["create_revision"], raw["revision"]
    )


@request.register
async def _(
    effect: store_messages.StoreList, store: Store
) -> store_messages.Outcome:
    _, raw = await store.exchange("GET", f"/kv?prefix={effect.prefix}")
    entries = tuple(
        store.decode(item, effect.document) for item in raw["entries"]
    )
    return store_messages.Listed(entries, raw["revision"])


@request.register
async def _(
    effect: store_messages.StoreGrantLease, store: Store
) -> store_messages.Outcome:
    _, raw = await store.exchange("POST", "/leases", {"ttl_s": effect.ttl_s})
    return store_messages.LeaseGranted(raw["lease_id"], raw["ttl_s"])


@request.register
async def _(
    effect: store_messages.StoreRenewLease, store: Store
) -> store_messages.Outcome:
    path = f"/leases/{effect.lease_id}/renew"
    status, raw = await store.exchange("POST", path)
    if status == 410:
        return store_messages.LeaseLost(effect.lease_id)
    return store_messages.LeaseGranted(effect.lease_id, raw["ttl_s"])


@request.register
async def _(
    effect: store_messages.StoreWatch, store: Store
) -> store_messages.Outcome:
    path = (
        f"/watch/{effect.prefix}?after={effect.after_revision}"
        f"&wait_s={WATCH_TIMEOUT_S}"
    )
    _, raw = await store.exchange(
        "GET", path, timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S
    )
    if raw["changed"]:
        return store_messages.Changed(raw["revision"])
    return store_messages.Unchanged(raw["revision"])
