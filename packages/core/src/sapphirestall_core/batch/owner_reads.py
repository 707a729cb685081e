"""Read of all owner keys."""

import attrs

from sapphirestall_core import store_messages
from sapphirestall_core.batch import records


@attrs.frozen
class OwnersRead(store_messages.Purpose):
    """Purpose of the read of all owner keys."""


def read_owners() -> store_messages.StoreEffect:
    """Returns the store call that lists all owner keys."""
    return store_messages.StoreList(
        OwnersRead(), records.OWNERS_PREFIX, records.OwnerRecord
    )
