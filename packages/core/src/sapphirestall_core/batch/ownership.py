"""Beginning and end of the ownership of a partition.

The owner of a partition has created the partition's owner key in the platform's
store. The key is bound to the instance's store lease and disappears with it.
The revision at which the key was created is the owner's fencing token. Workers
refuse a command whose token is lower than one they have seen. A new owner calls
every worker before it starts tasks there. Once it has called a worker, that
worker carries out no command of a former owner. This does not depend on the
owners' clocks.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import releases
from sapphirestall_core.batch import state

PART = "ownership"
# Resignation reason: a worker has refused the fencing token.
FENCED = "fenced"


@attrs.frozen
class PartitionAcquired(messages.Event):
    """Reports that this instance has become the owner of a partition."""

    partition: str


def start_ownership(
    batch: state.Batch,
    name: str,
    token: int,
    now: float,
    vacancy: state.Vacancy | None = None,
) -> dispatch.Effects:
    """Records the ownership of a partition and starts loading it.

    Args:
        batch: State of this instance; changed in place.
        name: Name of the partition.
        token: Fencing token: revision at which the owner key was created.
        now: Monotonic time, in seconds.
        vacancy: Since when this instance knew that the partition had no owner;
            None if it did not know.
    """
    batch.partitions[name] = state.Partition(
        name,
        token,
        now,
        vacancy=vacancy or state.Vacancy(now, token),
    )
    log = messages.Log(PART, "taken", {"partition": name, "token": token})
    return [log, *dispatch.handle(PartitionAcquired(name), batch, now)]


def resign(
    batch: state.Batch, name: str, reason: str, now: float
) -> dispatch.Effects:
    """Gives up the ownership of a partition; its runs continue.

    Stores when the leases of these runs expire, for the next owner.
    """
    partition = batch.partitions.pop(name, None)
    if partition is None:
        return []
    if reason == FENCED:
        batch.fenced_tokens[name] = partition.token
    batch.vacancies.pop(name, None)
    return [
        messages.Log(
            PART,
            "resigned",
            {
                "partition": name,
                "token": partition.token,
                "reason": reason,
                "held_s": round(now - partition.acquired_at, 3),
            },
        ),
        *releases.release(batch, partition, now),
    ]
