"""HTTP front end for operators, health, readiness and metrics."""

import asyncio
from typing import Any
import uuid

import aioprometheus
import attrs
import cattrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sapphirestall_core import operator_messages
from sapphirestall_entry import context as context_module

CALL_TIMEOUT_S = 10.0


@attrs.define
class Operators:
    """Operators' calls that wait for a result, by call id."""

    context: context_module.Context
    converter: cattrs.Converter
    waiting: dict[str, asyncio.Future[operator_messages.Result]] = attrs.field(
        factory=dict
    )

    def build_app(self) -> applications.Starlette:
        """Returns the application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route("/v1/jobs", self.submit_job, methods=["POST"]),
                route("/v1/jobs/{data_centre}/{job_id}", self.show_job),
                route("/v1/configuration", self.show_configuration),
                route(
                    "/v1/configuration",
                    self.patch_configuration,
                    methods=["PATCH"],
                ),
                route("/v1/configuration/status", self.show_status),
                route("/healthz", self.show_health),
                route("/metrics", self.show_metrics),
            ]
        )

    async def call(
        self, command: operator_messages.Command
    ) -> responses.Response:
        """Hands a command to the core and waits for its result."""
        call_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self.waiting[call_id] = future
        try:
            self.context.feed(
                operator_messages.OperatorCalled(call_id, command)
            )
            result = await asyncio.wait_for(future, CALL_TIMEOUT_S)
        except TimeoutError:
            result = operator_messages.Failure(
                "timeout", "operators", "no result in time", 504
            )
        finally:
            self.waiting.pop(call_id, None)
        return self._render(result)

    def answer(self, effect: operator_messages.AnswerOperator) -> None:
        """Hands a result to the operator that waits for it."""
        future = self.waiting.get(effect.call_id)
        if future is not None and not future.done():
            future.set_result(effect.result)

    def _render(self, result: operator_messages.Result) -> responses.Response:
        body = self.converter.unstructure(result)
        if isinstance(result, operator_messages.Failure):
            return responses.JSONResponse(
                body, result.status, media_type="application/problem+json"
            )
        return responses.JSONResponse(body)

    async def _decode(
        self,
        request: requests.Request,
        command: type[operator_messages.Command],
    ) -> operator_messages.Command | operator_messages.Failure:
        try:
            tree: Any = await request.json()
            return self.converter.structure(tree, command)
        except (ValueError, cattrs.BaseValidationError) as error:
            return operator_messages.Failure(
                "invalid_command", "operators", repr(error)
            )

    async def _call_with_body(
        self,
        request: requests.Request,
        command: type[operator_messages.Command],
    ) -> responses.Response:
        decoded = await self._decode(request, command)
        if isinstance(decoded, operator_messages.Failure):
            return self._render(decoded)
        return await self.call(decoded)

    async def submit_job(self, request: requests.Request) -> responses.Response:
        """Submits a job."""
        return await self._call_with_body(request, operator_messages.SubmitJob)

    async def show_job(self, request: requests.Request) -> responses.Response:
        """Shows a job."""
        return await self.call(
            operator_messages.ShowJob(
                request.path_params["job_id"],
                request.path_params["data_centre"],
            )
        )

    async def patch_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Patches the configuration."""
        return await self._call_with_body(
            request, operator_messages.PatchConfiguration
        )

    async def show_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Shows the configuration in force here."""
        return await self.call(operator_messages.ShowConfiguration())

    async def show_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Shows where which version is in force."""
        return await self.call(operator_messages.ShowConfigurationStatus())

    async def show_health(
        self, request: requests.Request
    ) -> responses.Response:
        """Answers while the process runs."""
        return responses.PlainTextResponse("ok\n")

    async def show_metrics(
        self, request: requests.Request
    ) -> responses.Response:
        """Renders all metrics."""
        content, headers = aioprometheus.render(
            self.context.counters.registry,
            request.headers.getlist("accept"),
        )
        return responses.Response(content, headers=headers)
