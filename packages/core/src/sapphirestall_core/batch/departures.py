"""Departure of workers that announced it.

A worker that is going to leave drains first. Its entry in the platform's list
disappears when it exits, and all its runs end with it. They are given up then,
without waiting for the end of their leases.
"""

from collections.abc import Collection

from sapphirestall_core import messages
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import state

# An entry that disappeared while the store was unavailable returns within about
# 2 s after the outage if its worker still runs, so a draining worker whose entry
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
    absence = worker.absence
    if not worker.entry.draining or absence is None:
        return False
    answered_at = worker.last_answer_at
    if answered_at is not None and now - answered_at < REREGISTRATION_S:
        return False
    return absence.until - absence.since >= REREGISTRATION_S


def give_up_worker(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Removes all runs of a worker that has exited and queues their tasks."""
    partition.unlisted_workers.discard(worker.entry.worker_id)
    return contact.requeue_lost_runs(partition, worker, contact.DEPARTED, now)
