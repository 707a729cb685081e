"""Estimates of workers' clocks and of the ends of run leases.

A run lease ends at a time on the worker's steady clock. That clock may run slow
by `MAX_CLOCK_DRIFT`, so an estimate that allows for this drift since the last
reading is a lower bound of what the clock shows.
"""

from sapphirestall_core.batch import state

# Largest error of a clock, as a fraction of the measured time.
MAX_CLOCK_DRIFT = 0.02
# Longest lease that owners request for runs, even if workers grant longer ones.
# The tasks of a crashed worker wait for its end before they start elsewhere.
MAX_RUN_LEASE_S = 6.0
# Lease of a newly started run; the next poll extends it. A worker refuses a
# start command that it receives after the end of this lease.
START_LEASE_S = 2.5
# An unanswered command is carried out within this time or never. A restarted
# worker may also carry it out: its clock starts anew, so that the lease in the
# command has not expired there.
LATE_COMMAND_S = 12.5
# Margin for rounding where a lease is required to have expired.
EXPIRY_MARGIN_MS = 50


def choose_run_lease(limits: state.Limits) -> float:
    """Returns the duration of the lease that polls request, in seconds."""
    return min(limits.worker_lease_s, MAX_RUN_LEASE_S)


def find_longest_duration(lease_s: float) -> float:
    """Returns how long a lease may last if the worker's clock runs slow.

    Args:
        lease_s: Duration of the lease on the worker's clock, in seconds.

    Returns:
        Duration in seconds.
    """
    return lease_s / (1 - MAX_CLOCK_DRIFT)


def estimate_clock(worker: state.Worker, now: float) -> int | None:
    """Returns a lower bound of a worker's clock.

    Returns:
        Clock in milliseconds; None before the first reading.
    """
    if worker.clock_ms is None:
        return None
    elapsed_s = max(0.0, now - worker.clock_read_at)
    return worker.clock_ms + int(elapsed_s * 1000 * (1 - MAX_CLOCK_DRIFT))


def record_clock(worker: state.Worker, clock_ms: int, now: float) -> None:
    """Records a reading of a worker's clock unless it is below the estimate.

    A lower reading was delayed on its way and would worsen the estimate.
    """
    estimate = estimate_clock(worker, now)
    if estimate is None or clock_ms >= estimate:
        worker.clock_ms = clock_ms
        worker.clock_read_at = now


def assume_longest_lease(
    worker: state.Worker, lease_s: float, clock_ms: int
) -> None:
    """Assumes that a former owner has just extended the leases on a worker.

    Args:
        worker: The worker that has answered.
        lease_s: Longest lease that an owner requests, in seconds.
        clock_ms: Clock of the worker in its answer, in milliseconds. It may
            differ from the reading that was kept.
    """
    lease_end_ms = clock_ms + int(lease_s * 1000)
    worker.lease_end_ms = max(worker.lease_end_ms, lease_end_ms)


def extend(
    worker: state.Worker,
    call: state.LeaseCall,
    lease_s: float,
    now: float,
) -> int | None:
    """Computes the end of a lease that starts now, and records it.

    Args:
        worker: The worker whose lease is requested.
        call: The call that requests it.
        lease_s: Duration of the lease, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        End of the lease on the worker's clock, in milliseconds; None if that
        clock is unknown.
    """
    clock_ms = estimate_clock(worker, now)
    if clock_ms is None:
        return None
    _drop_expired_requests(worker, clock_ms)
    lease_end_ms = clock_ms + int(lease_s * 1000)
    worker.requested_lease_ends[call] = lease_end_ms
    return lease_end_ms


def _drop_expired_requests(worker: state.Worker, clock_ms: int) -> None:
    """Drops calls whose leases have expired, as some never get a reply.

    Whether the worker has carried them out does not matter any more.
    """
    ends = worker.requested_lease_ends
    for call in [call for call, end in ends.items() if end < clock_ms]:
        worker.lease_end_ms = max(worker.lease_end_ms, ends.pop(call))


def record_outcome(
    worker: state.Worker, call: state.LeaseCall, *, is_refused: bool
) -> None:
    """Records whether a call that requested a lease may have extended it.

    Args:
        worker: The worker that was called.
        call: The call; it may have requested no lease.
        is_refused: Whether the worker has done nothing, or was not called.
    """
    lease_end_ms = worker.requested_lease_ends.pop(call, None)
    if lease_end_ms is not None and not is_refused:
        worker.lease_end_ms = max(worker.lease_end_ms, lease_end_ms)


def find_latest_end(worker: state.Worker) -> int:
    """Returns the latest end of a lease that a call may have requested.

    Returns:
        Time on the worker's clock, in milliseconds.
    """
    return max(worker.lease_end_ms, *worker.requested_lease_ends.values(), 0)


def compute_remaining(
    worker: state.Worker, lease_s: float, now: float
) -> float | None:
    """Returns the time after which every requested lease has expired.

    Args:
        worker: The worker that may have runs.
        lease_s: Longest lease that a worker grants, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        Time in seconds; None if the worker's clock is unknown.
    """
    if worker.restarted_at is not None:
        longest_s = LATE_COMMAND_S + find_longest_duration(lease_s)
        return max(0.0, worker.restarted_at + longest_s - now)
    clock_ms = estimate_clock(worker, now)
    if clock_ms is None:
        return None
    lease_end_ms = find_latest_end(worker)
    remaining_ms = max(0, lease_end_ms + EXPIRY_MARGIN_MS - clock_ms)
    return remaining_ms / 1000 / (1 - MAX_CLOCK_DRIFT)


def have_expired(worker: state.Worker, lease_s: float, now: float) -> bool:
    """Returns whether every lease requested from a worker has expired.

    A restarted worker compares the end of a lease with its new clock, which is
    unknown here. It grants a lease of at most `lease_s`, counted from the last
    moment at which it may have carried out a command.

    Args:
        worker: The worker that may have runs.
        lease_s: Longest lease that a worker grants, in seconds.
        now: Monotonic time, in seconds.
    """
    if worker.restarted_at is not None:
        longest_s = LATE_COMMAND_S + find_longest_duration(lease_s)
        return now - worker.restarted_at > longest_s
    clock_ms = estimate_clock(worker, now)
    return (
        clock_ms is not None
        and clock_ms > find_latest_end(worker) + EXPIRY_MARGIN_MS
    )
