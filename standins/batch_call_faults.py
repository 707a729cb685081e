"""Single calls of instances that are refused or get no answer."""

import collections
import enum

import attrs

from sapphirestall_core import store_messages


class StoreFault(enum.Enum):
    """What happens to a store call.

    Only a call whose answer is lost is carried out.
    """

    REFUSED = "is refused"
    UNANSWERED = "gets no answer"
    ANSWER_LOST = "loses its answer"


StoreCallKey = tuple[str, type[store_messages.Purpose], StoreFault]


@attrs.define
class CallFaults:
    """Calls that fail while the instance reaches the store and the workers.

    Attributes:
        store_calls: Number of the next store calls that fail, by instance, by
            purpose of the call and by fault.
        refusing_workers: Instances and workers that refuse their calls without
            a check of the fencing token, as a host does under load.
        replaced_workers: Workers that have ended, and at whose address another
            worker answers.
        starts_ignored_by: Workers that answer all calls but starts, which they
            never carry out.
        resetting_workers: Workers to which a cut closes all connections, so
            that calls end at once without an answer.
    """

    store_calls: "collections.Counter[StoreCallKey]" = attrs.field(
        factory=collections.Counter
    )
    refusing_workers: set[tuple[str, str]] = attrs.field(factory=set)
    replaced_workers: set[str] = attrs.field(factory=set)
    starts_ignored_by: set[str] = attrs.field(factory=set)
    resetting_workers: set[str] = attrs.field(factory=set)

    def fail_store_calls(
        self,
        node_name: str,
        purpose: type[store_messages.Purpose],
        fault: StoreFault,
        count: int,
    ) -> None:
        """Makes the next store calls of an instance for a purpose fail."""
        self.store_calls[node_name, purpose, fault] = count

    def take_store_fault(
        self, node_name: str, purpose: store_messages.Purpose
    ) -> StoreFault | None:
        """Returns the fault of a store call that is sent, if it has one."""
        for fault in StoreFault:
            key = (node_name, type(purpose), fault)
            if self.store_calls[key] > 0:
                self.store_calls[key] -= 1
                return fault
        return None
