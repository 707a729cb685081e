"""The scheduling policy of one owner, as the handlers of batch work use it.

`find_worker` places a task, `claim_room` names tasks to evict for it, and the
`record_*` functions tell what became of a task. `worker_reports` takes reports.
None of them sends anything.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import math

import attrs

from sapphirestall_core import interference
from sapphirestall_core import jobs
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import preemption
from sapphirestall_core import probation
from sapphirestall_core import quotas
from sapphirestall_core import resources
from sapphirestall_core import room_claims
from sapphirestall_core import task_messages
from sapphirestall_core import usage
from sapphirestall_core import views as views_module

# What lower work held counts as its demand for about this long.
PEAK_FADE_S = 60.0
# Reasons for which evictions may help; others hold whatever is evicted.
EVICT_FOR = frozenset(("no_room", "slowdown", "probation"))


Need = tuple[str, int, resources.Vector, tuple[str, ...]]


@attrs.define
class Scheduling:
    """State of the policy; rebuilt from reports after a takeover.

    Attributes:
        quota_share: This owner's part of the deployment's capacity.
        largest: Largest capacity of a worker in each part.
        quota_due_at: Own time at which the part is computed again.
        quota_views: Workers for which it was computed.
        lower_waiting: Whether work below `Sharing.urgent_from` waits.
        refused: Refusals of the present pass over the waiting tasks.
        lower_peak: Processors in thousandths that such work held lately.
        lower_peak_at: Own time of that figure.
        claims: Room that is being freed, by job id and task.
        claims_due_at: Own time at which old claims are dropped.
        held_cpu: Processors in thousandths that tasks of each urgency hold;
            tasks under eviction do not count.
        room_cpu: Processors in thousandths that services leave on all workers.
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
    refused: dict[Need, placement.NotPlaced] = attrs.field(factory=dict)
    lower_peak: float = 0.0
    lower_peak_at: float = 0.0
    claims: dict[tuple[str, int], room_claims.Claim] = attrs.field(factory=dict)
    claims_due_at: float = 0.0
    held_cpu: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    room_cpu: int = 0
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
    if _breaks_floor(scheduling, demand, rules, now):
        return placement.NotPlaced("floor")
    ids = tuple(worker_ids)
    need = (demand.kind, demand.urgency, demand.reserved, ids)
    refused = scheduling.refused.get(need)
    if refused is not None:
        return refused
    decision = _search(scheduling, demand, ids, rules, now)
    if isinstance(decision, placement.NotPlaced):
        scheduling.refused[need] = decision
    return decision


def begin_pass(scheduling: Scheduling) -> None:
    """Begins a pass over the waiting tasks.

    Within a pass room only shrinks, so that a refusal holds for every task
    with the same need; many teams wait with equal ones.
    """
    scheduling.refused.clear()


def _search(
    scheduling: Scheduling,
    demand: placement.Demand,
    worker_ids: tuple[str, ...],
    rules: policy.Policy,
    now: float,
) -> placement.Decision:
    known = [scheduling.views.get(worker_id) for worker_id in worker_ids]
    fitting = [
        view
        for view in known
        if view and demand.reserved.fits(_find_room(view, demand, now))
    ]
    if not fitting:
        return placement.NotPlaced("no_room")
    trusted = [
        view
        for view in fitting
        if scheduling.probation.count_allowed_starts(view.worker_id, now) > 0
    ]
    if not trusted:
        return placement.NotPlaced("probation")
    outlook = placement.Outlook(scheduling.estimator, rules)
    return placement.choose(scheduling.strategy, demand, trusted, outlook, now)


def _find_room(
    view: views_module.WorkerView, demand: placement.Demand, now: float
) -> resources.Vector:
    free = view.ledger.compute_free()
    if not view.claims:
        return free
    claims = view.claims.values()
    return free.minus(room_claims.sum_claims(claims, demand.urgency, now))


def _breaks_floor(
    scheduling: Scheduling,
    demand: placement.Demand,
    rules: policy.Policy,
    now: float,
) -> bool:
    """Tells whether urgent work would take what lower work keeps.

    While lower work waits it keeps its whole floor. Otherwise it keeps what it
    held lately, so that urgent work does not take the room between two of its
    tasks.
    """
    sharing = rules.sharing
    note_lower_work(scheduling, sharing, now)
    if demand.urgency < sharing.urgent_from:
        return False
    kept = sharing.lower_floor * scheduling.room_cpu
    if not scheduling.lower_waiting:
        kept = min(kept, scheduling.lower_peak)
    urgent = scheduling.sum_urgent_cpu(sharing.urgent_from)
    return urgent + demand.reserved.cpu_millis > scheduling.room_cpu - kept


def note_lower_work(
    scheduling: Scheduling, sharing: policy.Sharing, now: float
) -> None:
    """Records what lower work holds; the record fades."""
    held = scheduling.sum_lower_cpu(sharing.urgent_from)
    passed_s = now - scheduling.lower_peak_at
    faded = scheduling.lower_peak * math.exp(-max(0.0, passed_s) / PEAK_FADE_S)
    scheduling.lower_peak = max(float(held), faded)
    scheduling.lower_peak_at = now


def claim_room(
    scheduling: Scheduling,
    job_id: str,
    task: int,
    demand: placement.Demand,
    worker_ids: Iterable[str],
    rules: policy.Policy,
    now: float,
) -> preemption.Plan | None:
    """Returns what to evict for a task that found no worker.

    Urgent work may evict all lower work, other work only background work. The
    room is kept for work of this urgency until the task starts or the claim
    ends; until then the same task gets no second plan.
    """
    sharing = rules.sharing
    claim = scheduling.claims.get((job_id, task))
    pending = claim is not None and claim.until > now
    if demand.urgency < sharing.background_below or pending:
        return None
    if claim is None and demand.urgency < sharing.urgent_from:
        # An empty claim: the task waits before anything is evicted for it.
        scheduling.claims[job_id, task] = room_claims.Claim(
            "", demand.urgency, resources.Vector(), now + room_claims.PATIENCE_S
        )
        return None
    if _breaks_floor(scheduling, demand, rules, now):
        return None
    spare = _compute_spare(scheduling, demand, sharing)
    if spare <= 0:
        return None
    trusted = [
        scheduling.views[worker_id]
        for worker_id in worker_ids
        if worker_id in scheduling.views
        and scheduling.probation.count_allowed_starts(worker_id, now) > 0
    ]
    outlook = placement.Outlook(scheduling.estimator, rules)
    plan = preemption.find_plan(demand, trusted, outlook, spare, now)
    if plan is not None:
        claim = room_claims.Claim(
            plan.worker_id,
            demand.urgency,
            demand.reserved,
            now + room_claims.CLAIM_TERM_S,
        )
        scheduling.claims[job_id, task] = claim
        scheduling.views[plan.worker_id].claims[job_id, task] = claim
    return plan


def _compute_spare(
    scheduling: Scheduling, demand: placement.Demand, sharing: policy.Sharing
) -> int:
    """Returns how much lower work may lose, in thousandths of processors."""
    if demand.urgency < sharing.urgent_from:
        return scheduling.sum_lower_cpu(sharing.background_below)
    lower = scheduling.sum_lower_cpu(sharing.urgent_from)
    return int(lower - sharing.lower_floor * scheduling.room_cpu)


def record_start(
    scheduling: Scheduling,
    worker_id: str,
    name: task_messages.AttemptName,
    record: jobs.JobRecord,
    demand: placement.Demand,
    now: float,
) -> None:
    """Records that a task was given to a worker."""
    claim = scheduling.claims.pop((name.job_id, name.task), None)
    if claim is not None and claim.worker_id in scheduling.views:
        claimed = scheduling.views[claim.worker_id].claims
        claimed.pop((name.job_id, name.task), None)
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
        scheduling.room_cpu -= view.room_cpu
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
