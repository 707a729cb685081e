"""Exchange of learned harm between owners, through one record in the store."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference_records
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

# Owners of few workers each see few pairs of images, so they tell each other
# often what they have learned.
EXCHANGE_INTERVAL_S = 1.0


@attrs.frozen
class EstimatesRead(store_messages.Purpose):
    """Reads what owners have learned."""


@attrs.frozen
class EstimatesWrite(store_messages.Purpose):
    """Adds what this instance has learned."""


@attrs.frozen
class ExchangeDue(messages.Timer):
    """Reads what owners have learned again."""


def read_estimates(batch: state.Batch) -> dispatch.Effects:
    """Reads what all owners have learned."""
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
    """Reads the record now and then while this instance owns a partition."""
    again = messages.StartTimer(ExchangeDue(), EXCHANGE_INTERVAL_S, 0.3)
    return [again, *(read_estimates(batch) if batch.partitions else [])]


@dispatch.handle_store_reply.register(EstimatesRead)
def apply_estimates(
    purpose: EstimatesRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Takes what others have learned, and adds what they lack."""
    outcome = reply.outcome
    stored: tuple[records.KnownInterference, ...] = ()
    revision = 0
    if isinstance(outcome, store_messages.Found):
        assert isinstance(outcome.value, records.InterferenceRecord)
        stored, revision = outcome.value.harms, outcome.revision
    elif not isinstance(outcome, store_messages.Absent):
        return []
    interference_records.adopt_estimates(batch.interference, stored)
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
    """Leaves a write that met another one to the next read."""
    return []
