"""Processing of workers' reports by the scheduling policy.

A report updates the policy's view of the worker, the learned usage of tasks and
the learned interference with services, and drives the worker's controller.
"""

from collections.abc import Callable
from collections.abc import Container

from sapphirestall_core import controller
from sapphirestall_core import interference
from sapphirestall_core import jobs
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import scheduling
from sapphirestall_core import task_messages
from sapphirestall_core import views as views_module

# The usage of a task is recorded only after this time, because a task that is
# still loading its data uses less.
WARM_UP_S = 5.0
CLAIM_CLEANUP_PERIOD_S = 10.0

FindRecord = Callable[[str], jobs.JobRecord | None]


def process_report(
    scheduling_state: scheduling.SchedulingState,
    worker_id: str,
    report: task_messages.WorkerReport,
    ledger: resources.Ledger,
    find_record: FindRecord,
    rules: policy.Policy,
    expected: Container[task_messages.AttemptName],
    now: float,
) -> list[controller.Action]:
    """Processes a worker's report and returns the controller's actions.

    Args:
        scheduling_state: State of the scheduling policy; changed in place.
        worker_id: Worker that sent the report.
        report: Tasks and service measurements of the worker.
        ledger: Reservations computed from the report.
        find_record: Returns the record of a job by its id, or `None`.
        rules: Configuration in force.
        expected: Attempts that hold resources on the worker although the
            report may not contain them yet.
        now: Monotonic time, in seconds.
    """
    view = scheduling_state.views.get(worker_id)
    if view is None:
        view = views_module.WorkerView(
            worker_id, resources.Ledger(resources.Vector())
        )
        scheduling_state.views[worker_id] = view
    scheduling_state.batch_cpu_millis -= view.available_cpu_millis
    view.available_cpu_millis = ledger.capacity.cpu_millis - sum(
        service.reserved.cpu_millis for service in report.services
    )
    scheduling_state.batch_cpu_millis += view.available_cpu_millis
    scheduling_state.largest_worker = scheduling_state.largest_worker.maximum(
        ledger.capacity
    )
    view.ledger = ledger
    view.claims = {k: c for k, c in view.claims.items() if c.expires_at > now}
    _drop_expired_claims(scheduling_state, now)
    view.services = report.services
    _update_tasks(scheduling_state, view, report, find_record, expected, now)
    view.history.record(
        report.clock, {k: v for k, v in view.loads.items() if v > 0.0}
    )
    for service in report.services:
        interference.record_measurement(
            scheduling_state.estimator,
            view.history,
            service.service,
            service.slowdown,
            service.measured_at,
            view.controller.last_action_at,
            now,
        )
    return _run_controller(scheduling_state, view, report.clock, rules, now)


def _drop_expired_claims(
    scheduling_state: scheduling.SchedulingState, now: float
) -> None:
    """Drops claims that expired a cleanup period ago.

    Their tasks ended or were cancelled before a start.
    """
    if now < scheduling_state.claims_expiry_due_at:
        return
    scheduling_state.claims_expiry_due_at = now + CLAIM_CLEANUP_PERIOD_S
    oldest = now - CLAIM_CLEANUP_PERIOD_S
    scheduling_state.claims = {
        key: claim
        for key, claim in scheduling_state.claims.items()
        if claim.expires_at > oldest
    }


def _update_tasks(
    scheduling_state: scheduling.SchedulingState,
    view: views_module.WorkerView,
    report: task_messages.WorkerReport,
    find_record: FindRecord,
    expected: Container[task_messages.AttemptName],
    now: float,
) -> None:
    known_tasks = view.tasks
    current_tasks: dict[
        task_messages.AttemptName, views_module.RunningTask
    ] = {}
    reported = set()
    for task_report in report.tasks:
        reported.add(task_report.name)
        if task_report.state is not task_messages.TaskState.RUNNING:
            continue
        task = known_tasks.get(task_report.name)
        if task is None:
            record = find_record(task_report.name.job_id)
            task = _make_running(task_report, record, now)
            scheduling_state.add_task(task)
        elif task.reserved != task_report.reserved:
            scheduling_state.remove_task(task)
            task.reserved = task_report.reserved
            scheduling_state.add_task(task)
        _update_usage(scheduling_state, task, task_report, now)
        current_tasks[task_report.name] = task
    for name, task in known_tasks.items():
        if name not in reported and name in expected:
            current_tasks[name] = task
        elif name not in current_tasks:
            scheduling_state.remove_task(task)
    view.replace(current_tasks.values())


def _make_running(
    task_report: task_messages.TaskReport,
    record: jobs.JobRecord | None,
    now: float,
) -> views_module.RunningTask:
    """Builds the view of a reported task that is not known to the policy.

    It was started by a former owner of the partition.
    """
    return views_module.RunningTask(
        task_report.name,
        task_report.kind,
        record.team if record else "",
        record.urgency if record else 0,
        task_report.reserved,
        task_report.usage.cpu_millis / 1000.0,
        task_report.usage.cpu_millis / 1000.0 / max(0.01, task_report.throttle),
        now,
        now,
        record.checkpointable if record else False,
    )


def _update_usage(
    scheduling_state: scheduling.SchedulingState,
    task: views_module.RunningTask,
    task_report: task_messages.TaskReport,
    now: float,
) -> None:
    task.throttle_share = task_report.throttle
    warmed_up = now - task.started_at >= WARM_UP_S
    if warmed_up and task_report.usage.cpu_millis > 0:
        task.cpu = task_report.usage.cpu_millis / 1000.0
        task.unthrottled_cpu = task.cpu / max(0.01, task.throttle_share)
        if task.throttle_share >= 1.0:
            scheduling_state.usage.record_use(task.kind, task_report.usage)
    else:
        # A throttle takes effect at once. Without it, the estimator would
        # attribute a later slowdown to processors that are no longer in use.
        task.cpu = task.unthrottled_cpu * task.throttle_share


def _run_controller(
    scheduling_state: scheduling.SchedulingState,
    view: views_module.WorkerView,
    clock: float,
    rules: policy.Policy,
    now: float,
) -> list[controller.Action]:
    """Runs a worker's controller on the most recent measurements."""
    if not isinstance(scheduling_state.strategy, placement.LeastSlowdown):
        return []
    measurements = [
        controller.Measurement(
            service.service,
            service.slowdown,
            1.0 + placement.get_accepted_excess(rules, service.service),
            service.measured_at,
        )
        for service in view.services
    ]
    inputs = placement.Inputs(scheduling_state.estimator, rules)
    # Most reports need no action. Predictions are skipped for unthrottled tasks
    # while all services are within their limits.
    within_limits = all(
        measurement.compute_pressure() <= 1.0 for measurement in measurements
    )
    batch_tasks = [
        _make_batch_task(task, view, inputs, now)
        for task in view.tasks.values()
        if not task.evicting
        and (task.throttle_share < 1.0 or not within_limits)
    ]
    budget = rules.sharing.evictions_per_minute
    return controller.decide(
        view.controller, measurements, batch_tasks, budget, clock, now
    )


def _make_batch_task(
    task: views_module.RunningTask,
    view: views_module.WorkerView,
    inputs: placement.Inputs,
    now: float,
) -> controller.BatchTask:
    pressure = max(
        (
            task.cpu
            * inputs.estimator.estimate_upper(service.service, task.kind, now)
            / placement.get_accepted_excess(inputs.rules, service.service)
            for service in view.services
        ),
        default=0.0,
    )
    urgent = task.urgency >= inputs.rules.sharing.urgent_from
    return controller.BatchTask(
        task.name, task.throttle_share, pressure, urgent
    )
