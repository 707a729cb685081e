"""Use of executor slots: shares, loans between entry instances, suspension.

The slots of each executor are divided evenly among the live entry instances of
its data centre. An instance with idle slots lends them for a short term to one
that needs more than its share. See docs/design.md, section 4.7.
"""

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
# Period in which shares, loans and demand are updated.
UPDATE_PERIOD_S = 0.1
LOAN_TERM_S = 1.0
# The lender waits longer, and the borrower stops earlier, than the term of a
# loan: by the maximum transit time of the message and by the maximum drift
# between their clocks, as a fraction of the term.
TRANSIT_ALLOWANCE_S = 0.1
MAX_CLOCK_DRIFT = 0.01
# A loan whose borrower has demand is renewed when at most this time is left.
LOAN_RENEWAL_S = 0.5
# Fraction of its share that a lender keeps free for a sudden rise of its load.
LENDER_RESERVE = 0.25
# Factor by which the recorded peak use decays per period; it falls to about a
# third within 1 s.
PEAK_DECAY = 0.9
# The connect timeout and the suspension double with each failed connection, up
# to their limits.
CONNECT_TIMEOUT_S = 0.1
MAX_CONNECT_TIMEOUT_S = 1.0
SUSPENSION_BASE_S = 0.2
MAX_SUSPENSION_S = 5.0
# A suspension ends after this time if all executors of a service are suspended
# and requests wait: another one could not run them sooner.
MAX_LONE_SUSPENSION_S = 0.5


@attrs.frozen
class SlotsDue(messages.Timer):
    """Timer to update shares, loans and demand."""


@attrs.frozen
class TrialDue(messages.Timer):
    """Timer to end the suspension of an executor.

    Attributes:
        executor_id: The executor.
        suspended_at: Monotonic time of the suspension, in seconds.
    """

    executor_id: str
    suspended_at: float


def compute_share(executor_index: int, entry_index: int, entries: int) -> int:
    """Returns the number of an executor's slots for one entry instance.

    Slots that remain after an even division go to other entry instances at each
    executor.

    Args:
        executor_index: Position of the executor among those of the data centre.
        entry_index: Position of the entry instance among the live ones.
        entries: Number of live entry instances.
    """
    whole, rest = divmod(SLOTS_PER_EXECUTOR, entries)
    extra = (entry_index + executor_index) % entries < rest
    return whole + int(extra)


def refresh(instance: state.Instance, now: float) -> None:
    """Computes the shares of this instance if the members have changed."""
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
    # Leaving executors keep their index. Not every entry instance knows yet
    # that they leave, and all have to compute the same shares.
    listed = sorted(
        (
            listing
            for listing in instance.members.listings.values()
            if listing.kind is membership.Kind.EXECUTOR
            and listing.data_centre == instance.identity.data_centre
        ),
        key=lambda listing: listing.instance_id,
    )
    slot_state.pool, slot_state.shares = {}, {}
    entry_index = entries.index(own_id)
    for index, listing in enumerate(listed):
        slot_state.pool.setdefault(listing.service, []).append(listing)
        share = compute_share(index, entry_index, len(entries))
        slot_state.shares[listing.instance_id] = share


def refresh_if_stale(instance: state.Instance, now: float) -> None:
    """Refreshes the shares if the list is new or the period has passed."""
    slot_state = instance.requests.slots
    changed = slot_state.source_listings is not instance.members.listings
    if changed or now - slot_state.refreshed_at >= UPDATE_PERIOD_S:
        refresh(instance, now)


def find_executor(
    executor_id: str, instance: state.Instance
) -> requests_state.Executor:
    """Returns the state of an executor, creating it if needed."""
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
    listing: membership.Listing, instance: state.Instance, now: float
) -> int:
    """Returns how many slots of an executor this instance may use.

    It is at most one after a failed connection, until the next answer.
    """
    slot_state = instance.requests.slots
    executor_id = listing.instance_id
    executor = find_executor(executor_id, instance)
    if executor.suspended or instance.members.is_leaving(listing):
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
    return sum(_count_usable(listing, instance, now) for listing in pool)


def has_executor(service: str, instance: state.Instance) -> bool:
    """Returns whether a service has an executor that is not leaving."""
    pool = instance.requests.slots.pool.get(service, [])
    return any(not instance.members.is_leaving(listing) for listing in pool)


def choose_executor(
    service: str, tried: set[str], instance: state.Instance, now: float
) -> membership.Listing | None:
    """Returns the executor for the next attempt, or None if no slot is free.

    Executors that are not in `tried` come first, then those with the most free
    slots. Ties rotate with the number of accepted requests.
    """
    pool = instance.requests.slots.pool.get(service, [])
    turn = instance.requests.sequence
    best: membership.Listing | None = None
    best_rank: tuple[bool, int, int] | None = None
    for index, listing in enumerate(pool):
        used = find_executor(listing.instance_id, instance).in_use
        free = _count_usable(listing, instance, now) - used
        if free <= 0:
            continue
        rotated = (index + turn) % len(pool)
        rank = (listing.instance_id not in tried, free, rotated)
        if best_rank is None or rank > best_rank:
            best, best_rank = listing, rank
    return best


def compute_connect_timeout(executor: requests_state.Executor) -> float:
    """Returns the maximum time for a connection setup, in seconds.

    It doubles with each failed connection.
    """
    return min(
        MAX_CONNECT_TIMEOUT_S,
        CONNECT_TIMEOUT_S * 2.0**executor.connect_failures,
    )


def record_success(executor_id: str, instance: state.Instance) -> None:
    """Records that an executor answered, which ends a suspension."""
    executor = find_executor(executor_id, instance)
    executor.connect_failures = 0
    executor.suspended = False


def resume(timer: TrialDue, instance: state.Instance) -> None:
    """Ends a suspension whose time has passed, unless a later one has begun."""
    executor = find_executor(timer.executor_id, instance)
    if executor.suspended_at == timer.suspended_at:
        executor.suspended = False


def resume_lone_executor(
    service: str, instance: state.Instance, now: float
) -> None:
    """Ends the longest suspension if all executors of a service are suspended.

    The executor gets one request as a trial.

    Args:
        service: Service for which requests wait.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    pool = instance.requests.slots.pool.get(service, [])
    executors = [
        find_executor(listing.instance_id, instance)
        for listing in pool
        if not instance.members.is_leaving(listing)
    ]
    if not executors or not all(executor.suspended for executor in executors):
        return
    longest = min(executors, key=lambda executor: executor.suspended_at)
    if now - longest.suspended_at >= MAX_LONE_SUSPENSION_S:
        longest.suspended = False


def record_connect_failure(
    executor_id: str, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Suspends an executor after a failed connection.

    The suspension doubles with each failed connection since the last answer.
    """
    executor = find_executor(executor_id, instance)
    if executor.suspended:
        return []
    executor.suspended = True
    executor.suspended_at = now
    executor.connect_failures += 1
    delay_s = min(
        MAX_SUSPENSION_S,
        SUSPENSION_BASE_S * 2.0 ** (executor.connect_failures - 1),
    )
    return [
        messages.CountRefusal(PART, "executor_suspended"),
        messages.StartTimer(TrialDue(executor_id, now), delay_s, 0.5),
    ]


def update_demand(instance: state.Instance, now: float) -> None:
    """Computes the demand that the next heartbeat reports, and peak use."""
    slot_state = instance.requests.slots
    for service, pool in slot_state.pool.items():
        queues = instance.requests.services.get(service)
        used = sum(
            find_executor(listing.instance_id, instance).in_use
            for listing in pool
        )
        waiting = admission.count_waiting(queues) if queues else 0
        share = sum(slot_state.shares[listing.instance_id] for listing in pool)
        slot_state.demand[service] = max(0, used + waiting - share)
        peak = slot_state.peak_use.get(service, 0.0) * PEAK_DECAY
        slot_state.peak_use[service] = max(float(used + waiting), peak)


def lend(instance: state.Instance, now: float) -> dispatch.Effects:
    """Removes ended loans and lends idle slots to peers with demand."""
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
    share = sum(slot_state.shares[listing.instance_id] for listing in pool)
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
    """Renews the loans to a borrower and adds loans.

    Args:
        borrower: Peer that gets the slots.
        count: Number of slots to lend in total, including current loans.
        pool: Executors of the service.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    slot_state = instance.requests.slots
    effects: dispatch.Effects = []
    for listing in pool:
        executor_id = listing.instance_id
        key = (executor_id, borrower)
        held = slot_state.lent.get(key)
        held_count = held.count if held else 0
        if held_count > count:
            # The loan is not renewed; its slots return when it ends. It can't
            # be replaced by a smaller one, since that message may be lost and
            # the borrower would go on using the larger one.
            count -= held_count
            continue
        free = _count_lendable(listing, instance, now)
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
    listing: membership.Listing, instance: state.Instance, now: float
) -> int:
    """Returns how many idle slots of the own share can be lent.

    Borrowed slots are not lent on, since the new loan would end after the loan
    that it depends on.
    """
    slot_state = instance.requests.slots
    executor_id = listing.instance_id
    if not _count_usable(listing, instance, now):
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
    """Records a loan to this instance.

    Its term starts at receipt and is shortened by the allowances for transit
    and clock drift, so that it ends before the lender uses the slots again.
    """
    term_s = message.term_s * (1 - MAX_CLOCK_DRIFT) - TRANSIT_ALLOWANCE_S
    instance.requests.slots.borrowed[message.executor_id, peer_id] = (
        requests_state.Loan(message.count, now + term_s)
    )
