"""Sends calls to plain services, each at most once.

This module never sends a call again.  Its sessions are created by
:func:`hickoryweir.engines.sessions.make_session`; they neither retry nor follow
redirects.  By default they open a connection for each call, because a keep-alive
connection that the server closes may leave the outcome of a call unknown.
"""

import urllib.parse

import aiohttp
import pydantic
import yarl
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import calls as engine_calls
from hickoryweir.engines import client, event_stream, failures, framing, reads
from hickoryweir.engines import headers as header_names
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events
from hickoryweir.services import calls

TOO_MANY_REQUESTS = 429
UNFORWARDED_REQUEST_HEADERS = header_names.HOP_HEADERS | {
    "authorization",
    "content-length",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "x-request-class",
    "x-request-id",
}
UNFORWARDED_RESPONSE_HEADERS = header_names.HOP_HEADERS | {
    "content-length",
    "date",
    "server",
    "set-cookie",
    "x-not-run",
    "x-request-id",
}
DEFAULT_LIMITS = calls.ServiceLimits()


class StoredAnswer(reads.Document):
    """The answer of a call that ran, in the response to a look-up."""

    status: int = pydantic.Field(ge=200, le=599)
    content_type: str = "application/json"
    body: str


class LookupDocument(reads.Document):
    """Body of the response to a look-up."""

    ran: bool
    request_id: str = ""
    answer: StoredAnswer | None = None


ForwardResult = result.Result[calls.ServiceResponse, calls.ServiceFailure]


async def forward(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.ServiceCall,
    limits: calls.ServiceLimits = DEFAULT_LIMITS,
    on_head: engine_calls.OnHead = engine_calls.ignore_head,
) -> ForwardResult:
    """Send a call once and wait for its complete response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Created by :func:`hickoryweir.engines.sessions.make_session`.
    server : model.BackendServer
        An instance of the service.
    call : calls.ServiceCall
        The call to send.
    limits : calls.ServiceLimits, optional
        Timeouts and maximum response size.
    on_head : callable, optional
        Called with the head of the response.

    Returns
    -------
    Result of ServiceResponse or of ServiceFailure
        ``ran`` of a failure is ``NO`` only if no byte of the call was written, or if
        a response with the request id states that the call has not run.
    """
    if not is_valid_target(call):
        return result.Failure(invalid_target_failure())
    try:
        response = await send(session, server, call, limits)
    except failures.NETWORK_ERRORS as error:
        return result.Failure(from_engine_failure(failures.request_failure(error)))
    if not client.is_of_call(response, call.request_id):
        framing.close_connection(response)
        return result.Failure(from_engine_failure(failures.mismatched()))
    on_head(response.status, response.headers)
    return await read_response(response, call, limits)


def is_valid_target(call: calls.ServiceCall) -> bool:
    """Return whether path and query are valid in a request line."""
    target = call.path + call.query
    is_printable = target.isascii() and target.isprintable() and " " not in target
    return call.path.startswith("/") and is_printable and "#" not in target


def invalid_target_failure() -> calls.ServiceFailure:
    """Return the failure of a call whose path or query is not valid."""
    message = "the path or query is not valid"
    return calls.ServiceFailure(events.FailureCause.FAILED, refusals.Ran.NO, message)


async def send(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    call: calls.ServiceCall,
    limits: calls.ServiceLimits,
) -> aiohttp.ClientResponse:
    """Send a call and wait for the headers of its response."""
    target = f"{call.path}?{call.query}" if call.query else call.path
    token = framing.sent_request_id.set(call.request_id)
    try:
        return await session.request(
            call.method,
            yarl.URL(server.url + target, encoded=True),
            data=call.body or None,
            headers=request_headers(call),
            timeout=aiohttp.ClientTimeout(
                total=None,
                connect=limits.connect_timeout_s,
                sock_read=limits.read_timeout_s,
            ),
            allow_redirects=False,
        )
    finally:
        framing.sent_request_id.reset(token)


def request_headers(call: calls.ServiceCall) -> list[tuple[str, str]]:
    """Return the forwarded headers of the client and those set by the router."""
    forwarded_headers = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in UNFORWARDED_REQUEST_HEADERS
    ]
    header_keys = {name.lower() for name, _ in forwarded_headers}
    if "accept-encoding" not in header_keys:
        forwarded_headers.append(("Accept-Encoding", "identity"))
    forwarded_headers.append((header_names.REQUEST_ID, call.request_id))
    if call.idempotency_key:
        forwarded_headers.append((header_names.IDEMPOTENCY_KEY, call.idempotency_key))
    return forwarded_headers


async def read_response(
    response: aiohttp.ClientResponse,
    call: calls.ServiceCall,
    limits: calls.ServiceLimits,
) -> ForwardResult:
    """Read a response of limited size; status 5xx and 429 are failures."""
    try:
        body = await client.read_body(response, limits.max_response_size_bytes)
    except failures.NETWORK_ERRORS as error:
        return result.Failure(from_engine_failure(failures.response_failure(error)))
    finally:
        response.release()
    if body is None:
        return result.Failure(
            from_engine_failure(failures.failed("the response is too large"))
        )
    if event_stream.is_truncated(response.content_type, body):
        return result.Failure(from_engine_failure(failures.stream_cut()))
    if response.status >= 500 or response.status == TOO_MANY_REQUESTS:
        not_run = failures.is_not_run(response, call.request_id)
        failure = failures.refused(response.status, not_run=not_run)
        return result.Failure(from_engine_failure(failure))
    forwarded_headers = tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in UNFORWARDED_RESPONSE_HEADERS
    )
    return result.Success(
        calls.ServiceResponse(response.status, forwarded_headers, body)
    )


def from_engine_failure(failure: engine_calls.EngineFailure) -> calls.ServiceFailure:
    """Convert the failure of a call to an engine to one of a call to a service."""
    return calls.ServiceFailure(failure.cause, failure.ran, failure.message)


async def lookup(
    session: aiohttp.ClientSession,
    server: model.BackendServer,
    lookup_path: str,
    call: calls.ServiceCall,
    limits: calls.ServiceLimits = DEFAULT_LIMITS,
) -> result.Result[calls.LookupResult, calls.ServiceFailure]:
    """Query by idempotency key whether a service ran a call.

    Keys of different accounts may be equal, so a response counts only if it contains
    the request id of the call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`forward`.
    server : model.BackendServer
        An instance of the service.
    lookup_path : str
        Look-up path in the configuration of the service.
    call : calls.ServiceCall
        The call whose outcome is unknown.
    limits : calls.ServiceLimits, optional
        Timeouts and maximum response size.

    Returns
    -------
    Result of LookupResult or of ServiceFailure
        ``ran`` is ``YES`` or ``MAYBE``, never ``NO``: a call that has not run yet
        may still arrive at the service.
    """
    key = urllib.parse.quote(call.idempotency_key, safe="")
    path = f"{lookup_path.rstrip('/')}/{key}"
    lookup_id = f"{call.request_id}-lookup"
    lookup_call = calls.ServiceCall(lookup_id, "GET", path, "", (), b"", "")
    forwarded = await forward(session, server, lookup_call, limits)
    return forwarded.bind(lambda response: read_lookup(response, call.request_id))


def read_lookup(
    response: calls.ServiceResponse, request_id: str
) -> result.Result[calls.LookupResult, calls.ServiceFailure]:
    """Parse the response to a look-up of one request."""
    try:
        document = LookupDocument.model_validate_json(response.body)
    except ValueError:
        document = None
    if document is None or response.status != 200:
        failure = failures.failed("the response to the look-up is not valid")
        return result.Failure(from_engine_failure(failure))
    if not document.ran or document.request_id != request_id:
        return result.Success(calls.LookupResult(refusals.Ran.MAYBE, None))
    stored = document.answer
    stored_answer = stored and calls.ServiceResponse(
        stored.status,
        (("content-type", stored.content_type),),
        stored.body.encode(),
    )
    return result.Success(calls.LookupResult(refusals.Ran.YES, stored_answer))
