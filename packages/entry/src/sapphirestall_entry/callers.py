"""HTTP front end for callers; docs/callers.md describes the interface."""

import asyncio
import functools
import re
import uuid

import attrs
from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_entry import context as context_module

PART = "callers"
DEFAULT_DEADLINE_MS = 5000
MAX_DEADLINE_MS = 600_000
PROBLEM_TYPE = "application/problem+json"
# Idempotency keys and request ids: visible ASCII characters. The length is
# limited because each claim contains its key.
TOKEN_PATTERN = re.compile(r"[!-~]{1,255}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")

Code = outcomes.Code

# HTTP status by reason code. A code that is not listed has the status of its
# outcome: 503 for a request that did not run and 504 for one that may have run.
STATUSES = {
    Code.ALREADY_RUN: 409,
    Code.BAD_DEADLINE: 400,
    Code.BAD_KEY: 400,
    Code.BAD_REQUEST_ID: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.KEY_IN_PROGRESS: 409,
    Code.KEY_REUSED: 422,
    Code.MALFORMED_REQUEST: 400,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.MISSING_KEY: 400,
    Code.NOT_FOUND: 404,
    Code.OUTCOME_UNKNOWN: 409,
    Code.UNKNOWN_OPERATION: 404,
}


class InvalidRequestError(Exception):
    """A caller's request is invalid and is not passed to the core.

    Attributes:
        code: Stable reason code for the caller and for metrics.
        detail: Description of the error in one sentence.
    """

    def __init__(self, code: outcomes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class CallerGoneError(Exception):
    """The caller closed its connection before its request was complete."""


@attrs.define
class Callers:
    """Serves callers' requests.

    Attributes:
        context: Adapters and settings of the process.
        waiting_requests: Requests that wait for an outcome, by request id.
    """

    context: context_module.Context
    waiting_requests: dict[str, asyncio.Future[outcomes.Outcome]] = attrs.field(
        factory=dict
    )

    def build_app(self) -> applications.Starlette:
        """Returns the ASGI application that serves callers."""
        path = "/v1/services/{service}/{operation}"
        return applications.Starlette(
            routes=[routing.Route(path, self.serve, methods=["POST"])],
            exception_handlers={
                404: self._render_unrouted,
                405: self._render_unrouted,
            },
        )

    async def serve(self, request: requests.Request) -> responses.Response:
        """Passes a request to the core and returns its outcome as a response.

        The status is 499 if the caller disconnected while it sent its request;
        no one receives that response.
        """
        try:
            event = await self._read_request(request)
        except InvalidRequestError as error:
            return self.reject(error.code, error.detail)
        except CallerGoneError:
            self.context.counters.count_refusal(PART, Code.CALLER_GONE)
            return responses.Response(status_code=499)
        outcome = await self._wait(event, request)
        response = render(outcome)
        caller_id = request.headers.get("request-id")
        if caller_id is not None:
            response.headers["Request-Id"] = caller_id
        return response

    async def _read_request(
        self, request: requests.Request
    ) -> request_messages.RequestArrived:
        """Reads a complete request and checks its headers.

        An incomplete request is not passed to the core.

        Raises:
            InvalidRequestError: A header is malformed or the body too large.
            CallerGoneError: The caller disconnected before its body was
                complete.
        """
        headers = request.headers
        remaining_ms = _parse_deadline(headers.get("deadline-ms"))
        key = _parse_token(headers.get("idempotency-key"), Code.BAD_KEY)
        _parse_token(headers.get("request-id"), Code.BAD_REQUEST_ID)
        # The time limit starts at the arrival of the headers.
        deadline = self.context.clock() + remaining_ms / 1000
        body = await self._read_body(request)
        return request_messages.RequestArrived(
            request_id=uuid.uuid4().hex,
            service=request.path_params["service"],
            operation=request.path_params["operation"],
            key=key,
            deadline=deadline,
            body=body,
            content_type=headers.get("content-type", ""),
        )

    async def _read_body(self, request: requests.Request) -> bytes:
        limit = self.context.settings.max_body_bytes
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limit:
            raise _make_body_too_large(limit)
        body = bytearray()
        try:
            async for chunk in request.stream():
                body += chunk
                if len(body) > limit:
                    raise _make_body_too_large(limit)
        except requests.ClientDisconnect as error:
            raise CallerGoneError from error
        return bytes(body)

    async def _wait(
        self, event: request_messages.RequestArrived, request: requests.Request
    ) -> outcomes.Outcome:
        """Waits for the outcome; notifies the core if the caller leaves."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[outcomes.Outcome] = loop.create_future()
        self.waiting_requests[event.request_id] = future
        watch = loop.create_task(
            self._watch_disconnect(event.request_id, request)
        )
        try:
            self.context.feed(event)
            return await future
        finally:
            watch.cancel()
            self.waiting_requests.pop(event.request_id, None)

    async def _watch_disconnect(
        self, request_id: str, request: requests.Request
    ) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self.context.feed(request_messages.CallerGone(request_id))
        future = self.waiting_requests.get(request_id)
        if future is not None and not future.done():
            future.set_result(_make_not_run(Code.CALLER_GONE, "caller left"))

    def answer(self, effect: request_messages.AnswerCaller) -> None:
        """Delivers an outcome to the request that waits for it."""
        future = self.waiting_requests.get(effect.request_id)
        if future is not None and not future.done():
            future.set_result(effect.outcome)

    def reject(self, code: outcomes.Code, detail: str) -> responses.Response:
        """Counts a request that is refused here and returns the response."""
        self.context.counters.count_refusal(PART, code)
        response = render(_make_not_run(code, detail))
        # Part of the request may be unread, so the connection can't be reused.
        response.headers["Connection"] = "close"
        return response

    def reject_malformed(self, detail: str) -> responses.Response:
        """Rejects bytes that are not a valid HTTP request."""
        return self.reject(Code.MALFORMED_REQUEST, detail)

    async def _render_unrouted(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        assert isinstance(error, exceptions.HTTPException)
        code = Code.NOT_FOUND
        if error.status_code == 405:
            code = Code.METHOD_NOT_ALLOWED
        return self.reject(code, f"{request.method} {request.url.path}")


def _make_not_run(code: outcomes.Code, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        proof=outcomes.NeverSent(),
        code=code,
        step="callers",
        peer="",
        retry=False,
        detail=detail,
    )


def _make_body_too_large(limit: int) -> InvalidRequestError:
    detail = f"the body is longer than {limit} bytes"
    return InvalidRequestError(Code.BODY_TOO_LARGE, detail)


def _parse_deadline(text: str | None) -> int:
    if text is None:
        return DEFAULT_DEADLINE_MS
    remaining_ms = int(text) if DEADLINE_PATTERN.fullmatch(text) else 0
    if not 0 < remaining_ms <= MAX_DEADLINE_MS:
        detail = f"Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}"
        raise InvalidRequestError(Code.BAD_DEADLINE, detail)
    return remaining_ms


def _parse_token(text: str | None, code: outcomes.Code) -> str:
    if text is None:
        return ""
    if not TOKEN_PATTERN.fullmatch(text):
        detail = "the header must be 1 to 255 visible ASCII characters"
        raise InvalidRequestError(code, detail)
    return text


@functools.singledispatch
def render(outcome: outcomes.Outcome) -> responses.Response:
    """Returns the HTTP response for an outcome."""
    raise NotImplementedError(type(outcome).__name__)


@render.register
def _(outcome: outcomes.Answered) -> responses.Response:
    response = responses.Response(outcome.body, outcome.status)
    if outcome.content_type:
        response.headers["Content-Type"] = outcome.content_type
    if outcome.recorded:
        response.headers["Idempotent-Replayed"] = "true"
    return response


@render.register
def _(outcome: outcomes.NotRun) -> responses.Response:
    return _render_problem(outcome, "not_run", 503)


@render.register
def _(outcome: outcomes.Unknown) -> responses.Response:
    return _render_problem(outcome, "unknown", 504)


@render.register
def _(outcome: outcomes.AlreadyRun) -> responses.Response:
    return _render_problem(outcome, "run", 409)


def _render_problem(
    outcome: outcomes.NotRun | outcomes.Unknown | outcomes.AlreadyRun,
    ran: str,
    status: int,
) -> responses.Response:
    status = STATUSES.get(outcome.code, status)
    problem = {
        "title": outcome.code.replace("_", " "),
        "status": status,
        "code": outcome.code,
        "step": outcome.step,
        "peer": outcome.peer,
        "ran": ran,
        "retry": outcome.retry,
        "detail": outcome.detail,
    }
    return responses.JSONResponse(problem, status, media_type=PROBLEM_TYPE)
