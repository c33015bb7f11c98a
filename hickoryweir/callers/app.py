"""The callers' HTTP interface, shaped like the published OpenAI interface.

======  ==============================  =====================================
method  path                            answer
======  ==============================  =====================================
POST    /v1/chat/completions            plain or server-sent events
POST    /v1/completions                 plain or server-sent events
GET     /v1/models                      models of the configuration
any     /services/{service}/{path}      the plain service's answer
GET     /healthz                        the process runs
GET     /readyz                         503 while the balancer should not send
GET     /metrics                        Prometheus text
GET     /status                         JSON
======  ==============================  =====================================

Handlers check a request step by step; each step gives a value or a refusal.
"""

import asyncio
import dataclasses
import json
import re
import secrets
import time
import uuid
import weakref
from collections.abc import Awaitable, Callable

from aiohttp import web
from returns import result

from hickoryweir.callers import (
    authentication,
    classes,
    errors,
    ports,
    requests,
    sinks,
)
from hickoryweir.configuration import model
from hickoryweir.observability import logs, metrics
from hickoryweir.outcomes import refusals

PORTS = web.AppKey("ports", ports.Ports)
SINKS = web.AppKey("sinks", weakref.WeakSet)
REQUEST_ID = web.RequestKey("request_id", str)
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
SWEEP_INTERVAL_S = 1.0
CALL_ID_SIZE_BYTES = 8
NO_CLASS = ""

Parse = Callable[[bytes], result.Result[requests.Prompt, refusals.Refusal]]
Checked = result.Result[requests.CallerRequest, refusals.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The configuration in force and the caller's account."""

    configuration: model.Configuration
    account: model.Account


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What a request carries; ``received_at_s`` is monotonic."""

    path: str
    body: bytes
    prompt: requests.Prompt | None
    received_at_s: float


def make_app(given: ports.Ports) -> web.Application:
    """Return the application that serves callers.

    Parameters
    ----------
    given : ports.Ports
        The daemon's functions.

    Returns
    -------
    web.Application
        To be run with ``handler_cancellation`` on, so that a caller who
        leaves cancels its call.
    """
    app = web.Application(
        client_max_size=given.limits.max_body_size_bytes,
        middlewares=[catch_faults],
    )
    app[PORTS] = given
    app[SINKS] = weakref.WeakSet()
    app.router.add_post("/v1/chat/completions", answer_chat)
    app.router.add_post("/v1/completions", answer_completion)
    app.router.add_get("/v1/models", answer_models)
    app.router.add_route("*", "/services/{service}/{path:.*}", answer_service)
    app.router.add_get("/healthz", answer_health)
    app.router.add_get("/readyz", answer_ready)
    app.router.add_get("/metrics", answer_metrics)
    app.router.add_get("/status", answer_status)
    app.cleanup_ctx.append(sweep_sinks)
    app.on_response_prepare.append(close_when_draining)
    return app


async def close_when_draining(
    request: web.Request, response: web.StreamResponse
) -> None:
    """End kept connections with their next response during a shutdown."""
    refusal = request.app[PORTS].not_ready()
    if refusal is not None and refusal.reason is refusals.Reason.DRAINING:
        response.force_close()
        response.headers["Connection"] = "close"


async def sweep_sinks(app: web.Application):
    """Cut callers that read too slowly, for as long as the app runs."""

    async def run() -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            limit_s = app[PORTS].limits.write_timeout_s
            cut_count = sinks.sweep(app[SINKS], limit_s, time.monotonic())
            reason = refusals.Reason.CLIENT_TOO_SLOW
            app[PORTS].metrics.refusals.labels(NO_CLASS, reason).inc(cut_count)

    task = asyncio.create_task(run())
    yield
    task.cancel()


def request_id_of(request: web.Request) -> str:
    """Return the caller's request id if it is well formed, else a new one."""
    if REQUEST_ID not in request:
        given = request.headers.get("X-Request-Id", "")
        fits = REQUEST_ID_PATTERN.fullmatch(given)
        request[REQUEST_ID] = given if fits else uuid.uuid4().hex
    return request[REQUEST_ID]


@web.middleware
async def catch_faults(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Turn routing errors and unforeseen faults into typed refusals."""
    request.protocol.is_served = True
    try:
        return await handler(request)
    except web.HTTPNotFound:
        reason = refusals.Reason.PATH_UNKNOWN
        refusal = refusals.make_refusal(reason, "no such path")
    except web.HTTPMethodNotAllowed:
        reason = refusals.Reason.METHOD_NOT_ALLOWED
        refusal = refusals.make_refusal(reason, "the path has no such method")
    except web.HTTPRequestEntityTooLarge:
        refusal = refuse_body_size(request.app[PORTS])
    except ConnectionError:
        reason = refusals.Reason.CALLER_LEFT
        refusal = refusals.make_refusal(reason, "left", ran=refusals.Ran.MAYBE)
    return refuse(request, NO_CLASS, refusal)


def refuse(
    request: web.Request, class_name: str, refusal: refusals.Refusal
) -> web.Response:
    """Count and log a refusal and return its response."""
    request_id = request_id_of(request)
    count_refusal(request.app[PORTS].metrics, request_id, class_name, refusal)
    return errors.make_response(refusal, request_id)


def count_refusal(
    counters: metrics.Metrics,
    request_id: str,
    class_name: str,
    refusal: refusals.Refusal,
) -> None:
    """Count and log one refusal."""
    counters.refusals.labels(class_name, refusal.reason).inc()
    fields = logs.Fields(
        request_id=request_id, class_name=class_name, reason=str(refusal.reason)
    )
    logs.info("call refused", fields)


def refuse_body_size(given: ports.Ports) -> refusals.Refusal:
    """Return the refusal of a body over the limit."""
    limit = given.limits.max_body_size_bytes
    message = f"the body is larger than {limit} bytes"
    return refusals.make_refusal(refusals.Reason.BODY_TOO_LARGE, message)


async def read_body(request: web.Request) -> result.Result[bytes, refusals.Refusal]:
    """Return the body, or the refusal of one that is too large or too slow."""
    given = request.app[PORTS]
    declared_size_bytes = request.content_length or 0
    if declared_size_bytes > given.limits.max_body_size_bytes:
        return result.Failure(refuse_body_size(given))
    try:
        async with asyncio.timeout(given.limits.body_timeout_s):
            return result.Success(await request.read())
    except TimeoutError:
        message = f"the body took longer than {given.limits.body_timeout_s} s"
        reason = refusals.Reason.CLIENT_TOO_SLOW
        return result.Failure(refusals.make_refusal(reason, message))


async def answer_chat(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``."""
    return await answer_model(request, requests.parse_chat)


async def answer_completion(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/completions``."""
    return await answer_model(request, requests.parse_completion)


async def answer_model(request: web.Request, parse: Parse) -> web.StreamResponse:
    """Check and serve a call for a model engine."""
    return await serve(request, await check_model(request, parse))


async def answer_service(request: web.Request) -> web.StreamResponse:
    """Check and serve a call for a plain service."""
    return await serve(request, await check_service(request))


def check_entry(request: web.Request) -> result.Result[Entry, refusals.Refusal]:
    """Return configuration and account, before the body is read."""
    in_force = request.app[PORTS].in_force()
    if in_force is None:
        message = "no configuration is in force here yet"
        reason = refusals.Reason.NOT_READY
        return result.Failure(refusals.make_refusal(reason, message, 1.0))
    header = request.headers.get("Authorization")
    account = authentication.authenticate(in_force.directory, header)
    return account.map(lambda found: Entry(in_force.configuration, found))


async def check_model(request: web.Request, parse: Parse) -> Checked:
    """Return the checked request for a model engine."""
    received_at_s = time.monotonic()
    entry = check_entry(request)
    if not isinstance(entry, result.Success):
        return entry
    read = await read_body(request)
    if not isinstance(read, result.Success):
        return read
    body = read.unwrap()
    parsed = parse(body)
    if not isinstance(parsed, result.Success):
        return parsed
    prompt = parsed.unwrap()
    found = find_model(entry.unwrap().configuration, prompt)
    if not isinstance(found, result.Success):
        return found
    target = classes.Destination(model.Target.MODEL, prompt.model_name)
    content = Content(request.path, body, prompt, received_at_s)
    return make_request(request, entry.unwrap(), target, content)


async def check_service(request: web.Request) -> Checked:
    """Return the checked request for a plain service."""
    received_at_s = time.monotonic()
    service_name = request.match_info["service"]
    entry = check_entry(request)
    if not isinstance(entry, result.Success):
        return entry
    services = entry.unwrap().configuration.services
    if all(service.name != service_name for service in services):
        reason = refusals.Reason.SERVICE_UNKNOWN
        return result.Failure(refusals.make_refusal(reason, "no such service"))
    read = await read_body(request)
    if not isinstance(read, result.Success):
        return read
    target = classes.Destination(model.Target.SERVICE, service_name)
    path = service_path(request.rel_url.raw_path)
    content = Content(path, read.unwrap(), None, received_at_s)
    return make_request(request, entry.unwrap(), target, content)


def find_model(
    configuration: model.Configuration, prompt: requests.Prompt
) -> result.Result[model.Model, refusals.Refusal]:
    """Return the model that a prompt names."""
    for candidate in configuration.models:
        if candidate.name == prompt.model_name:
            return result.Success(candidate)
    return result.Failure(
        refusals.make_refusal(refusals.Reason.MODEL_UNKNOWN, "no such model")
    )


def service_path(raw_path: str) -> str:
    """Return the encoded path behind ``/services/{service}``.

    Examples
    --------
    >>> service_path("/services/top-ups/a%20b/c")
    '/a%20b/c'
    """
    return "/" + raw_path.split("/", 3)[3]


def make_request(
    request: web.Request,
    entry: Entry,
    destination: classes.Destination,
    content: Content,
) -> Checked:
    """Return the request with its class, if the account may use it."""
    account = entry.account
    header = request.headers.get("X-Request-Class")
    found = classes.find_class(entry.configuration, account, header, destination)
    if not isinstance(found, result.Success):
        return found
    request_class = found.unwrap()
    key = request.headers.get("Idempotency-Key", "")
    if not request_class.idempotent and not key:
        message = f"class {request_class.name} needs an Idempotency-Key"
        reason = refusals.Reason.IDEMPOTENCY_KEY_MISSING
        return result.Failure(refusals.make_refusal(reason, message))
    mark = requests.fingerprint(account.name, content.path, content.body)
    return result.Success(
        requests.CallerRequest(
            call_id=f"{request_id_of(request)}.{secrets.token_hex(CALL_ID_SIZE_BYTES)}",
            request_id=request_id_of(request),
            request_class=request_class,
            account=account,
            method=request.method,
            path=content.path,
            query=request.rel_url.raw_query_string,
            headers=tuple(request.headers.items()),
            body=content.body,
            prompt=content.prompt,
            fingerprint=mark,
            idempotency_key=key,
            received_at_s=content.received_at_s,
        )
    )


async def serve(request: web.Request, checked: Checked) -> web.StreamResponse:
    """Serve a checked request, or refuse it."""
    if not isinstance(checked, result.Success):
        return refuse(request, NO_CLASS, checked.failure())
    call = checked.unwrap()
    sink = sinks.make_sink(request, call.request_id)
    request.app[SINKS].add(sink)
    outcome = await request.app[PORTS].run(call, sink)
    if isinstance(outcome, result.Success):
        return await finish(request, sink, outcome.unwrap())
    class_name = call.request_class.name
    if sink.response is None:
        return refuse(request, class_name, outcome.failure())
    return await end_with_error(request, sink, class_name, outcome.failure())


async def finish(
    request: web.Request, sink: sinks.Sink, answer: ports.Answer
) -> web.StreamResponse:
    """Send what is left of a whole answer."""
    if answer.streamed and sink.response is not None:
        await sink.response.write_eof()
        return sink.response
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers=[
            *answer.headers,
            ("Content-Type", answer.content_type),
            ("X-Request-Id", request_id_of(request)),
        ],
    )


async def end_with_error(
    request: web.Request,
    sink: sinks.Sink,
    class_name: str,
    refusal: refusals.Refusal,
) -> web.StreamResponse:
    """End a stream that can't be completed with an error event."""
    count_refusal(request.app[PORTS].metrics, sink.request_id, class_name, refusal)
    await sinks.write(sink, errors.make_event(refusal))
    await sink.response.write_eof()
    return sink.response


async def answer_models(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /v1/models``."""
    entry = check_entry(request)
    if not isinstance(entry, result.Success):
        return refuse(request, NO_CLASS, entry.failure())
    configuration = entry.unwrap().configuration
    listed = [
        {"id": item.name, "object": "model", "created": 0, "owned_by": "hickoryweir"}
        for item in configuration.models
    ]
    body = json.dumps({"object": "list", "data": listed}).encode()
    return web.Response(body=body, content_type="application/json")


async def answer_health(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /healthz``: the process runs."""
    return web.Response(text="ok")


async def answer_ready(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /readyz``: whether the balancer should send calls here."""
    refusal = request.app[PORTS].not_ready()
    if refusal is None:
        return web.Response(text="ready")
    return errors.make_response(refusal, request_id_of(request))


async def answer_metrics(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /metrics`` in the Prometheus text format."""
    body = metrics.expose(request.app[PORTS].metrics)
    return web.Response(body=body, headers={"Content-Type": metrics.CONTENT_TYPE})


async def answer_status(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /status`` as JSON."""
    body = request.app[PORTS].status()
    return web.Response(body=body, content_type="application/json")
