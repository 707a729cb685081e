"""Departure of workers that announced it.

A worker that is going to leave drains first. Meanwhile its long-running tasks
move to other workers, since they would not end by themselves. Its entry in the
platform's list disappears when it exits, and all its runs end with it. They are
given up then, without waiting for the end of their leases.
"""

from collections.abc import Collection

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import withheld_leases

# An entry that disappeared while the store was unavailable returns within about
# 2 s after the outage if its worker still runs and reaches the store.
REREGISTRATION_S = 2.5
# Least number of heartbeat intervals between the time at which a worker is cut
# off and the expiry of its entry: three without a heartbeat, of which the first
# may have begun before, less a margin for heartbeats that come early.
SILENT_HEARTBEATS = 1.8
# Time after which an instance forgets a worker that the list lacks, in seconds.
ABSENCE_RETENTION_S = 60.0


def record_entries(
    batch: state.Batch, entries: Collection[model.WorkerEntry], now: float
) -> dispatch.Effects:
    """Records which workers a read of the platform's list has and lacks.

    Every instance records this for all workers, so that it knows since when a
    worker has been missing when it becomes the owner of its partition.
    """
    present = set()
    for entry in entries:
        present.add(entry.worker_id)
        batch.listed_workers[entry.worker_id] = state.ListedWorker(
            entry.draining
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

    Entries may have expired in the outage, and return only after it.
    """
    for listed in batch.listed_workers.values():
        listed.absence = None


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
    store disappears too, so the runs there must also have ended: either the
    worker had announced its departure and gave the signs of an exit, or the
    leases that this owner or a former one extended have expired.

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
    if not listed.draining:
        # The periodic checks give its runs up when their leases have expired.
        return False
    if now - worker.last_answer_at < REREGISTRATION_S:
        return False
    lease_s = batch.identity.limits.worker_lease_s
    return _has_exited(batch, worker, since) or leases.have_expired(
        worker, lease_s, now
    )


def _has_exited(batch: state.Batch, worker: state.Worker, since: float) -> bool:
    """Returns whether the last sign of a worker was that of an exit.

    A worker that exits closes its connections, and its entry is removed at
    once. A cut is silent, and the entry expires only after some heartbeats; a
    worker that answers while its entry is missing has lost the store.

    Args:
        batch: State of this instance.
        worker: Worker that has answered this owner.
        since: Monotonic time since which its entry is missing, in seconds.
    """
    answered_at = worker.last_answer_at
    if answered_at is None or not withheld_leases.has_closed_connection(worker):
        return False
    return 0 <= since - answered_at < _find_least_silence(batch)


def _find_least_silence(batch: state.Batch) -> float:
    """Returns how long a worker is silent before its entry expires.

    The entry of a worker that exits is removed at once.

    Returns:
        The shortest such time, in seconds.
    """
    return SILENT_HEARTBEATS * batch.identity.limits.heartbeat_s


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
