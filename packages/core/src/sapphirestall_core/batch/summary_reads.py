"""Reads of the summaries that owners publish."""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

MAX_ALL_SUMMARIES_AGE_S = 1.4


@attrs.frozen
class SummaryRead(store_messages.Purpose):
    """Reads the summaries of the own data centre or of all partitions."""

    all_partitions: bool


def read_summaries(batch: state.Batch, now: float) -> dispatch.Effects:
    """Reads what the owners publish; those of other data centres less often."""
    if now - batch.all_summaries_read_at > MAX_ALL_SUMMARIES_AGE_S:
        return read_all_summaries(batch)
    prefix = records.SUMMARIES_PREFIX + batch.identity.data_centre
    return _read_summaries(batch, prefix, all_partitions=False)


def read_all_summaries(batch: state.Batch) -> dispatch.Effects:
    """Reads what the owners of all data centres publish."""
    return _read_summaries(batch, records.SUMMARIES_PREFIX, all_partitions=True)


def _read_summaries(
    batch: state.Batch, prefix: str, *, all_partitions: bool
) -> dispatch.Effects:
    if batch.summaries_read_in_flight:
        return []
    batch.summaries_read_in_flight = True
    return [
        store_messages.StoreList(
            SummaryRead(all_partitions), prefix, records.SummaryRecord
        )
    ]
