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
import json
import time
import weakref
from collections.abc import Awaitable, Callable

from aiohttp import web
from returns import result

from hickoryweir.callers import (
    checks,
    errors,
    interface,
    requests,
    sinks,
)
from hickoryweir.observability import logs, metrics
from hickoryweir.outcomes import refusals

SINKS = web.AppKey("sinks", weakref.WeakSet)
SWEEP_INTERVAL_S = 1.0
NO_CLASS = ""


def make_app(given: interface.DaemonInterface) -> web.Application:
    """Return the application that serves callers.

    Parameters
    ----------
    given : interface.DaemonInterface
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
    app[checks.PORTS] = given
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
    refusal = request.app[checks.PORTS].not_ready()
    if refusal is not None and refusal.reason is refusals.Reason.DRAINING:
        response.force_close()
        response.headers["Connection"] = "close"


async def sweep_sinks(app: web.Application):
    """Cut callers that read too slowly, for as long as the app runs."""

    async def run() -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            limit_s = app[checks.PORTS].limits.write_timeout_s
            cut_count = sinks.sweep(app[SINKS], limit_s, time.monotonic())
            reason = refusals.Reason.CLIENT_TOO_SLOW
            app[checks.PORTS].metrics.refusals.labels(NO_CLASS, reason).inc(cut_count)

    task = asyncio.create_task(run())
    yield
    task.cancel()


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
        refusal = checks.refuse_body_size(request.app[checks.PORTS])
    except ConnectionError:
        reason = refusals.Reason.CALLER_LEFT
        refusal = refusals.make_refusal(reason, "left", ran=refusals.Ran.MAYBE)
    return refuse(request, NO_CLASS, refusal)


def refuse(
    request: web.Request, class_name: str, refusal: refusals.Refusal
) -> web.Response:
    """Count and log a refusal and return its response."""
    request_id = checks.request_id_of(request)
    count_refusal(request.app[checks.PORTS].metrics, request_id, class_name, refusal)
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


async def answer_chat(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``."""
    return await answer_model(request, requests.parse_chat)


async def answer_completion(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/completions``."""
    return await answer_model(request, requests.parse_completion)


async def answer_model(request: web.Request, parse: checks.Parse) -> web.StreamResponse:
    """Check and serve a call for a model engine."""
    return await serve(request, await checks.check_model(request, parse))


async def answer_service(request: web.Request) -> web.StreamResponse:
    """Check and serve a call for a plain service."""
    return await serve(request, await checks.check_service(request))


async def serve(request: web.Request, checked: checks.Checked) -> web.StreamResponse:
    """Serve a checked request, or refuse it."""
    if not isinstance(checked, result.Success):
        return refuse(request, NO_CLASS, checked.failure())
    call = checked.unwrap()
    sink = sinks.make_sink(request, call.request_id)
    request.app[SINKS].add(sink)
    outcome = await request.app[checks.PORTS].run(call, sink)
    if isinstance(outcome, result.Success):
        return await finish(request, sink, outcome.unwrap())
    class_name = call.request_class.name
    if sink.response is None:
        return refuse(request, class_name, outcome.failure())
    return await end_with_error(request, sink, class_name, outcome.failure())


async def finish(
    request: web.Request, sink: sinks.Sink, answer: interface.Response
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
            ("X-Request-Id", checks.request_id_of(request)),
        ],
    )


async def end_with_error(
    request: web.Request,
    sink: sinks.Sink,
    class_name: str,
    refusal: refusals.Refusal,
) -> web.StreamResponse:
    """End a stream that can't be completed with an error event."""
    count_refusal(
        request.app[checks.PORTS].metrics, sink.request_id, class_name, refusal
    )
    await sinks.write(sink, errors.make_event(refusal))
    await sink.response.write_eof()
    return sink.response


async def answer_models(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /v1/models``."""
    entry = checks.check_entry(request)
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
    refusal = request.app[checks.PORTS].not_ready()
    if refusal is None:
        return web.Response(text="ready")
    return errors.make_response(refusal, checks.request_id_of(request))


async def answer_metrics(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /metrics`` in the Prometheus text format."""
    body = metrics.expose(request.app[checks.PORTS].metrics)
    return web.Response(body=body, headers={"Content-Type": metrics.CONTENT_TYPE})


async def answer_status(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /status`` as JSON."""
    body = request.app[checks.PORTS].status()
    return web.Response(body=body, content_type="application/json")
