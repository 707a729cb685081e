"""Suspension of workers on which runs fail, or that do not answer starts.

A worker that fails all that it runs gets no starts for a while, nor does one
that answers polls but no starts. A step whose tasks fail everywhere says
nothing about the workers on which they failed.

A long-running task that finds no other worker may run on trial on a worker that
is suspended since runs failed there: it would have no run otherwise.
"""

from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state
from sapphirestall_core.batch import worker_faults

SUSPENSION_S = 5.0
# Lowest numbers of failures, one after another, that may suspend a worker.
FEWEST_FAILURES = {
    worker_faults.SuspensionCause.FAILED_RUNS: 3,
    worker_faults.SuspensionCause.UNANSWERED_STARTS: 2,
}
# A step whose runs failed on this many workers, and of which no task is done,
# counts as the cause itself.
WORKERS_TO_DISCOUNT = 2
# No task of a long-running step is ever done. A run that lasts for this time,
# in seconds, shows as well that step and worker can run it.
WORKING_RUN_S = 2.0
# Where failed runs have lasted long as well, a run has to outlast them to show
# this of the worker, but for no longer than this time, in seconds.
MAX_WORKING_RUN_S = 10.0


def record_done(
    partition: state.Partition,
    worker: state.Worker,
    started_at: float,
    now: float,
) -> dispatch.Effects:
    """Records that a run on a worker was done.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        started_at: Monotonic time at which its start was sent, in seconds.
        now: Monotonic time, in seconds.
    """
    cause = worker_faults.SuspensionCause.FAILED_RUNS
    return _record_success(partition, worker, cause, started_at, now)


def _record_success(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    started_at: float,
    now: float,
) -> dispatch.Effects:
    """Records a success, which may end the suspension of the worker."""
    failures, share = _find_failures(partition, worker, cause)
    showed_fault = _are_enough(partition, worker, cause, now)
    failures.record_success(started_at, share, showed_fault=showed_fault)
    return _resume(partition, worker, now)


def record_working_runs(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Records the runs of a worker that go on after others have failed.

    Long-running ones count as a success once they have lasted long enough.
    """
    if not worker.failed_runs.unexplained:
        return []
    working_s = _find_working_time(worker)
    started_at = max(
        (
            run.started_at
            for run in worker.runs.values()
            if run.task.step.long_running
            and run.phase is state.RunPhase.RUNNING
            and now - run.started_at >= working_s
        ),
        default=worker.failed_runs.succeeded_start_at,
    )
    if started_at <= worker.failed_runs.succeeded_start_at:
        return _resume(partition, worker, now)
    return record_done(partition, worker, started_at, now)


def _find_working_time(worker: state.Worker) -> float:
    """Returns how long a long-running run lasts that shows a sound worker."""
    longest_s = max(failure.ran_s for failure in worker.failed_runs.unexplained)
    outlasting_s = worker_faults.OUTLASTING_FACTOR * longest_s
    return max(WORKING_RUN_S, min(outlasting_s, MAX_WORKING_RUN_S))


def record_answered_start(
    partition: state.Partition,
    worker: state.Worker,
    sent_at: float,
    now: float,
) -> dispatch.Effects:
    """Records that a worker has carried out a start.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        sent_at: Monotonic time at which the start was sent, in seconds.
        now: Monotonic time, in seconds.
    """
    cause = worker_faults.SuspensionCause.UNANSWERED_STARTS
    return _record_success(partition, worker, cause, sent_at, now)


def record_unanswered_start(
    partition: state.Partition,
    worker: state.Worker,
    run: state.Run,
    now: float,
) -> dispatch.Effects:
    """Records that a start got no answer.

    Suspends the worker if that happens repeatedly.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        run: Run that the start requested.
        now: Monotonic time, in seconds.
    """
    if run.started_at < worker.start_unanswered_at:
        # It was in flight together with one that has been counted.
        return []
    worker.start_unanswered_at = now
    step = run.task.job.steps[run.task.name.step]
    failure = worker_faults.Failure(run.started_at, step)
    cause = worker_faults.SuspensionCause.UNANSWERED_STARTS
    return _weigh_failure(partition, worker, cause, failure, now)


def record_failure(
    partition: state.Partition,
    worker: state.Worker,
    step: state.StepState,
    ran_s: float,
    now: float,
) -> dispatch.Effects:
    """Records that a run of a step failed on a worker.

    Suspends the worker after too many failures. Those of a step that counts
    as their cause are taken back, also on other workers.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        step: The step.
        ran_s: Time for which the run is known to have lasted, in seconds.
        now: Monotonic time, in seconds.
    """
    if step.step.long_running and ran_s >= WORKING_RUN_S:
        step.has_worked = True
    step.failed_worker_ids.add(worker.entry.worker_id)
    if _is_cause(step):
        return _discount_failures(partition, step, now)
    failure = worker_faults.Failure(now - ran_s, step, ran_s)
    cause = worker_faults.SuspensionCause.FAILED_RUNS
    return _weigh_failure(partition, worker, cause, failure, now)


def _weigh_failure(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    failure: worker_faults.Failure,
    now: float,
) -> dispatch.Effects:
    """Records a failure and suspends its worker if that seems faulty."""
    _discard_weighed_failures(partition, worker, cause, now)
    failures, share = _find_failures(partition, worker, cause)
    if not failures.record(failure, share):
        return []
    return _suspend_if_faulty(partition, worker, cause, now)


def _discard_weighed_failures(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    now: float,
) -> None:
    """Discards failures that have led to their result, before the next one.

    That is a suspension that is over, or none as they are those of one step: a
    single failure after them is not enough for another suspension.
    """
    suspension = worker.suspension
    if suspension is not None and suspension.until > now:
        return
    if (
        suspension is not None
        and suspension.cause is cause
        or _are_enough(partition, worker, cause, now)
    ):
        failures, _ = _find_failures(partition, worker, cause)
        failures.unexplained.clear()
    worker.suspension = None


def _suspend_if_faulty(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    now: float,
) -> dispatch.Effects:
    """Suspends a worker that seems faulty, or extends its suspension."""
    if not _seems_faulty(partition, worker, cause, now):
        return []
    until = now + SUSPENSION_S
    if worker.suspension is None or worker.suspension.cause is not cause:
        worker.suspension = worker_faults.Suspension(cause, now, until)
    worker.suspension.until = until
    worker_id = worker.entry.worker_id
    failures, share = _find_failures(partition, worker, cause)
    log = contact.make_log(
        "suspended",
        partition,
        worker_id,
        cause=cause.value,
        failures=len(failures.unexplained),
        usual_share=round(share.estimate(), 3),
        for_s=SUSPENSION_S,
    )
    return [log]


def _find_failures(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
) -> tuple[worker_faults.Failures, worker_faults.FailureShare]:
    """Returns the failures of a kind on a worker and their usual share."""
    match cause:
        case worker_faults.SuspensionCause.FAILED_RUNS:
            return worker.failed_runs, partition.failed_runs_share
        case worker_faults.SuspensionCause.UNANSWERED_STARTS:
            return worker.unanswered_starts, partition.unanswered_starts_share


def _are_enough(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    now: float,
) -> bool:
    """Returns whether failures on a worker are too many to be chance."""
    failures, share = _find_failures(partition, worker, cause)
    if len(failures.unexplained) < FEWEST_FAILURES[cause]:
        return False
    if cause is worker_faults.SuspensionCause.UNANSWERED_STARTS:
        return failures.show_fault(share)
    return failures.show_fault(share, _list_running_times(worker, now))


def _list_running_times(worker: state.Worker, now: float) -> list[float]:
    """Returns for how long the runs have lasted that were started after others.

    These are the runs that were started after the first of the failed runs, and
    that the worker still listed last. The times are in seconds.
    """
    first_at = min(
        failure.started_at for failure in worker.failed_runs.unexplained
    )
    return [
        now - run.started_at
        for run in worker.runs.values()
        if run.phase is state.RunPhase.RUNNING and run.started_at > first_at
    ]


def _seems_faulty(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    now: float,
) -> bool:
    """Returns whether failures seem to have their cause in a worker.

    Failed runs of a single step tell this only if the step can run elsewhere.
    """
    if not _are_enough(partition, worker, cause, now):
        return False
    if cause is worker_faults.SuspensionCause.UNANSWERED_STARTS:
        return True
    failures = worker.failed_runs
    steps = [failure.step for failure in failures.unexplained]
    return any(_can_run(step) for step in steps) or any(
        step is not steps[0] for step in steps
    )


def _is_cause(step: state.StepState) -> bool:
    """Returns whether a step counts as the cause of its own failures."""
    failed_count = len(step.failed_worker_ids)
    return failed_count >= WORKERS_TO_DISCOUNT and not _can_run(step)


def _can_run(step: state.StepState) -> bool:
    """Returns whether some run of a step has shown that the step can run."""
    return bool(step.done) or step.has_worked


def _discount_failures(
    partition: state.Partition, step: state.StepState, now: float
) -> dispatch.Effects:
    """Takes the failures of a step back, with suspensions that they caused."""
    effects: dispatch.Effects = []
    for name in step.failed_worker_ids:
        worker = partition.workers.get(name)
        if worker is None:
            continue
        worker.failed_runs.unexplained = [
            failure
            for failure in worker.failed_runs.unexplained
            if failure.step is not step
        ]
        effects += _resume(partition, worker, now)
    return effects


def _resume(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Ends the suspension of a worker that does not seem faulty any more."""
    suspension = worker.suspension
    if suspension is None:
        return []
    if _seems_faulty(partition, worker, suspension.cause, now):
        return []
    worker.suspension = None
    worker_id = worker.entry.worker_id
    log = contact.make_log("resumed", partition, worker_id)
    return [log, *passes.request_pass(partition)]
