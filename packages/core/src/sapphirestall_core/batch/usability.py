"""Workers on which a scheduling pass may start tasks, and why not on others."""

import enum
import math

from sapphirestall_core.batch import state

# A worker whose last answer is older than this, in seconds, gets no new runs.
MAX_CONTACT_AGE_S = 3.0


class Obstacle(enum.Enum):
    """What keeps new runs off a worker."""

    # The roster of the partition in the store does not name the worker yet.
    NOT_IN_ROSTER = "not_in_roster"
    # The owner may extend no lease there.
    WITHHELD = "withheld"
    # Its last answer is too old, there was none, or the last call got none.
    SILENT = "silent"
    # It answers, but no listing of it has been applied.
    UNLISTED = "unlisted"
    DRAINING = "draining"
    # It answers, but the platform's list of workers lacks it.
    UNREGISTERED = "unregistered"
    # Runs there belong to no task of this owner and are still to be stopped.
    ORPHANS = "orphans"
    # It has restarted, and the platform's list does not show that yet.
    RESTARTED = "restarted"
    # It has refused a call a short time ago, or a call could not be sent.
    REFUSING = "refusing"
    # It is suspended since runs failed there or starts got no answer.
    SUSPENDED = "suspended"


def find_obstacle(
    worker: state.Worker, now: float, *, suspension_left_s: float = 0.0
) -> Obstacle | None:
    """Returns what keeps new runs off a worker; None if they may start.

    Args:
        worker: The worker.
        now: Monotonic time, in seconds.
        suspension_left_s: Rest of a suspension after failed runs that is
            ignored, in seconds. The shorter pause after a refusal counts in
            full: a worker that refuses all polls begins it anew with each.
    """
    # A worker that may be lost is no capacity, whatever else is known of it.
    answered_at = worker.last_answer_at
    if (
        worker.unresponsive
        or answered_at is None
        or now - answered_at > MAX_CONTACT_AGE_S
    ):
        return Obstacle.SILENT
    if not worker.listing_received:
        return Obstacle.UNLISTED
    if worker.entry.draining:
        return Obstacle.DRAINING
    if not worker.is_registered:
        return Obstacle.UNREGISTERED
    if worker.restarted_at is not None:
        return Obstacle.RESTARTED
    if worker.orphans:
        return Obstacle.ORPHANS
    if worker.paused_until > now:
        return Obstacle.REFUSING
    suspension = worker.suspension
    if suspension is not None and suspension.until > now + suspension_left_s:
        return Obstacle.SUSPENDED
    return None


def is_usable(
    worker: state.Worker, now: float, *, suspension_left_s: float = 0.0
) -> bool:
    """Returns whether new runs may start on a worker.

    Args:
        worker: The worker.
        now: Monotonic time, in seconds.
        suspension_left_s: Rest of a suspension that is ignored, in seconds.
    """
    obstacle = find_obstacle(worker, now, suspension_left_s=suspension_left_s)
    return obstacle is None


def accepts_service(worker: state.Worker, service: str, now: float) -> bool:
    """Returns whether new runs of a service may start on a worker."""
    return worker.entry.service == service and is_usable(worker, now)


def find_obstacle_in_partition(
    partition: state.Partition,
    worker: state.Worker,
    now: float,
    *,
    suspension_left_s: float = 0.0,
) -> Obstacle | None:
    """Returns what keeps an owner from starting runs on a worker, or None.

    The worker must be in the roster, and the owner may extend leases there. The
    roster comes before a suspension, in which a task may run on trial.

    Args:
        partition: The owned partition.
        worker: One of its workers.
        now: Monotonic time, in seconds.
        suspension_left_s: Rest of a suspension that is ignored, in seconds.
    """
    obstacle = find_obstacle(worker, now, suspension_left_s=suspension_left_s)
    if obstacle not in (None, Obstacle.SUSPENDED):
        return obstacle
    name = worker.entry.worker_id
    if name not in partition.roster:
        return Obstacle.NOT_IN_ROSTER
    if partition.withholds_leases(name):
        return Obstacle.WITHHELD
    return obstacle


def list_startable_workers(
    partition: state.Partition, now: float, *, suspension_left_s: float = 0.0
) -> list[state.Worker]:
    """Returns the workers of a partition on which a pass may start tasks.

    Args:
        partition: The owned partition.
        now: Monotonic time, in seconds.
        suspension_left_s: Rest of a suspension that is ignored, in seconds.
    """
    # This runs in each pass; the roster is looked up without a call a worker.
    return [
        worker
        for name, worker in partition.workers.items()
        if name in partition.roster
        and not partition.withholds_leases(name)
        and find_obstacle(worker, now, suspension_left_s=suspension_left_s)
        is None
    ]


def find_next_end(partition: state.Partition, now: float) -> float:
    """Returns when the next pause or suspension of a worker ends.

    Args:
        partition: The owned partition.
        now: Monotonic time, in seconds.

    Returns:
        Monotonic time in seconds; infinite if no worker is kept idle by one.
    """
    end = math.inf
    for worker in partition.workers.values():
        until = worker.paused_until
        if worker.suspension is not None:
            until = max(until, worker.suspension.until)
        if now < until < end:
            end = until
    return end


def list_unusable_workers(
    partition: state.Partition, now: float
) -> list[tuple[state.Worker, Obstacle]]:
    """Returns the workers on which no pass may start tasks, with the reason."""
    return [
        (worker, obstacle)
        for worker in partition.workers.values()
        if (obstacle := find_obstacle_in_partition(partition, worker, now))
        is not None
    ]
