"""Refusals as HTTP responses and as error events of a stream."""

import json
import math

from aiohttp import web

from hickoryweir.outcomes import refusals

CLIENT_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500


def error_type(status: int) -> str:
    """Return the error type that the OpenAI API uses for a status."""
    if status == web.HTTPTooManyRequests.status_code:
        return "rate_limit_error"
    if status < SERVER_ERROR_STATUS:
        return "invalid_request_error"
    return "server_error"


def render(refusal: refusals.Refusal) -> bytes:
    """Return the JSON body of a refusal.

    Examples
    --------
    >>> render(refusals.make_refusal(refusals.Reason.SHED, "busy", 2.0))
    b'{"error": {"message": "busy", "type": "server_error", "code": "shed", \
"ran": "no", "retry_after_s": 2.0}}'
    """
    error = {
        "message": refusal.message,
        "type": error_type(refusal.http_status),
        "code": str(refusal.reason),
        "ran": str(refusal.ran),
        "retry_after_s": refusal.retry_after_s,
    }
    return json.dumps({"error": error}).encode()


def make_response(refusal: refusals.Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return web.Response(
        status=refusal.http_status,
        body=render(refusal),
        content_type="application/json",
        headers=headers,
    )


def make_event(refusal: refusals.Refusal) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    return b"event: error\ndata: " + render(refusal) + b"\n\n"
