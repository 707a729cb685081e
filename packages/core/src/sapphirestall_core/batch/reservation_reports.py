"""Reports of who holds the processors that waiting tasks want to reserve.

Tasks that are not opportunistic start only on unreserved processors and memory.
When such tasks wait, a report tells what keeps them waiting: long-running tasks
hold the processors, the free processors are split among workers in parts that
are too small, or opportunistic runs hold the memory.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state

PART = "capacity"


@attrs.define
class ReservationReport:
    """Reserved processors of a partition and the tasks that wait for them.

    All amounts are processors, in thousandths.

    Attributes:
        capacity: Processors of the usable workers.
        long_running: Processors that long-running tasks reserve.
        finite: Processors that other tasks reserve.
        largest_free: Most unreserved processors on one worker.
        waiting_long_running: Processors that waiting long-running tasks
            request.
        waiting_finite: Processors that waiting tasks request whose jobs can
            still meet their objectives.
        waiting_late: Processors that waiting tasks of other jobs request.
        lacking_memory: Of `waiting_finite`, those requested by tasks for which
            a worker has the processors but none has the memory too.
    """

    capacity: int = 0
    long_running: int = 0
    finite: int = 0
    largest_free: int = 0
    waiting_long_running: int = 0
    waiting_finite: int = 0
    waiting_late: int = 0
    lacking_memory: int = 0


def log_reservations(
    partition: state.Partition, usable: list[state.Worker], now: float
) -> dispatch.Effects:
    """Logs a report of a partition in which reserving tasks wait."""
    report = make_report(partition, usable, now)
    if not (
        report.waiting_long_running
        or report.waiting_finite
        or report.waiting_late
    ):
        return []
    fields = {"partition": partition.name, **attrs.asdict(report)}
    return [messages.Log(PART, "reserved", fields)]


def make_report(
    partition: state.Partition, usable: list[state.Worker], now: float
) -> ReservationReport:
    """Returns the report of a partition and its usable workers."""
    report = ReservationReport()
    for worker in usable:
        _add_worker(report, worker)
    for job in partition.jobs.values():
        for step in job.steps:
            if step.runnable and not step.step.fills:
                _add_waiting(report, job, step, usable, now)
    return report


def _add_worker(report: ReservationReport, worker: state.Worker) -> None:
    """Adds the reservations of a worker to a report."""
    capacity = worker.entry.capacity.cpu_millis
    long_running = sum(
        run.task.step.amount.cpu_millis
        for run in worker.runs.values()
        if run.task.step.long_running
    )
    reserved = worker.reserved.cpu_millis
    report.capacity += capacity
    report.long_running += long_running
    report.finite += reserved - long_running
    report.largest_free = max(report.largest_free, capacity - reserved)


def _add_waiting(
    report: ReservationReport,
    job: state.Job,
    step: state.StepState,
    usable: list[state.Worker],
    now: float,
) -> None:
    """Adds the waiting tasks of a step to a report."""
    requested = len(step.runnable) * step.step.amount.cpu_millis
    if step.step.long_running:
        report.waiting_long_running += requested
        return
    status = objectives.classify(job, now)
    if status is not objectives.ObjectiveStatus.ACHIEVABLE:
        report.waiting_late += requested
        return
    report.waiting_finite += requested
    free = [placement.find_free_capacity(w, step.step) for w in usable]
    amount = step.step.amount
    fitting = [f for f in free if f.cpu_millis >= amount.cpu_millis]
    if fitting and all(f.memory_mb < amount.memory_mb for f in fitting):
        report.lacking_memory += requested
