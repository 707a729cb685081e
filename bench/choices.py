"""Decisions of the compared policies, dispatched on their strategy."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bench import baselines
from sapphirestall_core import controller
from sapphirestall_core import jobs
from sapphirestall_core import placement
from sapphirestall_core import preemption
from sapphirestall_core import scheduling
from sapphirestall_core import task_messages
from sapphirestall_core import views

if TYPE_CHECKING:
    from bench import owner as owner_module


@functools.singledispatch
def make_demand(
    strategy: placement.Strategy,
    owner: owner_module.Owner,
    record: jobs.JobRecord,
) -> placement.Demand:
    """Returns the demand of a task according to the policy."""
    return scheduling.make_demand(owner.scheduling_state, record)


@make_demand.register(baselines.Baseline)
def _(
    strategy: baselines.Baseline,
    owner: owner_module.Owner,
    record: jobs.JobRecord,
) -> placement.Demand:
    cpu = record.declared.cpu_millis / 1000.0
    return placement.Demand(
        record.kind, record.team, record.urgency, record.declared, cpu
    )


@functools.singledispatch
def find_worker(
    strategy: placement.Strategy,
    owner: owner_module.Owner,
    demand: placement.Demand,
    now: float,
) -> placement.Decision:
    """Chooses a worker according to the policy."""
    return scheduling.find_worker(
        owner.scheduling_state,
        demand,
        owner.list_responding(now),
        owner.rules,
        now,
    )


@find_worker.register(baselines.Baseline)
def _(
    strategy: baselines.Baseline,
    owner: owner_module.Owner,
    demand: placement.Demand,
    now: float,
) -> placement.Decision:
    candidates = [
        view
        for view in list_views(owner, now)
        if demand.reserved.fits(view.ledger.compute_free())
    ]
    if not candidates:
        return placement.NotPlaced("no_room")
    inputs = placement.Inputs(owner.scheduling_state.estimator, owner.rules)
    return placement.choose(strategy, demand, candidates, inputs, now)


@functools.singledispatch
def plan_eviction(
    strategy: placement.Strategy,
    owner: owner_module.Owner,
    waiting: owner_module.WaitingTask,
    demand: placement.Demand,
    now: float,
) -> preemption.Plan | None:
    """Returns the tasks to evict for an urgent task, or None."""
    return scheduling.plan_preemption(
        owner.scheduling_state,
        waiting.record.job_id,
        waiting.task,
        demand,
        owner.list_responding(now),
        owner.rules,
        now,
    )


@plan_eviction.register(baselines.Baseline)
def _(
    strategy: baselines.Baseline,
    owner: owner_module.Owner,
    waiting: owner_module.WaitingTask,
    demand: placement.Demand,
    now: float,
) -> preemption.Plan | None:
    return None


@plan_eviction.register(baselines.Preempting)
def _(
    strategy: baselines.Preempting,
    owner: owner_module.Owner,
    waiting: owner_module.WaitingTask,
    demand: placement.Demand,
    now: float,
) -> preemption.Plan | None:
    """Evicts less urgent tasks in arbitrary order until the task fits."""
    for view in list_views(owner, now):
        free, victims = view.ledger.compute_free(), []
        for task in view.tasks.values():
            if task.urgency < demand.urgency and not task.evicting:
                victims.append(task.name)
                free = free.plus(task.reserved)
            if demand.reserved.fits(free) and victims:
                return preemption.Plan(view.worker_id, tuple(victims), 0.0)
    return None


@functools.singledispatch
def list_policy_actions(
    strategy: placement.Strategy,
    owner: owner_module.Owner,
    host: owner_module.Host,
    report: task_messages.WorkerReport,
) -> list[controller.Action]:
    """Returns the policy's own actions on a report.

    They are applied after those of the controller.
    """
    return []


@list_policy_actions.register(baselines.Preempting)
def _(
    strategy: baselines.Preempting,
    owner: owner_module.Owner,
    host: owner_module.Host,
    report: task_messages.WorkerReport,
) -> list[controller.Action]:
    """Evicts the largest task while a service exceeds its slowdown limit."""
    view = owner.scheduling_state.views[host.location.worker_id]
    tasks = [task for task in view.tasks.values() if not task.evicting]
    for service in report.services:
        limit = 1.0 + placement.get_accepted_excess(
            owner.rules, service.service
        )
        if service.slowdown > limit and tasks:
            largest = max(tasks, key=lambda task: task.reserved.cpu_millis)
            return [controller.Evict(largest.name)]
    return []


def list_views(owner: owner_module.Owner, now: float) -> list[views.WorkerView]:
    """Returns the policy's views of the responding workers."""
    known = owner.scheduling_state.views
    return [known[i] for i in owner.list_responding(now) if i in known]
