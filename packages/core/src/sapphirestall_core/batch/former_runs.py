"""Wait for the end of runs that former owners of a partition started.

A new owner learns of these runs from the listings of the workers. Workers of
the roster that send no listing may still have such runs, and jobs that may have
them must not be started again before all of them have ended. A worker that the
roster lacks never got a run.

Neither a worker's silence nor a missing entry in the platform's list proves
that its runs have ended: it may have lost the store, or only the new owner, and
a former owner may still reach it. They have ended when a former owner has said
so in its release, or else when the bounds on what an owner does without a
confirmed ownership (`tenure`) exclude that their leases last.
"""

from collections.abc import Collection
import math

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure

PART = "takeover"
# Time after which all workers that can be reached have sent their listings to
# an owner that has become active, in seconds.
LISTING_WAIT_S = 1.5


def start_wait(partition: state.Partition, lease_s: float, now: float) -> None:
    """Starts the wait when an owner becomes active.

    Args:
        partition: Partition of the owner.
        lease_s: Longest lease that an owner requests, in seconds.
        now: Monotonic time, in seconds.
    """
    partition.active_at = now
    update_end(partition, lease_s)


def update_end(partition: state.Partition, lease_s: float) -> None:
    """Computes again when the leases of former owners have expired.

    Args:
        partition: Partition of the owner.
        lease_s: Longest lease that an owner requests, in seconds.
    """
    partition.former_runs_end_at = _find_leases_end(partition, lease_s)


def record_witnesses(
    partition: state.Partition, names: Collection[str]
) -> None:
    """Records the workers whose answers former owners will learn of.

    Some may have answered before the roster that names them was read.
    """
    partition.witnesses = frozenset(names)
    answers = [
        worker.last_answer_at
        for name in names
        if (worker := partition.workers.get(name)) is not None
        and worker.last_answer_at is not None
        # A worker that refused all calls has not seen the owner's token.
        and math.isfinite(worker.answered_call_sent_at)
    ]
    partition.witness_answered_at = min(answers, default=None)


def record_contact(
    partition: state.Partition, worker_id: str, lease_s: float, now: float
) -> None:
    """Records the answer of a worker to a call with the owner's token.

    Args:
        partition: Partition of the owner.
        worker_id: Id of the worker.
        lease_s: Longest lease that an owner requests, in seconds.
        now: Monotonic time, in seconds.
    """
    if partition.witness_answered_at is not None:
        return
    if worker_id not in partition.witnesses:
        return
    partition.witness_answered_at = now
    update_end(partition, lease_s)


def _find_leases_end(partition: state.Partition, lease_s: float) -> float:
    """Returns when the leases of former owners have expired without a release.

    Args:
        partition: Partition of the owner.
        lease_s: Longest lease that an owner requests, in seconds.
    """
    end_at = tenure.find_leases_end(
        lease_s,
        partition.vacancy.since,
        partition.former_proved_at,
        partition.witness_answered_at,
    )
    if partition.former_owner_ended_at is not None:
        longest_s = leases.find_longest_duration(lease_s)
        end_at = min(end_at, partition.former_owner_ended_at + longest_s)
    return end_at


def find_released_end(partition: state.Partition, name: str) -> float:
    """Returns when the former owner's leases on a worker have expired.

    Returns:
        Monotonic time, in seconds; infinite if the former owner has stored no
        release, or none for this worker.
    """
    former_generation = partition.compute_own_generation() - 1
    if partition.released_generation != former_generation:
        return math.inf
    return partition.former_leases_end_at.get(name, math.inf)


def find_end(partition: state.Partition, name: str) -> float:
    """Returns when all runs of former owners on a worker have ended.

    A release counts even if it names a later time than the bounds do: the store
    lease of the former owner may have been revoked. A lease that the former
    owner withheld has ended in any case.

    Args:
        partition: The owned partition.
        name: Id of a worker that has sent no listing of all its runs.

    Returns:
        Monotonic time, in seconds.
    """
    end_at = find_released_end(partition, name)
    if math.isinf(end_at):
        end_at = partition.former_runs_end_at
    return min(end_at, partition.former_withheld_end_at.get(name, math.inf))


def find_last_end(partition: state.Partition) -> float:
    """Returns when all runs of former owners have ended on all workers.

    Returns:
        Monotonic time, in seconds; minus infinity if none may exist.
    """
    return max(
        (find_end(partition, name) for name in partition.unlisted_workers),
        default=-math.inf,
    )


def _find_wait_end(partition: state.Partition, name: str) -> float:
    """Returns until when the listing of a worker is awaited at the latest.

    Returns:
        Monotonic time, in seconds.
    """
    if partition.active_at is None:
        return math.inf
    listed_at = partition.active_at + LISTING_WAIT_S
    return max(find_end(partition, name), listed_at)


def settle_workers(partition: state.Partition, now: float) -> dispatch.Effects:
    """Stops waiting for workers on which all runs of former owners have ended.

    The periodic check that calls this requests a pass.
    """
    ended = {
        name
        for name in partition.unlisted_workers
        if now >= _find_wait_end(partition, name)
    }
    if not ended:
        return []
    partition.unlisted_workers -= ended
    answered_at = partition.witness_answered_at
    released = sum(
        math.isfinite(find_released_end(partition, name)) for name in ended
    )
    fields = {
        "partition": partition.name,
        "token": partition.token,
        "workers": sorted(ended),
        "released": released,
        "withheld": len(ended & partition.former_withheld_end_at.keys()),
        "unowned_s": round(now - partition.vacancy.since, 3),
        "proved_s": round(now - partition.former_proved_at, 3),
        "contact_s": "" if answered_at is None else round(now - answered_at, 3),
        "held_s": round(now - partition.acquired_at, 3),
    }
    return [messages.Log(PART, "former_ended", fields)]


@attrs.frozen
class Progress:
    """How far the wait for the runs of former owners has come.

    Attributes:
        token: Fencing token of the owner that waits.
        ended: Whether all of them are listed or have ended.
        listed: Whether the listings, which also tell how they have ended, have
            been awaited for long enough as well.
    """

    token: int
    ended: bool
    listed: bool

    def allows(self, job: state.Job) -> bool:
        """Returns whether no run of a job may exist that no listing has shown.

        It does not matter how the runs of a long-running task have ended. Other
        tasks may be done, so that the listings are awaited.
        """
        # A job that is newer than the owner's token was unknown to former ones.
        if self.listed or job.create_revision >= self.token:
            return True
        return self.ended and all(step.step.long_running for step in job.steps)


def check_progress(partition: state.Partition, now: float) -> Progress:
    """Returns how far the wait for the runs of former owners has come."""
    names = partition.unlisted_workers
    return Progress(
        partition.token,
        now >= find_last_end(partition),
        all(now >= _find_wait_end(partition, name) for name in names),
    )
