"""Repetition of effects that were lost because a handler failed.

A handler that fails after it has changed the state leaves marks there of calls
and timers that were never made. What waits for them would wait for ever. Some
time after a failure these marks are removed, and the work is requested again;
polls that were lost are found by the periodic checks of workers.
All of it is safe to repeat: replies to calls that were in flight nevertheless
are ignored or lead to a conflict in the store, which is then read.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import acquisition
from sapphirestall_core.batch import commits
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import rosters
from sapphirestall_core.batch import state
from sapphirestall_core.batch import takeover

PART = "process"
# Calls but watches and long polls take less than this, in seconds, also while
# the loop is late. A start that got no reply for this long was not sent.
REPEAT_DELAY_S = 2.0


@attrs.frozen
class EffectsLost(messages.Event):
    """Reports that a handler failed, so that its effects were lost."""


@attrs.frozen
class RepeatDue(messages.Timer):
    """Timer to repeat the effects that may have been lost.

    Attributes:
        acquiring: Partitions whose acquisition was in flight at the failure.
    """

    acquiring: frozenset[str]


@dispatch.handle.register(EffectsLost)
def schedule_repetition(
    event: EffectsLost, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Schedules the repetition, unless one is scheduled."""
    batch.effects_lost_at = now
    if batch.repetition_scheduled:
        return []
    batch.repetition_scheduled = True
    timer = RepeatDue(frozenset(batch.acquiring))
    return [messages.StartTimer(timer, REPEAT_DELAY_S)]


@dispatch.handle_timer.register(RepeatDue)
def repeat(
    timer: RepeatDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Repeats all effects that the state says are on their way.

    A call that was sent less than `REPEAT_DELAY_S` ago may still get its reply,
    and two writes of the same records must not overlap.
    """
    batch.acquiring -= timer.acquiring
    if _is_lost(batch.lease_call_sent_at, now):
        batch.lease_call_in_flight = False
    batch.summaries_read_in_flight = False
    fields = {"partitions": len(batch.partitions)}
    effects: dispatch.Effects = [messages.Log(PART, "effects repeated", fields)]
    for name in batch.vacancies:
        # It does nothing if another one fires first.
        due = acquisition.AcquisitionDue(name)
        effects.append(messages.StartTimer(due, 0.0))
    for partition in batch.partitions.values():
        if partition.phase is state.Phase.ACTIVE:
            effects += _repeat_active(batch, partition, now)
        else:
            effects += _repeat_loading(batch, partition, now)
    # If the repetition itself fails, the loop starts its timer again.
    remaining_s = batch.effects_lost_at + REPEAT_DELAY_S - now
    batch.repetition_scheduled = remaining_s > 0
    if batch.repetition_scheduled:
        # Another handler has failed since the repetition was scheduled.
        again = RepeatDue(frozenset(batch.acquiring))
        effects.append(messages.StartTimer(again, remaining_s))
    return effects


def _is_lost(sent_at: float, now: float) -> bool:
    """Returns whether a call that is in flight gets no reply any more."""
    return now - sent_at >= REPEAT_DELAY_S


def _repeat_loading(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    partition.job_read_in_flight = False
    if _is_lost(partition.roster_write_sent_at, now):
        partition.roster_write_in_flight = False
        partition.roster_revision = None
    load_due = takeover.LoadDue(partition.name, partition.token)
    return dispatch.handle_timer(load_due, batch, now)


def _repeat_active(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    partition.pass_scheduled = False
    partition.commit_scheduled = False
    partition.summary_write_in_flight = False
    partition.retention_in_flight = False
    effects: dispatch.Effects = []
    if partition.commit_in_flight and _is_lost(partition.commit_sent_at, now):
        # A commit that failed takes the jobs that it names out of the others.
        partition.commit_in_flight = False
        partition.dirty_jobs.update(partition.jobs)
    if partition.roster_write_in_flight and _is_lost(
        partition.roster_write_sent_at, now
    ):
        partition.roster_write_in_flight = False
        partition.roster_revision = None
        effects += rosters.read_roster(partition)
    for worker in partition.workers.values():
        _mark_unanswered_starts(worker, now)
    effects += commits.request_commit(partition)
    return effects + passes.request_pass(partition)


def _mark_unanswered_starts(worker: state.Worker, now: float) -> None:
    """Marks starts that got no reply; a listing tells what became of them."""
    for run in worker.runs.values():
        is_open = (
            run.started_clock_ms is None and run.start_unanswered_at is None
        )
        if is_open and _is_lost(run.started_at, now):
            run.start_unanswered_at = now
        if _is_lost(run.pace_sent_at, now):
            run.pace_in_flight = False
