"""Request life cycle: admit, send, retry, answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphirestall_core import dispatch
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import policy
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "requests"
MAX_ATTEMPTS = 3


@dispatch.handle.register(request_messages.RequestArrived)
def accept_request(
    event: request_messages.RequestArrived,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Admits a request and sends its first attempt, or refuses it."""
    operation = _find_operation(event, instance)
    if operation is None:
        return _refuse(event.request_id, "unknown_operation", retry=False)
    if instance.draining:
        return _refuse(event.request_id, "draining", retry=True)
    request = requests_state.Request(event)
    instance.requests.in_flight[event.request_id] = request
    return _send(request, operation, instance, now)


@dispatch.handle.register(request_messages.AttemptAnswered)
def finish_request(
    event: request_messages.AttemptAnswered,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Answers the caller; an answer to an ended attempt is dropped."""
    request = _close_attempt(event.attempt_id, instance)
    if request is None:
        return [messages.CountRefusal(PART, "late_answer")]
    outcome = outcomes.Answered(event.status, event.content_type, event.body)
    return _answer(request, outcome, instance)


@dispatch.handle.register(request_messages.AttemptFailed)
def retry_request(
    event: request_messages.AttemptFailed,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Retries a failed attempt where that is safe, or answers the caller."""
    request = _close_attempt(event.attempt_id, instance)
    if request is None:
        return [messages.CountRefusal(PART, "late_failure")]
    if event.leaving:
        instance.members.mark_leaving(event.executor_id, now)
    _record_failure(request, event)
    operation = _find_operation(request.arrived, instance)
    if operation and _may_retry(request, operation, now):
        sent = _send(request, operation, instance, now)
        return [messages.CountRetry(PART, event.code), *sent]
    return _answer(request, _conclude(request, event), instance)


def _find_operation(
    event: request_messages.RequestArrived, instance: state.Instance
) -> policy.Operation | None:
    service = instance.policy.services.get(event.service)
    return service.operations.get(event.operation) if service else None


def _refuse(request_id: str, code: str, *, retry: bool) -> dispatch.Effects:
    outcome = outcomes.NotRun(
        proof=outcomes.NeverSent(),
        code=code,
        step="admission",
        peer="",
        retry=retry,
        detail=f"refused before it was sent: {code}",
    )
    return [
        messages.CountRefusal(PART, code),
        request_messages.AnswerCaller(request_id, outcome),
    ]


def _send(
    request: requests_state.Request,
    operation: policy.Operation,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    event = request.arrived
    executor = _choose_executor(event.service, instance)
    if executor is None:
        instance.requests.in_flight.pop(event.request_id, None)
        return _refuse(event.request_id, "no_executor", retry=True)
    request.attempts_made += 1
    attempt_id = f"{event.request_id}.{request.attempts_made}"
    request.attempt = requests_state.Attempt(attempt_id, executor.instance_id)
    in_use = instance.requests.in_use
    in_use[executor.instance_id] = in_use.get(executor.instance_id, 0) + 1
    instance.requests.by_attempt[attempt_id] = event.request_id
    return [
        request_messages.SendAttempt(
            attempt_id=attempt_id,
            request_id=event.request_id,
            executor_id=executor.instance_id,
            address=executor.address,
            operation=event.operation,
            body=event.body,
            content_type=event.content_type,
            timeout_s=min(operation.timeout_s, event.deadline - now),
        )
    ]


def _choose_executor(
    service: str, instance: state.Instance
) -> membership.Listing | None:
    candidates = [
        entry
        for entry in instance.members.find(
            membership.Kind.EXECUTOR, instance.identity.data_centre
        )
        if entry.service == service
    ]
    in_use = instance.requests.in_use
    return min(
        candidates,
        key=lambda entry: in_use.get(entry.instance_id, 0),
        default=None,
    )


def _close_attempt(
    attempt_id: str, instance: state.Instance
) -> requests_state.Request | None:
    request_id = instance.requests.by_attempt.pop(attempt_id, None)
    if request_id is None:
        return None
    request = instance.requests.in_flight[request_id]
    assert request.attempt is not None
    instance.requests.in_use[request.attempt.executor_id] -= 1
    request.attempt = None
    return request


def _record_failure(
    request: requests_state.Request, event: request_messages.AttemptFailed
) -> None:
    match event.stage:
        case request_messages.FailureStage.CONNECT:
            request.proofs.append(outcomes.ConnectionRefused(event.executor_id))
        case request_messages.FailureStage.REFUSED:
            request.proofs.append(outcomes.RefusedByExecutor(event.executor_id))
        case request_messages.FailureStage.SENT:
            request.unproven = True


def _may_retry(
    request: requests_state.Request, operation: policy.Operation, now: float
) -> bool:
    safe = operation.repeatable or not request.unproven
    in_time = now < request.arrived.deadline
    return safe and in_time and request.attempts_made < MAX_ATTEMPTS


def _conclude(
    request: requests_state.Request, event: request_messages.AttemptFailed
) -> outcomes.Outcome:
    if request.unproven:
        return outcomes.Unknown(
            event.code, "executor", event.executor_id, True, event.detail
        )
    return outcomes.NotRun(
        proof=request.proofs[-1],
        code=event.code,
        step="executor",
        peer=event.executor_id,
        retry=True,
        detail=event.detail,
    )


def _answer(
    request: requests_state.Request,
    outcome: outcomes.Outcome,
    instance: state.Instance,
) -> dispatch.Effects:
    request_id = request.arrived.request_id
    del instance.requests.in_flight[request_id]
    return [request_messages.AnswerCaller(request_id, outcome)]
