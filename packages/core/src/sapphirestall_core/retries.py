"""Decision whether a request is retried after a failed attempt.

Each service has a retry budget, a token bucket: every first attempt adds a
fraction of a token and every retry takes one. It bounds the extra load on a
service that fails.
"""

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
    """Timer to end the backoff of a request."""

    request_id: str


class DenialReason(enum.StrEnum):
    """Reason why a failed request is not retried; used as a metric's code.

    Attributes:
        MAY_HAVE_RUN: It is not repeatable and an attempt may have run.
        ATTEMPTS_EXHAUSTED: It had `MAX_ATTEMPTS` attempts.
        NO_TIME_LEFT: A retry could not be answered before the deadline.
        CALLER_GONE: No caller waits for the outcome.
        BUDGET_EXHAUSTED: The retry budget of the service has no token left.
    """

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    NO_TIME_LEFT = "no_time_left"
    CALLER_GONE = "caller_gone"
    BUDGET_EXHAUSTED = "budget_exhausted"


def add_tokens(service: requests_state.Service) -> None:
    """Adds the retry tokens of one first attempt to the budget."""
    service.retry_tokens = min(
        requests_state.MAX_RETRY_TOKENS,
        service.retry_tokens + requests_state.RETRY_TOKENS_PER_REQUEST,
    )


def compute_backoff(attempts_made: int) -> float:
    """Returns the delay before the next attempt, in seconds.

    It doubles with each attempt.
    """
    return BACKOFF_BASE_S * 2.0 ** (attempts_made - 1)


def take_token(
    request: requests_state.Request,
    service: requests_state.Service,
    estimate_s: float,
    now: float,
) -> DenialReason | None:
    """Takes a token for a retry if the request may be retried.

    Args:
        request: Request whose attempt has failed.
        service: Service of the request.
        estimate_s: Estimated run time of an attempt, in seconds.
        now: Monotonic time, in seconds.

    Returns:
        The reason why the request may not be retried, or None if a token was
        taken.
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
