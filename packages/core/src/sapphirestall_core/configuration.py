"""Versioned configuration document and the patches that change it."""

import copy
import json

import attrs

MAX_PATCH_IDS = 256
# The store accepts values of up to 1 MB; the difference is for its envelope.
MAX_SIZE_BYTES = 900_000


@attrs.frozen
class Document:
    """One version of the configuration.

    Attributes:
        version: Number that increases by one with each accepted patch; 0 is
            the initial empty document.
        body: Tree of JSON values.
        patch_ids: Ids of the most recent accepted patches, newest last; at
            most `MAX_PATCH_IDS`.
    """

    version: int = 0
    body: dict[str, object] = attrs.field(factory=dict)
    patch_ids: tuple[str, ...] = ()


def merge(target: object, patch: object) -> object:
    """Applies a JSON merge patch (RFC 7396) and returns the result."""
    if not isinstance(patch, dict):
        return copy.deepcopy(patch)
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged


def apply_patch(
    document: Document, patch_id: str, patch: dict[str, object]
) -> Document:
    """Returns the next version of a document, with a patch applied."""
    body = merge(document.body, patch)
    assert isinstance(body, dict)
    kept = (*document.patch_ids, patch_id)[-MAX_PATCH_IDS:]
    return Document(document.version + 1, body, kept)


@attrs.frozen
class Change:
    """One value that a patch changes.

    Attributes:
        path: Names from the root, separated by dots.
        before: Current value; `None` if there is none.
        after: Value after the patch; `None` if the value is removed.
    """

    path: str
    before: object
    after: object


def list_changes(before: object, after: object, path: str = "") -> list[Change]:
    """Returns the differences between two trees, ordered by path."""
    if before == after:
        return []
    # An added or removed tree is listed value by value, not as one change.
    if before is None and after and isinstance(after, dict):
        before = {}
    if after is None and before and isinstance(before, dict):
        after = {}
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [Change(path, before, after)]
    changes = []
    for name in sorted(before.keys() | after.keys()):
        inner = f"{path}.{name}" if path else str(name)
        changes += list_changes(before.get(name), after.get(name), inner)
    return changes


@attrs.define
class Configuration:
    """The configuration in force at this instance.

    Attributes:
        document: Version in force.
        stored_revision: Store revision after which the next watch starts.
        rejected_version: Highest version whose body was invalid.
        requested_version: Version most recently requested from a peer.
        requested_at: Monotonic time of that request, in seconds.
        read_failures: Number of consecutive reads that the store did not
            answer.
        watch_failures: Number of consecutive watches that the store did not
            answer.
    """

    document: Document = attrs.field(factory=Document)
    stored_revision: int = 0
    rejected_version: int = 0
    requested_version: int = 0
    requested_at: float = 0.0
    read_failures: int = 0
    watch_failures: int = 0

    def adopt(self, document: Document) -> bool:
        """Brings a document into force if its version is higher.

        A lower version is never adopted, so that a stale read after an outage
        cannot revert the configuration.

        Returns:
            Whether the document was adopted.
        """
        if document.version <= self.document.version:
            return False
        self.document = document
        return True


def measure_size(document: Document) -> int:
    """Returns the size of a document as JSON, in bytes."""
    return len(json.dumps(attrs.asdict(document)))
