"""Workers to which an owner grants no leases, as its roster says.

The tasks of a silent worker start elsewhere once all leases there have expired.
The owner knows when that is, since it extends no lease of a silent worker. This
would be lost with a killed owner, and its successor would have to assume that
leases were extended until the end. The roster therefore names the workers that
have been silent for a while, with the time within which the leases there
expire. The owner grants no lease on such a worker before it has written a
roster that lacks it again.

The first roster of an owner also names all workers that have not answered it
yet. Most of them are sound and answer soon after. If the store fails then, the
roster cannot be written again, and their runs would lapse. After the kill of an
owner that roster therefore names a later time than it has to, and the owner
grants leases there that end by that time.
"""

from collections.abc import Mapping
import math

from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import state

# Time without an answer after which the roster names a worker, in seconds. It
# costs a write, and another one when the worker answers again.
SILENCE_S = 1.5
# The roster is written again when a time in it is longer by this than it needs
# to be, because a process that has just started counts from its read.
MAX_EXCESS_MS = 1500
# Time after the first roster of an owner, in seconds, until which it may grant
# leases on workers that have not answered it before. It covers a short outage
# of the store; a successor that does not reach such a worker waits until then.
GRANT_S = 4.8
# Difference of two times for the end of the same leases by rounding.
TOLERANCE_MS = 10


def list_withheld(
    batch: state.Batch, partition: state.Partition, now: float
) -> dict[str, int]:
    """Returns what the roster has to say of the silent workers of a partition.

    Returns:
        By worker, the time within which all leases there expire, in
        milliseconds. Lacks workers of which the owner does not know it.
    """
    withheld_ms = {}
    for name in partition.unlisted_workers.union(partition.workers):
        if not _is_silent(batch, partition, name, now):
            continue
        remaining_s = releases.find_remaining(batch, partition, name, now)
        if remaining_s is not None:
            grant_s = partition.grants_end_at.get(name, now) - now
            withheld_ms[name] = int(max(remaining_s, grant_s) * 1000) + 1
    return withheld_ms


def update_grants(partition: state.Partition, now: float) -> None:
    """Decides on which workers that the roster names leases may be granted.

    These are workers that have not answered the owner before its first roster,
    until a call gets no answer. The release or the roster of a former owner
    that has named the end of the leases there counts as it is.
    """
    for name in partition.unlisted_workers:
        is_known = name in partition.former_withheld_end_at or not math.isinf(
            former_runs.find_released_end(partition, name)
        )
        if awaits_first_answer(partition, name) and not is_known:
            partition.grants_end_at.setdefault(name, now + GRANT_S)
    for name in list(partition.grants_end_at):
        worker = partition.workers.get(name)
        if worker is None or worker.unresponsive:
            del partition.grants_end_at[name]


def limit_lease(
    partition: state.Partition, name: str, lease_s: float, now: float
) -> float | None:
    """Limits the duration of a lease to what the roster allows.

    Args:
        partition: The owned partition.
        name: Id of the worker.
        lease_s: Duration of the lease that the owner would request, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        Duration in seconds; None if no lease must be granted.
    """
    if not partition.withholds_leases(name):
        return lease_s
    left_s = partition.grants_end_at.get(name, now) - now
    most_s = left_s * (1 - leases.MAX_CLOCK_DRIFT)
    most_s -= leases.EXPIRY_MARGIN_MS / 1000
    return min(lease_s, most_s) if most_s > 0 else None


def _is_silent(
    batch: state.Batch, partition: state.Partition, name: str, now: float
) -> bool:
    """Returns whether the roster should withhold the leases on a worker."""
    was_silent = partition.withholds_leases(name)
    if partition.phase is state.Phase.LOADING:
        was_silent |= name in partition.former_withheld_end_at
    if batch.store_down_since is not None and not was_silent:
        # The roster could not be written again once the worker answers.
        return False
    worker = partition.workers.get(name)
    if worker is None:
        return True
    if worker.last_answer_at is None:
        # This owner has not reached it yet, and so grants no leases there.
        is_awaited = awaits_first_answer(partition, name)
        return worker.unresponsive or was_silent or is_awaited
    if not worker.unresponsive:
        return False
    if worker.entry.draining and has_closed_connection(worker):
        # It exits, and will hardly answer again.
        return True
    return now - worker.last_answer_at >= SILENCE_S


def has_closed_connection(worker: state.Worker) -> bool:
    """Returns whether a host has closed a connection since its worker answered.

    A worker that exits does so. A cut is usually silent.
    """
    answered_at, closed_at = worker.last_answer_at, worker.closed_at
    if answered_at is None or closed_at is None:
        return False
    return closed_at >= answered_at


def awaits_first_answer(partition: state.Partition, name: str) -> bool:
    """Returns whether the first roster of an owner should name a worker.

    Former owners may have had runs there, and this owner, which has written no
    roster yet, has got no answer. If it is killed before it knows that the
    worker is silent, its successor need not wait anew.
    """
    if partition.generation_raised or name not in partition.unlisted_workers:
        return False
    worker = partition.workers.get(name)
    return worker is None or worker.last_answer_at is None


def needs_write(
    partition: state.Partition, withheld_ms: Mapping[str, int], now: float
) -> bool:
    """Returns whether the roster in the store has to be written again.

    A release that was read later than the roster was written may name a later
    time than the roster.

    Args:
        partition: Partition whose roster was written.
        withheld_ms: What it has to say now.
        now: Monotonic time, in seconds.
    """
    stored_ms = partition.withheld_ms
    if stored_ms.keys() != withheld_ms.keys():
        return True
    age_ms = (now - partition.withheld_from) * 1000
    for name, current_ms in withheld_ms.items():
        if stored_ms[name] - current_ms >= MAX_EXCESS_MS:
            return True
        left_ms = max(0.0, stored_ms[name] - age_ms)
        if current_ms - left_ms > TOLERANCE_MS:
            return True
    return False


def observe_roster(
    batch: state.Batch,
    partition: state.Partition,
    roster: records.RosterRecord,
    revision: int,
    now: float,
) -> None:
    """Keeps when leases expire according to the roster of the former owner.

    Args:
        batch: State of this instance.
        partition: Partition that this instance has just acquired.
        roster: The roster, which nobody else can write any more.
        revision: Store revision of the roster.
        now: Monotonic time, in seconds.
    """
    written_at = batch.revision_times.find_reached_at(revision, now)
    partition.former_withheld_end_at = {
        name: written_at + lease_ms / 1000
        for name, lease_ms in roster.withheld_ms.items()
    }
