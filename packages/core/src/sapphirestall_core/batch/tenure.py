"""Bounds on what an owner does while its ownership is not confirmed.

An owner confirms its ownership by a renewal of its store lease, and proves it
by writes that expect its owner key: of its roster and of its summary, which it
writes about once a second. Nobody else can tell when a renewal took place, but
a write has a revision, and a successor knows when the store had reached it. The
end of the key tells nothing, as it may have been revoked before its time.

If the last renewal is older than the lifetime of the store lease, the owner key
may be gone and a successor may control some of the workers, even if this owner
still reaches others. Owner and successor share the bounds of this module:

* An owner requests run leases that end at most `CONFIRMED_EXTRA_S` and the
  duration of a run lease after its last confirmation and its last proof.
* Without a confirmation it requests short leases, and starts tasks, only while
  every worker that its stored roster names has answered a call sent in the last
  `MAX_CALL_AGE_S`. A worker that a successor has called refuses such calls.
* It stops `UNCONFIRMED_LIMIT_S` after its last confirmation in any case.

A successor that finds a worker silent computes from the same bounds when all
runs of former owners there have ended. None of this depends on why the former
owner lost its key or on which side of a network fault the worker is.
"""

from sapphirestall_core.batch import leases
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

# Lifetime of the owner keys after the last renewal of the store lease. A killed
# owner is replaced after this time. A process that pauses, or a store that is
# slow, for this long causes a takeover.
LEASE_TTL_S = 2.5
LEASE_RENEWAL_INTERVAL_S = 0.6
# Run leases may end this much later after a confirmation than they last. With
# less, more of them end in a cut of some seconds; with more, the tasks of a
# worker that is lost together with its owner wait longer.
CONFIRMED_EXTRA_S = LEASE_RENEWAL_INTERVAL_S
# Age of the last confirmation from which on polls return sooner, so that recent
# answers are known when the store lease may have expired.
CONFIRMATION_OVERDUE_S = 2 * LEASE_RENEWAL_INTERVAL_S
# Longest time since the sending of the last call that a worker answered. The
# polls of a responding worker are sent and answered at least twice in it.
MAX_CALL_AGE_S = 1.25
# Duration of the leases that polls request without a confirmation. A successor
# waits for their end in addition to `MAX_CALL_AGE_S`, so that longer ones would
# delay the tasks of a worker that crashed together with its owner.
UNCONFIRMED_LEASE_S = 2.8
# An owner that the platform's store does not answer for this long stops even if
# it reaches all of its workers: a successor that reaches none of them cannot
# wait for an answer forever.
UNCONFIRMED_LIMIT_S = 50.0


def is_confirmed(
    batch: state.Batch, partition: state.Partition, now: float
) -> bool:
    """Returns whether the owner may act as if its owner key existed.

    It does exist, unless it was revoked since the last renewal. The leases of
    starts have to end within the bound that follows from the last proof, too.
    """
    if now - batch.lease_renewed_at > LEASE_TTL_S:
        return False
    lease_s = leases.choose_run_lease(batch.identity.limits)
    longest_age_s = lease_s + CONFIRMED_EXTRA_S - leases.START_LEASE_S
    return now - partition.proved_at <= longest_age_s


def is_overdue(batch: state.Batch, now: float) -> bool:
    """Returns whether the next confirmation is later than expected."""
    return now - batch.lease_renewed_at > CONFIRMATION_OVERDUE_S


def may_have_successor(
    batch: state.Batch, partition: state.Partition, now: float
) -> bool:
    """Returns whether an unnoticed successor may control some of the workers.

    This is so if the store lease of the owner key may have expired and a worker
    of the stored roster does not answer: a successor may have called it, while
    others still accept this owner's token. The roster in the store counts, and
    not the current workers, because the successor reads the former. A worker
    that has been replaced since, or that this owner has given up, is silent.
    """
    if is_confirmed(batch, partition, now):
        return False
    if now - batch.lease_renewed_at > UNCONFIRMED_LIMIT_S:
        return True
    targets = partition.roster_targets | partition.roster_targets_in_flight
    return any(not _has_answered(partition, target, now) for target in targets)


def _has_answered(
    partition: state.Partition, target: worker_messages.Target, now: float
) -> bool:
    """Returns whether an incarnation of a worker accepts this owner's token."""
    worker = partition.workers.get(target.worker_id)
    return (
        worker is not None
        and worker.target == target
        and now - worker.answered_call_sent_at <= MAX_CALL_AGE_S
    )


def choose_lease(
    batch: state.Batch, partition: state.Partition, now: float
) -> float | None:
    """Returns the duration of the lease that a poll requests, in seconds.

    Returns:
        None, for no extension, if this owner may have a successor.
    """
    lease_s = leases.choose_run_lease(batch.identity.limits)
    if is_confirmed(batch, partition, now):
        age_s = now - min(batch.lease_renewed_at, partition.proved_at)
        return min(lease_s, lease_s + CONFIRMED_EXTRA_S - age_s)
    if may_have_successor(batch, partition, now):
        return None
    return min(lease_s, UNCONFIRMED_LEASE_S)


def find_leases_end(
    lease_s: float,
    unowned_since: float,
    proved_at: float,
    witness_answered_at: float | None,
) -> float:
    """Returns when all leases that former owners requested have expired.

    A former owner had no confirmation after the end of its key, and no proof
    after the last one that is stored. An owner without a confirmation notices
    its successor when that has called a worker of its roster.

    Args:
        lease_s: Longest lease that an owner requests, in seconds.
        unowned_since: Monotonic time at which the key of the former owner was
            gone, in seconds.
        proved_at: Monotonic time at which the store had the last proof of a
            former owner for certain, in seconds; infinite if it is not known.
        witness_answered_at: Monotonic time at which a worker that each former
            owner had in its roster first answered the new owner, in seconds;
            None if none has.

    Returns:
        Monotonic time, in seconds.
    """
    confirmed_end_at = min(
        unowned_since, proved_at
    ) + leases.find_longest_duration(lease_s + CONFIRMED_EXTRA_S)
    if witness_answered_at is None:
        last_request_at = unowned_since + UNCONFIRMED_LIMIT_S
    else:
        last_request_at = witness_answered_at + MAX_CALL_AGE_S
    unconfirmed_end_at = last_request_at + leases.find_longest_duration(
        UNCONFIRMED_LEASE_S
    )
    return max(confirmed_end_at, unconfirmed_end_at)


def record_proof(partition: state.Partition, sent_at: float) -> None:
    """Records that a write under the owner key of a partition has succeeded.

    Args:
        partition: The owned partition.
        sent_at: Monotonic time at which the write was sent, in seconds.
    """
    partition.proved_at = max(partition.proved_at, sent_at)


def was_confirmed_since(batch: state.Batch, since: float) -> bool:
    """Returns whether the ownership was confirmed after a monotonic time.

    A conclusion from silence, such as that a lease has expired, holds only for
    an owner that had no successor at that time.
    """
    return batch.lease_renewed_at >= since
