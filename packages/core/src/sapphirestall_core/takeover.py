"""Store lease, owner keys and the takeover of partitions.

The owner of a partition has created the partition's owner key under its store
lease. The revision at which the key was created is the owner's epoch. A new
owner reads the partition's committed state and writes it back under its epoch,
so that commits of former owners fail. See docs/design.md, sections 4.2 and 7.
"""

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
OWNER_LIST_PERIOD_S = 2.0
LEASE_RENEWAL_PERIOD_S = ownership.OWNER_LEASE_S / 5
# A newly started instance has received no heartbeat and would count itself as
# the only candidate. This is two heartbeat periods.
STARTUP_WAIT_S = 1.0
# Delay per rank of a candidate, so that an expired lease does not cause a burst
# of store calls.
CANDIDATE_DELAY_S = 1.0
# A candidate whose store calls failed within the window waits for this extra
# delay, so that former owners can re-create their keys after an outage and
# few partitions change their owner.
STORE_FAILURE_DELAY_S = 2.0
STORE_FAILURE_WINDOW_S = 10.0


@attrs.frozen
class LeaseDue(messages.Timer):
    """Timer to obtain or renew the store lease."""


@attrs.frozen
class OwnersDue(messages.Timer):
    """Timer to list the owner keys."""


@attrs.frozen
class AcquireDue(messages.Timer):
    """Timer to create the owner key of a partition, if it is still absent."""

    partition: str


@attrs.frozen
class RenewLease(store_messages.Purpose):
    """Purpose of the grant or renewal of the store lease."""


@attrs.frozen
class ListOwners(store_messages.Purpose):
    """Purpose of the list of the owner keys of the data centre."""


@attrs.frozen
class Acquire(store_messages.Purpose):
    """Purpose of the write that creates the owner key of a partition.

    Attributes:
        partition: Partition to acquire.
        lease_id: Store lease to which the key is bound.
    """

    partition: str
    lease_id: str


@attrs.frozen
class ReadProgress(store_messages.Purpose):
    """Purpose of the read of a partition's committed state at a takeover.

    Attributes:
        partition: Partition that is taken over.
        epoch: Epoch of this instance.
    """

    partition: str
    epoch: int


@attrs.frozen
class FenceProgress(store_messages.Purpose):
    """Purpose of the write of the committed state under the new epoch.

    Attributes:
        partition: Partition that is taken over.
        epoch: Epoch of this instance.
        previous_epoch: Epoch in the committed state that was read.
        progress: State to write.
    """

    partition: str
    epoch: int
    previous_epoch: int
    progress: jobs.Progress


@dispatch.handle_timer.register(LeaseDue)
def renew_lease(
    timer: LeaseDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Renews the store lease, or obtains one if there is none."""
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
    """Records the lease; after the loss of the lease, requests a new one."""
    lease = instance.tasks.lease
    match reply.outcome:
        case store_messages.LeaseGranted(lease_id=lease_id, ttl_s=ttl_s):
            lease.confirm(lease_id, ttl_s, reply.sent_at)
        case store_messages.LeaseLost():
            lease.lease_id, lease.valid_until = "", 0.0
            return [messages.StartTimer(LeaseDue(), 0.0)]
        case _:
            instance.tasks.store_failed_at = now
    return [messages.StartTimer(LeaseDue(), LEASE_RENEWAL_PERIOD_S, 0.1)]


@dispatch.handle_timer.register(OwnersDue)
def list_owners(
    timer: OwnersDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Lists the owner keys of the data centre."""
    tasks = instance.tasks
    if tasks.started_at < 0:
        tasks.started_at = now
    prefix = jobs.make_owner_key(instance.identity.data_centre, "")
    return [
        store_messages.StoreList(ListOwners(), prefix, ownership.Owner),
        messages.StartTimer(OwnersDue(), OWNER_LIST_PERIOD_S, 0.2),
    ]


@dispatch.handle_store_reply.register(ListOwners)
def handle_owner_list(
    purpose: ListOwners,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Applies the list of owners and schedules acquisitions.

    A partition whose owner key is absent is acquired after a delay.
    """
    partitioning.refresh(instance)
    if not isinstance(reply.outcome, store_messages.Listed):
        instance.tasks.store_failed_at = now
        return []
    owners = {
        found.key.rsplit("/", 1)[1]: found for found in reply.outcome.entries
    }
    effects: dispatch.Effects = []
    for partition in instance.tasks.partitions.values():
        own_epoch = max(partition.epoch, partition.pending_epoch)
        if reply.outcome.revision < own_epoch:
            continue  # The list was read before the own key was created.
        found = owners.get(partition.name)
        if found is None:
            effects += _schedule_acquisition(partition, instance, now)
        elif isinstance(found.value, ownership.Owner):
            effects += _apply_owner(
                found.value, found.create_revision, partition, instance, now
            )
        if partition.epoch and not partition.jobs_listed:
            effects += record_reads.list_records(instance)
    return effects


def _schedule_acquisition(
    partition: tasks_state.Partition, instance: state.Instance, now: float
) -> dispatch.Effects:
    if partition.unowned_since < 0:
        partition.unowned_since = now
    partition.owner_id = ""
    # Once a shutdown has been requested, this instance is no candidate.
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
    """Returns the delay of this candidate's acquisition, in seconds.

    The delay is counted from `unowned_since` of the partition.
    """
    tasks = instance.tasks
    live = liveness.find_live_entries(instance, now)
    ranked = membership.rank_candidates(partition.name, live)
    delay_s = CANDIDATE_DELAY_S * ranked.index(instance.identity.instance_id)
    if now - tasks.store_failed_at < STORE_FAILURE_WINDOW_S:
        delay_s += STORE_FAILURE_DELAY_S
    startup_delay_s = (
        tasks.started_at + STARTUP_WAIT_S - partition.unowned_since
    )
    return max(delay_s, startup_delay_s)


@dispatch.handle_timer.register(AcquireDue)
def acquire(
    timer: AcquireDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Creates the owner key if it is still absent and the lease is valid."""
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
    is_own = (owner.instance_id, owner.incarnation) == (
        identity.instance_id,
        identity.incarnation,
    )
    if not is_own:
        held_epoch = partition.epoch or partition.pending_epoch
        if held_epoch and epoch > partition.epoch:
            return polling.resign(partition, instance, now, "another owner")
        return []
    if instance.draining and epoch != partition.epoch:
        # The answer to the create was lost. Nothing runs under this key yet.
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
    """Starts the takeover once the owner key has been created.

    After a lost answer, the next list of owners shows whether the create took
    effect.
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
    """Writes the committed state back, so that former owners' commits fail."""
    partition = instance.tasks.partitions[purpose.partition]
    if partition.pending_epoch != purpose.epoch:
        return []
    match reply.outcome:
        case store_messages.Found(value=jobs.Progress() as progress) as found:
            version = found.version
        case store_messages.Absent():
            progress, version = jobs.Progress(), 0
        case _:
            # The next list of owners shows the own key and restarts the
            # takeover.
            instance.tasks.store_failed_at = now
            return []
    if progress.epoch > purpose.epoch:
        return polling.resign(partition, instance, now, "a newer owner")
    worker_ids = tuple(sorted(w for w in partition.workers))
    fenced = attrs.evolve(
        progress,
        epoch=purpose.epoch,
        witnesses=progress.witnesses or worker_ids,
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
    """Completes the takeover after the fencing write.

    Polls of the workers and commits start, and the job records are listed.
    """
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
    # `previous_epoch` shows whether the partition had another owner meanwhile.
    # If not, the state that this instance holds is still valid.
    continues = partition.epoch and purpose.previous_epoch in (
        partition.epoch,
        epoch,
    )
    if not continues:
        policy_hooks.remove_workers(partition, instance)
        partition.reset()
    partition.epoch, partition.pending_epoch = epoch, 0
    partition.lease_id = lease_id
    partition.progress = purpose.progress
    partition.progress_version = reply.outcome.version
    partition.commit_in_flight = False
    partition.round_valid_until = 0.0
    if continues:
        # The answer to a commit under the previous epoch is ignored, so what
        # that commit contained is committed again.
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
        messages.Log(PART, f"acquired partition {name}", {"epoch": epoch}),
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
