"""Time on a worker's clock: what a lease may still cover.

A worker's steady clock may run slow by `MAX_DRIFT`, so an estimate from the
last reading is a lower bound of what the worker's clock shows.
"""

from sapphirestall_core.batch import state

MAX_DRIFT = 0.02
# Lease of a start; the hold that follows extends it. A start that is carried
# out later than this is refused by the worker.
START_LEASE_S = 2.5
# An order without an answer is carried out within this time or never. A later
# life of the worker does so too: its clock starts anew, so no lease has ended.
LATE_COMMAND_S = 12.5
# An estimate is rounded by this much where a lease must have ended.
EXPIRY_MARGIN_MS = 50


def estimate_clock(worker: state.Worker, now: float) -> int | None:
    """Returns a lower bound of a worker's clock, in milliseconds."""
    if worker.clock_ms is None:
        return None
    elapsed_s = max(0.0, now - worker.clock_at)
    return worker.clock_ms + int(elapsed_s * 1000 * (1 - MAX_DRIFT))


def record_clock(worker: state.Worker, clock_ms: int, now: float) -> None:
    """Records a reading of a worker's clock."""
    estimate = estimate_clock(worker, now)
    if estimate is None or clock_ms >= estimate:
        worker.clock_ms = clock_ms
        worker.clock_at = now


def assume_longest_lease(
    worker: state.Worker, lease_s: float, clock_ms: int
) -> None:
    """Records that a former owner may have extended the leases just before.

    Args:
        worker: The worker that has answered.
        lease_s: Longest lease that it grants.
        clock_ms: Its clock in the answer, which may not be kept as a reading.
    """
    lease_end_ms = clock_ms + int(lease_s * 1000)
    worker.lease_end_ms = max(worker.lease_end_ms, lease_end_ms)


def extend(worker: state.Worker, lease_s: float, now: float) -> int | None:
    """Returns the end of a lease from now on, and records that it is asked."""
    clock_ms = estimate_clock(worker, now)
    if clock_ms is None:
        return None
    lease_end_ms = clock_ms + int(lease_s * 1000)
    worker.lease_end_ms = max(worker.lease_end_ms, lease_end_ms)
    return lease_end_ms


def have_expired(worker: state.Worker, lease_s: float, now: float) -> bool:
    """Tells whether every lease that was ever asked for has ended.

    A later life takes the end of a lease by its own clock, which is unknown;
    the lease is then at most as long as a worker grants.
    """
    if worker.reborn_at is not None:
        longest_s = LATE_COMMAND_S + lease_s / (1 - MAX_DRIFT)
        return now - worker.reborn_at > longest_s
    clock_ms = estimate_clock(worker, now)
    return (
        clock_ms is not None
        and clock_ms > worker.lease_end_ms + EXPIRY_MARGIN_MS
    )
