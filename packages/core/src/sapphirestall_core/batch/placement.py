"""Which worker takes a task; decides from the owner's view alone."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

# No start on a worker whose last answer is older than this.
MAX_CONTACT_AGE_S = 3.0
# Harmless, moderate and strong harm are told apart by these bounds.
INTERFERENCE_BOUNDS = (interference_module.NEGLIGIBLE_INTERFERENCE, 6.0)


def accepts_service(worker: state.Worker, service: str, now: float) -> bool:
    """Tells whether a worker takes new runs of a service."""
    return worker.entry.service == service and is_usable(worker, now)


def is_usable(worker: state.Worker, now: float) -> bool:
    """Tells whether a worker takes new runs at all."""
    return (
        worker.listing_received
        and not worker.entry.draining
        and worker.deregistered_since is None
        and not worker.orphans
        and worker.last_answer_at is not None
        and now - worker.last_answer_at <= MAX_CONTACT_AGE_S
        and not worker.unresponsive
        and worker.restarted_at is None
        and worker.suspended_until <= now
    )


def estimate_idle_cpu(worker: state.Worker) -> int:
    """Returns the processors that tasks that fill can expect to use."""
    free = worker.entry.capacity.cpu_millis - worker.reserved.cpu_millis
    return free + int(worker.serving_cpu_millis * (1 - worker.serving_load))


def find_free_capacity(
    worker: state.Worker, step: model.Step
) -> resources.Vector:
    """Returns what a worker has left for a step.

    Tasks that fill take no processors from an account; they are given those
    that other tasks are likely to leave unused.
    """
    room = worker.entry.capacity.minus(worker.reserved)
    if not step.fills:
        return room
    cpu = estimate_idle_cpu(worker) - worker.opportunistic_cpu_millis
    return resources.Vector(cpu, room.memory_mb, room.accelerators)


def count_step_runs(worker: state.Worker, task: state.Task) -> int:
    """Returns how many runs of the task's step a worker may have."""
    return sum(
        1
        for name, _ in worker.runs
        if name.job_id == task.name.job_id and name.step == task.name.step
    )


@attrs.define(slots=True, eq=False)
class Candidate:
    """A worker that takes new runs, with what a pass has computed of it.

    Attributes:
        cpu_millis: Processors that are not reserved, in thousandths.
        fill_cpu_millis: Processors left for tasks that fill.
        memory_mb: Memory that is not reserved.
        accelerators: Accelerators that are not reserved.
        budgets: Headroom that may be lost, by serving image; None before it
            was computed.
        rooms: Processors that the tails allow each image that fills.
    """

    worker: state.Worker
    cpu_millis: int = 0
    idle_cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    budgets: dict[str, float] | None = None
    allowed_cpu: dict[str, int] = attrs.field(factory=dict)

    def refresh(self) -> None:
        """Takes what is left on the worker, and forgets what followed."""
        worker = self.worker
        capacity, reserved = worker.entry.capacity, worker.reserved
        self.cpu_millis = capacity.cpu_millis - reserved.cpu_millis
        self.idle_cpu_millis = (
            estimate_idle_cpu(worker) - worker.opportunistic_cpu_millis
        )
        self.memory_mb = capacity.memory_mb - reserved.memory_mb
        self.accelerators = capacity.accelerators - reserved.accelerators
        self.budgets = None
        self.allowed_cpu.clear()

    def fits(self, step: model.Step) -> bool:
        """Tells whether an amount is left for a task of a step."""
        amount = step.amount
        cpu_millis = self.idle_cpu_millis if step.fills else self.cpu_millis
        return (
            amount.cpu_millis <= cpu_millis
            and amount.memory_mb <= self.memory_mb
            and amount.accelerators <= self.accelerators
        )

    def tolerates(
        self,
        step: model.Step,
        interference: interference_module.InterferenceModel,
        now: float,
    ) -> bool:
        """Tells whether a task that fills leaves the tails in bounds."""
        room = self.allowed_cpu.get(step.image)
        if room is None:
            if self.budgets is None:
                self.budgets = interference.find_headroom_budgets(
                    self.worker, now, interference_module.PLACEMENT_HORIZON_S
                )
            room = interference.find_allowed_cpu(
                self.worker, self.budgets, step.image
            )
            self.allowed_cpu[step.image] = room
        return step.amount.cpu_millis <= room


def list_candidates(
    workers: Iterable[state.Worker], service: str, now: float
) -> list[Candidate]:
    """Returns the workers that take new runs of a service."""
    candidates = [
        Candidate(worker)
        for worker in workers
        if accepts_service(worker, service, now)
    ]
    for candidate in candidates:
        candidate.refresh()
    return candidates


def _meets_constraints(worker: state.Worker, task: state.Task) -> bool:
    """Tells whether label and spread of a step allow a worker."""
    step = task.step
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    if not step.max_per_worker:
        return True
    return count_step_runs(worker, task) < step.max_per_worker


def rank(
    worker: state.Worker,
    task: state.Task,
    interference: interference_module.InterferenceModel,
) -> tuple[float, ...]:
    """Returns the preference for a worker; the lowest comes first.

    Tasks with a tail target are packed, first beside those of their image, so
    that some workers have none, or one kind, for work that disturbs others.
    """
    step = task.step
    failed = float(worker.entry.worker_id in task.failed_worker_ids)
    remote = float(
        bool(step.data_rack) and step.data_rack not in worker.entry.labels
    )
    unreliable = float(worker.consecutive_failures > 0)
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used = (
        worker.reserved.cpu_millis + worker.opportunistic_cpu_millis
    ) / capacity
    serving = worker.serving_cpu_millis / capacity
    first = (failed, remote, unreliable)
    if step.tail_target_ms:
        reserved = worker.reserved.cpu_millis / capacity
        return (*first, count_other_images(worker, step), -serving, -reserved)
    if not step.fills:
        return (*first, used)
    # Workers without serving tasks are left to what harms all others.
    level = classify_interference(
        interference.find_highest_interference(worker, step.image)
    )
    return (*first, level, -float(serving > 0), used)


def count_other_images(worker: state.Worker, step: model.Step) -> int:
    """Returns how many serving runs of other images a worker has."""
    return sum(
        1
        for run in interference_module.list_serving_runs(worker)
        if run.task.step.image != step.image
    )


def classify_interference(interference: float) -> int:
    """Returns a coarse level of harm, as readings are rough."""
    return sum(interference >= bound for bound in INTERFERENCE_BOUNDS)


def choose_candidate(
    task: state.Task,
    candidates: Iterable[Candidate],
    interference: interference_module.InterferenceModel,
    now: float,
    *,
    starved: bool = False,
) -> Candidate | None:
    """Returns the candidate for a task, or None where none has room.

    A starved task is placed whatever harm is expected of it; its pace then
    keeps the tails in bounds.
    """
    step = task.step
    limited = step.fills and not starved
    best = None
    best_rank: tuple[float, ...] = ()
    for candidate in candidates:
        if not candidate.fits(step):
            continue
        if not _meets_constraints(candidate.worker, task):
            continue
        if limited and not candidate.tolerates(step, interference, now):
            continue
        candidate_rank = rank(candidate.worker, task, interference)
        if best is None or candidate_rank < best_rank:
            best, best_rank = candidate, candidate_rank
    return best


def choose_worker(
    task: state.Task,
    workers: Iterable[state.Worker],
    service: str,
    interference: interference_module.InterferenceModel,
    now: float,
    *,
    starved: bool = False,
) -> state.Worker | None:
    """Returns the worker for a single task, or None where none has room."""
    candidates = list_candidates(workers, service, now)
    chosen = choose_candidate(
        task, candidates, interference, now, starved=starved
    )
    return chosen.worker if chosen else None
