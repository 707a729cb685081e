"""What is known of each job, from callers' calls and workers' runs."""

import time

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from soak import workload as work


@attrs.frozen
class Violation:
    """A promise that was broken.

    Attributes:
        wall_s: Time of day, as the logs of the processes show it.
    """

    promise: str
    job_id: str
    text: str
    at: float
    wall_s: float


@attrs.define(eq=False)
class Run:
    """A run on a worker.

    Attributes:
        seen_at: When its start was observed.
    """

    worker_id: str
    task: model.TaskName
    number: int
    amount: resources.Vector
    sender: str
    seen_at: float


@attrs.define(eq=False)
class TaskFacts:
    """What is known of a task.

    Attributes:
        done_at: When a run of it first ended as done.
        noted: Whether a worker was told to forget such an end.
        runs: Runs that go on, by worker.
        last_at: When its last run ended.
        failed: Failed runs, by whether they were noted.
        saved: Checkpoints that its runs have made.
        started_at: When its last run started.
    """

    done_at: float | None = None
    noted: bool = False
    runs: dict[str, Run] = attrs.field(factory=dict)
    last_at: float = 0.0
    failed: set[tuple[str, int]] = attrs.field(factory=set)
    failed_noted: set[tuple[str, int]] = attrs.field(factory=set)
    saved: set[str] = attrs.field(factory=set)
    started_at: float = 0.0


@attrs.define(eq=False)
class JobFacts:
    """What is known of a job.

    Attributes:
        open_attempts: Submissions that may have been accepted: in flight, or
            without an answer.
        accepted_at: When a submission was first answered as accepted.
        refused: Number of submissions that were refused.
        cancel_sent_at: When its cancellation was first sent.
        cancelled_at: When a cancellation was confirmed.
        shown: Last state that a caller was shown.
        ended_at: When a final state was first shown.
        started_at: When its first task started.
        idle_since: Since when nothing runs though something could.
    """

    job: work.Job
    open_attempts: int = 0
    accepted_at: float | None = None
    refused: int = 0
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    shown: str = ""
    ended_at: float | None = None
    started_at: float | None = None
    idle_since: float | None = None
    tasks: dict[tuple[int, int], TaskFacts] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Adds an entry for each task."""
        for number, step in enumerate(self.job.steps):
            for index in range(step.count):
                self.tasks[(number, index)] = TaskFacts()

    def is_step_done(self, number: int) -> bool:
        """Tells whether all tasks of a step have ended as done."""
        return all(
            facts.done_at is not None
            for (step, _), facts in self.tasks.items()
            if step == number
        )

    def is_released(self, number: int) -> bool:
        """Tells whether the tasks of a step may start."""
        after = self.job.steps[number].after
        return all(self.is_step_done(earlier) for earlier in after)


@attrs.define(eq=False)
class Ledger:
    """All jobs of a run, and the promises that were broken."""

    jobs: dict[str, JobFacts] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    starts: int = 0
    checks: int = 0

    def add(self, job: work.Job) -> JobFacts:
        """Adds a job before it is handed in."""
        facts = self.jobs[job.job_id] = JobFacts(job)
        return facts

    def find_step(self, task: model.TaskName) -> model.Step | None:
        """Returns the step of a task; None if nobody handed it in."""
        facts = self.jobs.get(task.job_id)
        if facts is None or (task.step, task.index) not in facts.tasks:
            return None
        return facts.job.steps[task.step]

    def find_work(self, task: model.TaskName) -> float:
        """Returns how long a task takes, in seconds."""
        step = self.find_step(task)
        return work.find_work(task, step) if step else 0.0

    def break_promise(self, promise: str, job_id: str, text: str) -> None:
        """Notes that a promise was broken."""
        self.violations.append(
            Violation(promise, job_id, text, time.monotonic(), time.time())
        )
