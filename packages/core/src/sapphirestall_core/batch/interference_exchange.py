"""Exchange of learned interference between owners.

All owners read and write one record in the store. An owner replaces its
estimates by stored ones that are more precise, and writes those of its own that
are more precise than the stored ones.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference_records
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Mean time between two reads of the record, in seconds. It is short, since an
# owner of few workers measures only few pairs of images itself.
EXCHANGE_INTERVAL_S = 1.0


@attrs.frozen
class EstimatesRead(store_messages.Purpose):
    """Purpose of the read of the record of learned interference."""


@attrs.frozen
class EstimatesWrite(store_messages.Purpose):
    """Purpose of the write of the record of learned interference."""


@attrs.frozen
class ExchangeDue(messages.Timer):
    """Timer to run the next exchange."""


def read_estimates(batch: state.Batch) -> dispatch.Effects:
    """Reads the record of learned interference."""
    return [
        store_messages.StoreGet(
            EstimatesRead(),
            records.INTERFERENCE_KEY,
            records.InterferenceRecord,
        )
    ]


@dispatch.handle_timer.register(ExchangeDue)
def run_exchange(
    timer: ExchangeDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the record of learned interference and schedules the next read.

    An instance that owns no partition reads nothing.
    """
    again = messages.StartTimer(ExchangeDue(), EXCHANGE_INTERVAL_S, 0.3)
    return [again, *(read_estimates(batch) if batch.partitions else [])]


@dispatch.handle_store_reply.register(EstimatesRead)
def apply_estimates(
    purpose: EstimatesRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Merges the estimates of this instance with those in the store."""
    outcome = reply.outcome
    stored: tuple[records.InterferenceEstimate, ...] = ()
    revision = 0
    if isinstance(outcome, store_messages.Found):
        assert isinstance(outcome.value, records.InterferenceRecord)
        stored, revision = outcome.value.harms, outcome.revision
    elif not isinstance(outcome, store_messages.Absent):
        return []
    interference_records.apply_stored_estimates(batch.interference, stored)
    merged = interference_records.merge_estimates(batch.interference, stored)
    if merged == stored:
        return []
    put = store_messages.Put(
        records.INTERFERENCE_KEY, records.InterferenceRecord(merged)
    )
    return [
        store_messages.StoreTransaction(
            EstimatesWrite(), ((records.INTERFERENCE_KEY, revision),), (put,)
        )
    ]


@dispatch.handle_store_reply.register(EstimatesWrite)
def handle_write(
    purpose: EstimatesWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Ignores the outcome of a write of the record.

    After a conflict with another owner's write, the next exchange merges the
    estimates again.
    """
    return []
