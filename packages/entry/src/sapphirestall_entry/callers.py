"""HTTP front end for callers."""

import asyncio
import functools
import uuid

import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sapphirestall_core import outcomes
from sapphirestall_core import request_messages
from sapphirestall_entry import context as context_module

DEFAULT_DEADLINE_MS = 5000
PROBLEM_TYPE = "application/problem+json"


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
            routes=[routing.Route(path, self.serve, methods=["POST"])]
        )

    async def serve(self, request: requests.Request) -> responses.Response:
        """Hands a request to the core and waits for its outcome."""
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        body = await request.body()
        left_ms = int(request.headers.get("deadline-ms", DEFAULT_DEADLINE_MS))
        self.waiting[request_id] = future
        self.context.feed(
            request_messages.RequestArrived(
                request_id=request_id,
                service=request.path_params["service"],
                operation=request.path_params["operation"],
                key=request.headers.get("idempotency-key", ""),
                deadline=self.context.clock() + left_ms / 1000,
                body=body,
                content_type=request.headers.get("content-type", ""),
            )
        )
        try:
            return render(await future)
        finally:
            self.waiting.pop(request_id, None)

    def answer(self, effect: request_messages.AnswerCaller) -> None:
        """Hands an outcome to the caller that waits for it."""
        future = self.waiting.get(effect.request_id)
        if future is not None and not future.done():
            future.set_result(effect.outcome)


@functools.singledispatch
def render(outcome: outcomes.Outcome) -> responses.Response:
    """Returns the HTTP form of an outcome."""
    raise NotImplementedError(type(outcome).__name__)


@render.register
def _(outcome: outcomes.Answered) -> responses.Response:
    return responses.Response(
        outcome.body, outcome.status, media_type=outcome.content_type
    )


@render.register
def _(outcome: outcomes.NotRun) -> responses.Response:
    return _render_problem(outcome, "not_run", 503)


@render.register
def _(outcome: outcomes.Unknown) -> responses.Response:
    return _render_problem(outcome, "unknown", 504)


def _render_problem(
    outcome: outcomes.NotRun | outcomes.Unknown, ran: str, status: int
) -> responses.Response:
    problem = {
        "code": outcome.code,
        "step": outcome.step,
        "peer": outcome.peer,
        "ran": ran,
        "retry": outcome.retry,
        "detail": outcome.detail,
    }
    return responses.JSONResponse(problem, status, media_type=PROBLEM_TYPE)
