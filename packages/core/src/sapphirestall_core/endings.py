"""End of a request: its outcome, its claim and its duplicates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from sapphirestall_core import admission
from sapphirestall_core import claims
from sapphirestall_core import dispatch
from sapphirestall_core import messages
from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_core import requests_state

if TYPE_CHECKING:
    from sapphirestall_core import state

PART = "requests"


@attrs.frozen
class RequestDue(messages.Timer):
    """Timer to end a request that can no longer meet its deadline."""

    request_id: str


def refuse(
    request_id: str, code: outcomes.Code, *, retry: bool
) -> dispatch.Effects:
    """Refuses a request that was not accepted."""
    outcome = make_unsent(code, retry=retry)
    return [
        messages.CountRefusal(PART, code),
        request_messages.AnswerCaller(request_id, outcome),
    ]


def make_unsent(code: outcomes.Code, *, retry: bool) -> outcomes.NotRun:
    """Returns the outcome of a request that was never sent."""
    return outcomes.NotRun(
        proof=outcomes.NeverSent(),
        code=code,
        step="admission",
        peer="",
        retry=retry,
        detail=f"refused before it was sent: {code}",
    )


def make_failed(
    request: requests_state.Request, code: outcomes.Code
) -> outcomes.Outcome:
    """Returns the outcome of a request that ends without an answer.

    It is `NotRun` only if there is a proof for each attempt that it did not
    run.

    Args:
        request: Request without an attempt in flight.
        code: Reason to give if the request was never sent. Otherwise the
            reason is that of the last failed attempt.
    """
    failure = request.last_failure
    if failure is None:
        return make_unsent(code, retry=True)
    if request.may_have_run:
        return outcomes.Unknown(
            failure.code, "executor", failure.executor_id, True, failure.detail
        )
    return outcomes.NotRun(
        proof=request.proofs[-1],
        code=failure.code,
        step="executor",
        peer=failure.executor_id,
        retry=True,
        detail=failure.detail,
    )


def start_deadline_timer(
    request: requests_state.Request, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Starts the deadline timer of a waiting request unless it is running."""
    event = request.arrival
    if (
        request.deadline_timer_scheduled
        or event.request_id not in instance.requests.in_flight
    ):
        return []
    request.deadline_timer_scheduled = True
    service = instance.requests.services[event.service]
    needed_s = admission.estimate_run_time(service, event.operation, now)
    delay_s = max(0.0, event.deadline - needed_s - now)
    return [messages.StartTimer(RequestDue(event.request_id), delay_s)]


def conclude(
    request: requests_state.Request,
    outcome: outcomes.Outcome,
    instance: state.Instance,
    now: float,
) -> dispatch.Effects:
    """Ends a request with an outcome.

    If it did not run, its claim is released before the caller gets the outcome,
    so that the caller may use the key again. Any other outcome is delivered at
    once and then stored in the claim.
    """
    if not request.key_claimed:
        return deliver_outcome(request, outcome, instance)
    request.key_claimed = False
    if isinstance(outcome, outcomes.NotRun):
        request.phase = requests_state.Phase.RELEASING
        request.outcome = outcome
        transition = claims.release(request.arrival, instance)
        return [
            *transition.effects,
            *start_deadline_timer(request, instance, now),
        ]
    answered = deliver_outcome(request, outcome, instance)
    transition = claims.record_outcome(request.arrival, outcome, instance)
    return [*answered, *transition.effects]


def deliver_outcome(
    request: requests_state.Request,
    outcome: outcomes.Outcome,
    instance: state.Instance,
) -> dispatch.Effects:
    """Delivers an outcome to the callers of a request and its duplicates."""
    effects: dispatch.Effects = []
    all_requests = instance.requests
    if not isinstance(outcome, outcomes.Answered):
        effects += _count_refusal(outcome)
    scope = claims.make_scope(request.arrival)
    if all_requests.claims.by_scope.get(scope) == request.arrival.request_id:
        del all_requests.claims.by_scope[scope]
    for request_id in (request.arrival.request_id, *request.duplicates):
        ended = all_requests.in_flight.pop(request_id)
        if not ended.caller_gone:
            effects.append(request_messages.AnswerCaller(request_id, outcome))
    return effects


def _count_refusal(outcome: outcomes.Outcome) -> dispatch.Effects:
    match outcome:
        case outcomes.NotRun(code=code) | outcomes.Unknown(code=code):
            return [messages.CountRefusal(PART, code)]
        case outcomes.AlreadyRun(code=code):
            return [messages.CountRefusal(PART, code)]
    return []
