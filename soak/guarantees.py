"""Guarantees that are checked during a soak.

The checks use only what callers, workers and the operator observe. Times are
monotonic and in seconds.
"""

import functools

import attrs

from sapphirestall_core import resources
from sapphirestall_core.batch import model
from sapphirestall_standins import caller_client
from sapphirestall_standins import observations
from soak import disturbances as disturbances_module
from soak import history as history_module
from soak import workload

# Time limits of the platform's rules:
# From the confirmation of a job's cancellation to its last start, and to the
# commands that stop its runs.
CANCEL_LIMIT_S = 3.0
# From the command that stops a run to its end.
STOP_LIMIT_S = 0.4
# From a worker's announcement that it drains to the last start on it.
DRAIN_LIMIT_S = 2.0
# Longest time for which no task of a job runs though one could start.
IDLE_LIMIT_S = 3.0
# The same for each task of a long-running job, even if other tasks of it run.
LONG_RUNNING_IDLE_LIMIT_S = 6.0
# From the end of the last run of a long-running task until the idle time counts
# that is not due to a disturbance; planned work is none.
RESTART_LIMIT_S = 6.0

# Time before an idle period in which there must be no disturbance either.
IDLE_MARGIN_S = 4.0
# Time after which an accepted job must be counted as pending. The count that an
# instance shows may be 2 s old.
COUNT_DELAY_S = 5.0
# A start that was sent before its instance learned of the job's end may arrive
# this much later.
START_DELIVERY_S = 1.0
FINAL_STATES = ("completed", "failed", "cancelled")
NO_AMOUNT = resources.Vector()


@attrs.define(eq=False)
class Checker:
    """Checks the guarantees against the history of a soak.

    Attributes:
        history: History of all jobs; receives the violations.
        disturbances: Disturbances that faults cause, by party.
        entries: Current entries of the workers, by id.
        runs: Current runs of each worker, by task and number.
        ends: Ended runs of each worker that were not acknowledged.
        senders: First sender of each fencing token, by worker and token.
        drained_at: When workers announced that they drain, by worker.
    """

    history: history_module.History
    disturbances: disturbances_module.Disturbances
    entries: dict[str, model.WorkerEntry] = attrs.field(factory=dict)
    runs: dict[str, dict[tuple[model.TaskName, int], history_module.Run]] = (
        attrs.field(factory=dict)
    )
    ends: dict[str, list[observations.RunEnded]] = attrs.field(factory=dict)
    senders: dict[tuple[str, int], str] = attrs.field(factory=dict)
    drained_at: dict[str, float] = attrs.field(factory=dict)

    def sum_reserved(self, worker_id: str) -> resources.Vector:
        """Returns the resources that the runs of a worker reserve."""
        total = NO_AMOUNT
        for run in self.runs.get(worker_id, {}).values():
            total = total.plus(run.amount)
        return total

    def was_undisturbed(self, sender: str, at: float) -> bool:
        """Returns whether an instance and the store had recovered at a time."""
        return self.disturbances.was_undisturbed(
            at, at, sender, margin_s=disturbances_module.RECOVERY_S
        )

    def record_submission(
        self,
        job_history: history_module.JobHistory,
        answer: caller_client.Answer,
        now: float,
    ) -> None:
        """Records the answer to a submission and checks it.

        Args:
            job_history: History of the job.
            answer: The answer, or its absence.
            now: Time at which the call ended.
        """
        if answer.outcome is not caller_client.Outcome.UNDECIDED:
            job_history.open_attempts -= 1
        if answer.outcome is caller_client.Outcome.OK:
            job_history.accepted_at = job_history.accepted_at or now
        elif answer.outcome is caller_client.Outcome.REFUSED:
            job_history.refusals += 1
            self.check_refused(job_history)
        elif answer.outcome is not caller_client.Outcome.UNDECIDED:
            self._report(
                job_history,
                "submissions get a valid answer",
                f"submission got {answer.detail}",
            )

    def check_refused(self, job_history: history_module.JobHistory) -> None:
        """Checks that a job has not started if all submissions were refused."""
        if (
            job_history.started_at is not None
            and job_history.refusals
            and not job_history.open_attempts
            and job_history.accepted_at is None
        ):
            self._report(
                job_history, "refused jobs never start", "it has started"
            )

    def record_state(
        self,
        job_history: history_module.JobHistory,
        answer: caller_client.Answer,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the answer to a query of a job's state and checks it.

        Args:
            job_history: History of the job.
            answer: The answer, or its absence.
            sent_at: Time at which the query was sent.
            now: Time at which the call ended.
        """
        if answer.outcome is caller_client.Outcome.GONE:
            if job_history.accepted_at and job_history.accepted_at < sent_at:
                self._report(
                    job_history, "accepted jobs stay known", answer.detail
                )
            return
        if answer.outcome is not caller_client.Outcome.OK:
            return
        shown = answer.state
        if (
            job_history.shown_state in FINAL_STATES
            and shown != job_history.shown_state
        ):
            # An answer to an earlier query may arrive later and show a state
            # that is not final.
            text = f"shown as {job_history.shown_state}, then as {shown}"
            if shown in FINAL_STATES or sent_at > (job_history.ended_at or now):
                self._report(job_history, "final states do not change", text)
            return
        job_history.shown_state = shown
        if shown in FINAL_STATES:
            job_history.ended_at = job_history.ended_at or now
            self._check_final(job_history, shown)

    def _check_final(
        self, job_history: history_module.JobHistory, shown: str
    ) -> None:
        if shown == "completed":
            missing = [
                name
                for name, task in job_history.tasks.items()
                if task.done_at is None
            ]
            if missing:
                self._report(
                    job_history,
                    "completed jobs are done",
                    f"not done: {missing}",
                )
        elif shown == "failed":
            max_failed = max(
                len(task.failed_runs) for task in job_history.tasks.values()
            )
            if max_failed < workload.MAX_ATTEMPTS:
                self._report(
                    job_history,
                    "failed jobs have used all attempts",
                    f"{max_failed} runs failed",
                )
        elif job_history.cancel_sent_at is None:
            self._report(
                job_history,
                "cancelled jobs were cancelled by a caller",
                "no caller cancelled it",
            )

    def check_pending(
        self, queue: str, count: int, sender: str, sent_at: float
    ) -> None:
        """Checks the number of pending jobs that an instance has shown.

        It must be at least half of the number of jobs that certainly are
        pending.

        Args:
            queue: Name of the queue.
            count: Number of jobs of which no task has started.
            sender: Instance that has shown the number.
            sent_at: Time at which the query was sent.
        """
        if not self.was_undisturbed(sender, sent_at):
            return
        pending = [
            job_history
            for job_history in self.history.jobs.values()
            if job_history.job.queue.name == queue
            and job_history.accepted_at
            and sent_at - job_history.accepted_at > COUNT_DELAY_S
            and job_history.started_at is None
            and job_history.cancel_sent_at is None
            and job_history.ended_at is None
        ]
        if count * 2 < len(pending):
            text = f"{sender} counts {count} of {len(pending)} in {queue}"
            self.history.report_violation("pending jobs are counted", "", text)

    def check_time_limits(self, now: float) -> None:
        """Checks the guarantees that contain a time limit."""
        for job_history in self.history.jobs.values():
            self._check_cancelled(job_history, now)
            self._check_idle(job_history, now)
            if job_history.job.is_long_running:
                self._check_restarts(job_history, now)

    def _check_cancelled(
        self, job_history: history_module.JobHistory, now: float
    ) -> None:
        if job_history.cancelled_at is None:
            return
        for task in job_history.tasks.values():
            for run in list(task.runs.values()):
                since = max(job_history.cancelled_at, run.started_at)
                parties = (run.sender, run.worker_id)
                late_s = now - since - CANCEL_LIMIT_S - STOP_LIMIT_S
                if late_s > 0 and self.disturbances.was_undisturbed(
                    since, now, margin_s=disturbances_module.RECOVERY_S
                ):
                    text = f"{run.task} runs on {parties} {late_s:.2f} s late"
                    self._report(job_history, "cancelled tasks stop", text)
                    task.runs.pop(run.worker_id)

    def _check_idle(
        self, job_history: history_module.JobHistory, now: float
    ) -> None:
        limit_s = (
            LONG_RUNNING_IDLE_LIMIT_S
            if job_history.job.is_long_running
            else IDLE_LIMIT_S
        )
        period_start = now - limit_s
        if not (
            job_history.accepted_at
            and job_history.cancel_sent_at is None
            and job_history.ended_at is None
            and self._could_start(job_history)
            and self.disturbances.was_undisturbed(
                period_start, now, margin_s=IDLE_MARGIN_S
            )
        ):
            job_history.idle_since = None
            return
        job_history.idle_since = job_history.idle_since or max(
            now, job_history.accepted_at
        )
        if now - job_history.idle_since > limit_s:
            text = (
                f"nothing runs for {limit_s:g} s though there is free capacity"
            )
            self._report(job_history, "accepted jobs make progress", text)
            job_history.idle_since = None

    def _check_restarts(
        self, job_history: history_module.JobHistory, now: float
    ) -> None:
        """Checks that long-running tasks start again soon after a run.

        Planned work, such as the departure of a worker, allows no longer wait.
        """
        job = job_history.job
        is_open = (
            job_history.accepted_at
            and job_history.cancel_sent_at is None
            and job_history.ended_at is None
        )
        is_calm = self.disturbances.was_undisturbed(
            now - IDLE_LIMIT_S, now, margin_s=IDLE_MARGIN_S, except_planned=True
        )
        for (number, index), task in job_history.tasks.items():
            if (
                not (is_open and is_calm)
                or task.runs
                or not self._has_free_capacity(job.steps[number], job)
            ):
                task.waiting_since = None
                continue
            task.waiting_since = task.waiting_since or now
            last_run_at = max(
                task.last_ended_at, job_history.accepted_at or now
            )
            idle_from = max(task.waiting_since, last_run_at + RESTART_LIMIT_S)
            if now - idle_from > IDLE_LIMIT_S:
                text = f"{number}.{index} has no run since {last_run_at:.3f}"
                self._report(job_history, "tasks that last run again", text)
                task.waiting_since = None

    def _could_start(self, job_history: history_module.JobHistory) -> bool:
        """Returns whether a task that does not run has ample free capacity.

        If another task of the job runs, the result is false, unless the job is
        long-running.
        """
        for task in job_history.tasks.values():
            if task.runs and not job_history.job.is_long_running:
                return False
        return any(
            task.done_at is None
            and not task.runs
            and job_history.is_released(number)
            and self._has_free_capacity(
                job_history.job.steps[number], job_history.job
            )
            for (number, _), task in job_history.tasks.items()
        )

    def _has_free_capacity(self, step: model.Step, job: workload.Job) -> bool:
        """Returns whether a task of a step has ample free capacity.

        A worker with the required label must have twice the amount of a task
        free, and less than half of the service's processors may be reserved.
        """
        double_amount = step.amount.plus(step.amount)
        used = total = 0
        fits = False
        for worker_id, entry in self.entries.items():
            if entry.service != job.queue.service or entry.draining:
                continue
            reserved = self.sum_reserved(worker_id)
            used += reserved.cpu_millis
            total += entry.capacity.cpu_millis
            usable = step.required_label in ("", *entry.labels)
            free = entry.capacity.minus(reserved)
            fits = fits or usable and double_amount.fits(free)
        return fits and used * 2 < total

    def _report(
        self, job_history: history_module.JobHistory, guarantee: str, text: str
    ) -> None:
        self.history.report_violation(guarantee, job_history.job.job_id, text)


@functools.singledispatch
def observe(event: observations.Observation, checker: Checker) -> None:
    """Records what a worker observed and checks the guarantees concerned."""


@observe.register
def _(event: observations.CallAccepted, checker: Checker) -> None:
    if not event.sender:
        return
    key = (event.worker_id, event.token)
    first_sender = checker.senders.setdefault(key, event.sender)
    if first_sender != event.sender:
        text = f"{first_sender} and {event.sender} call {event.worker_id} with"
        checker.history.report_violation(
            "one owner per fencing token", "", f"{text} token {event.token}"
        )


@observe.register
def _(event: observations.RunStarted, checker: Checker) -> None:
    history = checker.history
    history.starts += 1
    step = history.find_step(event.task)
    job_history = history.jobs.get(event.task.job_id)
    if step is None or job_history is None:
        job_id = event.task.job_id
        history.report_violation("only submitted tasks run", job_id, str(event))
        return
    task = job_history.tasks[(event.task.step, event.task.index)]
    job_history.started_at = job_history.started_at or event.at
    for name, text in find_violations(event, checker, job_history, task, step):
        where = f"{event.task.step}.{event.task.index} run {event.number}"
        sent = f"on {event.worker_id} by {event.sender}, token {event.token}"
        late = ", carried out late" if event.late else ""
        history.report_violation(
            name, event.task.job_id, f"{where} {sent}{late}: {text}"
        )
    checker.check_refused(job_history)
    amount = step.amount
    if step.fills:
        # Opportunistic tasks reserve no processors.
        amount = attrs.evolve(amount, cpu_millis=0)
    run = history_module.Run(
        event.worker_id,
        event.task,
        event.number,
        amount,
        event.sender,
        event.at,
    )
    task.runs[event.worker_id] = run
    task.started_at = event.at
    on_worker = checker.runs.setdefault(event.worker_id, {})
    on_worker[(event.task, event.number)] = run


def find_violations(
    event: observations.RunStarted,
    checker: Checker,
    job_history: history_module.JobHistory,
    task: history_module.TaskHistory,
    step: model.Step,
) -> list[tuple[str, str]]:
    """Returns the guarantees that the start of a run violates.

    Args:
        event: The start.
        checker: State before the start.
        job_history: History of the job.
        task: History of the task.
        step: Step of the task.

    Returns:
        Pairs of the name of a guarantee and a description.
    """
    violations = []
    for run in task.runs.values():
        text = f"run {run.number} of {run.sender} still runs on {run.worker_id}"
        violations.append(("one run at a time", text))
    if task.acknowledged and not step.long_running:
        violations.append(
            ("done tasks do not run again", "its end was acknowledged")
        )
    if not job_history.is_released(event.task.step):
        violations.append(("order of steps", f"after {step.after}"))
    if (
        len(task.acknowledged_failed_runs) >= workload.MAX_ATTEMPTS
        and not step.long_running
    ):
        violations.append(
            ("limited attempts", f"{len(task.failed_runs)} failed")
        )
    if event.spec != job_history.job.spec:
        violations.append(("specs stay unchanged", event.spec))
    if event.checkpoint and event.checkpoint not in task.checkpoints:
        violations.append(
            ("checkpoints were saved by an earlier run", event.checkpoint)
        )
    violations += _find_placement_violations(event, checker, job_history, step)
    violations += _find_time_violations(event, checker, job_history)
    return violations


def _find_placement_violations(
    event: observations.RunStarted,
    checker: Checker,
    job_history: history_module.JobHistory,
    step: model.Step,
) -> list[tuple[str, str]]:
    violations = []
    entry = checker.entries[event.worker_id]
    reserved = checker.sum_reserved(event.worker_id)
    amount = step.amount
    if step.fills:
        amount = attrs.evolve(amount, cpu_millis=0)
    if not reserved.plus(amount).fits(entry.capacity):
        violations.append(("capacity", f"{amount} beside {reserved}"))
    if step.required_label not in ("", *entry.labels):
        violations.append(("labels", f"{entry.labels}"))
    if entry.service != job_history.job.queue.service:
        violations.append(("services", entry.service))
    beside = [
        task
        for task, _ in checker.runs.get(event.worker_id, {})
        if (task.job_id, task.step) == (event.task.job_id, event.task.step)
    ]
    if step.max_per_worker and len(beside) >= step.max_per_worker:
        violations.append(("spread", f"beside {len(beside)} others"))
    return violations


def _find_time_violations(
    event: observations.RunStarted,
    checker: Checker,
    job_history: history_module.JobHistory,
) -> list[tuple[str, str]]:
    """Returns violations of time limits by instances without disturbances."""
    violations: list[tuple[str, str]] = []
    if event.late or not checker.was_undisturbed(event.sender, event.at):
        return violations
    cancelled_at = job_history.cancelled_at
    if cancelled_at is not None and event.at - cancelled_at > CANCEL_LIMIT_S:
        text = f"{event.at - cancelled_at:.2f} s after its cancellation"
        violations.append(("cancelled tasks do not start", text))
    ended_at = (
        job_history.ended_at if job_history.shown_state == "completed" else None
    )
    if ended_at is not None and event.at - ended_at > START_DELIVERY_S:
        violations.append(("done tasks do not run again", "job was completed"))
    drained_at = checker.drained_at.get(event.worker_id)
    if drained_at is not None and event.at - drained_at > DRAIN_LIMIT_S:
        text = f"{event.at - drained_at:.2f} s after the worker began to drain"
        violations.append(("draining workers get no tasks", text))
    return violations


@observe.register
def _(event: observations.RunEnded, checker: Checker) -> None:
    checker.runs.get(event.worker_id, {}).pop((event.task, event.number), None)
    job_history = checker.history.jobs[event.task.job_id]
    task = job_history.tasks[(event.task.step, event.task.index)]
    run = task.runs.get(event.worker_id)
    if run is not None and run.number == event.number:
        task.runs.pop(event.worker_id)
    task.last_ended_at = event.at
    if event.checkpoint:
        _record_checkpoints(task, event.checkpoint)
    if event.kind is model.EndKind.DONE:
        task.done_at = task.done_at or event.at
    elif event.kind is model.EndKind.FAILED:
        task.failed_runs.add((event.worker_id, event.number))
    checker.ends.setdefault(event.worker_id, []).append(event)


@observe.register
def _(event: observations.CheckpointListed, checker: Checker) -> None:
    job_history = checker.history.jobs[event.task.job_id]
    task = job_history.tasks[(event.task.step, event.task.index)]
    _record_checkpoints(task, event.checkpoint)


def _record_checkpoints(task: history_module.TaskHistory, newest: str) -> None:
    """Records a checkpoint and all that were saved before it."""
    name, _, units = newest.rpartition("@")
    for count in range(1, int(units) + 1):
        task.checkpoints.add(f"{name}@{count}")


@observe.register
def _(event: observations.EndsAcknowledged, checker: Checker) -> None:
    ends = checker.ends.get(event.worker_id, [])
    unacknowledged = [end for end in ends if end.position > event.position]
    for end in ends:
        if end.position > event.position:
            continue
        job_history = checker.history.jobs[end.task.job_id]
        task = job_history.tasks[(end.task.step, end.task.index)]
        if end.kind is model.EndKind.FAILED:
            task.acknowledged_failed_runs.add((end.worker_id, end.number))
        if end.kind is not model.EndKind.DONE:
            continue
        if end.position <= event.expired_position:
            # The owner may have queued the task again when the lease expired.
            continue
        task.acknowledged = True
        if task.started_at > end.at:
            text = f"{end.task} run {end.number} on {end.worker_id}"
            checker.history.report_violation(
                "done tasks do not run again",
                end.task.job_id,
                f"{text}: started again before the end was acknowledged",
            )
    checker.ends[event.worker_id] = unacknowledged


@observe.register
def _(event: observations.WorkerLost, checker: Checker) -> None:
    for (task, _), run in checker.runs.pop(event.worker_id, {}).items():
        job_history = checker.history.jobs[task.job_id]
        task_history = job_history.tasks[(task.step, task.index)]
        if task_history.runs.get(event.worker_id) is run:
            task_history.runs.pop(event.worker_id)
        task_history.last_ended_at = event.at
    checker.ends.pop(event.worker_id, None)
    checker.drained_at.pop(event.worker_id, None)
    for key in [key for key in checker.senders if key[0] == event.worker_id]:
        checker.senders.pop(key)
