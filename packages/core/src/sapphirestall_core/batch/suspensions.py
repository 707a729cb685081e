"""Suspension of workers on which runs fail, or that do not answer starts.

A worker that fails all that it runs gets no starts for a while, nor does one
that answers polls but no starts. A step whose tasks fail everywhere says
nothing about the workers on which they failed.

A long-running task that finds no other worker may run on trial on a worker that
is suspended since runs failed there: it would have no run otherwise.
"""

from sapphirestall_core import failure_shares
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
# Where failed runs have lasted long as well, a run has to last this many times
# as long to show this of the worker, but for no longer than the second value,
# in seconds.
OUTLASTING_FACTOR = 2.0
MAX_WORKING_RUN_S = 10.0


def record_done(
    partition: state.Partition, worker: state.Worker, started_at: float
) -> dispatch.Effects:
    """Records that a run on a worker was done.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        started_at: Monotonic time at which its start was sent, in seconds.
    """
    share = partition.failed_runs_share
    worker.failed_runs.record_success(started_at, share)
    return _resume(partition, worker)


def record_working_runs(
    partition: state.Partition, worker: state.Worker, now: float
) -> dispatch.Effects:
    """Records the long-running runs of a worker that have lasted long enough.

    Does nothing if no run has failed there.
    """
    if not worker.failed_runs.row:
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
        return []
    # Working runs are counted in no share, as each would count once a listing.
    worker.failed_runs.explain(started_at, partition.failed_runs_share)
    return _resume(partition, worker)


def _find_working_time(worker: state.Worker) -> float:
    """Returns how long a long-running run lasts that shows a sound worker."""
    longest_s = max(failure.ran_s for failure in worker.failed_runs.row)
    outlasting_s = OUTLASTING_FACTOR * longest_s
    return max(WORKING_RUN_S, min(outlasting_s, MAX_WORKING_RUN_S))


def record_answered_start(
    partition: state.Partition, worker: state.Worker, sent_at: float
) -> dispatch.Effects:
    """Records that a worker has carried out a start.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        sent_at: Monotonic time at which the start was sent, in seconds.
    """
    share = partition.unanswered_starts_share
    worker.unanswered_starts.record_success(sent_at, share)
    return _resume(partition, worker)


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
    step.failed_worker_ids.add(worker.entry.worker_id)
    if step.step.long_running and ran_s >= WORKING_RUN_S:
        # Such a run may fail at any time: the worker could run it.
        step.has_worked = True
        return []
    if _is_cause(step):
        return _discount_failures(partition, step)
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
    failures, share = _find_failures(partition, worker, cause)
    if (
        suspension is not None
        and suspension.cause is cause
        or _are_enough(failures, share, cause)
    ):
        failures.row.clear()
    worker.suspension = None


def _suspend_if_faulty(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
    now: float,
) -> dispatch.Effects:
    """Suspends a worker that seems faulty, or extends its suspension."""
    if not _seems_faulty(partition, worker, cause):
        return []
    until = now + SUSPENSION_S
    if worker.suspension is None or worker.suspension.cause is not cause:
        worker.suspension = worker_faults.Suspension(cause, until)
    worker.suspension.until = until
    worker_id = worker.entry.worker_id
    failures, share = _find_failures(partition, worker, cause)
    log = contact.make_log(
        "suspended",
        partition,
        worker_id,
        cause=cause.value,
        failures=len(failures.row),
        usual_share=round(share.estimate(), 3),
        for_s=SUSPENSION_S,
    )
    return [log]


def _find_failures(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
) -> tuple[worker_faults.Failures, failure_shares.FailureShare]:
    """Returns the failures of a kind on a worker and their usual share."""
    match cause:
        case worker_faults.SuspensionCause.FAILED_RUNS:
            return worker.failed_runs, partition.failed_runs_share
        case worker_faults.SuspensionCause.UNANSWERED_STARTS:
            return worker.unanswered_starts, partition.unanswered_starts_share


def _are_enough(
    failures: worker_faults.Failures,
    share: failure_shares.FailureShare,
    cause: worker_faults.SuspensionCause,
) -> bool:
    """Returns whether failures are too many to be chance."""
    count = len(failures.row)
    return count >= FEWEST_FAILURES[cause] and failures.show_fault(share)


def _seems_faulty(
    partition: state.Partition,
    worker: state.Worker,
    cause: worker_faults.SuspensionCause,
) -> bool:
    """Returns whether failures seem to have their cause in a worker.

    Failed runs of a single step tell this only if the step can run elsewhere.
    """
    failures, share = _find_failures(partition, worker, cause)
    if not _are_enough(failures, share, cause):
        return False
    if cause is worker_faults.SuspensionCause.UNANSWERED_STARTS:
        return True
    steps = [failure.step for failure in failures.row]
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
    partition: state.Partition, step: state.StepState
) -> dispatch.Effects:
    """Takes the failures of a step back, with suspensions that they caused."""
    effects: dispatch.Effects = []
    for name in step.failed_worker_ids:
        worker = partition.workers.get(name)
        if worker is None:
            continue
        worker.failed_runs.row = [
            failure
            for failure in worker.failed_runs.row
            if failure.step is not step
        ]
        effects += _resume(partition, worker)
    return effects


def _resume(
    partition: state.Partition, worker: state.Worker
) -> dispatch.Effects:
    """Ends the suspension of a worker that does not seem faulty any more.

    A worker on which runs fail may leave starts unanswered as well.
    """
    suspension = worker.suspension
    if suspension is None:
        return []
    for cause in worker_faults.SuspensionCause:
        if _seems_faulty(partition, worker, cause):
            suspension.cause = cause
            return []
    worker.suspension = None
    worker_id = worker.entry.worker_id
    log = contact.make_log("resumed", partition, worker_id)
    return [log, *passes.request_pass(partition)]
