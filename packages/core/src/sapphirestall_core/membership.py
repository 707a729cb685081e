"""Membership: which instances the platform lists and which are leaving."""

import enum
import hashlib

import attrs

from sapphirestall_core import messages


class Kind(enum.Enum):
    """Role of an instance in the platform's instance list."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class State(enum.Enum):
    """Whether an instance accepts work or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Listing:
    """An instance in the platform's instance list.

    Attributes:
        instance_id: Name of the instance; the same after a restart.
        kind: Role of the instance.
        data_centre: Data centre of the instance.
        address: `host:port` at which the instance is reached.
        state: State that the platform lists.
        incarnation: Identifier of one run of the instance's process.
        service: Service that an executor runs; empty for other kinds.
        rack: Rack of a worker; empty for other kinds.
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
    """Reports that the instance list was read; it may be out of date."""

    listings: tuple[Listing, ...]


@attrs.frozen
class InstancesUnchanged(messages.Event):
    """Reports that the instance list has not changed since the last read."""


@attrs.frozen
class InstancesUnread(messages.Event):
    """Reports that the instance list could not be read."""


@attrs.frozen
class ReadInstances(messages.Effect):
    """Reads the platform's instance list.

    The shell answers with `InstancesListed`, `InstancesUnchanged` or
    `InstancesUnread`.
    """


# A leaving record says that one incarnation of an instance is leaving; peers
# pass the records on to each other. Records are kept for much longer than they
# are passed on. Otherwise an instance that has dropped a record could receive
# it again from a peer, and the record would circulate without end.
LEAVING_RETENTION_S = 600.0
LEAVING_GOSSIP_S = 30.0
# About twice the number of instances that leave on a day with many failures.
MAX_LEAVING_RECORDS = 4096


@attrs.define
class Members:
    """The platform's instance list and the leaving records.

    Attributes:
        listings: Newest instance list, by instance id.
        has_list: Whether the list has been read since the process started.
        list_read_at: Monotonic time of the last successful read, in seconds.
        leaving: Leaving records: monotonic time in seconds at which this
            instance first learned that an incarnation is leaving, by instance
            id and incarnation. The source may be the platform, the instance
            itself or a peer. A leaving record overrides a list that shows the
            same incarnation as live.
        last_tick_at: Monotonic time of the last heartbeat period, in seconds;
            used as the current time for the ages of leaving records.
    """

    listings: dict[str, Listing] = attrs.field(factory=dict)
    has_list: bool = False
    list_read_at: float = 0.0
    leaving: dict[tuple[str, str], float] = attrs.field(factory=dict)
    last_tick_at: float = 0.0

    def replace_listings(self, listings: tuple[Listing, ...]) -> None:
        """Replaces the list and records the instances it shows as leaving."""
        self.listings = {listing.instance_id: listing for listing in listings}
        self.has_list = True
        for listing in listings:
            if listing.state is State.LEAVING:
                self.record_leaving(listing.instance_id, listing.incarnation)

    def record_leaving(self, instance_id: str, incarnation: str) -> None:
        """Records that an incarnation is leaving.

        An existing record keeps its time. Beyond `MAX_LEAVING_RECORDS` the
        oldest record is dropped.
        """
        self.leaving.setdefault((instance_id, incarnation), self.last_tick_at)
        if len(self.leaving) > MAX_LEAVING_RECORDS:
            # Dictionaries keep insertion order: the first key is the oldest.
            del self.leaving[next(iter(self.leaving))]

    def mark_leaving(self, instance_id: str) -> None:
        """Records that the listed incarnation of an instance is leaving.

        An instance that is not listed is recorded with an empty incarnation.
        """
        listing = self.listings.get(instance_id)
        incarnation = listing.incarnation if listing else ""
        self.record_leaving(instance_id, incarnation)

    def advance(self, now: float) -> None:
        """Sets the current time and drops expired leaving records.

        A record is kept as long as the platform lists its incarnation.
        """
        self.last_tick_at = now
        for record_key, recorded_at in list(self.leaving.items()):
            if (
                not self._is_listed(record_key)
                and now - recorded_at >= LEAVING_RETENTION_S
            ):
                del self.leaving[record_key]

    def list_leaving_to_share(self) -> tuple[tuple[str, str], ...]:
        """Returns the leaving records to pass on to peers.

        A record is passed on for `LEAVING_GOSSIP_S`, and beyond that as long as
        the platform lists its incarnation, so that an instance that starts
        later learns it too.

        Returns:
            Sorted pairs of an instance id and an incarnation.
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
        listing = self.listings.get(record_key[0])
        return listing is not None and listing.incarnation == record_key[1]

    def is_leaving(self, listing: Listing) -> bool:
        """Returns whether a leaving record exists for a listed incarnation."""
        return (listing.instance_id, listing.incarnation) in self.leaving

    def find(self, kind: Kind, data_centre: str = "") -> list[Listing]:
        """Returns the instances of a kind that are not leaving.

        Args:
            kind: Kind of the instances.
            data_centre: Data centre of the instances; empty for all.

        Returns:
            Listings, sorted by instance id.
        """
        return [
            listing
            for _, listing in sorted(self.listings.items())
            if listing.kind is kind
            and (not data_centre or listing.data_centre == data_centre)
            and not self.is_leaving(listing)
        ]

    def find_entries(self) -> dict[str, list[str]]:
        """Returns the sorted ids of the entry instances, by data centre.

        Leaving instances are left out.
        """
        groups: dict[str, list[str]] = {}
        for listing in self.find(Kind.ENTRY):
            groups.setdefault(listing.data_centre, []).append(
                listing.instance_id
            )
        return groups


def rank_candidates(subject: str, instance_ids: list[str]) -> list[str]:
    """Orders instances by rendezvous hashing for a subject.

    All instances that see the same candidates compute the same order. The loss
    of a candidate changes the first choice only for the subjects that had this
    candidate first.
    """

    def compute_hash(instance_id: str) -> bytes:
        text = f"{subject}\0{instance_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(instance_ids, key=compute_hash)


def compute_hash16(text: str) -> int:
    """Returns a 16-bit hash of a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")
