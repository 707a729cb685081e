"""Log lines about owners whose ownership is not confirmed.

Such an owner may have a successor. The lines tell from when to when it went on
to act, and which silent workers made it stop.
"""

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import ownership
from sapphirestall_core.batch import state
from sapphirestall_core.batch import tenure


def log_confirmation(
    batch: state.Batch, partition: state.Partition, now: float
) -> dispatch.Effects:
    """Returns a log line if the confirmation of an ownership has changed."""
    if partition.phase is not state.Phase.ACTIVE:
        return []
    confirmation = _classify(batch, partition, now)
    if confirmation is partition.confirmation:
        return []
    partition.confirmation = confirmation
    ages = {
        name: now - (worker.last_answer_at or partition.acquired_at)
        for name, worker in partition.workers.items()
    }
    longest = max(ages, key=lambda name: ages[name], default="")
    fields = {
        "partition": partition.name,
        "token": partition.token,
        "confirmed_age_s": round(now - batch.lease_renewed_at, 3),
        "proved_age_s": round(now - partition.proved_at, 3),
        "workers": len(partition.workers),
        "longest_silent": longest,
        "contact_age_s": round(ages.get(longest, 0.0), 3),
    }
    return [messages.Log(ownership.PART, confirmation.value, fields)]


def _classify(
    batch: state.Batch, partition: state.Partition, now: float
) -> state.Confirmation:
    if tenure.is_confirmed(batch, partition, now):
        return state.Confirmation.CONFIRMED
    if tenure.may_have_successor(batch, partition, now):
        return state.Confirmation.SUSPENDED
    return state.Confirmation.UNCONFIRMED
