"""Suspension of workers on which runs fail, or that do not answer starts.

A worker that fails all that it runs gets no starts for a while. A step whose
tasks fail everywhere says nothing about the workers on which they failed. A
worker may also answer polls, but no starts.
"""

from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import state

# Number of failed runs, since the last one that was done, after which a worker
# may be suspended for `SUSPENSION_S`. The next failure is counted as the first.
FAILURES_TO_SUSPEND = 3
SUSPENSION_S = 5.0
# Number of starts without an answer, one after another, after which a worker is
# suspended as well.
UNANSWERED_TO_SUSPEND = 2
# A step whose runs failed on this many workers, and of which no task is done,
# counts as the cause itself.
WORKERS_TO_DISCOUNT = 2
# No task of a long-running step is ever done. A run that lasts for this time,
# in seconds, shows as well that the step can run.
WORKING_RUN_S = 2.0


def record_done(worker: state.Worker) -> None:
    """Records that a run on a worker was done."""
    worker.consecutive_failures = 0
    worker.failed_steps.clear()


def record_unanswered_start(
    partition: state.Partition,
    worker: state.Worker,
    sent_at: float,
    now: float,
) -> dispatch.Effects:
    """Records that a start got no answer.

    Suspends the worker if that happens repeatedly.

    Args:
        partition: Partition of the worker.
        worker: The worker.
        sent_at: Monotonic time at which the start was sent, in seconds.
        now: Monotonic time, in seconds.
    """
    if sent_at < worker.start_unanswered_at:
        # It was in flight together with one that has been counted.
        return []
    worker.unanswered_starts += 1
    worker.start_unanswered_at = now
    if worker.unanswered_starts < UNANSWERED_TO_SUSPEND:
        return []
    count = worker.unanswered_starts
    return _suspend(partition, worker, now, unanswered=count)


def _suspend(
    partition: state.Partition,
    worker: state.Worker,
    now: float,
    **reason: int,
) -> dispatch.Effects:
    """Suspends a worker and logs the reason."""
    worker.failing_until = now + SUSPENSION_S
    worker_id = worker.entry.worker_id
    fields = {**reason, "for_s": SUSPENSION_S}
    return [contact.make_log("suspended", partition, worker_id, **fields)]


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
    worker.consecutive_failures += 1
    step.failed_worker_ids.add(worker.entry.worker_id)
    if _is_cause(step):
        return _discount_failures(partition, step, now)
    if (
        len(worker.failed_steps) >= FAILURES_TO_SUSPEND
        and worker.failing_until <= now
    ):
        # A single failure after a suspension, or after failures of one step
        # that caused none, is not enough.
        worker.failed_steps.clear()
    worker.failed_steps.append(step)
    if not _seems_to_fail(worker):
        return []
    return _suspend(partition, worker, now, failures=len(worker.failed_steps))


def _seems_to_fail(worker: state.Worker) -> bool:
    """Returns whether failures seem to have their cause in a worker.

    Those of a single step tell this only if the step can run elsewhere.
    """
    steps = worker.failed_steps
    return len(steps) >= FAILURES_TO_SUSPEND and (
        any(_can_run(step) for step in steps)
        or any(step is not steps[0] for step in steps)
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
        if worker is None or step not in worker.failed_steps:
            continue
        worker.failed_steps = [
            other for other in worker.failed_steps if other is not step
        ]
        if worker.failing_until > now and not _seems_to_fail(worker):
            worker.failing_until = now
            effects.append(contact.make_log("resumed", partition, name))
            effects += passes.request_pass(partition)
    return effects
