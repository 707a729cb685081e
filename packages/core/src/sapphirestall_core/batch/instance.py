"""Creation of an instance's batch core, its start and its shutdown.

Handlers that connect modules that must not import each other are here too.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import calls
from sapphirestall_core.batch import cancellations
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import configuration
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import division
from sapphirestall_core.batch import failures
from sapphirestall_core.batch import intake
from sapphirestall_core.batch import interference_exchange
from sapphirestall_core.batch import job_changes
from sapphirestall_core.batch import live_records
from sapphirestall_core.batch import lost_effects
from sapphirestall_core.batch import owner_keys
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import pending_jobs
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import store_calls
from sapphirestall_core.batch import store_lease
from sapphirestall_core.batch import summaries
from sapphirestall_core.batch import takeover
from sapphirestall_core.batch import workers

# Modules with handlers. Importing them registers the handlers with `dispatch`.
HANDLER_MODULES = (
    calls,
    cancellations,
    commits,
    configuration,
    division,
    interference_exchange,
    intake,
    job_changes,
    live_records,
    lost_effects,
    ownership,
    passes,
    pending_jobs,
    rosters,
    store_calls,
    summaries,
    takeover,
    workers,
)
# An instance that has not reached the store for this long gets no new
# connections.
MAX_STORE_OUTAGE_S = 1.5
# Longest time for which a shutdown waits for commits and for answers to starts,
# in seconds. An owner that shuts down starts no tasks, so its partitions should
# get another owner soon.
SETTLE_WAIT_S = 0.3
# Part of the platform's grace time, in seconds, that is left for the end of the
# process when a shutdown has waited for the store to return: the connections of
# callers close within 2 s. Until then the owner extends the leases of its runs.
EXIT_RESERVE_S = 2.7
# Longest time for which a shutdown waits for calls in flight, in seconds.
DRAIN_TIMEOUT_S = 2.0
DRAIN_CHECK_INTERVAL_S = 0.05


def build(identity: state.Identity) -> state.Batch:
    """Creates the state of a new instance."""
    return state.Batch(identity)


def handle(
    event: messages.Event, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Handles an event; see `dispatch.handle`."""
    return dispatch.handle(event, batch, now)


def make_failures(event: messages.Event) -> list[messages.Event]:
    """Returns the events to handle in place of one whose handler failed."""
    if isinstance(event, lost_effects.EffectsLost):
        return []
    failure = failures.make_failure(event)
    if isinstance(event, messages.ShutdownRequested):
        failure = messages.TimerFired(DrainDue())
    lost = lost_effects.EffectsLost()
    return [lost] if failure is None else [failure, lost]


def is_ready(batch: state.Batch, now: float) -> bool:
    """Returns whether this instance should get new connections."""
    if batch.shutting_down or batch.configuration is None:
        return False
    return (
        batch.store_down_since is None
        or now - batch.store_down_since < MAX_STORE_OUTAGE_S
    )


@dispatch.handle.register(messages.Started)
def start(
    event: messages.Started, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Logs the start and sets the timers of periodic work."""
    batch.started_at = now
    timers = (
        configuration.ConfigurationDue(),
        division.DivisionDue(),
        store_lease.LeaseDue(),
        owner_keys.OwnersReadDue(),
        workers.EntriesDue(),
        workers.PeriodicChecksDue(),
        interference_exchange.ExchangeDue(),
    )
    fields = {
        "instance": batch.identity.instance_id,
        "incarnation": batch.identity.incarnation,
        "data_centre": batch.identity.data_centre,
    }
    return [
        messages.Log("process", "started", fields),
        *(messages.StartTimer(timer, 0.0) for timer in timers),
    ]


@dispatch.handle.register(commits.EndsCommitted)
def poll_again(
    event: commits.EndsCommitted, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Polls workers after a commit.

    The polls acknowledge the ended runs whose effects are now in the store.
    """
    partition = batch.partitions[event.partition]
    effects: dispatch.Effects = []
    for name in event.workers:
        worker = partition.workers.get(name)
        if worker is not None:
            effects += contact.long_poll(batch, partition, worker, now)
    return effects


@dispatch.handle.register(passes.PaceDue)
def adjust_pace(
    event: passes.PaceDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Adjusts the paces of runs on a worker before its next listing."""
    partition = batch.partitions[event.partition]
    worker = partition.workers.get(event.worker_id)
    if worker is None:
        return []
    return pacing.adjust_paces(partition, worker, batch.interference, now)


@dispatch.handle.register(commits.RecordObserved)
def apply_job_change(
    event: commits.RecordObserved, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Applies a job record that was written, read again or removed."""
    partition = batch.partitions[event.partition]
    if isinstance(event.observed, state.RemovedJob):
        return job_changes.apply_removal(partition, event.observed, now)
    return job_changes.apply_record(
        batch,
        partition,
        event.observed,
        now,
        settled_move=event.settled_move,
    )


@dispatch.handle.register(commits.RecordAbsent)
def remove_absent_job(
    event: commits.RecordAbsent, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Removes a job without a record, even if a write of it is in flight."""
    partition = batch.partitions[event.partition]
    job = partition.jobs.get(event.job_id)
    # A newer record may have arrived since the read.
    if job is None or job.revision > event.revision:
        return []
    removed = state.RemovedJob(event.job_id, job.revision, now)
    return job_changes.remove_job(partition, job, removed, now)


@dispatch.handle.register(contact.RosterDue)
def write_roster(
    event: contact.RosterDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Writes the roster, as runs may not start on workers that it lacks."""
    partition = batch.partitions[event.partition]
    effects = rosters.write_roster(batch, partition, now)
    return effects + takeover.activate(batch, partition, now)


@attrs.frozen
class DrainDue(messages.Timer):
    """Timer to check whether the process may end."""


@dispatch.handle.register(messages.ShutdownRequested)
def shut_down(
    event: messages.ShutdownRequested, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts the shutdown; a second request ends the process immediately."""
    if batch.shutting_down:
        return [messages.Exit()]
    batch.shutting_down = True
    batch.shutdown_requested_at = now
    fields = {"partitions": len(batch.partitions), "calls": len(batch.calls)}
    return [
        messages.Log("process", "stopping", fields),
        *drain(DrainDue(), batch, now),
    ]


@dispatch.handle_timer.register(DrainDue)
def drain(timer: DrainDue, batch: state.Batch, now: float) -> dispatch.Effects:
    """Resigns, ends the store lease and then ends the process.

    Each step waits for what is in flight: first for commits and starts, or for
    the store to return, then for releases, the end of the lease and callers'
    calls.
    """
    waited_s = now - batch.shutdown_requested_at
    again = messages.StartTimer(DrainDue(), DRAIN_CHECK_INTERVAL_S)
    if batch.partitions:
        if _keeps_partitions(batch, waited_s):
            return [again]
        return [*_give_up_partitions(batch, now), again]
    if batch.lease_id:
        if batch.releases_in_flight and waited_s <= DRAIN_TIMEOUT_S:
            return [again]
        return [*_end_store_lease(batch, now), again]
    in_flight = (
        batch.lease_call_in_flight or batch.releases_in_flight or batch.calls
    )
    if in_flight and waited_s <= DRAIN_TIMEOUT_S:
        return [again]
    fields = {
        "calls": len(batch.calls),
        "lease_end_unanswered": batch.lease_call_in_flight,
        "releases_unanswered": len(batch.releases_in_flight),
        "took_s": round(waited_s, 3),
    }
    return [messages.Log("process", "stopped", fields), messages.Exit()]


def _keeps_partitions(batch: state.Batch, waited_s: float) -> bool:
    """Returns whether a shutdown keeps its partitions for a while.

    While the store is unavailable, the release by which the next owner learns
    when the leases expire could not be stored. After the answer to a start the
    next owner need not expect that it is carried out late.
    """
    if batch.store_down_since is not None and batch.partitions:
        return waited_s <= batch.identity.limits.grace_s - EXIT_RESERVE_S
    in_flight = _has_pending_commits(batch) or _has_starts_in_flight(batch)
    return in_flight and waited_s <= SETTLE_WAIT_S


def _has_starts_in_flight(batch: state.Batch) -> bool:
    """Returns whether starts were sent that may be answered yet."""
    return any(
        run.started_clock_ms is None and run.start_unanswered_at is None
        for partition in batch.partitions.values()
        for worker in partition.workers.values()
        for run in worker.runs.values()
    )


def _has_pending_commits(batch: state.Batch) -> bool:
    """Returns whether effects of ended runs are not in the store yet."""
    return any(
        partition.dirty_jobs or partition.commit_in_flight
        for partition in batch.partitions.values()
    )


def _give_up_partitions(batch: state.Batch, now: float) -> dispatch.Effects:
    """Resigns all partitions.

    Ends that are not committed are not acknowledged either, so the workers list
    them again for the next owner.
    """
    effects: dispatch.Effects = []
    pending = _has_pending_commits(batch)
    batch.release_missing = False
    for name in list(batch.partitions):
        effects += ownership.resign(batch, name, "stopping", now)
    log = messages.Log("process", "resigned", {"commits_pending": pending})
    return [*effects, log]


def _end_store_lease(batch: state.Batch, now: float) -> dispatch.Effects:
    """Ends the store lease of the owner keys if all releases are stored.

    Without a release, the next owner may be of the version before, which takes
    the end of the key for an expiry `LEASE_TTL_S` after the last renewal.
    """
    lease_id, batch.lease_id = batch.lease_id, ""
    if batch.release_missing or batch.releases_in_flight:
        return []
    batch.lease_call_in_flight = True
    batch.lease_call_sent_at = now
    return [store_messages.StoreEndLease(store_lease.LeaseEnd(), lease_id)]


@dispatch.handle_store_reply.register(store_lease.LeaseEnd)
def end_lease(
    purpose: store_lease.LeaseEnd,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Records that the store lease has ended."""
    batch.lease_call_in_flight = False
    return []
