"""Departure of workers that announced it.

A worker that is going to leave drains first. Meanwhile its long-running tasks
move to other workers, since they would not end by themselves. Its entry in the
platform's list disappears when it exits, and all its runs end with it.

A cut that also separates the worker from the store and closes its connections
shows the same signs, except that the entry then expires, and does so only some
heartbeats after it was last written. An owner therefore takes a worker as gone
only if its entry was removed sooner than that after the announcement. Otherwise
it waits for the end of the leases, which it keeps short while a worker drains.
"""

from collections.abc import Collection
import math

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure

# An entry that disappeared while the store was unavailable returns within about
# 2 s after the outage if its worker still runs and reaches the store.
REREGISTRATION_S = 2.5
# Least number of heartbeat intervals from a write of an entry to its expiry. It
# expires after three, of which the platform may count the first as over when it
# has only begun.
MIN_EXPIRY_HEARTBEATS = 2
# Time after which an instance forgets a worker that the list lacks, in seconds.
ABSENCE_RETENTION_S = 60.0


def record_entries(
    batch: state.Batch,
    entries: Collection[model.WorkerEntry],
    sent_at: float,
    now: float,
) -> dispatch.Effects:
    """Records which workers a read of the platform's list has and lacks.

    Every instance records this for all workers, so that it knows since when a
    worker has been missing when it becomes the owner of its partition.

    Args:
        batch: State of this instance; changed in place.
        entries: The listed workers.
        sent_at: Monotonic time at which the read was sent, in seconds.
        now: Monotonic time, in seconds.
    """
    present = set()
    for entry in entries:
        present.add(entry.worker_id)
        before = batch.listed_workers.get(entry.worker_id)
        if not entry.draining:
            ready_at = sent_at
        else:
            ready_at = before.ready_at if before else -math.inf
        batch.listed_workers[entry.worker_id] = state.ListedWorker(
            entry.draining, ready_at=ready_at
        )
    effects: dispatch.Effects = []
    for name, listed in list(batch.listed_workers.items()):
        if name in present:
            continue
        if listed.absence is None:
            effects += _log_deregistered(batch, name, now)
            listed.absence = state.Absence(now, now)
        listed.absence = state.Absence(listed.absence.since, now)
        if now - listed.absence.since > ABSENCE_RETENTION_S:
            del batch.listed_workers[name]
    for partition in batch.partitions.values():
        _record_absences(batch, partition, present)
    return effects


def _record_absences(
    batch: state.Batch, partition: state.Partition, present: Collection[str]
) -> None:
    for name, worker in partition.workers.items():
        listed = batch.listed_workers.get(name)
        worker.is_registered = name in present
        if listed is not None and worker.entry.draining:
            listed.draining = True
    # This instance may never have seen the entries of former owners' workers.
    for name in partition.unlisted_workers:
        batch.listed_workers.setdefault(name, state.ListedWorker(False))


def restart_absences(batch: state.Batch) -> None:
    """Lets all absences begin again after a failed read of the list.

    Entries may have expired in the outage, and return only after it. When the
    draining workers announced their departure does not count any more either.
    """
    for listed in batch.listed_workers.values():
        listed.absence = None
        listed.ready_at = -math.inf


def _log_deregistered(
    batch: state.Batch, name: str, now: float
) -> dispatch.Effects:
    """Returns a log line about a worker that the platform's list now lacks."""
    for partition in batch.partitions.values():
        worker = partition.workers.get(name)
        if worker is not None:
            answered_at = worker.last_answer_at
            age_s = round(now - answered_at, 3) if answered_at else ""
            return [
                contact.make_log(
                    "deregistered",
                    partition,
                    name,
                    draining=worker.entry.draining,
                    contact_age_s=age_s,
                    runs=len(worker.runs),
                )
            ]
    return []


def has_left(
    batch: state.Batch, partition: state.Partition, name: str, now: float
) -> bool:
    """Returns whether a worker, and with it all runs there, has ended.

    Its entry has been missing for `REREGISTRATION_S`, and it has answered no
    call of this owner for as long. The entry of a worker that has only lost the
    store disappears too, so the worker must also have announced its departure
    and its entry must have been removed, rather than have expired. The runs of
    any other worker end by their leases, as the periodic checks find.

    Args:
        batch: State of this instance.
        partition: The owned partition.
        name: Id of the worker.
        now: Monotonic time, in seconds.
    """
    listed = batch.listed_workers.get(name)
    if listed is None or listed.absence is None:
        return False
    since = listed.absence.since
    if listed.absence.until - since < REREGISTRATION_S:
        return False
    worker = partition.workers.get(name)
    if worker is None or worker.last_answer_at is None:
        # This owner starts runs only on workers that have answered it, and
        # `former_runs` decides when those of former owners have ended.
        return name not in partition.unlisted_workers
    if now - worker.last_answer_at < REREGISTRATION_S:
        return False
    # A worker that answers while its entry is missing has lost the store.
    return worker.last_answer_at <= since and _was_removed(batch, listed)


def _was_removed(batch: state.Batch, listed: state.ListedWorker) -> bool:
    """Returns whether the entry of a draining worker cannot have expired.

    Its announcement was written after the last read that showed it as ready,
    and it expires only some heartbeats after a write.
    """
    if not listed.draining or listed.absence is None:
        return False
    limits = batch.identity.limits
    age_s = listed.absence.since - listed.ready_at
    return age_s < MIN_EXPIRY_HEARTBEATS * limits.heartbeat_s


def give_up_worker(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    now: float,
) -> dispatch.Effects:
    """Removes all runs of a worker that has exited and queues their tasks."""
    partition.unlisted_workers.discard(worker.entry.worker_id)
    return contact.requeue_lost_runs(
        batch, partition, worker, contact.DEPARTED, now
    )


def evacuate_workers(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Stops long-running tasks on draining workers that others can run.

    A run continues if no other worker of the partition can run its task: the
    stopped task would only wait.
    """
    runs = [
        (worker, run)
        for worker in partition.workers.values()
        if worker.entry.draining and not worker.unresponsive
        for run in worker.runs.values()
        if run.task.step.long_running and run.task.run is run
    ]
    if (
        not runs
        or batch.shutting_down
        or tenure.may_have_successor(batch, partition, now)
    ):
        return []
    progress = former_runs.check_progress(partition, now)
    scheduling_pass = passes.SchedulingPass(batch, partition, now)
    effects: dispatch.Effects = []
    for worker, run in runs:
        job = run.task.job
        if not passes.may_start(batch, job, progress):
            continue
        pool = scheduling_pass.get_pool(job.queue.service)
        target = placement.choose_candidate(
            run.task, pool.candidates, batch.interference, now
        )
        if target is None:
            continue
        # Tasks whose runs are being stopped already need capacity too.
        target.deduct(run.task)
        if run.phase is state.RunPhase.RUNNING:
            effects.append(_log_evacuation(partition, worker, run, target))
            effects += commands.stop(partition, worker, run, now)
    return effects


def _log_evacuation(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    target: placement.Candidate,
) -> messages.Log:
    return contact.make_log(
        "evacuated",
        partition,
        worker.entry.worker_id,
        run=contact.format_run(run.task.name, run.number),
        free_on=target.worker.entry.worker_id,
    )
