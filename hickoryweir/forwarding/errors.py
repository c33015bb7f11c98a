"""Error responses of the router, whose status says whether the request may have run.

429 and 503 guarantee that the request has not run and never will, and have a
``Retry-After`` header.  502 and 504 guarantee nothing.
"""

import enum

import multidict
from aiohttp import web


class Reason(enum.StrEnum):
    """Why the router responded itself."""

    NO_TABLE = "no_table"
    NO_ROUTE = "no_route"
    KEY_UNKNOWN = "key_unknown"
    REQUEST_INVALID = "request_invalid"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMED_OUT = "body_timed_out"
    NO_SERVER = "no_server"
    CRASHES_SERVERS = "crashes_servers"
    OVERLOADED = "overloaded"
    SERVER_REFUSED = "server_refused"
    SERVER_FAILED = "server_failed"
    SERVER_UNREACHABLE = "server_unreachable"
    SERVERS_PAUSED = "servers_paused"
    RELAY_FULL = "relay_full"
    BUFFERS_FULL = "buffers_full"
    ROUTER_FULL = "router_full"
    SERVERS_FULL = "servers_full"
    VERSION_UNKNOWN = "version_unknown"
    VERSION_UNAVAILABLE = "version_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    TIMED_OUT_NOT_RUN = "timed_out_not_run"
    STOPPING = "stopping"
    STOPPED_UNANSWERED = "stopped_unanswered"
    INTERNAL_ERROR = "internal_error"


STATUSES = {
    Reason.NO_TABLE: 503,
    Reason.NO_ROUTE: 404,
    Reason.KEY_UNKNOWN: 401,
    Reason.REQUEST_INVALID: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TIMED_OUT: 408,
    Reason.NO_SERVER: 503,
    Reason.CRASHES_SERVERS: 503,
    Reason.OVERLOADED: 503,
    Reason.SERVER_REFUSED: 503,
    Reason.SERVER_FAILED: 502,
    Reason.SERVER_UNREACHABLE: 503,
    Reason.SERVERS_PAUSED: 503,
    Reason.RELAY_FULL: 503,
    Reason.BUFFERS_FULL: 503,
    Reason.ROUTER_FULL: 503,
    Reason.SERVERS_FULL: 503,
    Reason.VERSION_UNKNOWN: 503,
    Reason.VERSION_UNAVAILABLE: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TIMED_OUT: 504,
    Reason.TIMED_OUT_NOT_RUN: 503,
    Reason.STOPPING: 503,
    Reason.STOPPED_UNANSWERED: 502,
    Reason.INTERNAL_ERROR: 500,
}
# The request has not run, and this router will not send it.
NOT_RUN_REASONS = frozenset(
    reason for reason, status in STATUSES.items() if status not in (500, 502, 504)
)
# Clients take these for "not run, and never will be", whoever responded.
PROMISED_STATUSES = frozenset({408, 421, 429, 503})
# Key of the reason in an error response, which aiohttp keeps beside its headers.
REASON_KEY = web.ResponseKey("reason", Reason)
CLOSING_REASONS = frozenset({Reason.REQUEST_INVALID, Reason.BODY_TOO_LARGE})


def make_response(
    reason: Reason, request_id: str, retry_after_s: float | None = None
) -> web.Response:
    """Return an error response of the router.

    Parameters
    ----------
    reason : Reason
        Sets the status and the body.
    request_id : str
        The client's id of the request.
    retry_after_s : float, optional
        Value of ``Retry-After``; only for a request that has not run.
    """
    headers = multidict.CIMultiDict()
    if request_id:
        headers["Request-Id"] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    response = web.Response(
        status=STATUSES[reason], headers=headers, text=f"{reason.value}\n"
    )
    response[REASON_KEY] = reason
    if reason in CLOSING_REASONS:
        response.force_close()
    return response
