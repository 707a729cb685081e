"""Read of the last proof that the former owner of a partition has left.

An owner proves its ownership by writes of its roster and its summary, which
expect its owner key. The later of both shows until when it may have requested
leases, whether its key has expired or was revoked before its time.

The summaries of all partitions are read, as they also say when other owners saw
which revision. That is the only source of an instance which has just started,
or which did not reach the store.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import records
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import state

# Mean time from a failed read to the next one, in seconds.
RETRY_S = 0.2


@attrs.frozen
class FormerSummaryRead(store_messages.Purpose):
    """Purpose of the read of the former owner's summary.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of the new owner.
        roster_revision: Store revision of the former owner's roster.
    """

    partition: str
    token: int
    roster_revision: int


@attrs.frozen
class FormerSummaryDue(messages.Timer):
    """Timer to read the former owner's summary again after a failed read."""

    purpose: FormerSummaryRead


def read_summary(
    partition: state.Partition, roster_revision: int
) -> dispatch.Effects:
    """Reads the former owner's summary, once its roster is known."""
    purpose = FormerSummaryRead(
        partition.name, partition.token, roster_revision
    )
    return [_make_read(purpose)]


def _make_read(purpose: FormerSummaryRead) -> store_messages.StoreList:
    return store_messages.StoreList(
        purpose, records.SUMMARIES_PREFIX, records.SummaryRecord
    )


@dispatch.handle_timer.register(FormerSummaryDue)
def retry_read(
    timer: FormerSummaryDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the summary again if this instance is still the owner."""
    purpose = timer.purpose
    if batch.find_owned(purpose.partition, purpose.token) is None:
        return []
    return [_make_read(purpose)]


@dispatch.handle_store_reply.register(FormerSummaryRead)
def apply_summary(
    purpose: FormerSummaryRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Keeps when the store had the former owner's last proof.

    A summary of the new owner itself, which a late read may find, only makes
    the time later.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    key = records.make_summary_key(partition.name)
    if not isinstance(outcome, store_messages.Listed) or (
        key in outcome.unreadable
    ):
        return [messages.StartTimer(FormerSummaryDue(purpose), RETRY_S, 0.3)]
    own = [found.revision for found in outcome.entries if found.key == key]
    revision = max([purpose.roster_revision, *own])
    partition.former_proved_at = _find_reached_at(
        batch.revision_times, revision, outcome, now
    )
    lease_s = leases.choose_run_lease(batch.identity.limits)
    former_runs.update_end(partition, lease_s)
    return []


def _find_reached_at(
    times: revisions.RevisionTimes,
    revision: int,
    summaries: store_messages.Listed,
    now: float,
) -> float:
    """Returns the earliest time at which the store had a revision for certain.

    Args:
        times: Revisions that this instance has seen.
        revision: The revision.
        summaries: Summaries that were read, with what their owners have seen.
        now: Monotonic time, in seconds.

    Returns:
        Monotonic time, in seconds.
    """
    reached_at = times.find_reached_at(revision, now)
    for found in summaries.entries:
        assert isinstance(found.value, records.SummaryRecord)
        ages = revisions.PublishedAges(
            found.revision, found.value.revision_ages_ms
        )
        published_at = times.find_published_at(revision, ages, now)
        reached_at = min(reached_at, published_at)
    return reached_at
