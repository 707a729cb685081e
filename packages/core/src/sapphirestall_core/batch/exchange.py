"""Exchange of learned harm between owners, through one record in the store."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import rooms
from sapphirestall_core.batch import state

# Owners of few workers each see few pairs of images, so they tell each other
# often what they have learned.
INTERVAL_S = 1.0


@attrs.frozen
class HarmsRead(store_messages.Purpose):
    """Reads what owners have learned."""


@attrs.frozen
class HarmsWrite(store_messages.Purpose):
    """Adds what this instance has learned."""


@attrs.frozen
class HarmsDue(messages.Timer):
    """Reads what owners have learned again."""


def read(batch: state.Batch) -> dispatch.Effects:
    """Reads what all owners have learned."""
    return [
        store_messages.StoreGet(
            HarmsRead(), records.INTERFERENCE_KEY, records.InterferenceRecord
        )
    ]


@dispatch.handle_timer.register(HarmsDue)
def poll(timer: HarmsDue, batch: state.Batch, now: float) -> dispatch.Effects:
    """Reads the record now and then while this instance owns a partition."""
    again = messages.StartTimer(HarmsDue(), INTERVAL_S, 0.3)
    return [again, *(read(batch) if batch.partitions else [])]


@dispatch.handle_store_reply.register(HarmsRead)
def take(
    purpose: HarmsRead,
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
    rooms.take_harms(batch.interference, stored)
    merged = rooms.merge_harms(batch.interference, stored)
    if merged == stored:
        return []
    put = store_messages.Put(
        records.INTERFERENCE_KEY, records.InterferenceRecord(merged)
    )
    return [
        store_messages.StoreTransaction(
            HarmsWrite(), ((records.INTERFERENCE_KEY, revision),), (put,)
        )
    ]


@dispatch.handle_store_reply.register(HarmsWrite)
def end_write(
    purpose: HarmsWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Leaves a write that met another one to the next read."""
    return []
