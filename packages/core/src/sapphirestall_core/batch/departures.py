"""Departure of workers that announced it.

A worker that is going to leave drains first. Meanwhile its long-running tasks
move to other workers, since they would not end by themselves. Its entry in the
platform's list disappears when it exits, and all its runs end with it. They are
given up then, without waiting for the end of their leases. The roster of a
partition names the draining workers, so that a new owner that finds no entry of
such a worker does not wait for its runs either.
"""

from collections.abc import Collection

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state

# An entry that disappeared while the store was unavailable returns within about
# 2 s after the outage if its worker still runs. A draining worker whose entry
# is missing for longer has exited.
REREGISTRATION_S = 2.5


def record_absences(
    partition: state.Partition, present: Collection[str], now: float
) -> dispatch.Effects:
    """Records which workers a read of the platform's list lacks.

    Args:
        partition: The owned partition.
        present: Ids of the workers of the partition in the list.
        now: Monotonic time, in seconds.
    """
    effects: dispatch.Effects = []
    for name, worker in partition.workers.items():
        if name in present:
            worker.absence = None
            continue
        if worker.absence is None:
            effects.append(_log_deregistered(partition, worker, now))
        worker.absence = _extend_absence(worker.absence, now)
    for name in partition.former_draining_workers:
        if name in present or name in partition.workers:
            partition.former_absences.pop(name, None)
        else:
            absence = partition.former_absences.get(name)
            partition.former_absences[name] = _extend_absence(absence, now)
    return effects


def _extend_absence(absence: state.Absence | None, now: float) -> state.Absence:
    return state.Absence(absence.since if absence else now, now)


def _log_deregistered(
    partition: state.Partition, worker: state.Worker, now: float
) -> messages.Log:
    """Returns a log line about a worker that the platform's list now lacks."""
    answered_at = worker.last_answer_at
    return contact.make_log(
        "deregistered",
        partition,
        worker.entry.worker_id,
        draining=worker.entry.draining,
        contact_age_s=round(now - answered_at, 3) if answered_at else "",
        runs=len(worker.runs),
    )


def has_left(worker: state.Worker, now: float) -> bool:
    """Returns whether a worker that announced its departure has exited.

    Its entry has been missing for `REREGISTRATION_S`, and it has answered no
    call for as long.
    """
    if not worker.entry.draining or worker.absence is None:
        return False
    answered_at = worker.last_answer_at
    if answered_at is not None and now - answered_at < REREGISTRATION_S:
        return False
    return _outlasts_registration(worker.absence)


def _outlasts_registration(absence: state.Absence) -> bool:
    """Returns whether a worker that runs would have been registered again."""
    return absence.until - absence.since >= REREGISTRATION_S


def give_up_worker(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Removes all runs of a worker that has exited and queues their tasks."""
    partition.unlisted_workers.discard(worker.entry.worker_id)
    return contact.requeue_lost_runs(partition, worker, contact.DEPARTED, now)


def list_draining_workers(partition: state.Partition) -> frozenset[str]:
    """Returns the workers to be stored as draining in the roster.

    They include those that a former owner stored and whose runs may exist.
    """
    draining = {
        name
        for name, worker in partition.workers.items()
        if worker.entry.draining
    }
    former = partition.former_draining_workers & partition.unlisted_workers
    return frozenset(draining | former)


def settle_former_workers(partition: state.Partition) -> dispatch.Effects:
    """Stops waiting for workers that left under a former owner."""
    departed = {
        name
        for name, absence in partition.former_absences.items()
        if name in partition.unlisted_workers
        and _outlasts_registration(absence)
    }
    if not departed:
        return []
    partition.unlisted_workers -= departed
    fields = {"partition": partition.name, "workers": sorted(departed)}
    log = messages.Log(contact.PART, "former_departed", fields)
    return [log, *passes.request_pass(partition)]


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
        or ownership.may_have_successor(batch, partition, now)
    ):
        return []
    former_runs_ended = former_runs.have_ended(partition, now)
    scheduling_pass = passes.SchedulingPass(batch, partition, now)
    effects: dispatch.Effects = []
    for worker, run in runs:
        job = run.task.job
        if not passes.may_start(job, partition, former_runs_ended):
            continue
        pool = scheduling_pass.get_pool(job.queue.service)
        target = placement.choose_candidate(
            run.task, pool.candidates, batch.interference, now
        )
        if target is None:
            continue
        # Tasks whose runs are being stopped already need capacity too.
        target.deduct(run.task.step)
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
