"""A stand-in service that is no model engine; it counts how often each call ran.

Tests take the number of executions of each idempotency key from
``GET /executions``.  The service does not deduplicate: a call that is sent twice
runs twice.
"""

import asyncio
import collections
import dataclasses
import json

from aiohttp import web

from hickoryweir.engines import headers
from hickoryweir.testing import faults, notices

BODY_LIMIT_BYTES = 4 * 1024 * 1024
SERVICE = web.AppKey("service", "Service")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Name of a stand-in service and the time that each call takes."""

    name: str = "service"
    work_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Service:
    """State of a stand-in service.

    Attributes
    ----------
    executions : collections.Counter
        Number of executions by idempotency key.
    calls : collections.Counter
        Number of executions by method and path.
    answers : dict
        Request ID and answer of the last execution by idempotency key.
    """

    settings: ServiceSettings
    active_faults: faults.ServiceFaults = dataclasses.field(
        default_factory=faults.ServiceFaults
    )
    executions: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    answers: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)


def make_app(settings: ServiceSettings) -> web.Application:
    """Return a stand-in service as an application.

    ``ANY /{path}`` runs a call, ``GET /executions`` and ``GET /lookup/{key}``
    return what ran, and ``POST /faults`` switches faults on and off.
    """
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    notices.install(app)
    app[SERVICE] = Service(settings)
    app.add_routes(
        [
            web.get("/executions", handle_executions),
            web.get("/lookup/{key}", handle_lookup),
            web.get("/health", handle_health),
            web.post("/faults", handle_faults),
            web.route("*", "/{path:.*}", handle_call),
        ]
    )
    return app


async def handle_call(request: web.Request) -> web.StreamResponse:
    """Run a call and return how often its idempotency key has run."""
    service = request.app[SERVICE]
    request_id = request.headers.get(headers.REQUEST_ID, "anonymous")
    if service.active_faults.crashed:
        return abort_connection(request)
    if service.active_faults.refused_count > 0:
        service.active_faults.refused_count -= 1
        return refuse(request_id)
    body = await request.read()
    count = count_execution(service, request)
    answer = {
        "service": service.settings.name,
        "request_id": request_id,
        "method": request.method,
        "path": request.path_qs,
        "size_bytes": len(body),
        "executions": count,
    }
    key = request.headers.get(headers.IDEMPOTENCY_KEY)
    if key is not None:
        service.answers[key] = (request_id, json.dumps(answer))
    if service.active_faults.crash_after_running_count > 0:
        service.active_faults.crash_after_running_count -= 1
        return abort_connection(request)
    await asyncio.sleep(service.settings.work_s + service.active_faults.answer_delay_s)
    if service.active_faults.crossed_count > 0:
        service.active_faults.crossed_count -= 1
        request_id = f"not-{request_id}"
    return web.json_response(answer, headers={headers.REQUEST_ID: request_id})


def count_execution(service: Service, request: web.Request) -> int:
    """Count an execution; return how often its idempotency key has run."""
    service.calls[f"{request.method} {request.path}"] += 1
    key = request.headers.get(headers.IDEMPOTENCY_KEY)
    if key is None:
        return 1
    service.executions[key] += 1
    return service.executions[key]


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection instead of sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def refuse(request_id: str) -> web.Response:
    """Return the response that refuses a call and marks it as not run."""
    error = {"message": "the service is busy", "code": "busy"}
    return web.json_response(
        {"error": error},
        status=503,
        headers={headers.REQUEST_ID: request_id, headers.NOT_RUN: headers.TRUE},
    )


async def handle_executions(request: web.Request) -> web.Response:
    """Return the number of executions by idempotency key and by path."""
    service = request.app[SERVICE]
    by_path = dict(sorted(service.calls.items()))
    by_key = dict(sorted(service.executions.items()))
    return web.json_response({"by_key": by_key, "by_path": by_path})


async def handle_lookup(request: web.Request) -> web.Response:
    """Return whether a key ran, with the request ID and answer of its last run."""
    service = request.app[SERVICE]
    if service.active_faults.crashed:
        return abort_connection(request)
    recorded = service.answers.get(request.match_info["key"])
    if recorded is None:
        return web.json_response({"ran": False})
    request_id, body = recorded
    answer = {"status": 200, "content_type": "application/json", "body": body}
    lookup_result = {"ran": True, "request_id": request_id, "answer": answer}
    return web.json_response(lookup_result)


async def handle_health(request: web.Request) -> web.Response:
    """Return that the service is up."""
    if request.app[SERVICE].active_faults.crashed:
        return abort_connection(request)
    return web.json_response({"status": "ok"})


async def handle_faults(request: web.Request) -> web.Response:
    """Switch faults on and off; fields that the body omits are unchanged."""
    service = request.app[SERVICE]
    try:
        service.active_faults = faults.merge(
            service.active_faults, await request.read()
        )
    except ValueError as error:
        return web.json_response({"error": {"message": str(error)}}, status=400)
    return web.json_response(service.active_faults.model_dump())
