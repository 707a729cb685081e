"""Reports of what becomes of the idle processors of a partition.

Opportunistic tasks may use the processors that serving tasks leave idle. When
such tasks wait although processors are idle, a report tells which mechanism
holds them: no waiting task asks for them, the interference model refuses them,
or runs that are paced down hold them.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import reservation_reports
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import wait_reports

PART = "capacity"
# Time between two reports of a partition, in seconds.
REPORT_INTERVAL_S = 1.0
# A worker with less trust than this counts among those with low trust.
LOW_TRUST = 0.5


@attrs.frozen
class CapacityReport:
    """Processors of a partition that serving tasks leave idle, by their use.

    All amounts are in thousandths of a processor.

    Attributes:
        idle: Processors that neither serving nor other reserving tasks use.
        used: Those that opportunistic runs use at their target paces.
        unrequested: Those that are unused while no opportunistic task waits.
        refused: Those that are unused because waiting tasks would disturb
            serving tasks too much.
        startable: Those that are unused although a waiting task may use them.
        paced_down: Processors that runs request but leave at their paces.
        waiting: Processors that waiting opportunistic tasks request.
        waiting_jobs: Number of jobs with such tasks.
        low_trust_workers: Number of workers for which the model of interference
            is trusted little.
    """

    idle: int = 0
    used: int = 0
    unrequested: int = 0
    refused: int = 0
    startable: int = 0
    paced_down: int = 0
    waiting: int = 0
    waiting_jobs: int = 0
    low_trust_workers: int = 0


def log_capacity(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Logs the reports of a partition in which tasks wait, once a second."""
    if partition.phase is not state.Phase.ACTIVE:
        return []
    if now - partition.capacity_logged_at < REPORT_INTERVAL_S:
        return []
    partition.capacity_logged_at = now
    usable = usability.list_startable_workers(partition, now)
    return [
        *_log_idle(batch, partition, usable, now),
        *reservation_reports.log_reservations(partition, usable, now),
        *wait_reports.log_waits(batch, partition, usable, now),
    ]


def _log_idle(
    batch: state.Batch,
    partition: state.Partition,
    usable: list[state.Worker],
    now: float,
) -> dispatch.Effects:
    """Logs the use of idle processors if there is opportunistic work."""
    report = make_report(partition, usable, batch.interference, now)
    if not report.used and not report.waiting and not report.paced_down:
        return []
    fields = {"partition": partition.name, **attrs.asdict(report)}
    return [messages.Log(PART, "idle", fields)]


def make_report(
    partition: state.Partition,
    usable: list[state.Worker],
    interference: interference_module.InterferenceModel,
    now: float,
) -> CapacityReport:
    """Returns the report of a partition and its usable workers."""
    waiting = _list_waiting_steps(partition)
    images = {step.image for step in waiting}
    idle = used = unused_total = startable = paced_down = 0
    for worker in usable:
        worker_idle = max(0, placement.estimate_idle_cpu(worker))
        unused = max(0, worker_idle - worker.paced_cpu_millis)
        idle += worker_idle
        used += min(worker_idle, worker.paced_cpu_millis)
        unused_total += unused
        paced_down += worker.opportunistic_cpu_millis - worker.paced_cpu_millis
        if unused and images:
            allowed = _find_most_allowed(worker, images, interference, now)
            startable += min(unused, allowed)
    return CapacityReport(
        idle,
        used,
        0 if waiting else unused_total,
        unused_total - startable if waiting else 0,
        startable,
        paced_down,
        sum(step.amount.cpu_millis for step in waiting),
        _count_waiting_jobs(partition),
        sum(worker.trust < LOW_TRUST for worker in usable),
    )


def _list_waiting_steps(partition: state.Partition) -> list[model.Step]:
    """Returns the step of each opportunistic task that waits for a worker."""
    return [
        step.step
        for job in partition.jobs.values()
        for step in job.steps
        if step.step.fills
        for _ in step.runnable
    ]


def _count_waiting_jobs(partition: state.Partition) -> int:
    return sum(
        any(step.step.fills and step.runnable for step in job.steps)
        for job in partition.jobs.values()
    )


def _find_most_allowed(
    worker: state.Worker,
    images: set[str],
    interference: interference_module.InterferenceModel,
    now: float,
) -> int:
    """Returns the most processors that any of some images may use further."""
    budgets = interference.find_headroom_budgets(
        worker, now, interference_module.PLACEMENT_HORIZON_S
    )
    remaining = interference.find_remaining_budgets(worker, budgets)
    return max(
        interference.find_allowed_cpu(worker, remaining, image)
        for image in images
    )
