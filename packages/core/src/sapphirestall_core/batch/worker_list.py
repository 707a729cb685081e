"""Reads of the platform's list of workers and the age of what they showed.

The list tells an owner which workers drain. A worker that drains must get no
starts after a time limit of the deployment, so an owner starts tasks only while
its last read of the list is recent.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# Longest time from the decision to start a task until the worker gets the
# command, in seconds: the time limit of the call.
START_DELIVERY_S = 0.7
# Part of the remaining time in which an owner does not decide to start tasks,
# in seconds. It covers a loop that is late.
LATENESS_MARGIN_S = 0.1
# Interval of reads, as a share of the time limit for starts on draining
# workers. Reads are then recent unless one takes unusually long.
READ_INTERVAL_SHARE = 0.4
MAX_READ_INTERVAL_S = 1.0
# A read without a result for this long, in seconds, has failed unexpectedly.
# Without another one, an owner would never start tasks again.
READ_LOST_S = 6.0
# Interval of reads of an instance that owns no partition, and that only has to
# detect new ones beside the owners of its data centre.
IDLE_READ_INTERVAL_S = 3.0


@attrs.frozen
class ReadEntries(messages.Effect):
    """Reads the platform's list of workers."""


@attrs.frozen
class EntriesRead(messages.Event):
    """Reports that a read of the platform's list of workers has ended.

    Attributes:
        entries: The listed workers; None if the read failed.
        sent_at: Monotonic time at which the read was sent, in seconds.
    """

    entries: tuple[model.WorkerEntry, ...] | None
    sent_at: float


def read_entries(batch: state.Batch, now: float) -> dispatch.Effects:
    """Reads the platform's list of workers, unless a read is in flight."""
    sent_at = batch.workers_read_sent_at
    if sent_at is not None and now - sent_at < READ_LOST_S:
        return []
    batch.workers_read_sent_at = now
    return [ReadEntries()]


def finish_read(batch: state.Batch, event: EntriesRead) -> None:
    """Records the end of a read."""
    batch.workers_read_sent_at = None
    if event.entries is not None:
        batch.workers_listed_at = event.sent_at


def choose_interval(batch: state.Batch) -> float:
    """Returns the time between two reads, in seconds.

    Where a data centre has no workers, no owner reads for its other instances.
    """
    has_owners = batch.identity.data_centre in batch.known_partitions.values()
    if has_owners and not batch.partitions:
        return IDLE_READ_INTERVAL_S
    limit_s = batch.identity.limits.drain_s
    return min(MAX_READ_INTERVAL_S, READ_INTERVAL_SHARE * limit_s)


def is_recent(batch: state.Batch, now: float) -> bool:
    """Returns whether the last read is recent enough to start tasks.

    While the store is unavailable the list cannot be read, and workers cannot
    announce that they drain.
    """
    if batch.store_down_since is not None:
        return True
    if batch.workers_listed_at is None:
        return False
    limit_s = batch.identity.limits.drain_s
    max_age_s = limit_s - START_DELIVERY_S - LATENESS_MARGIN_S
    return now - batch.workers_listed_at <= max_age_s
