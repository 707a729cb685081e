"""Moves of opportunistic runs whose pace stays low to other workers.

A run that works at a low pace holds memory on its worker, and may disturb no
serving task on another one. It is stopped there, and its task starts again on
the worker that placement chooses then.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import interference as interference_module
from sapphirestall_core.batch import placement
from sapphirestall_core.batch import state

PART = "pacing"
# A run whose pace was at or below `RELOCATION_PERCENT` for this time, in
# seconds, moves to another worker: it holds memory here and may disturb no
# serving task there. At most one run of a worker moves in each adjustment.
RELOCATION_PERCENT = 35
RELOCATION_DELAY_S = 1.0
# A run that saves no checkpoints loses its work by a move. It moves only if its
# progress is below this percentage, or after it had a low pace for this time.
LOW_PROGRESS_PERCENT = 15
FORCED_RELOCATION_DELAY_S = 3.0


def record_pace(run: state.Run, pace: int, now: float) -> None:
    """Records since when the pace of a run has been low.

    Args:
        run: The run.
        pace: Its pace from now on, in percent.
        now: Monotonic time, in seconds.
    """
    is_low = pace <= RELOCATION_PERCENT
    run.low_pace_since = (run.low_pace_since or now) if is_low else None


def relocate(
    partition: state.Partition,
    worker: state.Worker,
    interference: interference_module.InterferenceModel,
    now: float,
) -> dispatch.Effects:
    """Stops the run that had a low pace for longest, to move it elsewhere.

    The run continues if no other worker can run its task: a stopped task would
    only wait. A stop leaves a checkpoint if the step of the task saves any, so
    that a move costs the stop, the restore and the wait for a start.
    """
    slow_runs = [
        run
        for run in worker.runs.values()
        if run.low_pace_since is not None
        and now - run.low_pace_since >= RELOCATION_DELAY_S
        and run.phase is state.RunPhase.RUNNING
        and not run.forced
        and (
            run.task.step.checkpointing
            or run.progress_percent < LOW_PROGRESS_PERCENT
            or now - run.low_pace_since >= FORCED_RELOCATION_DELAY_S
        )
    ]
    if not slow_runs:
        return []
    run = min(slow_runs, key=lambda run: run.low_pace_since or now)
    others = (
        other
        for name, other in partition.workers.items()
        if other is not worker and name in partition.roster
    )
    service = run.task.job.queue.service
    target = placement.choose_worker(
        run.task, others, service, interference, now, selective=True
    )
    if target is None:
        return []
    fields = {
        "worker": worker.entry.worker_id,
        "to": target.entry.worker_id,
        "job": run.task.name.job_id,
        "task": f"{run.task.name.step}.{run.task.name.index}",
        "pace": run.pace_percent,
        "percent": run.progress_percent,
    }
    log = messages.Log(PART, "relocate", fields)
    return [log, *commands.stop(partition, worker, run, now)]
