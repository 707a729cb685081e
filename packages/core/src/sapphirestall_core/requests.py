"""Event handlers of the request path.

They handle the arrival of requests, the results of attempts, timers, store
replies about claims, and loans of slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import admission
from sapphirestall_core import buckets
from sapphirestall_core import claims
from sapphirestall_core import dispatch
from sapphirestall_core import endings
from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import peer_messages
from sapphirestall_core import policy
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state
from sapphirestall_core import retries
from sapphirestall_core import sending
from sapphirestall_core import slots
from sapphirestall_core import store_messages

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = endings.PART
Phase = requests_state.Phase
Code = outcomes.Code


@dispatch.handle.register(request_messages.RequestArrived)
def accept_request(
    event: request_messages.RequestArrived,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Accepts a request or refuses it at once.

    A request with the same key as a request in flight becomes its duplicate.
    """
    operation = _find_operation(event, instance)
    if operation is None:
        ready = instance.configuration.document.version > 0
        code = Code.UNKNOWN_OPERATION if ready else Code.NOT_READY
        return endings.refuse(event.request_id, code, retry=not ready)
    slots.refresh_if_stale(instance, now)
    refusal = _find_refusal_code(event, operation, instance, now)
    if refusal is not None:
        retry = refusal is not Code.MISSING_KEY
        return endings.refuse(event.request_id, refusal, retry=retry)
    all_requests = instance.requests
    all_requests.services.setdefault(event.service, requests_state.Service())
    all_requests.sequence += 1
    request = requests_state.Request(event, operation, all_requests.sequence)
    if not operation.repeatable:
        scope = claims.make_scope(event)
        if scope in all_requests.claims.by_scope:
            return _join_first(
                request, all_requests.claims.by_scope[scope], instance, now
            )
        all_requests.claims.by_scope[scope] = event.request_id
    return _admit(request, instance, now)


def _find_operation(
    event: request_messages.RequestArrived, instance: state.Instance
) -> policy.Operation | None:
    service = instance.policy.services.get(event.service)
    return service.operations.get(event.operation) if service else None


def _find_refusal_code(
    event: request_messages.RequestArrived,
    operation: policy.Operation,
    instance: state.Instance,
    now: float,
) -> outcomes.Code | None:
    """Returns the reason to refuse an arriving request, or None."""
    if instance.draining:
        return Code.DRAINING
    if not operation.repeatable and not event.key:
        return Code.MISSING_KEY
    if not slots.has_executor(event.service, instance):
        return Code.NO_EXECUTOR
    service = instance.requests.services.get(event.service)
    needed_s = 0.0
    if service is not None:
        needed_s = admission.estimate_run_time(service, event.operation, now)
    if now + needed_s >= event.deadline:
        return Code.DEADLINE_UNMEETABLE
    return None


def _admit(
    request: requests_state.Request, instance: state.Instance, now: float
) -> dispatch.Effects:
    all_requests = instance.requests
    event = request.arrival
    all_requests.in_flight[event.request_id] = request
    service = all_requests.services[event.service]
    surplus = admission.enqueue(
        request, service, instance.policy.request_classes
    )
    effects: dispatch.Effects = []
    if surplus is not None:
        effects += sending.shed(surplus, Code.QUEUE_FULL, instance, now)
    effects += sending.serve_queues(event.service, instance, now)
    if request.phase is not Phase.SENDING:
        effects += endings.start_deadline_timer(request, instance, now)
    return effects


def _join_first(
    request: requests_state.Request,
    first_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Adds a duplicate to the first request in flight with the same key.

    Both get the same outcome. A duplicate with another body is refused.
    """
    first = instance.requests.in_flight[first_id]
    event = request.arrival
    if claims.digest_body(event) != claims.digest_body(first.arrival):
        return endings.refuse(event.request_id, Code.KEY_REUSED, retry=False)
    request.phase = Phase.JOINED
    first.duplicates.append(event.request_id)
    instance.requests.in_flight[event.request_id] = request
    return endings.start_deadline_timer(request, instance, now)


@dispatch.handle.register(request_messages.AttemptAnswered)
def finish_request(
    event: request_messages.AttemptAnswered,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Ends the request with the executor's answer.

    An answer to an attempt that has already ended is counted and dropped.
    """
    if event.leaving:
        instance.members.mark_leaving(event.executor_id)
    sent = _find_attempt(event.attempt_id, instance)
    request = sending.end_attempt(event.attempt_id, instance)
    if request is None or sent is None:
        return [messages.CountRefusal(PART, "late_answer")]
    slots.record_success(event.executor_id, instance)
    name = request.arrival.service
    service = instance.requests.services[name]
    operation = request.arrival.operation
    admission.record_run_time(service, operation, now - sent.sent_at, now)
    outcome = outcomes.Answered(event.status, event.content_type, event.body)
    return [
        *endings.conclude(request, outcome, instance, now),
        *sending.serve_queues(name, instance, now),
    ]


def _find_attempt(
    attempt_id: str, instance: state.Instance
) -> requests_state.Attempt | None:
    request_id = instance.requests.by_attempt.get(attempt_id)
    if request_id is None:
        return None
    return instance.requests.in_flight[request_id].attempt


@dispatch.handle.register(request_messages.AttemptFailed)
def retry_request(
    event: request_messages.AttemptFailed,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Schedules a retry after a failed attempt, or ends the request."""
    if event.leaving:
        instance.members.mark_leaving(event.executor_id)
    request = sending.end_attempt(event.attempt_id, instance)
    if request is None:
        return [messages.CountRefusal(PART, "late_failure")]
    effects: dispatch.Effects = []
    if event.stage is request_messages.FailureStage.CONNECT:
        effects += slots.record_connect_failure(
            event.executor_id, instance, now
        )
    return [
        *effects,
        *sending.handle_failure(request, event, instance, now),
        *sending.serve_queues(request.arrival.service, instance, now),
    ]


@dispatch.handle_timer.register(retries.RetryDue)
def end_backoff(
    timer: retries.RetryDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Queues a request for its next attempt when its backoff has passed."""
    request = instance.requests.in_flight.get(timer.request_id)
    if request is None or request.phase is not Phase.BACKOFF:
        return []
    sending.make_ready(request, instance)
    return sending.serve_queues(request.arrival.service, instance, now)


@dispatch.handle_timer.register(endings.RequestDue)
def end_waiting(
    timer: endings.RequestDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Ends a request that can no longer meet its deadline.

    A request with an attempt in flight continues until the attempt ends.
    """
    request = instance.requests.in_flight.get(timer.request_id)
    if request is None:
        return []
    request.deadline_timer_scheduled = False
    return _end_early(request, Code.DEADLINE_UNMEETABLE, instance, now)


@dispatch.handle.register(request_messages.CallerGone)
def drop_request(
    event: request_messages.CallerGone, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Ends a request whose caller has disconnected.

    It continues if an attempt is in flight or duplicates wait for its outcome.
    """
    request = instance.requests.in_flight.get(event.request_id)
    if request is None:
        return []
    request.caller_gone = True
    if request.duplicates:
        return []
    return _end_early(request, Code.CALLER_GONE, instance, now)


def _end_early(
    request: requests_state.Request,
    code: outcomes.Code,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Ends a request early unless an attempt is in flight.

    Args:
        request: Request to end.
        code: Reason that the caller gets if the request was queued.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    match request.phase:
        case Phase.SENDING:
            return []
        case Phase.RELEASING:
            # The outcome is known, so the caller gets it now. Until the
            # removal of the claim is stored, a duplicate is told that the
            # request has not ended.
            assert request.outcome is not None
            return endings.deliver_outcome(request, request.outcome, instance)
        case Phase.JOINED:
            return _detach_duplicate(request, instance)
        case Phase.CLAIMING:
            return _abandon_claim(request, instance, now)
    return [
        *sending.shed(request, code, instance, now),
        *sending.serve_queues(request.arrival.service, instance, now),
    ]


def _detach_duplicate(
    request: requests_state.Request, instance: state.Instance
) -> dispatch.Effects:
    """Ends a duplicate before the request that it waits for has ended."""
    first_id = instance.requests.claims.by_scope[
        claims.make_scope(request.arrival)
    ]
    first = instance.requests.in_flight[first_id]
    first.duplicates.remove(request.arrival.request_id)
    return endings.deliver_outcome(
        request, buckets.make_in_progress(), instance
    )


def _abandon_claim(
    request: requests_state.Request, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Ends a request whose claim has not been confirmed in time."""
    sending.count_claim_ended(request, instance)
    transition = claims.abandon(request.arrival, instance)
    outcome = outcomes.NotRun(
        proof=outcomes.ClaimNotMade(),
        code=Code.CLAIM_UNCONFIRMED,
        step="claim",
        peer="store",
        retry=True,
        detail="no claim was confirmed in time",
    )
    return [
        *transition.effects,
        *endings.deliver_outcome(request, outcome, instance),
    ]


def _apply_transition(
    transition: claims.Transition, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Continues the requests whose claims a transition has decided."""
    effects = [
        *transition.effects,
        *claims.start_waiting_calls(instance).effects,
    ]
    effects += sending.apply_results(transition.results, instance, now)
    if transition.results:
        for name in instance.requests.services:
            effects += sending.serve_queues(name, instance, now)
    return effects


@dispatch.handle_store_reply.register(claims.ReadBucket)
def handle_bucket_read_reply(
    purpose: claims.ReadBucket,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles the reply to the read of a bucket."""
    return _apply_transition(
        claims.handle_read_reply(purpose, reply, instance, now), instance, now
    )


@dispatch.handle_store_reply.register(claims.WriteBucket)
def handle_bucket_write_reply(
    purpose: claims.WriteBucket,
    reply: store_messages.StoreReply,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Handles the reply to the write of a bucket."""
    return _apply_transition(
        claims.handle_write_reply(purpose, reply, instance, now), instance, now
    )


@dispatch.handle_timer.register(claims.BucketDue)
def start_bucket_call(
    timer: claims.BucketDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts the delayed store call of a bucket."""
    return _apply_transition(
        claims.start_delayed_call(timer, instance), instance, now
    )


@dispatch.handle_timer.register(slots.TrialDue)
def resume_executor(
    timer: slots.TrialDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Ends the suspension of an executor; it gets one request as a trial."""
    slots.resume(timer, instance)
    return _serve_all_queues(instance, now)


@dispatch.handle_timer.register(slots.SlotsDue)
def update_slots(
    timer: slots.SlotsDue, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Updates shares, demand and loans periodically and serves the queues."""
    slots.refresh(instance, now)
    slots.update_demand(instance, now)
    return [
        *slots.lend(instance, now),
        *_serve_all_queues(instance, now),
        messages.StartTimer(timer, slots.UPDATE_PERIOD_S, 0.1),
    ]


@dispatch.receive.register(peer_messages.SlotLoan)
def receive_loan(
    message: peer_messages.SlotLoan,
    peer_id: str,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Records slots that a peer lends and serves the queues with them."""
    slots.record_loan(message, peer_id, instance, now)
    return _serve_all_queues(instance, now)


def _serve_all_queues(instance: state.Instance, now: float) -> dispatch.Effects:
    return [
        effect
        for name in instance.requests.services
        for effect in sending.serve_queues(name, instance, now)
    ]
