"""Partitions that an instance knows.

A partition consists of the workers of some racks, so that the work of a data
centre is divided among its instances whatever its size. Every instance learns
which partitions exist from the platform's list of workers and from the rosters
in the store.
"""

from collections.abc import Iterable

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import owner_reads
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state


@attrs.frozen
class RostersRead(store_messages.Purpose):
    """Purpose of the read of the rosters of all partitions.

    Every partition that ever had an owner has a roster.
    """


def add_partitions(
    batch: state.Batch, names: Iterable[str], now: float
) -> dispatch.Effects:
    """Records new partitions and reads the owner keys if there are any.

    The read schedules the acquisition of those without an owner.
    """
    new = [name for name in names if name not in batch.known_partitions]
    if not new:
        return []
    for name in new:
        batch.known_partitions[name] = model.get_data_centre(name)
    log = messages.Log(
        ownership.PART,
        "partitions",
        {"new": len(new), "known": len(batch.known_partitions)},
    )
    return [log, owner_reads.read_owners()]


def read_rosters() -> dispatch.Effects:
    """Reads all rosters, which also name partitions that now lack workers."""
    return [
        store_messages.StoreList(
            RostersRead(), records.ROSTERS_PREFIX, records.RosterRecord
        )
    ]


@dispatch.handle_store_reply.register(RostersRead)
def apply_rosters(
    purpose: RostersRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records the partitions that the rosters name.

    A failed read is repeated with the next read of the platform's list of
    workers.
    """
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    batch.partitions_loaded = True
    names = [
        found.key.removeprefix(records.ROSTERS_PREFIX)
        for found in reply.outcome.entries
    ]
    return add_partitions(batch, names, now)
