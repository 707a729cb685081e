"""HTTP front end for callers; docs/callers.md describes it."""

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
# Visible ASCII; the limit keeps claims small.
TOKEN_PATTERN = re.compile(r"[!-~]{1,255}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")

Code = outcomes.Code

# Codes without an entry have the status of their outcome: 503 for a request
# that was not run and 504 for one that may have run.
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
    """A caller's request can't be handed to the core."""

    def __init__(self, code: outcomes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class CallerGoneError(Exception):
    """The caller closed its connection."""


@attrs.define
class Callers:
    """Requests of callers that wait for an answer, by request id."""

    context: context_module.Context
    waiting: dict[str, asyncio.Future[outcomes.Outcome]] = attrs.field(
        factory=dict
    )

    def build_app(self) -> applications.Starlette:
        """Returns the application."""
        path = "/v1/services/{service}/{operation}"
        return applications.Starlette(
            routes=[routing.Route(path, self.serve, methods=["POST"])],
            exception_handlers={
                404: self._render_unrouted,
                405: self._render_unrouted,
            },
        )

    async def serve(self, request: requests.Request) -> responses.Response:
        """Hands a request to the core and waits for its outcome."""
        try:
            event = await self._read(request)
        except InvalidRequestError as error:
            return self.reject(error.code, error.detail)
        except CallerGoneError:
            self.context.counters.count_refusal(PART, Code.CALLER_GONE)
            return responses.Response(status_code=499)
        outcome = await self._wait(event, request)
        response = render(outcome)
        own_id = request.headers.get("request-id")
        if own_id is not None:
            response.headers["Request-Id"] = own_id
        return response

    async def _read(
        self, request: requests.Request
    ) -> request_messages.RequestArrived:
        """Reads and checks a whole request; nothing is decided before.

        Raises:
            InvalidRequestError: A header is malformed or the body too large.
            CallerGoneError: The caller left before its body was complete.
        """
        headers = request.headers
        left_ms = _read_deadline(headers.get("deadline-ms"))
        key = _read_token(headers.get("idempotency-key"), Code.BAD_KEY)
        _read_token(headers.get("request-id"), Code.BAD_REQUEST_ID)
        # The time left counts from the arrival of the headers.
        deadline = self.context.clock() + left_ms / 1000
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
        stated = request.headers.get("content-length", "0")
        if stated.isdigit() and int(stated) > limit:
            raise _make_too_large(limit)
        body = bytearray()
        try:
            async for chunk in request.stream():
                body += chunk
                if len(body) > limit:
                    raise _make_too_large(limit)
        except requests.ClientDisconnect as error:
            raise CallerGoneError from error
        return bytes(body)

    async def _wait(
        self, event: request_messages.RequestArrived, request: requests.Request
    ) -> outcomes.Outcome:
        """Waits for an outcome; tells the core if the caller leaves."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[outcomes.Outcome] = loop.create_future()
        self.waiting[event.request_id] = future
        watch = loop.create_task(self._watch(event.request_id, request))
        try:
            self.context.feed(event)
            return await future
        finally:
            watch.cancel()
            self.waiting.pop(event.request_id, None)

    async def _watch(self, request_id: str, request: requests.Request) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self.context.feed(request_messages.CallerGone(request_id))
        future = self.waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(_make_invalid(Code.CALLER_GONE, "caller left"))

    def answer(self, effect: request_messages.AnswerCaller) -> None:
        """Hands an outcome to the caller that waits for it."""
        future = self.waiting.get(effect.request_id)
        if future is not None and not future.done():
            future.set_result(effect.outcome)

    def reject(self, code: outcomes.Code, detail: str) -> responses.Response:
        """Counts and renders a request that never reached the core."""
        self.context.counters.count_refusal(PART, code)
        response = render(_make_invalid(code, detail))
        # The rest of the request may be unread, so the connection ends.
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


def _make_invalid(code: outcomes.Code, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        proof=outcomes.NeverSent(),
        code=code,
        step="callers",
        peer="",
        retry=False,
        detail=detail,
    )


def _make_too_large(limit: int) -> InvalidRequestError:
    detail = f"the body is longer than {limit} bytes"
    return InvalidRequestError(Code.BODY_TOO_LARGE, detail)


def _read_deadline(text: str | None) -> int:
    if text is None:
        return DEFAULT_DEADLINE_MS
    left_ms = int(text) if DEADLINE_PATTERN.fullmatch(text) else 0
    if not 0 < left_ms <= MAX_DEADLINE_MS:
        detail = f"Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}"
        raise InvalidRequestError(Code.BAD_DEADLINE, detail)
    return left_ms


def _read_token(text: str | None, code: outcomes.Code) -> str:
    if text is None:
        return ""
    if not TOKEN_PATTERN.fullmatch(text):
        detail = "the header must be 1 to 255 visible ASCII characters"
        raise InvalidRequestError(code, detail)
    return text


@functools.singledispatch
def render(outcome: outcomes.Outcome) -> responses.Response:
    """Returns the HTTP form of an outcome."""
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
