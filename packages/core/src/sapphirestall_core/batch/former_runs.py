"""When runs of former owners that no worker has listed are over.

A former owner extends the leases of its runs until a worker refuses it or it
reads of its successor in the store. One that is cut off together with its
workers learns of nothing, so the time counts only from the moment at which the
successor has reached the first of these workers.
"""

from sapphirestall_core.batch import leases
from sapphirestall_core.batch import state

# A former owner that workers refuse has noticed it after this time, as it
# calls each worker at least this often.
OWNER_NOTICE_S = 3.0
# Workers that answer an owner which has become active do so within this time.
LISTING_WAIT_S = 1.5
# Workers that are reached by nobody for this long are taken as gone.
UNREACHABLE_S = 60.0


def start_wait(partition: state.Partition, lease_s: float, now: float) -> None:
    """Begins to wait for the listings of all workers."""
    partition.unlisted_workers |= set(partition.workers)
    partition.active_at = now
    partition.former_runs_end_at = _find_end(partition, lease_s, now)


def record_contact(
    partition: state.Partition, lease_s: float, now: float
) -> None:
    """Notes that a worker has answered under the owner's token."""
    if partition.first_answer_at is not None:
        return
    partition.first_answer_at = now
    if partition.active_at is not None:
        partition.former_runs_end_at = _find_end(partition, lease_s, now)


def _find_end(partition: state.Partition, lease_s: float, now: float) -> float:
    assert partition.active_at is not None
    if partition.first_answer_at is None:
        return now + UNREACHABLE_S
    longest_s = lease_s / (1 - leases.MAX_DRIFT)
    runs_end_at = partition.first_answer_at + longest_s + OWNER_NOTICE_S
    # What has ended is known only from listings, which come after this.
    return max(runs_end_at, partition.active_at + LISTING_WAIT_S)


def have_ended(partition: state.Partition, now: float) -> bool:
    """Tells whether no unknown run of a former owner can exist."""
    return not partition.unlisted_workers or now >= partition.former_runs_end_at
