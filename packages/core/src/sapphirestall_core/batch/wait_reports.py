"""Reports of what keeps long-running tasks waiting.

A long-running task should run again within seconds. It waits because runs of
former owners may still exist, because it is being moved, or because no usable
worker of its partition can take it. The report also tells why not, whether
workers that no pass may use could take it, and how much capacity other
partitions have according to their summaries.
"""

import collections
import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import waiting_tasks

PART = "capacity"
# Highest number of tasks that are counted to fit in one other partition.
MAX_COUNTED_TASKS = 99


class Obstacle(enum.Enum):
    """What keeps the tasks of a step off the usable workers of a partition."""

    # A worker has the capacity, and the next pass may use it unless finite
    # tasks of a higher priority come first.
    NONE = "none"
    CPU = "cpu"
    # Workers have the processors, but none of them has the memory too.
    MEMORY = "memory"
    # Workers have the capacity, but the constraints of the step exclude them.
    CONSTRAINTS = "constraints"


@attrs.frozen
class UnusableWorkers:
    """Workers of a partition that no pass may use, for one reason.

    Attributes:
        obstacle: The reason.
        workers: Number of workers.
        tasks: Number of waiting tasks that may start and would fit on one of
            these workers.
    """

    obstacle: usability.Obstacle
    workers: int
    tasks: int

    def __str__(self) -> str:
        """Returns the text for a log line."""
        return f"{self.obstacle.value}:{self.workers}:{self.tasks}"


@attrs.define
class WaitReport:
    """Long-running tasks of a partition that have no run.

    Amounts are processors, in thousandths.

    Attributes:
        tasks: Number of these tasks.
        not_allowed: Of these, those that may not start yet, whatever capacity
            there is.
        moving: Of these, those whose move is being written.
        longest_s: Longest time since a pass found no worker for one of them, in
            seconds.
        unused: Tasks that may start, and that a usable worker could take.
        lacking_cpu: Those for which no usable worker has the processors.
        lacking_memory: Those for which workers have only the processors.
        constrained: Those that constraints keep off workers with the capacity.
        smallest_cpu: Lowest request among all waiting tasks.
        largest_free: Most unreserved processors on one usable worker.
        usable_workers: Number of workers on which new runs may start.
        workers: Number of workers.
        unusable: Workers that no pass may use, by reason.
        elsewhere_free: Most unreserved processors on one worker of another
            partition, by the summaries.
        elsewhere_tasks: Number of tasks with the lowest request for which other
            partitions have capacity, by the summaries.
        elsewhere_partitions: Number of partitions that have some of it.
        summary_age_s: Time since summaries were last read, in seconds.
    """

    tasks: int = 0
    not_allowed: int = 0
    moving: int = 0
    longest_s: float = 0.0
    unused: int = 0
    lacking_cpu: int = 0
    lacking_memory: int = 0
    constrained: int = 0
    smallest_cpu: int = 0
    largest_free: int = 0
    usable_workers: int = 0
    workers: int = 0
    unusable: tuple[UnusableWorkers, ...] = ()
    elsewhere_free: int = 0
    elsewhere_tasks: int = 0
    elsewhere_partitions: int = 0
    summary_age_s: float = 0.0


def log_waits(
    batch: state.Batch,
    partition: state.Partition,
    usable: list[state.Worker],
    now: float,
) -> dispatch.Effects:
    """Logs a report of a partition in which long-running tasks wait."""
    waiting = waiting_tasks.list_long_running(partition.jobs.values())
    if not waiting:
        return []
    report = make_report(batch, partition, waiting, usable, now)
    fields = {
        "partition": partition.name,
        **attrs.asdict(report, recurse=False),
    }
    fields["unusable"] = ",".join(str(group) for group in report.unusable)
    return [messages.Log(PART, "waits", fields)]


def make_report(
    batch: state.Batch,
    partition: state.Partition,
    waiting: list[state.Task],
    usable: list[state.Worker],
    now: float,
) -> WaitReport:
    """Returns the report of a partition.

    Args:
        batch: State of this instance.
        partition: The owned partition.
        waiting: Its long-running tasks that have no run; at least one.
        usable: Its workers on which new runs may start.
        now: Monotonic time, in seconds.
    """
    progress = former_runs.check_progress(partition, now)
    allowed = [
        task for task in waiting if passes.may_start(batch, task.job, progress)
    ]
    since = [
        task.unplaced_since
        for task in waiting
        if task.unplaced_since is not None
    ]
    obstacles = _count_obstacles(allowed, usable)
    smallest = min(waiting, key=lambda task: task.step.amount.cpu_millis)
    elsewhere = _count_fitting_elsewhere(batch, partition, smallest, now)
    return WaitReport(
        tasks=len(waiting),
        not_allowed=len(waiting) - len(allowed),
        moving=sum(task.job.move_in_flight for task in waiting),
        longest_s=round(now - min(since, default=now), 3),
        unused=obstacles[Obstacle.NONE],
        lacking_cpu=obstacles[Obstacle.CPU],
        lacking_memory=obstacles[Obstacle.MEMORY],
        constrained=obstacles[Obstacle.CONSTRAINTS],
        smallest_cpu=smallest.step.amount.cpu_millis,
        largest_free=max(
            (
                worker.entry.capacity.minus(worker.reserved).cpu_millis
                for worker in usable
            ),
            default=0,
        ),
        usable_workers=len(usable),
        workers=len(partition.workers),
        unusable=_group_unusable_workers(partition, allowed, now),
        elsewhere_free=_find_free_elsewhere(batch, partition, smallest, now),
        elsewhere_tasks=sum(elsewhere),
        elsewhere_partitions=sum(count > 0 for count in elsewhere),
        summary_age_s=round(now - batch.all_summaries_read_at, 3),
    )


def _count_obstacles(
    tasks: list[state.Task], workers: list[state.Worker]
) -> collections.Counter[Obstacle]:
    """Counts tasks by what keeps them off the workers of their partition.

    The tasks of a step have the same obstacle, which is found once.
    """
    candidates: dict[str, list[placement.Candidate]] = {}
    for worker in workers:
        candidate = placement.make_candidate(worker)
        candidates.setdefault(worker.entry.service, []).append(candidate)
    counts: collections.Counter[Obstacle] = collections.Counter()
    for same_step in _group_by_step(tasks):
        task = same_step[0]
        available = candidates.get(task.job.queue.service, [])
        counts[_find_obstacle(task, available)] += len(same_step)
    return counts


def _group_by_step(tasks: list[state.Task]) -> list[list[state.Task]]:
    """Returns the tasks of each step."""
    by_step: dict[tuple[str, int], list[state.Task]] = {}
    for task in tasks:
        key = (task.name.job_id, task.name.step)
        by_step.setdefault(key, []).append(task)
    return list(by_step.values())


def _group_unusable_workers(
    partition: state.Partition, tasks: list[state.Task], now: float
) -> tuple[UnusableWorkers, ...]:
    """Groups the workers that no pass may use by the reason.

    Args:
        partition: The owned partition.
        tasks: Its waiting tasks that may start.
        now: Monotonic time, in seconds.
    """
    candidates: dict[usability.Obstacle, list[placement.Candidate]] = {}
    for worker, obstacle in usability.list_unusable_workers(partition, now):
        group = candidates.setdefault(obstacle, [])
        group.append(placement.make_candidate(worker))
    steps = _group_by_step(tasks)
    return tuple(
        UnusableWorkers(
            obstacle,
            len(group),
            sum(
                len(same)
                for same in steps
                if any(placement.can_run(each, same[0]) for each in group)
            ),
        )
        for obstacle, group in candidates.items()
    )


def _find_obstacle(
    task: state.Task, candidates: list[placement.Candidate]
) -> Obstacle:
    """Returns what keeps a task off all usable workers of its service."""
    fitting = [
        candidate for candidate in candidates if candidate.fits(task.step)
    ]
    if any(
        placement.meets_constraints(candidate, task, ())
        for candidate in fitting
    ):
        return Obstacle.NONE
    if fitting:
        return Obstacle.CONSTRAINTS
    cpu_millis = task.step.amount.cpu_millis
    if any(candidate.cpu_millis >= cpu_millis for candidate in candidates):
        return Obstacle.MEMORY
    return Obstacle.CPU


def _count_fitting_elsewhere(
    batch: state.Batch,
    partition: state.Partition,
    task: state.Task,
    now: float,
) -> list[int]:
    """Returns for how many tasks of a kind each other partition has room."""
    summaries = routing.list_fresh_summaries(batch, now)
    return [
        summary_capacity.count_fitting_tasks(
            summary, task.job.queue.service, task.step, MAX_COUNTED_TASKS
        )
        for name, summary in summaries.items()
        if name != partition.name
    ]


def _find_free_elsewhere(
    batch: state.Batch,
    partition: state.Partition,
    task: state.Task,
    now: float,
) -> int:
    """Returns the most free processors elsewhere on a worker for a task."""
    summaries = routing.list_fresh_summaries(batch, now)
    return max(
        (
            summary_capacity.find_largest_free_cpu(
                summary, task.job.queue.service, task.step
            )
            for name, summary in summaries.items()
            if name != partition.name
        ),
        default=0,
    )
