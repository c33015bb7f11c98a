"""Sends calls to model engines and reads their answers.

Every failure is a value that says why and whether the call ran.  A stream is
read only as fast as its chunks are taken: at most a buffer of
:data:`hickoryweir.engines.sessions.READ_BUFFER_SIZE_BYTES` twice over is held,
then the connection stops reading.  Closing a stream that is not finished closes
its connection, by which the engine cancels the call.
"""

import asyncio
import dataclasses
import json

import aiohttp
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import calls, events_reader, failures, headers, sessions
from hickoryweir.policy import events

MAX_ANSWER_SIZE_BYTES = 16 * 1024 * 1024
HEALTH_TIMEOUT_S = 0.25
BODY_END_TIMEOUT_S = 0.05
EVENT_STREAM = "text/event-stream"
TOO_MANY_REQUESTS = 429

OpenResult = result.Result["EngineStream | calls.EngineAnswer", calls.EngineFailure]
CompleteResult = result.Result[calls.EngineAnswer, calls.EngineFailure]
ReadResult = result.Result[calls.StreamChunk, calls.EngineFailure]


@dataclasses.dataclass(slots=True, eq=False)
class EngineStream:
    """An open stream; its owner reads it to the end and closes it."""

    call: calls.EngineCall
    response: aiohttp.ClientResponse
    reader: events_reader.Reader

    async def read(self) -> ReadResult:
        """Return the next whole events, or how the stream failed."""
        return await read(self)

    def text_so_far(self) -> str | None:
        """Return the answer's text up to here, the resumed part included.

        None if the text alone is not enough to resume the answer.
        """
        text = events_reader.text_so_far(self.reader)
        return None if text is None else self.call.resume_text + text

    async def close(self) -> None:
        """Give up the stream's connection; an unfinished call is cancelled."""
        await close(self)


async def open_stream(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.EngineCall,
    timeouts: calls.EngineTimeouts,
) -> OpenResult:
    """Send a streaming call and wait for the start of its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Made by :func:`hickoryweir.engines.sessions.make_session`.
    server : model.BackendServer
        The engine.
    call : calls.EngineCall
        What to send.
    timeouts : calls.EngineTimeouts
        Longest waits.

    Returns
    -------
    Result of EngineStream, of EngineAnswer or of EngineFailure
        An answer if the engine refuses the call as the caller's fault.
    """
    sent = await send(session, server, call, timeouts)
    if not isinstance(sent, result.Success):
        return sent
    response = sent.unwrap()
    if response.status != 200:
        return await read_answer(call, response)
    if response.content_type != EVENT_STREAM:
        response.close()
        return result.Failure(failures.failed("the answer is no event stream"))
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
) -> CompleteResult:
    """Send a call and wait for its whole answer; see :func:`open_stream`."""
    sent = await send(session, server, call, timeouts)
    if not isinstance(sent, result.Success):
        return sent
    return await read_answer(call, sent.unwrap())


async def send(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.EngineCall,
    timeouts: calls.EngineTimeouts,
) -> result.Result[aiohttp.ClientResponse, calls.EngineFailure]:
    """Send a call; return the response that is bound to it."""
    trace = sessions.RequestTrace()
    try:
        response = await session.post(
            server.url + call.path,
            data=calls.request_body(call),
            headers=request_headers(call),
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=timeouts.connect_s,
                sock_read=timeouts.read_s,
            ),
            allow_redirects=False,
            trace_request_ctx=trace,
        )
    except failures.NETWORK_ERRORS as error:
        failure = failures.request_failure(error)
        if trace.reuses_connection and await is_alive(session, server, failure):
            failure = failures.failed("the kept connection had dropped")
        return result.Failure(failure)
    if response.headers.get(headers.REQUEST_ID, call.request_id) != call.request_id:
        response.close()
        return result.Failure(failures.mismatched())
    return result.Success(response)


async def is_alive(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    failure: calls.EngineFailure,
) -> bool:
    """Return whether an engine that seems to have crashed answers all the same.

    A kept connection may drop without a crash, and then the request in flight
    is not a suspect.
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
    """Return the headers of a call."""
    return {
        "Content-Type": "application/json",
        "Accept": EVENT_STREAM if call.stream else "application/json",
        "Accept-Encoding": "identity",
        headers.REQUEST_ID: call.request_id,
        headers.PRIORITY: str(call.priority),
    }


async def read_answer(
    call: calls.EngineCall, response: aiohttp.ClientResponse
) -> CompleteResult:
    """Read an answer that is no stream, and check that it is the call's own."""
    try:
        body = await read_body(response, MAX_ANSWER_SIZE_BYTES)
    except failures.NETWORK_ERRORS as error:
        return result.Failure(failures.response_failure(error))
    finally:
        response.release()
    if body is None:
        return result.Failure(failures.failed("the answer is too large"))
    if response.status >= 500 or response.status == TOO_MANY_REQUESTS:
        not_run = failures.is_not_run(response, call.request_id)
        return result.Failure(failures.refused(response.status, not_run=not_run))
    output_tokens = 0
    if response.status == 200:
        checked = check_answer(call, body)
        if not isinstance(checked, result.Success):
            return checked
        output_tokens = checked.unwrap()
    content_type = response.headers.get("Content-Type", "application/json")
    return result.Success(
        calls.EngineAnswer(response.status, content_type, body, output_tokens)
    )


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes | None:
    """Return a whole body; None, and a closed connection, if it is too large."""
    parts: list[bytes] = []
    size_bytes = 0
    while part := await response.content.readany():
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > limit_bytes:
            response.close()
            return None
    return b"".join(parts)


def check_answer(
    call: calls.EngineCall, body: bytes
) -> result.Result[int, calls.EngineFailure]:
    """Return the output tokens of an answer that is whole and the call's own."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return result.Failure(failures.failed("the answer is not JSON"))
    if not isinstance(value, dict):
        return result.Failure(failures.failed("the answer is not a JSON object"))
    if value.get("id") not in events_reader.accepted_ids(call.request_id):
        return result.Failure(failures.mismatched())
    usage = value.get("usage")
    tokens = usage.get("completion_tokens") if isinstance(usage, dict) else 0
    return result.Success(tokens if isinstance(tokens, int) else 0)


async def read(stream: EngineStream) -> ReadResult:
    """Return the next whole events of a stream, or how it failed.

    A chunk that is ``finished`` is the last.  After a failure the connection is
    closed and never used again.
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
    """Give up a stream's connection: kept if the answer ended, else closed."""
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
