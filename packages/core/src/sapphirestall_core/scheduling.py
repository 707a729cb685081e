"""The scheduling policy of one owner, as the handlers of batch work use it.

`observe` takes a worker's report, `find_worker` places a task, `find_plan`
names tasks to evict for urgent work, and the `record_*` functions tell what
became of a task. None of them sends anything.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable

import attrs

from sapphirestall_core import controller
from sapphirestall_core import interference
from sapphirestall_core import jobs
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import preemption
from sapphirestall_core import probation
from sapphirestall_core import quotas
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import usage
from sapphirestall_core import views as views_module

# A task is measured only after it has run this long; it may still be loading.
SETTLED_AFTER_S = 5.0

FindRecord = Callable[[str], jobs.JobRecord | None]


@attrs.define
class Scheduling:
    """State of the policy; rebuilt from reports after a takeover.

    Attributes:
        quota_share: This owner's part of the deployment's capacity.
        largest: Largest capacity of a worker in each part.
        quota_due_at: Own time at which the part is computed again.
        quota_views: Workers for which it was computed.
        lower_waiting: Whether work below `Sharing.urgent_from` waits.
        claims: Room that is being freed, by job id and task.
        held_cpu: Processors in thousandths that tasks of each urgency hold;
            tasks under eviction do not count.
        capacity_cpu: Processors in thousandths of all workers.
    """

    strategy: placement.Strategy = attrs.field(factory=placement.Predicted)
    views: dict[str, views_module.WorkerView] = attrs.field(factory=dict)
    estimator: interference.Estimator = attrs.field(
        factory=interference.Estimator
    )
    usage: usage.Usage = attrs.field(factory=usage.Usage)
    probation: probation.Probation = attrs.field(factory=probation.Probation)
    quotas: quotas.Quotas = attrs.field(factory=quotas.Quotas)
    quota_share: float = 1.0
    quota_due_at: float = 0.0
    quota_views: int = 0
    lower_waiting: bool = False
    claims: dict[tuple[str, int], preemption.Claim] = attrs.field(factory=dict)
    held_cpu: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    capacity_cpu: int = 0
    largest: resources.Vector = attrs.field(factory=resources.Vector)

    def hold(self, task: views_module.Running) -> None:
        """Counts what a task holds."""
        self.quotas.add(task.team, task.reserved)
        if not task.evicting:
            self.held_cpu[task.urgency] += task.reserved.cpu_millis

    def release(self, task: views_module.Running) -> None:
        """Reverses `hold`."""
        self.quotas.remove(task.team, task.reserved)
        if not task.evicting:
            self.held_cpu[task.urgency] -= task.reserved.cpu_millis

    def sum_lower_cpu(self, urgent_from: int) -> int:
        """Returns what work below an urgency holds, in thousandths."""
        return sum(
            cpu for level, cpu in self.held_cpu.items() if level < urgent_from
        )

    def sum_urgent_cpu(self, urgent_from: int) -> int:
        """Returns what work from an urgency on holds, in thousandths."""
        return sum(
            cpu for level, cpu in self.held_cpu.items() if level >= urgent_from
        )


def make_demand(
    scheduling: Scheduling, record: jobs.JobRecord
) -> placement.Demand:
    """Returns what one task of a job needs, with what was learned."""
    largest = scheduling.largest
    learned = scheduling.usage
    return placement.Demand(
        record.kind,
        record.team,
        record.urgency,
        learned.compute_reservation(record.kind, record.declared, largest),
        learned.predict_cpu(record.kind, record.declared),
    )


def find_worker(
    scheduling: Scheduling,
    demand: placement.Demand,
    worker_ids: Iterable[str],
    rules: policy.Policy,
    now: float,
) -> placement.Decision:
    """Chooses a worker for a task, or says why none takes it."""
    allowed = scheduling.quotas.allows(
        demand.team, demand.reserved, rules.teams, scheduling.quota_share
    )
    if not allowed:
        return placement.NotPlaced("quota")
    if _breaks_floor(scheduling, demand, rules):
        return placement.NotPlaced("floor")
    known = [scheduling.views.get(worker_id) for worker_id in worker_ids]
    fitting = [
        view
        for view in known
        if view
        and demand.reserved.fits(_find_room(scheduling, view, demand, now))
    ]
    if not fitting:
        return placement.NotPlaced("no_room")
    trusted = [
        view
        for view in fitting
        if scheduling.probation.count_room(view.worker_id, now) > 0
    ]
    if not trusted:
        return placement.NotPlaced("probation")
    outlook = placement.Outlook(scheduling.estimator, rules)
    return placement.choose(scheduling.strategy, demand, trusted, outlook, now)


def _find_room(
    scheduling: Scheduling,
    view: views_module.WorkerView,
    demand: placement.Demand,
    now: float,
) -> resources.Vector:
    free = view.ledger.compute_free()
    if not scheduling.claims:
        return free
    claims = scheduling.claims.values()
    return free.minus(
        preemption.sum_claims(claims, view.worker_id, demand.urgency, now)
    )


def _breaks_floor(
    scheduling: Scheduling, demand: placement.Demand, rules: policy.Policy
) -> bool:
    """Tells whether urgent work would take what lower work keeps."""
    sharing = rules.sharing
    if demand.urgency < sharing.urgent_from or not scheduling.lower_waiting:
        return False
    urgent = scheduling.sum_urgent_cpu(sharing.urgent_from)
    ceiling = (1.0 - sharing.lower_floor) * scheduling.capacity_cpu
    return urgent + demand.reserved.cpu_millis > ceiling


def claim_room(
    scheduling: Scheduling,
    job_id: str,
    task: int,
    demand: placement.Demand,
    worker_ids: Iterable[str],
    rules: policy.Policy,
    now: float,
) -> preemption.Plan | None:
    """Returns what to evict for an urgent task that found no worker.

    The room is kept for urgent work until the task starts or the claim ends;
    until then the same task gets no second plan.
    """
    sharing = rules.sharing
    claim = scheduling.claims.get((job_id, task))
    pending = claim is not None and claim.until > now
    if demand.urgency < sharing.urgent_from or pending:
        return None
    if _breaks_floor(scheduling, demand, rules):
        return None
    lower = scheduling.sum_lower_cpu(sharing.urgent_from)
    spare = int(lower - sharing.lower_floor * scheduling.capacity_cpu)
    if spare <= 0:
        return None
    trusted = [
        scheduling.views[worker_id]
        for worker_id in worker_ids
        if worker_id in scheduling.views
        and scheduling.probation.count_room(worker_id, now) > 0
    ]
    outlook = placement.Outlook(scheduling.estimator, rules)
    plan = preemption.find_plan(demand, trusted, outlook, spare, now)
    if plan is not None:
        scheduling.claims[job_id, task] = preemption.Claim(
            plan.worker_id,
            demand.urgency,
            demand.reserved,
            now + preemption.CLAIM_TERM_S,
        )
    return plan


def record_start(
    scheduling: Scheduling,
    worker_id: str,
    name: task_messages.AttemptName,
    record: jobs.JobRecord,
    demand: placement.Demand,
    now: float,
) -> None:
    """Records that a task was given to a worker."""
    scheduling.claims.pop((name.job_id, name.task), None)
    view = scheduling.views[worker_id]
    task = _make_running(name, record, demand, now)
    view.add(task)
    scheduling.hold(task)
    scheduling.probation.record_start(worker_id, name, now)


def _make_running(
    name: task_messages.AttemptName,
    record: jobs.JobRecord,
    demand: placement.Demand,
    now: float,
) -> views_module.Running:
    return views_module.Running(
        name,
        record.kind,
        record.team,
        record.urgency,
        demand.reserved,
        demand.cpu,
        now,
        now,
        record.checkpointable,
    )


def record_finish(
    scheduling: Scheduling,
    worker_id: str,
    name: task_messages.AttemptName,
    now: float,
) -> None:
    """Records that a task finished."""
    task = _remove(scheduling, worker_id, name)
    scheduling.probation.record_success(worker_id, name)
    if task is not None and task.share >= 1.0:
        scheduling.usage.record_run(task.kind, now - task.started_at)


def record_failure(
    scheduling: Scheduling,
    worker_id: str,
    name: task_messages.AttemptName,
    now: float,
) -> bool:
    """Records that a task failed; tells whether the worker is put aside."""
    _remove(scheduling, worker_id, name)
    return scheduling.probation.record_failure(worker_id, name, now)


def record_withdrawal(
    scheduling: Scheduling, worker_id: str, name: task_messages.AttemptName
) -> None:
    """Records that a task was evicted, cancelled, refused or lost."""
    _remove(scheduling, worker_id, name)
    scheduling.probation.record_withdrawal(worker_id, name)


def record_eviction(
    scheduling: Scheduling,
    worker_id: str,
    name: task_messages.AttemptName,
    evicting: bool = True,
) -> None:
    """Records that the eviction of a task has begun or was abandoned."""
    view = scheduling.views.get(worker_id)
    task = view.tasks.get(name) if view else None
    if task is not None and task.evicting != evicting:
        scheduling.release(task)
        task.evicting = evicting
        scheduling.hold(task)


def forget_worker(scheduling: Scheduling, worker_id: str) -> None:
    """Drops a worker that left or belongs to another owner now."""
    view = scheduling.views.pop(worker_id, None)
    scheduling.probation.records.pop(worker_id, None)
    if view is not None:
        scheduling.capacity_cpu -= view.ledger.capacity.cpu_millis
        for task in view.tasks.values():
            scheduling.release(task)


def _remove(
    scheduling: Scheduling, worker_id: str, name: task_messages.AttemptName
) -> views_module.Running | None:
    view = scheduling.views.get(worker_id)
    task = view.remove(name) if view else None
    if task is not None:
        scheduling.release(task)
    return task


def observe(
    scheduling: Scheduling,
    worker_id: str,
    report: task_messages.WorkerReport,
    ledger: resources.Ledger,
    find_record: FindRecord,
    rules: policy.Policy,
    expected: Container[task_messages.AttemptName],
    now: float,
) -> list[controller.Action]:
    """Takes a worker's report and returns what the controller wants done.

    Args:
        scheduling: State; changed in place.
        worker_id: Worker that reported.
        report: Its report.
        ledger: Reservations that the handlers computed from the report.
        find_record: Returns the record of a job by its id, if it is known.
        rules: Rules in force.
        expected: Tasks that the handlers count as held although the report
            may not show them yet.
        now: Own time.
    """
    view = scheduling.views.get(worker_id)
    if view is None:
        view = views_module.WorkerView(
            worker_id, resources.Ledger(resources.Vector())
        )
        scheduling.views[worker_id] = view
    grown = ledger.capacity.cpu_millis - view.ledger.capacity.cpu_millis
    scheduling.capacity_cpu += grown
    scheduling.largest = scheduling.largest.maximum(ledger.capacity)
    view.ledger = ledger
    view.services = report.services
    _take_tasks(scheduling, view, report, find_record, expected, now)
    view.history.record(
        report.clock, {k: v for k, v in view.loads.items() if v > 0.0}
    )
    for service in report.services:
        interference.take_measurement(
            scheduling.estimator,
            view.history,
            service.service,
            service.slowdown,
            service.measured_at,
            now,
        )
    return _control(scheduling, view, report.clock, rules, now)


def _take_tasks(
    scheduling: Scheduling,
    view: views_module.WorkerView,
    report: task_messages.WorkerReport,
    find_record: FindRecord,
    expected: Container[task_messages.AttemptName],
    now: float,
) -> None:
    before = view.tasks
    for task in before.values():
        scheduling.release(task)
    after: list[views_module.Running] = []
    reported = set()
    for shown in report.tasks:
        reported.add(shown.name)
        if shown.state is not task_messages.TaskState.RUNNING:
            continue
        record = find_record(shown.name.job_id)
        task = before.get(shown.name) or _adopt(shown, record, now)
        _measure(scheduling, task, shown, now)
        after.append(task)
    for name, task in before.items():
        if name not in reported and name in expected:
            after.append(task)
    for task in after:
        scheduling.hold(task)
    view.replace(after)


def _adopt(
    shown: task_messages.TaskReport,
    record: jobs.JobRecord | None,
    now: float,
) -> views_module.Running:
    """Returns a task that another owner started."""
    return views_module.Running(
        shown.name,
        shown.kind,
        record.team if record else "",
        record.urgency if record else 0,
        shown.reserved,
        shown.usage.cpu_millis / 1000.0,
        now,
        now,
        record.checkpointable if record else False,
    )


def _measure(
    scheduling: Scheduling,
    task: views_module.Running,
    shown: task_messages.TaskReport,
    now: float,
) -> None:
    task.measured = True
    task.share = shown.throttle
    task.reserved = shown.reserved
    settled = now - task.started_at >= SETTLED_AFTER_S
    if settled and shown.usage.cpu_millis > 0:
        task.cpu = shown.usage.cpu_millis / 1000.0
        if task.share >= 1.0:
            scheduling.usage.record_use(task.kind, shown.usage)


def _control(
    scheduling: Scheduling,
    view: views_module.WorkerView,
    clock: float,
    rules: policy.Policy,
    now: float,
) -> list[controller.Action]:
    """Runs the controller of a worker on its newest measurements."""
    if not isinstance(scheduling.strategy, placement.Predicted):
        return []
    readings = [
        controller.Reading(
            service.service,
            service.slowdown,
            1.0 + placement.get_accepted_excess(rules, service.service),
            service.measured_at,
        )
        for service in view.services
    ]
    outlook = placement.Outlook(scheduling.estimator, rules)
    suspects = [
        _suspect(task, view, outlook, now)
        for task in view.tasks.values()
        if not task.evicting
    ]
    budget = rules.sharing.evictions_per_minute
    return controller.decide(
        view.controller, readings, suspects, budget, clock, now
    )


def _suspect(
    task: views_module.Running,
    view: views_module.WorkerView,
    outlook: placement.Outlook,
    now: float,
) -> controller.Suspect:
    pressure = max(
        (
            task.cpu
            * outlook.estimator.estimate(service.service, task.kind, now)
            / placement.get_accepted_excess(outlook.rules, service.service)
            for service in view.services
        ),
        default=0.0,
    )
    urgent = task.urgency >= outlook.rules.sharing.urgent_from
    return controller.Suspect(task.name, task.share, pressure, urgent)
