"""Steps for batch_takeover.feature."""

import attrs
import behave

from sapphirestall_core import messages
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import balance
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import former_proofs
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import instance
from sapphirestall_core.batch import job_changes
from sapphirestall_core.batch import jobs
from sapphirestall_core.batch import live_records
from sapphirestall_core.batch import model
from sapphirestall_core.batch import move_writes
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import published_capacity
from sapphirestall_core.batch import records
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import revisions
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import summaries
from sapphirestall_core.batch import takeover
from sapphirestall_core.batch import usability
from sapphirestall_core.batch import worker_list
from sapphirestall_core.batch import worker_messages
from sapphirestall_core.batch import workers

PARTITION = "north"
TOKEN = 50
ROSTER_REVISION = TOKEN - 5
OLD_TOKEN = 20
NOW = 100.0
JOB = "00000000000000aa"
QUEUE = model.Queue("batch", "host", "/jobs/", "service", 1, 3, 2.0, 1.0)
ENTRY = model.WorkerEntry(
    "w-1",
    7,
    "service",
    "w-1:1",
    PARTITION,
    resources.Vector(8000, 8000, 0),
    ("a", "r1"),
    False,
)
TASK = model.TaskName(JOB, 0, 0, 0)


STEP = model.Step(1, resources.Vector(1000, 100, 0))


def make_found(revision, steps=(STEP,)):
    record = records.JobRecord(JOB, QUEUE, PARTITION, "x", steps)
    key = records.make_job_key(PARTITION, JOB)
    return store_messages.Found(key, record, 0, revision, revision)


def make_owner(token, instance_id="e-1/1"):
    record = records.OwnerRecord(instance_id)
    key = records.make_live_owner_key(PARTITION)
    return store_messages.Found(key, record, 0, token, token)


def reply(context, purpose, outcome, now=NOW):
    event = store_messages.StoreReply(purpose, outcome, now)
    return instance.handle(event, context.batch, now)


def list_store_purposes(context):
    return [
        effect.purpose
        for effect in context.effects
        if isinstance(effect, store_messages.StoreEffect)
    ]


def make_instance(context):
    identity = state.Identity("e-1", "1", PARTITION)
    context.batch = instance.build(identity)
    context.batch.division_adopted = True
    # The list of workers stays recent while a test advances the time.
    context.batch.workers_listed_at = NOW + 60.0
    # So does the confirmation of the ownership.
    context.batch.lease_renewed_at = NOW + 60.0
    context.batch.configuration = model.Configuration(1, (QUEUE,))


def start_loading(context):
    make_instance(context)
    ownership.start_ownership(context.batch, PARTITION, TOKEN, NOW)
    context.partition = context.batch.partitions[PARTITION]
    deliver_no_progress(context)


def deliver_no_progress(context):
    """Delivers the reply that no job has progress."""
    purpose = takeover.ProgressRead(PARTITION, TOKEN)
    return reply(context, purpose, store_messages.Listed((), TOKEN + 1))


def load_remaining(context, now=NOW, owner="", settled=False, witnesses=()):
    entries = worker_list.EntriesRead((ENTRY,), NOW + 60.0)
    instance.handle(entries, context.batch, now)
    key = records.make_roster_key(PARTITION)
    # A former owner may have started runs on these workers.
    names = (ENTRY.worker_id, "w-silent") if owner else (ENTRY.worker_id,)
    roster = records.RosterRecord(
        0, names, owner, settled, (ENTRY,) if owner else (), witnesses
    )
    effects = reply(
        context,
        rosters.RosterRead(PARTITION, TOKEN),
        store_messages.Found(key, roster, 0, TOKEN - 20, ROSTER_REVISION),
        now,
    )
    confirm_roster(context, effects, now)
    assert context.partition.phase is state.Phase.ACTIVE


def confirm_roster(context, effects, now=NOW):
    """Delivers the reply that the roster among some effects was written."""
    write = next(
        effect
        for effect in effects
        if isinstance(effect, store_messages.StoreTransaction)
    )
    assert isinstance(write.purpose, rosters.RosterWrite)
    reply(context, write.purpose, store_messages.Committed(TOKEN + 5), now)


def make_poll(context):
    worker = context.partition.workers[ENTRY.worker_id]
    return worker_messages.HoldLease(
        worker.target, PARTITION, TOKEN, 0, None, 0.0, worker.short_poll
    )


def answer(context, call, content, now=NOW):
    event = worker_messages.WorkerReplied(call, content, now)
    return instance.handle(event, context.batch, now)


def get_task(context):
    return context.partition.jobs[JOB].steps[0].unfinished[0]


@behave.given("a loading owner that watches the job records")
def step(context):
    start_loading(context)
    context.partition.watching = True


@behave.given("an active owner that has just called a worker")
def step(context):
    load_partition(context, make_found(TOKEN - 10))


def load_partition(context, found):
    start_loading(context)
    reply(
        context,
        live_records.JobsRead(PARTITION, TOKEN),
        store_messages.Listed((make_owner(TOKEN), found), TOKEN + 1),
    )
    load_remaining(context)


@behave.when("the watch returns a new job")
def step(context):
    changed = store_messages.Followed((make_found(TOKEN + 2),), TOKEN + 2)
    reply(context, live_records.JobsWatch(PARTITION, TOKEN), changed)


@behave.when("the watch returns a job change older than the read")
def step(context):
    changed = store_messages.Followed((make_found(TOKEN - 10),), TOKEN - 5)
    reply(context, live_records.JobsWatch(PARTITION, TOKEN), changed)


@behave.when("the read in flight returns no jobs")
def step(context):
    reply(
        context,
        live_records.JobsRead(PARTITION, TOKEN),
        store_messages.Listed((make_owner(TOKEN),), TOKEN + 1),
    )


@behave.when("the owner has loaded everything else")
def step(context):
    load_remaining(context)


@behave.when("the worker lists a run for the first time")
def step(context):
    listed_run = model.ListedRun(TASK, 4, "", 10, 0.0)
    # An uncommitted end keeps the owner from polling again before a commit.
    other = model.TaskName("00000000000000bb", 0, 0, 0)
    end = model.EndedRun(1, other, 1, model.EndKind.DONE, "")
    listing = worker_messages.Listing(60_000, (listed_run,), (end,))
    answer(context, make_poll(context), listing)
    assert get_task(context).run is not None


@behave.when("the worker first refuses as unhealthy, with {what}")
def step(context, what):
    clock_ms = {"no clock reading": None, "its clock reading": 59_000}[what]
    refusal = worker_messages.Rejected("unhealthy", clock_ms)
    answer(context, make_poll(context), refusal)
    # The next poll extends no lease because the owner is still loading.
    context.partition.phase = state.Phase.LOADING
    checks_due = messages.TimerFired(workers.PeriodicChecksDue())
    instance.handle(checks_due, context.batch, NOW + 0.6)
    context.partition.phase = state.Phase.ACTIVE


@behave.when("the worker lists no runs")
def step(context):
    listing = worker_messages.Listing(60_000, (), ())
    effects = answer(context, make_poll(context), listing)
    # The first roster of the owner names the worker, which had not answered.
    confirm_roster(context, effects)


@behave.when("the start of the task is not answered")
def step(context):
    # No run of a former owner can exist on the worker any more.
    context.partition.unlisted_workers.clear()
    due = messages.TimerFired(passes.PassDue(PARTITION))
    effects = instance.handle(due, context.batch, NOW)
    context.start = next(
        effect
        for effect in effects
        if isinstance(effect, worker_messages.StartRun)
    )
    answer(context, context.start, worker_messages.NoAnswer("lost"))


@behave.when("the start of the task is confirmed later")
def step(context):
    answer(context, context.start, worker_messages.Done(60_000))


def list_pending(context):
    summary = summaries.make_summary(
        context.partition, context.batch.interference, NOW
    )
    return summary.pending.get(QUEUE.name, ())


@behave.then("the owner publishes the job as pending")
def step(context):
    assert JOB in list_pending(context)


@behave.then("the owner does not publish the job as pending")
def step(context):
    assert JOB not in list_pending(context)


@behave.when("the owner checks for expired leases")
def step(context):
    instance.handle(
        messages.TimerFired(workers.PeriodicChecksDue()),
        context.batch,
        NOW + 0.01,
    )


@behave.when("the worker does not answer for {seconds:g} s")
def step(context, seconds):
    now = NOW
    calls = [make_poll(context)]
    while now < NOW + seconds:
        now += 0.5
        effects = []
        for call in calls:
            no_answer = worker_messages.NoAnswer("lost")
            effects += answer(context, call, no_answer, now)
        checks_due = messages.TimerFired(workers.PeriodicChecksDue())
        effects += instance.handle(checks_due, context.batch, now)
        calls = [
            effect
            for effect in effects
            if isinstance(effect, worker_messages.HoldLease)
        ]


@behave.then("runs of former owners may still exist on the worker")
def step(context):
    assert ENTRY.worker_id in context.partition.unlisted_workers


@behave.when("the worker confirms a command but has listed nothing")
def step(context):
    worker = context.partition.workers[ENTRY.worker_id]
    contact.record_answer(worker, 60_000, NOW)


@behave.when("another worker answers at its address")
def step(context):
    answer(context, make_poll(context), worker_messages.Rejected("replaced"))


@behave.given("an active owner that waits for former runs on a worker")
def step(context):
    context.execute_steps("Given an active owner that has just called a worker")
    context.partition.unlisted_workers.add(ENTRY.worker_id)


@behave.then("no former run is waited for")
def step(context):
    assert not context.partition.unlisted_workers


@behave.when(
    "it reads a release of {lease_s:d} s, and the same release {later_s:d} s"
    " later"
)
def step(context, lease_s, later_s):
    for now in (NOW, NOW + later_s):
        read_release(context, lease_s, now)


def read_release(context, lease_s, now=NOW):
    generation = context.partition.generation - 1
    lease_ms = {ENTRY.worker_id: lease_s * 1000}
    record = records.ReleaseRecord(generation, lease_ms)
    releases.observe_release(context.partition, record, now)


@behave.when("it reads a release of {lease_s:d} s {later_s:d} s later")
def step(context, lease_s, later_s):
    read_release(context, lease_s, NOW + later_s)
    due = contact.RosterDue(PARTITION)
    context.effects = instance.handle(due, context.batch, NOW + later_s)


@behave.then("it writes a roster that names {seconds:d} s for the leases there")
def step(context, seconds):
    (write,) = list_store_purposes(context)
    withheld_ms = write.roster.withheld_ms[ENTRY.worker_id]
    assert withheld_ms == seconds * 1000 + 1, withheld_ms


@behave.then("it waits for the leases until {seconds:d} s after the first read")
def step(context, seconds):
    name = ENTRY.worker_id
    lease_end = former_runs.find_released_end(context.partition, name)
    assert lease_end == NOW + seconds, lease_end


@behave.when("the move of a waiting job conflicts")
def step(context):
    job = context.partition.jobs[JOB]
    job.move_in_flight = True
    loaded = state.LoadedJob(job.record, job.revision, job.create_revision)
    key = records.make_job_key(PARTITION, JOB)
    conflict = store_messages.Conflict({key: job.revision})
    effects = reply(
        context, move_writes.MoveWrite(PARTITION, TOKEN, loaded), conflict
    )
    context.purpose = effects[0].purpose


@behave.when("the job's record is read at the second attempt")
def step(context):
    no_answer = store_messages.Unavailable(False, "lost")
    effects = reply(context, context.purpose, no_answer)
    timer = next(
        effect.timer
        for effect in effects
        if isinstance(effect, messages.StartTimer)
        and isinstance(effect.timer, commits.JobRereadDue)
    )
    effects = instance.handle(
        messages.TimerFired(timer), context.batch, NOW + 0.2
    )
    reply(context, effects[0].purpose, make_found(TOKEN - 10))


@behave.then("the owner knows the new job")
def step(context):
    assert JOB in context.partition.jobs, context.partition.jobs


@behave.then("the run is still known on the worker")
def step(context):
    assert get_task(context).run is not None


@behave.then("the task of the run is queued again")
def step(context):
    task = get_task(context)
    assert task.run is None
    assert 0 in context.partition.jobs[JOB].steps[0].runnable


@behave.then("no task may start on the worker")
def step(context):
    worker = context.partition.workers[ENTRY.worker_id]
    assert not usability.accepts_service(worker, QUEUE.service, NOW)


@behave.then("the job may start")
def step(context):
    assert not context.partition.jobs[JOB].move_in_flight


@behave.when("the move of a waiting job is not answered")
def step(context):
    job = context.partition.jobs[JOB]
    job.move_in_flight = True
    loaded = state.LoadedJob(job.record, job.revision, job.create_revision)
    no_answer = store_messages.Unavailable(True, "lost")
    reply(context, move_writes.MoveWrite(PARTITION, TOKEN, loaded), no_answer)


@behave.when("a read of all job records shows the job unchanged")
def step(context):
    found = make_found(context.partition.jobs[JOB].revision)
    reply(
        context,
        live_records.JobsRead(PARTITION, TOKEN),
        store_messages.Listed((make_owner(TOKEN), found), 99),
    )


@behave.then("the job starts nothing")
def step(context):
    assert context.partition.jobs[JOB].move_in_flight


@behave.when("the record shows that tasks of a waiting job have moved")
def step(context):
    job = context.partition.jobs[JOB]
    job.move_in_flight = True
    loaded = state.LoadedJob(job.record, job.revision, job.create_revision)
    context.move = move_writes.MoveWrite(PARTITION, TOKEN, loaded)
    moved = attrs.evolve(make_found(TOKEN - 10), revision=TOKEN + 20)
    deliver_changes(context, moved)
    assert job.revision == TOKEN + 20 and not job.move_in_flight


ANSWERS = {
    "is confirmed": store_messages.Committed(TOKEN + 20),
    "conflicts": store_messages.Conflict({}),
    "is not answered and conflicts when sent again": (
        store_messages.Unavailable(True, "lost")
    ),
}


@behave.when("the job moves again before the first move {answer}")
def step(context, answer):
    context.partition.jobs[JOB].move_in_flight = True
    reply(context, context.move, ANSWERS[answer])
    timer = messages.TimerFired(move_writes.MoveRetryDue(context.move))
    instance.handle(timer, context.batch, NOW + 0.2)
    reply(context, context.move, store_messages.Conflict({}), NOW + 0.2)
    expected = context.move.loaded.revision
    read = commits.JobReread(PARTITION, TOKEN, JOB, expected, True)
    current = attrs.evolve(make_found(TOKEN - 10), revision=TOKEN + 20)
    reply(context, read, current, NOW + 0.2)


NEW_JOB = "00000000000000bb"


def make_new_job(revision):
    found = make_found(revision)
    record = attrs.evolve(found.value, job_id=NEW_JOB)
    key = records.make_job_key(PARTITION, NEW_JOB)
    return store_messages.Found(key, record, 0, revision, revision)


@behave.when("the owner reads the job records")
def step(context):
    context.read = next(
        effect
        for effect in live_records.read(context.partition)
        if isinstance(effect, store_messages.StoreList)
    )


@behave.then("the read includes the owner key")
def step(context):
    key = records.make_live_owner_key(PARTITION)
    assert key.startswith(context.read.prefix), context.read


@behave.when("it reads a newer owner key and a still newer job")
def step(context):
    entries = (make_owner(TOKEN + 7, "e-2/1"), make_new_job(TOKEN + 8))
    listed = store_messages.Listed(entries, TOKEN + 9)
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed)


@behave.when("it watches a newer owner key and a still newer job")
def step(context):
    changes = (make_owner(TOKEN + 7, "e-2/1"), make_new_job(TOKEN + 8))
    followed = store_messages.Followed(changes, TOKEN + 9)
    reply(context, live_records.JobsWatch(PARTITION, TOKEN), followed)


@behave.when("a later page of the list shows a job newer than the first page")
def step(context):
    entries = (make_owner(TOKEN), make_new_job(TOKEN + 8))
    listed = store_messages.Listed(entries, TOKEN + 2)
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed)


@behave.then("it has resigned and does not know the job")
def step(context):
    assert PARTITION not in context.batch.partitions
    assert NEW_JOB not in context.partition.jobs


@behave.then("it waits for the watch to return the job")
def step(context):
    assert PARTITION in context.batch.partitions
    assert NEW_JOB not in context.partition.jobs


@behave.given("an instance with a read of the job records in flight")
def step(context):
    lose_partition(context)
    context.earlier_read = live_records.JobsRead(PARTITION, OLD_TOKEN)


@behave.given("an instance with a read of the progress in flight")
def step(context):
    lose_partition(context)
    context.earlier_read = takeover.ProgressRead(PARTITION, OLD_TOKEN)


def lose_partition(context):
    """Lets an instance acquire a partition and lose it while loading."""
    make_instance(context)
    ownership.start_ownership(context.batch, PARTITION, OLD_TOKEN, NOW)
    ownership.resign(context.batch, PARTITION, "lease_lost", NOW)


@behave.when("it acquires the partition again")
def step(context):
    context.effects = ownership.start_ownership(
        context.batch, PARTITION, TOKEN, NOW
    )
    context.partition = context.batch.partitions[PARTITION]


@behave.when("the read returns a job of the partition")
def step(context):
    # A later page may be newer than the owner key, so the owner key in the list
    # does not show that the list was requested after the takeover.
    listed = store_messages.Listed(
        (make_owner(TOKEN), make_found(TOKEN - 10)), TOKEN + 1
    )
    reply(context, context.earlier_read, listed, NOW - 1.0)


@behave.when("a later read returns a job of the partition")
def step(context):
    listed = store_messages.Listed(
        (make_owner(TOKEN), make_found(TOKEN - 10)), TOKEN + 1
    )
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed)


@behave.when("the read of the progress returns nothing")
def step(context):
    listed = store_messages.Listed((), TOKEN - 1)
    reply(context, context.earlier_read, listed, NOW - 1.0)


@behave.then("it reads the job records again")
def step(context):
    assert context.partition.loaded_jobs is None, context.partition.loaded_jobs
    context.effects = deliver_no_progress(context)
    purposes = list_store_purposes(context)
    assert live_records.JobsRead(PARTITION, TOKEN) in purposes, context.effects


@behave.then("it reads the progress again")
def step(context):
    assert context.partition.loaded_progress is None
    purposes = list_store_purposes(context)
    assert takeover.ProgressRead(PARTITION, TOKEN) in purposes, context.effects


@behave.when("the move of a waiting job to another partition is confirmed")
def step(context):
    job = context.partition.jobs[JOB]
    job.move_in_flight = True
    record = attrs.evolve(job.record, partition="south")
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    move = move_writes.MoveWrite(PARTITION, TOKEN, loaded)
    reply(context, move, store_messages.Committed(TOKEN + 20))
    assert JOB not in context.partition.jobs


@behave.when("a read of all job records shows the job before its move")
def step(context):
    listed = store_messages.Listed(
        (make_owner(TOKEN), make_found(TOKEN - 10)), TOKEN + 19
    )
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed, NOW - 1.0)


@behave.then("the owner does not know the job")
def step(context):
    assert JOB not in context.partition.jobs


@behave.given("an active owner of a job of two steps")
def step(context):
    second = attrs.evolve(STEP, after=(0,))
    load_partition(context, make_found(TOKEN - 10, (STEP, second)))
    # A job is moved only if another partition has free capacity for it.
    summary = records.SummaryRecord(
        rooms=(published_capacity.FreeCapacity(8000, 8000),)
    )
    context.batch.summaries = {
        PARTITION: records.SummaryRecord(),
        "south": summary,
    }
    context.batch.summary_changes = {"south": (1, NOW)}
    context.batch.summaries_read_at = NOW


def move_waiting_tasks(context, number):
    """Makes the tasks of a step wait longer than the delay before a move."""
    context.partition.unlisted_workers.clear()
    for task in context.partition.jobs[JOB].steps[number].runnable.values():
        task.unplaced_since = NOW - 5.0
    context.effects = balance.move_unplaced_jobs(
        context.batch, context.partition, NOW
    )


@behave.when("the worker lists the end of the first step")
def step(context):
    end = model.EndedRun(1, TASK, 1, model.EndKind.DONE, "")
    listing = worker_messages.Listing(60_000, (), (end,))
    answer(context, make_poll(context), listing)


@behave.when("the second step waited and another partition has free capacity")
def step(context):
    move_waiting_tasks(context, 1)


@behave.when("the first step waited and another partition has free capacity")
def step(context):
    move_waiting_tasks(context, 0)


@behave.then("the owner moves nothing")
def step(context):
    assert not context.effects, context.effects


@behave.then(
    "the move of the job requires that the store has no progress of it"
)
def step(context):
    write = next(
        effect
        for effect in context.effects
        if isinstance(effect, store_messages.StoreTransaction)
    )
    absent = (records.make_progress_key(PARTITION, JOB), 0)
    assert absent in write.expected, write.expected


@behave.when("the ends of the worker up to position {position:d} are stored")
def step(context, position):
    worker = context.partition.workers[ENTRY.worker_id]
    # One short poll follows the join of the worker, another the activation.
    for _ in range(2):
        listing = worker_messages.Listing(60_000, (), ())
        answer(context, make_poll(context), listing)
    worker.processed_position = worker.acknowledged_position = position
    context.long_poll = attrs.evolve(
        make_poll(context), number=worker.long_poll, acknowledged=position
    )


@behave.when("the worker does not answer a poll")
def step(context):
    no_answer = worker_messages.NoAnswer("lost")
    context.effects = answer(context, context.long_poll, no_answer)


@behave.when("a newer incarnation of the worker answers a poll")
def step(context):
    restarted = worker_messages.Rejected("reborn")
    answer(context, context.long_poll, restarted)
    # Later than the refusal pause.
    checks_due = messages.TimerFired(workers.PeriodicChecksDue())
    context.effects = instance.handle(checks_due, context.batch, NOW + 2.0)


@behave.then("no task may start on the worker even after the refusal pause")
def step(context):
    worker = context.partition.workers[ENTRY.worker_id]
    later = NOW + 2 * contact.REFUSAL_PAUSE_S
    assert not usability.accepts_service(worker, QUEUE.service, later)


@behave.then("the next poll acknowledges no ends")
def step(context):
    polls = [
        effect
        for effect in context.effects
        if isinstance(effect, worker_messages.HoldLease)
    ]
    assert polls and not any(poll.acknowledged for poll in polls), polls


@behave.given(
    "an owner that loads for {seconds:g} s after a worker has answered"
)
def step(context, seconds):
    start_loading(context)
    entries = worker_list.EntriesRead((ENTRY,), NOW + 60.0)
    instance.handle(entries, context.batch, NOW)
    answer(context, make_poll(context), worker_messages.Listing(60_000, (), ()))
    context.now = NOW + seconds
    listed = store_messages.Listed(
        (make_owner(TOKEN), make_found(TOKEN - 10)), TOKEN + 1
    )
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed, context.now)


@behave.when("the owner has just become active")
def step(context):
    load_remaining(context, context.now, "e-2@e-2:1/0", settled=True)


@behave.when("{seconds:g} s pass without a listing")
def step(context, seconds):
    context.now += seconds


def list_startable(context):
    """Returns the jobs whose tasks a scheduling pass would start now."""
    return passes.sort_startable_jobs(
        context.batch, context.partition, context.now
    )


@behave.then("no job of former owners may start")
def step(context):
    assert not list_startable(context)


@behave.then("the jobs of former owners may start")
def step(context):
    assert list_startable(context)


def compute_first_number(partition, generation, record):
    owned = state.Partition(partition, TOKEN, NOW, generation=generation)
    return jobs.find_first_run_number(record, 0, 0, owned)


@behave.given("a job that moves between partitions whose owners are replaced")
def step(context):
    record = make_found(TOKEN).value
    context.numbers = []
    # Partition and generation of each successive owner of the job.
    for name, generation in (
        (PARTITION, 5),
        ("south", 2),
        ("south", 3),
        (PARTITION, 6),
        (PARTITION, 7),
    ):
        if name != record.partition:
            first_number = context.numbers[-1] + 1
            record = attrs.evolve(
                record, partition=name, first_number=first_number
            )
        context.numbers.append(compute_first_number(name, generation, record))


@behave.then("the run numbers of each owner exceed those of all former owners")
def step(context):
    numbers = context.numbers
    assert numbers == sorted(set(numbers)), numbers


@behave.given("an owner that has just acquired a partition")
def step(context):
    make_instance(context)
    context.effects = ownership.start_ownership(
        context.batch, PARTITION, TOKEN, NOW
    )
    context.partition = context.batch.partitions[PARTITION]


@behave.then("it has requested the progress and not the job records")
def step(context):
    purposes = list_store_purposes(context)
    assert takeover.ProgressRead(PARTITION, TOKEN) in purposes, purposes
    assert live_records.JobsRead(PARTITION, TOKEN) not in purposes, purposes


@behave.when("it receives the progress")
def step(context):
    context.effects = deliver_no_progress(context)


@behave.then("it requests the job records")
def step(context):
    purposes = list_store_purposes(context)
    assert live_records.JobsRead(PARTITION, TOKEN) in purposes, purposes


def start_commit(context):
    due = messages.TimerFired(commits.CommitDue(PARTITION, TOKEN))
    effects = instance.handle(due, context.batch, NOW)
    return [
        effect
        for effect in effects
        if isinstance(effect, store_messages.StoreTransaction)
        and isinstance(effect.purpose, commits.Commit)
    ]


@behave.when("the commit of that end conflicts with a newer record of the job")
def step(context):
    (write,) = start_commit(context)
    revisions = dict(write.expected)
    revisions[records.make_job_key(PARTITION, JOB)] = TOKEN + 30
    effects = reply(context, write.purpose, store_messages.Conflict(revisions))
    context.purpose = next(
        effect.purpose
        for effect in effects
        if isinstance(effect, store_messages.StoreGet)
    )


@behave.when("the worker restarts while the commit of that end is in flight")
def step(context):
    (write,) = start_commit(context)
    entry = attrs.evolve(ENTRY, started_at_ms=ENTRY.started_at_ms + 1)
    entries = worker_list.EntriesRead((entry,), NOW)
    instance.handle(entries, context.batch, NOW)
    committed = store_messages.Committed(TOKEN + 40)
    context.effects = reply(context, write.purpose, committed)


@behave.then("no end of the new incarnation is acknowledged")
def step(context):
    worker = context.partition.workers[ENTRY.worker_id]
    assert worker.target.started_at_ms == ENTRY.started_at_ms + 1
    assert worker.acknowledged_position == 0, worker.acknowledged_position


@behave.then("the ends of the worker are not acknowledged")
def step(context):
    assert not start_commit(context)
    worker = context.partition.workers[ENTRY.worker_id]
    assert worker.acknowledged_position == 0, worker.acknowledged_position


@behave.when("the newer record has been read")
def step(context):
    second = attrs.evolve(STEP, after=(0,))
    reply(context, context.purpose, make_found(TOKEN + 30, (STEP, second)))


@behave.then("the end is committed again")
def step(context):
    (write,) = start_commit(context)
    assert JOB in write.purpose.job_ids
    worker = context.partition.workers[ENTRY.worker_id]
    assert write.purpose.acknowledged == {worker.target: 1}, (
        write.purpose.acknowledged
    )


def make_moved_job():
    """Returns the record of a job that was moved here with its progress."""
    found = make_found(TOKEN + 30, (STEP, attrs.evolve(STEP, after=(0,))))
    record = attrs.evolve(found.value, first_number=20, has_progress=True)
    return attrs.evolve(found, value=record)


def deliver_changes(context, *changes):
    followed = store_messages.Followed(changes, TOKEN + 40)
    return reply(context, live_records.JobsWatch(PARTITION, TOKEN), followed)


def find_progress_read(effects):
    return next(
        (
            effect.purpose
            for effect in effects
            if isinstance(effect, store_messages.StoreGet)
            and isinstance(effect.purpose, job_changes.MovedProgressRead)
        ),
        None,
    )


def deliver_progress(context):
    """Delivers the progress that was read: the first step is done."""
    progress = records.ProgressRecord(
        (records.StepProgress((0,)), records.StepProgress())
    )
    key = records.make_progress_key(PARTITION, JOB)
    revision = TOKEN + 30
    found = store_messages.Found(key, progress, 0, revision, revision)
    return reply(context, context.purpose, found)


@behave.when("a job moves here with its progress")
def step(context):
    del context.partition.jobs[JOB]
    context.purpose = find_progress_read(
        deliver_changes(context, make_moved_job())
    )


@behave.when("the job is cancelled while the read of the progress is in flight")
def step(context):
    key = records.make_job_key(PARTITION, JOB)
    deliver_changes(context, store_messages.Removed(key, TOKEN + 35))
    deliver_progress(context)


@behave.when(
    "the job moves away and back with progress before the move is confirmed"
)
def step(context):
    job = context.partition.jobs[JOB]
    job.move_in_flight = True
    record = attrs.evolve(job.record, partition="south")
    loaded = state.LoadedJob(record, job.revision, job.create_revision)
    context.move = move_writes.MoveWrite(PARTITION, TOKEN, loaded)
    key = records.make_job_key(PARTITION, JOB)
    removed = store_messages.Removed(key, TOKEN + 20)
    context.effects = deliver_changes(context, removed, make_moved_job())


@behave.then("the owner reads the progress of the job")
def step(context):
    context.purpose = find_progress_read(context.effects)
    assert context.purpose is not None, context.effects


@behave.when("the first move is confirmed")
def step(context):
    reply(context, context.move, store_messages.Committed(TOKEN + 20))


@behave.when("the progress of the job is read")
def step(context):
    deliver_progress(context)


@behave.then("the owner knows the job with the first step done")
def step(context):
    job = context.partition.jobs[JOB]
    assert job.steps[0].done == {0} and not job.steps[0].unfinished
    assert list(job.steps[1].runnable) == [0]
    assert not job.move_in_flight


@behave.when("a later listing contains only the first of many ends")
def step(context):
    ends = tuple(
        model.EndedRun(
            position,
            model.TaskName("00000000000000bb", 0, 0, position),
            1,
            model.EndKind.DONE,
            "",
        )
        for position in range(1, 501)
    )
    context.now = NOW + 2.0
    listing = worker_messages.Listing(62_000, (), ends)
    answer(context, make_poll(context), listing, context.now)


@behave.given("a loading owner whose job record changes during the list")
def step(context):
    start_loading(context)
    long_running = attrs.evolve(STEP, long_running=True)
    found = attrs.evolve(
        make_found(TOKEN + 8, (long_running,)), create_revision=TOKEN - 10
    )
    # If the owner reads again, it finds the same record.
    for revision in (TOKEN + 2, TOKEN + 9):
        listed = store_messages.Listed((make_owner(TOKEN), found), revision)
        effects = reply(
            context, live_records.JobsRead(PARTITION, TOKEN), listed
        )
        repeated_reads = [
            effect.purpose
            for effect in effects
            if isinstance(effect, store_messages.StoreList)
        ]
        if not repeated_reads:
            break
    load_remaining(context)


@behave.when("the worker lists a run of the job")
def step(context):
    listed_run = model.ListedRun(TASK, 4, "", 100, 0.0)
    listing = worker_messages.Listing(60_000, (listed_run,), ())
    context.effects = answer(context, make_poll(context), listing)


@behave.then("the run is not stopped")
def step(context):
    stops = [
        effect
        for effect in context.effects
        if isinstance(effect, worker_messages.StopRun)
    ]
    assert not stops, stops


@behave.when("a listing with the run arrives, and then an older one without it")
def step(context):
    worker = context.partition.workers[ENTRY.worker_id]
    run = get_task(context).run
    # Both listings were 0.3 s or more in flight, longer than clock drift can
    # account for.
    listed_run = model.ListedRun(TASK, run.number, "", 10, 0.0)
    answers = (
        worker_messages.Listing(60_700, (listed_run,), ()),
        worker_messages.Listing(60_400, (), ()),
    )
    for listing in answers:
        contact.short_poll(context.batch, context.partition, worker, NOW + 1.0)
        answer(context, make_poll(context), listing, NOW + 1.0)


OWNERS = {
    "an earlier process of the same instance": "e-1@e-1:1/0",
    "a process of the same name at other address": "e-1@e-9:1/0",
    "a process of another instance": "e-2@e-2:1/0",
    "this process": "e-1@e-1:1/1",
}


ROSTERS = {
    "a settled roster": (True, ()),
    "an unsettled roster": (False, (ENTRY.worker_id,)),
    "an unsettled roster whose workers are new": (False, ()),
}


@behave.given("a new owner that finds {roster} of {process}")
def step(context, roster, process):
    make_instance(context)
    context.batch.identity = state.Identity(
        "e-1", "1", PARTITION, address="e-1:1"
    )
    context.batch.started_at = NOW
    ownership.start_ownership(context.batch, PARTITION, TOKEN, NOW)
    context.partition = context.batch.partitions[PARTITION]
    deliver_no_progress(context)
    listed = store_messages.Listed((make_owner(TOKEN),), TOKEN + 1)
    reply(context, live_records.JobsRead(PARTITION, TOKEN), listed)
    load_remaining(context, NOW, OWNERS[process], *ROSTERS[roster])


@behave.given("that knew nothing of the former owner's summary")
def step(context):
    reply_summaries(context, store_messages.Unavailable(False, "refused"))


@behave.given("that knew the former owner's summary for {seconds:g} s")
def step(context, seconds):
    note_revision(context, ROSTER_REVISION + 1, seconds)
    list_summaries(context, ROSTER_REVISION + 1)


@behave.given("that knew an older summary, and the roster for {seconds:g} s")
def step(context, seconds):
    note_revision(context, ROSTER_REVISION, seconds)
    list_summaries(context, ROSTER_REVISION - 1)


@behave.given("that knew no summary, and the roster for {seconds:g} s")
def step(context, seconds):
    note_revision(context, ROSTER_REVISION, seconds)
    reply_summaries(context, store_messages.Listed((), TOKEN + 6))


@behave.given("that reads that another owner knew {what} for {seconds:g} s")
def step(context, what, seconds):
    revision = ROSTER_REVISION + (what == "the summary")
    ages_ms = {str(revision): int(seconds * 1000)}
    list_summaries(context, ROSTER_REVISION + 1, ages_ms)


def note_revision(context, revision, age_s):
    """Lets the instance know that the store had reached a revision."""
    times = revisions.RevisionTimes()
    times.record(ROSTER_REVISION - 1, NOW - 25)
    times.record(revision, NOW - age_s)
    context.batch.revision_times = times


def list_summaries(context, own_revision, other_ages_ms=None):
    """Replies with the former owner's summary and that of another owner."""
    own = records.SummaryRecord()
    other = records.SummaryRecord(revision_ages_ms=other_ages_ms or {})
    found = tuple(
        store_messages.Found(
            records.make_summary_key(name), summary, 0, 1, revision
        )
        for name, summary, revision in (
            (PARTITION, own, own_revision),
            ("other", other, TOKEN + 5),
        )
    )
    reply_summaries(context, store_messages.Listed(found, TOKEN + 6))


def reply_summaries(context, outcome):
    purpose = former_proofs.FormerSummaryRead(PARTITION, TOKEN, ROSTER_REVISION)
    reply(context, purpose, outcome)


@behave.when("a worker of that roster answers")
def step(context):
    listing = worker_messages.Listing(1000, (), ())
    answer(context, make_poll(context), listing)


@behave.when("no worker answers")
def step(context):
    context.partition.unlisted_workers.discard(ENTRY.worker_id)


@behave.then(
    "former runs on silent workers are awaited for {seconds:g} s from its start"
)
def step(context, seconds):
    partition = context.partition
    assert partition.unlisted_workers == {"w-silent"}
    waited_s = partition.former_runs_end_at - context.batch.started_at
    assert abs(waited_s - seconds) < 0.1, waited_s
