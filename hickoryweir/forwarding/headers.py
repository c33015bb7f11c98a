"""The project's own headers of requests and responses; see :mod:`.header_codec`.

A client sends ``X-Request-Id``, ``X-Time-Left-S``, ``Last-Event-ID`` and, for prompts,
``X-Prompt: MODEL;INPUT;OUTPUT;ID:TOKENS,ID:TOKENS``.  One that resumes a stream names
in ``X-Resumes`` the request that brought the stream's first event.  The router adds
``X-Server-Id``, ``X-Client-Account`` and ``X-Urgency``.  A backend server echoes
``X-Request-Id`` and sets ``X-Not-Run`` on a response to a request that it did not run.
A server that leaves sets ``X-Server-Leaving: 1`` on all its responses, and one that
turns a request away with 503 may ask for a pause by ``Retry-After``.  One that takes
few requests names in ``X-Server-Limit`` how many a second, of all routers together.
One that fails when it must reject many names in ``X-Server-Max-Rejections`` how many
rejections a second it bears, of all routers together.  ``X-Server-Load:
RUNNING,WAITING,SLOTS,PERCENT`` announces its load, and how long work takes there now
in percent of the usual time, which may be left out.
"""

import multidict

from hickoryweir.forwarding import header_codec
from hickoryweir.routes import matching

REQUEST_ID = "X-Request-Id"
TIME_LEFT = "X-Time-Left-S"
LAST_EVENT_ID = "Last-Event-ID"
RESUMED_STREAM_ID = "X-Resumes"
PROMPT = "X-Prompt"
SERVER_ID = "X-Server-Id"
ACCOUNT_NAME = "X-Client-Account"
URGENCY = "X-Urgency"
NOT_RUN = "X-Not-Run"
LEAVING = "X-Server-Leaving"
LIMIT = "X-Server-Limit"
MAX_REJECTIONS = "X-Server-Max-Rejections"
LOAD = "X-Server-Load"
ROUTER_HEADERS = frozenset(
    {"authorization", "x-client-account", "x-server-id", "x-urgency", "x-time-left-s"}
)


def make_header_codec() -> header_codec.HeaderCodec:
    """Return the codec of the project's own headers."""
    return header_codec.HeaderCodec(
        parse_request,
        make_request_headers,
        header_codec.make_response_parser(
            REQUEST_ID, NOT_RUN, LEAVING, LIMIT, MAX_REJECTIONS, LOAD
        ),
    )


def parse_request(headers: header_codec.Headers) -> header_codec.RequestMetadata:
    """Return the metadata of a client's request."""
    return header_codec.RequestMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        time_left_s=header_codec.parse_number(headers.get(TIME_LEFT, "")),
        key=matching.bearer_key(headers.get("Authorization", "")),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        prompt=parse_prompt(headers.get(PROMPT, "")),
        resumed_stream_id=headers.get(RESUMED_STREAM_ID, ""),
    )


def parse_prompt(text: str) -> header_codec.Prompt | None:
    """Return the prompt that a header describes; None if it is malformed.

    Examples
    --------
    >>> parse_prompt("m;30;5;a1:20,b2:10").parts[0]
    PromptPart(part_id='a1', tokens_count=20)
    >>> parse_prompt("m;many;5;") is None
    True
    """
    fields = text.split(";")
    counts = [_parse_digits(field) for field in fields[1:3]]
    if len(fields) != 4 or None in counts:
        return None
    parts = []
    for entry in fields[3].split(","):
        part_id, _, tokens = entry.partition(":")
        tokens_count = _parse_digits(tokens)
        if part_id and tokens_count is not None:
            parts.append(header_codec.PromptPart(part_id, tokens_count))
    return header_codec.Prompt(fields[0], *counts, tuple(parts))


def _parse_digits(text: str) -> int | None:
    return header_codec.parse_count(text) if text.isdecimal() else None


def make_request_headers(
    headers: header_codec.Headers, router_metadata: header_codec.RouterMetadata
) -> multidict.CIMultiDict:
    """Return the headers for a backend server."""
    request_headers = header_codec.end_to_end_headers(headers, ROUTER_HEADERS)
    request_headers[SERVER_ID] = router_metadata.server_id
    if router_metadata.account_name:
        request_headers[ACCOUNT_NAME] = router_metadata.account_name
    if router_metadata.time_left_s is not None:
        request_headers[TIME_LEFT] = f"{router_metadata.time_left_s:.3f}"
    if router_metadata.urgency is not None:
        request_headers[URGENCY] = str(router_metadata.urgency)
    if router_metadata.last_event_id:
        request_headers[LAST_EVENT_ID] = router_metadata.last_event_id
    return request_headers
