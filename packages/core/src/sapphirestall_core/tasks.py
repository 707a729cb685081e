"""Batch work: ownership of partitions, polling, placement, completion."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import control
from sapphirestall_core import dispatch
from sapphirestall_core import jobs
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import ownership
from sapphirestall_core import placement
from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core import task_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "tasks"
POLL_PERIOD_S = 2.0
OWNERS_PERIOD_S = 2.0
COMMIT_PERIOD_S = 1.0


@attrs.frozen
class LeaseDue(messages.Timer):
    """Time to obtain or renew the store lease."""


@attrs.frozen
class OwnersDue(messages.Timer):
    """Time to look for partitions without an owner."""


@attrs.frozen
class PollDue(messages.Timer):
    """Time to poll the workers of a partition."""

    partition: str
    epoch: int


@attrs.frozen
class CommitDue(messages.Timer):
    """Time to commit completions of a partition."""

    partition: str
    epoch: int


@attrs.frozen
class KeepLease(store_messages.Purpose):
    """Obtains or renews the store lease."""


@attrs.frozen
class ListOwners(store_messages.Purpose):
    """Looks which partitions have an owner."""


@attrs.frozen
class Acquire(store_messages.Purpose):
    """Creates the owner key of a partition."""

    partition: str


@attrs.frozen
class ReadProgress(store_messages.Purpose):
    """Reads a partition's committed state at takeover."""

    partition: str
    epoch: int


@attrs.frozen
class FenceProgress(store_messages.Purpose):
    """Writes a partition's committed state back under the new epoch."""

    partition: str
    epoch: int
    progress: jobs.Progress


@attrs.frozen
class CommitProgress(store_messages.Purpose):
    """Commits completions."""

    partition: str
    epoch: int
    progress: jobs.Progress
    names: tuple[task_messages.AttemptName, ...]


@attrs.frozen
class ListJobRecords(store_messages.Purpose):
    """Reads the jobs of the data centre."""


@attrs.frozen
class CreateJob(store_messages.Purpose):
    """Creates a job record."""

    call_id: str
    record: jobs.JobRecord


@dispatch.expire.register(LeaseDue)
def keep_lease(
    timer: LeaseDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Obtains or renews the store lease."""
    lease = instance.tasks.lease
    if lease.lease_id:
        call: store_messages.StoreEffect = store_messages.StoreRenewLease(
            KeepLease(), lease.lease_id
        )
    else:
        call = store_messages.StoreGrantLease(
            KeepLease(), ownership.OWNER_LEASE_S
        )
    return [call]


@dispatch.resume.register(KeepLease)
def take_lease(
    purpose: KeepLease,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records the lease; a lost lease is obtained anew."""
    lease = instance.tasks.lease
    match reply.outcome:
        case store_messages.LeaseGranted(lease_id=lease_id, ttl_s=ttl_s):
            lease.confirm(lease_id, ttl_s, reply.sent_at)
        case store_messages.LeaseLost():
            lease.lease_id = ""
    delay_s = ownership.OWNER_LEASE_S / 5
    return [messages.StartTimer(LeaseDue(), delay_s, 0.1)]


@dispatch.expire.register(OwnersDue)
def list_owners(
    timer: OwnersDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the owner keys of the data centre."""
    prefix = jobs.make_owner_key(instance.identity.data_centre, "")
    return [
        store_messages.StoreList(ListOwners(), prefix, ownership.Owner),
        messages.StartTimer(OwnersDue(), OWNERS_PERIOD_S, 0.2),
    ]


@dispatch.resume.register(ListOwners)
def take_owners(
    purpose: ListOwners,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Tries to acquire partitions that have no owner."""
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    _refresh_partitions(instance)
    owners = {
        found.key.rsplit("/", 1)[1]: found for found in reply.outcome.entries
    }
    effects: dispatch.Effects = []
    for partition in instance.tasks.partitions.values():
        found = owners.get(partition.name)
        if found is None:
            effects += _acquire(partition, instance, now)
        elif isinstance(found.value, ownership.Owner):
            partition.owner_id = found.value.instance_id
            partition.owner_epoch = found.create_revision
    return effects


def _refresh_partitions(instance: state.Instance) -> None:
    listings = instance.members.find(
        membership.Kind.WORKER, instance.identity.data_centre
    )
    for entry in listings:
        partition = instance.tasks.partitions.setdefault(
            entry.rack, tasks_state.Partition(entry.rack)
        )
        if entry.instance_id not in partition.workers:
            partition.workers[entry.instance_id] = tasks_state.Worker(
                entry.instance_id, entry.address, entry.rack
            )


def _acquire(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    lease = instance.tasks.lease
    live = control.find_live_entries(instance, now)
    ranked = membership.rank_candidates(partition.name, live)
    identity = instance.identity
    if not lease.is_valid(now) or ranked[:1] != [identity.instance_id]:
        return []
    owner = ownership.Owner(identity.instance_id, identity.incarnation)
    key = jobs.make_owner_key(identity.data_centre, partition.name)
    return [
        store_messages.StorePut(
            Acquire(partition.name), key, owner, 0, lease.lease_id
        )
    ]


@dispatch.resume.register(Acquire)
def take_ownership(
    purpose: Acquire,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Reads the committed state after the owner key was created."""
    if not isinstance(reply.outcome, store_messages.Written):
        return []
    partition = instance.tasks.partitions[purpose.partition]
    epoch = reply.outcome.create_revision
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    return [
        store_messages.StoreGet(
            ReadProgress(partition.name, epoch), key, jobs.Progress
        )
    ]


@dispatch.resume.register(ReadProgress)
def fence_progress(
    purpose: ReadProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Writes the committed state back, so that older owners' commits fail."""
    partition = instance.tasks.partitions[purpose.partition]
    match reply.outcome:
        case store_messages.Found(value=jobs.Progress() as progress):
            version = reply.outcome.version
        case store_messages.Absent():
            progress, version = jobs.Progress(), 0
        case _:
            return []
    fenced = attrs.evolve(
        progress, epoch=purpose.epoch, witnesses=tuple(partition.workers)
    )
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    return [
        store_messages.StorePut(
            FenceProgress(partition.name, purpose.epoch, fenced),
            key,
            fenced,
            version,
        )
    ]


@dispatch.resume.register(FenceProgress)
def start_ownership(
    purpose: FenceProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Starts to poll the workers and reads the jobs."""
    if not isinstance(reply.outcome, store_messages.Written):
        return []
    partition = instance.tasks.partitions[purpose.partition]
    partition.epoch = purpose.epoch
    partition.progress = purpose.progress
    partition.progress_version = reply.outcome.version
    instance.journal.record(
        now, partition.name, "own", f"epoch {purpose.epoch}"
    )
    return [
        messages.Log(
            "ownership",
            f"took partition {partition.name}",
            {"epoch": partition.epoch},
        ),
        _list_jobs(instance),
        messages.StartTimer(PollDue(partition.name, partition.epoch), 0.0),
        messages.StartTimer(
            CommitDue(partition.name, partition.epoch), COMMIT_PERIOD_S
        ),
    ]


def _list_jobs(instance: state.Instance) -> store_messages.StoreList:
    prefix = jobs.make_job_key(instance.identity.data_centre, "")
    return store_messages.StoreList(ListJobRecords(), prefix, jobs.JobRecord)


@dispatch.resume.register(ListJobRecords)
def take_jobs(
    purpose: ListJobRecords,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Takes the jobs with a slice in an owned partition."""
    if not isinstance(reply.outcome, store_messages.Listed):
        return []
    for found in reply.outcome.entries:
        if isinstance(found.value, jobs.JobRecord):
            _take_job(found.value, found.version, instance)
    return _place(instance, now)


def _take_job(
    record: jobs.JobRecord, version: int, instance: state.Instance
) -> None:
    owned = instance.tasks.partitions
    job = instance.tasks.jobs.setdefault(
        record.job_id, tasks_state.Job(record, version)
    )
    for part in record.slices:
        partition = owned.get(part.partition)
        if partition is None or not partition.epoch:
            continue
        ranges = partition.progress.finished.get(record.job_id, ())
        for number in range(part.first, part.last + 1):
            done = any(r.first <= number <= r.last for r in ranges)
            if not done:
                job.tasks.setdefault(number, tasks_state.Task(number))


@dispatch.expire.register(PollDue)
def poll_workers(
    timer: PollDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Polls every worker of an owned partition."""
    partition = instance.tasks.partitions[timer.partition]
    if partition.epoch != timer.epoch or not instance.tasks.lease.is_valid(now):
        return []
    partition.round_number += 1
    effects: dispatch.Effects = [
        task_messages.PollWorker(
            worker.worker_id,
            worker.address,
            partition.epoch,
            worker.clock + placement.COMMAND_TERM_S,
            partition.round_number,
            placement.TASK_LEASE_S,
            renew=tuple(_find_running(worker.worker_id, instance)),
            acknowledge=tuple(partition.acknowledged),
        )
        for worker in partition.workers.values()
    ]
    effects.append(messages.StartTimer(timer, POLL_PERIOD_S, 0.1))
    return effects


def _find_running(
    worker_id: str, instance: state.Instance
) -> list[task_messages.AttemptName]:
    return [
        task.attempt
        for job in instance.tasks.jobs.values()
        for task in job.tasks.values()
        if task.worker_id == worker_id and task.attempt is not None
    ]


@dispatch.handle.register(task_messages.WorkerReported)
def take_report(
    event: task_messages.WorkerReported, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Takes a worker's inventory and places what now fits."""
    worker = _find_worker(event.worker_id, instance)
    if worker is None:
        return []
    worker.clock = event.report.clock
    worker.reported_at = now
    worker.incarnation = event.report.incarnation
    ledger = resources.Ledger(event.report.capacity)
    for service in event.report.services:
        ledger.record(("service", service.service), service.reserved)
    for report in event.report.tasks:
        _take_task_report(report, worker, ledger, instance)
    worker.ledger = ledger
    return _place(instance, now)


def _find_worker(
    worker_id: str, instance: state.Instance
) -> tasks_state.Worker | None:
    for partition in instance.tasks.partitions.values():
        if worker_id in partition.workers:
            return partition.workers[worker_id]
    return None


def _take_task_report(
    report: task_messages.TaskReport,
    worker: tasks_state.Worker,
    ledger: resources.Ledger,
    instance: state.Instance,
) -> None:
    job = instance.tasks.jobs.get(report.name.job_id)
    task = job.tasks.get(report.name.task) if job else None
    if report.state is task_messages.TaskState.RUNNING:
        ledger.record(report.name, report.reserved)
    if task is None:
        return
    task.attempt = report.name
    task.worker_id = worker.worker_id
    task.state = report.state
    if report.state is task_messages.TaskState.FINISHED:
        partition = instance.tasks.partitions[worker.partition]
        partition.uncommitted.add(report.name)


def _place(instance: state.Instance, now: float) -> dispatch.Effects:
    if not instance.tasks.lease.is_valid(now):
        return []
    effects: dispatch.Effects = []
    for job in instance.tasks.jobs.values():
        for task in job.tasks.values():
            if task.attempt is None:
                effects += _place_task(job, task, instance)
    return effects


def _place_task(
    job: tasks_state.Job, task: tasks_state.Task, instance: state.Instance
) -> dispatch.Effects:
    record = job.record
    for part in record.slices:
        partition = instance.tasks.partitions.get(part.partition)
        if partition is None or not partition.epoch:
            continue
        if not part.first <= task.task <= part.last:
            continue
        worker = placement.choose_worker(
            partition.workers.values(), record.declared
        )
        if worker is None or worker.ledger is None:
            return []
        instance.tasks.attempts_made += 1
        attempt = placement.number_attempt(
            partition.epoch, instance.tasks.attempts_made
        )
        name = task_messages.AttemptName(record.job_id, task.task, attempt)
        worker.ledger.reserve(name, record.declared)
        task.attempt, task.worker_id = name, worker.worker_id
        return [
            task_messages.StartTask(
                worker.worker_id,
                worker.address,
                partition.epoch,
                worker.clock + placement.COMMAND_TERM_S,
                name,
                record.kind,
                record.declared,
                record.run_s,
                placement.TASK_LEASE_S,
            )
        ]
    return []


@dispatch.handle.register(task_messages.CommandDone)
@dispatch.handle.register(task_messages.CommandFailed)
@dispatch.handle.register(task_messages.WorkerFailed)
def ignore_event(
    event: messages.Event, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Leaves the matter to the worker's next report."""
    return []


@dispatch.expire.register(CommitDue)
def commit_progress(
    timer: CommitDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Commits all completions since the last commit in one write."""
    partition = instance.tasks.partitions[timer.partition]
    if partition.epoch != timer.epoch:
        return []
    again = messages.StartTimer(timer, COMMIT_PERIOD_S)
    if partition.commit_in_flight or not partition.uncommitted:
        return [again]
    names = tuple(sorted(partition.uncommitted, key=str))
    finished = dict(partition.progress.finished)
    for name in names:
        finished[name.job_id] = placement.add_to_ranges(
            finished.get(name.job_id, ()), name.task
        )
    progress = attrs.evolve(partition.progress, finished=finished)
    partition.commit_in_flight = True
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    return [
        again,
        store_messages.StorePut(
            CommitProgress(partition.name, timer.epoch, progress, names),
            key,
            progress,
            partition.progress_version,
        ),
    ]


@dispatch.resume.register(CommitProgress)
def finish_commit(
    purpose: CommitProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Acknowledges committed tasks to their workers at the next poll."""
    partition = instance.tasks.partitions[purpose.partition]
    partition.commit_in_flight = False
    if not isinstance(reply.outcome, store_messages.Written):
        return [messages.CountRetry(PART, "commit_failed")]
    partition.progress = purpose.progress
    partition.progress_version = reply.outcome.version
    partition.uncommitted -= set(purpose.names)
    partition.acknowledged = list(purpose.names)
    return []


@dispatch.execute.register(operator_messages.SubmitJob)
def submit_job(
    command: operator_messages.SubmitJob,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Creates a job record whose tasks belong to one partition."""
    names = sorted(instance.tasks.partitions)
    if not names:
        failure = operator_messages.Failure(
            "no_partition", "submit", "no worker is known here", 503
        )
        return [operator_messages.AnswerOperator(call_id, failure)]
    record = jobs.JobRecord(
        job_id=command.job_id,
        data_centre=command.data_centre,
        team=command.team,
        kind=command.kind,
        task_count=command.task_count,
        declared=resources.Vector(
            command.cpu_millis, command.memory_mb, command.accelerators
        ),
        run_s=command.run_s,
        urgency=command.urgency,
        checkpointable=command.checkpointable,
        slices=(jobs.Slice(names[0], 0, command.task_count - 1),),
        submitted_at=now + instance.identity.wall_offset,
    )
    key = jobs.make_job_key(command.data_centre, command.job_id)
    return [store_messages.StorePut(CreateJob(call_id, record), key, record, 0)]


@dispatch.resume.register(CreateJob)
def finish_submission(
    purpose: CreateJob,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Answers the operator and tells the owner."""
    record = purpose.record
    if not isinstance(reply.outcome, store_messages.Written):
        failure = operator_messages.Failure(
            "duplicate_job", "submit", "the job id is taken", 409
        )
        return [operator_messages.AnswerOperator(purpose.call_id, failure)]
    _take_job(record, reply.outcome.version, instance)
    shown = _show(record.job_id, instance)
    return [
        operator_messages.AnswerOperator(purpose.call_id, shown),
        *_place(instance, now),
    ]


@dispatch.execute.register(operator_messages.ShowJob)
def show_job(
    command: operator_messages.ShowJob,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Shows a job as this instance sees it."""
    return [
        operator_messages.AnswerOperator(
            call_id, _show(command.job_id, instance)
        )
    ]


def _show(job_id: str, instance: state.Instance) -> operator_messages.Result:
    job = instance.tasks.jobs.get(job_id)
    if job is None:
        return operator_messages.Failure(
            "unknown_job", "show", f"no job {job_id!r} is known here", 404
        )
    states = [task.state for task in job.tasks.values()]
    finished = job.record.task_count - len(states)
    finished += states.count(task_messages.TaskState.FINISHED)
    running = states.count(task_messages.TaskState.RUNNING)
    waiting = job.record.task_count - finished - running
    summary = "running" if running or waiting else "finished"
    return operator_messages.JobShown(
        job_id, job.record.data_centre, summary, finished, running, waiting
    )
