"""Steps for batch_contact.feature."""

import behave

from features import builders
from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core.batch import caller_messages
from sapphirestall_core.batch import commands
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import pacing
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages
from sapphirestall_core.batch import workers
from standins import batch_world

# After this time all long polls have just been sent, so none returns a listing
# before calls time out.
LONG_POLLS_SENT_S = 3.2
# Time from a check until a worker may be used again, in seconds.
REUSE_S = 0.1


def make_id(number):
    return f"{number:016x}"


def make_world(context, workers):
    world = batch_world.BatchWorld(1)
    for number in range(workers):
        world.add_worker(f"w-{number}", builders.OWN)
    context.node = world.add_node("e-1", builders.OWN)
    world.run(LONG_POLLS_SENT_S)
    context.world = world


@behave.given("an owner with {workers:d} workers that run nothing")
def step(context, workers):
    make_world(context, workers)


@behave.given("an owner with one worker that runs {count:d} long-running jobs")
def step(context, count):
    make_world(context, 1)
    context.jobs = [make_id(number) for number in range(count)]
    for job_id in context.jobs:
        steps = builders.make_step(1, long_running=True)
        context.world.submit(context.node, job_id, steps)
    context.world.run(1.0)
    assert len(context.world.list_runs()) == count


@behave.when("the jobs are cancelled {interval_s:g} s apart")
def step(context, interval_s):
    for job_id in context.jobs:
        context.world.call(
            context.node, caller_messages.CancelCalled, f"/jobs/{job_id}"
        )
        context.world.run(interval_s)


@behave.when("the owner runs for another {seconds:g} s")
def step(context, seconds):
    context.world.run(seconds)


@behave.then("no more than one poll of a kind was in flight to a worker")
def step(context):
    assert context.world.max_polls_in_flight == 1, (
        context.world.max_polls_in_flight
    )


@behave.then("the worker runs nothing")
def step(context):
    assert context.world.list_runs() == []


def submit(context, count):
    context.count = count
    context.world.run_duration_s = (2.0, 3.0)
    context.world.submit(context.node, make_id(1), builders.make_step(count))
    context.world.run(0.5)


@behave.when(
    "{count:d} tasks are started and the answers of all starts are lost"
)
def step(context, count):
    context.world.unanswered_start_fraction = 1.0
    submit(context, count)
    assert context.world.starts == count


@behave.when(
    "{count:d} tasks are started and all starts arrive only after 2 to 12 s"
)
def step(context, count):
    context.world.late_start_fraction = 1.0
    submit(context, count)
    assert context.world.starts == 0
    context.world.late_start_fraction = 0.0


@behave.then("every task was started once")
def step(context):
    assert context.world.starts == context.count, context.world.starts


@behave.then("every task runs or has ended")
def step(context):
    world = context.world
    found = {task for _, task, _ in world.list_runs()} | world.done_tasks
    assert len(found) == context.count, found


def list_polls(effects):
    return [e for e in effects if isinstance(e, worker_messages.HoldLease)]


def answer(context, call, reply, now=builders.NOW):
    event = worker_messages.WorkerReplied(call, reply, now)
    return instance.handle(event, context.batch, now)


EMPTY_LISTING = worker_messages.Listing(2000, (), ())


@behave.given("an owner with a long poll waiting at a worker")
def step(context):
    worker = builders.make_worker("w-1", 8)
    worker.last_answer_at = builders.NOW - 1.0
    builders.make_partition(context, worker)
    checks_due = messages.TimerFired(workers.PeriodicChecksDue())
    (short_poll,) = list_polls(
        instance.handle(checks_due, context.batch, builders.NOW)
    )
    (context.long_poll,) = list_polls(
        answer(context, short_poll, EMPTY_LISTING)
    )
    assert context.long_poll.wait_s > 0


@behave.when("the worker leaves and joins again")
def step(context):
    worker = context.partition.workers.pop("w-1")
    entries = worker_list.EntriesRead((worker.entry,), builders.NOW)
    effects = instance.handle(entries, context.batch, builders.NOW)
    (context.current_poll,) = list_polls(effects)


@behave.when("the earlier long poll is answered")
def step(context):
    context.effects = answer(context, context.long_poll, EMPTY_LISTING)


@behave.then("the owner sends no poll and waits for the current one")
def step(context):
    assert not list_polls(context.effects), context.effects
    worker = context.partition.workers["w-1"]
    assert worker.short_poll == context.current_poll.number
    assert list_polls(answer(context, context.current_poll, EMPTY_LISTING))


@behave.when(
    "an end is listed and the store does not answer {calls} for {seconds:g} s"
)
def step(context, calls, seconds):
    context.outage_s = seconds
    context.is_confirmed = calls == "transactions"
    context.batch.lease_renewed_at = builders.NOW
    worker = context.partition.workers["w-1"]
    builders.add_run(worker, builders.make_step(1, long_running=True))
    context.run = builders.add_run(
        worker, builders.make_step(1, long_running=True)
    )


def make_listing(context, clock_ms):
    listed_runs = tuple(
        model.ListedRun(task, number, "", 10, 0.0)
        for task, number in context.partition.workers["w-1"].runs
    )
    other = model.TaskName(make_id(99), 0, 0, 0)
    end = model.EndedRun(1, other, 1, model.EndKind.DONE, "")
    return worker_messages.Listing(clock_ms, listed_runs, (end,))


@behave.when("the worker answers a command every {interval_s:g} s")
def step(context, interval_s):
    worker = context.partition.workers["w-1"]
    now = builders.NOW
    polls = [context.long_poll]
    context.lease_left_ms = []
    targets = {found.target for found in context.partition.workers.values()}
    context.partition.roster_targets = frozenset(targets)
    while now < builders.NOW + context.outage_s:
        now += interval_s
        if context.is_confirmed:
            context.batch.lease_renewed_at = now
        clock_ms = 2000 + int((now - builders.NOW) * 1000)
        effects = []
        for poll in polls:
            listing = make_listing(context, clock_ms)
            effects += answer(context, poll, listing, now)
        command = worker_messages.PaceRun(
            worker.target, builders.OWN, 1, context.run.task.name, 1, 50
        )
        effects += answer(context, command, worker_messages.Done(clock_ms), now)
        checks_due = messages.TimerFired(workers.PeriodicChecksDue())
        effects += instance.handle(checks_due, context.batch, now)
        polls = list_polls(effects)
        context.lease_left_ms.append(worker.lease_end_ms - clock_ms)


@behave.then("no lease had less than {share:g} of its duration left")
def step(context, share):
    lease_s = tenure.UNCONFIRMED_LEASE_S
    if context.is_confirmed:
        lease_s = leases.choose_run_lease(context.batch.identity.limits)
    bound_ms = share * lease_s * 1000
    assert min(context.lease_left_ms) >= bound_ms, context.lease_left_ms


def list_calls(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def run_pass(context):
    due = messages.TimerFired(passes.PassDue(builders.OWN))
    return instance.handle(due, context.batch, context.now)


@behave.given("an owner with 2 idle workers and a task that it started")
def step(context):
    context.now = builders.NOW
    names = ("w-1", "w-2")
    found = [builders.make_worker(name, 8) for name in names]
    builders.make_partition(context, *found)
    job = builders.add_job(context, 1, 2, 0.1, builders.make_step(1))
    context.task = job.steps[0].unfinished[0]
    (context.start,) = list_calls(run_pass(context), worker_messages.StartRun)
    context.worker = context.partition.workers[context.task.run.worker_id]


@behave.when("the start could not be sent from this process")
def step(context):
    reply = worker_messages.NotSent("no connection", local=True)
    context.effects = answer(context, context.start, reply)


@behave.then("the task is queued again and no stop is sent")
def step(context):
    assert context.task.run is None
    assert not context.worker.runs
    assert not list_calls(context.effects, worker_messages.WorkerCall)


@behave.then("a scheduling pass starts it on the other worker")
def step(context):
    (start,) = list_calls(run_pass(context), worker_messages.StartRun)
    assert start.target != context.start.target
    assert start.number > context.start.number


@behave.when("the start gets no answer because of this process")
def step(context):
    reply = worker_messages.NoAnswer("late", local=True)
    context.effects = answer(context, context.start, reply)


@behave.when("the short poll gets no answer because of this process")
def step(context):
    reply = worker_messages.NoAnswer("late", local=True)
    context.now += 0.1
    context.effects = answer(context, context.short_poll, reply, context.now)


@behave.when("the owner has had no answer from the worker for {seconds:g} s")
def step(context, seconds):
    context.now = context.worker.last_answer_at + seconds


def get_short_poll(context):
    (context.short_poll,) = list_polls(context.effects)
    assert context.short_poll.wait_s == 0
    return context.short_poll


@behave.then("the owner sends a short poll that extends the lease")
def step(context):
    lease_s = context.batch.identity.limits.worker_lease_s
    assert get_short_poll(context).lease_end_ms >= lease_s * 1000
    assert not list_calls(context.effects, worker_messages.StopRun)
    assert not context.worker.unresponsive


@behave.then("the owner sends a short poll that does not extend the lease")
def step(context):
    assert get_short_poll(context).lease_end_ms is None
    assert context.worker.unresponsive


@behave.given("an owner with an opportunistic run")
def step(context):
    context.worker = builders.make_worker("w-1", 8)
    builders.make_partition(context, context.worker)
    opportunistic_step = builders.make_step(1, fills=True, image="loud")
    context.run = builders.add_run(context.worker, opportunistic_step)


@behave.when(
    "it sets the pace of the run to {first:d}, {second:d} and {third:d} percent"
)
def step(context, first, second, third):
    context.effects = []
    for percent in (first, second, third):
        context.effects += commands.set_pace(
            context.partition, context.worker, context.run, percent
        )


@behave.then("only a pace command of {percent:d} percent is in flight")
def step(context, percent):
    (command,) = list_calls(context.effects, worker_messages.PaceRun)
    assert command.percent == percent, command


@behave.when("that command is confirmed")
def step(context):
    (command,) = list_calls(context.effects, worker_messages.PaceRun)
    context.effects = answer(context, command, worker_messages.Done(2000))


@behave.when("that command gets no answer")
def step(context):
    (command,) = list_calls(context.effects, worker_messages.PaceRun)
    context.effects = answer(context, command, worker_messages.NoAnswer("lost"))


@behave.when("the owner adjusts the paces of the worker")
def step(context):
    context.effects = pacing.adjust_paces(
        context.partition,
        context.worker,
        context.batch.interference,
        builders.NOW,
    )


RESTART_JOBS = 6


def make_restart_world(context):
    context.world = batch_world.BatchWorld(1)
    for name in ("w-1", "w-2"):
        context.world.add_worker(name, builders.OWN)
    context.node = context.world.add_node("e-1", builders.OWN)
    context.world.run(3.0)


def submit_jobs(context):
    for number in range(RESTART_JOBS):
        step = model.Step(2, resources.Vector(500, 100, 0))
        context.world.submit(context.node, f"{number:016x}", step)


@behave.given("a data centre of two workers with a delay of 20 ms per command")
def step(context):
    make_restart_world(context)
    context.world.all_replies_name_incarnation = True
    context.world.call_delay_s = (0.02, 0.02)


@behave.when("a worker restarts with starts in flight and is listed later")
def step(context):
    world = context.world
    submit_jobs(context)
    while not any(log.text == "order" for _, log in context.node.logs):
        world.run(0.002)
    old_entry = world.listed_workers["w-1"]
    world.add_worker("w-1", builders.OWN)
    new_entry = world.listed_workers["w-1"]
    world.listed_workers["w-1"] = old_entry
    world.run(0.8)
    world.listed_workers["w-1"] = new_entry
    world.run(30.0)


@behave.given("a data centre of two workers whose starts get no answer")
def step(context):
    make_restart_world(context)
    context.world.late_commands_survive_restart = True
    context.world.late_start_fraction = 1.0


@behave.when(
    "jobs are submitted and the workers restart before the starts arrive"
)
def step(context):
    submit_jobs(context)
    world = context.world
    world.run(1.5)
    world.late_start_fraction = 0.0
    world.add_worker("w-1", builders.OWN)
    world.run(0.7)
    world.add_worker("w-2", builders.OWN)
    world.run(40.0)


@behave.then("every job is stored as completed without duplicate runs")
def step(context):
    world = context.world
    states = [world.get_state(job_id) for job_id in world.jobs]
    assert states == [model.JobState.COMPLETED] * RESTART_JOBS, states
    assert not world.violations, world.violations[:5]


@behave.then("no abandoned start is recorded any more")
def step(context):
    (partition,) = context.node.batch.partitions.values()
    abandoned = [
        worker.abandoned_starts for worker in partition.workers.values()
    ]
    assert not any(abandoned), abandoned


@behave.given("an idle worker that is unusable as it is {reason}")
def step(context, reason):
    worker = builders.make_worker("w-1", 8)
    builders.make_partition(context, worker)
    obstacle, until = usability.Obstacle(reason), builders.NOW + REUSE_S
    builders.make_unusable(context.partition, worker, obstacle, until)
    assert usability.find_obstacle(worker, builders.NOW) is obstacle
    checks_due = messages.TimerFired(workers.PeriodicChecksDue())
    context.effects = instance.handle(checks_due, context.batch, builders.NOW)
    (context.poll,) = list_polls(context.effects)
    # The pass that these checks request has run.
    context.partition.pass_scheduled = False
    context.checked_at = builders.NOW


@behave.when("{seconds:g} s later it may be used again")
def step(context, seconds):
    assert seconds == REUSE_S
    (worker,) = context.partition.workers.values()
    assert usability.is_usable(worker, builders.NOW + seconds)


@behave.when("{seconds:g} s later it answers without runs")
def step(context, seconds):
    context.checked_at = builders.NOW + seconds
    context.effects = answer(
        context, context.poll, EMPTY_LISTING, context.checked_at
    )


@behave.then("a scheduling pass is due within {seconds:g} s of that")
def step(context, seconds):
    due_at = [
        context.checked_at + timer.delay_s
        for timer in list_calls(context.effects, messages.StartTimer)
        if timer.timer == passes.PassDue(builders.OWN)
    ]
    again_at = builders.NOW + REUSE_S
    assert any(again_at <= at <= again_at + seconds for at in due_at), due_at


@behave.when(
    "one call in {share:d} to a worker gets no reply at all for {seconds:d} s"
)
def step(context, share, seconds):
    context.worker = builders.make_worker("w-1", 8)
    for number in range(2 * seconds):
        now = builders.NOW + number / 2
        clock_ms = int(now * 1000)
        leases.record_clock(context.worker, clock_ms, now)
        context.last_end_ms = leases.extend(context.worker, number, 6.0, now)
        if number % share:
            leases.record_outcome(context.worker, number, is_refused=False)


@behave.then("leases of at most {count:d} calls are kept")
def step(context, count):
    kept = context.worker.requested_lease_ends
    assert len(kept) <= count, kept


@behave.then("the latest end of a lease is that of the last call")
def step(context):
    assert leases.find_latest_end(context.worker) == context.last_end_ms
