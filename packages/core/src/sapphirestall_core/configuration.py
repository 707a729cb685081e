"""Numbered configuration document and the patches that amend it."""

import copy

import attrs

PATCH_IDS_KEPT = 256


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


def amend(
    document: Document, patch_id: str, patch: dict[str, object]
) -> Document:
    """Returns the version that follows `document` when a patch is accepted."""
    body = merge(document.body, patch)
    assert isinstance(body, dict)
    kept = (*document.patch_ids, patch_id)[-PATCH_IDS_KEPT:]
    return Document(document.version + 1, body, kept)


@attrs.define
class Configuration:
    """The configuration in force at this instance.

    Attributes:
        stored_revision: Store revision after which a watch starts.
    """

    document: Document = attrs.field(factory=Document)
    stored_revision: int = 0

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
