"""Wait for the end of runs that former owners of a partition started.

A new owner learns of these runs from the listings of the workers. Workers of
the roster that send no listing may still have such runs, and jobs that may have
them must not be started again before the leases of all of them have expired. A
worker that the roster lacks never got a run.

A former owner extends these leases until a worker refuses its calls or until it
reads of its successor in the store. If a network fault separates it and its
workers from the store, it learns of the successor only when the successor
reaches one of these workers. The wait therefore begins at the first answer of a
worker. It is shorter if the former owner was an earlier process of the same
instance, whose calls ended before this process started.
"""

from sapphirestall_core.batch import leases
from sapphirestall_core.batch import state

# Time until a former owner notices that workers refuse it, in seconds. It calls
# each worker at least this often.
OWNER_NOTICE_S = 3.0
# Time after which all workers that can be reached have sent their listings to
# an owner that has become active, in seconds.
LISTING_WAIT_S = 1.5
# Time after which the workers of a partition are assumed to be gone if none of
# them has answered, in seconds.
UNREACHABLE_S = 60.0


def start_wait(partition: state.Partition, lease_s: float, now: float) -> None:
    """Starts the wait when an owner becomes active.

    Args:
        partition: Partition of the owner.
        lease_s: Longest lease that an owner requests, in seconds.
        now: Monotonic time, in seconds.
    """
    partition.active_at = now
    partition.former_runs_end_at = _find_end(partition, lease_s, now)


def record_contact(
    partition: state.Partition, lease_s: float, now: float
) -> None:
    """Records the first answer of a worker to a call with the owner's token.

    Args:
        partition: Partition of the owner.
        lease_s: Longest lease that an owner requests, in seconds.
        now: Monotonic time, in seconds.
    """
    if partition.first_answer_at is not None:
        return
    partition.first_answer_at = now
    if partition.active_at is not None:
        partition.former_runs_end_at = _find_end(partition, lease_s, now)


def _find_end(partition: state.Partition, lease_s: float, now: float) -> float:
    """Returns when runs that no listing has shown have ended.

    Args:
        partition: Partition of the owner, which is active.
        lease_s: Longest lease that an owner requests, in seconds.
        now: Monotonic time, in seconds.
    """
    assert partition.active_at is not None
    longest_s = leases.find_longest_duration(lease_s)
    if partition.former_owner_ended_at is not None:
        runs_end_at = partition.former_owner_ended_at + longest_s
    elif partition.first_answer_at is None:
        return now + UNREACHABLE_S
    else:
        runs_end_at = partition.first_answer_at + longest_s + OWNER_NOTICE_S
    # Listings also tell which runs have ended and how, so they are awaited even
    # if the leases expire earlier.
    return max(runs_end_at, partition.active_at + LISTING_WAIT_S)


def describe_wait(
    partition: state.Partition, now: float
) -> dict[str, float | str]:
    """Returns log fields that tell by which facts a wait has ended."""
    answered_at = partition.first_answer_at
    return {
        "unowned_s": round(now - partition.unowned_since, 3),
        "contact_s": "" if answered_at is None else round(now - answered_at, 3),
        "held_s": round(now - partition.acquired_at, 3),
        "released": partition.released_generation == partition.generation - 1,
    }


def have_ended(partition: state.Partition, now: float) -> bool:
    """Returns whether all runs of former owners are listed or have ended."""
    return not partition.unlisted_workers or now >= partition.former_runs_end_at
