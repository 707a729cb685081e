"""HTTP front end for operators, health, readiness and metrics."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any
import uuid

import attrs
import cattrs
from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing

from sapphirestall_core import errors
from sapphirestall_core import operator_messages
from sapphirestall_entry import bodies
from sapphirestall_entry import context as context_module
from sapphirestall_entry import converters

CALL_TIMEOUT_S = 10.0
PROBLEM_TYPE = "application/problem+json"
PART = "operators"

# Commands that change state. Without a result, the outcome of one of them is
# unknown; other commands are then reported as refused.
STATE_CHANGING = (
    operator_messages.SubmitJob,
    operator_messages.CancelJob,
    operator_messages.PatchConfiguration,
)

Handler = Callable[[requests.Request], Awaitable[responses.Response]]


@attrs.define
class Operators:
    """Serves operators' commands, health, readiness and metrics.

    Attributes:
        context: Adapters and settings of the process.
        converter: Converts commands and results; rejects unknown fields.
        waiting_calls: Commands that wait for a result, by call id.
    """

    context: context_module.Context
    converter: cattrs.Converter = attrs.field(
        factory=functools.partial(
            converters.make_converter, forbid_extra_keys=True
        )
    )
    waiting_calls: dict[str, asyncio.Future[operator_messages.Result]] = (
        attrs.field(factory=dict)
    )

    def build_app(self) -> applications.Starlette:
        """Returns the ASGI application that serves operators."""
        return applications.Starlette(
            routes=[
                self._make_route("/v1/jobs", self.submit_job, "POST"),
                self._make_route("/v1/jobs", self.list_jobs),
                self._make_route("/v1/jobs/{data_centre}", self.list_jobs),
                self._make_route(
                    "/v1/jobs/{data_centre}/{job_id}", self.show_job
                ),
                self._make_route(
                    "/v1/jobs/{data_centre}/{job_id}", self.cancel_job, "DELETE"
                ),
                self._make_route("/v1/workers", self.list_workers),
                self._make_route("/v1/partitions", self.list_partitions),
                self._make_route("/v1/configuration", self.show_configuration),
                self._make_route(
                    "/v1/configuration", self.patch_configuration, "PATCH"
                ),
                self._make_route("/v1/configuration/status", self.show_status),
                self._make_route("/v1/explain/{subject:path}", self.explain),
                self._make_route("/healthz", self.show_health),
                self._make_route("/readyz", self.show_readiness),
                self._make_route("/metrics", self.show_metrics),
            ],
            exception_handlers={
                errors.InvalidMessageError: self._render_invalid,
                exceptions.HTTPException: self._render_http_error,
                Exception: self._render_fault,
            },
        )

    def _make_route(
        self, path: str, handler: Handler, method: str = "GET"
    ) -> routing.Route:
        return routing.Route(path, handler, methods=[method])

    async def call(
        self, command: operator_messages.Command
    ) -> operator_messages.Result:
        """Passes a command to the core and waits for its result."""
        call_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self.waiting_calls[call_id] = future
        try:
            self.context.feed(
                operator_messages.OperatorCalled(call_id, command)
            )
            return await asyncio.wait_for(future, CALL_TIMEOUT_S)
        except TimeoutError:
            return self._make_timeout_result(command)
        finally:
            self.waiting_calls.pop(call_id, None)

    def _make_timeout_result(
        self, command: operator_messages.Command
    ) -> operator_messages.Result:
        self.context.counters.count_refusal(PART, "timeout")
        detail = f"no result within {CALL_TIMEOUT_S} s"
        if isinstance(command, STATE_CHANGING):
            return operator_messages.OutcomeUnknown("timeout", PART, detail)
        return operator_messages.Failure("timeout", PART, detail, 504)

    def answer(self, effect: operator_messages.AnswerOperator) -> None:
        """Delivers a result to the call that waits for it."""
        future = self.waiting_calls.get(effect.call_id)
        if future is not None and not future.done():
            future.set_result(effect.result)

    async def _serve(
        self, command: operator_messages.Command
    ) -> responses.Response:
        return render(await self.call(command), self.converter)

    def _render_invalid(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        assert isinstance(error, errors.InvalidMessageError)
        status = 413 if isinstance(error, bodies.BodyTooLargeError) else 400
        return self._render_refusal(
            error.code, error.step, error.detail, status
        )

    def _render_http_error(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        assert isinstance(error, exceptions.HTTPException)
        codes = {404: "unknown_path", 405: "method_not_allowed"}
        code = codes.get(error.status_code, "invalid_request")
        return self._render_refusal(
            code, "route", error.detail, error.status_code
        )

    def _render_fault(
        self, request: requests.Request, error: Exception
    ) -> responses.Response:
        self.context.report_fault(PART, error)
        return self._render_refusal("internal", PART, type(error).__name__, 500)

    def _render_refusal(
        self, code: str, step: str, detail: str, status: int
    ) -> responses.Response:
        self.context.counters.count_refusal(PART, code)
        failure = operator_messages.Failure(code, step, detail, status)
        return render(failure, self.converter)

    async def _decode(
        self,
        request: requests.Request,
        command: type[operator_messages.Command],
    ) -> operator_messages.Command:
        limit = self.context.settings.max_body_bytes
        tree = bodies.parse(await bodies.read(request, limit))
        return self._structure(tree, command)

    def _structure(
        self, tree: dict[str, Any], command: type[operator_messages.Command]
    ) -> operator_messages.Command:
        try:
            return self.converter.structure(tree, command)
        except cattrs.BaseValidationError as error:
            detail = "; ".join(_list_errors(error))
            raise errors.InvalidMessageError(
                detail[:2000], step="decode"
            ) from error

    def _read_data_centre(self, request: requests.Request) -> str:
        requested: str = request.path_params.get("data_centre", "")
        own = self.context.identity.data_centre
        return requested or request.query_params.get("data_centre", own)

    async def submit_job(self, request: requests.Request) -> responses.Response:
        """Submits a job."""
        command = await self._decode(request, operator_messages.SubmitJob)
        return await self._serve(command)

    async def list_jobs(self, request: requests.Request) -> responses.Response:
        """Lists the jobs of a data centre, by default of this instance's."""
        data_centre = self._read_data_centre(request)
        return await self._serve(operator_messages.ListJobs(data_centre))

    async def show_job(self, request: requests.Request) -> responses.Response:
        """Shows a job."""
        parameters = request.path_params
        return await self._serve(
            operator_messages.ShowJob(
                parameters["job_id"], parameters["data_centre"]
            )
        )

    async def cancel_job(self, request: requests.Request) -> responses.Response:
        """Cancels a job."""
        parameters = request.path_params
        return await self._serve(
            operator_messages.CancelJob(
                parameters["job_id"], parameters["data_centre"]
            )
        )

    async def list_workers(
        self, request: requests.Request
    ) -> responses.Response:
        """Lists the workers that this instance owns."""
        return await self._serve(operator_messages.ListWorkers())

    async def list_partitions(
        self, request: requests.Request
    ) -> responses.Response:
        """Lists the partitions of this data centre and their owners."""
        return await self._serve(operator_messages.ListPartitions())

    async def patch_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Patches the configuration or previews a patch."""
        command = await self._decode(
            request, operator_messages.PatchConfiguration
        )
        return await self._serve(command)

    async def show_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Shows the configuration in force at this instance."""
        return await self._serve(operator_messages.ShowConfiguration())

    async def show_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Shows which version is in force at each entry instance."""
        return await self._serve(operator_messages.ShowConfigurationStatus())

    async def explain(self, request: requests.Request) -> responses.Response:
        """Shows the decisions of this instance about a subject."""
        subject = request.path_params["subject"]
        return await self._serve(operator_messages.Explain(subject))

    async def show_health(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers the liveness check."""
        return responses.PlainTextResponse("ok\n")

    async def show_readiness(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers the readiness check: 200 if ready, else 503."""
        return await self._serve(operator_messages.ShowReadiness())

    async def show_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the metrics in a format that the client accepts."""
        content, headers = self.context.counters.render(
            request.headers.getlist("accept")
        )
        return responses.Response(content, headers=headers)


def _list_errors(error: cattrs.BaseValidationError) -> list[str]:
    return cattrs.transform_error(
        error, path="body", format_exception=_describe_error
    )


def _describe_error(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return "a required field is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(map(str, error.extra_fields)))
        return f"unknown fields: {names:.200}"
    return str(error)


@functools.singledispatch
def render(
    result: operator_messages.Result, converter: cattrs.Converter
) -> responses.Response:
    """Returns the HTTP response for a result."""
    return responses.JSONResponse(converter.unstructure(result))


@render.register
def _(
    result: operator_messages.Failure, converter: cattrs.Converter
) -> responses.Response:
    body = converter.unstructure(result) | {"outcome": "refused"}
    return responses.JSONResponse(body, result.status, media_type=PROBLEM_TYPE)


@render.register
def _(
    result: operator_messages.OutcomeUnknown, converter: cattrs.Converter
) -> responses.Response:
    body = converter.unstructure(result) | {"outcome": "unknown"}
    return responses.JSONResponse(body, result.status, media_type=PROBLEM_TYPE)


@render.register
def _(
    result: operator_messages.ReadinessShown, converter: cattrs.Converter
) -> responses.Response:
    status = 200 if result.ready else 503
    return responses.JSONResponse(converter.unstructure(result), status)
