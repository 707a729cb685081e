"""Simulation of calls to the platform's store in virtual time."""

from collections.abc import Callable
import functools

from sapphirestall_core import store_messages
from standins import store_model
from standins import world as world_module


@world_module.perform.register
def _(
    effect: store_messages.StoreEffect,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    sent_at = world.now
    world.counts[f"store {type(effect).__name__}"] += 1

    def answer(outcome: store_messages.Outcome, delay_s: float) -> None:
        event = store_messages.StoreReply(effect.purpose, outcome, sent_at)
        world.schedule(delay_s, lambda: world.deliver(node, event))

    def execute_call() -> None:
        node_id = node.state.identity.instance_id
        if world.faults.store_down or world.is_disconnected(
            node_id, world_module.STORE
        ):
            outcome = store_messages.Unavailable(False, "down")
            answer(outcome, world_module.CALL_TIMEOUT_S)
            return
        if _draw_late_write(effect, world):
            delay_s = world.rng.random() * world_module.MAX_LATE_WRITE_DELAY_S
            world.schedule(delay_s, lambda: apply_call(effect, world))
            outcome = store_messages.Unavailable(True, "no answer in time")
            answer(outcome, world_module.CALL_TIMEOUT_S)
            return
        outcome = apply_call(effect, world)
        if _is_write(effect) and (
            world.rng.random() < world.faults.lost_answers
        ):
            outcome = store_messages.Unavailable(True, "answer lost")
            answer(outcome, world_module.CALL_TIMEOUT_S)
            return
        answer(outcome, world_module.STORE_DELAY_S / 2)

    if isinstance(effect, store_messages.StoreWatch):
        _watch(
            effect, node, world, answer, world.now + world_module.WATCH_WAIT_S
        )
    else:
        delay_s = world_module.STORE_DELAY_S / 2 + world.faults.slow_store_s
        world.schedule(delay_s + _queue_write(effect, world), execute_call)


def _queue_write(
    effect: store_messages.StoreEffect, world: world_module.World
) -> float:
    """Queues a write behind earlier ones; returns its wait, in seconds."""
    if not world.faults.writes_per_s or not _is_write(effect):
        return 0.0
    starts_at = max(world.now, world.store_busy_until)
    world.store_busy_until = starts_at + 1 / world.faults.writes_per_s
    return world.store_busy_until - world.now


def _draw_late_write(
    effect: store_messages.StoreEffect, world: world_module.World
) -> bool:
    share = world.faults.late_writes
    return bool(share and _is_write(effect) and world.rng.random() < share)


def _is_write(effect: store_messages.StoreEffect) -> bool:
    return isinstance(
        effect, store_messages.StorePut | store_messages.StoreDelete
    )


def _watch(
    effect: store_messages.StoreWatch,
    node: world_module.Node,
    world: world_module.World,
    answer: Callable[[store_messages.Outcome, float], None],
    ends_at: float,
) -> None:
    node_id = node.state.identity.instance_id
    if world.faults.store_down or world.is_disconnected(
        node_id, world_module.STORE
    ):
        answer(
            store_messages.Unavailable(False, "down"),
            world_module.STORE_DELAY_S,
        )
    elif world.store.has_changed(effect.prefix, effect.after_revision):
        answer(
            store_messages.Changed(world.store.revision),
            world_module.STORE_DELAY_S,
        )
    elif world.now >= ends_at:
        answer(
            store_messages.Unchanged(world.store.revision),
            world_module.STORE_DELAY_S,
        )
    else:
        world.schedule(
            0.05, lambda: _watch(effect, node, world, answer, ends_at)
        )


def apply_call(
    effect: store_messages.StoreEffect, world: world_module.World
) -> store_messages.Outcome:
    """Applies a store call and returns its outcome, which may be a refusal."""
    world.store.expire_leases(world.now)
    try:
        return apply(effect, world.store, world.now)
    except store_model.VersionMismatchError as error:
        key = getattr(effect, "key", "")
        return store_messages.VersionMismatch(key, error.version)
    except store_model.LeaseLostError as error:
        return store_messages.LeaseLost(str(error))


@functools.singledispatch
def apply(
    effect: store_messages.StoreEffect, store: store_model.Store, now: float
) -> store_messages.Outcome:
    """Applies one type of store call; refusals are raised as errors."""
    raise NotImplementedError(type(effect).__name__)


def _make_found(item: store_model.Item) -> store_messages.Found:
    return store_messages.Found(
        item.key,
        item.value,
        item.version,
        item.create_revision,
        item.revision,
    )


@apply.register
def _(
    effect: store_messages.StoreGet, store: store_model.Store, now: float
) -> store_messages.Outcome:
    item = store.items.get(effect.key)
    return _make_found(item) if item else store_messages.Absent(effect.key)


@apply.register
def _(
    effect: store_messages.StorePut, store: store_model.Store, now: float
) -> store_messages.Outcome:
    item = store.put(
        effect.key, effect.value, effect.expected_version, effect.lease_id
    )
    return store_messages.Written(
        item.key, item.version, item.create_revision, item.revision
    )


@apply.register
def _(
    effect: store_messages.StoreDelete, store: store_model.Store, now: float
) -> store_messages.Outcome:
    item = store.delete(effect.key, effect.expected_version)
    return store_messages.Written(
        item.key, item.version, item.create_revision, store.revision
    )


@apply.register
def _(
    effect: store_messages.StoreList, store: store_model.Store, now: float
) -> store_messages.Outcome:
    entries = tuple(_make_found(item) for item in store.find(effect.prefix))
    return store_messages.Listed(entries, store.revision)


@apply.register
def _(
    effect: store_messages.StoreGrantLease,
    store: store_model.Store,
    now: float,
) -> store_messages.Outcome:
    lease = store.grant(effect.ttl_s, now)
    return store_messages.LeaseGranted(lease.lease_id, lease.ttl_s)


@apply.register
def _(
    effect: store_messages.StoreRenewLease,
    store: store_model.Store,
    now: float,
) -> store_messages.Outcome:
    lease = store.renew(effect.lease_id, now)
    return store_messages.LeaseGranted(lease.lease_id, lease.ttl_s)
