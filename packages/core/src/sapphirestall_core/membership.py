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
class InstancesUnchanged(messages.Event):
    """The platform's list is the one that was read last."""


@attrs.frozen
class InstancesUnread(messages.Event):
    """The platform's list could not be read."""


@attrs.frozen
class ReadInstances(messages.Effect):
    """Asks for `InstancesListed`, `InstancesUnchanged` or `InstancesUnread`."""


# Leaving marks are kept far longer than they are passed on, so that marks that
# instances learn from each other end everywhere instead of circulating.
LEAVING_RETENTION_S = 600.0
LEAVING_GOSSIP_S = 30.0
MAX_LEAVING_RECORDS = 4096  # about twice the instances that leave on a bad day


@attrs.define
class Members:
    """What this instance knows about the others.

    Attributes:
        listings: Newest list, by instance id.
        listed: Whether the platform's list was read since the start.
        read_at: Time at which it was read last, in seconds.
        leaving: Incarnations seen leaving by any sign, with the time at which
            this instance learned it. A leaving mark wins over a live mark of
            the same incarnation.
        now: Time of the last heartbeat period, in seconds; exact enough for
            the ages of marks.
    """

    listings: dict[str, Listing] = attrs.field(factory=dict)
    has_list: bool = False
    list_read_at: float = 0.0
    leaving: dict[tuple[str, str], float] = attrs.field(factory=dict)
    last_tick_at: float = 0.0

    def replace_listings(self, listings: tuple[Listing, ...]) -> None:
        """Takes a newer list from the platform."""
        self.listings = {entry.instance_id: entry for entry in listings}
        self.has_list = True
        for entry in listings:
            if entry.state is State.LEAVING:
                self.record_leaving(entry.instance_id, entry.incarnation)

    def record_leaving(self, instance_id: str, incarnation: str) -> None:
        """Records that one incarnation is leaving; keeps the first time."""
        self.leaving.setdefault((instance_id, incarnation), self.last_tick_at)
        if len(self.leaving) > MAX_LEAVING_RECORDS:
            # Entries keep the order of arrival, so the first is the oldest.
            del self.leaving[next(iter(self.leaving))]

    def mark_leaving(self, instance_id: str) -> None:
        """Records that the present incarnation of an instance is leaving."""
        entry = self.listings.get(instance_id)
        incarnation = entry.incarnation if entry else ""
        self.record_leaving(instance_id, incarnation)

    def advance(self, now: float) -> None:
        """Moves on the time; forgets old marks that are no longer listed."""
        self.last_tick_at = now
        for record_key, recorded_at in list(self.leaving.items()):
            if (
                not self._is_listed(record_key)
                and now - recorded_at >= LEAVING_RETENTION_S
            ):
                del self.leaving[record_key]

    def list_leaving_to_share(self) -> tuple[tuple[str, str], ...]:
        """Returns the marks that are still passed on to peers.

        A mark is passed on as long as its incarnation is listed, so that an
        instance that starts later learns it too.
        """
        return tuple(
            sorted(
                record_key
                for record_key, recorded_at in self.leaving.items()
                if self.last_tick_at - recorded_at < LEAVING_GOSSIP_S
                or self._is_listed(record_key)
            )
        )

    def _is_listed(self, record_key: tuple[str, str]) -> bool:
        entry = self.listings.get(record_key[0])
        return entry is not None and entry.incarnation == record_key[1]

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

    def find_entries(self) -> dict[str, list[str]]:
        """Returns the sorted ids of entry instances by data centre."""
        groups: dict[str, list[str]] = {}
        for entry in self.find(Kind.ENTRY):
            groups.setdefault(entry.data_centre, []).append(entry.instance_id)
        return groups


def rank_candidates(subject: str, instance_ids: list[str]) -> list[str]:
    """Orders instances by rendezvous hash for a subject.

    All instances that see the same candidates compute the same order, and the
    loss of one candidate moves only the subjects that it came first for.
    """

    def compute_hash(instance_id: str) -> bytes:
        text = f"{subject}\0{instance_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(instance_ids, key=compute_hash)


def compute_hash16(text: str) -> int:
    """Returns a number of 16 bits that tells short texts apart."""
    digest = hashlib.blake2b(text.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")
