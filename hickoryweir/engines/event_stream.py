"""Splitting of a server-sent event stream into complete events."""

import dataclasses
import http
import re

NEWLINE = re.compile(rb"\r\n|\n|\r")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
MEDIA_TYPE = "text/event-stream"
# Says nothing of the content, and stands for a missing type (RFC 9110, section 8.3).
UNKNOWN_MEDIA_TYPE = "application/octet-stream"
# Atomic groups, so that a CRLF is never read as two ends of lines.
BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
# Any two ends of lines in a row contain one of these, and a single one contains none.
BLANK_LINE_PAIRS = (b"\n\n", b"\n\r", b"\r\r")
# Where a line begins, except the first one, that is neither empty nor a comment.
FIELD_START = re.compile(rb"[\r\n][^:\r\n]")
MAX_EVENT_SIZE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class Splitter:
    """State of a body that is split into events.

    Attributes
    ----------
    pending : bytearray
        Received bytes of an event that is not complete yet.
    is_opaque : bool
        Whether the body has another format and passes unsplit.
    """

    pending: bytearray = dataclasses.field(default_factory=bytearray)
    is_opaque: bool = False


def make_splitter(status: int, media_type: str) -> Splitter:
    """Return a splitter for a response on a route of streams.

    Examples
    --------
    >>> make_splitter(200, MEDIA_TYPE).is_opaque, make_splitter(404, "").is_opaque
    (False, True)
    >>> make_splitter(200, "application/json").is_opaque
    True
    """
    is_success = 200 <= status < 300
    has_events = is_success and media_type in (MEDIA_TYPE, UNKNOWN_MEDIA_TYPE)
    return Splitter(is_opaque=not has_events)


def can_continue(status: int, media_type: str) -> bool:
    """Return whether a response can go on with a stream that has begun elsewhere.

    Examples
    --------
    >>> can_continue(200, MEDIA_TYPE), can_continue(204, UNKNOWN_MEDIA_TYPE)
    (True, False)
    >>> can_continue(500, MEDIA_TYPE), can_continue(200, "application/json")
    (False, False)
    """
    is_ok = status == http.HTTPStatus.OK
    return is_ok and not make_splitter(status, media_type).is_opaque


def may_be_empty(media_type: str, *, is_framed: bool, has_begun: bool) -> bool:
    """Return whether a response to a stream's request may be whole without an event.

    Parameters
    ----------
    media_type : str
        Of the response, whose status is a success.
    is_framed : bool
        Whether a length or chunks tell where it ends.  The end of the connection says
        the same as a server that is lost before its first event.
    has_begun : bool
        Whether the client has events, so that the response has to say that none is
        missing.

    Examples
    --------
    >>> may_be_empty(MEDIA_TYPE, is_framed=True, has_begun=True)
    True
    >>> may_be_empty(UNKNOWN_MEDIA_TYPE, is_framed=True, has_begun=True)
    False
    >>> may_be_empty(MEDIA_TYPE, is_framed=False, has_begun=False)
    False
    """
    return is_framed and (not has_begun or media_type == MEDIA_TYPE)


def split_events(splitter: Splitter, chunk: bytes) -> bytes:
    r"""Return the bytes of all events that a chunk completes.

    An event ends with a blank line; lines end with CRLF, LF or CR, also mixed (WHATWG
    HTML, section 9.2.5).

    Examples
    --------
    >>> splitter = Splitter()
    >>> split_events(splitter, b"id: 1" + bytes([10]) + b"data: a")
    b''
    >>> split_events(splitter, bytes([10, 10]) + b"id: 2")
    b'id: 1\ndata: a\n\n'
    >>> bytes(splitter.pending)
    b'id: 2'
    """
    if splitter.is_opaque:
        return chunk
    pending = splitter.pending
    # A blank line that the chunk completes may begin with the last byte before it.
    searched_from = max(0, len(pending) - 1)
    pending += chunk
    end = _find_end(pending, searched_from)
    events = bytes(memoryview(pending)[:end])
    del pending[:end]
    return events


def _find_end(data: bytes | bytearray, searched_from: int = 0) -> int:
    """Return where the last blank line ends; 0 without one.

    Takes a time that grows with the bytes only, not with the number of lines.
    """
    found = data.rfind(b"\n\n", searched_from)
    if data.find(b"\r", searched_from) >= 0:
        found = max(data.rfind(pair, searched_from) for pair in BLANK_LINE_PAIRS)
    if found < 0:
        return 0
    end = found + 2
    is_crlf = data[end - 1 : end + 1] == b"\r\n"
    return end + is_crlf


def has_open_event(splitter: Splitter) -> bool:
    r"""Return whether the received bytes end inside an event.

    A client discards such an event (WHATWG HTML, section 9.2.6).  Blank lines and
    complete comments do not begin one.

    Examples
    --------
    >>> newline = bytes([10])
    >>> [
    ...     has_open_event(Splitter(bytearray(pending)))
    ...     for pending in (b"", newline, b": ping" + newline, b": pi", b"id: 1")
    ... ]
    [False, False, False, True, True]
    """
    pending = splitter.pending
    has_partial_line = bool(pending) and pending[-1:] not in (b"\n", b"\r")
    return has_partial_line or has_fields(pending)


def has_fields(data: bytes | bytearray) -> bool:
    r"""Return whether any line is neither a comment nor blank.

    Examples
    --------
    >>> separator = bytes([10, 10])
    >>> has_fields(b": ping" + separator), has_fields(b"data: x" + separator)
    (False, True)
    """
    return data[:1] not in (b"", b":", b"\r", b"\n") or (
        FIELD_START.search(data) is not None
    )


def _last_fields(events: bytes) -> list[bytes]:
    """Return the lines of the last event that has any but comments."""
    event = events.rstrip(b"\r\n")
    lines = _split_fields(event[_find_end(event) :])
    if lines or not has_fields(events):
        return lines
    # Comments follow the event.
    starts_at = 0
    for found in FIELD_START.finditer(events):
        starts_at = found.start() + 1
    ends_at = BLANK_LINE.search(events, starts_at).start()
    return _split_fields(events[_find_end(events[:starts_at]) : ends_at])


def _split_fields(event: bytes) -> list[bytes]:
    lines = NEWLINE.split(event)
    return [line for line in lines if line and line[:1] != b":"]


def is_truncated(media_type: str, body: bytes) -> bool:
    """Return whether a whole body is an event stream that ends inside an event.

    Examples
    --------
    >>> separator = bytes([10, 10])
    >>> is_truncated(MEDIA_TYPE, b"data: a" + separator + b"data: b")
    True
    >>> is_truncated(MEDIA_TYPE, b"data: a" + separator)
    False
    >>> is_truncated("text/plain", b"data: a")
    False
    """
    if media_type != MEDIA_TYPE:
        return False
    splitter = Splitter()
    split_events(splitter, body)
    return has_open_event(splitter)


def resume_point(known_id: str, events: bytes) -> str | None:
    """Return the id after which a stream can be resumed once events were forwarded.

    Parameters
    ----------
    known_id : str
        The id before these events; empty if there is none.
    events : bytes
        Whole events.

    Returns
    -------
    str or None
        None if the last event has no id: a server that resumes after an earlier one
        would send it again.  Comments leave the id as it is.

    Examples
    --------
    >>> end, separator = bytes([10]), bytes([10, 10])
    >>> resume_point("3", b"id: 4" + end + b"data: x" + separator)
    '4'
    >>> resume_point("3", b": ping" + separator)
    '3'
    >>> resume_point("3", b"data: x" + separator) is None
    True
    """
    lines = _last_fields(events)
    if not lines:
        return known_id
    ids = [value for name, value in map(_parse_field, lines) if name == b"id"]
    return (ids[-1].decode("latin-1") or None) if ids else None


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name and value of a line; a byte-order mark may precede the first."""
    name, _, value = line.removeprefix(BYTE_ORDER_MARK).partition(b":")
    return name, value.removeprefix(b" ")
