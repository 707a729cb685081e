"""Removal of the states of jobs that have ended, after their retention time."""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "retention"
CHECK_INTERVAL_S = 20.0
# Time for which a state is kept beyond its retention time. Clocks of instances
# differ, and callers may learn of the end of a job some time after it was
# recorded.
MARGIN_S = 10.0
# Largest number of jobs in one removal: a transaction is limited to 32 entries,
# and each job needs two besides the one for the owner key.
MAX_REMOVALS = 15
# Time for which the removal of a job's record is kept in memory. Older copies
# of the record do not arrive later than this.
REMOVED_JOB_RETENTION_S = 30.0


@attrs.frozen
class EndedRead(store_messages.Purpose):
    """Purpose of the read of a partition's records of ended jobs.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
    """

    partition: str
    token: int


@attrs.frozen
class Removal(store_messages.Purpose):
    """Purpose of the removal of the states and records of ended jobs.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
        job_ids: Jobs whose states this transaction removes.
        remaining: Jobs whose states are due as well and are removed by later
            transactions.
    """

    partition: str
    token: int
    job_ids: tuple[str, ...]
    remaining: tuple[str, ...]


def check_retention(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Reads periodically which jobs have ended, to remove their states."""
    if (
        partition.phase is not state.Phase.ACTIVE
        or partition.retention_in_flight
    ):
        return []
    if now < partition.retention_checked_at + CHECK_INTERVAL_S:
        return []
    partition.retention_checked_at = now
    partition.retention_in_flight = True
    for job_id, removed in list(partition.removed_jobs.items()):
        if now > removed.observed_at + REMOVED_JOB_RETENTION_S:
            del partition.removed_jobs[job_id]
    return [
        store_messages.StoreList(
            EndedRead(partition.name, partition.token),
            records.make_ended_prefix(partition.name),
            records.EndedRecord,
        )
    ]


@dispatch.handle_store_reply.register(EndedRead)
def apply_ended(
    purpose: EndedRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Removes the states of jobs whose retention time has passed.

    A failed read is repeated at the next interval.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.retention_in_flight = False
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    limits = batch.identity.limits
    oldest_s = now - limits.retention_s - MARGIN_S
    oldest_ms = (oldest_s + batch.identity.wall_clock_offset_s) * 1000
    prefix = records.make_ended_prefix(partition.name)
    due = [
        found.key.removeprefix(prefix)
        for found in reply.outcome.entries
        if isinstance(found.value, records.EndedRecord)
        and found.value.ended_ms < oldest_ms
    ]
    return _remove(partition, tuple(due))


def _remove(
    partition: state.Partition, due: tuple[str, ...]
) -> dispatch.Effects:
    if not due:
        return []
    partition.retention_in_flight = True
    chosen, rest = due[:MAX_REMOVALS], due[MAX_REMOVALS:]
    removals = []
    for job_id in chosen:
        removals.append(records.make_state_key(job_id))
        removals.append(records.make_ended_key(partition.name, job_id))
    owner = (records.make_owner_key(partition.name), partition.token)
    return [
        store_messages.StoreTransaction(
            Removal(partition.name, partition.token, chosen, rest),
            (owner,),
            removals=tuple(removals),
        )
    ]


@dispatch.handle_store_reply.register(Removal)
def handle_removal(
    purpose: Removal,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Removes the remaining states.

    States whose removal failed are found again at the next interval.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.retention_in_flight = False
    if not isinstance(reply.outcome, store_messages.Committed):
        return []
    fields = {"partition": partition.name, "records": len(purpose.job_ids)}
    log = messages.Log(PART, "removed", fields)
    return [log, *_remove(partition, purpose.remaining)]
