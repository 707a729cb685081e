"""Long-running tasks that have no run."""

from collections.abc import Iterable

from sapphirestall_core.batch import state


def list_long_running(jobs: Iterable[state.Job]) -> list[state.Task]:
    """Returns the long-running tasks without a run, in the order of the jobs.

    Args:
        jobs: Jobs of a partition. Those that have ended are ignored.
    """
    return [
        task
        for job in jobs
        if job.final_state is None
        for step in job.steps
        if step.step.long_running
        for task in step.runnable.values()
    ]
