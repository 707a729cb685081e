"""Simulation of calls to workers in virtual time."""

import functools

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from standins import worker_model
from standins import world as world_module


@world_module.perform.register
def _(
    effect: task_messages.WorkerEffect,
    node: world_module.Node,
    world: world_module.World,
) -> None:
    sent_at = world.now
    own_id = node.state.identity.instance_id
    world.counts[f"worker {type(effect).__name__}"] += 1

    def fail(code: str, ambiguous: bool, epoch: int, delay_s: float) -> None:
        event = _make_failure(effect, sent_at, code, ambiguous, epoch)
        world.schedule(delay_s, lambda: world.deliver(node, event))

    def execute_call(is_answered: bool) -> None:
        worker = _find_worker(effect.worker_id, own_id, world)
        try:
            if worker is None:
                raise worker_model.RefusalError("unreachable")
            worker.advance(world.now)
            event = carry_out(effect, worker, own_id, sent_at)
        except worker_model.RefusalError as error:
            epoch = worker.highest_epoch if worker else 0
            delay_s = (
                world_module.LINK_DELAY_S
                if worker
                else world_module.CALL_TIMEOUT_S
            )
            if is_answered:
                fail(error.code, worker is None, epoch, delay_s)
            return
        if is_answered and world.draw_loss():
            fail("unreachable", True, 0, world_module.CALL_TIMEOUT_S)
        elif is_answered:
            world.schedule(
                world.draw_delay(), lambda: world.deliver(node, event)
            )

    if world.draw_loss():
        fail("unreachable", True, 0, world_module.CALL_TIMEOUT_S)
        return
    world.schedule(world.draw_delay(), lambda: execute_call(True))
    if world.rng.random() < world.faults.duplication:
        # Only the first copy is answered.
        world.schedule(world.draw_delay() * 3, lambda: execute_call(False))


def _find_worker(
    worker_id: str, own_id: str, world: world_module.World
) -> worker_model.Worker | None:
    unreachable = (
        worker_id in world.unresponsive_workers
        or world.is_disconnected(own_id, worker_id)
    )
    return None if unreachable else world.workers.get(worker_id)


def _make_failure(
    effect: task_messages.WorkerEffect,
    sent_at: float,
    code: str,
    ambiguous: bool,
    epoch: int,
) -> messages.Event:
    if isinstance(effect, task_messages.PollWorker):
        return task_messages.WorkerFailed(
            effect.worker_id,
            sent_at,
            effect.epoch,
            effect.round_number,
            code,
            epoch,
        )
    return task_messages.CommandFailed(
        effect.worker_id, sent_at, effect, code, ambiguous, epoch
    )


def _parse_name(name: str) -> task_messages.AttemptName:
    job_id, task, attempt = name.rsplit(".", 2)
    return task_messages.AttemptName(job_id, int(task), int(attempt))


def _make_vector(amount: worker_model.Amount) -> resources.Vector:
    return resources.Vector(
        amount.cpu_millis, amount.memory_mb, amount.accelerators
    )


def _make_usage(task: worker_model.Task) -> resources.Vector:
    amount = task.usage or task.reserved
    return resources.Vector(
        round(amount.cpu_millis * task.throttle), amount.memory_mb
    )


def _make_service_reports(
    worker: worker_model.Worker,
) -> tuple[task_messages.ServiceReport, ...]:
    reports = []
    for service in worker.services.values():
        reading = worker.find_reading(service)
        reports.append(
            task_messages.ServiceReport(
                service.name,
                _make_vector(service.reserved),
                reading.slowdown if reading else 1.0,
                reading.measured_at if reading else -1.0,
            )
        )
    return tuple(reports)


def make_report(worker: worker_model.Worker) -> task_messages.WorkerReport:
    """Returns the inventory that a worker reports."""
    return task_messages.WorkerReport(
        worker.now,
        worker.highest_epoch,
        worker.incarnation,
        _make_vector(worker.capacity),
        tuple(
            task_messages.TaskReport(
                _parse_name(task.name),
                task_messages.TaskState(task.state),
                _make_vector(task.reserved),
                _make_usage(task),
                task.lease_until - worker.now,
                task.checkpoint,
                task.kind,
                task.throttle,
            )
            for task in worker.tasks.values()
        ),
        _make_service_reports(worker),
    )


@functools.singledispatch
def carry_out(
    effect: task_messages.WorkerEffect,
    worker: worker_model.Worker,
    owner: str,
    sent_at: float,
) -> messages.Event:
    """Carries out a worker call; by default, a command on a running attempt.

    Raises:
        worker_model.RefusalError: The worker refuses the call.
    """
    worker.admit(owner, effect.epoch, effect.expires_at, effect.incarnation)
    name = str(getattr(effect, "name", ""))
    task = worker.find_running(name)
    if isinstance(effect, task_messages.CheckpointTask):
        worker.take_checkpoint(task)
    elif isinstance(effect, task_messages.StopTask):
        task.state = "stopped"
    elif isinstance(effect, task_messages.ThrottleTask):
        task.throttle = effect.share
    return task_messages.CommandDone(
        effect.worker_id, sent_at, effect, task.checkpoint
    )


@carry_out.register
def _(
    effect: task_messages.PollWorker,
    worker: worker_model.Worker,
    owner: str,
    sent_at: float,
) -> messages.Event:
    expires_at = effect.expires_at if effect.renew else None
    worker.admit(owner, effect.epoch, expires_at, effect.incarnation)
    for name in effect.renew:
        worker.renew(str(name), effect.lease_s)
    for name in effect.acknowledge:
        worker.acknowledge(str(name))
    return task_messages.WorkerReported(
        effect.worker_id,
        sent_at,
        effect.epoch,
        effect.round_number,
        make_report(worker),
    )


@carry_out.register
def _(
    effect: task_messages.StartTask,
    worker: worker_model.Worker,
    owner: str,
    sent_at: float,
) -> messages.Event:
    worker.admit(owner, effect.epoch, effect.expires_at, effect.incarnation)
    amount = effect.reserved
    worker.start(
        worker_model.Task(
            str(effect.name),
            effect.kind,
            worker_model.Amount(
                amount.cpu_millis, amount.memory_mb, amount.accelerators
            ),
            effect.run_s,
            worker.now + effect.lease_s,
            checkpoint=effect.checkpoint,
            start_expires_at=effect.expires_at,
        )
    )
    return task_messages.CommandDone(effect.worker_id, sent_at, effect)
