"""Choice of a partition for a job that moves as a whole.

A job moves with its progress once no run of it can exist.
"""

import attrs

from sapphirestall_core.batch import model
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import records
from sapphirestall_core.batch import routing
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summary_capacity


def list_waiting_steps(job: state.Job) -> tuple[model.Step, ...]:
    """Returns the steps of a job that have tasks which wait for a worker."""
    return tuple(step.step for step in job.steps if step.runnable)


def is_idle(partition: state.Partition, job: state.Job) -> bool:
    """Returns whether a job has no runs and all its progress is stored."""
    if not job.start_sent:
        return True
    if job.record.job_id in partition.dirty_jobs or partition.commit_in_flight:
        return False
    return not any(
        task.run is not None
        for step in job.steps
        for task in step.unfinished.values()
    )


def plan_move(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
) -> records.JobRecord | None:
    """Chooses another partition for a job as a whole.

    Args:
        batch: State of this instance.
        partition: Partition that has the job.
        job: The job.
        others: Summaries of the other partitions that can run the job.

    Returns:
        The changed record; None if no other partition is better.
    """
    if partition.name not in batch.summaries or not others:
        return None
    # A job that has not started has to fit as a whole.
    candidates = list_waiting_steps(job) if job.start_sent else job.record.steps
    step = max(candidates, key=lambda step: step.count * step.amount.cpu_millis)
    if not step.fills:
        target = _choose_roomiest(job, step, others)
    elif _is_too_large(batch, partition, job, step):
        target = _choose_least_loaded_with_room(batch, job, step, others)
    else:
        target = _choose_less_loaded(batch, partition, job, others)
    if target is None:
        return None
    routing.deduct_job(batch, target, job.record.steps, job.queue.service)
    # Former owners may have started tasks of an older job without a sign.
    if not job.start_sent and job.create_revision >= partition.token:
        return attrs.evolve(job.record, partition=target)
    # Runs in the new partition get higher numbers than all runs in this one.
    first_number = max(
        task.next_run_number
        for step in job.steps
        for task in step.unfinished.values()
    )
    return attrs.evolve(
        job.record,
        partition=target,
        first_number=first_number,
        has_progress=job.progress_revision > 0,
        has_started=job.start_confirmed,
    )


def _estimate_loads(
    batch: state.Batch,
    job: state.Job,
    summaries: dict[str, records.SummaryRecord],
) -> dict[str, float]:
    """Returns the load of each partition for a job."""
    steps = job.record.steps
    return {
        name: routing.estimate_load(batch.division, name, summary, steps)
        for name, summary in summaries.items()
    }


def _choose_less_loaded(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    others: dict[str, records.SummaryRecord],
) -> str | None:
    """Chooses a partition for a job with opportunistic tasks.

    Returns:
        The partition; None if this one can run the job and its load is not
        clearly higher.
    """
    steps = job.record.steps
    loads = _estimate_loads(batch, job, others)
    target = routing.choose_by_load(loads, job.record.job_id)
    own_summary = batch.summaries[partition.name]
    if not routing.can_run(own_summary, job.queue.service, steps):
        return target
    current_load = routing.estimate_load(
        batch.division, partition.name, own_summary, steps
    )
    advantage = current_load - loads[target]
    return target if advantage > routing.MIN_LOAD_ADVANTAGE else None


def _is_too_large(
    batch: state.Batch,
    partition: state.Partition,
    job: state.Job,
    step: model.Step,
) -> bool:
    """Returns whether no worker here can hold a task of a step, free or not.

    Does not hold if there is no worker for the step at all.
    """
    service = job.queue.service
    if not routing.can_run(batch.summaries[partition.name], service, (step,)):
        return False
    amount = placement.find_reserved_amount(step)
    return not any(
        worker.is_registered
        and not worker.entry.draining
        and worker.entry.service == service
        and (
            not step.required_label
            or step.required_label in worker.entry.labels
        )
        and amount.fits(worker.entry.capacity)
        for worker in partition.workers.values()
    )


def _choose_least_loaded_with_room(
    batch: state.Batch,
    job: state.Job,
    step: model.Step,
    others: dict[str, records.SummaryRecord],
) -> str | None:
    """Chooses a partition with room for tasks that no worker here can hold.

    Returns:
        The partition; None if none has room for a task.
    """
    # Opportunistic tasks reserve no processors.
    reserving = attrs.evolve(step, amount=placement.find_reserved_amount(step))
    fitting = {
        name: summary
        for name, summary in others.items()
        if summary_capacity.count_fitting_tasks(
            summary, job.queue.service, reserving, 1
        )
    }
    loads = _estimate_loads(batch, job, fitting)
    return routing.choose_by_load(loads, job.record.job_id) if loads else None


def _choose_roomiest(
    job: state.Job, step: model.Step, others: dict[str, records.SummaryRecord]
) -> str | None:
    """Chooses the partition with free capacity for most tasks of a step.

    Returns:
        The partition; None if none has free capacity for a task.
    """
    fitting = {
        name: summary_capacity.count_fitting_tasks(
            summary, job.queue.service, step, step.count
        )
        for name, summary in others.items()
    }
    target = max(fitting, key=lambda name: fitting[name])
    return target if fitting[target] else None
