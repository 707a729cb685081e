"""Scheduling policy of an owner of partitions.

`find_worker` chooses a worker for a task and `plan_preemption` the tasks to
evict for it. The `record_...` functions record what happens to tasks, and
`worker_reports` processes the reports of workers. None of them has effects
outside the state of the policy.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math

import attrs

from sapphirestall_core import capacity_claims
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

# Time constant with which the recorded peak of the reservations of non-urgent
# work decays. The peak counts as the demand of this work.
PEAK_DECAY_S = 60.0
# Reason codes of `NotPlaced` that evictions may remove.
EVICTION_REASONS = frozenset(("no_room", "slowdown", "probation"))


DemandKey = tuple[str, int, resources.Vector, tuple[str, ...]]


@attrs.define
class SchedulingState:
    """State of the policy; rebuilt from reports after a takeover.

    Attributes:
        strategy: How a worker is chosen.
        views: Views of the workers, by id.
        estimator: Learned interference of kinds of work with services.
        usage: Learned usage and run time of kinds of work.
        probation: Workers on which starts are limited after failures.
        quotas: Resources reserved by each team.
        quota_fraction: Fraction of the deployment's capacity that this owner
            manages.
        quota_due_at: Monotonic time at which the fraction is computed again,
            in seconds.
        quota_worker_count: Number of workers for which it was computed.
        non_urgent_waiting: Whether work below `Sharing.urgent_from` is waiting.
        rejections: Demands for which the current pass over the waiting tasks
            found no worker.
        non_urgent_peak_cpu: Recent peak of the processors, in thousandths,
            reserved by non-urgent work; it decays exponentially.
        non_urgent_peak_at: Monotonic time at which the peak was updated, in
            seconds.
        claims: Capacity that evictions free, by job id and task.
        claims_expiry_due_at: Monotonic time at which expired claims are
            dropped, in seconds.
        reserved_cpu_by_urgency: Processors, in thousandths, reserved by tasks
            of each urgency, without tasks that are being evicted.
        batch_cpu_millis: Processors that services leave unreserved on all
            workers, in thousandths.
        largest_worker: Largest capacity of a worker, for each resource.
    """

    strategy: placement.Strategy = attrs.field(factory=placement.LeastSlowdown)
    views: dict[str, views_module.WorkerView] = attrs.field(factory=dict)
    estimator: interference.Estimator = attrs.field(
        factory=interference.Estimator
    )
    usage: usage.Usage = attrs.field(factory=usage.Usage)
    probation: probation.Probation = attrs.field(factory=probation.Probation)
    quotas: quotas.Quotas = attrs.field(factory=quotas.Quotas)
    quota_fraction: float = 1.0
    quota_due_at: float = 0.0
    quota_worker_count: int = 0
    non_urgent_waiting: bool = False
    rejections: dict[DemandKey, placement.NotPlaced] = attrs.field(factory=dict)
    non_urgent_peak_cpu: float = 0.0
    non_urgent_peak_at: float = 0.0
    claims: dict[tuple[str, int], capacity_claims.CapacityClaim] = attrs.field(
        factory=dict
    )
    claims_expiry_due_at: float = 0.0
    reserved_cpu_by_urgency: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    batch_cpu_millis: int = 0
    largest_worker: resources.Vector = attrs.field(factory=resources.Vector)

    def add_task(self, task: views_module.RunningTask) -> None:
        """Adds the reservation of a task to the sums."""
        self.quotas.add(task.team, task.reserved)
        if not task.evicting:
            self.reserved_cpu_by_urgency[task.urgency] += (
                task.reserved.cpu_millis
            )

    def remove_task(self, task: views_module.RunningTask) -> None:
        """Removes the reservation of a task from the sums."""
        self.quotas.remove(task.team, task.reserved)
        if not task.evicting:
            self.reserved_cpu_by_urgency[task.urgency] -= (
                task.reserved.cpu_millis
            )

    def sum_cpu_below(self, urgent_from: int) -> int:
        """Returns the processors of work below an urgency, in thousandths."""
        return sum(
            cpu
            for level, cpu in self.reserved_cpu_by_urgency.items()
            if level < urgent_from
        )

    def sum_cpu_from(self, urgent_from: int) -> int:
        """Returns the processors of work from an urgency on, in thousandths."""
        return sum(
            cpu
            for level, cpu in self.reserved_cpu_by_urgency.items()
            if level >= urgent_from
        )


def make_demand(
    scheduling_state: SchedulingState, record: jobs.JobRecord
) -> placement.Demand:
    """Returns the demand of one task of a job, with its learned usage."""
    largest = scheduling_state.largest_worker
    learned = scheduling_state.usage
    return placement.Demand(
        record.kind,
        record.team,
        record.urgency,
        learned.compute_reservation(record.kind, record.declared, largest),
        learned.predict_cpu(record.kind, record.declared),
    )


def find_worker(
    scheduling_state: SchedulingState,
    demand: placement.Demand,
    worker_ids: Iterable[str],
    rules: policy.Policy,
    now: float,
) -> placement.Decision:
    """Chooses a worker for a task, or returns why it fits on none."""
    allowed = scheduling_state.quotas.allows(
        demand.team,
        demand.reserved,
        rules.teams,
        scheduling_state.quota_fraction,
    )
    if not allowed:
        return placement.NotPlaced("quota")
    if _violates_floor(scheduling_state, demand, rules, now):
        return placement.NotPlaced("floor")
    ids = tuple(worker_ids)
    key = (demand.kind, demand.urgency, demand.reserved, ids)
    rejection = scheduling_state.rejections.get(key)
    if rejection is not None:
        return rejection
    decision = _choose_worker(scheduling_state, demand, ids, rules, now)
    if isinstance(decision, placement.NotPlaced):
        scheduling_state.rejections[key] = decision
    return decision


def begin_pass(scheduling_state: SchedulingState) -> None:
    """Begins a pass over the waiting tasks.

    Free capacity only shrinks within a pass, so that a rejection holds for all
    tasks with the same demand. Tasks of many teams often have equal demands.
    """
    scheduling_state.rejections.clear()


def _choose_worker(
    scheduling_state: SchedulingState,
    demand: placement.Demand,
    worker_ids: tuple[str, ...],
    rules: policy.Policy,
    now: float,
) -> placement.Decision:
    known = [scheduling_state.views.get(worker_id) for worker_id in worker_ids]
    fitting = [
        view
        for view in known
        if view
        and demand.reserved.fits(_compute_free_capacity(view, demand, now))
    ]
    if not fitting:
        return placement.NotPlaced("no_room")
    eligible = [
        view
        for view in fitting
        if scheduling_state.probation.count_allowed_starts(view.worker_id, now)
        > 0
    ]
    if not eligible:
        return placement.NotPlaced("probation")
    inputs = placement.Inputs(scheduling_state.estimator, rules)
    return placement.choose(
        scheduling_state.strategy, demand, eligible, inputs, now
    )


def _compute_free_capacity(
    view: views_module.WorkerView, demand: placement.Demand, now: float
) -> resources.Vector:
    free = view.ledger.compute_free()
    if not view.claims:
        return free
    claims = view.claims.values()
    return free.minus(capacity_claims.sum_claims(claims, demand.urgency, now))


def _violates_floor(
    scheduling_state: SchedulingState,
    demand: placement.Demand,
    rules: policy.Policy,
    now: float,
) -> bool:
    """Returns whether a task would use the floor of non-urgent work.

    While non-urgent work is waiting, its whole floor is kept free. Otherwise no
    more is kept than the recent peak of its reservations, so that urgent work
    does not take capacity that is free between two of its tasks.
    """
    sharing = rules.sharing
    update_non_urgent_peak(scheduling_state, sharing, now)
    if demand.urgency < sharing.urgent_from:
        return False
    floor_cpu = sharing.lower_floor * scheduling_state.batch_cpu_millis
    if not scheduling_state.non_urgent_waiting:
        floor_cpu = min(floor_cpu, scheduling_state.non_urgent_peak_cpu)
    urgent = scheduling_state.sum_cpu_from(sharing.urgent_from)
    return (
        urgent + demand.reserved.cpu_millis
        > scheduling_state.batch_cpu_millis - floor_cpu
    )


def update_non_urgent_peak(
    scheduling_state: SchedulingState, sharing: policy.Sharing, now: float
) -> None:
    """Updates the decaying peak of the reservations of non-urgent work."""
    reserved_cpu = scheduling_state.sum_cpu_below(sharing.urgent_from)
    elapsed_s = now - scheduling_state.non_urgent_peak_at
    decayed = scheduling_state.non_urgent_peak_cpu * math.exp(
        -max(0.0, elapsed_s) / PEAK_DECAY_S
    )
    scheduling_state.non_urgent_peak_cpu = max(float(reserved_cpu), decayed)
    scheduling_state.non_urgent_peak_at = now


def plan_preemption(
    scheduling_state: SchedulingState,
    job_id: str,
    task: int,
    demand: placement.Demand,
    worker_ids: Iterable[str],
    rules: policy.Policy,
    now: float,
) -> preemption.Plan | None:
    """Returns the evictions that make a task fit, or None.

    Urgent work may evict all non-urgent work, other work only background work.
    The freed capacity is claimed for work of this urgency until the task starts
    or the claim expires. Until then the task gets no second plan.
    """
    sharing = rules.sharing
    claim = scheduling_state.claims.get((job_id, task))
    pending = claim is not None and claim.expires_at > now
    if demand.urgency < sharing.background_below or pending:
        return None
    if claim is None and demand.urgency < sharing.urgent_from:
        # An empty claim makes the task wait before its first plan.
        scheduling_state.claims[job_id, task] = capacity_claims.CapacityClaim(
            "",
            demand.urgency,
            resources.Vector(),
            now + capacity_claims.EVICTION_DELAY_S,
        )
        return None
    if _violates_floor(scheduling_state, demand, rules, now):
        return None
    preemptible_cpu = _compute_preemptible_cpu(
        scheduling_state, demand, sharing
    )
    if preemptible_cpu <= 0:
        return None
    eligible = [
        scheduling_state.views[worker_id]
        for worker_id in worker_ids
        if worker_id in scheduling_state.views
        and scheduling_state.probation.count_allowed_starts(worker_id, now) > 0
    ]
    inputs = placement.Inputs(scheduling_state.estimator, rules)
    plan = preemption.find_plan(demand, eligible, inputs, preemptible_cpu, now)
    if plan is not None:
        claim = capacity_claims.CapacityClaim(
            plan.worker_id,
            demand.urgency,
            demand.reserved,
            now + capacity_claims.CLAIM_TIMEOUT_S,
        )
        scheduling_state.claims[job_id, task] = claim
        scheduling_state.views[plan.worker_id].claims[job_id, task] = claim
    return plan


def _compute_preemptible_cpu(
    scheduling_state: SchedulingState,
    demand: placement.Demand,
    sharing: policy.Sharing,
) -> int:
    """Returns the processors that may be preempted, in thousandths."""
    if demand.urgency < sharing.urgent_from:
        return scheduling_state.sum_cpu_below(sharing.background_below)
    non_urgent = scheduling_state.sum_cpu_below(sharing.urgent_from)
    return int(
        non_urgent - sharing.lower_floor * scheduling_state.batch_cpu_millis
    )


def record_start(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
    record: jobs.JobRecord,
    demand: placement.Demand,
    now: float,
) -> None:
    """Records that a start was sent to a worker."""
    claim = scheduling_state.claims.pop((name.job_id, name.task), None)
    if claim is not None and claim.worker_id in scheduling_state.views:
        claims = scheduling_state.views[claim.worker_id].claims
        claims.pop((name.job_id, name.task), None)
    view = scheduling_state.views[worker_id]
    task = _make_running(name, record, demand, now)
    view.add(task)
    scheduling_state.add_task(task)
    scheduling_state.probation.record_start(worker_id, name, now)


def _make_running(
    name: task_messages.AttemptName,
    record: jobs.JobRecord,
    demand: placement.Demand,
    now: float,
) -> views_module.RunningTask:
    return views_module.RunningTask(
        name,
        record.kind,
        record.team,
        record.urgency,
        demand.reserved,
        demand.predicted_cpu,
        demand.predicted_cpu,
        now,
        now,
        record.checkpointable,
    )


def record_finish(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
    now: float,
) -> None:
    """Records that a task finished."""
    task = _remove(scheduling_state, worker_id, name)
    scheduling_state.probation.record_success(worker_id, name)
    if task is not None and task.throttle_share >= 1.0:
        scheduling_state.usage.record_run(task.kind, now - task.started_at)


def record_failure(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
    now: float,
) -> bool:
    """Records that a task failed on a worker.

    Returns:
        Whether the worker is now on probation.
    """
    _remove(scheduling_state, worker_id, name)
    return scheduling_state.probation.record_failure(worker_id, name, now)


def record_withdrawal(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
) -> None:
    """Records that a task was evicted, cancelled, refused or lost."""
    _remove(scheduling_state, worker_id, name)
    scheduling_state.probation.record_withdrawal(worker_id, name)


def record_eviction(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
    evicting: bool = True,
) -> None:
    """Records that the eviction of a task has begun or was abandoned."""
    view = scheduling_state.views.get(worker_id)
    task = view.tasks.get(name) if view else None
    if task is not None and task.evicting != evicting:
        scheduling_state.remove_task(task)
        task.evicting = evicting
        scheduling_state.add_task(task)


def remove_worker(scheduling_state: SchedulingState, worker_id: str) -> None:
    """Removes a worker that has left or belongs to another owner."""
    view = scheduling_state.views.pop(worker_id, None)
    scheduling_state.probation.records.pop(worker_id, None)
    if view is not None:
        scheduling_state.batch_cpu_millis -= view.available_cpu_millis
        for task in view.tasks.values():
            scheduling_state.remove_task(task)


def _remove(
    scheduling_state: SchedulingState,
    worker_id: str,
    name: task_messages.AttemptName,
) -> views_module.RunningTask | None:
    view = scheduling_state.views.get(worker_id)
    task = view.remove(name) if view else None
    if task is not None:
        scheduling_state.remove_task(task)
    return task
