"""Choice of a worker for a task.

The owner of a partition decides from its own state, without asking workers.
Opportunistic tasks, those whose step has `fills` set, reserve no processors and
run on those that other tasks leave unused. Serving tasks are those with a
target for their tail latency.
"""

from collections.abc import Iterable

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state
from sapphirestall_core.batch import usability

# Bounds between negligible, moderate and strong interference, in headroom.
INTERFERENCE_BOUNDS = (interference_module.NEGLIGIBLE_INTERFERENCE, 6.0)


def estimate_idle_cpu(worker: state.Worker) -> int:
    """Estimates the processors that reserving tasks leave unused on a worker.

    These are the processors that no run reserves, and the share of the
    processors reserved by serving runs that these do not use.

    Returns:
        Processors in thousandths, those used by opportunistic runs included.
    """
    free = worker.entry.capacity.cpu_millis - worker.reserved.cpu_millis
    return free + int(worker.serving_cpu_millis * (1 - worker.serving_load))


def find_free_capacity(
    worker: state.Worker, step: model.Step
) -> resources.Vector:
    """Returns the resources of a worker that are free for tasks of a step.

    For opportunistic tasks the processors are those that other tasks are
    expected to leave unused; all other amounts are those not reserved. A run
    that is paced down leaves processors to images that disturb less.
    """
    free = worker.entry.capacity.minus(worker.reserved)
    if not step.fills:
        return free
    cpu = estimate_idle_cpu(worker) - worker.paced_cpu_millis
    return resources.Vector(cpu, free.memory_mb, free.accelerators)


def find_reserved_amount(step: model.Step) -> resources.Vector:
    """Returns what a run of a step reserves on its worker."""
    if step.fills:
        return attrs.evolve(step.amount, cpu_millis=0)
    return step.amount


def count_step_runs(worker: state.Worker, task: state.Task) -> int:
    """Counts the runs of a task's step that may exist on a worker."""
    return sum(
        1
        for name, _ in worker.runs
        if name.job_id == task.name.job_id and name.step == task.name.step
    )


@attrs.define(slots=True, eq=False)
class Candidate:
    """A worker on which new runs may start, with its free capacity.

    A scheduling pass keeps candidates, so that it need not compute these values
    anew for each task.

    Attributes:
        worker: The worker.
        cpu_millis: Processors that are not reserved, in thousandths.
        idle_cpu_millis: Processors left for further opportunistic tasks, in
            thousandths.
        memory_mb: Memory that is not reserved.
        accelerators: Number of accelerators that are not reserved.
        budgets: Headroom that opportunistic tasks may cost each serving image;
            None until it is computed.
        allowed_cpu: Processors, in thousandths, that further tasks of an
            opportunistic image may use without serving tasks missing their
            targets; contains the images for which it was computed.
        strong_images: Whether an opportunistic image disturbs serving tasks of
            the worker a lot; contains the images for which it was computed.
        planned_tasks: Tasks for which capacity was deducted.
        nominated_tasks: Waiting long-running tasks for which finite tasks leave
            capacity free here.
    """

    worker: state.Worker
    cpu_millis: int = 0
    idle_cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    budgets: list[interference_module.RemainingBudget] | None = None
    allowed_cpu: dict[str, int] = attrs.field(factory=dict)
    strong_images: dict[str, bool] = attrs.field(factory=dict)
    planned_tasks: list[model.TaskName] = attrs.field(factory=list)
    nominated_tasks: list[state.Task] = attrs.field(factory=list)

    def refresh(self) -> None:
        """Recomputes free capacity and discards what was derived from it."""
        worker = self.worker
        capacity, reserved = worker.entry.capacity, worker.reserved
        self.cpu_millis = capacity.cpu_millis - reserved.cpu_millis
        self.idle_cpu_millis = (
            estimate_idle_cpu(worker) - worker.paced_cpu_millis
        )
        self.memory_mb = capacity.memory_mb - reserved.memory_mb
        self.accelerators = capacity.accelerators - reserved.accelerators
        self.budgets = None
        self.allowed_cpu.clear()
        self.strong_images.clear()

    def deduct(self, task: state.Task) -> None:
        """Deducts what a task needs that is to be started here later."""
        self.planned_tasks.append(task.name)
        amount = task.step.amount
        if task.step.fills:
            self.idle_cpu_millis -= amount.cpu_millis
        else:
            self.cpu_millis -= amount.cpu_millis
        self.memory_mb -= amount.memory_mb
        self.accelerators -= amount.accelerators

    def get_free_capacity(self) -> resources.Vector:
        """Returns what no run reserves."""
        return resources.Vector(
            self.cpu_millis, self.memory_mb, self.accelerators
        )

    def fits(self, step: model.Step) -> bool:
        """Returns whether the free capacity suffices for a task of a step."""
        amount = step.amount
        cpu_millis = self.idle_cpu_millis if step.fills else self.cpu_millis
        return (
            amount.cpu_millis <= cpu_millis
            and amount.memory_mb <= self.memory_mb
            and amount.accelerators <= self.accelerators
        )

    def fits_beside_nominations(self, task: state.Task) -> bool:
        """Returns whether a task leaves enough free for nominated tasks.

        A long-running task, or one of a higher priority, need not. An
        opportunistic task takes no processors from them.
        """
        if task.step.long_running:
            return True
        amount = find_reserved_amount(task.step)
        for nominated in self.nominated_tasks:
            if nominated.job.queue.priority <= task.job.queue.priority:
                amount = amount.plus(find_reserved_amount(nominated.step))
        if task.step.fills:
            amount = attrs.evolve(amount, cpu_millis=0)
        return amount.fits(self.get_free_capacity().maximum(resources.Vector()))

    def tolerates(
        self,
        step: model.Step,
        interference: interference_module.InterferenceModel,
        now: float,
    ) -> bool:
        """Returns whether serving tasks meet their targets beside a new task.

        Args:
            step: Step of the new task, which is opportunistic.
            interference: Learned interference between images.
            now: Monotonic time, in seconds.
        """
        allowed = self.allowed_cpu.get(step.image)
        if allowed is None:
            if self.budgets is None:
                budgets = interference.find_headroom_budgets(
                    self.worker, now, interference_module.PLACEMENT_HORIZON_S
                )
                self.budgets = interference.find_remaining_budgets(
                    self.worker, budgets
                )
            allowed = interference.find_allowed_cpu(
                self.worker, self.budgets, step.image
            )
            self.allowed_cpu[step.image] = allowed
        return step.amount.cpu_millis <= allowed

    def is_strong(
        self, image: str, interference: interference_module.InterferenceModel
    ) -> bool:
        """Returns whether an image disturbs serving tasks here a lot."""
        strong = self.strong_images.get(image)
        if strong is None:
            strong = interference.is_strong(self.worker, image)
            self.strong_images[image] = strong
        return strong


def make_candidate(worker: state.Worker) -> Candidate:
    """Returns a worker with its free capacity."""
    candidate = Candidate(worker)
    candidate.refresh()
    return candidate


def list_candidates(
    workers: Iterable[state.Worker], service: str, now: float
) -> list[Candidate]:
    """Returns the workers on which new runs of a service may start."""
    return [
        make_candidate(worker)
        for worker in workers
        if usability.accepts_service(worker, service, now)
    ]


def _has_required_label(candidate: Candidate, step: model.Step) -> bool:
    labels = candidate.worker.entry.labels
    return not step.required_label or step.required_label in labels


def meets_constraints(
    candidate: Candidate, task: state.Task, planned: Iterable[model.TaskName]
) -> bool:
    """Returns whether a worker meets the placement constraints of a task.

    These are the label that the step requires and the highest number of its
    tasks on one worker.

    Args:
        candidate: The worker.
        task: The task.
        planned: Tasks that count as if they ran on the worker.
    """
    worker, step = candidate.worker, task.step
    if not _has_required_label(candidate, step):
        return False
    if not step.max_per_worker:
        return True
    count = count_step_runs(worker, task) + sum(
        name.job_id == task.name.job_id and name.step == task.name.step
        for name in planned
    )
    return count < step.max_per_worker


def can_run(candidate: Candidate, task: state.Task) -> bool:
    """Returns whether a worker has the service and the capacity for a task.

    Placement constraints count as well, the tasks planned there do not.
    """
    return (
        candidate.worker.entry.service == task.job.queue.service
        and candidate.fits(task.step)
        and meets_constraints(candidate, task, ())
    )


def rank(
    worker: state.Worker,
    task: state.Task,
    interference: interference_module.InterferenceModel,
) -> tuple[float, ...]:
    """Returns a sort key of a worker for a task; the lowest is preferred.

    Prefers workers on which no run of the task failed, then workers in the rack
    of the task's data, then workers whose last run did not fail.

    Serving tasks are packed on few workers, preferably beside tasks of their
    own image. Other workers then have no serving tasks, or only those of one
    image, and can run opportunistic tasks that would disturb other serving
    tasks.
    """
    step = task.step
    failed = float(worker.entry.worker_id in task.failed_worker_ids)
    remote = float(
        bool(step.data_rack) and step.data_rack not in worker.entry.labels
    )
    unreliable = float(
        bool(worker.failed_runs.row) or bool(worker.unanswered_starts.row)
    )
    capacity = max(1, worker.entry.capacity.cpu_millis)
    used = (
        worker.reserved.cpu_millis + worker.opportunistic_cpu_millis
    ) / capacity
    serving = worker.serving_cpu_millis / capacity
    first = (failed, remote, unreliable)
    if step.tail_target_ms:
        reserved = worker.reserved.cpu_millis / capacity
        return (
            *first,
            count_runs_of_other_images(worker, step),
            -serving,
            -reserved,
        )
    if not step.fills:
        return (*first, used)
    # A worker without serving tasks ranks behind one with serving tasks that
    # the image disturbs as little, so that it stays free for images that
    # disturb all serving tasks.
    level = classify_interference(
        interference.find_highest_interference(worker, step.image)
    )
    return (*first, level, -float(serving > 0), used)


def count_runs_of_other_images(worker: state.Worker, step: model.Step) -> int:
    """Counts the serving runs on a worker whose image is not that of a step."""
    return sum(
        1
        for run in interference_module.list_serving_runs(worker)
        if run.task.step.image != step.image
    )


def classify_interference(interference: float) -> int:
    """Returns the level of interference: 0 negligible, 1 moderate, 2 strong.

    Estimates are too rough to rank workers by their exact values.
    """
    return sum(interference >= bound for bound in INTERFERENCE_BOUNDS)


def _has_undisturbed(
    candidates: list[Candidate],
    step: model.Step,
    interference: interference_module.InterferenceModel,
) -> bool:
    """Returns whether a step disturbs few serving tasks of any candidate."""
    return any(
        _has_required_label(candidate, step)
        and not candidate.is_strong(step.image, interference)
        for candidate in candidates
    )


def choose_candidate(
    task: state.Task,
    candidates: list[Candidate],
    interference: interference_module.InterferenceModel,
    now: float,
    *,
    starved: bool = False,
    selective: bool = False,
) -> Candidate | None:
    """Returns the best candidate for a task, or None if none can run it.

    Args:
        task: The task to place.
        candidates: Workers to choose from.
        interference: Learned interference between images.
        now: Monotonic time, in seconds.
        starved: Whether an opportunistic task has waited so long that it is
            placed even if serving tasks are expected to miss their targets.
            Its pace is lowered after the start, so that they meet them.
        selective: Whether an opportunistic task rather waits than starts on a
            worker whose serving tasks it disturbs a lot, if there are others.
    """
    step = task.step
    limited = step.fills and not starved
    # Waits for one of these even if none has room now.
    undisturbed_only = (
        limited
        and selective
        and _has_undisturbed(candidates, step, interference)
    )
    best = None
    best_rank: tuple[float, ...] = ()
    for candidate in candidates:
        if not candidate.fits(step):
            continue
        if candidate.nominated_tasks and (
            not candidate.fits_beside_nominations(task)
        ):
            continue
        if not meets_constraints(candidate, task, candidate.planned_tasks):
            continue
        if undisturbed_only and candidate.is_strong(step.image, interference):
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
    selective: bool = False,
) -> state.Worker | None:
    """Returns the best worker for a single task, or None if none can run it.

    Args:
        task: The task to place.
        workers: Workers to choose from.
        service: Service that the worker must belong to.
        interference: Learned interference between images.
        now: Monotonic time, in seconds.
        starved: Whether to place an opportunistic task even if serving tasks
            are expected to miss their targets.
        selective: Whether an opportunistic task rather waits than starts on a
            worker whose serving tasks it disturbs a lot, if there are others.
    """
    candidates = list_candidates(workers, service, now)
    chosen = choose_candidate(
        task,
        candidates,
        interference,
        now,
        starved=starved,
        selective=selective,
    )
    return chosen.worker if chosen else None
