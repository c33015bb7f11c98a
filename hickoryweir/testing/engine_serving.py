"""Handlers of a stand-in engine's completion endpoints."""

import asyncio
import dataclasses
import math

from aiohttp import web

from hickoryweir.engines import headers
from hickoryweir.testing import engine_calls, engine_model, engine_state


async def handle_chat(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``."""
    return await serve_call(request, engine_calls.Endpoint.CHAT)


async def handle_text(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/completions``."""
    return await serve_call(request, engine_calls.Endpoint.TEXT)


async def serve_call(
    request: web.Request, endpoint: engine_calls.Endpoint
) -> web.StreamResponse:
    """Validate a call, apply the active faults and run it."""
    engine = request.app[engine_state.ENGINE]
    request_id = request.headers.get(headers.REQUEST_ID, "anonymous")
    priority = int(request.headers.get(headers.PRIORITY, "0"))
    if engine.active_faults.dropped_count > 0:
        engine.active_faults.dropped_count -= 1
        return abort_connection(request)
    if engine.active_faults.refused_count > 0:
        engine.active_faults.refused_count -= 1
        return refuse(request_id, 503, "busy", "the engine takes no more work")
    try:
        raw = await request.read()
        call = engine_calls.make_call(request_id, endpoint, priority, raw)
    except ValueError as error:
        return refuse(request_id, 400, "invalid_request_error", str(error))
    if call.model not in engine.orders.models:
        return refuse(request_id, 404, "model_not_found", "no such model here")
    engine.runs[request_id] += 1
    marker = engine.active_faults.crash_marker
    if marker and marker in call.prompt_text:
        engine_state.crash(engine)
        return abort_connection(request)
    return await run_call(request, engine, apply_faults(engine, call))


def apply_faults(
    engine: engine_state.Engine, call: engine_calls.Call
) -> engine_calls.Call:
    """Return the call as changed by the active faults."""
    previous_request_id, engine.previous_request_id = (
        engine.previous_request_id,
        call.request_id,
    )
    if engine.active_faults.crossed_count > 0:
        engine.active_faults.crossed_count -= 1
        call = dataclasses.replace(call, request_id=previous_request_id)
    if engine.active_faults.ignores_resume:
        call = dataclasses.replace(call, resume_tokens=0)
    return call


async def run_call(
    request: web.Request, engine: engine_state.Engine, call: engine_calls.Call
) -> web.StreamResponse:
    """Submit a call to the engine model and send its answer as tokens are decoded."""
    submit = engine_calls.make_submit_event(call)
    progress = engine_state.SequenceProgress(tokens=submit.resumed_tokens)
    engine.progress_by_id[call.request_id] = progress
    await asyncio.sleep(engine.active_faults.answer_delay_s)
    try:
        engine_state.apply_event(engine, submit)
        if call.stream:
            return await stream_answer(request, engine, call, progress)
        while not progress.finished:
            if await wait_for_progress(progress):
                return abort_connection(request)
        return web.Response(
            body=engine_calls.answer_body(call),
            content_type="application/json",
            headers={headers.REQUEST_ID: call.request_id},
        )
    except (asyncio.CancelledError, ConnectionError):
        engine.cancelled_count += 1
        raise
    finally:
        if engine.progress_by_id.get(call.request_id) is progress:
            del engine.progress_by_id[call.request_id]
            engine_state.apply_event(engine, engine_model.Cancel(call.request_id))


async def stream_answer(
    request: web.Request,
    engine: engine_state.Engine,
    call: engine_calls.Call,
    progress: engine_state.SequenceProgress,
) -> web.StreamResponse:
    """Write a call's tokens as server-sent events."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            headers.REQUEST_ID: call.request_id,
            headers.RESUMED_FROM: str(call.resume_tokens),
        }
    )
    await response.prepare(request)
    if call.endpoint is engine_calls.Endpoint.CHAT and call.resume_tokens == 0:
        await response.write(engine_calls.role_event(call))
    cut_at_tokens = take_cut_limit(engine, progress.tokens)
    written = progress.tokens
    while written < call.output_tokens:
        has_new_tokens = progress.tokens > written or progress.finished
        if not has_new_tokens and await wait_for_progress(progress):
            return abort_connection(request)
        ready = call.output_tokens if progress.finished else progress.tokens
        ready = min(ready, cut_at_tokens)
        if ready > written:
            await response.write(engine_calls.token_events(call, written, ready))
            written = ready
        if written >= cut_at_tokens:
            await response.write_eof()
            return response
    await response.write(engine_calls.final_events(call))
    await response.write_eof()
    return response


async def wait_for_progress(progress: engine_state.SequenceProgress) -> bool:
    """Wait until a sequence has progressed; return whether it was cancelled."""
    if not progress.cancelled:
        progress.changed.clear()
        await progress.changed.wait()
    return progress.cancelled


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection instead of sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def take_cut_limit(engine: engine_state.Engine, tokens: int) -> float:
    """Use up one cut, if any; return the token count at which the stream is cut.

    Infinity means that the stream is not cut.
    """
    if engine.active_faults.cut_count <= 0:
        return math.inf
    engine.active_faults.cut_count -= 1
    return tokens + engine.active_faults.cut_after_tokens


def refuse(request_id: str, status: int, code: str, message: str) -> web.Response:
    """Return the response that refuses a call and marks it as not run."""
    error = {"message": message, "type": "stand_in", "param": None, "code": code}
    return web.json_response(
        {"error": error},
        status=status,
        headers={headers.REQUEST_ID: request_id, headers.NOT_RUN: headers.TRUE},
    )
