"""Numbered configuration document and the patches that amend it."""

import copy
import json

import attrs

MAX_PATCH_IDS = 256
# A store value may have 1 MB; the rest is left for the envelope.
MAX_SIZE_BYTES = 900_000


@attrs.frozen
class Document:
    """One version of the configuration.

    Attributes:
        version: Rises by one with each accepted patch; 0 is the empty start.
        body: Tree of JSON values.
        patch_ids: Ids of the newest accepted patches, newest last.
    """

    version: int = 0
    body: dict[str, object] = attrs.field(factory=dict)
    patch_ids: tuple[str, ...] = ()


def merge(target: object, patch: object) -> object:
    """Applies a JSON merge patch (RFC 7396) and returns the new tree."""
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
    """Returns the version that follows `document` when a patch is accepted."""
    body = merge(document.body, patch)
    assert isinstance(body, dict)
    kept = (*document.patch_ids, patch_id)[-MAX_PATCH_IDS:]
    return Document(document.version + 1, body, kept)


@attrs.frozen
class Change:
    """One value that a patch changes.

    Attributes:
        path: Names from the root, separated by dots.
        before: Present value; `None` when there is none.
        after: Value after the patch; `None` when it is removed.
    """

    path: str
    before: object
    after: object


def list_changes(before: object, after: object, path: str = "") -> list[Change]:
    """Returns the differences of two trees, ordered by path."""
    if before == after:
        return []
    # A tree that appears or goes is shown by its values, not as one text.
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
        stored_revision: Store revision after which a watch starts.
        rejected_version: Highest version whose body the policy rejected.
        asked_version: Version that a peer was last asked for.
        asked_at: Time of that request.
        read_failures: Reads in a row that the store did not answer.
        watch_failures: Watches in a row that the store did not answer.
    """

    document: Document = attrs.field(factory=Document)
    stored_revision: int = 0
    rejected_version: int = 0
    requested_version: int = 0
    requested_at: float = 0.0
    read_failures: int = 0
    watch_failures: int = 0

    def adopt(self, document: Document) -> bool:
        """Takes a document if its version is higher than the present one.

        Returns:
            Whether the document was taken. A lower version is never taken, so
            that a stale read after an outage cannot revert the configuration.
        """
        if document.version <= self.document.version:
            return False
        self.document = document
        return True


def measure_size(document: Document) -> int:
    """Returns the size of a document as JSON, in bytes."""
    return len(json.dumps(attrs.asdict(document)))
