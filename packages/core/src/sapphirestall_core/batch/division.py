"""Division of data centres into partitions, which all instances share.

Names of partitions follow from the division. Instances with different divisions
would own the same worker under different keys, whose fencing tokens have no
common order. The division is therefore stored once, and no instance assigns
workers to partitions before it has read it. A later version of this program
with another division follows the stored one.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_list

PART = "division"
# Division of a deployment whose store holds rosters but no division: the
# version that wrote them had this one and did not store it.
UNSTORED_DIVISION = model.Division(2)
# Mean time until a failed call is repeated, in seconds.
RETRY_S = 0.3


@attrs.frozen
class DivisionRead(store_messages.Purpose):
    """Purpose of the read of the stored division."""


@attrs.frozen
class FormerRostersRead(store_messages.Purpose):
    """Purpose of the read that tells whether partitions had owners before."""


@attrs.frozen
class DivisionWrite(store_messages.Purpose):
    """Purpose of the write of the division."""


@attrs.frozen
class DivisionDue(messages.Timer):
    """Timer to read the stored division."""


@dispatch.handle_timer.register(DivisionDue)
def read_division(
    timer: DivisionDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the stored division."""
    return [
        store_messages.StoreGet(
            DivisionRead(), records.DIVISION_KEY, records.DivisionRecord
        )
    ]


@dispatch.handle_store_reply.register(DivisionRead)
def apply_division(
    purpose: DivisionRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Adopts the stored division, or finds out which one to store."""
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Absent):
        call = store_messages.StoreList(
            FormerRostersRead(), records.ROSTERS_PREFIX, records.RosterRecord
        )
        return [call]
    if not isinstance(outcome, store_messages.Found):
        return _retry("store_unavailable")
    assert isinstance(outcome.value, records.DivisionRecord)
    batch.division = model.Division(outcome.value.racks_per_partition)
    batch.division_adopted = True
    fields = {"racks_per_partition": batch.division.racks_per_partition}
    log = messages.Log(PART, "adopted", fields)
    return [log, *worker_list.read_entries(batch, now)]


@dispatch.handle_store_reply.register(FormerRostersRead)
def store_division(
    purpose: FormerRostersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Stores the division, unless another instance does so first.

    Partitions that had owners before keep their names.
    """
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        return _retry("store_unavailable")
    has_rosters = bool(outcome.entries or outcome.unreadable)
    division = UNSTORED_DIVISION if has_rosters else model.Division()
    put = store_messages.Put(
        records.DIVISION_KEY,
        records.DivisionRecord(division.racks_per_partition),
    )
    expected = ((records.DIVISION_KEY, 0),)
    return [store_messages.StoreTransaction(DivisionWrite(), expected, (put,))]


@dispatch.handle_store_reply.register(DivisionWrite)
def read_stored_division(
    purpose: DivisionWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Reads the division that was stored.

    After a conflict another instance has stored it.
    """
    if isinstance(reply.outcome, store_messages.Committed):
        return read_division(DivisionDue(), batch, now)
    if isinstance(reply.outcome, store_messages.Conflict):
        return _retry("write_conflict")
    return _retry("store_unavailable")


def _retry(code: str) -> dispatch.Effects:
    """Schedules another read after a call that had no effect or no answer."""
    return [
        messages.CountRetry(PART, code),
        messages.StartTimer(DivisionDue(), RETRY_S, 0.3),
    ]
