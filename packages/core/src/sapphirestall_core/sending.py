"""Dispatch of queued requests, and the attempts to run them.

A non-repeatable request is sent only after its idempotency key was claimed.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from sapphirestall_core import admission
from sapphirestall_core import buckets
from sapphirestall_core import claims
from sapphirestall_core import dispatch
from sapphirestall_core import endings
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state
from sapphirestall_core import retries
from sapphirestall_core import slots

if TYPE_CHECKING:
    from sapphirestall_core import state

# Maximum fraction of an attempt's timeout for the connection setup.
CONNECT_TIME_FRACTION = 0.3
Phase = requests_state.Phase
Code = outcomes.Code


def serve_queues(
    name: str, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Claims and sends queued requests of a service.

    It sends requests until no slot is free, and starts claims ahead of free
    slots. Requests that can no longer meet their deadline are shed.

    Args:
        name: Service.
        instance: State of this entry instance.
        now: Monotonic time, in seconds.
    """
    service = instance.requests.services.get(name)
    if service is None or not admission.count_waiting(service):
        return []
    slots.refresh_if_stale(instance, now)
    slots.resume_lone_executor(name, instance, now)
    capacity = slots.count_capacity(name, instance, now)
    return [
        *_claim_waiting(service, capacity, instance, now),
        *_fill_slots(name, service, capacity, instance, now),
    ]


def _claim_waiting(
    service: requests_state.Service,
    capacity: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    classes = instance.policy.request_classes
    while request := admission.pick_claimable(service, classes, capacity):
        if _misses_deadline(request, service, now):
            effects += shed(request, Code.DEADLINE_UNMEETABLE, instance, now)
            continue
        request.phase = Phase.CLAIMING
        admission.find_queue(service, request).claiming += 1
        transition = claims.acquire(request.arrival, instance, now)
        effects += transition.effects
        effects += apply_results(transition.results, instance, now)
    return effects


def _fill_slots(
    name: str,
    service: requests_state.Service,
    capacity: int,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    effects: dispatch.Effects = []
    classes = instance.policy.request_classes
    while slots.choose_executor(name, set(), instance, now) is not None:
        request = admission.pick_sendable(service, classes, capacity)
        if request is None:
            break
        if _misses_deadline(request, service, now):
            effects += shed(request, Code.DEADLINE_UNMEETABLE, instance, now)
            continue
        executor = slots.choose_executor(
            name, request.tried_executors, instance, now
        )
        assert executor is not None
        effects += _send(request, executor, instance, now)
    return effects


def _misses_deadline(
    request: requests_state.Request,
    service: requests_state.Service,
    now: float,
) -> bool:
    """Returns whether an attempt started now would end after the deadline."""
    event = request.arrival
    needed_s = admission.estimate_run_time(service, event.operation, now)
    return now + needed_s >= event.deadline


def shed(
    request: requests_state.Request,
    code: outcomes.Code,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Removes a request from its queue and ends it without an answer."""
    service = instance.requests.services[request.arrival.service]
    admission.remove(request, service)
    outcome = endings.make_failed(request, code)
    return endings.conclude(request, outcome, instance, now)


def _send(
    request: requests_state.Request,
    executor: membership.Listing,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    all_requests = instance.requests
    event = request.arrival
    service = all_requests.services[event.service]
    if request.attempts_made == 0:
        retries.add_tokens(service)
    request.attempts_made += 1
    request.phase = Phase.SENDING
    request.tried_executors.add(executor.instance_id)
    attempt_id = f"{event.request_id}.{request.attempts_made}"
    request.attempt = requests_state.Attempt(
        attempt_id, executor.instance_id, now
    )
    used = slots.find_executor(executor.instance_id, instance)
    used.in_use += 1
    admission.find_queue(service, request).in_use += 1
    all_requests.by_attempt[attempt_id] = event.request_id
    timeout_s = min(request.operation.timeout_s, event.deadline - now)
    # A connection setup that takes the whole timeout would leave no time for
    # another executor. The attempt would also end as a timeout, which does not
    # prove that nothing was sent.
    connect_s = min(
        slots.compute_connect_timeout(used), timeout_s * CONNECT_TIME_FRACTION
    )
    return [
        request_messages.SendAttempt(
            attempt_id=attempt_id,
            request_id=event.request_id,
            executor_id=executor.instance_id,
            address=executor.address,
            operation=event.operation,
            body=event.body,
            content_type=event.content_type,
            timeout_s=timeout_s,
            connect_timeout_s=connect_s,
        )
    ]


def end_attempt(
    attempt_id: str, instance: state.Instance
) -> requests_state.Request | None:
    """Frees the slot of an attempt that ended.

    Returns:
        The request of the attempt, or None if the attempt has already ended.
    """
    all_requests = instance.requests
    request_id = all_requests.by_attempt.pop(attempt_id, None)
    if request_id is None:
        return None
    request = all_requests.in_flight[request_id]
    assert request.attempt is not None
    executor = slots.find_executor(request.attempt.executor_id, instance)
    executor.in_use -= 1
    service = all_requests.services[request.arrival.service]
    admission.find_queue(service, request).in_use -= 1
    request.attempt = None
    return request


def make_ready(
    request: requests_state.Request, instance: state.Instance
) -> None:
    """Queues a claimed or retried request to be sent before new requests."""
    request.phase = Phase.READY
    service = instance.requests.services[request.arrival.service]
    queue = admission.find_queue(service, request)
    queue.ready[request.arrival.request_id] = request


def handle_failure(
    request: requests_state.Request,
    event: request_messages.AttemptFailed,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Schedules a retry of a request whose attempt failed, or ends it."""
    request.last_failure = event
    _record_proof(request, event)
    service = instance.requests.services[request.arrival.service]
    needed_s = admission.estimate_run_time(
        service, request.arrival.operation, now
    )
    denial = retries.take_token(request, service, needed_s, now)
    if denial is not None:
        outcome = endings.make_failed(request, event.code)
        count = messages.CountRefusal("retries", denial)
        return [count, *endings.conclude(request, outcome, instance, now)]
    request.phase = Phase.BACKOFF
    delay_s = retries.compute_backoff(request.attempts_made)
    timer = retries.RetryDue(request.arrival.request_id)
    return [
        messages.CountRetry(endings.PART, event.code),
        messages.StartTimer(timer, delay_s, retries.BACKOFF_JITTER),
        *endings.start_deadline_timer(request, instance, now),
    ]


def _record_proof(
    request: requests_state.Request, event: request_messages.AttemptFailed
) -> None:
    match event.stage:
        case request_messages.FailureStage.CONNECT:
            request.proofs.append(outcomes.ConnectionRefused(event.executor_id))
        case request_messages.FailureStage.REFUSED:
            request.proofs.append(outcomes.RefusedByExecutor(event.executor_id))
        case request_messages.FailureStage.SENT:
            request.may_have_run = True


def apply_results(
    results: list[buckets.ChangeResult], instance: state.Instance, now: float
) -> dispatch.Effects:
    """Continues each request in flight for which a claim change has ended."""
    effects: dispatch.Effects = []
    for result in results:
        request = instance.requests.in_flight.get(result.request_id)
        if request is not None:
            effects += apply_result(result, request, instance, now)
    return effects


@functools.singledispatch
def apply_result(
    result: buckets.ChangeResult,
    request: requests_state.Request,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Continues a request after a change of its claim has ended."""
    raise NotImplementedError(type(result).__name__)


@apply_result.register(buckets.ClaimMade)
def _(
    result: buckets.ClaimMade,
    request: requests_state.Request,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    count_claim_ended(request, instance)
    request.key_claimed = True
    make_ready(request, instance)
    return []


@apply_result.register(buckets.ClaimRefused)
def _(
    result: buckets.ClaimRefused,
    request: requests_state.Request,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    count_claim_ended(request, instance)
    return endings.conclude(request, result.outcome, instance, now)


@apply_result.register(buckets.ReleaseEnded)
def _(
    result: buckets.ReleaseEnded,
    request: requests_state.Request,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    assert request.outcome is not None
    return endings.deliver_outcome(request, request.outcome, instance)


def count_claim_ended(
    request: requests_state.Request, instance: state.Instance
) -> None:
    """Decrements the number of claims that are being written for a class."""
    service = instance.requests.services[request.arrival.service]
    admission.find_queue(service, request).claiming -= 1
