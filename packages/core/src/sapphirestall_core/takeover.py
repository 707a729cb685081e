"""Store lease, owner keys and the takeover of partitions (4.2, section 7)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import commits
from sapphirestall_core import dispatch
from sapphirestall_core import job_updates
from sapphirestall_core import jobs
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import ownership
from sapphirestall_core import partitioning
from sapphirestall_core import policy_hooks
from sapphirestall_core import polling
from sapphirestall_core import record_reads
from sapphirestall_core import store_messages
from sapphirestall_core import tasks_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "ownership"
OWNERS_PERIOD_S = 2.0
RENEW_PERIOD_S = ownership.OWNER_LEASE_S / 5
# An instance that just started has heard from no peer and would count itself
# as the only candidate; this is two heartbeats.
STARTUP_WAIT_S = 1.0
CANDIDATE_DELAY_S = 1.0
STORE_FAILURE_DELAY_S = 2.0
STORE_FAILURE_WINDOW_S = 10.0


@attrs.frozen
class LeaseDue(messages.Timer):
    """Time to obtain or renew the store lease."""


@attrs.frozen
class OwnersDue(messages.Timer):
    """Time to look for partitions without an owner."""


@attrs.frozen
class AcquireDue(messages.Timer):
    """Time to create the owner key of a partition, if it is still absent."""

    partition: str


@attrs.frozen
class RenewLease(store_messages.Purpose):
    """Obtains or renews the store lease."""


@attrs.frozen
class ListOwners(store_messages.Purpose):
    """Looks which partitions have an owner."""


@attrs.frozen
class Acquire(store_messages.Purpose):
    """Creates the owner key of a partition."""

    partition: str
    lease_id: str


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
    previous_epoch: int
    progress: jobs.Progress


@dispatch.handle_timer.register(LeaseDue)
def renew_lease(
    timer: LeaseDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Obtains or renews the store lease."""
    lease_id = instance.tasks.lease.lease_id
    if lease_id:
        return [store_messages.StoreRenewLease(RenewLease(), lease_id)]
    ttl_s = ownership.OWNER_LEASE_S
    return [store_messages.StoreGrantLease(RenewLease(), ttl_s)]


@dispatch.handle_store_reply.register(RenewLease)
def handle_lease_reply(
    purpose: RenewLease,
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
            lease.lease_id, lease.valid_until = "", 0.0
            return [messages.StartTimer(LeaseDue(), 0.0)]
        case _:
            instance.tasks.store_failed_at = now
    return [messages.StartTimer(LeaseDue(), RENEW_PERIOD_S, 0.1)]


@dispatch.handle_timer.register(OwnersDue)
def list_owners(
    timer: OwnersDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Reads the owner keys of the data centre."""
    tasks = instance.tasks
    if tasks.started_at < 0:
        tasks.started_at = now
    prefix = jobs.make_owner_key(instance.identity.data_centre, "")
    return [
        store_messages.StoreList(ListOwners(), prefix, ownership.Owner),
        messages.StartTimer(OwnersDue(), OWNERS_PERIOD_S, 0.2),
    ]


@dispatch.handle_store_reply.register(ListOwners)
def handle_owner_list(
    purpose: ListOwners,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Notes the owners and plans to acquire partitions that have none."""
    partitioning.refresh(instance)
    if not isinstance(reply.outcome, store_messages.Listed):
        instance.tasks.store_failed_at = now
        return []
    owners = {
        found.key.rsplit("/", 1)[1]: found for found in reply.outcome.entries
    }
    effects: dispatch.Effects = []
    for partition in instance.tasks.partitions.values():
        newest = max(partition.epoch, partition.pending_epoch)
        if reply.outcome.revision < newest:
            continue  # The list was read before the own key was created.
        found = owners.get(partition.name)
        if found is None:
            effects += _plan_acquisition(partition, instance, now)
        elif isinstance(found.value, ownership.Owner):
            effects += _apply_owner(
                found.value, found.create_revision, partition, instance, now
            )
        if partition.epoch and not partition.jobs_listed:
            effects += record_reads.list_records(instance)
    return effects


def _plan_acquisition(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    if partition.unowned_since < 0:
        partition.unowned_since = now
    partition.owner_id = ""
    # From the notice of a shutdown on, this instance is no candidate.
    leaving = instance.shutdown.requested_at is not None
    if partition.acquiring or leaving:
        return []
    wait_s = (
        0.0 if partition.epoch else _compute_delay(partition, instance, now)
    )
    partition.acquiring = True
    due_at = partition.unowned_since + wait_s
    delay_s = max(0.0, due_at - now)
    return [messages.StartTimer(AcquireDue(partition.name), delay_s)]


def _compute_delay(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> float:
    """Returns how long after the key's absence this candidate waits."""
    tasks = instance.tasks
    live = liveness.find_live_entries(instance, now)
    ranked = membership.rank_candidates(partition.name, live)
    wait_s = CANDIDATE_DELAY_S * ranked.index(instance.identity.instance_id)
    if now - tasks.store_failed_at < STORE_FAILURE_WINDOW_S:
        wait_s += STORE_FAILURE_DELAY_S
    until_started = tasks.started_at + STARTUP_WAIT_S - partition.unowned_since
    return max(wait_s, until_started)


@dispatch.handle_timer.register(AcquireDue)
def acquire(
    timer: AcquireDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Creates the owner key if the partition still has no owner."""
    partition = instance.tasks.partitions[timer.partition]
    lease = instance.tasks.lease
    absent = partition.unowned_since >= 0
    if not absent or not lease.is_valid(now) or instance.draining:
        partition.acquiring = False
        return []
    identity = instance.identity
    owner = ownership.Owner(
        identity.instance_id, identity.incarnation, lease.lease_id
    )
    key = jobs.make_owner_key(identity.data_centre, partition.name)
    purpose = Acquire(partition.name, lease.lease_id)
    return [store_messages.StorePut(purpose, key, owner, 0, lease.lease_id)]


def _apply_owner(
    owner: ownership.Owner,
    epoch: int,
    partition: tasks_state.Partition,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    identity = instance.identity
    partition.unowned_since = -1.0
    partition.owner_id, partition.owner_epoch = owner.instance_id, epoch
    own = (owner.instance_id, owner.incarnation) == (
        identity.instance_id,
        identity.incarnation,
    )
    if not own:
        held = partition.epoch or partition.pending_epoch
        if held and epoch > partition.epoch:
            return polling.resign(partition, instance, now, "another owner")
        return []
    if instance.draining and epoch != partition.epoch:
        # A create whose answer was lost; nothing runs under it yet.
        key = jobs.make_owner_key(identity.data_centre, partition.name)
        partition.pending_epoch = 0
        purpose = commits.ReleaseOwnership(partition.name, epoch)
        return [store_messages.StoreDelete(purpose, key, 1)]
    lease_id = instance.tasks.lease.lease_id
    if epoch == partition.epoch or owner.lease_id != lease_id:
        return []
    return _begin_takeover(partition, epoch, lease_id, instance)


@dispatch.handle_store_reply.register(Acquire)
def handle_acquire_reply(
    purpose: Acquire,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Starts the takeover once the owner key was created.

    A lost answer is settled by the next list of owners.
    """
    partition = instance.tasks.partitions[purpose.partition]
    partition.acquiring = False
    match reply.outcome:
        case store_messages.Written(create_revision=epoch):
            partition.unowned_since = -1.0
            partition.owner_id = instance.identity.instance_id
            partition.owner_epoch = epoch
            return _begin_takeover(partition, epoch, purpose.lease_id, instance)
        case store_messages.Unavailable():
            instance.tasks.store_failed_at = now
    return []


def _begin_takeover(
    partition: tasks_state.Partition,
    epoch: int,
    lease_id: str,
    instance: state.Instance,
) -> dispatch.Effects:
    partition.pending_epoch = epoch
    partition.pending_lease_id = lease_id
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    purpose = ReadProgress(partition.name, epoch)
    return [store_messages.StoreGet(purpose, key, jobs.Progress)]


@dispatch.handle_store_reply.register(ReadProgress)
def fence_progress(
    purpose: ReadProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Writes the committed state back, so that older owners' commits fail."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.pending_epoch != purpose.epoch:
        return []
    match reply.outcome:
        case store_messages.Found(value=jobs.Progress() as progress) as found:
            version = found.version
        case store_messages.Absent():
            progress, version = jobs.Progress(), 0
        case _:
            # The next list of owners shows the own key and starts again.
            instance.tasks.store_failed_at = now
            return []
    if progress.epoch > purpose.epoch:
        return polling.resign(partition, instance, now, "a newer owner")
    listed = tuple(sorted(w for w in partition.workers))
    fenced = attrs.evolve(
        progress,
        epoch=purpose.epoch,
        witnesses=progress.witnesses or listed,
    )
    key = jobs.make_progress_key(instance.identity.data_centre, partition.name)
    fence = FenceProgress(partition.name, purpose.epoch, progress.epoch, fenced)
    return [store_messages.StorePut(fence, key, fenced, version)]


@dispatch.handle_store_reply.register(FenceProgress)
def start_ownership(
    purpose: FenceProgress,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Starts to poll the workers and reads the jobs."""
    partition = instance.tasks.partitions[purpose.partition]
    epoch = purpose.epoch
    if partition.pending_epoch != epoch:
        return []
    if not isinstance(reply.outcome, store_messages.Written):
        if isinstance(reply.outcome, store_messages.VersionMismatch):
            lease_id = partition.pending_lease_id
            return _begin_takeover(partition, epoch, lease_id, instance)
        instance.tasks.store_failed_at = now
        return []
    lease_id = partition.pending_lease_id
    # The fencing write shows whether another owner was there in between. If
    # not, what this instance knows about its workers still holds.
    continues = partition.epoch and purpose.previous_epoch in (
        partition.epoch,
        epoch,
    )
    if not continues:
        policy_hooks.forget_workers(partition, instance)
        partition.reset()
    partition.epoch, partition.pending_epoch = epoch, 0
    partition.lease_id = lease_id
    partition.progress = purpose.progress
    partition.progress_version = reply.outcome.version
    partition.commit_in_flight = False
    partition.round_valid_until = 0.0
    if continues:
        # A commit of the former epoch may be in flight; its answer is ignored.
        partition.dirty_jobs.update(
            partition.shares, partition.progress.finished
        )
    return _start_work(partition, instance, now)


def _start_work(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    name, epoch = partition.name, partition.epoch
    instance.journal.record(now, name, "own", f"epoch {epoch}")
    moves = [
        job_updates.MoveTasks(move.job_id, name, move)
        for move in partition.progress.moves
    ]
    return [
        messages.Log(PART, f"took partition {name}", {"epoch": epoch}),
        *record_reads.list_records(instance),
        messages.StartTimer(polling.PollDue(name, epoch), 0.0),
        messages.StartTimer(
            commits.CommitDue(name, epoch), commits.COMMIT_PERIOD_S
        ),
        *(
            messages.StartTimer(job_updates.JobUpdateDue(move), 0.0)
            for move in moves
        ),
    ]
