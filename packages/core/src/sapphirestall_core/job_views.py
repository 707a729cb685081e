"""Operators' commands and queries about existing jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import answers
from sapphirestall_core import dispatch
from sapphirestall_core import job_updates
from sapphirestall_core import jobs
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import ownership
from sapphirestall_core import peer_messages
from sapphirestall_core import store_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

QUERY_TIMEOUT_S = 1.0
WAITING_REASONS = {
    "no_room": "no worker has enough free capacity",
    "slowdown": (
        "every worker with enough free capacity would slow its services too"
        " much"
    ),
    "probation": "every worker with enough free capacity is on probation",
    "quota": "the team has used up its quota here",
    "floor": "the remaining capacity is kept for less urgent work",
}


@attrs.frozen
class QueryDue(messages.Timer):
    """Timer to answer a query although not all owners have replied."""

    call_id: str


@attrs.frozen
class ReadShownJob(store_messages.Purpose):
    """Purpose of the read of the record of a job that an operator queries."""

    call_id: str
    job_id: str


@attrs.frozen
class ReadListedJobs(store_messages.Purpose):
    """Purpose of the read of the records of all jobs for an operator."""

    call_id: str


@dispatch.execute.register(operator_messages.CancelJob)
def cancel_job(
    command: operator_messages.CancelJob,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Marks a job as cancelled; the owners stop its tasks."""
    if command.data_centre != instance.identity.data_centre:
        forwarded = peer_messages.CancellationForwarded(call_id, command)
        return answers.forward(
            command.data_centre, call_id, forwarded, instance, now
        )
    update = job_updates.CancelJob(command.job_id, call_id)
    return job_updates.start(update, instance, now)


@dispatch.execute.register(operator_messages.ShowJob)
def show_job(
    command: operator_messages.ShowJob,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Shows a job with the task counts of all owners."""
    data_centre = instance.identity.data_centre
    if command.data_centre != data_centre:
        forwarded = peer_messages.QuestionForwarded(call_id, command)
        return answers.forward(
            command.data_centre, call_id, forwarded, instance, now
        )
    key = jobs.make_job_key(data_centre, command.job_id)
    purpose = ReadShownJob(call_id, command.job_id)
    return [store_messages.StoreGet(purpose, key, jobs.JobRecord)]


@dispatch.handle_store_reply.register(ReadShownJob)
def handle_shown_job_read(
    purpose: ReadShownJob,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Queries the owners, or answers from the record of an ended job."""
    call_id, job_id = purpose.call_id, purpose.job_id
    match reply.outcome:
        case store_messages.Found(value=jobs.JobRecord() as record):
            return _start_query(call_id, record, instance, now)
        case store_messages.Absent():
            detail = f"no job {job_id!r} exists"
            return answers.refuse(call_id, "unknown_job", "show", detail, 404)
    known = instance.tasks.jobs.get(job_id)
    if known is None:
        return answers.refuse_without_store(call_id, "show")
    return _start_query(call_id, known.record, instance, now)


def _start_query(
    call_id: str, record: jobs.JobRecord, instance: state.Instance, now: float
) -> dispatch.Effects:
    pending = {part.partition for part in record.slices if not part.done}
    query = tasks_state.Query(call_id, record, pending)
    query.finished = sum(
        part.last - part.first + 1 for part in record.slices if part.done
    )
    if record.state is not jobs.JobState.ACTIVE:
        query.awaited = set()
        return _answer_query(query)
    for share in describe_shares(record.job_id, instance, now):
        _add_share(query, share)
    instance.tasks.queries[call_id] = query
    if not query.awaited:
        return _finish_query(query, instance)
    question = peer_messages.SharesRequested(call_id, record.job_id)
    own = instance.identity.data_centre
    return [
        *(
            peer_messages.SendPeer(peer_id, question)
            for peer_id in answers.find_live_peers(own, instance, now)
        ),
        messages.StartTimer(QueryDue(call_id), QUERY_TIMEOUT_S),
    ]


def describe_shares(
    job_id: str, instance: state.Instance, now: float
) -> tuple[peer_messages.ShareState, ...]:
    """Returns the progress of a job in the owned partitions."""
    job = instance.tasks.jobs.get(job_id)
    if job is None:
        return ()
    states = []
    for share in job.shares.values():
        partition = instance.tasks.partitions[share.partition]
        reason = ""
        if share.waiting.count:
            reason = explain_waiting(share, partition, instance, now)
        states.append(
            peer_messages.ShareState(
                share.partition, share.finished.count, share.running, reason
            )
        )
    return tuple(states)


def explain_waiting(
    share: tasks_state.Share,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> str:
    """Returns why the waiting tasks of a share are not started."""
    name = partition.name
    lease = instance.tasks.lease
    authority = ownership.find_authority(partition, lease, now)
    if authority is ownership.Authority.NONE:
        return f"{name}: the owner has no authority at present"
    created_after_epoch = share.job.create_revision > partition.epoch
    if not partition.former_attempts_ended and not created_after_epoch:
        uninventoried = [
            worker_id
            for worker_id in partition.progress.witnesses
            if worker_id not in partition.workers
            or not partition.workers[worker_id].inventoried
        ]
        return f"{name}: tasks may still run on {', '.join(uninventoried)}"
    ledgers = [w.ledger for w in partition.workers.values() if w.ledger]
    if not ledgers:
        return f"{name}: no worker reports"
    declared = share.job.record.declared
    if not any(declared.fits(ledger.capacity) for ledger in ledgers):
        return f"{name}: a task is larger than every worker that reports"
    if not any(declared.fits(ledger.compute_free()) for ledger in ledgers):
        return f"{name}: no worker has enough free capacity"
    if share.waiting_reason:
        return f"{name}: {WAITING_REASONS[share.waiting_reason]}"
    return f"{name}: about to start"


def _add_share(
    query: tasks_state.Query, share: peer_messages.ShareState
) -> None:
    if share.partition not in query.awaited:
        return
    query.awaited.discard(share.partition)
    query.finished += share.finished
    query.running += share.running
    if share.reason:
        query.reasons.append(share.reason)


def _finish_query(
    query: tasks_state.Query, instance: state.Instance
) -> dispatch.Effects:
    instance.tasks.queries.pop(query.call_id, None)
    return _answer_query(query)


def _answer_query(query: tasks_state.Query) -> dispatch.Effects:
    record = query.record
    reasons = query.reasons + [
        f"{name}: no owner answered" for name in sorted(query.awaited)
    ]
    shown_state = record.state.value
    waiting = record.task_count - query.finished - query.running
    if record.state is jobs.JobState.ACTIVE:
        shown_state = "running" if query.running else "waiting"
        if query.finished == record.task_count:
            shown_state = "finished"
    else:
        waiting = 0
        reasons = [record.reason] if record.reason else []
    shown = operator_messages.JobShown(
        record.job_id,
        record.data_centre,
        shown_state,
        query.finished,
        query.running,
        max(0, waiting),
        "; ".join(reasons),
    )
    return answers.answer(query.call_id, shown)


@dispatch.handle_timer.register(QueryDue)
def handle_query_timeout(
    timer: QueryDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Answers a query although not all owners have replied."""
    query = instance.tasks.queries.get(timer.call_id)
    return _finish_query(query, instance) if query else []


@dispatch.receive.register(peer_messages.SharesRequested)
def report_shares(
    message: peer_messages.SharesRequested,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Tells a peer the progress of a job in the partitions owned here."""
    shares = describe_shares(message.job_id, instance, now)
    reply = peer_messages.SharesReported(message.call_id, shares)
    return [peer_messages.SendPeer(peer_id, reply)]


@dispatch.receive.register(peer_messages.SharesReported)
def receive_shares(
    message: peer_messages.SharesReported,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adds a peer's counts; answers the query if none is missing."""
    query = instance.tasks.queries.get(message.call_id)
    if query is None:
        return []
    for share in message.shares:
        _add_share(query, share)
    return [] if query.awaited else _finish_query(query, instance)


@dispatch.execute.register(operator_messages.ListJobs)
def list_jobs(
    command: operator_messages.ListJobs,
    call_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Lists the jobs of this data centre from their records."""
    own = instance.identity.data_centre
    if command.data_centre != own:
        detail = f"ask an entry instance of {command.data_centre!r}"
        return answers.refuse(call_id, "other_data_centre", "list", detail, 421)
    prefix = jobs.make_job_key(own, "")
    purpose = ReadListedJobs(call_id)
    return [store_messages.StoreList(purpose, prefix, jobs.JobRecord)]


@dispatch.handle_store_reply.register(ReadListedJobs)
def handle_listed_jobs_read(
    purpose: ReadListedJobs,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Answers with the durable state of each job.

    Running tasks are counted only in the partitions owned here. Finished tasks
    of other partitions count once their slices are done.
    """
    if not isinstance(reply.outcome, store_messages.Listed):
        return answers.refuse_without_store(purpose.call_id, "list")
    found = [entry.value for entry in reply.outcome.entries]
    shown = [
        _summarise(record, instance)
        for record in found
        if isinstance(record, jobs.JobRecord)
    ]
    result = operator_messages.JobsListed(shown)
    return [operator_messages.AnswerOperator(purpose.call_id, result)]


def _summarise(
    record: jobs.JobRecord, instance: state.Instance
) -> operator_messages.JobShown:
    job = instance.tasks.jobs.get(record.job_id)
    shares = list(job.shares.values()) if job else []
    finished = sum(s.last - s.first + 1 for s in record.slices if s.done)
    finished += sum(share.finished.count for share in shares)
    running = sum(share.running for share in shares)
    shown_state = record.state.value
    if record.state is jobs.JobState.ACTIVE:
        shown_state = "running" if running else "waiting"
    return operator_messages.JobShown(
        record.job_id,
        record.data_centre,
        shown_state,
        finished,
        running,
        max(0, record.task_count - finished - running),
        record.reason,
    )
