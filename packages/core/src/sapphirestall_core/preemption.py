"""Choice of the tasks to evict for more urgent work."""

from collections.abc import Sequence

import attrs

from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import views

# Time from the checkpoint of an evicted task to its stop, whose work is lost.
CHECKPOINT_LOSS_S = 2.0


@attrs.frozen
class Plan:
    """Evictions that make a task fit on a worker.

    Attributes:
        worker_id: Id of the worker.
        victims: Attempts to evict.
        cost: Lost work, in processor-seconds, plus the weight of each eviction.
    """

    worker_id: str
    victims: tuple[task_messages.AttemptName, ...]
    cost: float


def compute_lost_work(task: views.RunningTask, now: float) -> float:
    """Returns the work that an eviction loses, in processor-seconds."""
    if task.checkpointable:
        return task.cpu * min(CHECKPOINT_LOSS_S, now - task.started_at)
    return task.cpu * max(0.0, now - task.checkpointed_at)


def find_plan(
    demand: placement.Demand,
    workers: Sequence[views.WorkerView],
    inputs: placement.Inputs,
    preemptible_cpu: int,
    now: float,
) -> Plan | None:
    """Returns the cheapest plan, or None if there is none.

    The services stay within their limits after the evictions.

    Args:
        demand: Demand of the task.
        workers: Workers on which the task may start.
        inputs: Estimates and rules.
        preemptible_cpu: Processors, in thousandths, that may be taken from
            work of lower urgency without going below its guaranteed floor.
        now: Monotonic time, in seconds.
    """
    best: Plan | None = None
    for view in workers:
        plan = _find_worker_plan(demand, view, inputs, preemptible_cpu, now)
        if plan and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _find_worker_plan(
    demand: placement.Demand,
    view: views.WorkerView,
    inputs: placement.Inputs,
    preemptible_cpu: int,
    now: float,
) -> Plan | None:
    if not demand.reserved.fits(view.ledger.capacity):
        return None
    weight = inputs.rules.sharing.weights.eviction
    candidates = [
        (compute_lost_work(task, now) + weight, task)
        for task in view.tasks.values()
        if _is_evictable(task, demand, inputs.rules.sharing)
    ]
    free = view.ledger.compute_free()
    # Capacity that another eviction is about to free is not counted, as it is
    # claimed by the task that caused that eviction.
    missing = demand.reserved.minus(free)
    candidates.sort(
        key=lambda candidate: (
            candidate[0] / _compute_relief(candidate[1], missing)
        )
    )
    chosen = _choose_victims(demand.reserved, free, candidates)
    if not chosen:
        return None
    if sum(task.reserved.cpu_millis for _, task in chosen) > preemptible_cpu:
        return None
    if not _meets_limits(demand, view, chosen, inputs, now):
        return None
    cost = sum(cost for cost, _ in chosen)
    return Plan(view.worker_id, tuple(task.name for _, task in chosen), cost)


def _is_evictable(
    task: views.RunningTask, demand: placement.Demand, sharing: policy.Sharing
) -> bool:
    urgent = demand.urgency >= sharing.urgent_from
    below = sharing.urgent_from if urgent else sharing.background_below
    return task.urgency < min(demand.urgency, below) and not task.evicting


def _compute_relief(
    task: views.RunningTask, missing: resources.Vector
) -> float:
    """Returns the sum of the shares of missing resources that a task frees."""
    parts = (
        (task.reserved.cpu_millis, missing.cpu_millis),
        (task.reserved.memory_mb, missing.memory_mb),
        (task.reserved.accelerators, missing.accelerators),
    )
    return 1e-6 + sum(
        min(1.0, freed / needed) for freed, needed in parts if needed > 0
    )


def _choose_victims(
    reserved: resources.Vector,
    free: resources.Vector,
    candidates: list[tuple[float, views.RunningTask]],
) -> list[tuple[float, views.RunningTask]]:
    """Adds victims in order until the task fits, then drops needless ones.

    Args:
        reserved: Resources that the task needs.
        free: Free capacity of the worker.
        candidates: Tasks that may be evicted, in order, each with the cost of
            its eviction.
    """
    chosen: list[tuple[float, views.RunningTask]] = []
    for candidate in candidates:
        if reserved.fits(free):
            break
        chosen.append(candidate)
        free = free.plus(candidate[1].reserved)
    if not reserved.fits(free):
        return []
    for victim in sorted(chosen, key=lambda candidate: -candidate[0]):
        without = free.minus(victim[1].reserved)
        if reserved.fits(without):
            chosen.remove(victim)
            free = without
    return chosen


def _meets_limits(
    demand: placement.Demand,
    view: views.WorkerView,
    chosen: list[tuple[float, views.RunningTask]],
    inputs: placement.Inputs,
    now: float,
) -> bool:
    """Returns whether services stay within limits after the evictions."""
    evicted = {task.name for _, task in chosen}
    remaining = views.WorkerView(
        view.worker_id,
        resources.Ledger(view.ledger.capacity),
        services=view.services,
        history=view.history,
    )
    remaining.replace(t for t in view.tasks.values() if t.name not in evicted)
    return placement.compute_cost(demand, remaining, inputs, now) is not None
