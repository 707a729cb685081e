"""Steps for batch_capacity.feature."""

import behave

from features import builders
from sapphirestall_core import resources
from sapphirestall_core.batch import capacity_reports
from sapphirestall_core.batch import interference
from sapphirestall_core.batch import model
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import reservation_reports
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import wait_reports

IMAGE, OTHER_IMAGE = "loud", "calm"
KNOWN_VARIANCE = 0.1
# Interference at which no opportunistic task may run beside a serving task.
FORBIDDING = 1e9


@behave.given("a worker of 32 processors whose serving tasks use 4 of 8")
def step(context):
    context.worker = builders.make_worker("w-1", 32)
    builders.make_partition(context, context.worker)
    step = model.Step(
        1,
        resources.Vector(8 * builders.CORE_MILLIS, 100, 0),
        long_running=True,
        image="soft",
        tail_target_ms=builders.TAIL_TARGET_MS,
    )
    builders.add_run(context.worker, step)
    context.worker.serving_load = 0.5
    for image, value in ((IMAGE, FORBIDDING), (OTHER_IMAGE, 0.0)):
        context.batch.interference.set_estimate(
            "soft", image, interference.Estimate(value, KNOWN_VARIANCE)
        )


@behave.given("no opportunistic task")
def step(context):
    pass


def add_waiting_task(context, image):
    waiting = builders.make_step(1, fills=True, image=image)
    builders.add_job(context, 1, 2, 0.0, waiting)


@behave.given("a waiting task of an image that disturbs them")
def step(context):
    add_waiting_task(context, IMAGE)


@behave.given("a waiting task of a harmless image")
def step(context):
    add_waiting_task(context, OTHER_IMAGE)


@behave.given("runs that request {cpu:d} at a pace of {percent:d} percent")
def step(context, cpu, percent):
    for _ in range(cpu):
        run_step = builders.make_step(1, fills=True, image=OTHER_IMAGE)
        builders.add_run(context.worker, run_step, percent)


def list_usable(context):
    return usability.list_startable_workers(context.partition, builders.NOW)


@behave.then("{idle:d} processors are reported as idle and {amount:d} as {use}")
def step(context, idle, amount, use):
    report = capacity_reports.make_report(
        context.partition,
        list_usable(context),
        context.batch.interference,
        builders.NOW,
    )
    assert report.idle == idle * builders.CORE_MILLIS, report
    assert getattr(report, use) == amount * builders.CORE_MILLIS, report


def log_capacity(context, now):
    return capacity_reports.log_capacity(context.batch, context.partition, now)


@behave.then("its capacity is not logged")
def step(context):
    assert not log_capacity(context, builders.NOW)


@behave.then("its capacity is logged once within a second")
def step(context):
    now = builders.NOW + capacity_reports.REPORT_INTERVAL_S
    assert len(log_capacity(context, now)) == 1
    assert not log_capacity(context, now + 0.5)


@behave.given(
    "a waiting task of {cores:d} processors and {memory:d} MB submitted"
    " {age:d} s ago"
)
def step(context, cores, memory, age):
    amount = resources.Vector(cores * builders.CORE_MILLIS, memory, 0)
    builders.add_job(context, 1, 0, age, model.Step(1, amount, estimate_s=1.0))


@behave.then(
    "{cores:d} processors are reported as reserved by long-running tasks"
)
def step(context, cores):
    report = reservation_reports.make_report(
        context.partition, list_usable(context), builders.NOW
    )
    assert report.long_running == cores * builders.CORE_MILLIS, report


@behave.then(
    "{cores:d} processors are reported as {field} and {lacking:d} as lacking"
    " memory"
)
def step(context, cores, field, lacking):
    report = reservation_reports.make_report(
        context.partition, list_usable(context), builders.NOW
    )
    assert getattr(report, field) == cores * builders.CORE_MILLIS, report
    assert report.lacking_memory == lacking * builders.CORE_MILLIS, report


@behave.given(
    "a long-running task of {cores:d} processors that has waited for {wait:d} s"
)
def step(context, cores, wait):
    amount = resources.Vector(cores * builders.CORE_MILLIS, 100, 0)
    waiting = model.Step(1, amount, long_running=True)
    job = builders.add_job(context, 1, 0, wait, waiting)
    (task,) = job.steps[0].runnable.values()
    task.unplaced_since = builders.NOW - wait


@behave.given(
    "another partition with a worker that has {cores:d} processors free"
)
def step(context, cores):
    room = published_capacity.FreeCapacity(cores * builders.CORE_MILLIS, 1000)
    summary = records.SummaryRecord({}, 0.0, {}, (room,), None)
    context.batch.summaries[builders.OTHER] = summary
    context.batch.summary_changes[builders.OTHER] = (1, builders.NOW)


@behave.given("no other disturbance")
def step(context):
    pass


@behave.given("its worker is suspended")
def step(context):
    context.worker.paused_until = builders.NOW + 1.0


@behave.given("its worker is unusable as it is {reason}")
def step(context, reason):
    obstacle = usability.Obstacle(reason)
    until = builders.NOW + 1.0
    builders.make_unusable(context.partition, context.worker, obstacle, until)


@behave.then('the unusable workers are reported as "{report}"')
def step(context, report):
    assert read_wait(context)["unusable"] == report, read_wait(context)


@behave.given("its owner awaits the runs of former ones")
def step(context):
    context.partition.token = 1000
    context.partition.unlisted_workers.add("w-2")


def read_wait(context):
    (log,) = wait_reports.log_waits(
        context.batch, context.partition, list_usable(context), builders.NOW
    )
    return log.fields


@behave.then(
    "a wait of {wait:d} s is reported with {free:d} processors free here and"
    " {elsewhere:d} elsewhere"
)
def step(context, wait, free, elsewhere):
    fields = read_wait(context)
    assert fields["longest_s"] == wait, fields
    assert fields["largest_free"] == free * builders.CORE_MILLIS, fields
    assert fields["elsewhere_free"] == elsewhere * builders.CORE_MILLIS, fields


@behave.then("{number:d} tasks are reported as not allowed to start")
def step(context, number):
    assert read_wait(context)["not_allowed"] == number, read_wait(context)


@behave.given(
    "a long-running task of {cores:d} processors and {memory:d} MB that needs"
    ' label "{label}"'
)
def step(context, cores, memory, label):
    amount = resources.Vector(cores * builders.CORE_MILLIS, memory, 0)
    waiting = model.Step(1, amount, long_running=True, required_label=label)
    builders.add_job(context, 1, 0, 0, waiting)


@behave.then(
    "the task is reported as {obstacle} with room for {count:d} elsewhere"
)
def step(context, obstacle, count):
    fields = read_wait(context)
    names = ("unused", "lacking_cpu", "lacking_memory", "constrained")
    found = {name: fields[name] for name in names}
    assert found == {name: int(name == obstacle) for name in names}, fields
    assert fields["elsewhere_tasks"] == count, fields
