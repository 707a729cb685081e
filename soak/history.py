"""History of the jobs of a soak, as callers and workers observe them.

Times are monotonic and in seconds unless said otherwise.
"""

import time

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from soak import workload


@attrs.frozen
class Violation:
    """A violation of a guarantee.

    Attributes:
        guarantee: Name of the guarantee.
        job_id: Id of the job; empty if the violation does not concern one.
        text: Description of the violation.
        at: Time at which it was found.
        wall_s: Wall-clock time at which it was found, in seconds; the logs of
            the processes show the same clock.
    """

    guarantee: str
    job_id: str
    text: str
    at: float
    wall_s: float


@attrs.define(eq=False)
class Run:
    """A run of a task on a worker.

    Attributes:
        worker_id: Id of the worker.
        task: Name of the task.
        number: Number of the run.
        amount: Resources that the run reserves.
        sender: Instance that started it.
        started_at: When the worker started it.
    """

    worker_id: str
    task: model.TaskName
    number: int
    amount: resources.Vector
    sender: str
    started_at: float


@attrs.define(eq=False)
class TaskHistory:
    """History of a task.

    Attributes:
        done_at: When the first run was done; None if none was.
        acknowledged: Whether an instance has acknowledged that a run was done.
        runs: Current runs, by worker id.
        last_ended_at: When the most recent run ended.
        failed_runs: Failed runs, as worker id and number.
        acknowledged_failed_runs: Failed runs that were acknowledged.
        checkpoints: Checkpoints that its runs have saved.
        started_at: When the most recent run started.
        waiting_since: Since when the task could start but does not; None if it
            runs or could not start.
    """

    done_at: float | None = None
    acknowledged: bool = False
    runs: dict[str, Run] = attrs.field(factory=dict)
    last_ended_at: float = 0.0
    failed_runs: set[tuple[str, int]] = attrs.field(factory=set)
    acknowledged_failed_runs: set[tuple[str, int]] = attrs.field(factory=set)
    checkpoints: set[str] = attrs.field(factory=set)
    started_at: float = 0.0
    waiting_since: float | None = None


@attrs.define(eq=False)
class JobHistory:
    """History of a job.

    Attributes:
        job: The job as it was submitted.
        open_attempts: Number of submissions that may have been accepted: those
            in flight and those without a definite answer.
        accepted_at: When a submission was first accepted.
        refusals: Number of refused submissions.
        cancel_sent_at: When a cancellation was first sent.
        cancelled_at: When a cancellation was confirmed.
        shown_state: State that a caller was last shown; empty if none.
        ended_at: When a caller was first shown a final state.
        started_at: When the first task started.
        idle_since: Since when a task could start but does not; None if there is
            no such task.
        tasks: Histories of the tasks, by step and index.
    """

    job: workload.Job
    open_attempts: int = 0
    accepted_at: float | None = None
    refusals: int = 0
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    shown_state: str = ""
    ended_at: float | None = None
    started_at: float | None = None
    idle_since: float | None = None
    tasks: dict[tuple[int, int], TaskHistory] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Adds an empty history for each task."""
        for number, step in enumerate(self.job.steps):
            for index in range(step.count):
                self.tasks[(number, index)] = TaskHistory()

    def is_step_done(self, number: int) -> bool:
        """Returns whether all tasks of a step are done."""
        return all(
            task.done_at is not None
            for (step, _), task in self.tasks.items()
            if step == number
        )

    def is_released(self, number: int) -> bool:
        """Returns whether the steps before a step are done."""
        after = self.job.steps[number].after
        return all(self.is_step_done(earlier) for earlier in after)


@attrs.define(eq=False)
class History:
    """History of all jobs of a soak.

    Attributes:
        jobs: Histories of the jobs, by id.
        violations: Violations of guarantees, in the order of their discovery.
        starts: Number of runs that workers have started.
    """

    jobs: dict[str, JobHistory] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    starts: int = 0

    def add(self, job: workload.Job) -> JobHistory:
        """Adds a job that is about to be submitted."""
        job_history = self.jobs[job.job_id] = JobHistory(job)
        return job_history

    def find_step(self, task: model.TaskName) -> model.Step | None:
        """Returns the step of a task; None if the task was not submitted."""
        job_history = self.jobs.get(task.job_id)
        if (
            job_history is None
            or (task.step, task.index) not in job_history.tasks
        ):
            return None
        return job_history.job.steps[task.step]

    def find_duration(self, task: model.TaskName) -> float:
        """Returns the duration of a task, in seconds; 0 if it is unknown."""
        step = self.find_step(task)
        return workload.compute_duration(task, step) if step else 0.0

    def report_violation(self, guarantee: str, job_id: str, text: str) -> None:
        """Records a violation of a guarantee.

        Args:
            guarantee: Name of the guarantee.
            job_id: Id of the job; empty if the violation does not concern one.
            text: Description of the violation.
        """
        self.violations.append(
            Violation(guarantee, job_id, text, time.monotonic(), time.time())
        )
