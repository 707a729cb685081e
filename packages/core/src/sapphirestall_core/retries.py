"""When a failed request is sent again: safety, time, attempts, budget."""

from __future__ import annotations

import enum

import attrs

from sapphirestall_core import messages
from sapphirestall_core import requests_state

MAX_ATTEMPTS = 3
BACKOFF_BASE_S = 0.01
BACKOFF_JITTER = 0.5


@attrs.frozen
class RetryDue(messages.Timer):
    """Time for the next attempt of a request."""

    request_id: str


class DenialReason(enum.StrEnum):
    """Why a failed request is not sent again; the code of a counter."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    NO_TIME_LEFT = "no_time_left"
    CALLER_GONE = "caller_gone"
    BUDGET_EXHAUSTED = "budget_exhausted"


def add_tokens(service: requests_state.Service) -> None:
    """Adds the share of a retry that one first attempt allows."""
    service.retry_tokens = min(
        requests_state.MAX_RETRY_TOKENS,
        service.retry_tokens + requests_state.RETRY_TOKENS_PER_REQUEST,
    )


def compute_backoff(attempts_made: int) -> float:
    """Returns the delay before the next attempt, in seconds."""
    return BACKOFF_BASE_S * 2.0 ** (attempts_made - 1)


def take_token(
    request: requests_state.Request,
    service: requests_state.Service,
    estimate_s: float,
    now: float,
) -> DenialReason | None:
    """Takes a retry from the budget, or tells why there is none.

    Args:
        request: A request whose attempt has failed.
        service: Its service.
        estimate_s: Time that an attempt usually takes, in seconds.
        now: Monotonic clock, in seconds.
    """
    ready_at = now + compute_backoff(request.attempts_made) * (
        1 + BACKOFF_JITTER
    )
    if request.may_have_run and not request.operation.repeatable:
        return DenialReason.MAY_HAVE_RUN
    if request.attempts_made >= MAX_ATTEMPTS:
        return DenialReason.ATTEMPTS_EXHAUSTED
    if ready_at + estimate_s >= request.arrival.deadline:
        return DenialReason.NO_TIME_LEFT
    if request.caller_gone and not request.duplicates:
        return DenialReason.CALLER_GONE
    if service.retry_tokens < 1:
        return DenialReason.BUDGET_EXHAUSTED
    service.retry_tokens -= 1
    return None
