"""Reads of the summaries that owners publish of their partitions."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# When the summaries of all data centres are older than this, in seconds, all
# are read instead of only those of the instance's own data centre.
MAX_ALL_SUMMARIES_AGE_S = 1.4


@attrs.frozen
class SummaryRead(store_messages.Purpose):
    """Purpose of the read of summaries.

    Attributes:
        all_partitions: Whether the summaries of all data centres are read, and
            not only those of the instance's own data centre.
    """

    all_partitions: bool


@attrs.frozen
class SummariesUpdated(messages.Event):
    """Reports that summaries were read."""


def read_summaries(batch: state.Batch, now: float) -> dispatch.Effects:
    """Reads the summaries of the instance's own data centre.

    Reads those of all data centres instead if these were last read too long
    ago.
    """
    if now - batch.all_summaries_read_at > MAX_ALL_SUMMARIES_AGE_S:
        return read_all_summaries(batch)
    prefix = records.SUMMARIES_PREFIX + batch.identity.data_centre
    return _read_summaries(batch, prefix, all_partitions=False)


def read_all_summaries(batch: state.Batch) -> dispatch.Effects:
    """Reads the summaries of all data centres."""
    return _read_summaries(batch, records.SUMMARIES_PREFIX, all_partitions=True)


def keep_recent(
    batch: state.Batch, max_age_s: float, now: float
) -> dispatch.Effects:
    """Reads the summaries of all data centres if they are too old.

    Args:
        batch: State of this instance.
        max_age_s: Age from which they are read again, in seconds.
        now: Monotonic time, in seconds.
    """
    if now - batch.all_summaries_read_at <= max_age_s:
        return []
    return read_all_summaries(batch)


def _read_summaries(
    batch: state.Batch, prefix: str, *, all_partitions: bool
) -> dispatch.Effects:
    """Reads the summaries under a key prefix unless a read is in flight."""
    if batch.summaries_read_in_flight:
        return []
    batch.summaries_read_in_flight = True
    return [
        store_messages.StoreList(
            SummaryRead(all_partitions), prefix, records.SummaryRecord
        )
    ]
