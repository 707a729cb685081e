"""Steps for probation.feature."""

import behave

from sapphirestall_core import probation
from sapphirestall_core import task_messages

WORKER = "worker-1"
STEP_S = 0.5


def make_attempt_name(context):
    context.attempts += 1
    return task_messages.AttemptName("job", context.attempts, 1)


def run_task(context, fails):
    name = make_attempt_name(context)
    context.probation.record_start(WORKER, name, context.now)
    if fails:
        context.probation.record_failure(WORKER, name, context.now)
    else:
        context.probation.record_success(WORKER, name)


def reset(context):
    context.probation = probation.Probation()
    context.now = 1000.0
    context.attempts = 0


@behave.given("a worker with {count:d} finished tasks")
def step(context, count):
    reset(context)
    for _ in range(count):
        context.now += STEP_S
        run_task(context, fails=False)


@behave.when(
    "it gets as many tasks as allowed and each fails after {delay:f} s"
)
def step(context, delay):
    running = []
    context.failures_seen = 0
    for _ in range(100):
        context.now += STEP_S
        for name, due in list(running):
            if due <= context.now:
                running.remove((name, due))
                context.failures_seen += 1
                context.probation.record_failure(WORKER, name, context.now)
        if context.probation.is_on_probation(WORKER) and not running:
            return
        while context.probation.count_allowed_starts(WORKER, context.now) > 0:
            name = make_attempt_name(context)
            context.probation.record_start(WORKER, name, context.now)
            running.append((name, context.now + delay))
            if not delay:
                break
    raise AssertionError("the worker was never put on probation")


@behave.then("it failed fewer than 10 tasks before its probation")
def step(context):
    assert 0 < context.failures_seen < 10, context.failures_seen


@behave.then(
    "its trials come after {first:d}, {second:d}, {third:d} and {fourth:d} s"
)
def step(context, first, second, third, fourth):
    for delay_s in (first, second, third, fourth):
        context.now += delay_s - 1
        assert context.probation.count_allowed_starts(WORKER, context.now) == 0
        context.now += 1
        assert context.probation.count_allowed_starts(WORKER, context.now) == 1
        run_task(context, fails=True)


@behave.then("it may get {count:d} tasks again after a trial has finished")
def step(context, count):
    context.now += probation.MAX_TRIAL_DELAY_S
    run_task(context, fails=False)
    assert context.probation.count_allowed_starts(WORKER, context.now) == count


@behave.when("the job of these tasks is found to fail on all workers")
def step(context):
    context.probation.drop_job_failures("job")


@behave.then("the worker is not on probation")
def step(context):
    assert not context.probation.is_on_probation(WORKER)


@behave.given("a worker with {count:d} ended tasks, of which {failed:d} failed")
def step(context, count, failed):
    reset(context)
    # Every failure is followed by a success, so that none counts later.
    for number in range(count):
        context.now += STEP_S
        run_task(context, fails=number < 2 * failed and number % 2 == 0)


@behave.when("{count:d} more tasks fail on it")
def step(context, count):
    for _ in range(count):
        context.now += STEP_S
        run_task(context, fails=True)


@behave.then("the worker is on probation")
def step(context):
    assert context.probation.is_on_probation(WORKER)
