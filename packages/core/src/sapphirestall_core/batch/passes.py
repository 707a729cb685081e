"""Scheduling passes, in which an owner starts waiting tasks on workers.

A pass goes through the runnable tasks of a partition in the order of their
jobs and sends starts to workers with enough free capacity. Each start reserves
the resources of the task until its run is known to have ended.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import candidate_pools
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import nominations
from sapphirestall_core.batch import objectives
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import trials
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages

PART = "starts"
# An opportunistic task that has waited for this long, in seconds, while no task
# of its job runs, may start beside serving tasks that it disturbs.
STARVATION_S = 1.5
# For this time after a scheduling pass first found no worker for it, in
# seconds, an opportunistic task waits for a worker whose serving tasks it
# disturbs little. Elsewhere it is paced down as soon as their load rises: it
# holds memory, and the next step of its job waits for it.
SELECTION_S = 3.0
# The loop handles answers of workers and renews leases only between passes; a
# longer pass would delay them until calls time out.
MAX_STARTS_PER_PASS = 32


@attrs.frozen
class PassDue(messages.Timer):
    """Timer to run a scheduling pass of a partition.

    Attributes:
        partition: Name of the partition.
    """

    partition: str


@attrs.frozen
class PaceDue(messages.Event):
    """Reports that the paces of runs on a worker have to be adjusted.

    Sent when the start of an opportunistic run is sent or confirmed: at full
    pace the run may disturb serving runs. Paces are then adjusted at once and
    not only with the next listing of the worker.

    Attributes:
        partition: Name of the worker's partition.
        worker_id: Id of the worker.
    """

    partition: str
    worker_id: str


def request_pass(partition: state.Partition) -> dispatch.Effects:
    """Schedules a pass of a partition unless one is scheduled already."""
    if partition.pass_scheduled or partition.phase is not state.Phase.ACTIVE:
        return []
    partition.pass_scheduled = True
    return [messages.StartTimer(PassDue(partition.name), 0.0)]


@dispatch.handle_timer.register(PassDue)
def run_pass(
    timer: PassDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Starts waiting tasks on workers that have free capacity for them.

    Starts at most `MAX_STARTS_PER_PASS` tasks and requests another pass when it
    reaches this number.
    """
    partition = batch.partitions.get(timer.partition)
    if partition is None:
        return []
    partition.pass_scheduled = False
    if partition.phase is not state.Phase.ACTIVE or batch.shutting_down:
        return []
    if tenure.may_have_successor(batch, partition, now):
        # Another owner may have extended leases that seem to have expired here,
        # so that a task whose run seems to have ended may still run.
        return []
    if not worker_list.is_recent(batch, now):
        # A worker may drain without the owner knowing it. The reply to the read
        # requests another pass.
        return worker_list.read_entries(batch, now)
    scheduling_pass = SchedulingPass(batch, partition, now)
    startable = sort_startable_jobs(batch, partition, now)
    effects = _nominate_workers(startable, scheduling_pass)
    for job in startable:
        for step in job.steps:
            if step.runnable and scheduling_pass.starts_left:
                effects += _start_step(job, step, scheduling_pass)
    effects += _start_trials(startable, scheduling_pass)
    if not scheduling_pass.starts_left:
        effects += request_pass(partition)
    for name in sorted(scheduling_pass.opportunistic_workers):
        effects += dispatch.handle(PaceDue(partition.name, name), batch, now)
    return effects


@attrs.define(slots=True, eq=False)
class SchedulingPass:
    """State of one scheduling pass.

    Attributes:
        batch: State of this instance.
        partition: The partition whose tasks are started.
        now: Monotonic time of the pass, in seconds.
        pools: Candidate workers by service; contains the services whose jobs
            the pass has reached.
        opportunistic_workers: Ids of workers on which the pass has started
            opportunistic tasks.
        starts_left: Number of starts that the pass may still send.
    """

    batch: state.Batch
    partition: state.Partition
    now: float
    pools: dict[str, candidate_pools.CandidatePool] = attrs.field(factory=dict)
    opportunistic_workers: set[str] = attrs.field(factory=set)
    starts_left: int = attrs.field(factory=lambda: MAX_STARTS_PER_PASS)

    def get_pool(self, service: str) -> candidate_pools.CandidatePool:
        """Returns the candidate workers of a service."""
        pool = self.pools.get(service)
        if pool is None:
            workers = usability.list_startable_workers(self.partition, self.now)
            pool = candidate_pools.CandidatePool(
                placement.list_candidates(workers, service, self.now)
            )
            self.pools[service] = pool
        return pool


def _nominate_workers(
    startable: list[state.Job], scheduling_pass: SchedulingPass
) -> dispatch.Effects:
    """Nominates workers for long-running tasks that have waited.

    Finite tasks that come before them must leave the capacity free as well.
    """
    effects: dispatch.Effects = []
    now = scheduling_pass.now
    budget = nominations.Budget()
    for job, step in nominations.list_waiting_steps(startable, now):
        if not budget.nominations:
            break
        pool = scheduling_pass.get_pool(job.queue.service)
        effects += nominations.nominate_workers(
            step, pool.candidates, budget, now
        )
    return effects


def _start_step(
    job: state.Job, step: state.StepState, scheduling_pass: SchedulingPass
) -> dispatch.Effects:
    """Starts waiting tasks of a step until no worker can run one.

    All tasks of a step request the same amount, and each start reduces the free
    capacity. Once a task is rejected, the tasks after it would be rejected as
    well. The tasks that have waited longest come first, so no task after a
    rejected one can be starved unless the rejected one is, or less selective.
    """
    effects: dispatch.Effects = []
    batch, partition, now = (
        scheduling_pass.batch,
        scheduling_pass.partition,
        scheduling_pass.now,
    )
    pool = scheduling_pass.get_pool(job.queue.service)
    if not step.step.fills and pool.is_rejected(step.step, starved=False):
        _mark_unplaced(step, now)
        return []
    for task in list(step.runnable.values()):
        if not scheduling_pass.starts_left:
            return effects
        # Interference keeps only opportunistic tasks from a worker.
        starved = step.step.fills and is_starved(task, now)
        selective = step.step.fills and is_selective(task, now)
        if pool.is_rejected(step.step, starved=starved, selective=selective):
            break
        chosen = placement.choose_candidate(
            task,
            pool.candidates,
            batch.interference,
            now,
            starved=starved,
            selective=selective,
        )
        if chosen is None:
            pool.record_rejection(
                step.step, starved=starved, selective=selective
            )
            break
        effects += start(batch, partition, chosen.worker, task, now)
        scheduling_pass.starts_left -= 1
        chosen.refresh()
        if task in chosen.nominated_tasks:
            chosen.nominated_tasks.remove(task)
        if task.run is not None:
            task.run.forced = starved
        if step.step.fills:
            scheduling_pass.opportunistic_workers.add(
                chosen.worker.entry.worker_id
            )
    _mark_unplaced(step, now)
    return effects


def _start_trials(
    startable: list[state.Job], scheduling_pass: SchedulingPass
) -> dispatch.Effects:
    """Starts long-running tasks on trial on suspended workers."""
    effects: dispatch.Effects = []
    batch, partition, now = (
        scheduling_pass.batch,
        scheduling_pass.partition,
        scheduling_pass.now,
    )
    for trial in trials.choose_trials(partition, startable, now):
        if not scheduling_pass.starts_left:
            break
        suspension = trial.worker.suspension
        assert suspension is not None
        suspension.tried_at = now
        effects += start(batch, partition, trial.worker, trial.task, now)
        scheduling_pass.starts_left -= 1
    return effects


def _mark_unplaced(step: state.StepState, now: float) -> None:
    """Records since when no worker was found for the waiting tasks of a step.

    Keeps the time of tasks for which it is already recorded.
    """
    for task in reversed(step.runnable.values()):
        # The time was recorded for this task together with all tasks before it,
        # which began to wait earlier.
        if task.unplaced_since is not None:
            break
        task.unplaced_since = now


def is_starved(task: state.Task, now: float) -> bool:
    """Returns whether a task has waited too long while no task of its job runs.

    Such an opportunistic task may start beside serving tasks that it disturbs.
    """
    if task.unplaced_since is None or now - task.unplaced_since < STARVATION_S:
        return False
    return not any(_may_have_run(step) for step in task.job.steps)


def is_selective(task: state.Task, now: float) -> bool:
    """Returns whether an opportunistic task still waits for a good worker."""
    return (
        task.unplaced_since is None or now - task.unplaced_since < SELECTION_S
    )


def _may_have_run(step: state.StepState) -> bool:
    """Returns whether a run of any task of a step may exist."""
    if step.unblocked:
        return len(step.runnable) < len(step.unfinished)
    return any(task.run is not None for task in step.unfinished.values())


def sort_startable_jobs(
    batch: state.Batch, partition: state.Partition, now: float
) -> list[state.Job]:
    """Returns the jobs that have tasks to start, in the order to start them.

    They are ordered by the priority of their queue, by whether their objective
    can still be met, and by arrival.
    """
    progress = former_runs.check_progress(partition, now)
    startable = [
        job
        for job in partition.jobs.values()
        if _has_runnable_task(job) and may_start(batch, job, progress)
    ]
    startable.sort(
        key=lambda job: (
            job.queue.priority,
            objectives.classify(job, now),
            job.create_revision,
        )
    )
    return startable


def may_start(
    batch: state.Batch, job: state.Job, progress: former_runs.Progress
) -> bool:
    """Returns whether tasks of a job may be started.

    None are started while the job is being moved to another partition, while
    runs that former owners started may exist, and after runs have ended by the
    silence of their worker until the ownership is confirmed.

    Args:
        batch: State of this instance.
        job: The job.
        progress: How far the wait for the runs of former owners has come.
    """
    if job.final_state is not None or job.move_in_flight:
        return False
    if not tenure.was_confirmed_since(batch, job.runs_lost_at):
        return False
    return progress.allows(job)


def _has_runnable_task(job: state.Job) -> bool:
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
    """Starts a task on a worker.

    Creates the run, reserves its resources and sends the start. Does nothing if
    the worker's clock, by which the lease of the start ends, is unknown.
    """
    run_key = (task.name, task.next_run_number)
    lease_end_ms = leases.extend(worker, run_key, leases.START_LEASE_S, now)
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
    task.nomination = None
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
    command = worker_messages.StartRun(
        worker.target,
        partition.name,
        partition.token,
        task.name,
        run.number,
        job.record.spec,
        lease_end_ms,
        task.checkpoint,
    )
    return [log, command]


def reserve(worker: state.Worker, run: state.Run) -> None:
    """Adds a run to a worker and reserves its resources there."""
    worker.runs[(run.task.name, run.number)] = run
    _update_reservations(worker, run, 1)


def release(worker: state.Worker, run: state.Run) -> None:
    """Removes a run that has ended from a worker and frees its resources."""
    if worker.runs.pop((run.task.name, run.number), None) is not None:
        _update_reservations(worker, run, -1)


def _update_reservations(
    worker: state.Worker, run: state.Run, sign: int
) -> None:
    """Adds the resources of a run to a worker's totals or subtracts them.

    Args:
        worker: The worker.
        run: The run.
        sign: 1 to add, -1 to subtract.
    """
    step = run.task.step
    amount = placement.find_reserved_amount(step)
    if step.fills:
        worker.opportunistic_cpu_millis += sign * step.amount.cpu_millis
        worker.paced_cpu_millis += sign * run.count_paced_cpu()
    if sign > 0:
        worker.reserved = worker.reserved.plus(amount)
    else:
        worker.reserved = worker.reserved.minus(amount)
    if step.tail_target_ms:
        worker.serving_cpu_millis += sign * step.amount.cpu_millis


def remove_run(worker: state.Worker, run: state.Run) -> None:
    """Removes a run that has ended; its task is queued again unless done.

    A start that got no answer may still reach the worker and be carried out, so
    it is kept among the abandoned starts for as long as that is possible.
    """
    release(worker, run)
    if run.start_unanswered_at is not None and run.started_clock_ms is None:
        key = (run.task.name, run.number)
        worker.abandoned_starts[key] = run.started_at + leases.LATE_COMMAND_S
    if run.task.run is run:
        jobs.requeue(run.task)
