"""Forwarding of a backend server's response to the client.

A plain response is read completely before its first byte is forwarded, so that a
truncated one can be retried.  A stream is forwarded event by event; a resumable one
continues on another server after the last complete event, within the same response.
If a started response can't be completed, the client's connection is aborted.
"""

import asyncio
import dataclasses
import time

import aiohttp
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.engines import event_stream, framing
from hickoryweir.forwarding import (
    contexts,
    crashes,
    errors,
    exchange,
    header_codec,
    held_bytes,
    pauses,
    plain_responses,
    resumption,
    server_pool,
    server_reachability,
    speeds,
)
from hickoryweir.forwarding_policy import stream_pacing
from hickoryweir.observability import latencies, logs
from hickoryweir.routes import model

NOTHING_DROPPED: frozenset[str] = frozenset()
FIRST_FAILURE_STATUS = 500
# Responses from this status on do not show that a server began the request.
FIRST_ERROR_STATUS = 400
# Ends of responses that this router gave up for a bound of its own.
BOUND_ENDS = frozenset({framing.End.TOO_LARGE, framing.End.NO_ROOM})
# Which bound that was, where it is not one on a single response.
MEMORY_BOUND = "memory"

ForwardingResult = web.StreamResponse | errors.Reason


def abort_response(context: contexts.RequestContext) -> web.StreamResponse:
    """Abort the client's connection, so that the response is seen as truncated."""
    transport = context.client_request.transport
    if transport is not None:
        transport.abort()
    route_name = context.route.name
    context.forwarder.metrics.answers.labels(route_name, "broken_off").inc()
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=context.route.name,
        reason="broken_off",
        detail=f"after event {context.last_event_id or 'none'}",
    )
    logs.warning("stream broken off", fields)
    return context.stream_response


async def forward_response(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    answered: exchange.Answered,
) -> ForwardingResult:
    """Forward a response to the client.

    Parameters
    ----------
    context : contexts.RequestContext
        The request.
    view : server_pool.ServerView
        The server that responded.
    answered : exchange.Answered
        Its response, of which only the head has been read.

    Returns
    -------
    StreamResponse or Reason
        The complete response, or why another attempt should be made.
    """
    context.may_have_run = True
    if _promises_too_much(context, answered):
        framing.close_connection(answered.response)
        server_pool.record_failed_response(view, time.monotonic())
        return errors.Reason.OUTCOME_UNKNOWN
    is_failure = answered.response.status >= FIRST_FAILURE_STATUS
    if context.route.is_stream and not is_failure:
        return await _forward_stream(context, view, answered)
    _record_began(context, answered)
    try:
        body = await held_bytes.read_body(context, answered)
    except exchange.IncompleteResponseError as error:
        answered.response.close()
        _record_loss(context, view, error)
        _record_incomplete(context, view, error, _describe_framing(answered))
        return errors.Reason.OUTCOME_UNKNOWN
    count_end(context, framing.End.WHOLE)
    headers = header_codec.end_to_end_headers(
        answered.response.headers, NOTHING_DROPPED
    )
    status = answered.response.status
    contexts.add_relay_reply(context, headers)
    client_response = plain_responses.PlainResponse(
        status=status, headers=headers, body=body
    )
    server_pool.record_response(view, is_failure, time.monotonic())
    if is_failure:
        context.failed_response = client_response
        return errors.Reason.SERVER_FAILED
    server_pool.record_success(view)
    crashes.record_completion(context, _is_framed(answered))
    return client_response


def _promises_too_much(
    context: contexts.RequestContext, answered: exchange.Answered
) -> bool:
    """Return whether a status says "not run" to the client without such a statement.

    A server that has not run a request states so in a header as well.
    """
    is_at_most_once = context.route.execution is model.Execution.AT_MOST_ONCE
    return is_at_most_once and answered.response.status in errors.PROMISED_STATUSES


def _record_began(
    context: contexts.RequestContext, answered: exchange.Answered
) -> None:
    if answered.response.status < FIRST_ERROR_STATUS:
        contexts.record_began(context)


async def _forward_stream(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    answered: exchange.Answered,
) -> ForwardingResult:
    status, media_type = answered.response.status, answered.response.content_type
    splitter = event_stream.make_splitter(status, media_type)
    has_begun = context.stream_response is not None
    try:
        if has_begun and not event_stream.can_continue(status, media_type):
            detail = f"status {status} with {media_type} continues no stream"
            raise exchange.IncompleteResponseError(framing.End.NO_HEAD, detail)
        await _forward_events(context, view, answered, splitter)
    except exchange.IncompleteResponseError as error:
        answered.response.close()
        _record_loss(context, view, error)
        _record_incomplete(context, view, error, _describe_end(answered, splitter))
        return errors.Reason.OUTCOME_UNKNOWN
    if context.stream_response is None:
        await _start_stream_response(context, answered)
    if splitter.pending:
        await context.stream_response.write(bytes(splitter.pending))
    await context.stream_response.write_eof()
    crashes.record_completion(context, _is_framed(answered))
    server_pool.record_response(view, False, time.monotonic())
    held_bytes.record_size(context, answered.response.content.total_bytes)
    count_end(context, framing.End.WHOLE)
    _record_completed_stream(context, view, _describe_end(answered, splitter))
    return context.stream_response


def _record_loss(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    error: exchange.IncompleteResponseError,
) -> None:
    if context.uses_relay:
        # The relay has recorded what its server lost.
        return
    if error.end in crashes.ALIVE_ENDS:
        return
    may_be_crash = error.end in crashes.CRASH_ENDS
    crashes.record_loss(context, view.listed.server_id, may_be_crash)


async def _forward_events(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    answered: exchange.Answered,
    splitter: event_stream.Splitter,
) -> None:
    """Forward all whole events of a response.

    Raises
    ------
    IncompleteResponseError
        The response was broken off, or is beyond a bound.
    """
    budget = stream_pacing.StreamBudget(time.monotonic())
    answered = dataclasses.replace(
        answered, max_read_size_bytes=stream_pacing.PIECE_SIZE_BYTES
    )
    while chunk := await held_bytes.read_chunk(context, answered):
        events = event_stream.split_events(splitter, chunk)
        if len(splitter.pending) > event_stream.MAX_EVENT_SIZE_BYTES:
            raise _exceeds(stream_pacing.Bound.EVENT_SIZE)
        if events:
            has_fields = splitter.is_opaque or event_stream.has_fields(events)
            stream_pacing.record_complete(budget, len(events), has_fields)
            if not context.in_flight.has_first_event:
                resumption.record_first_event(context)
            speeds.record_events(context, view, events)
            contexts.record_first_event(context)
            _record_began(context, answered)
            crashes.record_event(context)
            pauses.record_event(context.event_pauses, time.monotonic())
            server_pool.record_success(view)
            if not context.uses_relay:
                server_reachability.record_heard(context.forwarder.pool)
            await _write_events(context, answered, events)
            speeds.record_written(context)
            if has_fields:
                _record_resume_point(context, splitter, events)
        await _pace(context, answered, splitter, budget, chunk)
    if event_stream.has_open_event(splitter):
        raise exchange.IncompleteResponseError(framing.End.CUT_IN_EVENT)
    if not context.in_flight.has_first_event and not splitter.is_opaque:
        _check_empty(context, answered)


async def _pace(
    context: contexts.RequestContext,
    answered: exchange.Answered,
    splitter: event_stream.Splitter,
    budget: stream_pacing.StreamBudget,
    piece: bytes,
) -> None:
    """Let other requests run after a piece; hold a stream back beyond its budget.

    Raises
    ------
    IncompleteResponseError
        The server sends more than any engine produces.
    """
    work_bytes = stream_pacing.work_of(piece, counts_lines=not splitter.is_opaque)
    shared, now_s = context.forwarder.shared_pace, time.monotonic()
    held_back_s = stream_pacing.take(budget, shared, work_bytes, now_s)
    bound = None if splitter.is_opaque else stream_pacing.find_exceeded(budget)
    if bound is not None:
        raise _exceeds(bound)
    if not held_back_s and len(piece) < stream_pacing.PIECE_SIZE_BYTES:
        # Nothing more was received, so that the next read waits.
        return
    try:
        await asyncio.sleep(held_back_s)
    except asyncio.CancelledError:
        answered.response.close()
        raise


def _exceeds(bound: stream_pacing.Bound) -> exchange.IncompleteResponseError:
    """Return the error that ends a stream beyond a bound."""
    return exchange.IncompleteResponseError(framing.End.TOO_LARGE, bound.value)


def _check_empty(context: contexts.RequestContext, answered: exchange.Answered) -> None:
    """Check that a response without an event may be whole.

    Raises
    ------
    IncompleteResponseError
        It says less than that no event follows.
    """
    has_response = context.stream_response is not None
    framed_by = framing.framing_of(answered.response)
    if not has_response and framed_by is framing.Framing.NO_BODY:
        # The client sees from the status, or from its own HEAD, that there are none.
        return
    is_whole = event_stream.may_be_empty(
        answered.response.content_type,
        is_framed=_is_framed(answered),
        has_begun=has_response or bool(context.last_event_id),
    )
    if not is_whole:
        raise exchange.IncompleteResponseError(framing.End.CUT_BEFORE_EVENTS)


def _describe_end(answered: exchange.Answered, splitter: event_stream.Splitter) -> str:
    """Return how a server's stream was framed, its size, and what is incomplete."""
    return (
        f"{_describe_framing(answered)}, "
        f"{answered.response.content.total_bytes} bytes received, "
        f"{len(splitter.pending)} bytes of an open event"
    )


def _is_framed(answered: exchange.Answered) -> bool:
    """Return whether a length or chunks tell where a response ends."""
    return framing.framing_of(answered.response) is not framing.Framing.CONNECTION


def _describe_framing(answered: exchange.Answered) -> str:
    received_size_bytes = answered.response.content.total_bytes
    framed_by = framing.framing_of(answered.response)
    return f"framed by {framed_by}, {received_size_bytes} bytes received"


def count_end(context: contexts.RequestContext, end: framing.End) -> None:
    """Count how a response of a server ended."""
    ends = context.forwarder.metrics.response_ends
    ends.labels(context.service_name, end.value).inc()


async def _write_events(
    context: contexts.RequestContext, answered: exchange.Answered, events: bytes
) -> None:
    if context.stream_response is None:
        await _start_stream_response(context, answered)
    await held_bytes.write_events(context, events)


def _record_resume_point(
    context: contexts.RequestContext, splitter: event_stream.Splitter, events: bytes
) -> None:
    resume_id = None
    if not splitter.is_opaque:
        resume_id = event_stream.resume_point(context.last_event_id, events)
    context.can_resume = resume_id is not None
    context.last_event_id = resume_id or ""


async def _start_stream_response(
    context: contexts.RequestContext, answered: exchange.Answered
) -> None:
    response = answered.response
    headers = header_codec.end_to_end_headers(response.headers, NOTHING_DROPPED)
    contexts.add_relay_reply(context, headers)
    client_response = web.StreamResponse(status=response.status, headers=headers)
    # No length: another server may continue the stream with a text of another length.
    if contexts.is_last_on_connection(context.forwarder, context.client_request):
        client_response.force_close()
    context.stream_response = client_response
    if context.client_request.version < aiohttp.HttpVersion11:
        # Without chunks, only a reset differs from the end of a whole response.
        context.client_request.protocol.begin_unframed()
    await client_response.prepare(context.client_request)


def _record_completed_stream(
    context: contexts.RequestContext, view: server_pool.ServerView, end: str
) -> None:
    route_name = context.route.name
    longest_s = context.event_pauses.longest_s
    context.forwarder.metrics.latencies.record(
        route_name, latencies.Interval.LONGEST_PAUSE, longest_s
    )
    first_s = context.first_event_after_s or 0.0
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=route_name,
        backend_server=view.listed.server_id,
        attempt=context.sent_count,
        duration_s=round(clocks.boottime_s() - context.started_s, 4),
        detail=f"first event after {first_s:.3f} s, "
        f"longest pause {longest_s:.3f} s, {end}",
    )
    logs.info("stream completed", fields)


def _record_incomplete(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    error: exchange.IncompleteResponseError,
    end: str,
) -> None:
    if error.end is not framing.End.NO_ROOM:
        server_pool.record_failed_response(view, time.monotonic())
    count_end(context, error.end)
    if error.end in BOUND_ENDS:
        bound = MEMORY_BOUND if error.end is framing.End.NO_ROOM else error.detail
        given_up = context.forwarder.metrics.given_up_responses
        given_up.labels(context.service_name, bound).inc()
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=context.route.name,
        backend_server=view.listed.server_id,
        reason=str(error),
        detail=f"after event {context.last_event_id or 'none'}, {end}, "
        f"{contexts.describe_parts(context)}",
    )
    kind = "stream" if context.route.is_stream else "response"
    logs.warning(f"{kind} ended early", fields)
