"""Incremental reader of an engine's server-sent events with a fast path.

The reader does no I/O: it takes bytes and returns complete events.  The first event
is parsed; its bytes up to and including the id become the expected prefix of later
events.  An event with this prefix and a null finish reason is one token of the
request's response and is forwarded unparsed.  Any other event is parsed in full.

The finish chunk and the events after it are held back until ``[DONE]``, so that a
response that is truncated in between can still be resumed.
"""

import dataclasses
import enum
import json
import zlib
from typing import Any

from returns import result

from hickoryweir.engines import calls

MAX_EVENT_SIZE_BYTES = 256 * 1024
MAX_HELD_SIZE_BYTES = 1024 * 1024
MAX_UNCOMPRESSED_SIZE_BYTES = 32 * 1024
MAX_COMPRESSED_SIZE_BYTES = 512 * 1024
FASTEST_COMPRESSION = 1
SEPARATOR = b"\n\n"
DONE = "[DONE]"
NO_FINISH_REASONS = (b'"finish_reason":null', b'"finish_reason": null')
ID_KEYS = (b'"id":', b'"id": ')
ID_PREFIXES = ("chatcmpl-", "cmpl-", "")
RESUMABLE_FIELDS = frozenset({"role", "content"})


class FaultKind(enum.Enum):
    """Kind of a stream's fault."""

    MISMATCHED = "mismatched"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    CUT = "cut"
    ENGINE_ERROR = "engine_error"
    PREEMPTED = "preempted"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Why a stream can't be forwarded."""

    kind: FaultKind
    message: str


@dataclasses.dataclass(slots=True, eq=False)
class Reader:
    """State of the reader of one stream.

    Attributes
    ----------
    ids : frozenset of str
        Values of ``id`` that an engine may use for the request.
    resumed : bool
        Whether the client already has the start of the response.
    partial_event : bytes
        Start of an incomplete event.
    prefix, no_finish_reason : bytes
        Bytes that mark an event for the fast path; empty before the first event.
    held_events : list of bytes
        The finish chunk and the events after it.
    output_tokens : int
        Number of tokens of this attempt.
    uncompressed, compressed : list of bytes
        Forwarded events, whose text is extracted only on demand; those of a long
        stream are compressed.
    resumable : bool
        Whether the response can be resumed from its text alone.
    has_trailing_bytes : bool
        Whether bytes followed ``[DONE]``.
    """

    ids: frozenset[str]
    resumed: bool
    partial_event: bytes = b""
    prefix: bytes = b""
    no_finish_reason: bytes = b""
    held_events: list[bytes] = dataclasses.field(default_factory=list)
    held_size_bytes: int = 0
    finish_seen: bool = False
    done: bool = False
    output_tokens: int = 0
    uncompressed: list[bytes] = dataclasses.field(default_factory=list)
    uncompressed_size_bytes: int = 0
    compressed: list[bytes] = dataclasses.field(default_factory=list)
    compressed_size_bytes: int = 0
    resumable: bool = True
    has_trailing_bytes: bool = False


def make_reader(request_id: str, *, resumed: bool = False) -> Reader:
    """Return a reader for one request's stream.

    Examples
    --------
    >>> reader = make_reader("r1")
    >>> event = b'data: {"id":"r1","choices":[{"text":"a","finish_reason":null}]}'
    >>> feed(reader, event + SEPARATOR).unwrap().output_tokens
    1
    >>> feed(reader, event.replace(b"r1", b"r2") + SEPARATOR).failure().kind
    <FaultKind.MISMATCHED: 'mismatched'>
    """
    return Reader(accepted_ids(request_id), resumed)


def accepted_ids(request_id: str) -> frozenset[str]:
    """Return the values of ``id`` that an engine's response may have."""
    return frozenset(prefix + request_id for prefix in ID_PREFIXES)


def feed(reader: Reader, data: bytes) -> result.Result[calls.StreamChunk, Fault]:
    """Add bytes of the stream and return the events that they complete.

    Parameters
    ----------
    reader : Reader
        State of the stream, which must not be used after a fault.
    data : bytes
        Next bytes of the stream.

    Returns
    -------
    Result of StreamChunk or Fault
        The chunk's data may be empty if no event is complete.
    """
    if reader.done:
        reader.has_trailing_bytes = True
        return result.Success(calls.StreamChunk(b"", 0, finished=True))
    if b"\r" in data:
        data = data.replace(b"\r", b"")
    buffered = reader.partial_event + data if reader.partial_event else data
    boundary = buffered.rfind(SEPARATOR)
    if boundary < 0:
        complete, reader.partial_event = b"", buffered
    else:
        boundary += len(SEPARATOR)
        complete, reader.partial_event = buffered[:boundary], buffered[boundary:]
    if len(reader.partial_event) > MAX_EVENT_SIZE_BYTES:
        return result.Failure(Fault(FaultKind.TOO_LARGE, "an event is too large"))
    if not complete:
        return result.Success(calls.StreamChunk(b"", 0, finished=False))
    events = complete.split(SEPARATOR)
    events.pop()
    if are_token_events(reader, events):
        reader.output_tokens += len(events)
        store_events(reader, complete)
        return result.Success(calls.StreamChunk(complete, len(events), finished=False))
    return parse_events(reader, events)


def are_token_events(reader: Reader, events: list[bytes]) -> bool:
    """Return whether each event is one token of the request's response (fast path)."""
    prefix = reader.prefix
    if not prefix or reader.finish_seen:
        return False
    no_finish_reason = reader.no_finish_reason
    return all(
        event.startswith(prefix) and no_finish_reason in event for event in events
    )


def parse_events(
    reader: Reader, events: list[bytes]
) -> result.Result[calls.StreamChunk, Fault]:
    """Parse each event in full; see :func:`feed`."""
    output: list[bytes] = []
    tokens_before = reader.output_tokens
    for event in events:
        if reader.done:
            reader.has_trailing_bytes = True
            break
        if len(event) > MAX_EVENT_SIZE_BYTES:
            return result.Failure(Fault(FaultKind.TOO_LARGE, "an event is too large"))
        fault = parse_event(reader, event, output)
        if fault is not None:
            return result.Failure(fault)
    if reader.done and reader.partial_event:
        reader.has_trailing_bytes = True
    data = b"".join(output)
    tokens = max(0, reader.output_tokens - tokens_before)
    return result.Success(calls.StreamChunk(data, tokens, reader.done))


def parse_event(reader: Reader, event: bytes, output: list[bytes]) -> Fault | None:
    """Parse one event; append it to the output or hold it back."""
    text = event_data(event)
    if text is None:
        return None
    if text == DONE:
        if not reader.finish_seen:
            return Fault(FaultKind.CUT, "the stream ended without a finish chunk")
        reader.done = True
        output.extend([*reader.held_events, event + SEPARATOR])
        reader.held_events.clear()
        return None
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return Fault(FaultKind.MALFORMED, "an event is not JSON")
    fault = validate_value(reader, value)
    if fault is not None:
        return fault
    if not reader.prefix:
        record_prefix(reader, event, value["id"])
    event = process_choices(reader, event, value)
    if reader.finish_seen:
        return hold_event(reader, event)
    if event:
        output.append(event + SEPARATOR)
        store_events(reader, event + SEPARATOR)
    return None


def event_data(event: bytes) -> str | None:
    """Return an event's data, or None if it has none, such as a comment."""
    lines = event.decode("utf-8", "replace").split("\n")
    data = [line[5:].removeprefix(" ") for line in lines if line.startswith("data:")]
    return "\n".join(data).strip() if data else None


def validate_value(reader: Reader, value: Any) -> Fault | None:
    """Return the fault of an event's value, or None."""
    if not isinstance(value, dict):
        return Fault(FaultKind.MALFORMED, "an event is not a JSON object")
    if value.get("error") is not None:
        return error_fault(value["error"])
    if value.get("id") not in reader.ids:
        return Fault(FaultKind.MISMATCHED, "an event carries another request's id")
    choices = value.get("choices")
    if not isinstance(choices, list):
        return Fault(FaultKind.MALFORMED, "an event has no list of choices")
    if not all(isinstance(choice, dict) for choice in choices):
        return Fault(FaultKind.MALFORMED, "a choice is not a JSON object")
    return None


def error_fault(error: Any) -> Fault:
    """Return the fault of an error event."""
    code = error.get("code") if isinstance(error, dict) else None
    if code == "preempted":
        return Fault(FaultKind.PREEMPTED, "the engine preempted the call")
    return Fault(FaultKind.ENGINE_ERROR, "the engine reported an error in the stream")


def record_prefix(reader: Reader, event: bytes, response_id: str) -> None:
    """Record the prefix of this engine's later events if the id is the first key."""
    for key in ID_KEYS:
        marker = key + json.dumps(response_id).encode()
        before, found, _ = event.partition(marker)
        if found and before.replace(b" ", b"") == b"data:{":
            reader.prefix = before + marker
    for no_finish_reason in NO_FINISH_REASONS:
        if no_finish_reason in event:
            reader.no_finish_reason = no_finish_reason
    if not reader.no_finish_reason:
        reader.prefix = b""


def process_choices(reader: Reader, event: bytes, value: dict[str, Any]) -> bytes:
    """Count an event's tokens; return the event to forward.

    A resumed stream repeats the role, which is removed.
    """
    for choice in value["choices"]:
        delta = choice.get("delta")
        content = choice.get("text") or (
            isinstance(delta, dict)
            and (delta.get("content") or delta.get("tool_calls"))
        )
        if content:
            reader.output_tokens += 1
        if choice.get("finish_reason") is not None:
            reader.finish_seen = True
        elif reader.resumed and isinstance(delta, dict) and delta.pop("role", None):
            event = b"data: " + json.dumps(value).encode() if content else b""
    usage = value.get("usage")
    if isinstance(usage, dict) and not reader.resumed:
        count = usage.get("completion_tokens")
        if isinstance(count, int) and count > reader.output_tokens:
            reader.output_tokens = count
    return event


def hold_event(reader: Reader, event: bytes) -> Fault | None:
    """Hold an event back until ``[DONE]`` is received."""
    reader.held_events.append(event + SEPARATOR)
    reader.held_size_bytes += len(event)
    if reader.held_size_bytes > MAX_HELD_SIZE_BYTES:
        return Fault(FaultKind.TOO_LARGE, "too many events after the finish chunk")
    return None


def store_events(reader: Reader, data: bytes) -> None:
    """Store forwarded events within a size limit, to extract their text on demand."""
    if not reader.resumable:
        return
    reader.uncompressed.append(data)
    reader.uncompressed_size_bytes += len(data)
    if reader.uncompressed_size_bytes > MAX_UNCOMPRESSED_SIZE_BYTES:
        compress_stored(reader)


def compress_stored(reader: Reader) -> None:
    """Compress stored events; a stream above the size limit can't be resumed."""
    compressed = zlib.compress(b"".join(reader.uncompressed), FASTEST_COMPRESSION)
    reader.uncompressed.clear()
    reader.uncompressed_size_bytes = 0
    reader.compressed.append(compressed)
    reader.compressed_size_bytes += len(compressed)
    if reader.compressed_size_bytes > MAX_COMPRESSED_SIZE_BYTES:
        reader.resumable = False
        reader.compressed.clear()


def text_so_far(reader: Reader) -> str | None:
    """Return the text forwarded in this attempt; None if it can't be resumed."""
    if not reader.resumable:
        return None
    stored = [*map(zlib.decompress, reader.compressed), *reader.uncompressed]
    texts: list[str] = []
    for event in b"".join(stored).split(SEPARATOR):
        text = event_text(event)
        if text is None:
            reader.resumable = False
            return None
        texts.append(text)
    return "".join(texts)


def event_text(event: bytes) -> str | None:
    """Return an event's text; None if the event has content other than text."""
    data = event_data(event)
    if data is None:
        return ""
    try:
        choices = json.loads(data)["choices"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not isinstance(choices, list):
        return None
    texts = [choice_text(choice) for choice in choices]
    return None if None in texts else "".join(texts)


def choice_text(choice: Any) -> str | None:
    """Return a choice's text; None if the choice has content other than text."""
    if not isinstance(choice, dict) or choice.get("index", 0) != 0:
        return None
    delta = choice.get("delta") or {}
    if not isinstance(delta, dict):
        return None
    if {key for key, value in delta.items() if value} - RESUMABLE_FIELDS:
        return None
    text = choice.get("text") or delta.get("content") or ""
    return text if isinstance(text, str) else None
