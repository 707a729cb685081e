"""Release of the runs of a partition by an owner that resigns.

An owner that has resigned extends no lease any more. It stores in the roster
when the leases that it has requested expire, so that its successor need not
assume that a worker without a listing has a lease that was just extended.

The write takes effect only if the roster is unchanged. Each owner raises the
generation in the roster before it extends leases or starts tasks, so the owner
that reads a release is the next one that does so.
"""

import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "takeover"


@attrs.frozen
class ReleaseWrite(store_messages.Purpose):
    """Purpose of the write of the roster by an owner that has resigned."""


def release(partition: state.Partition, now: float) -> dispatch.Effects:
    """Stores when the leases on the workers of a partition expire.

    Does nothing if the owner was not active, and has therefore extended no
    lease, or does not know the current roster.

    Args:
        partition: Partition whose ownership has just been given up.
        now: Monotonic time, in seconds.
    """
    if (
        partition.phase is not state.Phase.ACTIVE
        or partition.roster_write_in_flight
        or partition.roster_revision is None
    ):
        return []
    remaining_s = {
        name: _find_remaining(partition, name, now)
        for name in sorted(partition.roster)
    }
    roster = records.RosterRecord(
        partition.generation,
        tuple(sorted(partition.roster)),
        tuple(sorted(partition.roster_draining)),
        {
            name: int(seconds * 1000) + 1
            for name, seconds in remaining_s.items()
            if seconds is not None
        },
    )
    key = records.make_roster_key(partition.name)
    return [
        store_messages.StoreTransaction(
            ReleaseWrite(),
            ((key, partition.roster_revision),),
            (store_messages.Put(key, roster),),
        )
    ]


def _find_remaining(
    partition: state.Partition, name: str, now: float
) -> float | None:
    """Returns the time after which all runs on a worker have ended.

    Returns:
        Time in seconds; None if it is not known.
    """
    former_s = None
    if name in partition.unlisted_workers:
        ends_at = min(
            partition.former_runs_end_at,
            partition.former_leases_end_at.get(name, math.inf),
        )
        former_s = max(0.0, ends_at - now)
    worker = partition.workers.get(name)
    if worker is None:
        # The owner removes a worker only when it has no runs left, also if it
        # has not been able to store a roster without this worker yet.
        return former_s or 0.0
    if _may_start_late(worker):
        return None
    own_s = leases.compute_remaining(worker, now)
    if own_s is None or former_s is None:
        # No lease is requested while the worker's clock is unknown.
        return former_s if own_s is None else own_s
    return max(own_s, former_s)


def _may_start_late(worker: state.Worker) -> bool:
    """Returns whether a new incarnation of a worker may carry out a start.

    Its clock starts anew, so that the lease of the start ends later there.
    """
    return (
        worker.restarted_at is not None
        or bool(worker.abandoned_starts)
        or any(run.started_clock_ms is None for run in worker.runs.values())
    )


@dispatch.handle_store_reply.register(ReleaseWrite)
def handle_release(
    purpose: ReleaseWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Ignores the outcome: without the release the next owner waits longer."""
    return []


def apply_release(
    partition: state.Partition, roster: records.RosterRecord, now: float
) -> None:
    """Records when the leases of the former owner expire, if it has resigned.

    Args:
        partition: Partition of the new owner, which has not changed the roster.
        roster: The roster that was read.
        now: Monotonic time, in seconds.
    """
    for name, remaining_ms in roster.released.items():
        partition.former_leases_end_at[name] = now + remaining_ms / 1000


def settle_workers(partition: state.Partition, now: float) -> dispatch.Effects:
    """Stops waiting for workers on which all leases have expired.

    Waits for listings for a while first, as they also tell how runs have ended.
    """
    listings_due_at = (partition.active_at or now) + former_runs.LISTING_WAIT_S
    if now < listings_due_at:
        return []
    expired = {
        name
        for name in partition.unlisted_workers
        if now >= partition.former_leases_end_at.get(name, now + 1)
    }
    if not expired:
        return []
    partition.unlisted_workers -= expired
    fields = {"partition": partition.name, "workers": sorted(expired)}
    # The periodic check that calls this requests a pass.
    return [messages.Log(PART, "former_lapsed", fields)]
