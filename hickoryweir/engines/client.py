"""Sends calls to model engines and reads their responses.

Failures are returned as values that state the cause and whether the call ran.  A
stream has backpressure: when twice
:data:`hickoryweir.engines.sessions.READ_BUFFER_SIZE_BYTES` are buffered, the
connection is no longer read until chunks are consumed.  Closing an unfinished
stream closes its connection, on which the engine cancels the call.
"""

import asyncio
import dataclasses
import json

import aiohttp
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import (
    calls,
    events_reader,
    failures,
    framing,
    headers,
    sessions,
)
from hickoryweir.policy import events

MAX_RESPONSE_SIZE_BYTES = 16 * 1024 * 1024
HEALTH_TIMEOUT_S = 0.25
BODY_END_TIMEOUT_S = 0.05
EVENT_STREAM = "text/event-stream"
TOO_MANY_REQUESTS = 429

OpenResult = result.Result["EngineStream | calls.EngineResponse", calls.EngineFailure]
CompleteResult = result.Result[calls.EngineResponse, calls.EngineFailure]
ReadResult = result.Result[calls.StreamChunk, calls.EngineFailure]


@dataclasses.dataclass(slots=True, eq=False)
class EngineStream:
    """An open stream, which its owner must close."""

    call: calls.EngineCall
    response: aiohttp.ClientResponse
    reader: events_reader.Reader

    async def read(self) -> ReadResult:
        """Return the next complete events, or the stream's failure."""
        return await read(self)

    def text_so_far(self) -> str | None:
        """Return the response's text read so far, including the resumed part.

        None if the response can't be resumed from its text alone.
        """
        text = events_reader.text_so_far(self.reader)
        return None if text is None else self.call.resume_text + text

    async def close(self) -> None:
        """Release the stream's connection; an unfinished call is cancelled."""
        await close(self)


async def open_stream(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.EngineCall,
    timeouts: calls.EngineTimeouts,
    on_head: calls.OnHead = calls.ignore_head,
) -> OpenResult:
    """Send a streaming call and wait for the response headers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Made by :func:`hickoryweir.engines.sessions.make_session`.
    server : model.BackendServer
        Engine to call.
    call : calls.EngineCall
        Call to send.
    timeouts : calls.EngineTimeouts
        Connect and read timeouts.
    on_head : callable, optional
        Called with the head of the response.

    Returns
    -------
    Result of EngineStream, of EngineResponse or of EngineFailure
        A response if the engine rejects the call with a client error.
    """
    sent = await send(session, server, call, timeouts, on_head)
    if not isinstance(sent, result.Success):
        return sent
    response = sent.unwrap()
    if response.status != 200:
        return await read_response(call, response)
    if response.content_type != EVENT_STREAM:
        response.close()
        return result.Failure(failures.failed("the response is not an event stream"))
    resumed_from = response.headers.get(headers.RESUMED_FROM, "0")
    if call.resume_tokens and resumed_from != str(call.resume_tokens):
        response.close()
        return result.Failure(failures.failed("the engine did not resume the call"))
    reader = events_reader.make_reader(call.request_id, resumed=call.resume_tokens > 0)
    return result.Success(EngineStream(call, response, reader))


async def complete(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.EngineCall,
    timeouts: calls.EngineTimeouts,
    on_head: calls.OnHead = calls.ignore_head,
) -> CompleteResult:
    """Send a call and read its complete response; see :func:`open_stream`."""
    sent = await send(session, server, call, timeouts, on_head)
    if not isinstance(sent, result.Success):
        return sent
    return await read_response(call, sent.unwrap())


async def send(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.EngineCall,
    timeouts: calls.EngineTimeouts,
    on_head: calls.OnHead,
) -> result.Result[aiohttp.ClientResponse, calls.EngineFailure]:
    """Send a call; return the response after a check of its request id."""
    trace = sessions.RequestTrace()
    token = framing.sent_request_id.set(call.request_id)
    try:
        response = await session.post(
            server.url + call.path,
            data=calls.request_body(call),
            headers=request_headers(call),
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=timeouts.connect_timeout_s,
                sock_read=timeouts.read_timeout_s,
            ),
            allow_redirects=False,
            trace_request_ctx=trace,
        )
    except failures.NETWORK_ERRORS as error:
        failure = failures.request_failure(error)
    else:
        failure = None
    finally:
        framing.sent_request_id.reset(token)
    if failure is not None:
        if trace.reuses_connection and await is_alive(session, server, failure):
            failure = failures.failed("the reused connection had been closed")
        return result.Failure(failure)
    if not is_of_call(response, call.request_id):
        framing.close_connection(response)
        return result.Failure(failures.mismatched())
    on_head(response.status, response.headers)
    return result.Success(response)


def is_of_call(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether a response can belong to no other call.

    One without an id counts on the first use of a connection, which is then closed.
    """
    if framing.has_second_status_line(response):
        return False
    echoed_id = response.headers.get(headers.REQUEST_ID)
    if echoed_id is not None:
        return echoed_id == request_id
    protocol = framing.protocol_of(response)
    protocol.force_close()
    return protocol.requests_count == 1


async def is_alive(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    failure: calls.EngineFailure,
) -> bool:
    """Return whether an engine that seems to have crashed passes a health check.

    A reused connection may be lost without a crash; the request in flight is then
    not suspected of having crashed the engine.
    """
    if failure.cause is not events.FailureCause.CRASHED:
        return False
    timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
    try:
        async with session.get(f"{server.url}/health", timeout=timeout) as response:
            return response.status == 200
    except failures.NETWORK_ERRORS:
        return False


def request_headers(call: calls.EngineCall) -> dict[str, str]:
    """Return the HTTP headers of a call."""
    return {
        "Content-Type": "application/json",
        "Accept": EVENT_STREAM if call.stream else "application/json",
        "Accept-Encoding": "identity",
        headers.REQUEST_ID: call.request_id,
        headers.PRIORITY: str(call.priority),
    }


async def read_response(
    call: calls.EngineCall, response: aiohttp.ClientResponse
) -> CompleteResult:
    """Read a non-streaming response and check that it belongs to the call."""
    try:
        body = await read_body(response, MAX_RESPONSE_SIZE_BYTES)
    except failures.NETWORK_ERRORS as error:
        return result.Failure(failures.response_failure(error))
    finally:
        response.release()
    if body is None:
        return result.Failure(failures.failed("the response is too large"))
    if response.status >= 500 or response.status == TOO_MANY_REQUESTS:
        not_run = failures.is_not_run(response, call.request_id)
        return result.Failure(failures.refused(response.status, not_run=not_run))
    output_tokens = 0
    if response.status == 200:
        checked = check_response(call, body)
        if not isinstance(checked, result.Success):
            return checked
        output_tokens = checked.unwrap()
    content_type = response.headers.get("Content-Type", "application/json")
    return result.Success(
        calls.EngineResponse(response.status, content_type, body, output_tokens)
    )


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes | None:
    """Return the body; close the connection and return None if it is too large.

    Raises
    ------
    ConnectionLostError
        The connection was reset before the end of the body.
    """
    protocol = framing.protocol_of(response)
    parts: list[bytes] = []
    size_bytes = 0
    while part := await response.content.readany():
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > limit_bytes:
            response.close()
            return None
    if framing.ended_by_reset(response, protocol):
        raise sessions.ConnectionLostError(framing.describe_reset(protocol))
    return b"".join(parts)


def check_response(
    call: calls.EngineCall, body: bytes
) -> result.Result[int, calls.EngineFailure]:
    """Return the number of output tokens of a valid response to the call."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return result.Failure(failures.failed("the response is not JSON"))
    if not isinstance(value, dict):
        return result.Failure(failures.failed("the response is not a JSON object"))
    if value.get("id") not in events_reader.accepted_ids(call.request_id):
        return result.Failure(failures.mismatched())
    usage = value.get("usage")
    tokens = usage.get("completion_tokens") if isinstance(usage, dict) else 0
    return result.Success(tokens if isinstance(tokens, int) else 0)


async def read(stream: EngineStream) -> ReadResult:
    """Return the next complete events of a stream, or its failure.

    A chunk that is ``finished`` is the last.  After a failure the connection is
    closed.
    """
    while True:
        try:
            data = await stream.response.content.readany()
        except failures.NETWORK_ERRORS as error:
            stream.response.close()
            return result.Failure(failures.response_failure(error))
        if not data:
            stream.response.close()
            return result.Failure(failures.stream_cut())
        parsed = events_reader.feed(stream.reader, data)
        if not isinstance(parsed, result.Success):
            stream.response.close()
            return result.Failure(failures.from_fault(parsed.failure()))
        chunk = parsed.unwrap()
        if chunk.data or chunk.finished:
            return parsed


async def close(stream: EngineStream) -> None:
    """Release a stream's connection for reuse if the response ended, else close it."""
    if not stream.reader.done or stream.reader.has_trailing_bytes:
        stream.response.close()
        return
    try:
        async with asyncio.timeout(BODY_END_TIMEOUT_S):
            trailing_data = await stream.response.content.readany()
    except (*failures.NETWORK_ERRORS, TimeoutError):
        trailing_data = b"?"
    if trailing_data:
        stream.response.close()
    else:
        stream.response.release()
