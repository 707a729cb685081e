"""Peers, executors and workers: which exist and which are leaving."""

import enum
import hashlib

import attrs

from sapphirestall_core import messages


class Kind(enum.Enum):
    """Kind of an instance in the platform's list."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class State(enum.Enum):
    """State of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Listing:
    """One instance in the platform's list.

    Attributes:
        address: `host:port`.
        service: Service that an executor belongs to; empty for others.
        rack: Rack of a worker; empty for others.
    """

    instance_id: str
    kind: Kind
    data_centre: str
    address: str
    state: State = State.LIVE
    incarnation: str = ""
    service: str = ""
    rack: str = ""


@attrs.frozen
class InstancesListed(messages.Event):
    """The platform's list was read; it lags behind the truth."""

    listings: tuple[Listing, ...]


@attrs.frozen
class ReadInstances(messages.Effect):
    """Asks for `InstancesListed`."""


@attrs.define
class Members:
    """What this instance knows about the others.

    Attributes:
        listings: Newest list, by instance id.
        leaving: Incarnations seen leaving by any sign. A leaving mark wins
            over a live mark of the same incarnation.
    """

    listings: dict[str, Listing] = attrs.field(factory=dict)
    leaving: set[tuple[str, str]] = attrs.field(factory=set)

    def replace_listings(self, listings: tuple[Listing, ...]) -> None:
        """Takes a newer list from the platform."""
        self.listings = {entry.instance_id: entry for entry in listings}
        for entry in listings:
            if entry.state is State.LEAVING:
                self.leaving.add((entry.instance_id, entry.incarnation))

    def mark_leaving(self, instance_id: str) -> None:
        """Records that the present incarnation of an instance is leaving."""
        entry = self.listings.get(instance_id)
        incarnation = entry.incarnation if entry else ""
        self.leaving.add((instance_id, incarnation))

    def is_leaving(self, entry: Listing) -> bool:
        """Tells whether an instance is known to be leaving."""
        return (entry.instance_id, entry.incarnation) in self.leaving

    def find(self, kind: Kind, data_centre: str = "") -> list[Listing]:
        """Returns the instances of a kind that are not leaving, by id."""
        return [
            entry
            for _, entry in sorted(self.listings.items())
            if entry.kind is kind
            and (not data_centre or entry.data_centre == data_centre)
            and not self.is_leaving(entry)
        ]


def rank_candidates(subject: str, instance_ids: list[str]) -> list[str]:
    """Orders instances by rendezvous hash for a subject.

    All instances that see the same candidates compute the same order, and the
    loss of one candidate moves only the subjects that it came first for.
    """

    def weigh(instance_id: str) -> bytes:
        text = f"{subject}\0{instance_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(instance_ids, key=weigh)
