"""Workers to which an owner grants no leases, as its roster says.

The tasks of a silent worker start elsewhere once all leases there have expired.
The owner knows when that is, since it extends no lease of a silent worker. This
would be lost with a killed owner, and its successor would have to assume that
leases were extended until the end. The roster therefore names the workers that
have been silent for a while, with the time within which the leases there
expire. The first roster of an owner names all that have not answered it yet.
The owner grants no lease on such a worker before it has written a roster that
lacks it again.
"""

from collections.abc import Mapping

from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import state

# Time without an answer after which the roster names a worker, in seconds. It
# costs a write, and another one when the worker answers again.
SILENCE_S = 1.5
# The roster is written again when a time in it is longer by this than it needs
# to be, because a process that has just started counts from its read.
MAX_EXCESS_MS = 1500
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
            withheld_ms[name] = int(remaining_s * 1000) + 1
    return withheld_ms


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
    silence_s = now - worker.last_answer_at
    return worker.unresponsive and silence_s >= SILENCE_S


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
