"""Application of waiting changes to the claims of one bucket.

The functions here decide which claims are made, kept or refused; `claims` makes
the store calls. See docs/design.md, section 7.
"""

from __future__ import annotations

import functools

import attrs

from sapphirestall_core import outcomes
from sapphirestall_core import requests_state

# Longer answers are not stored; a duplicate gets `AlreadyRun` instead.
MAX_RECORDED_BODY_BYTES = 4096
# A claim that would make the document larger is refused.
MAX_BUCKET_BYTES = 900_000
# Estimated size of a claim in JSON without scope, token, content type and body.
CLAIM_OVERHEAD_BYTES = 220
# Time after which a claim is dropped and its key may be used again.
RETENTION_S = 24 * 3600.0


@attrs.frozen
class ChangeResult:
    """Base of the results of a change for which a request waits."""

    request_id: str


@attrs.frozen
class ClaimMade(ChangeResult):
    """The key is claimed and the request may be sent."""


@attrs.frozen
class ClaimRefused(ChangeResult):
    """The key is not claimed for this request.

    Attributes:
        outcome: Final outcome of the request.
    """

    outcome: outcomes.Outcome


@attrs.frozen
class ReleaseEnded(ChangeResult):
    """The request need not wait longer for its claim to be removed.

    The claim was removed, or the store is unavailable and the removal will be
    tried again.
    """


@attrs.define
class WritePlan:
    """A bucket's claims with the waiting changes applied.

    Attributes:
        claims: Claims by scope.
        wall_clock_s: Wall-clock time, in seconds.
        size: Estimated size of the document, in bytes.
        changed: Whether the document has to be written.
        batch: Changes that take effect with the write.
        results: Results of the changes that need no write.
    """

    claims: dict[str, requests_state.Claim]
    wall_clock_s: float
    size: int = 0
    changed: bool = False
    batch: list[requests_state.ClaimChange] = attrs.field(factory=list)
    results: list[ChangeResult] = attrs.field(factory=list)

    def add_to_batch(self, change: requests_state.ClaimChange) -> None:
        """Adds a change to those that take effect with the write."""
        self.changed = True
        self.batch.append(change)


def plan_write(
    document: requests_state.ClaimDocument,
    changes: list[requests_state.ClaimChange],
    wall_clock_s: float,
) -> WritePlan:
    """Drops expired claims of a document and applies changes in order.

    Args:
        document: Document as read from the store.
        changes: Changes to apply.
        wall_clock_s: Wall-clock time, in seconds.
    """
    kept = {
        scope: claim
        for scope, claim in document.claims.items()
        if wall_clock_s - claim.at < RETENTION_S
    }
    plan = WritePlan(kept, wall_clock_s)
    plan.size = sum(_measure(scope, claim) for scope, claim in kept.items())
    for change in changes:
        apply(change, plan)
    return plan


def _measure(scope: str, claim: requests_state.Claim) -> int:
    """Estimates the size of a claim in the stored document, in bytes."""
    body = len(claim.body) * 4 // 3 if claim.body else 0
    texts = len(scope.encode()) + len(claim.token) + len(claim.content_type)
    return CLAIM_OVERHEAD_BYTES + texts + body


@functools.singledispatch
def apply(change: requests_state.ClaimChange, plan: WritePlan) -> None:
    """Applies one change to a plan, or adds its result if it needs no write."""
    raise NotImplementedError(type(change).__name__)


@apply.register
def _(change: requests_state.AcquireClaim, plan: WritePlan) -> None:
    found = plan.claims.get(change.scope)
    if found is not None and found.token == change.token:
        plan.results.append(ClaimMade(change.request_id))
        return
    if found is not None:
        plan.results.append(_resolve_duplicate(change, found))
        return
    claim = requests_state.Claim(change.token, plan.wall_clock_s, change.digest)
    size = _measure(change.scope, claim)
    if plan.size + size > MAX_BUCKET_BYTES:
        code = outcomes.Code.CLAIMS_FULL
        detail = "the store document for claims of the key is full"
        plan.results.append(_refuse(change.request_id, code, True, detail))
        return
    plan.claims[change.scope] = claim
    plan.size += size
    plan.add_to_batch(change)


@apply.register
def _(change: requests_state.RecordOutcome, plan: WritePlan) -> None:
    found = plan.claims.get(change.scope)
    if found is None or found.token != change.token:
        return
    claim = attrs.evolve(
        found,
        state=change.state,
        status=change.status,
        content_type=change.content_type,
        body=change.body,
    )
    growth = _measure(change.scope, claim) - _measure(change.scope, found)
    if plan.size + growth > MAX_BUCKET_BYTES:
        claim = attrs.evolve(claim, body=None)
        growth = 0
    plan.claims[change.scope] = claim
    plan.size += growth
    plan.add_to_batch(change)


@apply.register
def _(change: requests_state.ReleaseClaim, plan: WritePlan) -> None:
    # The document is written even if it holds no such claim. A delayed earlier
    # write of the claim then fails, because the version has changed.
    found = plan.claims.get(change.scope)
    if found is not None and found.token == change.token:
        del plan.claims[change.scope]
    plan.add_to_batch(change)


def _resolve_duplicate(
    change: requests_state.AcquireClaim, found: requests_state.Claim
) -> ClaimRefused:
    """Returns the result for a request whose key is already claimed."""
    code = outcomes.Code
    if found.digest != change.digest:
        detail = "the key was used with another request body"
        return _refuse(change.request_id, code.KEY_REUSED, False, detail)
    if found.state is requests_state.ClaimState.ANSWERED:
        return ClaimRefused(change.request_id, _replay(found))
    if found.state is requests_state.ClaimState.UNKNOWN:
        detail = "the request with this key may have run"
        unknown = outcomes.Unknown(
            code.OUTCOME_UNKNOWN, "claim", "", False, detail
        )
        return ClaimRefused(change.request_id, unknown)
    return ClaimRefused(change.request_id, make_in_progress())


def _replay(found: requests_state.Claim) -> outcomes.Outcome:
    if found.body is None:
        return outcomes.AlreadyRun(found.status)
    return outcomes.Answered(found.status, found.content_type, found.body, True)


def make_in_progress() -> outcomes.Unknown:
    """Returns the outcome of a duplicate whose first request has not ended."""
    detail = "the request with this key has not ended"
    code = outcomes.Code.KEY_IN_PROGRESS
    return outcomes.Unknown(code, "claim", "", True, detail)


@functools.singledispatch
def confirm(change: requests_state.ClaimChange) -> list[ChangeResult]:
    """Returns the results of a change whose write was confirmed."""
    return []


@confirm.register
def _(change: requests_state.AcquireClaim) -> list[ChangeResult]:
    return [ClaimMade(change.request_id)]


@confirm.register
def _(change: requests_state.ReleaseClaim) -> list[ChangeResult]:
    return [ReleaseEnded(change.request_id)] if change.request_id else []


def _refuse(
    request_id: str, code: outcomes.Code, retry: bool, detail: str
) -> ClaimRefused:
    outcome = outcomes.NotRun(
        proof=outcomes.ClaimNotMade(),
        code=code,
        step="claim",
        peer="store",
        retry=retry,
        detail=detail,
    )
    return ClaimRefused(request_id, outcome)


def refuse_unavailable(request_id: str) -> ClaimRefused:
    """Returns the result of a claim while the store is unavailable."""
    code = outcomes.Code.STORE_UNAVAILABLE
    detail = "the store did not confirm a claim of the key"
    return _refuse(request_id, code, True, detail)


@functools.singledispatch
def fail_change(change: requests_state.ClaimChange) -> list[ChangeResult]:
    """Returns the results of a waiting change when a store call has failed."""
    return []


@fail_change.register
def _(change: requests_state.AcquireClaim) -> list[ChangeResult]:
    return [refuse_unavailable(change.request_id)]


@fail_change.register
def _(change: requests_state.ReleaseClaim) -> list[ChangeResult]:
    return [ReleaseEnded(change.request_id)] if change.request_id else []


@functools.singledispatch
def retain_change(
    change: requests_state.ClaimChange, *, uncertain: bool
) -> list[requests_state.ClaimChange]:
    """Returns the changes to write later in place of one whose call failed.

    A claim is not tried again, since its request was refused. If it may have
    been written, it is replaced by its release. A release is repeated, but no
    request waits for it any longer.

    Args:
        change: Change that was to be written.
        uncertain: Whether an earlier write of the change had no answer.
    """
    return [change]


@retain_change.register
def _(
    change: requests_state.AcquireClaim, *, uncertain: bool
) -> list[requests_state.ClaimChange]:
    if not uncertain:
        return []
    return [requests_state.ReleaseClaim(change.scope, change.token)]


@retain_change.register
def _(
    change: requests_state.ReleaseClaim, *, uncertain: bool
) -> list[requests_state.ClaimChange]:
    return [requests_state.ReleaseClaim(change.scope, change.token)]
