"""Types for the metadata that requests and responses carry in headers.

A :class:`HeaderCodec` converts between headers and the types below, so that the header
names stay in one module for each format.  :func:`.headers.make_header_codec` returns
the codec of the project's own headers.
"""

import dataclasses
from collections.abc import Callable, Mapping

import multidict

from hickoryweir.engines import headers as header_names
from hickoryweir.forwarding import relay_messages

NOT_FORWARDED_HEADERS = header_names.HOP_HEADERS | {
    "content-length",
    "expect",
    relay_messages.HEADER.lower(),
}
# 421 Misdirected Request: a different incarnation of the server responded.
MISDIRECTED_REQUEST_STATUS = 421
SERVICE_UNAVAILABLE_STATUS = 503
LEAVING_VALUE = "1"
PERCENT = 100.0
MAX_LOGGED_VALUE_LENGTH = 40
# Of tokens or requests; sums over all of them fit into a message between processes.
MAX_COUNT = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests share the cache of equal leading parts."""

    part_id: str
    tokens_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Model and token counts of a prompt, without its text."""

    model: str
    input_tokens_count: int
    max_output_tokens_count: int
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a client's request.

    Attributes
    ----------
    request_id : str
        The client's id of this attempt; empty if it sent none.
    time_left_s : float or None
        How long the client waits for the response.
    key : str
        Key of a client account; empty if none was sent.
    last_event_id : str
        Id of the last event that the client received of a stream it resumes; empty
        for a new stream.
    resumed_stream_id : str
        The client's id of the request that brought the first event of that stream;
        empty if it sent none.
    prompt : Prompt or None
        The prompt that the request describes.
    """

    request_id: str
    time_left_s: float | None
    key: str
    last_event_id: str
    prompt: Prompt | None
    resumed_stream_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterMetadata:
    """Metadata that the router adds to a request for a backend server."""

    server_id: str
    account_name: str
    time_left_s: float | None
    urgency: int | None
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedLoad:
    """Load that a server announces in a response.

    Attributes
    ----------
    running_count, waiting_count, slots_count : int
        Requests that it runs and that wait there, and how many it runs at once.
    slowness : float or None
        How long work takes there now, relative to the usual time; None if the server
        does not announce it.
    """

    running_count: int
    waiting_count: int
    slots_count: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata of a response's head.

    Attributes
    ----------
    is_not_run : bool
        Whether the backend server states that it did not run the request.
    is_misdirected : bool
        Whether a different incarnation of the server responded.
    is_leaving : bool
        Whether the server says that it leaves.
    pause_s : float or None
        For how long the server wants no requests from this router.
    limit_per_s : float or None
        Requests a second that the server takes from all routers together.
    has_limit : bool
        Whether the response names a limit, also one that can't be read.
    ignored_notice : str
        Why a notice of the server was not taken; empty if none was ignored.
    max_rejections_per_s : float or None
        Rejections a second that the server bears, of all routers together.
    has_max_rejections : bool
        Whether the response names that, also if it can't be read.
    relay_reply : relay_messages.RelayReply or None
        What a relay says of its response; None for a server's own.
    server_load : AnnouncedLoad or None
        The load that the server announces; None without one that can be read.
    """

    request_id: str
    is_not_run: bool
    is_misdirected: bool
    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    has_limit: bool = False
    ignored_notice: str = ""
    max_rejections_per_s: float | None = None
    has_max_rejections: bool = False
    relay_reply: relay_messages.RelayReply | None = None
    server_load: AnnouncedLoad | None = None


Headers = Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Functions that convert between headers and metadata.

    Attributes
    ----------
    parse_request : callable
        Returns the metadata of a client's request from its headers.
    make_request_headers : callable
        ``make_request_headers(headers, router_metadata)`` returns the headers for a
        backend server.
    parse_response : callable
        ``parse_response(status, headers)`` returns the metadata of a response.
    """

    parse_request: Callable[[Headers], RequestMetadata]
    make_request_headers: Callable[[Headers, RouterMetadata], multidict.CIMultiDict]
    parse_response: Callable[[int, multidict.MultiMapping], ResponseMetadata]


def end_to_end_headers(
    headers: Headers, dropped: frozenset[str]
) -> multidict.CIMultiDict:
    """Return the end-to-end headers, without those in `dropped`.

    Headers named in ``Connection`` are hop-by-hop as well.
    """
    named = {
        token.strip().lower() for token in headers.get("Connection", "").split(",")
    }
    kept = multidict.CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in NOT_FORWARDED_HEADERS and lowered not in named | dropped:
            kept.add(name, value)
    return kept


def parse_number(text: str, default: float | None = None) -> float | None:
    """Return the finite, non-negative number in a header, or the default.

    Examples
    --------
    >>> parse_number("12"), parse_number("-1"), parse_number("x", 0.0)
    (12.0, None, 0.0)
    """
    try:
        number = float(text)
    except ValueError:
        return default
    return number if 0.0 <= number < float("inf") else default


def parse_count(text: str) -> int | None:
    """Return the number in a header as a whole one; None if it is none or absurd.

    Examples
    --------
    >>> parse_count("12"), parse_count("1.5"), parse_count("-1"), parse_count("1e300")
    (12, 1, None, None)
    """
    number = parse_number(text)
    return None if number is None or number > MAX_COUNT else int(number)


def _parse_seconds(text: str) -> float | None:
    """Return a number of seconds, infinite if it is too large to represent."""
    if text[:1].isdecimal() and text[-1:].isdecimal():
        try:
            return float(text)
        except ValueError:
            return None
    return parse_number(text)


def parse_pause(status: int, values: list[str]) -> tuple[float | None, str]:
    """Return the pause that ``Retry-After`` headers ask for, and what was ignored.

    Only a server that turns a request away with 503 asks for a pause, in seconds.  Of
    several values the longest counts.

    Examples
    --------
    >>> parse_pause(503, ["1.5"]), parse_pause(503, ["1", "3"]), parse_pause(503, [])
    ((1.5, ''), (3.0, ''), (None, ''))
    >>> parse_pause(503, ["-1", "soon"])
    (None, "Retry-After: '-1', 'soon'")
    >>> parse_pause(200, ["5"])
    (None, 'Retry-After on a response with status 200')
    """
    if not values:
        return None, ""
    if status != SERVICE_UNAVAILABLE_STATUS:
        return None, f"Retry-After on a response with status {status}"
    numbers = [_parse_seconds(value) for value in values]
    ignored = [
        repr(value[:MAX_LOGGED_VALUE_LENGTH])
        for value, number in zip(values, numbers, strict=True)
        if number is None
    ]
    problem = f"Retry-After: {', '.join(ignored)}" if ignored else ""
    return max((item for item in numbers if item is not None), default=None), problem


def parse_limit(name: str, values: list[str]) -> tuple[float | None, str]:
    """Return the limit that a header names, and what was ignored of it.

    A limit is a decimal number of requests a second.  Of several the lowest counts.

    Examples
    --------
    >>> parse_limit("L", ["0.5"]), parse_limit("L", ["0"]), parse_limit("L", [])
    ((0.5, ''), (0.0, ''), (None, ''))
    >>> parse_limit("L", ["3", "2"]), parse_limit("L", ["1e9"])
    ((2.0, ''), (1000000000.0, ''))
    >>> parse_limit("L", ["-1", "few", "", "inf", "4"])
    (4.0, "L: '-1', 'few', '', 'inf'")
    """
    numbers = [parse_number(value) for value in values]
    ignored = [
        repr(value[:MAX_LOGGED_VALUE_LENGTH])
        for value, number in zip(values, numbers, strict=True)
        if number is None
    ]
    problem = f"{name}: {', '.join(ignored)}" if ignored else ""
    return min((item for item in numbers if item is not None), default=None), problem


def parse_load(text: str) -> AnnouncedLoad | None:
    """Return the load in a header; None if it is malformed.

    The header has the requests that run and that wait, the slots, and optionally how
    long work takes now, in percent of the usual time.

    Examples
    --------
    >>> parse_load("3,0,8")
    AnnouncedLoad(running_count=3, waiting_count=0, slots_count=8, slowness=None)
    >>> parse_load("3, 1, 8, 250").slowness
    2.5
    >>> parse_load("3,1"), parse_load("3,1,x"), parse_load("3,1,8,0"), parse_load("")
    (None, None, None, None)
    """
    texts = [field.strip() for field in text.split(",")]
    counts = [parse_count(item) for item in texts[:3]]
    if not 3 <= len(texts) <= 4 or None in counts:
        return None
    slowness = None
    if len(texts) == 4:
        percent = parse_number(texts[3])
        if not percent:
            return None
        slowness = percent / PERCENT
    return AnnouncedLoad(*counts, slowness)


def make_response_parser(
    request_id_name: str,
    not_run_name: str,
    leaving_name: str,
    limit_name: str,
    max_rejections_name: str,
    load_name: str,
) -> Callable[[int, multidict.MultiMapping], ResponseMetadata]:
    """Return a parser of response heads, given the names of six headers."""

    def parse_response(
        status: int, headers: multidict.MultiMapping
    ) -> ResponseMetadata:
        pause_s, problem = parse_pause(status, headers.getall("Retry-After", []))
        leaving_values = headers.getall(leaving_name, [])
        is_leaving = LEAVING_VALUE in leaving_values
        if leaving_values and not is_leaving:
            value = leaving_values[0][:MAX_LOGGED_VALUE_LENGTH]
            problem = f"{leaving_name}: {value!r}"
        limit_values = headers.getall(limit_name, [])
        limit_per_s, limit_problem = parse_limit(limit_name, limit_values)
        rejections_values = headers.getall(max_rejections_name, [])
        max_rejections_per_s, rejections_problem = parse_limit(
            max_rejections_name, rejections_values
        )
        return ResponseMetadata(
            request_id=headers.get(request_id_name, ""),
            is_not_run=not_run_name in headers,
            is_misdirected=status == MISDIRECTED_REQUEST_STATUS,
            is_leaving=is_leaving,
            pause_s=pause_s,
            limit_per_s=limit_per_s,
            has_limit=bool(limit_values),
            ignored_notice=problem or limit_problem or rejections_problem,
            max_rejections_per_s=max_rejections_per_s,
            has_max_rejections=bool(rejections_values),
            server_load=parse_load(headers.get(load_name, "")),
        )

    return parse_response
