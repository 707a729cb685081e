"""Reads and writes of the roster of a partition.

The roster names the workers on which runs may exist, with their entries, and
the number of owners that the partition has had. A worker gets runs only after a
roster that names it was written, so that a successor knows where runs may
exist.
"""

from collections.abc import Collection

import attrs

from sapphirestall_core import messages
from sapphirestall_core import store_messages
from sapphirestall_core.batch import contact
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import former_proofs
from sapphirestall_core.batch import former_runs
from sapphirestall_core.batch import leases
from sapphirestall_core.batch import model
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import passes
from sapphirestall_core.batch import process_ids
from sapphirestall_core.batch import records
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure
from sapphirestall_core.batch import withheld_leases
from sapphirestall_core.batch import worker_messages

# Mean time from a failed call to the next read, in seconds.
RETRY_S = 0.2
# Time after which the first roster of an owner that is still loading does not
# wait for the answers of further workers, in seconds.
FIRST_ANSWERS_S = 0.2


@attrs.frozen
class RosterRead(store_messages.Purpose):
    """Purpose of the read of the roster of a partition."""

    partition: str
    token: int


@attrs.frozen
class RosterWrite(store_messages.Purpose):
    """Purpose of the write of the roster of a partition.

    Attributes:
        partition: Name of the partition.
        token: Fencing token of its owner.
        roster: The roster.
        targets: Incarnations of workers whose entries the roster holds.
        made_at: Monotonic time from which the roster counts, in seconds.
    """

    partition: str
    token: int
    roster: records.RosterRecord
    targets: frozenset[worker_messages.Target]
    made_at: float


@attrs.frozen
class RosterReadDue(messages.Timer):
    """Timer to read the roster again after a failed call."""

    partition: str
    token: int


@attrs.frozen
class RosterWritten(messages.Event):
    """Reports that the roster of a partition was written.

    Attributes:
        partition: Name of the partition.
    """

    partition: str


def read_roster(partition: state.Partition) -> dispatch.Effects:
    """Reads the roster of a partition; the reply writes the new one."""
    return [
        store_messages.StoreGet(
            RosterRead(partition.name, partition.token),
            records.make_roster_key(partition.name),
            records.RosterRecord,
        )
    ]


@dispatch.handle_timer.register(RosterReadDue)
def retry_read(
    timer: RosterReadDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the roster again unless that has been done meanwhile."""
    partition = batch.find_owned(timer.partition, timer.token)
    if partition is None or partition.roster_revision is not None:
        return []
    return read_roster(partition)


def _retry(partition: state.Partition) -> dispatch.Effects:
    timer = RosterReadDue(partition.name, partition.token)
    return [messages.StartTimer(timer, RETRY_S, 0.3)]


@dispatch.handle_store_reply.register(RosterRead)
def apply_roster(
    purpose: RosterRead,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Applies the roster that was read and writes the new one.

    Runs of former owners may exist on every worker that the roster of a loading
    owner names. An active owner reads what it has written itself, or a
    successor.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    outcome = reply.outcome
    effects: dispatch.Effects = []
    if isinstance(outcome, store_messages.Absent):
        partition.roster_revision = 0
    elif isinstance(outcome, store_messages.Found):
        assert isinstance(outcome.value, records.RosterRecord)
        if partition.phase is state.Phase.LOADING:
            effects = _apply_former_roster(batch, partition, outcome, now)
        elif outcome.value.generation > partition.generation:
            return ownership.resign(batch, partition.name, "other_owner", now)
        partition.roster_revision = outcome.revision
    else:
        return _retry(partition)
    return effects + write_roster(batch, partition, now)


def _apply_former_roster(
    batch: state.Batch,
    partition: state.Partition,
    found: store_messages.Found,
    now: float,
) -> dispatch.Effects:
    """Applies the roster of the former owner to a loading one.

    It may also be that of this owner, whose write got no answer.
    """
    roster = found.value
    assert isinstance(roster, records.RosterRecord)
    is_newer = found.revision > partition.token
    is_own = roster.owner == process_ids.make_process_id(batch)
    if partition.roster_write_sent and is_newer and is_own:
        partition.generation = roster.generation
        partition.generation_raised = True
        return []
    effects = _add_former_workers(batch, partition, roster, now)
    withheld_leases.observe_roster(
        batch, partition, roster, found.revision, now
    )
    if found.revision > partition.vacancy.revision:
        # Another owner has come and gone unnoticed.
        partition.vacancy = state.Vacancy(
            partition.acquired_at, partition.token
        )
    partition.generation = max(partition.generation, roster.generation)
    if roster.settled and process_ids.was_former_process(batch, roster.owner):
        partition.former_owner_ended_at = batch.started_at
    lease_s = leases.choose_run_lease(batch.identity.limits)
    former_runs.update_end(partition, lease_s)
    effects += former_proofs.read_summary(partition, found.revision)
    return effects


def _add_former_workers(
    batch: state.Batch,
    partition: state.Partition,
    roster: records.RosterRecord,
    now: float,
) -> dispatch.Effects:
    """Adds the workers on which runs of former owners may exist.

    The platform's list lacks workers that have lost the store. They are called
    by their entries in the roster, since a former owner may reach them, and
    extend the leases of their runs, until the successor has called them.
    """
    partition.unlisted_workers |= set(roster.workers)
    witnesses = {entry.worker_id for entry in roster.entries}
    if not roster.settled:
        witnesses &= set(roster.witnesses)
    former_runs.record_witnesses(partition, witnesses)
    effects: dispatch.Effects = []
    for entry in roster.entries:
        if entry.worker_id not in partition.workers:
            worker = contact.make_worker(entry)
            worker.is_registered = False
            partition.workers[entry.worker_id] = worker
            effects += contact.short_poll(batch, partition, worker, now)
    return effects


def write_roster(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Writes the roster if it does not match the workers of the partition.

    A worker gets runs only after a roster that names it was written, so that
    a successor knows where runs may exist. The roster also holds their entries
    and tells whether runs of former owners may be left. The first write of an
    owner also raises the generation.
    """
    if (
        partition.roster_write_in_flight
        or partition.roster_revision is None
        or not partition.workers_listed
        or _awaits_answers(partition, now)
    ):
        return []
    loading = partition.phase is state.Phase.LOADING
    names = frozenset(partition.workers) | partition.unlisted_workers
    settled = not loading and not partition.unlisted_workers
    targets = _list_targets(partition)
    withheld_leases.update_grants(partition, now)
    withheld_ms = withheld_leases.list_withheld(batch, partition, now)
    written = (
        partition.roster,
        partition.roster_settled,
        partition.roster_targets,
    )
    # The store may hold the roster of a write that got no answer.
    is_known = not partition.roster_targets_in_flight
    is_due = withheld_leases.needs_write(partition, withheld_ms, now)
    is_same = (names, settled, targets) == written and not is_due
    if partition.generation_raised and is_known and is_same:
        return []
    partition.roster_write_in_flight = partition.roster_write_sent = True
    partition.roster_write_sent_at = now
    partition.roster_targets_in_flight |= targets
    partition.withheld_in_flight |= withheld_ms.keys()
    roster = records.RosterRecord(
        partition.compute_own_generation(),
        tuple(sorted(names)),
        process_ids.make_process_id(batch),
        settled,
        _make_roster_entries(partition),
        () if settled else tuple(sorted(partition.witnesses & names)),
        withheld_ms,
    )
    key = records.make_roster_key(partition.name)
    expected = (
        (records.make_owner_key(partition.name), partition.token),
        (key, partition.roster_revision),
    )
    return [
        store_messages.StoreTransaction(
            RosterWrite(partition.name, partition.token, roster, targets, now),
            expected,
            (store_messages.Put(key, roster),),
        )
    ]


def _awaits_answers(partition: state.Partition, now: float) -> bool:
    """Returns whether the first write of an owner waits for workers' answers.

    The write names the workers that have not answered. The end of the leases
    there depends on a release, which is also read with the job records.
    """
    if partition.loaded_jobs is not None:
        return False
    age_s = now - partition.acquired_at
    if partition.release_read and age_s >= FIRST_ANSWERS_S:
        return False
    return any(
        withheld_leases.awaits_first_answer(partition, name)
        for name in partition.unlisted_workers
    )


def _make_roster_entries(
    partition: state.Partition,
) -> tuple[model.WorkerEntry, ...]:
    """Returns the entries of the workers of a partition for its roster.

    They lack the labels: a successor starts nothing on a worker that the list
    lacks, and an entry with very many labels could exceed the size of a value.
    """
    return tuple(
        attrs.evolve(partition.workers[name].entry, labels=())
        for name in sorted(partition.workers)
    )


def _list_targets(
    partition: state.Partition,
) -> frozenset[worker_messages.Target]:
    """Returns the known incarnations of the workers of a partition."""
    return frozenset(worker.target for worker in partition.workers.values())


@dispatch.handle_store_reply.register(RosterWrite)
def handle_roster_write(
    purpose: RosterWrite,
    reply: store_messages.StoreReply,
    batch: state.Batch,
    now: float,
) -> dispatch.Effects:
    """Puts the written roster into effect, or reads it again.

    Resigns if the owner key has changed.
    """
    partition = batch.find_owned(purpose.partition, purpose.token)
    if partition is None:
        return []
    partition.roster_write_in_flight = False
    outcome = reply.outcome
    if isinstance(outcome, store_messages.Conflict):
        owner_key = records.make_owner_key(partition.name)
        if outcome.revisions.get(owner_key) != partition.token:
            return ownership.resign(batch, partition.name, "conflict", now)
        partition.roster_revision = None
        return _retry(partition)
    if not isinstance(outcome, store_messages.Committed):
        # The write may still take effect, so the next attempt reads first.
        partition.roster_revision = None
        return _retry(partition)
    tenure.record_proof(partition, reply.sent_at)
    partition.roster_revision = outcome.revision
    partition.roster = frozenset(purpose.roster.workers)
    partition.roster_settled = purpose.roster.settled
    partition.roster_targets = purpose.targets
    partition.roster_targets_in_flight = frozenset()
    partition.generation = purpose.roster.generation
    partition.generation_raised = True
    withheld_before = partition.withheld_ms
    partition.withheld_ms = purpose.roster.withheld_ms
    partition.withheld_from = purpose.made_at
    partition.withheld_in_flight = frozenset()
    return [
        *dispatch.handle(RosterWritten(partition.name), batch, now),
        *_grant_again(batch, partition, withheld_before, now),
        *passes.request_pass(partition),
    ]


def _grant_again(
    batch: state.Batch,
    partition: state.Partition,
    withheld_before: Collection[str],
    now: float,
) -> dispatch.Effects:
    """Extends the leases on workers from which they are no longer withheld."""
    effects: dispatch.Effects = []
    for name in sorted(withheld_before):
        worker = partition.workers.get(name)
        if worker is not None and not partition.withholds_leases(name):
            effects += contact.short_poll(batch, partition, worker, now)
    return effects
