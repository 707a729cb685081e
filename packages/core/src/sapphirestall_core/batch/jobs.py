"""Jobs of a partition: their tasks, progress and final states."""

from __future__ import annotations

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state

PART = "jobs"
# The run numbers of each owner of a partition begin this much higher than those
# of the owner before it, so that they are above those of all former owners.
RUN_NUMBERS_PER_OWNER = 10_000


def build_job(
    loaded: state.LoadedJob,
    progress: state.LoadedProgress | None,
    queue: model.Queue,
    partition: state.Partition,
    wall_clock_offset_s: float,
    now: float,
) -> state.Job:
    """Builds the part of a job that a partition runs.

    Tasks whose steps are unblocked become runnable.

    Args:
        loaded: The job's record.
        progress: The job's progress record; None if there is none.
        queue: The job's queue in the newest configuration.
        partition: The partition.
        wall_clock_offset_s: Wall-clock time minus monotonic time, in seconds.
        now: Monotonic time, in seconds.
    """
    record = loaded.record
    job = state.Job(
        record,
        queue,
        loaded.revision,
        loaded.create_revision,
        [],
        accepted_at=min(now, record.accepted_ms / 1000 - wall_clock_offset_s),
    )
    job.progress_revision = progress.revision if progress else 0
    # Numbers also rise where a former owner may have sent a start, or not.
    job.start_sent = progress is not None or record.first_number > 1
    job.start_confirmed = progress is not None or record.has_started
    for number, step in enumerate(record.steps):
        step_progress = progress.record.steps[number] if progress else None
        job.steps.append(
            _build_step(job, number, step, step_progress, partition)
        )
    unblock_steps(job)
    return job


def _build_step(
    job: state.Job,
    number: int,
    step: model.Step,
    progress: records.StepProgress | None,
    partition: state.Partition,
) -> state.StepState:
    step_state = state.StepState(step, {})
    step_state.done = set(progress.done) if progress else set()
    for index in range(step.count):
        if index in step_state.done:
            continue
        first_number = find_first_run_number(
            job.record, number, index, partition
        )
        if first_number is None:
            continue
        name = model.TaskName(job.record.job_id, 0, number, index)
        task = state.Task(job, name, step, next_run_number=first_number)
        if progress:
            task.failed_run_numbers = set(progress.failed.get(str(index), ()))
            task.checkpoint = progress.checkpoints.get(str(index), "")
        step_state.unfinished[index] = task
    return step_state


def find_first_run_number(
    record: records.JobRecord,
    step: int,
    index: int,
    partition: state.Partition,
) -> int | None:
    """Returns the lowest number that the next run of a task may have.

    Args:
        record: Record of the job.
        step: Index of the step.
        index: Index of the task in the step.
        partition: The partition.

    Returns:
        The number, or None if another partition runs the task.
    """
    # The offset of the generation keeps run numbers above those of all former
    # owners of this partition. The record's number keeps them above those of
    # the partition that the task was moved from.
    own = (partition.generation - 1) * RUN_NUMBERS_PER_OWNER
    moved = record.moved.get(records.make_task_key(step, index))
    if moved is None:
        if record.partition != partition.name:
            return None
        return own + record.first_number
    if moved.partition != partition.name:
        return None
    return own + moved.first_number


def update_job(
    job: state.Job, loaded: state.LoadedJob, partition: state.Partition
) -> None:
    """Applies a newer record of a job: adds and removes moved tasks."""
    job.record = loaded.record
    job.revision = loaded.revision
    job.start_confirmed |= loaded.record.has_started
    for number, step in enumerate(job.steps):
        if not step.step.long_running:
            continue
        for index in range(step.step.count):
            first_number = find_first_run_number(
                job.record, number, index, partition
            )
            task = step.unfinished.get(index)
            if first_number is None and task is not None and task.run is None:
                step.unfinished.pop(index)
                step.runnable.pop(index, None)
            elif first_number is not None and task is None:
                name = model.TaskName(job.record.job_id, 0, number, index)
                task = state.Task(
                    job, name, step.step, next_run_number=first_number
                )
                step.unfinished[index] = task
                requeue(task)


def unblock_steps(job: state.Job) -> bool:
    """Makes the tasks of each step runnable whose preceding steps are done.

    Returns:
        Whether a step was unblocked.
    """
    unblocked = False
    for step in job.steps:
        if step.unblocked or any(
            job.steps[i].unfinished for i in step.step.after
        ):
            continue
        step.unblocked = True
        unblocked = True
        for index, task in step.unfinished.items():
            if task.run is None:
                step.runnable[index] = task
    return unblocked


def find_unfinished_task(
    partition: state.Partition, name: model.TaskName
) -> state.Task | None:
    """Returns the unfinished task with a name.

    Returns:
        The task, or None if it is done or unknown, or if its job has ended.
    """
    job = partition.jobs.get(name.job_id)
    if (
        job is None
        or job.final_state is not None
        or name.step >= len(job.steps)
    ):
        return None
    return job.steps[name.step].unfinished.get(name.index)


def requeue(task: state.Task) -> None:
    """Makes a task runnable again after its run has ended."""
    task.run = None
    step = task.job.steps[task.name.step]
    if step.unblocked and task.name.index in step.unfinished:
        step.runnable[task.name.index] = task


def finish_task(task: state.Task) -> bool:
    """Records that a task is done.

    Returns:
        Whether the job is completed by it.
    """
    job = task.job
    step = job.steps[task.name.step]
    step.unfinished.pop(task.name.index, None)
    step.runnable.pop(task.name.index, None)
    step.done.add(task.name.index)
    if not step.unfinished:
        unblock_steps(job)
    if any(other.unfinished or other.step.long_running for other in job.steps):
        return False
    job.final_state = model.JobState.COMPLETED
    return True


def record_failed_run(
    task: state.Task, end: model.EndedRun, worker_id: str
) -> bool:
    """Records a failed run of a task.

    Returns:
        Whether the job has failed because of it.
    """
    task.failed_run_numbers.add(end.number)
    task.failed_worker_ids.add(worker_id)
    if task.step.long_running:
        return False
    if len(task.failed_run_numbers) < task.job.queue.max_attempts:
        return False
    task.job.final_state = model.JobState.FAILED
    return True


def make_progress(job: state.Job) -> records.ProgressRecord:
    """Returns the progress record of a job."""
    return records.ProgressRecord(
        tuple(_make_step_progress(step) for step in job.steps)
    )


def _make_step_progress(step: state.StepState) -> records.StepProgress:
    failed = {
        str(index): tuple(sorted(task.failed_run_numbers))
        for index, task in step.unfinished.items()
        if task.failed_run_numbers and not step.step.long_running
    }
    checkpoints = {
        str(index): task.checkpoint
        for index, task in step.unfinished.items()
        if task.checkpoint
    }
    return records.StepProgress(tuple(sorted(step.done)), failed, checkpoints)


def make_final_writes(
    state_record: records.StateRecord,
    job_id: str,
    final: model.JobState,
    wall_clock_ms: int,
) -> tuple[list[store_messages.Put], list[str]]:
    """Returns the writes and removals that store the final state of a job.

    Args:
        state_record: The job's state before its end.
        job_id: Id of the job.
        final: Final state.
        wall_clock_ms: Wall-clock time, in Unix milliseconds.

    Returns:
        The keys to write and the keys to remove.
    """
    final_record = attrs.evolve(
        state_record, state=final, copies=(), ended_ms=wall_clock_ms
    )
    ended_record = records.EndedRecord(wall_clock_ms)
    puts = [
        store_messages.Put(records.make_state_key(job_id), final_record),
        store_messages.Put(
            records.make_ended_key(state_record.partition, job_id), ended_record
        ),
    ]
    removals = [
        records.make_job_key(name, job_id) for name in state_record.copies
    ]
    removals.append(records.make_progress_key(state_record.partition, job_id))
    return puts, removals


def make_log(text: str, job_id: str, **fields: object) -> messages.Log:
    """Returns a log line about a job."""
    return messages.Log(PART, text, {"job": job_id, **fields})
