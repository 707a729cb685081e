"""Slots of executors: own share, loans, suspension (docs/design.md, 4.7)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import admission
from sapphirestall_core import dispatch
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import requests_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "slots"
SLOTS_PER_EXECUTOR = 8
PERIOD_S = 0.1
LOAN_TERM_S = 1.0
TRANSIT_ALLOWANCE_S = 0.1
MAX_CLOCK_DRIFT = 0.01
# A loan is repeated while its borrower has demand, before it ends.
LOAN_RENEWAL_S = 0.5
# Share of its slots that a lender keeps free for a sudden rise of its load.
LENDER_RESERVE = 0.25
# The highest use of late decays by this factor each period: 1 s to a third.
PEAK_DECAY = 0.9
CONNECT_TIMEOUT_S = 0.1
CONNECT_TIMEOUT_LIMIT_S = 1.0
SUSPENSION_BASE_S = 0.2
SUSPENSION_LIMIT_S = 5.0


@attrs.frozen
class SlotsDue(messages.Timer):
    """Time to compute shares, to lend and to state demand."""


@attrs.frozen
class TrialDue(messages.Timer):
    """Time to try a suspended executor with one request."""

    executor_id: str


def compute_share(executor_index: int, entry_index: int, entries: int) -> int:
    """Returns the share of one entry instance in one executor's slots."""
    whole, rest = divmod(SLOTS_PER_EXECUTOR, entries)
    extra = (entry_index + executor_index) % entries < rest
    return whole + int(extra)


def refresh(instance: state.Instance, now: float) -> None:
    """Computes the own shares from the members that are known now."""
    slot_state = instance.requests.slots
    own_id = instance.identity.instance_id
    live = liveness.find_live_entries(instance, now)
    entries = sorted({*live, own_id})
    slot_state.refreshed_at = now
    if (
        slot_state.source_listings is instance.members.listings
        and slot_state.source_entries == entries
    ):
        return
    slot_state.source_listings, slot_state.source_entries = (
        instance.members.listings,
        entries,
    )
    # Executors that are leaving keep their index, so that a mark which not
    # every entry instance has yet does not shift the shares.
    listed = sorted(
        (
            entry
            for entry in instance.members.listings.values()
            if entry.kind is membership.Kind.EXECUTOR
            and entry.data_centre == instance.identity.data_centre
        ),
        key=lambda entry: entry.instance_id,
    )
    slot_state.pool, slot_state.shares = {}, {}
    entry_index = entries.index(own_id)
    for index, entry in enumerate(listed):
        slot_state.pool.setdefault(entry.service, []).append(entry)
        share = compute_share(index, entry_index, len(entries))
        slot_state.shares[entry.instance_id] = share


def refresh_if_stale(instance: state.Instance, now: float) -> None:
    """Computes the shares when the members changed or time passed."""
    slot_state = instance.requests.slots
    changed = slot_state.source_listings is not instance.members.listings
    if changed or now - slot_state.refreshed_at >= PERIOD_S:
        refresh(instance, now)


def find_executor(
    executor_id: str, instance: state.Instance
) -> requests_state.Executor:
    """Returns the use of an executor."""
    executors = instance.requests.slots.executors
    return executors.setdefault(executor_id, requests_state.Executor())


def _count_loaned(
    loans: dict[tuple[str, str], requests_state.Loan],
    executor_id: str,
    now: float,
) -> int:
    return sum(
        loan.count
        for (loan_executor, _), loan in loans.items()
        if loan_executor == executor_id and now < loan.ends_at
    )


def _count_usable(
    entry: membership.Listing, instance: state.Instance, now: float
) -> int:
    """Returns how many slots of an executor this instance may use."""
    slot_state = instance.requests.slots
    executor_id = entry.instance_id
    executor = find_executor(executor_id, instance)
    if executor.suspended or instance.members.is_leaving(entry):
        return 0
    allowed = (
        slot_state.shares.get(executor_id, 0)
        + _count_loaned(slot_state.borrowed, executor_id, now)
        - _count_loaned(slot_state.lent, executor_id, now)
    )
    return min(allowed, 1) if executor.connect_failures else allowed


def count_capacity(service: str, instance: state.Instance, now: float) -> int:
    """Returns how many slots this instance may use for a service."""
    pool = instance.requests.slots.pool.get(service, [])
    return sum(_count_usable(entry, instance, now) for entry in pool)


def has_executor(service: str, instance: state.Instance) -> bool:
    """Tells whether a service has an executor that is not leaving."""
    pool = instance.requests.slots.pool.get(service, [])
    return any(not instance.members.is_leaving(entry) for entry in pool)


def choose_executor(
    service: str, tried: set[str], instance: state.Instance, now: float
) -> membership.Listing | None:
    """Returns the executor for the next attempt, or None if all are full.

    Executors that were not tried for this request come first, then those with
    the most free slots; ties rotate by the number of requests accepted.
    """
    pool = instance.requests.slots.pool.get(service, [])
    turn = instance.requests.sequence
    best: membership.Listing | None = None
    best_rank: tuple[bool, int, int] | None = None
    for index, entry in enumerate(pool):
        used = find_executor(entry.instance_id, instance).in_use
        free = _count_usable(entry, instance, now) - used
        if free <= 0:
            continue
        rotated = (index + turn) % len(pool)
        rank = (entry.instance_id not in tried, free, rotated)
        if best_rank is None or rank > best_rank:
            best, best_rank = entry, rank
    return best


def compute_connect_timeout(executor: requests_state.Executor) -> float:
    """Returns the time for connection setup; it doubles with each failure."""
    return min(
        CONNECT_TIMEOUT_LIMIT_S,
        CONNECT_TIMEOUT_S * 2.0**executor.connect_failures,
    )


def record_success(executor_id: str, instance: state.Instance) -> None:
    """Ends the suspicion against an executor."""
    find_executor(executor_id, instance).connect_failures = 0


def record_connect_failure(
    executor_id: str, instance: state.Instance
) -> dispatch.Effects:
    """Suspends an executor after a failed connection."""
    executor = find_executor(executor_id, instance)
    if executor.suspended:
        return []
    executor.suspended = True
    executor.connect_failures += 1
    delay_s = min(
        SUSPENSION_LIMIT_S,
        SUSPENSION_BASE_S * 2.0 ** (executor.connect_failures - 1),
    )
    return [
        messages.CountRefusal(PART, "executor_suspended"),
        messages.StartTimer(TrialDue(executor_id), delay_s, 0.5),
    ]


def update_demand(instance: state.Instance, now: float) -> None:
    """Computes the demand that the next heartbeat states."""
    slot_state = instance.requests.slots
    for service, pool in slot_state.pool.items():
        queues = instance.requests.services.get(service)
        used = sum(
            find_executor(entry.instance_id, instance).in_use for entry in pool
        )
        waiting = admission.count_waiting(queues) if queues else 0
        share = sum(slot_state.shares[entry.instance_id] for entry in pool)
        slot_state.demand[service] = max(0, used + waiting - share)
        peak = slot_state.peak_use.get(service, 0.0) * PEAK_DECAY
        slot_state.peak_use[service] = max(float(used + waiting), peak)


def lend(instance: state.Instance, now: float) -> dispatch.Effects:
    """Lends idle slots to the peers that stated demand."""
    slot_state = instance.requests.slots
    for loans in (slot_state.borrowed, slot_state.lent):
        for key in [k for k, loan in loans.items() if now >= loan.ends_at]:
            del loans[key]
    effects: dispatch.Effects = []
    if instance.draining:
        return effects
    for service in slot_state.pool:
        effects += _lend_service(service, instance, now)
    return effects


def _lend_service(
    service: str, instance: state.Instance, now: float
) -> dispatch.Effects:
    slot_state = instance.requests.slots
    borrowers = sorted(
        peer_id
        for peer_id, peer in instance.peers.items()
        if peer.data_centre == instance.identity.data_centre
        and peer.state is membership.State.LIVE
        and not liveness.is_suspect(peer_id, instance, now)
        and peer.slot_demand.get(service, 0) > 0
    )
    if not borrowers or slot_state.demand.get(service, 0) > 0:
        return []
    pool = slot_state.pool[service]
    share = sum(slot_state.shares[entry.instance_id] for entry in pool)
    reserve = max(1, round(share * LENDER_RESERVE))
    idle = share - round(slot_state.peak_use.get(service, 0.0)) - reserve
    effects: dispatch.Effects = []
    for borrower in borrowers:
        wanted = instance.peers[borrower].slot_demand[service]
        count = min(wanted, idle // len(borrowers))
        effects += _lend_to(borrower, count, pool, instance, now)
    return effects


def _lend_to(
    borrower: str,
    count: int,
    pool: list[membership.Listing],
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Repeats the loans to a borrower and adds loans up to a count."""
    slot_state = instance.requests.slots
    effects: dispatch.Effects = []
    for entry in pool:
        executor_id = entry.instance_id
        key = (executor_id, borrower)
        held = slot_state.lent.get(key)
        held_count = held.count if held else 0
        if held_count > count:
            # The loan is not repeated; its slots return when it ends. A
            # smaller one can't replace it, as the borrower might not get it.
            count -= held_count
            continue
        free = _count_lendable(entry, instance, now)
        offered = min(count, held_count + free)
        count -= offered
        left_s = held.ends_at - now if held else 0.0
        if not offered or (offered == held_count and left_s > LOAN_RENEWAL_S):
            continue
        term_s = LOAN_TERM_S * (1 + MAX_CLOCK_DRIFT) + TRANSIT_ALLOWANCE_S
        slot_state.lent[key] = requests_state.Loan(offered, now + term_s)
        loan = peer_messages.SlotLoan(executor_id, offered, LOAN_TERM_S)
        effects.append(peer_messages.SendPeer(borrower, loan))
    return effects


def _count_lendable(
    entry: membership.Listing, instance: state.Instance, now: float
) -> int:
    """Returns how many own slots are idle; borrowed ones are not lent on.

    A loan of borrowed slots would outlast the loan that it is made from.
    """
    slot_state = instance.requests.slots
    executor_id = entry.instance_id
    if not _count_usable(entry, instance, now):
        return 0
    lent = _count_loaned(slot_state.lent, executor_id, now)
    used = find_executor(executor_id, instance).in_use
    return max(0, slot_state.shares[executor_id] - lent - used)


def record_loan(
    message: peer_messages.SlotLoan,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> None:
    """Takes a loan; its term counts from receipt, less the allowances."""
    term_s = message.term_s * (1 - MAX_CLOCK_DRIFT) - TRANSIT_ALLOWANCE_S
    instance.requests.slots.borrowed[message.executor_id, peer_id] = (
        requests_state.Loan(message.count, now + term_s)
    )
