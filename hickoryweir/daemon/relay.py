"""Relays an engine's stream to the caller and records tokens and latencies."""

import time

from returns import result

from hickoryweir.callers import interface, sinks
from hickoryweir.daemon import calls, dispatcher
from hickoryweir.engines import assembly, client
from hickoryweir.engines import calls as engine_calls
from hickoryweir.observability import latencies, metrics
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, events

PROGRESS_INTERVAL_TOKENS = 32
SUCCESS_STATUS = 200
PLAIN_CONTENT_TYPE = "application/json"
LOST_RACE = calls.Failed(
    events.FailureCause.PREEMPTED,
    refusals.Ran.MAYBE,
    0,
    "another attempt answers the caller",
)


async def relay(
    call: calls.Call,
    dispatch: actions.Dispatch,
    stream: client.EngineStream,
    core_dispatcher: dispatcher.Dispatcher,
    recorded: list[bytes] | None,
) -> calls.AttemptEnd:
    """Relay a stream's events to the caller until the stream ends.

    Parameters
    ----------
    call : calls.Call
        The call.
    dispatch : actions.Dispatch
        The dispatch action of the attempt.
    stream : client.EngineStream
        The engine's open stream.
    core_dispatcher : dispatcher.Dispatcher
        Receives progress events.
    recorded : list of bytes or None
        Collects the stream's events if the answer is to be stored.

    Returns
    -------
    calls.AttemptEnd
        `calls.Finished` with the complete answer, or why the attempt failed.
    """
    end: calls.AttemptEnd | None = None
    try:
        end = await copy_events(call, dispatch, stream, core_dispatcher, recorded)
        return end
    finally:
        if not isinstance(end, calls.Finished):
            save_sent_text(call, dispatch, stream)
        await stream.close()


async def copy_events(
    call: calls.Call,
    dispatch: actions.Dispatch,
    stream: client.EngineStream,
    core_dispatcher: dispatcher.Dispatcher,
    recorded: list[bytes] | None,
) -> calls.AttemptEnd:
    """Copy a stream's events to the caller; see :func:`relay`."""
    resumed_from_tokens = stream.call.resume_tokens
    produced_tokens = 0
    reported_tokens = 0
    while True:
        read = await stream.read()
        if not isinstance(read, result.Success):
            return make_failed(read.failure(), produced_tokens)
        chunk = read.unwrap()
        if not calls.acquire_output(call, dispatch.attempt, resumed_from_tokens):
            return LOST_RACE
        record_latencies(call, chunk.output_tokens, core_dispatcher.metrics)
        call.sent_tokens += chunk.output_tokens
        produced_tokens += chunk.output_tokens
        if recorded is not None:
            recorded.append(chunk.data)
        await write(call, chunk.data)
        if dispatch.attempt in call.cancelled_attempts:
            return LOST_RACE
        if chunk.finished:
            return calls.Finished(make_response(call, recorded), produced_tokens)
        if (
            reported_tokens == 0
            or produced_tokens - reported_tokens >= PROGRESS_INTERVAL_TOKENS
        ):
            reported_tokens = produced_tokens
            call_id = call.request.call_id
            event = events.Progressed(call_id, dispatch.attempt, produced_tokens)
            dispatcher.post(core_dispatcher, event)


def make_response(call: calls.Call, recorded: list[bytes] | None) -> interface.Response:
    """Return the response for a completed stream."""
    if call.assembled is not None:
        body = assembly.assembled_body(call.assembled)
        return interface.Response(SUCCESS_STATUS, PLAIN_CONTENT_TYPE, body)
    body = b"".join(recorded) if recorded is not None else b""
    return interface.Response(SUCCESS_STATUS, sinks.EVENT_STREAM, body, streamed=True)


async def write(call: calls.Call, data: bytes) -> None:
    """Write events to the caller; the driver does not cancel a write in progress."""
    if call.assembled is not None:
        assembly.add_events(call.assembled, data)
        return
    call.is_writing = True
    try:
        await sinks.write(call.sink, data)
    finally:
        call.is_writing = False


def make_failed(
    failure: engine_calls.EngineFailure, output_tokens: int
) -> calls.Failed:
    """Return the attempt end for an engine's failure."""
    return calls.Failed(failure.cause, failure.ran, output_tokens, failure.message)


def save_sent_text(
    call: calls.Call, dispatch: actions.Dispatch, stream: client.EngineStream
) -> None:
    """Save the text that was sent to the caller, to resume the stream."""
    if call.last_writer != dispatch.attempt:
        return
    text = stream.text_so_far()
    if text is None:
        call.resumable = False
    else:
        call.sent_text = text


def record_latencies(
    call: calls.Call, tokens_count: int, counters: metrics.Metrics
) -> None:
    """Record the time to first token, or the time between tokens."""
    if tokens_count == 0 or call.assembled is not None:
        return
    now_s = time.monotonic()
    class_name = call.request.request_class.name
    store = counters.latencies
    if call.first_token_at_s == 0:
        call.first_token_at_s = now_s
        waited_s = now_s - call.request.received_at_s
        store.record(class_name, latencies.Interval.FIRST_TOKEN, waited_s)
    else:
        between_s = (now_s - call.last_token_at_s) / tokens_count
        store.record(class_name, latencies.Interval.BETWEEN_TOKENS, between_s)
    call.last_token_at_s = now_s
