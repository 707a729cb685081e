"""Number of pending jobs of a queue, from summaries and job records.

Owners publish which jobs of their partitions are pending. While an owner
publishes nothing, because it is unreachable or was not replaced yet, its last
summary lacks the jobs that were accepted since. These are found among the job
records of its partition.
"""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_reads

# The number of pending jobs that callers get may be two seconds old.
MAX_PENDING_AGE_S = 1.2


@attrs.frozen
class UnpublishedRead(store_messages.Purpose):
    """Purpose of the read of the jobs of a partition without a fresh summary.

    Attributes:
        partition: Name of the partition.
    """

    partition: str


def count(batch: state.Batch, call: state.Call, now: float) -> dispatch.Effects:
    """Answers a call for the number of pending jobs of its queue.

    The call waits for the reads of whatever is too old to answer it.
    """
    if now - batch.all_summaries_read_at > MAX_PENDING_AGE_S:
        batch.calls_awaiting_summaries.append(call)
        return summary_reads.read_all_summaries(batch)
    outdated = _list_outdated_partitions(batch, now)
    if not outdated:
        return _answer(batch, call, now)
    batch.calls_awaiting_unpublished.append(call)
    unread = [name for name in outdated if name not in batch.unpublished_reads]
    batch.unpublished_reads.update(unread)
    return [
        store_messages.StoreList(
            UnpublishedRead(name),
            records.make_live_jobs_prefix(name),
            records.JobRecord,
        )
        for name in unread
    ]


def _list_outdated_partitions(batch: state.Batch, now: float) -> list[str]:
    """Returns the partitions whose job records have to be read.

    These are the ones without a fresh summary whose records were not read
    recently.
    """
    fresh = routing.list_fresh_summaries(batch, now)
    return [
        name
        for name in sorted(batch.known_partitions)
        if name not in fresh
        and (
            name not in batch.unpublished_jobs
            or now - batch.unpublished_jobs[name].read_at > MAX_PENDING_AGE_S
        )
    ]


def _answer(
    batch: state.Batch, call: state.Call, now: float
) -> dispatch.Effects:
    fresh = routing.list_fresh_summaries(batch, now)
    # A set, since two summaries may contain a job that was just moved.
    pending: set[str] = set()
    for summary in batch.summaries.values():
        pending.update(summary.pending.get(call.queue.name, ()))
    for name, unpublished in batch.unpublished_jobs.items():
        if name not in fresh:
            pending.update(unpublished.pending.get(call.queue.name, ()))
    answer = caller_messages.PendingShown(len(pending))
    return calls.answer_call(batch, call, answer, now)


def _refuse(
    batch: state.Batch, waiting: list[state.Call], now: float
) -> dispatch.Effects:
    """Refuses calls for which the store could not be read."""
    effects: dispatch.Effects = []
    for call in waiting:
        refusal = caller_messages.Refused(
            "store_unavailable", calls.choose_retry_after(batch, now)
        )
        effects += calls.answer_call(batch, call, refusal, now)
    return effects


@dispatch.handle_store_reply.register(summary_reads.SummaryRead)
def apply_summaries(
    purpose: summary_reads.SummaryRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies summaries that were read and answers the calls awaiting them."""
    batch.summaries_read_in_flight = False
    waiting, batch.calls_awaiting_summaries = batch.calls_awaiting_summaries, []
    if not isinstance(reply.outcome, store_messages.Listed):
        return _refuse(batch, waiting, now)
    batch.summaries_read_at = now
    if purpose.all_partitions:
        batch.all_summaries_read_at = now
    for found in reply.outcome.entries:
        name = found.key.removeprefix(records.SUMMARIES_PREFIX)
        previous = batch.summary_changes.get(name)
        # The local copy counts jobs that were sent to the partition since. It
        # is kept until the owner publishes a new summary.
        if previous is not None and previous[0] == found.revision:
            continue
        if isinstance(found.value, records.SummaryRecord):
            batch.summaries[name] = found.value
            batch.summary_changes[name] = (found.revision, now)
    effects = dispatch.handle(summary_reads.SummariesUpdated(), batch, now)
    for call in waiting:
        effects += count(batch, call, now)
    return effects


@dispatch.handle_store_reply.register(UnpublishedRead)
def apply_unpublished(
    purpose: UnpublishedRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Keeps the pending jobs that a summary lacks, and answers calls."""
    name = purpose.partition
    batch.unpublished_reads.discard(name)
    waiting = batch.calls_awaiting_unpublished
    batch.calls_awaiting_unpublished = []
    if not isinstance(reply.outcome, store_messages.Listed):
        return _refuse(batch, waiting, now)
    batch.unpublished_jobs[name] = state.UnpublishedJobs(
        now, _find_unpublished(batch, name, reply.outcome.entries)
    )
    effects: dispatch.Effects = []
    for call in waiting:
        effects += count(batch, call, now)
    return effects


def _find_unpublished(
    batch: state.Batch, name: str, entries: tuple[store_messages.Found, ...]
) -> dict[str, set[str]]:
    """Returns the jobs that came to a partition after its last summary.

    A job that was moved there after it had started is not pending.
    """
    published_at, _ = batch.summary_changes.get(name, (0, 0.0))
    pending: dict[str, set[str]] = {}
    for found in entries:
        record = found.value
        if (
            isinstance(record, records.JobRecord)
            and found.create_revision > published_at
            and record.partition == name
            and not (record.has_started or record.has_progress)
        ):
            pending.setdefault(record.queue.name, set()).add(record.job_id)
    return pending
