"""Placement of waiting tasks and outcomes of start commands."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sapphirestall_core import attempts
from sapphirestall_core import commands
from sapphirestall_core import eviction
from sapphirestall_core import failures
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import placement
from sapphirestall_core import policy_hooks
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import dispatch
    from sapphirestall_core import state

PART = "starts"
# Refusals after which another copy of the command may have taken effect; the
# next report shows whether it did.
AMBIGUOUS_REFUSALS = ("duplicate", "expired")


def place(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts waiting tasks, the most urgent first, until none fits.

    Shares with equal demands wait in one queue, so that a pass takes one failed
    decision for each distinct demand, however many tasks are waiting.
    """
    lease = instance.tasks.lease
    authority = ownership.find_authority(partition, lease, now)
    cannot_start = authority is ownership.Authority.NONE or not partition.queues
    if instance.draining or cannot_start:
        return []
    usable = [
        worker
        for worker in partition.workers.values()
        if is_usable(worker, partition, instance, now)
    ]
    policy_hooks.begin_pass(instance)
    effects: dispatch.Effects = []
    keys = sorted(partition.queues, key=lambda key: _rank(key, partition))
    for _, level in itertools.groupby(keys, key=lambda key: key.urgency):
        effects += _place_level(list(level), usable, partition, instance, now)
    return effects


def _rank(
    key: tasks_state.QueueKey, partition: tasks_state.Partition
) -> tuple[int, int]:
    """Returns a sort key: urgency, then running tasks of the first share."""
    share = next(iter(partition.queues[key].values()))
    return -key.urgency, share.running


def _place_level(
    keys: list[tasks_state.QueueKey],
    usable: list[tasks_state.Worker],
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Starts one task of each queue in turn until none fits.

    Otherwise a large job would keep jobs of equal urgency from starting.
    """
    effects: dispatch.Effects = []
    while keys:
        remaining = []
        for key in keys:
            started, new_effects = _place_next(
                key, usable, partition, instance, now
            )
            effects += new_effects
            if started:
                remaining.append(key)
        keys = remaining
    return effects


def is_usable(
    worker: tasks_state.Worker,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> bool:
    """Returns whether tasks may be started on a worker at `now`.

    A worker that is not a witness gets none, as a successor waits only for
    the inventories of witnesses.
    """
    return (
        worker.ledger is not None
        and worker.inventoried
        and worker.registered
        and not worker.needs_report
        and now >= worker.no_starts_until
        and worker.worker_id in partition.progress.witnesses
        and commands.may_command(worker, partition, instance, now)
    )


def _place_next(
    key: tasks_state.QueueKey,
    usable: list[tasks_state.Worker],
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> tuple[bool, dispatch.Effects]:
    """Starts the next task of a queue; also returns whether it did."""
    queue = partition.queues.get(key)
    if not queue:
        return False, []
    share = next(iter(queue.values()))
    task = share.waiting.get_first()
    failed_on = share.failures.get(task, {})
    untried = [w for w in usable if w.worker_id not in failed_on]
    demand = policy_hooks.make_demand(share, instance)
    found = policy_hooks.find_worker(demand, untried or usable, instance, now)
    if isinstance(found, str):
        share.waiting_since = share.waiting_since or now
        share.waiting_reason = found
        return False, policy_hooks.evict_for_waiting_tasks(
            share, usable, partition, instance, now
        )
    return True, [_start(share, task, found, demand, partition, instance, now)]


def _start(
    share: tasks_state.Share,
    task: int,
    worker: tasks_state.Worker,
    demand: placement.Demand,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> task_messages.StartTask:
    record = share.job.record
    partition.attempts_made += 1
    number = attempts.make_attempt_number(
        partition.epoch, partition.attempts_made
    )
    known = share.checkpoints.get(task)
    attempt = tasks_state.Attempt(
        task_messages.AttemptName(record.job_id, task, number),
        worker.worker_id,
        demand.reserved,
        tasks_state.Phase.STARTING,
        share,
        worker.clock + ownership.COMMAND_TERM_S,
        phase_since=now,
        started_at=now,
        checkpoint=known.checkpoint if known else "",
    )
    assert worker.ledger is not None
    worker.ledger.reserve(attempt.name, demand.reserved)
    attempts.add(attempt, worker, partition)
    share.waiting_since, share.waiting_reason = 0.0, ""
    policy_hooks.record_start(worker, attempt, demand, instance, now)
    return commands.make_start(attempt, demand.reserved, worker, partition)


@eviction.handle_done.register(task_messages.StartTask)
def _(
    command: task_messages.StartTask,
    event: task_messages.CommandDone,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = eviction.find_current(command.name, partition)
    if attempt is not None and attempt.phase is tasks_state.Phase.STARTING:
        attempt.phase = tasks_state.Phase.RUNNING
    return []


@eviction.handle_failure.register(task_messages.StartTask)
def _(
    command: task_messages.StartTask,
    event: task_messages.CommandFailed,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    attempt = eviction.find_current(command.name, partition)
    may_have_started = event.ambiguous or event.code in AMBIGUOUS_REFUSALS
    if attempt is None or not attempt.start_expires_at or may_have_started:
        # A start that may have taken effect keeps its reservation until a
        # report shows it or the worker has been unresponsive for too long.
        return []
    worker = partition.workers[attempt.worker_id]
    effects: dispatch.Effects = [messages.CountRetry(PART, event.code)]
    if event.code == "start_failed":
        # The worker also reports this end. Recording it here prevents the
        # report from counting the failure a second time.
        eviction.requeue_stopped(attempt, "", partition)
        effects += failures.record_failure(
            command.name, worker, partition, instance, now
        )
    else:
        worker.needs_report = True
        policy_hooks.record_start_rejected(worker, command.name, instance)
        attempts.requeue(attempt, partition)
    return effects + place(partition, instance, now)
