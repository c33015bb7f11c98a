"""Runs one attempt of a call at one backend server.

A non-idempotent call is dispatched only after its claim has been committed to the
log and granted to this attempt.  The attempt's outcome is recorded in the log before
the caller gets its answer.

See Also
--------
hickoryweir.claims.gateway : Claims and outcomes.
"""

import dataclasses
import time
from collections.abc import Callable

import aiohttp
from returns import result

from hickoryweir.callers import interface, requests
from hickoryweir.claims import commands, gateway, keys
from hickoryweir.configuration import model
from hickoryweir.daemon import calls, dispatcher, driver, lookups, notices, relay
from hickoryweir.engines import calls as engine_calls
from hickoryweir.engines import client as engine_client
from hickoryweir.engines import failures
from hickoryweir.observability import metrics
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, events
from hickoryweir.services import calls as service_calls
from hickoryweir.services import client as service_client

CONTENT_TYPE_HEADER = "content-type"
MIN_WAIT_S = 0.05
CLAIM_MARGIN_S = 0.25
MAX_SERVICE_WAIT_S = 600.0
TIMEOUTS = engine_calls.EngineTimeouts()
UNKNOWN_SERVER = calls.Failed(
    events.FailureCause.CONNECT_REFUSED,
    refusals.Ran.NO,
    0,
    "the backend server has left the configuration",
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptContext:
    """What attempts need in order to reach backend servers and the log.

    Attributes
    ----------
    find_server : function
        Returns a backend server by name, or None.
    find_lookup_path : function
        Returns the look-up path of a plain service by its name, or an empty string.
    engine_session, service_session : aiohttp.ClientSession
        Sessions that send each request at most once.
    gateway : gateway.Gateway
        Claims and outcomes.
    """

    find_server: Callable[[str], model.BackendServer | None]
    find_lookup_path: Callable[[str], str]
    engine_session: aiohttp.ClientSession
    service_session: aiohttp.ClientSession
    gateway: gateway.Gateway
    dispatcher: dispatcher.Dispatcher
    metrics: metrics.Metrics


def make_run_attempt(context: AttemptContext) -> driver.RunAttempt:
    """Return the function with which the driver runs attempts."""

    async def run_attempt(
        call: calls.Call, dispatch: actions.Dispatch
    ) -> calls.AttemptEnd:
        server = context.find_server(dispatch.backend_server)
        if server is None:
            return UNKNOWN_SERVER
        if call.request.request_class.idempotent:
            return await execute(context, call, dispatch, server, None)
        return await run_non_idempotent(context, call, dispatch, server)

    return run_attempt


async def run_non_idempotent(
    context: AttemptContext,
    call: calls.Call,
    dispatch: actions.Dispatch,
    server: model.BackendServer,
) -> calls.AttemptEnd:
    """Claim the key, run a non-idempotent attempt and record its outcome."""
    request = call.request
    parsed = keys.parse_key(request.idempotency_key)
    call.claim_proposed = True
    if not isinstance(parsed, result.Success):
        return calls.Settled(result.Failure(parsed.failure()))
    target = f"{request.path}?{request.query}"
    digest = keys.digest_call(request.method, target, request.body)
    claimed = await context.gateway.claim(
        gateway.Call(request.account.name, parsed.unwrap(), digest),
        server.name,
        request.deadline_s - CLAIM_MARGIN_S,
    )
    if not isinstance(claimed, result.Success):
        context.metrics.claims.labels(claimed.failure().reason).inc()
        return calls.Settled(result.Failure(claimed.failure()))
    claim = claimed.unwrap()
    if isinstance(claim, gateway.StoredAnswer):
        context.metrics.claims.labels("stored_answer").inc()
        answer = interface.Response(claim.status, claim.content_type, claim.body)
        return calls.Settled(result.Success(answer))
    context.metrics.claims.labels("granted").inc()
    recorded: list[bytes] = []
    try:
        end = await execute(context, call, dispatch, server, recorded)
        end = await look_up_outcome(context, call, server, end)
    except BaseException:
        context.gateway.abandon(claim, "the attempt was cancelled")
        raise
    await context.gateway.finish(claim, make_outcome(end))
    return end


async def look_up_outcome(
    context: AttemptContext,
    call: calls.Call,
    server: model.BackendServer,
    end: calls.AttemptEnd,
) -> calls.AttemptEnd:
    """Look up an uncertain outcome at a plain service and return the attempt's end."""
    lookup_path = context.find_lookup_path(call.request.request_class.target_name)
    if server.target is not model.Target.SERVICE or not lookup_path:
        return end
    service_call = make_service_call(call)
    return await lookups.resolve(
        end,
        lambda: service_client.lookup(
            context.service_session, server, lookup_path, service_call
        ),
    )


def make_outcome(end: calls.AttemptEnd) -> commands.Outcome:
    """Return the outcome that the log records for an attempt's end."""
    match end:
        case calls.Finished(answer, _):
            return commands.Answered(answer.status, answer.content_type, answer.body)
        case calls.Failed(_, refusals.Ran.NO, _, message):
            return commands.NotRun(message)
        case calls.Failed(_, _, _, message):
            return commands.Unknown(message)
        case _:
            return commands.Unknown("the attempt ended without an outcome")


async def execute(
    context: AttemptContext,
    call: calls.Call,
    dispatch: actions.Dispatch,
    server: model.BackendServer,
    recorded: list[bytes] | None,
) -> calls.AttemptEnd:
    """Send the call to the backend server and return how the attempt ended."""
    call.dispatched = True
    on_head = notices.make_observer(
        context.dispatcher, server.name, call.request.request_id
    )
    if server.target is model.Target.SERVICE:
        return await call_service(context, call, server, on_head)
    if call.sent_tokens and not call.resumable:
        return calls.Settled(result.Failure(make_stream_cut_refusal()))
    calls.enable_assembly(call)
    engine_call = make_engine_call(call, dispatch)
    if not engine_call.stream:
        return await fetch_completion(context, server, engine_call, on_head)
    opened = await engine_client.open_stream(
        context.engine_session, server, engine_call, TIMEOUTS, on_head
    )
    return await run_stream(context, call, dispatch, opened, recorded)


def make_stream_cut_refusal() -> refusals.Refusal:
    """Return the refusal of a call whose stream was cut and can't be resumed."""
    return refusals.make_refusal(
        refusals.Reason.STREAM_CUT,
        "the stream was cut and can't be resumed",
        1.0,
        refusals.Ran.MAYBE,
    )


def make_engine_call(
    call: calls.Call, dispatch: actions.Dispatch
) -> engine_calls.EngineCall:
    """Return the call as it is sent to an engine."""
    request = call.request
    return engine_calls.EngineCall(
        request_id=request.call_id,
        path=request.path,
        body=call.assembled_body or request.body,
        stream=request.stream or call.assembled is not None,
        priority=dispatch.priority,
        resume_tokens=call.sent_tokens,
        resume_text=call.sent_text,
    )


async def run_stream(
    context: AttemptContext,
    call: calls.Call,
    dispatch: actions.Dispatch,
    opened: engine_client.OpenResult,
    recorded: list[bytes] | None,
) -> calls.AttemptEnd:
    """Relay an engine's stream to the caller."""
    if not isinstance(opened, result.Success):
        return relay.make_failed(opened.failure(), 0)
    stream = opened.unwrap()
    if isinstance(stream, engine_calls.EngineResponse):
        if calls.has_begun(call):
            message = f"status {stream.status} continues no stream"
            return relay.make_failed(failures.failed(message), 0)
        return make_finished(stream)
    return await relay.relay(call, dispatch, stream, context.dispatcher, recorded)


async def fetch_completion(
    context: AttemptContext,
    server: model.BackendServer,
    engine_call: engine_calls.EngineCall,
    on_head: engine_calls.OnHead,
) -> calls.AttemptEnd:
    """Fetch an engine's complete response."""
    completed = await engine_client.complete(
        context.engine_session, server, engine_call, TIMEOUTS, on_head
    )
    if not isinstance(completed, result.Success):
        return relay.make_failed(completed.failure(), 0)
    return make_finished(completed.unwrap())


def make_finished(response: engine_calls.EngineResponse) -> calls.Finished:
    """Return the attempt end for an engine's complete response."""
    return calls.Finished(
        interface.Response(response.status, response.content_type, response.body),
        response.output_tokens,
    )


async def call_service(
    context: AttemptContext,
    call: calls.Call,
    server: model.BackendServer,
    on_head: engine_calls.OnHead,
) -> calls.AttemptEnd:
    """Forward the call to a plain service."""
    forwarded = await service_client.forward(
        context.service_session,
        server,
        make_service_call(call),
        make_service_limits(context, call.request),
        on_head,
    )
    if not isinstance(forwarded, result.Success):
        failure = forwarded.failure()
        return calls.Failed(failure.cause, failure.ran, 0, failure.message)
    response = forwarded.unwrap()
    headers = tuple(
        header for header in response.headers if header[0] != CONTENT_TYPE_HEADER
    )
    return calls.Finished(
        interface.Response(
            response.status, response.content_type, response.body, headers=headers
        ),
        0,
    )


def make_service_call(call: calls.Call) -> service_calls.ServiceCall:
    """Return the call as it is sent to a plain service."""
    request = call.request
    return service_calls.ServiceCall(
        request_id=request.call_id,
        method=request.method,
        path=request.path,
        query=request.query,
        headers=request.headers,
        body=request.body,
        idempotency_key=request.idempotency_key,
    )


def make_service_limits(
    context: AttemptContext, request: requests.CallerRequest
) -> service_calls.ServiceLimits:
    """Return an attempt's limits; an idempotent call waits until its deadline."""
    remaining_s = max(request.deadline_s - time.monotonic(), MIN_WAIT_S)
    read_timeout_s = (
        MAX_SERVICE_WAIT_S if not request.request_class.idempotent else remaining_s
    )
    return service_calls.ServiceLimits(read_timeout_s=read_timeout_s)
