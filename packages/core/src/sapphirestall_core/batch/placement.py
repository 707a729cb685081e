"""Which worker takes a task; decides from the owner's view alone."""

from collections.abc import Iterable

from sapphirestall_core import resources
from sapphirestall_core.batch import harm as harm_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# No start on a worker whose last answer is older than this.
CONTACT_LIMIT_S = 3.0
# Harmless, moderate and strong harm are told apart by these bounds.
HARM_BOUNDS = (harm_module.HARMLESS, 6.0)


def accepts(worker: state.Worker, service: str, now: float) -> bool:
    """Tells whether a worker takes new runs of a service."""
    return worker.entry.service == service and is_usable(worker, now)


def is_usable(worker: state.Worker, now: float) -> bool:
    """Tells whether a worker takes new runs at all."""
    return (
        worker.listed
        and not worker.entry.draining
        and worker.missing_since is None
        and not worker.orphans
        and worker.contact_at is not None
        and now - worker.contact_at <= CONTACT_LIMIT_S
        and not worker.silent
        and worker.suspended_until <= now
    )


def find_idle_cpu(worker: state.Worker) -> int:
    """Returns the processors that tasks that fill can expect to use."""
    free = worker.entry.capacity.cpu_millis - worker.reserved.cpu_millis
    return free + int(worker.serving_cpu * (1 - worker.serving_load))


def find_room(worker: state.Worker, step: model.Step) -> resources.Vector:
    """Returns what a worker has left for a step.

    Tasks that fill take no processors from an account; they are given those
    that other tasks are likely to leave unused.
    """
    room = worker.entry.capacity.minus(worker.reserved)
    if not step.fills:
        return room
    cpu = find_idle_cpu(worker) - worker.filled_cpu
    return resources.Vector(cpu, room.memory_mb, room.accelerators)


def count_on_worker(worker: state.Worker, task: state.Task) -> int:
    """Returns how many runs of the task's step a worker may have."""
    return sum(
        1
        for name, _ in worker.runs
        if name.job_id == task.name.job_id and name.step == task.name.step
    )


def _fits(worker: state.Worker, task: state.Task) -> bool:
    step = task.step
    if not step.amount.fits(find_room(worker, step)):
        return False
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    if not step.max_per_worker:
        return True
    return count_on_worker(worker, task) < step.max_per_worker


def rank(
    worker: state.Worker, task: state.Task, harm: harm_module.Harm
) -> tuple[float, ...]:
    """Returns the preference for a worker; the lowest comes first.

    Tasks with a tail target are packed, first beside those of their image, so
    that some workers have none, or one kind, for work that disturbs others.
    """
    step = task.step
    failed = float(worker.entry.worker_id in task.failed_on)
    far = float(
        bool(step.data_rack) and step.data_rack not in worker.entry.labels
    )
    suspect = float(worker.failures > 0)
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used = (worker.reserved.cpu_millis + worker.filled_cpu) / capacity
    serving = worker.serving_cpu / capacity
    first = (failed, far, suspect)
    if step.tail_target_ms:
        reserved = worker.reserved.cpu_millis / capacity
        return (*first, count_other_servers(worker, step), -serving, -reserved)
    if not step.fills:
        return (*first, used)
    # Workers without serving tasks are left to what harms all others.
    level = rank_harm(harm.find_harm(worker, step.image))
    return (*first, level, -float(serving > 0), used)


def count_other_servers(worker: state.Worker, step: model.Step) -> int:
    """Returns how many serving runs of other images a worker has."""
    return sum(
        1
        for run in harm_module.list_serving(worker)
        if run.task.step.image != step.image
    )


def rank_harm(harm: float) -> int:
    """Returns a coarse level of harm, as readings are rough."""
    return sum(harm >= bound for bound in HARM_BOUNDS)


def allows_harm(
    worker: state.Worker,
    task: state.Task,
    harm: harm_module.Harm,
    now: float,
) -> bool:
    """Tells whether a task that fills leaves the worker's tails in bounds."""
    budgets = harm.find_budgets(worker, now, harm_module.PLACEMENT_AHEAD_S)
    room = harm.find_room(worker, budgets, task.step.image)
    return task.step.amount.cpu_millis <= room


def choose_worker(
    task: state.Task,
    workers: Iterable[state.Worker],
    service: str,
    harm: harm_module.Harm,
    now: float,
    *,
    starved: bool = False,
) -> state.Worker | None:
    """Returns the worker for a task, or None where none has room.

    A starved task is placed whatever harm is expected of it; its pace then
    keeps the tails in bounds.
    """
    best = None
    best_rank: tuple[float, ...] = ()
    for worker in workers:
        if not accepts(worker, service, now) or not _fits(worker, task):
            continue
        harmful = task.step.fills and not allows_harm(worker, task, harm, now)
        if harmful and not starved:
            continue
        worker_rank = rank(worker, task, harm)
        if best is None or worker_rank < best_rank:
            best, best_rank = worker, worker_rank
    return best
