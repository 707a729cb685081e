"""Store lease of an instance, to which its owner keys are bound."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure

# Interval of an instance that owns nothing. It needs the store lease only when
# it acquires a partition.
IDLE_RENEWAL_INTERVAL_S = 1.0


@attrs.frozen
class LeaseGrant(store_messages.Purpose):
    """Purpose of the grant of this instance's store lease."""


@attrs.frozen
class LeaseRenewal(store_messages.Purpose):
    """Purpose of the renewal of this instance's store lease."""


@attrs.frozen
class LeaseEnd(store_messages.Purpose):
    """Purpose of the end of the store lease when the process shuts down."""


@attrs.frozen
class LeaseDue(messages.Timer):
    """Timer to obtain or renew the store lease."""


@dispatch.handle_timer.register(LeaseDue)
def renew_store_lease(
    timer: LeaseDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Obtains or renews the store lease and schedules the next renewal."""
    active = batch.partitions or batch.acquiring
    interval_s = (
        tenure.LEASE_RENEWAL_INTERVAL_S if active else IDLE_RENEWAL_INTERVAL_S
    )
    next_renewal = messages.StartTimer(LeaseDue(), interval_s)
    if batch.lease_call_in_flight or batch.shutting_down:
        return [next_renewal]
    batch.lease_call_in_flight = True
    batch.lease_call_sent_at = now
    call: store_messages.StoreEffect
    if batch.lease_id:
        call = store_messages.StoreRenewLease(LeaseRenewal(), batch.lease_id)
    else:
        call = store_messages.StoreGrantLease(LeaseGrant(), tenure.LEASE_TTL_S)
    return [next_renewal, call]


@dispatch.handle_store_reply.register(LeaseGrant)
def handle_lease_grant(
    purpose: LeaseGrant,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Stores the granted lease id and reads the owner keys.

    The read finds partitions without an owner, to be acquired under the lease.
    """
    batch.lease_call_in_flight = False
    if not isinstance(reply.outcome, store_messages.LeaseGranted):
        return []
    batch.lease_id = reply.outcome.lease_id
    batch.lease_renewed_at = reply.sent_at
    return [owner_reads.read_owners()]


@dispatch.handle_store_reply.register(LeaseRenewal)
def handle_lease_renewal(
    purpose: LeaseRenewal,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records a renewal, or gives up all partitions if the lease was lost.

    After a loss it requests a new store lease.
    """
    batch.lease_call_in_flight = False
    if isinstance(reply.outcome, store_messages.LeaseGranted):
        batch.lease_renewed_at = reply.sent_at
        return _apply_confirmation(batch, now)
    if not isinstance(reply.outcome, store_messages.LeaseLost):
        return []
    effects = drop(batch, now)
    if not batch.shutting_down:
        batch.lease_call_in_flight = True
        batch.lease_call_sent_at = now
        effects.append(
            store_messages.StoreGrantLease(LeaseGrant(), tenure.LEASE_TTL_S)
        )
    return effects


def drop(batch: state.Batch, now: float) -> dispatch.Effects:
    """Gives up all partitions, as their keys have ended with the lease."""
    batch.lease_id = ""
    effects: dispatch.Effects = []
    for name in list(batch.partitions):
        effects += ownership.resign(batch, name, "lease_lost", now)
    return effects


def _apply_confirmation(batch: state.Batch, now: float) -> dispatch.Effects:
    """Requests the passes that waited for a confirmation of the ownership."""
    wanted_at = batch.confirmation_wanted_at
    if wanted_at is None:
        return []
    if batch.lease_renewed_at < wanted_at:
        return _renew_now(batch, now)
    batch.confirmation_wanted_at = None
    effects: dispatch.Effects = []
    for partition in batch.partitions.values():
        effects += passes.request_pass(partition)
    return effects


def request_confirmation(batch: state.Batch, now: float) -> dispatch.Effects:
    """Renews the store lease without waiting for the next regular renewal.

    Passes start the tasks of runs that ended by a worker's silence only after a
    renewal that was sent later.
    """
    batch.confirmation_wanted_at = now
    return _renew_now(batch, now)


def _renew_now(batch: state.Batch, now: float) -> dispatch.Effects:
    if batch.lease_call_in_flight or not batch.lease_id or batch.shutting_down:
        return []
    batch.lease_call_in_flight = True
    batch.lease_call_sent_at = now
    return [store_messages.StoreRenewLease(LeaseRenewal(), batch.lease_id)]
