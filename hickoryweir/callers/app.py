"""The callers' HTTP interface, compatible with the OpenAI API.

======  ==============================  =====================================
method  path                            response
======  ==============================  =====================================
POST    /v1/chat/completions            JSON or server-sent events
POST    /v1/completions                 JSON or server-sent events
GET     /v1/models                      models of the configuration
any     /services/{service}/{path}      the plain service's response
GET     /healthz                        200 while the process runs
GET     /readyz                         503 while the process takes no calls
GET     /metrics                        Prometheus text
GET     /status                         JSON
======  ==============================  =====================================

Handlers check a request step by step; each step returns a value or a refusal.
"""

import asyncio
import json
import time
import weakref
from collections.abc import Awaitable, Callable

from aiohttp import web
from returns import result

from hickoryweir import graceful_stop
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
STALL_CHECK_INTERVAL_S = 1.0
NO_CLASS = ""


def make_app(daemon: interface.DaemonInterface) -> web.Application:
    """Return the application that serves callers.

    Parameters
    ----------
    daemon : interface.DaemonInterface
        Functions and limits of the daemon.

    Returns
    -------
    web.Application
        Must run with ``handler_cancellation``, so that a call is cancelled when
        its caller disconnects.
    """
    app = web.Application(
        client_max_size=daemon.limits.max_body_size_bytes,
        middlewares=[convert_errors],
    )
    app[checks.DAEMON] = daemon
    app[SINKS] = weakref.WeakSet()
    app.router.add_post("/v1/chat/completions", handle_chat_completion)
    app.router.add_post("/v1/completions", handle_completion)
    app.router.add_get("/v1/models", handle_models)
    app.router.add_route("*", "/services/{service}/{path:.*}", handle_service_call)
    app.router.add_get("/healthz", handle_health)
    app.router.add_get("/readyz", handle_readiness)
    app.router.add_get("/metrics", handle_metrics)
    app.router.add_get("/status", handle_status)
    app.cleanup_ctx.append(abort_stalled_writes)
    app.on_response_prepare.append(close_when_draining)
    return app


async def close_when_draining(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Close keep-alive connections after their next response while draining."""
    refusal = request.app[checks.DAEMON].not_ready()
    is_draining = refusal is not None and refusal.reason is refusals.Reason.DRAINING
    if is_draining and graceful_stop.is_last_on_connection(request):
        response.force_close()
        response.headers["Connection"] = "close"


async def abort_stalled_writes(app: web.Application):
    """Abort connections of callers that read too slowly, while the app runs."""

    async def run() -> None:
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            limit_s = app[checks.DAEMON].limits.write_timeout_s
            aborted_count = sinks.abort_stalled(app[SINKS], limit_s, time.monotonic())
            reason = refusals.Reason.CLIENT_TOO_SLOW
            app[checks.DAEMON].metrics.refusals.labels(NO_CLASS, reason).inc(
                aborted_count
            )

    task = asyncio.create_task(run())
    yield
    task.cancel()


@web.middleware
async def convert_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Convert routing errors and disconnects into typed refusals."""
    request.protocol.headers_received = True
    try:
        return await handler(request)
    except web.HTTPNotFound:
        reason = refusals.Reason.PATH_UNKNOWN
        refusal = refusals.make_refusal(reason, "no such path")
    except web.HTTPMethodNotAllowed:
        reason = refusals.Reason.METHOD_NOT_ALLOWED
        refusal = refusals.make_refusal(reason, "the path does not allow this method")
    except web.HTTPRequestEntityTooLarge:
        refusal = checks.refuse_body_size(request.app[checks.DAEMON])
    except ConnectionError:
        reason = refusals.Reason.CALLER_LEFT
        refusal = refusals.make_refusal(reason, "disconnected", ran=refusals.Ran.MAYBE)
    return refuse(request, NO_CLASS, refusal)


def refuse(
    request: web.Request, class_name: str, refusal: refusals.Refusal
) -> web.Response:
    """Count and log a refusal and return its HTTP response."""
    request_id = checks.request_id_of(request)
    count_refusal(request.app[checks.DAEMON].metrics, request_id, class_name, refusal)
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


async def handle_chat_completion(request: web.Request) -> web.StreamResponse:
    """Handle ``POST /v1/chat/completions``."""
    return await handle_model_call(request, requests.parse_chat)


async def handle_completion(request: web.Request) -> web.StreamResponse:
    """Handle ``POST /v1/completions``."""
    return await handle_model_call(request, requests.parse_completion)


async def handle_model_call(
    request: web.Request, parse: checks.PromptParser
) -> web.StreamResponse:
    """Check and serve a call for a model engine."""
    return await serve(request, await checks.check_model(request, parse))


async def handle_service_call(request: web.Request) -> web.StreamResponse:
    """Check and serve a call for a plain service."""
    return await serve(request, await checks.check_service(request))


async def serve(
    request: web.Request, checked: checks.CheckResult
) -> web.StreamResponse:
    """Serve a request that passed its checks, or refuse it."""
    if not isinstance(checked, result.Success):
        return refuse(request, NO_CLASS, checked.failure())
    call = checked.unwrap()
    sink = sinks.make_sink(request, call.request_id)
    request.app[SINKS].add(sink)
    outcome = await request.app[checks.DAEMON].run(call, sink)
    if isinstance(outcome, result.Success):
        response = outcome.unwrap()
        if sink.response is None or response.streamed:
            return await complete_response(request, sink, response)
        outcome = result.Failure(make_mixed_refusal(response.status))
    class_name = call.request_class.name
    if sink.response is None:
        return refuse(request, class_name, outcome.failure())
    return await end_with_error(request, sink, class_name, outcome.failure())


def make_mixed_refusal(status: int) -> refusals.Refusal:
    """Return the refusal of a call whose stream was followed by another response."""
    return refusals.make_refusal(
        refusals.Reason.STREAM_CUT,
        f"a response with status {status} followed a part of a stream",
        ran=refusals.Ran.MAYBE,
    )


async def complete_response(
    request: web.Request, sink: sinks.Sink, response: interface.Response
) -> web.StreamResponse:
    """End a streamed response, or return a complete one."""
    if response.streamed and sink.response is not None:
        await sink.response.write_eof()
        return sink.response
    return web.Response(
        status=response.status,
        body=response.body,
        headers=[
            *response.headers,
            ("Content-Type", response.content_type),
            ("X-Request-Id", checks.request_id_of(request)),
        ],
    )


async def end_with_error(
    request: web.Request,
    sink: sinks.Sink,
    class_name: str,
    refusal: refusals.Refusal,
) -> web.StreamResponse:
    """End an incomplete stream with an error event."""
    count_refusal(
        request.app[checks.DAEMON].metrics, sink.request_id, class_name, refusal
    )
    await sinks.write(sink, errors.make_event(refusal))
    await sink.response.write_eof()
    return sink.response


async def handle_models(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /v1/models``."""
    caller = checks.check_caller(request)
    if not isinstance(caller, result.Success):
        return refuse(request, NO_CLASS, caller.failure())
    configuration = caller.unwrap().configuration
    models = [
        {"id": item.name, "object": "model", "created": 0, "owned_by": "hickoryweir"}
        for item in configuration.models
    ]
    body = json.dumps({"object": "list", "data": models}).encode()
    return web.Response(body=body, content_type="application/json")


async def handle_health(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /healthz``: 200 while the process runs."""
    return web.Response(text="ok")


async def handle_readiness(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /readyz``: whether the load balancer may send calls here."""
    refusal = request.app[checks.DAEMON].not_ready()
    if refusal is None:
        return web.Response(text="ready")
    return errors.make_response(refusal, checks.request_id_of(request))


async def handle_metrics(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /metrics`` in the Prometheus text format."""
    body = metrics.expose(request.app[checks.DAEMON].metrics)
    return web.Response(body=body, headers={"Content-Type": metrics.CONTENT_TYPE})


async def handle_status(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /status`` as JSON."""
    body = request.app[checks.DAEMON].status()
    return web.Response(body=body, content_type="application/json")
