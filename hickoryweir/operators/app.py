"""HTTP application of the operators' interface."""

import dataclasses
import json
from collections.abc import Awaitable, Callable

import pydantic
from aiohttp import web
from returns import result

from hickoryweir.configuration import settings
from hickoryweir.operators import authentication, documents, service

MAX_BODY_SIZE_BYTES = 32 * 1024 * 1024
Permission = settings.Permission
Operation = Callable[..., Awaitable[service.Outcome]]


def make_app(daemon: service.DaemonInterface) -> web.Application:
    """Return the application that serves operators.

    Parameters
    ----------
    daemon : service.DaemonInterface
        Functions and values of the daemon.

    Returns
    -------
    web.Application
        Refusals are counted and returned as JSON with their reason.

    See Also
    --------
    hickoryweir.operators.server.start : Serves the application.
    """
    app = web.Application(client_max_size=MAX_BODY_SIZE_BYTES)
    post = _make_post(daemon)
    get = _make_get(daemon)
    submit = documents.SubmitRequest
    rollback = documents.RollbackRequest
    stop = documents.StopRequest
    app.add_routes(
        [
            web.post("/changes", post(submit, service.submit, Permission.SUBMIT)),
            web.post("/rollbacks", post(rollback, service.rollback, Permission.SUBMIT)),
            web.post("/stops", post(stop, service.start_stop, Permission.STOP)),
            web.post("/stops/cancel", post(stop, service.cancel_stop, Permission.STOP)),
            web.get("/status", get(lambda request: service.status(daemon))),
            web.get("/history", get(lambda request: service.read_history(daemon))),
            web.get("/keys", get(lambda request: service.read_open_keys(daemon))),
            web.get("/changes/{version}/answers", get(_make_answers_reader(daemon))),
        ]
    )
    return app


def _make_answers_reader(daemon):
    async def read(request: web.Request) -> service.Outcome:
        version = request.match_info["version"]
        if not version.isdigit():
            reason = documents.Reason.VERSION_UNKNOWN
            return service.refuse(reason, f"{version!r} is not a version")
        return await service.read_answers(daemon, int(version))

    return read


def _make_get(daemon: service.DaemonInterface):
    def get(operation: Operation):
        async def handle(request: web.Request) -> web.Response:
            operator = authentication.authenticate(
                daemon.operators, request.headers.get("Authorization"), Permission.READ
            )
            if not isinstance(operator, result.Success):
                return _respond(daemon, operator)
            return _respond(daemon, await operation(request))

        return handle

    return get


def _make_post(daemon: service.DaemonInterface):
    def post(
        body_class: type[pydantic.BaseModel],
        operation: Operation,
        permission: Permission,
    ):
        async def handle(request: web.Request) -> web.Response:
            operator = authentication.authenticate(
                daemon.operators, request.headers.get("Authorization"), permission
            )
            if not isinstance(operator, result.Success):
                return _respond(daemon, operator)
            body = await _read_body(request, body_class)
            if not isinstance(body, result.Success):
                return _respond(daemon, body)
            return _respond(
                daemon, await operation(daemon, operator.unwrap(), body.unwrap())
            )

        return handle

    return post


async def _read_body(request, body_class):
    try:
        return result.Success(body_class.model_validate_json(await request.read()))
    except pydantic.ValidationError as error:
        lines = [
            f"{'.'.join(str(part) for part in each['loc'])}: {each['msg']}"
            for each in error.errors()
        ]
        reason = documents.Reason.BODY_INVALID
        return service.refuse(reason, "the body is invalid", lines)


def _respond(daemon: service.DaemonInterface, outcome: service.Outcome) -> web.Response:
    if isinstance(outcome, result.Success):
        document = outcome.unwrap()
        return web.json_response(text=json.dumps(dataclasses.asdict(document)))
    refusal = outcome.failure()
    daemon.count_refusal(refusal.reason)
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return web.json_response(
        text=json.dumps(dataclasses.asdict(refusal)),
        status=documents.HTTP_STATUS[refusal.reason],
        headers=headers,
    )
