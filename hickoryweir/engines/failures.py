"""Converts network errors and invalid responses to typed failures."""

import aiohttp

from hickoryweir.engines import calls, events_reader, framing, headers, sessions
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events

NETWORK_ERRORS = (aiohttp.ClientError, sessions.ConnectionLostError, OSError)
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CAUSES = {
    events_reader.FaultKind.MISMATCHED: events.FailureCause.MISMATCHED,
    events_reader.FaultKind.MALFORMED: events.FailureCause.FAILED,
    events_reader.FaultKind.TOO_LARGE: events.FailureCause.FAILED,
    events_reader.FaultKind.CUT: events.FailureCause.STREAM_CUT,
    events_reader.FaultKind.ENGINE_ERROR: events.FailureCause.FAILED,
    events_reader.FaultKind.PREEMPTED: events.FailureCause.PREEMPTED,
}


def request_failure(error: Exception) -> calls.EngineFailure:
    """Return the failure of a call that got no response."""
    if isinstance(error, CONNECT_ERRORS):
        return calls.EngineFailure(
            events.FailureCause.CONNECT_REFUSED,
            refusals.Ran.NO,
            "no connection to the backend server could be established",
        )
    return response_failure(error)


def response_failure(error: Exception) -> calls.EngineFailure:
    """Return the failure of a call whose connection failed after it was sent."""
    if isinstance(error, TimeoutError):
        return possibly_run(
            events.FailureCause.TIMED_OUT,
            "the backend server sent no data within the read timeout",
        )
    if isinstance(error, framing.MalformedResponseError):
        message = f"the response is not valid HTTP: {error}"
        return possibly_run(events.FailureCause.FAILED, message)
    connection_errors = (
        sessions.ConnectionLostError,
        aiohttp.ClientPayloadError,
        OSError,
    )
    if isinstance(error, connection_errors):
        return possibly_run(
            events.FailureCause.CRASHED, "the connection to the backend server was lost"
        )
    return possibly_run(events.FailureCause.FAILED, "the response is not valid HTTP")


def possibly_run(cause: events.FailureCause, message: str) -> calls.EngineFailure:
    """Return the failure of a call that may have run."""
    return calls.EngineFailure(cause, refusals.Ran.MAYBE, message)


def failed(message: str) -> calls.EngineFailure:
    """Return the failure of an invalid response."""
    return possibly_run(events.FailureCause.FAILED, message)


def mismatched() -> calls.EngineFailure:
    """Return the failure of a response that has another request's id."""
    message = "the response has another request's id"
    return possibly_run(events.FailureCause.MISMATCHED, message)


def stream_cut() -> calls.EngineFailure:
    """Return the failure of a truncated stream."""
    return possibly_run(
        events.FailureCause.STREAM_CUT, "the stream ended before its last event"
    )


def from_fault(fault: events_reader.Fault) -> calls.EngineFailure:
    """Return the failure for a fault that the stream's reader found."""
    return possibly_run(CAUSES[fault.kind], fault.message)


def is_not_run(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Return whether the backend server states that it did not run the call.

    The ``X-Not-Run`` header is trusted only together with the request's id.
    """
    states_not_run = response.headers.get(headers.NOT_RUN, "").lower() == headers.TRUE
    return states_not_run and response.headers.get(headers.REQUEST_ID) == request_id


def refused(status: int, *, not_run: bool) -> calls.EngineFailure:
    """Return the failure of a call that ended with an error response."""
    message = f"the backend server responded with status {status}"
    if not_run:
        return calls.EngineFailure(
            events.FailureCause.REFUSED_BEFORE_RUNNING, refusals.Ran.NO, message
        )
    return failed(message)
