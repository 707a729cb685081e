"""Loading of the state of a partition by its new owner.

The new owner reads the partition's roster, the progress of its jobs and their
records, and raises the generation in the roster. It calls every worker, which
from then on refuses commands of former owners, and only then starts tasks.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import interference_exchange
from sapphirestall_core.batch import job_changes
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import live_records
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_reads
from sapphirestall_core.batch import worker_list

PART = "takeover"
RETRY_S = 0.2


@attrs.frozen
class ProgressRead(store_messages.Purpose):
    """Purpose of the read of the progress of all jobs of a partition."""

    partition: str
    token: int


@attrs.frozen
class LoadDue(messages.Timer):
    """Timer to repeat failed reads of a new owner."""

    partition: str
    token: int


@dispatch.handle.register(ownership.PartitionAcquired)
def load_partition(
    event: ownership.PartitionAcquired, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts all reads that a new owner needs."""
    partition = batch.partitions[event.partition]
    return [
        *_read_missing(batch, partition),
        *releases.read_release(partition),
        *worker_list.read_entries(batch, now),
        *summary_reads.read_summaries(batch, now),
        # The record holds the interference that former owners have learned.
        *interference_exchange.read_estimates(batch),
    ]


def _read_missing(
    batch: state.Batch, partition: state.Partition
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    if partition.roster_revision is None:
        effects += rosters.read_roster(partition)
    # Job records are read after the progress. A cancellation removes both, so
    # in the opposite order a job cancelled between the reads would look like
    # one without progress.
    if partition.loaded_progress is None:
        effects += _read_progress(partition)
    elif partition.loaded_jobs is None:
        effects += live_records.read(partition)
    return effects


def _read_progress(partition: state.Partition) -> dispatch.Effects:
    return [
        store_messages.StoreList(
            ProgressRead(partition.name, partition.token),
            records.make_progress_prefix(partition.name),
            records.ProgressRecord,
        )
    ]


@dispatch.handle_timer.register(LoadDue)
def retry_load(
    timer: LoadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats the reads that have not succeeded yet."""
    partition = batch.find_owned(timer.partition, timer.token)
    if partition is None:
        return []
    return _read_missing(batch, partition)


@dispatch.handle.register(live_records.JobsLoaded)
@dispatch.handle.register(rosters.RosterWritten)
def handle_loaded(
    event: live_records.JobsLoaded | rosters.RosterWritten,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Activates the owner if everything else has been loaded.

    The first roster of the owner may have waited for the job records, and a
    worker that it names may have answered since it was sent.
    """
    partition = batch.partitions[event.partition]
    effects = activate(batch, partition, now)
    return effects + rosters.write_roster(batch, partition, now)


def _retry(partition: state.Partition) -> dispatch.Effects:
    timer = LoadDue(partition.name, partition.token)
    return [messages.StartTimer(timer, RETRY_S, 0.3)]


@dispatch.handle_store_reply.register(ProgressRead)
def apply_progress(
    purpose: ProgressRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Keeps the progress records of a loading owner and reads the jobs."""
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None or partition.loaded_progress is not None:
        return []
    outcome = reply.outcome
    if not isinstance(outcome, store_messages.Listed):
        return _retry(partition)
    partition.loaded_progress = {}
    prefix = records.make_progress_prefix(partition.name)
    partition.unreadable_progress.update(
        key.removeprefix(prefix) for key in outcome.unreadable
    )
    for found in outcome.entries:
        assert isinstance(found.value, records.ProgressRecord)
        job_id = found.key.removeprefix(prefix)
        partition.loaded_progress[job_id] = state.LoadedProgress(
            found.value, found.revision
        )
    return live_records.read(partition)


def activate(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Makes an owner active once everything is loaded.

    It then tracks the loaded jobs, polls every worker and requests a
    scheduling pass.
    """
    if (
        partition.phase is state.Phase.ACTIVE
        or partition.loaded_jobs is None
        or partition.loaded_progress is None
        or not partition.workers_listed
        or not partition.generation_raised
        or not partition.roster
        and partition.workers
        or partition.roster_write_in_flight
        or partition.roster_revision in (None, 0)
    ):
        return []
    partition.phase = state.Phase.ACTIVE
    lease_s = leases.choose_run_lease(batch.identity.limits)
    former_runs.start_wait(partition, lease_s, now)
    effects: dispatch.Effects = []
    for job in _merge_changes(partition):
        loaded = partition.loaded_progress.get(job.record.job_id)
        effects += job_changes.apply_record(
            batch, partition, job, now, progress=loaded
        )
    partition.loaded_jobs, partition.loading_changes = [], []
    partition.loaded_progress = {}
    effects.append(
        messages.Log(
            PART,
            "active",
            {
                "partition": partition.name,
                "token": partition.token,
                "generation": partition.generation,
                "jobs": len(partition.jobs),
                "workers": len(partition.workers),
                "took_s": round(now - partition.acquired_at, 3),
            },
        )
    )
    for worker in partition.workers.values():
        effects += contact.short_poll(batch, partition, worker, now)
    return effects + passes.request_pass(partition)


def _merge_changes(partition: state.Partition) -> list[state.LoadedJob]:
    """Returns the newest record of each job that has not been removed.

    Merges the list of job records with the changes that the watch returned.
    """
    newest: dict[str, state.LoadedJob | state.RemovedJob] = {}
    for job in partition.loaded_jobs or []:
        newest[job.record.job_id] = job
    for change in partition.loading_changes:
        # The list includes older changes: if it lacks the job of such a change,
        # the job has been removed since.
        if change.revision <= partition.loaded_revision:
            continue
        job_id = (
            change.job_id
            if isinstance(change, state.RemovedJob)
            else change.record.job_id
        )
        previous = newest.get(job_id)
        if previous is None or previous.revision < change.revision:
            newest[job_id] = change
    return [job for job in newest.values() if isinstance(job, state.LoadedJob)]
