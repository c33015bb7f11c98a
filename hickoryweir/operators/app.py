"""HTTP application of the operators' port."""

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
Work = Callable[..., Awaitable[service.Outcome]]


def make_app(ports: service.DaemonInterface) -> web.Application:
    """Return the application that the daemon mounts on the operators' port.

    Parameters
    ----------
    ports : service.DaemonInterface
        What the port asks of the daemon.

    Returns
    -------
    web.Application
        Every refusal is JSON with its reason, and is counted.

    See Also
    --------
    hickoryweir.operators.server.start : Listens with TLS by the settings.
    """
    app = web.Application(client_max_size=MAX_BODY_SIZE_BYTES)
    post = _make_post(ports)
    get = _make_get(ports)
    submit = documents.SubmitRequest
    rollback = documents.RollbackRequest
    stop = documents.StopRequest
    app.add_routes(
        [
            web.post("/changes", post(submit, service.submit, Permission.SUBMIT)),
            web.post("/rollbacks", post(rollback, service.rollback, Permission.SUBMIT)),
            web.post("/stops", post(stop, service.start_stop, Permission.STOP)),
            web.post("/stops/cancel", post(stop, service.cancel_stop, Permission.STOP)),
            web.get("/status", get(lambda request: service.status(ports))),
            web.get("/history", get(lambda request: service.read_history(ports))),
            web.get("/keys", get(lambda request: service.read_open_keys(ports))),
            web.get("/changes/{version}/answers", get(_answers_of(ports))),
        ]
    )
    return app


def _answers_of(ports):
    async def read(request: web.Request) -> service.Outcome:
        version = request.match_info["version"]
        if not version.isdigit():
            reason = documents.Reason.VERSION_UNKNOWN
            return service.refuse(reason, f"{version!r} is no version")
        return await service.read_answers(ports, int(version))

    return read


def _make_get(ports: service.DaemonInterface):
    def get(work: Work):
        async def handle(request: web.Request) -> web.Response:
            who = authentication.authenticate(
                ports.operators, request.headers.get("Authorization"), Permission.READ
            )
            if not isinstance(who, result.Success):
                return _respond(ports, who)
            return _respond(ports, await work(request))

        return handle

    return get


def _make_post(ports: service.DaemonInterface):
    def post(cls: type[pydantic.BaseModel], work: Work, permission: Permission):
        async def handle(request: web.Request) -> web.Response:
            who = authentication.authenticate(
                ports.operators, request.headers.get("Authorization"), permission
            )
            if not isinstance(who, result.Success):
                return _respond(ports, who)
            body = await _read(request, cls)
            if not isinstance(body, result.Success):
                return _respond(ports, body)
            return _respond(ports, await work(ports, who.unwrap(), body.unwrap()))

        return handle

    return post


async def _read(request, cls):
    try:
        return result.Success(cls.model_validate_json(await request.read()))
    except pydantic.ValidationError as error:
        lines = [
            f"{'.'.join(str(part) for part in each['loc'])}: {each['msg']}"
            for each in error.errors()
        ]
        reason = documents.Reason.BODY_INVALID
        return service.refuse(reason, "the body is invalid", lines)


def _respond(ports: service.DaemonInterface, outcome: service.Outcome) -> web.Response:
    if isinstance(outcome, result.Success):
        document = outcome.unwrap()
        return web.json_response(text=json.dumps(dataclasses.asdict(document)))
    refusal = outcome.failure()
    ports.count_refusal(refusal.reason)
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return web.json_response(
        text=json.dumps(dataclasses.asdict(refusal)),
        status=documents.HTTP_STATUS[refusal.reason],
        headers=headers,
    )
