"""Hooks by which the handlers of batch work call the scheduling policy.

Each hook has one kind of caller, so that another policy needs no change in the
handlers. Decisions are made in `scheduling`; the hooks convert between its data
and the state of the handlers.
"""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from sapphirestall_core import commands
from sapphirestall_core import controller
from sapphirestall_core import eviction
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import placement
from sapphirestall_core import scheduling
from sapphirestall_core import tasks_state
from sapphirestall_core import worker_reports

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import jobs
    from sapphirestall_core import state
    from sapphirestall_core import task_messages

PART = "policy"
# Maximum number of waiting tasks of one share for which a pass plans evictions.
# The evictions of each plan start at once.
MAX_EVICTION_PLANS = 16
# Counting the listed workers takes about as long as processing a report, so it
# is not done for each report.
QUOTA_REFRESH_PERIOD_S = 10.0
_EVICTING_PHASES = (tasks_state.Phase.CHECKPOINTING, tasks_state.Phase.STOPPING)


def handle_report(
    worker: tasks_state.Worker,
    report: task_messages.WorkerReport,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Processes a worker's report and applies the controller's actions.

    Called after the handlers have updated the worker's attempts and ledger.
    """
    if worker.ledger is None:
        return []
    _refresh_quota_share(instance, now)
    for attempt in worker.attempts.values():
        scheduling.record_eviction(
            instance.scheduling,
            worker.worker_id,
            attempt.name,
            attempt.phase in _EVICTING_PHASES,
        )

    def find_record(job_id: str) -> jobs.JobRecord | None:
        job = instance.tasks.jobs.get(job_id)
        return job.record if job else None

    actions = worker_reports.process_report(
        instance.scheduling,
        worker.worker_id,
        report,
        worker.ledger,
        find_record,
        instance.policy,
        {attempt.name for attempt in worker.attempts.values()},
        now,
    )
    effects: dispatch.Effects = []
    for action in actions:
        effects += _apply_action(action, worker, partition, instance, now)
    return effects


def _refresh_quota_share(instance: state.Instance, now: float) -> None:
    """Updates the share of all workers that this instance schedules.

    The quotas of teams are scaled by this share.
    """
    scheduling_state = instance.scheduling
    if (
        now < scheduling_state.quota_due_at
        and len(scheduling_state.views) == scheduling_state.quota_worker_count
    ):
        return
    scheduling_state.quota_due_at = now + QUOTA_REFRESH_PERIOD_S
    scheduling_state.quota_worker_count = len(scheduling_state.views)
    worker_count = sum(
        listing.kind is membership.Kind.WORKER
        for listing in instance.members.listings.values()
    )
    scheduling_state.quota_fraction = min(
        1.0, len(scheduling_state.views) / max(1, worker_count)
    )


@functools.singledispatch
def _apply_action(
    action: controller.Action,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Returns the effects that carry out an action of the controller."""
    raise NotImplementedError(type(action).__name__)


@_apply_action.register(controller.Throttle)
def _(
    action: controller.Throttle,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    if not commands.may_command(worker, partition, instance, now):
        return []
    reason = f"to {action.share} to protect the services of {worker.worker_id}"
    instance.journal.record(now, str(action.name), "throttle", reason)
    return [
        commands.make_throttle(action.name, action.share, worker, partition)
    ]


@_apply_action.register(controller.Evict)
def _(
    action: controller.Evict,
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    reason = f"slows the services of {worker.worker_id}"
    return _evict(
        action.name, worker.worker_id, partition, instance, now, reason
    )


def _evict(
    name: task_messages.AttemptName,
    worker_id: str,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
    reason: str,
) -> dispatch.Effects:
    effects = eviction.start(name, partition, instance, now, reason)
    attempt = eviction.find_current(name, partition)
    if attempt is not None and attempt.phase in _EVICTING_PHASES:
        scheduling.record_eviction(instance.scheduling, worker_id, name)
    return effects


def begin_pass(instance: state.Instance) -> None:
    """Prepares the policy for a pass over the waiting tasks."""
    scheduling.begin_pass(instance.scheduling)
    urgent_from = instance.policy.sharing.urgent_from
    instance.scheduling.non_urgent_waiting = any(
        key.urgency < urgent_from
        for partition in instance.tasks.partitions.values()
        for key in partition.queues
    )


def make_demand(
    share: tasks_state.Share, instance: state.Instance
) -> placement.Demand:
    """Returns the demand of one task of a job's share in a partition."""
    return scheduling.make_demand(instance.scheduling, share.job.record)


def find_worker(
    demand: placement.Demand,
    workers: list[tasks_state.Worker],
    instance: state.Instance,
    now: float,
) -> tasks_state.Worker | str:
    """Chooses a worker for a waiting task.

    Returns:
        The chosen worker, or the reason code why no worker was chosen.
    """
    by_id = {worker.worker_id: worker for worker in workers}
    decision = scheduling.find_worker(
        instance.scheduling, demand, by_id, instance.policy, now
    )
    match decision:
        case placement.Chosen(worker_id=worker_id):
            return by_id[worker_id]
        case placement.NotPlaced(reason=reason):
            return reason
    raise NotImplementedError(type(decision).__name__)


def record_start(
    worker: tasks_state.Worker,
    attempt: tasks_state.Attempt,
    demand: placement.Demand,
    instance: state.Instance,
    now: float,
) -> None:
    """Records that a start command was sent."""
    assert attempt.share is not None
    scheduling.record_start(
        instance.scheduling,
        worker.worker_id,
        attempt.name,
        attempt.share.job.record,
        demand,
        now,
    )


def record_start_rejected(
    worker: tasks_state.Worker,
    name: task_messages.AttemptName,
    instance: state.Instance,
) -> None:
    """Records that a start had no effect, such as for lack of capacity.

    It does not count as a failure of the worker.
    """
    scheduling.record_withdrawal(instance.scheduling, worker.worker_id, name)


def record_task_failed(
    worker: tasks_state.Worker,
    name: task_messages.AttemptName,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records a failed start or task; reports when a probation begins."""
    scheduling_state = instance.scheduling
    was_on_probation = scheduling_state.probation.is_on_probation(
        worker.worker_id
    )
    on_probation = scheduling.record_failure(
        scheduling_state, worker.worker_id, name, now
    )
    if not on_probation or was_on_probation:
        return []
    reason = f"{name} and earlier tasks failed"
    instance.journal.record(now, worker.worker_id, "probation", reason)
    text = f"worker {worker.worker_id} is on probation after failed tasks"
    return [messages.Log(PART, text)]


def record_job_failed(job_id: str, instance: state.Instance) -> None:
    """Records that a job failed on several workers.

    Its failures no longer count against these workers.
    """
    instance.scheduling.probation.drop_job_failures(job_id)


def record_finish(
    worker: tasks_state.Worker,
    name: task_messages.AttemptName,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records that a task finished; called once for each task."""
    scheduling.record_finish(instance.scheduling, worker.worker_id, name, now)
    return []


def remove_workers(
    partition: tasks_state.Partition, instance: state.Instance
) -> None:
    """Removes the workers of a partition that this instance gives up."""
    for worker_id in partition.workers:
        scheduling.remove_worker(instance.scheduling, worker_id)


def evict_for_waiting_tasks(
    share: tasks_state.Share,
    usable: list[tasks_state.Worker],
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Evicts less urgent tasks for waiting tasks that fit on no worker.

    Nothing is evicted for background work, or if evictions cannot remove the
    reason for waiting.

    Args:
        share: Job's share in the partition, with waiting tasks.
        usable: Workers of the partition that accept starts.
        partition: Partition of the workers.
        instance: State of this entry instance; changed in place.
        now: Monotonic time, in seconds.
    """
    urgency = share.job.record.urgency
    not_eligible = share.waiting_reason not in scheduling.EVICTION_REASONS
    if not_eligible or urgency < instance.policy.sharing.background_below:
        return []
    demand = make_demand(share, instance)
    effects: dispatch.Effects = []
    for task in itertools.islice(share.waiting, MAX_EVICTION_PLANS):
        plan = scheduling.plan_preemption(
            instance.scheduling,
            share.job.record.job_id,
            task,
            demand,
            [worker.worker_id for worker in usable],
            instance.policy,
            now,
        )
        for name in plan.victims if plan else ():
            reason = f"frees capacity for {share.job.record.job_id}.{task}"
            worker_id = plan.worker_id if plan else ""
            effects += _evict(name, worker_id, partition, instance, now, reason)
    return effects


def is_on_probation(
    worker: tasks_state.Worker, instance: state.Instance, now: float
) -> bool:
    """Returns whether a worker is on probation.

    Failures on such a worker count against the worker and not against the job.
    """
    return instance.scheduling.probation.is_on_probation(worker.worker_id)


def count_failures(worker: tasks_state.Worker, instance: state.Instance) -> int:
    """Returns how many tasks failed on a worker since the last success."""
    return instance.scheduling.probation.count_failures(worker.worker_id)
