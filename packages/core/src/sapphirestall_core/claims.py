"""Group commit of the claims of idempotency keys.

The claims are spread by hash over a fixed number of store documents (buckets).
A bucket has at most one store call in flight. All changes that wait for it are
written together by one compare-and-swap. If the answer to a write is lost, the
document is read again and the token in a claim shows whether the write took
effect. See docs/design.md, sections 4.5 and 7.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import buckets
from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "claims"
# Delay before outcomes are written, so that several share one write.
RECORD_DELAY_S = 0.2
# The delay after a failed store call is `RETRY_BASE_DELAY_S`, doubled with each
# failure since the last success, up to the limit.
RETRY_BASE_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 5.0
# While the store is unavailable, new claims are refused but for one in this
# time, which shows whether the store is back.
OUTAGE_TRIAL_INTERVAL_S = 0.5
# Upper limit of the window of concurrent store calls. Write conflicts show that
# the store is saturated: while a write waits in the store's queue, another
# instance changes the document and the expected version no longer matches.
# Without the window, 480 claims per second at a store that serves 300 writes
# per second needed 12 writes for each answered request.
MAX_WINDOW = 32.0


@attrs.frozen
class ReadBucket(store_messages.Purpose):
    """Purpose of the read of a bucket's document before it is changed."""

    number: int


@attrs.frozen
class WriteBucket(store_messages.Purpose):
    """Purpose of the write of a bucket's changed document."""

    number: int
    document: requests_state.ClaimDocument


@attrs.frozen
class BucketDue(messages.Timer):
    """Timer to make the delayed store call of a bucket."""

    number: int


@attrs.frozen
class Transition:
    """Consequences of a new change, a store reply or a timer.

    Attributes:
        effects: Effects to perform, such as store calls.
        results: Results of the claim changes that ended.
    """

    effects: list[messages.Effect] = attrs.field(factory=list)
    results: list[buckets.ChangeResult] = attrs.field(factory=list)


def make_scope(event: request_messages.RequestArrived) -> str:
    """Returns the identifier of a claim: service, operation and key.

    The same key may be used for another operation or service.
    """
    return f"{event.service}/{event.operation}/{event.key}"


def digest_body(event: request_messages.RequestArrived) -> str:
    """Returns the digest of a request body.

    A request with a key that is in use is a duplicate if the digests are equal,
    and misuses the key if they differ.
    """
    return hashlib.blake2b(event.body, digest_size=16).hexdigest()


def _make_token(request_id: str, instance: state.Instance) -> str:
    return f"{instance.identity.instance_id}/{request_id}"


def _find_bucket_number(scope: str, instance: state.Instance) -> int:
    digest = hashlib.blake2b(scope.encode(), digest_size=8).digest()
    count = instance.requests.claims.bucket_count
    return int.from_bytes(digest, "big") % count


def _add_change(
    change: requests_state.ClaimChange, instance: state.Instance
) -> int:
    number = _find_bucket_number(change.scope, instance)
    bucket = instance.requests.claims.buckets.setdefault(
        number, requests_state.Bucket()
    )
    bucket.waiting.append(change)
    return number


def acquire(
    event: request_messages.RequestArrived,
    instance: state.Instance,
    now: float,
) -> Transition:
    """Starts to claim the key of a request.

    A `ClaimMade` or `ClaimRefused` result follows, at once or later. While the
    store is unavailable, it is refused at once unless a trial is due.
    """
    all_claims = instance.requests.claims
    on_trial = all_claims.store.shows_outage()
    if on_trial and now < all_claims.next_trial_at:
        return Transition(
            results=[buckets.refuse_unavailable(event.request_id)]
        )
    change = requests_state.AcquireClaim(
        make_scope(event),
        _make_token(event.request_id, instance),
        event.request_id,
        digest_body(event),
    )
    number = _add_change(change, instance)
    if on_trial:
        all_claims.next_trial_at = now + OUTAGE_TRIAL_INTERVAL_S
        # The bucket does not wait for the next repetition of a failed call.
        all_claims.buckets[number].failures = 0
    return _start_call(number, instance)


def abandon(
    event: request_messages.RequestArrived, instance: state.Instance
) -> Transition:
    """Abandons a claim that has no result yet; its request was not sent.

    If the claim may have been written, its release is queued.
    """
    token = _make_token(event.request_id, instance)
    number = _find_bucket_number(make_scope(event), instance)
    bucket = instance.requests.claims.buckets.get(number)
    if bucket is None:
        return Transition()
    written = token in bucket.uncertain_tokens or any(
        change.token == token for change in bucket.batch
    )
    bucket.waiting = [c for c in bucket.waiting if c.token != token]
    bucket.batch = [c for c in bucket.batch if c.token != token]
    if written:
        bucket.waiting.append(
            requests_state.ReleaseClaim(make_scope(event), token)
        )
    return _start_call(number, instance)


def record_outcome(
    event: request_messages.RequestArrived,
    outcome: outcomes.Outcome,
    instance: state.Instance,
) -> Transition:
    """Queues the outcome of a claimed request to be stored in its claim."""
    scope = make_scope(event)
    token = _make_token(event.request_id, instance)
    change = requests_state.RecordOutcome(
        scope, token, requests_state.ClaimState.UNKNOWN
    )
    if isinstance(outcome, outcomes.Answered):
        kept = len(outcome.body) <= buckets.MAX_RECORDED_BODY_BYTES
        change = requests_state.RecordOutcome(
            scope,
            token,
            requests_state.ClaimState.ANSWERED,
            outcome.status,
            outcome.content_type,
            outcome.body if kept else None,
        )
    number = _add_change(change, instance)
    return Transition(_start_timer(number, RECORD_DELAY_S, instance))


def release(
    event: request_messages.RequestArrived, instance: state.Instance
) -> Transition:
    """Starts to release the claim of a request that did not run.

    A `ReleaseEnded` result follows.
    """
    change = requests_state.ReleaseClaim(
        make_scope(event),
        _make_token(event.request_id, instance),
        event.request_id,
    )
    return _start_call(_add_change(change, instance), instance)


def start_delayed_call(
    timer: BucketDue, instance: state.Instance
) -> Transition:
    """Starts the store call of a bucket whose timer has fired."""
    bucket = instance.requests.claims.buckets.get(timer.number)
    if bucket is None:
        return Transition()
    bucket.timer_scheduled = False
    return _start_call(timer.number, instance)


def _start_timer(
    number: int, delay_s: float, instance: state.Instance
) -> list[messages.Effect]:
    bucket = instance.requests.claims.buckets[number]
    if bucket.timer_scheduled or bucket.call_in_flight:
        return []
    bucket.timer_scheduled = True
    return [messages.StartTimer(BucketDue(number), delay_s, 0.5)]


def _start_call(number: int, instance: state.Instance) -> Transition:
    """Starts to read a bucket that has waiting changes.

    A bucket without changes is removed. Nothing happens if a call is in flight
    or a failed one is to be repeated later. If the window is full, the bucket
    waits for `start_waiting_calls`.
    """
    bucket = instance.requests.claims.buckets[number]
    if bucket.call_in_flight or (bucket.failures and bucket.timer_scheduled):
        return Transition()
    if not bucket.waiting:
        del instance.requests.claims.buckets[number]
        return Transition()
    all_claims = instance.requests.claims
    in_flight = sum(
        other.call_in_flight for other in all_claims.buckets.values()
    )
    if in_flight >= all_claims.window:
        all_claims.waiting_buckets[number] = None
        return Transition()
    bucket.call_in_flight = True
    call = store_messages.StoreGet(
        ReadBucket(number),
        _make_store_key(number),
        requests_state.ClaimDocument,
    )
    return Transition([call])


def _make_store_key(number: int) -> str:
    return f"claims/{number}"


def start_waiting_calls(instance: state.Instance) -> Transition:
    """Starts the store calls of waiting buckets until the window is full."""
    all_claims = instance.requests.claims
    effects: list[messages.Effect] = []
    for number in list(all_claims.waiting_buckets):
        in_flight = sum(
            other.call_in_flight for other in all_claims.buckets.values()
        )
        if in_flight >= all_claims.window:
            break
        del all_claims.waiting_buckets[number]
        if number in all_claims.buckets:
            effects += _start_call(number, instance).effects
    return Transition(effects)


def _widen_window(instance: state.Instance) -> None:
    all_claims = instance.requests.claims
    wider = all_claims.window + 1 / all_claims.window
    all_claims.window = min(MAX_WINDOW, wider)


def _narrow_window(instance: state.Instance) -> None:
    all_claims = instance.requests.claims
    all_claims.window = max(1.0, all_claims.window / 2)


def _record_store_success(
    reply: store_messages.StoreReply, instance: state.Instance
) -> None:
    """Records that the store is available.

    Buckets that wait after a failed call need not wait any longer.
    """
    all_claims = instance.requests.claims
    all_claims.store.record_success(reply.sent_at)
    for number, bucket in all_claims.buckets.items():
        if bucket.failures and bucket.timer_scheduled:
            bucket.failures = 0
            all_claims.waiting_buckets[number] = None


def handle_read_reply(
    purpose: ReadBucket,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> Transition:
    """Applies the waiting changes to the document that was read."""
    if isinstance(reply.outcome, store_messages.Found | store_messages.Absent):
        _record_store_success(reply, instance)
    match reply.outcome:
        case store_messages.Found(
            value=requests_state.ClaimDocument() as document, version=version
        ):
            return _write_changes(
                purpose.number, document, version, instance, now
            )
        case store_messages.Absent():
            document = requests_state.ClaimDocument()
            return _write_changes(purpose.number, document, 0, instance, now)
        case _:
            return _handle_store_failure(purpose.number, reply, instance)


def handle_write_reply(
    purpose: WriteBucket,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> Transition:
    """Handles the reply to a write.

    A success confirms the changes and starts the next write. After a version
    conflict or a lost answer the document is read again.
    """
    bucket = instance.requests.claims.buckets[purpose.number]
    batch, bucket.batch = bucket.batch, []
    match reply.outcome:
        case store_messages.Written(version=version):
            bucket.failures = 0
            _record_store_success(reply, instance)
            _widen_window(instance)
            bucket.uncertain_tokens.difference_update(c.token for c in batch)
            results = [r for change in batch for r in buckets.confirm(change)]
            transition = _write_changes(
                purpose.number, purpose.document, version, instance, now
            )
            return Transition(transition.effects, results + transition.results)
        case store_messages.VersionMismatch():
            _record_store_success(reply, instance)
            bucket.waiting = batch + bucket.waiting
            return _read_again(purpose.number, "claim_conflict", instance)
        case store_messages.Unavailable(ambiguous=True):
            bucket.waiting = batch + bucket.waiting
            bucket.uncertain_tokens.update(c.token for c in batch)
            return _read_again(purpose.number, "claim_answer_lost", instance)
        case _:
            bucket.waiting = batch + bucket.waiting
            return _handle_store_failure(purpose.number, reply, instance)


def _read_again(
    number: int, reason: str, instance: state.Instance
) -> Transition:
    bucket = instance.requests.claims.buckets[number]
    bucket.call_in_flight = False
    _narrow_window(instance)
    transition = _start_call(number, instance)
    return Transition([messages.CountRetry(PART, reason), *transition.effects])


def _handle_store_failure(
    number: int, reply: store_messages.StoreReply, instance: state.Instance
) -> Transition:
    """Handles a failed call to the store.

    Waiting claims of the bucket are refused. All other changes are tried again
    after a delay that doubles with each failure.
    """
    all_claims = instance.requests.claims
    all_claims.store.record_failure(reply.sent_at)
    bucket = all_claims.buckets[number]
    bucket.call_in_flight = False
    results: list[buckets.ChangeResult] = []
    kept: list[requests_state.ClaimChange] = []
    for change in bucket.waiting:
        uncertain = change.token in bucket.uncertain_tokens
        results += buckets.fail_change(change)
        kept += buckets.retain_change(change, uncertain=uncertain)
    bucket.waiting = kept
    if not kept:
        del all_claims.buckets[number]
        return Transition(results=results)
    bucket.failures += 1
    delay_s = min(MAX_RETRY_DELAY_S, RETRY_BASE_DELAY_S * 2**bucket.failures)
    effects = _start_timer(number, delay_s, instance)
    count = messages.CountRetry(PART, "store_unavailable")
    return Transition([count, *effects], results)


def _write_changes(
    number: int,
    document: requests_state.ClaimDocument,
    version: int,
    instance: state.Instance,
    now: float,
) -> Transition:
    """Applies the waiting changes to a document and writes it if needed."""
    bucket = instance.requests.claims.buckets[number]
    bucket.call_in_flight = False
    if not bucket.waiting:
        del instance.requests.claims.buckets[number]
        return Transition()
    wall_clock_s = now + instance.identity.wall_clock_offset_s
    plan = buckets.plan_write(document, bucket.waiting, wall_clock_s)
    bucket.waiting = []
    if not plan.changed:
        del instance.requests.claims.buckets[number]
        return Transition(results=plan.results)
    bucket.batch = plan.batch
    bucket.call_in_flight = True
    written = requests_state.ClaimDocument(plan.claims)
    call = store_messages.StorePut(
        WriteBucket(number, written), _make_store_key(number), written, version
    )
    return Transition([call], plan.results)
