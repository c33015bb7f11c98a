"""Reads an engine's server-sent events with as little parsing as possible.

The reader does no I/O: bytes in, whole events out.  The first event is parsed;
its bytes up to and including the id make the prefix that later events must have.
An event with that prefix and a null finish reason is one token of the request's
own answer and is passed on unparsed.  Any other event is parsed in full.

The finish chunk and what follows it are held back until ``[DONE]``, so that an
answer cut in between can still be resumed.
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
    """What is wrong with a stream."""

    MISMATCHED = "mismatched"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    CUT = "cut"
    ENGINE_ERROR = "engine_error"
    PREEMPTED = "preempted"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A stream that can't be passed on."""

    kind: FaultKind
    message: str


@dataclasses.dataclass(slots=True, eq=False)
class Reader:
    """State of one stream's reading.

    Attributes
    ----------
    ids : frozenset of str
        Ids by which an engine may name the request.
    resumed : bool
        Whether the caller already has the start of the answer.
    partial_event : bytes
        Start of an event that is not whole yet.
    prefix, no_finish_reason : bytes
        What an event has that need not be parsed; empty before the first event.
    held_events : list of bytes
        Events from the finish chunk on.
    output_tokens : int
        Tokens of this attempt.
    uncompressed, compressed : list of bytes
        Passed events, whose text is taken only when it is wanted; those of a
        long stream are compressed.
    resumable : bool
        Whether the text alone is enough to resume the answer.
    has_trailing_bytes : bool
        Whether bytes came after the end.
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
    """Return the ids by which an engine's answer may name a request."""
    return frozenset(prefix + request_id for prefix in ID_PREFIXES)


def feed(reader: Reader, data: bytes) -> result.Result[calls.StreamChunk, Fault]:
    """Take bytes of the stream and return the whole events among them.

    Parameters
    ----------
    reader : Reader
        State of the stream; unusable after a fault.
    data : bytes
        The next bytes as they came.

    Returns
    -------
    Result of StreamChunk or Fault
        The chunk's data may be empty.
    """
    if reader.done:
        reader.has_trailing_bytes = True
        return result.Success(calls.StreamChunk(b"", 0, finished=True))
    if b"\r" in data:
        data = data.replace(b"\r", b"")
    buffered = reader.partial_event + data if reader.partial_event else data
    boundary = buffered.rfind(SEPARATOR)
    if boundary < 0:
        whole, reader.partial_event = b"", buffered
    else:
        boundary += len(SEPARATOR)
        whole, reader.partial_event = buffered[:boundary], buffered[boundary:]
    if len(reader.partial_event) > MAX_EVENT_SIZE_BYTES:
        return result.Failure(Fault(FaultKind.TOO_LARGE, "an event is too large"))
    if not whole:
        return result.Success(calls.StreamChunk(b"", 0, finished=False))
    events = whole.split(SEPARATOR)
    events.pop()
    if are_token_events(reader, events):
        reader.output_tokens += len(events)
        store_events(reader, whole)
        return result.Success(calls.StreamChunk(whole, len(events), finished=False))
    return parse_events(reader, events)


def are_token_events(reader: Reader, events: list[bytes]) -> bool:
    """Return whether each event is one token of the request's own answer."""
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
    """Parse each event; see :func:`feed`."""
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
    """Parse one event, and pass it on or hold it."""
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
    """Return an event's data; None if it has none, as a comment."""
    lines = event.decode("utf-8", "replace").split("\n")
    data = [line[5:].removeprefix(" ") for line in lines if line.startswith("data:")]
    return "\n".join(data).strip() if data else None


def validate_value(reader: Reader, value: Any) -> Fault | None:
    """Return what is wrong with an event's value."""
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


def record_prefix(reader: Reader, event: bytes, answer_id: str) -> None:
    """Note what later events of this engine begin with, if the id comes first."""
    for key in ID_KEYS:
        marker = key + json.dumps(answer_id).encode()
        before, found, _ = event.partition(marker)
        if found and before.replace(b" ", b"") == b"data:{":
            reader.prefix = before + marker
    for no_finish_reason in NO_FINISH_REASONS:
        if no_finish_reason in event:
            reader.no_finish_reason = no_finish_reason
    if not reader.no_finish_reason:
        reader.prefix = b""


def process_choices(reader: Reader, event: bytes, value: dict[str, Any]) -> bytes:
    """Count an event's tokens; return the event as it is to be passed on."""
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
    """Keep an event until the end of the stream is seen."""
    reader.held_events.append(event + SEPARATOR)
    reader.held_size_bytes += len(event)
    if reader.held_size_bytes > MAX_HELD_SIZE_BYTES:
        return Fault(FaultKind.TOO_LARGE, "too many events after the finish chunk")
    return None


def store_events(reader: Reader, data: bytes) -> None:
    """Keep passed events until their text is wanted, within a bound."""
    if not reader.resumable:
        return
    reader.uncompressed.append(data)
    reader.uncompressed_size_bytes += len(data)
    if reader.uncompressed_size_bytes > MAX_UNCOMPRESSED_SIZE_BYTES:
        compress_stored(reader)


def compress_stored(reader: Reader) -> None:
    """Compress kept events; a stream with too many of them can't be resumed."""
    compressed = zlib.compress(b"".join(reader.uncompressed), FASTEST_COMPRESSION)
    reader.uncompressed.clear()
    reader.uncompressed_size_bytes = 0
    reader.compressed.append(compressed)
    reader.compressed_size_bytes += len(compressed)
    if reader.compressed_size_bytes > MAX_COMPRESSED_SIZE_BYTES:
        reader.resumable = False
        reader.compressed.clear()


def text_so_far(reader: Reader) -> str | None:
    """Return the text passed on in this attempt; None if it can't be resumed."""
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
    """Return an event's text; None if the event is more than its text."""
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
    """Return a choice's text; None if the choice is more than its text."""
    if not isinstance(choice, dict) or choice.get("index", 0) != 0:
        return None
    delta = choice.get("delta") or {}
    if not isinstance(delta, dict):
        return None
    if {key for key, value in delta.items() if value} - RESUMABLE_FIELDS:
        return None
    text = choice.get("text") or delta.get("content") or ""
    return text if isinstance(text, str) else None
