"""Splitting of a server-sent event stream into complete events."""

import dataclasses
import re

NEWLINE = re.compile(rb"\r\n|\n|\r")
MEDIA_TYPE = "text/event-stream"
# Says nothing of the content, and stands for a missing type (RFC 9110, section 8.3).
UNKNOWN_MEDIA_TYPE = "application/octet-stream"
# Atomic groups, so that a CRLF is never read as two ends of lines.
BLANK_LINE = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
MAX_BLANK_LINE_SIZE_BYTES = 4
MAX_EVENT_SIZE_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class Splitter:
    """Received bytes of an event that is not complete yet."""

    pending: bytearray = dataclasses.field(default_factory=bytearray)


def is_event_stream(status: int, media_type: str) -> bool:
    """Return whether a response on a route of streams consists of events.

    Examples
    --------
    >>> is_event_stream(200, MEDIA_TYPE), is_event_stream(404, MEDIA_TYPE)
    (True, False)
    >>> is_event_stream(200, "application/json")
    False
    """
    is_success = 200 <= status < 300
    return is_success and media_type in (MEDIA_TYPE, UNKNOWN_MEDIA_TYPE)


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
    pending = splitter.pending
    # A blank line that the chunk completes may begin in the last bytes before it.
    searched_from = max(0, len(pending) - MAX_BLANK_LINE_SIZE_BYTES + 1)
    pending += chunk
    end = 0
    for found in BLANK_LINE.finditer(pending, searched_from):
        end = found.end()
    events = bytes(pending[:end])
    del pending[:end]
    return events


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
    *complete, partial = NEWLINE.split(splitter.pending)
    return bool(partial) or any(line and line[:1] != b":" for line in complete)


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


def last_event_id(events: bytes) -> str:
    """Return the id of the last event that has one; empty if none has.

    Examples
    --------
    >>> last_event_id(b"id: 4" + bytes([10]) + b"data: x" + bytes([10, 10]))
    '4'
    """
    for line in reversed(events.splitlines()):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            return value.strip().decode("latin-1")
    return ""
