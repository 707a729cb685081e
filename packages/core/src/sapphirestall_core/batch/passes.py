"""Passes in which an owner starts tasks that wait."""

from collections.abc import Iterable

import attrs

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_messages

PART = "starts"
# A job of which nothing runs may wait this long for a place without harm.
STARVATION_S = 1.5
# Answers and leases are handled between passes, so a pass must be short.
MAX_STARTS_PER_PASS = 32


@attrs.frozen
class PassDue(messages.Timer):
    """Starts what can be started in a partition."""

    partition: str


@attrs.frozen
class PaceDue(messages.Event):
    """Work that fills was added to a worker; paces may be too high."""

    partition: str
    worker_id: str


def request_pass(partition: state.Partition) -> dispatch.Effects:
    """Asks for a pass, unless one is due."""
    if partition.pass_scheduled or partition.phase is not state.Phase.ACTIVE:
        return []
    partition.pass_scheduled = True
    return [messages.StartTimer(PassDue(partition.name), 0.0)]


@dispatch.expire.register(PassDue)
def run_pass(
    timer: PassDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts waiting tasks for which a worker has room; at most so many."""
    partition = batch.partitions.get(timer.partition)
    if partition is None:
        return []
    partition.pass_scheduled = False
    if partition.phase is not state.Phase.ACTIVE or batch.shutting_down:
        return []
    if ownership.may_have_successor(batch, partition, now):
        # What seems to have lapsed may go on under another owner.
        return []
    effects: dispatch.Effects = []
    scheduling_pass = SchedulingPass(batch, partition, now)
    for job in sort_startable_jobs(partition, now):
        for step in job.steps:
            if step.runnable and scheduling_pass.starts_left:
                effects += _start_step(job, step, scheduling_pass)
    if not scheduling_pass.starts_left:
        effects += request_pass(partition)
    for name in sorted(scheduling_pass.opportunistic_workers):
        effects += dispatch.handle(PaceDue(partition.name, name), batch, now)
    return effects


@attrs.define(slots=True, eq=False)
class CandidatePool:
    """What a pass knows of the workers of one service.

    Attributes:
        candidates: Workers that take new runs.
        full: Amounts that no worker had left, for tasks that reserve
            processors.
        fill_full: The same for tasks that fill.
        harmful: Amounts that no worker had left without harm, by image.
    """

    candidates: list[placement.Candidate]
    rejected: list[resources.Vector] = attrs.field(factory=list)
    rejected_opportunistic: list[resources.Vector] = attrs.field(factory=list)
    rejected_interfering: dict[str, list[resources.Vector]] = attrs.field(
        factory=dict
    )

    def is_rejected(self, step: model.Step, *, starved: bool) -> bool:
        """Tells whether a task that asks for no more was refused before."""
        full = self.rejected_opportunistic if step.fills else self.rejected
        if _exceeds_any(full, step.amount):
            return True
        if not step.fills or starved:
            return False
        return _exceeds_any(
            self.rejected_interfering.get(step.image, ()), step.amount
        )

    def record_rejection(self, step: model.Step, *, starved: bool) -> None:
        """Notes that no worker had room for a task of a step."""
        if step.required_label or step.max_per_worker:
            # Others that ask for the same amount may go to other workers.
            return
        if not step.fills:
            self.rejected.append(step.amount)
        elif starved:
            self.rejected_opportunistic.append(step.amount)
        else:
            self.rejected_interfering.setdefault(step.image, []).append(
                step.amount
            )


def _exceeds_any(
    refused: Iterable[resources.Vector], amount: resources.Vector
) -> bool:
    """Tells whether an amount is at least one that was refused."""
    for other in refused:  # noqa: SIM110
        if other.fits(amount):
            return True
    return False


@attrs.define(slots=True, eq=False)
class SchedulingPass:
    """Workers and their room in one pass.

    Attributes:
        rooms: What is known, by service.
        filled: Workers on which work that fills was started.
        left: Starts that the pass may still order.
    """

    batch: state.Batch
    partition: state.Partition
    now: float
    pools: dict[str, CandidatePool] = attrs.field(factory=dict)
    opportunistic_workers: set[str] = attrs.field(factory=set)
    starts_left: int = attrs.field(factory=lambda: MAX_STARTS_PER_PASS)

    def get_pool(self, service: str) -> CandidatePool:
        """Returns what is known of the workers of a service."""
        pool = self.pools.get(service)
        if pool is None:
            roster = self.partition.roster
            workers = (
                worker
                for name, worker in self.partition.workers.items()
                if name in roster
            )
            pool = CandidatePool(
                placement.list_candidates(workers, service, self.now)
            )
            self.pools[service] = pool
        return pool


def _start_step(
    job: state.Job, step: state.StepState, scheduling_pass: SchedulingPass
) -> dispatch.Effects:
    """Starts waiting tasks of a step until one finds no room.

    The tasks of a step ask for the same, and starts only take room: once a
    task was refused, those behind it are refused as well. Tasks that wait in
    vain come before those that began to wait later, so none of these starts in
    spite of the harm when the first may not.
    """
    effects: dispatch.Effects = []
    batch, partition, now = (
        scheduling_pass.batch,
        scheduling_pass.partition,
        scheduling_pass.now,
    )
    pool = scheduling_pass.get_pool(job.queue.service)
    if not step.step.fills and pool.is_rejected(step.step, starved=False):
        _record_refusals(step, now)
        return []
    for task in list(step.runnable.values()):
        if not scheduling_pass.starts_left:
            return effects
        # Only tasks that fill are kept from a worker for the harm they do.
        starved = step.step.fills and is_starved(task, now)
        if pool.is_rejected(step.step, starved=starved):
            break
        chosen = placement.choose_candidate(
            task, pool.candidates, batch.interference, now, starved=starved
        )
        if chosen is None:
            pool.record_rejection(step.step, starved=starved)
            break
        effects += start(batch, partition, chosen.worker, task, now)
        scheduling_pass.starts_left -= 1
        chosen.refresh()
        if task.run is not None:
            task.run.forced = starved
        if step.step.fills:
            scheduling_pass.opportunistic_workers.add(
                chosen.worker.entry.worker_id
            )
    _record_refusals(step, now)
    return effects


def _record_refusals(step: state.StepState, now: float) -> None:
    """Notes since when the waiting tasks of a step find no worker."""
    for task in reversed(step.runnable.values()):
        # All tasks that began to wait before this one were noted with it.
        if task.unplaced_since is not None:
            break
        task.unplaced_since = now


def is_starved(task: state.Task, now: float) -> bool:
    """Tells whether a job has waited for long with nothing running."""
    if task.unplaced_since is None or now - task.unplaced_since < STARVATION_S:
        return False
    return not any(_may_have_run(step) for step in task.job.steps)


def _may_have_run(step: state.StepState) -> bool:
    """Tells whether a task of a step may run."""
    if step.unblocked:
        return len(step.runnable) < len(step.unfinished)
    return any(task.run is not None for task in step.unfinished.values())


def sort_startable_jobs(
    partition: state.Partition, now: float
) -> list[state.Job]:
    """Returns jobs that may start by priority, prospect and arrival."""
    former_runs_ended = former_runs.have_ended(partition, now)
    # Runs of a job that former owners knew may exist on workers that have not
    # been asked yet.
    startable = [
        job
        for job in partition.jobs.values()
        if _has_waiting(job)
        and job.final_state is None
        and not job.move_in_flight
        and (former_runs_ended or job.create_revision >= partition.token)
    ]
    startable.sort(
        key=lambda job: (
            job.queue.priority,
            objectives.classify(job, now),
            job.create_revision,
        )
    )
    return startable


def _has_waiting(job: state.Job) -> bool:
    for step in job.steps:  # noqa: SIM110
        if step.runnable:
            return True
    return False


def start(
    batch: state.Batch,
    partition: state.Partition,
    worker: state.Worker,
    task: state.Task,
    now: float,
) -> dispatch.Effects:
    """Orders a worker to start a task."""
    lease_end_ms = leases.extend(worker, leases.START_LEASE_S, now)
    if lease_end_ms is None:
        return []
    job = task.job
    run = state.Run(
        task,
        worker.entry.worker_id,
        task.next_run_number,
        state.RunPhase.STARTING,
        now,
        lease_end_ms,
    )
    task.next_run_number += 1
    task.unplaced_since = None
    task.run = run
    job.steps[task.name.step].runnable.pop(task.name.index, None)
    reserve(worker, run)
    job.start_sent = True
    log = messages.Log(
        PART,
        "order",
        {
            "job": job.record.job_id,
            "task": f"{task.name.step}.{task.name.index}",
            "run": run.number,
            "worker": run.worker_id,
            "partition": partition.name,
            "token": partition.token,
            "free_cpu": placement.find_free_capacity(
                worker, task.step
            ).cpu_millis,
            "contact_age_s": round(now - (worker.last_answer_at or now), 3),
        },
    )
    order = worker_messages.StartRun(
        worker.target,
        partition.name,
        partition.token,
        task.name,
        run.number,
        job.record.spec,
        lease_end_ms,
        task.checkpoint,
    )
    return [log, order]


def reserve(worker: state.Worker, run: state.Run) -> None:
    """Records that a run takes room until it is known to be over."""
    worker.runs[(run.task.name, run.number)] = run
    _update_reservations(worker, run, 1)


def release(worker: state.Worker, run: state.Run) -> None:
    """Frees the room of a run that is known to be over."""
    if worker.runs.pop((run.task.name, run.number), None) is not None:
        _update_reservations(worker, run, -1)


def _update_reservations(
    worker: state.Worker, run: state.Run, sign: int
) -> None:
    step = run.task.step
    amount = step.amount
    if step.fills:
        worker.opportunistic_cpu_millis += sign * amount.cpu_millis
        amount = attrs.evolve(amount, cpu_millis=0)
    if sign > 0:
        worker.reserved = worker.reserved.plus(amount)
    else:
        worker.reserved = worker.reserved.minus(amount)
    if step.tail_target_ms:
        worker.serving_cpu_millis += sign * step.amount.cpu_millis


def remove_run(worker: state.Worker, run: state.Run) -> None:
    """Forgets a run that is over; its task waits again if it still wants to."""
    release(worker, run)
    if run.start_unanswered_at is not None and run.started_clock_ms is None:
        key = (run.task.name, run.number)
        worker.abandoned_starts[key] = run.started_at + leases.LATE_COMMAND_S
    if run.task.run is run:
        jobs.requeue(run.task)
