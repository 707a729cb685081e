"""Workers of owned partitions: membership and periodic checks.

The platform's list of workers tells which workers a partition has. Periodic
checks extend leases, repeat calls and handle timeouts.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import capacity_reports
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import confirmation_reports
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import departures
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import known_partitions
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import polls
from sapphirestall_core.batch import retention
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summaries
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_list

CHECK_INTERVAL_S = 0.25
# While listed ends await their commit, a long poll would return at once, so
# short polls at this interval extend the leases.
UNCOMMITTED_POLL_S = 0.5
# A poll without a reply for this long, in seconds, was never sent: its time
# limit has passed, even if the loop was late. Without another one the leases of
# all runs on the worker would expire.
POLL_LOST_S = 3.0
# Lease end of a run whose worker has restarted. The new clock is not known; no
# reading of it is above this.
UNKNOWN_CLOCK_MS = 2**62


@attrs.frozen
class EntriesDue(messages.Timer):
    """Timer to read the platform's list of workers again."""


@attrs.frozen
class PeriodicChecksDue(messages.Timer):
    """Timer to run the periodic checks."""


@dispatch.handle_timer.register(EntriesDue)
def poll_entries(
    timer: EntriesDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the platform's list of workers and schedules the next read.

    Also reads the rosters until that has succeeded once.
    """
    interval_s = worker_list.choose_interval(batch)
    effects: dispatch.Effects = [
        messages.StartTimer(EntriesDue(), interval_s, 0.1)
    ]
    if not batch.partitions_loaded:
        effects += known_partitions.read_rosters()
    return effects + worker_list.read_entries(batch, now)


@dispatch.handle.register(worker_list.EntriesRead)
def apply_entries(
    event: worker_list.EntriesRead, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Updates the known partitions and the workers of owned ones."""
    worker_list.finish_read(batch, event)
    if event.entries is None:
        departures.restart_absences(batch)
        return []
    if not batch.division_adopted:
        # The list is read again as soon as the division is known.
        return []
    by_partition: dict[str, list[model.WorkerEntry]] = {}
    for entry in event.entries:
        name = batch.division.find_partition(entry)
        by_partition.setdefault(name, []).append(entry)
    effects = known_partitions.add_partitions(batch, by_partition, now)
    for partition in list(batch.partitions.values()):
        partition.workers_listed = True
        for entry in by_partition.get(partition.name, ()):
            effects += _apply_entry(batch, partition, entry, now)
    effects += departures.record_entries(
        batch, event.entries, event.sent_at, now
    )
    for name in list(batch.partitions):
        effects += dispatch.handle(contact.RosterDue(name), batch, now)
    for partition in batch.partitions.values():
        # Passes start nothing while the last read is too old.
        effects += passes.request_pass(partition)
    return effects


def _apply_entry(
    batch: state.Batch,
    partition: state.Partition,
    entry: model.WorkerEntry,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    worker = partition.workers.get(entry.worker_id)
    if worker is not None and worker.entry.started_at_ms > entry.started_at_ms:
        return []
    if worker is not None and worker.entry.started_at_ms == entry.started_at_ms:
        if entry.draining and not worker.entry.draining:
            effects.append(
                contact.make_log("draining", partition, entry.worker_id)
            )
        worker.entry = entry
        return effects
    new_worker = contact.make_worker(entry)
    partition.workers[entry.worker_id] = new_worker
    if worker is not None:
        _transfer_runs(worker, new_worker)
        new_worker.abandoned_starts = worker.abandoned_starts
        effects = contact.stop_abandoned_starts(partition, new_worker, now)
    log = contact.make_log(
        "joined",
        partition,
        entry.worker_id,
        born=entry.started_at_ms,
        runs=len(new_worker.runs),
    )
    return [
        log,
        *effects,
        *contact.short_poll(batch, partition, new_worker, now),
    ]


def _transfer_runs(old: state.Worker, new: state.Worker) -> None:
    """Transfers the runs of a restarted worker to its new incarnation.

    A start may have reached the new incarnation. A run with a confirmed start
    is therefore over only when a listing of the new incarnation lacks it. A run
    whose start is not confirmed is over only when, in addition, the new
    incarnation has confirmed a stop of it.
    """
    for run in old.runs.values():
        if run.started_clock_ms is None:
            run.phase = state.RunPhase.STOPPING
            run.stop_sent_at = -1e9
            run.lease_end_ms = UNKNOWN_CLOCK_MS
        else:
            run.started_clock_ms = -polls.LISTING_MARGIN_MS
        run.stopped_clock_ms = None
        passes.reserve(new, run)


@dispatch.handle_timer.register(PeriodicChecksDue)
def run_periodic_checks(
    timer: PeriodicChecksDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Runs the periodic checks of all owned partitions.

    Polls workers, repeats stops, queues the tasks of runs again whose lease has
    expired, and runs the periodic work of other modules.
    """
    effects: dispatch.Effects = [
        messages.StartTimer(PeriodicChecksDue(), CHECK_INTERVAL_S)
    ]
    # Extending leases is more urgent than the rest.
    for partition in batch.partitions.values():
        for worker in partition.workers.values():
            effects += _poll_if_idle(batch, partition, worker, now)
    for partition in list(batch.partitions.values()):
        effects += confirmation_reports.log_confirmation(batch, partition, now)
        effects += former_runs.settle_workers(partition, now)
        effects += _schedule_passes(partition, now)
        for worker in list(partition.workers.values()):
            effects += _check_worker(batch, partition, worker, now)
        # The roster says which workers are silent.
        due = contact.RosterDue(partition.name)
        effects += dispatch.handle(due, batch, now)
        effects += departures.evacuate_workers(batch, partition, now)
        effects += summaries.publish(batch, partition, now)
        effects += capacity_reports.log_capacity(batch, partition, now)
        effects += balance.move_unplaced_jobs(batch, partition, now)
        effects += retention.check_retention(batch, partition, now)
        # A worker may accept starts again after a suspension, or respond again.
        effects += passes.request_pass(partition)
    return effects


def _schedule_passes(
    partition: state.Partition, now: float
) -> dispatch.Effects:
    """Schedules passes for the moments at which more tasks may start.

    The wait for former runs ends, or a worker is no longer paused or suspended.
    The next periodic checks may come later by almost their interval.
    """
    due = passes.PassDue(partition.name)
    ends = (
        former_runs.find_last_end(partition),
        usability.find_next_end(partition, now),
    )
    return [
        messages.StartTimer(due, end - now + acquisition.TIMER_TOLERANCE_S)
        for end in ends
        if 0 < end - now < CHECK_INTERVAL_S
    ]


def _poll_if_idle(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Sends a short poll to a worker if no poll is in flight."""
    if now - worker.polled_at > POLL_LOST_S:
        worker.long_poll = worker.short_poll = None
    if worker.is_leaving or _has_poll_in_flight(worker):
        return []
    if now - worker.polled_at <= UNCOMMITTED_POLL_S:
        return []
    return contact.short_poll(batch, partition, worker, now)


def _has_poll_in_flight(worker: state.Worker) -> bool:
    return worker.long_poll is not None or worker.short_poll is not None


def _check_worker(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    age_s = now - (worker.last_answer_at if worker.last_answer_at else -1e9)
    for key, until in list(worker.abandoned_starts.items()):
        if until < now:
            del worker.abandoned_starts[key]
    lease_s = batch.identity.limits.worker_lease_s
    worker_id = worker.entry.worker_id
    has_left = departures.has_left(batch, partition, worker_id, now)
    if has_left:
        effects += departures.give_up_worker(batch, partition, worker, now)
    elif worker.runs and leases.have_expired(worker, lease_s, now):
        effects += contact.requeue_lost_runs(
            batch, partition, worker, "lapsed", now
        )
    for run in list(worker.runs.values()):
        stopping = run.phase is state.RunPhase.STOPPING
        if stopping or commands.is_start_overdue(run, now):
            effects += commands.stop(partition, worker, run, now)
    is_silent = age_s > 3 * contact.LONG_POLL_S
    is_gone = has_left or (not worker.is_registered and is_silent)
    # A worker of the former owner that the list lacks may answer yet.
    is_awaited = worker_id in partition.unlisted_workers
    worker.is_leaving = is_gone and not is_awaited and not worker.runs
    # A worker that joins again gets no second poll while one is in flight.
    if worker.is_leaving and not _has_poll_in_flight(worker):
        partition.workers.pop(worker_id, None)
        effects.append(contact.make_log("left", partition, worker_id))
        # A successor would wait for a worker that the roster names.
        due = contact.RosterDue(partition.name)
        effects += dispatch.handle(due, batch, now)
    return effects
