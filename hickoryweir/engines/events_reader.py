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
RAW_KEPT_SIZE_BYTES = 32 * 1024
PACKED_KEPT_SIZE_BYTES = 512 * 1024
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
    tail : bytes
        Start of an event that is not whole yet.
    prefix, no_finish : bytes
        What an event has that need not be parsed; empty before the first event.
    held : list of bytes
        Events from the finish chunk on.
    output_tokens : int
        Tokens of this attempt.
    raw, packed : list of bytes
        Passed events, whose text is taken only when it is wanted; those of a
        long stream are compressed.
    resumable : bool
        Whether the text alone is enough to resume the answer.
    trailing : bool
        Whether bytes came after the end.
    """

    ids: frozenset[str]
    resumed: bool
    tail: bytes = b""
    prefix: bytes = b""
    no_finish: bytes = b""
    held: list[bytes] = dataclasses.field(default_factory=list)
    held_size_bytes: int = 0
    finish_seen: bool = False
    done: bool = False
    output_tokens: int = 0
    raw: list[bytes] = dataclasses.field(default_factory=list)
    raw_size_bytes: int = 0
    packed: list[bytes] = dataclasses.field(default_factory=list)
    packed_size_bytes: int = 0
    resumable: bool = True
    trailing: bool = False


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
        reader.trailing = True
        return result.Success(calls.StreamChunk(b"", 0, finished=True))
    if b"\r" in data:
        data = data.replace(b"\r", b"")
    buffered = reader.tail + data if reader.tail else data
    end = buffered.rfind(SEPARATOR)
    if end < 0:
        whole, reader.tail = b"", buffered
    else:
        end += len(SEPARATOR)
        whole, reader.tail = buffered[:end], buffered[end:]
    if len(reader.tail) > MAX_EVENT_SIZE_BYTES:
        return result.Failure(Fault(FaultKind.TOO_LARGE, "an event is too large"))
    if not whole:
        return result.Success(calls.StreamChunk(b"", 0, finished=False))
    events = whole.split(SEPARATOR)
    events.pop()
    if is_plain(reader, events):
        reader.output_tokens += len(events)
        keep(reader, whole)
        return result.Success(calls.StreamChunk(whole, len(events), finished=False))
    return read_slowly(reader, events)


def is_plain(reader: Reader, events: list[bytes]) -> bool:
    """Return whether each event is one token of the request's own answer."""
    prefix = reader.prefix
    if not prefix or reader.finish_seen:
        return False
    no_finish = reader.no_finish
    return all(event.startswith(prefix) and no_finish in event for event in events)


def read_slowly(
    reader: Reader, events: list[bytes]
) -> result.Result[calls.StreamChunk, Fault]:
    """Parse each event; see :func:`feed`."""
    passed: list[bytes] = []
    before = reader.output_tokens
    for event in events:
        if reader.done:
            reader.trailing = True
            break
        if len(event) > MAX_EVENT_SIZE_BYTES:
            return result.Failure(Fault(FaultKind.TOO_LARGE, "an event is too large"))
        fault = read_event(reader, event, passed)
        if fault is not None:
            return result.Failure(fault)
    if reader.done and reader.tail:
        reader.trailing = True
    data = b"".join(passed)
    tokens = max(0, reader.output_tokens - before)
    return result.Success(calls.StreamChunk(data, tokens, reader.done))


def read_event(reader: Reader, event: bytes, passed: list[bytes]) -> Fault | None:
    """Parse one event, and pass it on or hold it."""
    text = data_of(event)
    if text is None:
        return None
    if text == DONE:
        if not reader.finish_seen:
            return Fault(FaultKind.CUT, "the stream ended without a finish chunk")
        reader.done = True
        passed.extend([*reader.held, event + SEPARATOR])
        reader.held.clear()
        return None
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return Fault(FaultKind.MALFORMED, "an event is not JSON")
    fault = check_value(reader, value)
    if fault is not None:
        return fault
    if not reader.prefix:
        learn_prefix(reader, event, value["id"])
    event = read_choices(reader, event, value)
    if reader.finish_seen:
        return hold(reader, event)
    if event:
        passed.append(event + SEPARATOR)
        keep(reader, event + SEPARATOR)
    return None


def data_of(event: bytes) -> str | None:
    """Return an event's data; None if it has none, as a comment."""
    lines = event.decode("utf-8", "replace").split("\n")
    data = [line[5:].removeprefix(" ") for line in lines if line.startswith("data:")]
    return "\n".join(data).strip() if data else None


def check_value(reader: Reader, value: Any) -> Fault | None:
    """Return what is wrong with an event's value."""
    if not isinstance(value, dict):
        return Fault(FaultKind.MALFORMED, "an event is not a JSON object")
    if value.get("error") is not None:
        return read_error(value["error"])
    if value.get("id") not in reader.ids:
        return Fault(FaultKind.MISMATCHED, "an event carries another request's id")
    choices = value.get("choices")
    if not isinstance(choices, list):
        return Fault(FaultKind.MALFORMED, "an event has no list of choices")
    if not all(isinstance(choice, dict) for choice in choices):
        return Fault(FaultKind.MALFORMED, "a choice is not a JSON object")
    return None


def read_error(error: Any) -> Fault:
    """Return the fault of an error event."""
    code = error.get("code") if isinstance(error, dict) else None
    if code == "preempted":
        return Fault(FaultKind.PREEMPTED, "the engine preempted the call")
    return Fault(FaultKind.ENGINE_ERROR, "the engine reported an error in the stream")


def learn_prefix(reader: Reader, event: bytes, answer_id: str) -> None:
    """Note what later events of this engine begin with, if the id comes first."""
    for key in ID_KEYS:
        marker = key + json.dumps(answer_id).encode()
        before, found, _ = event.partition(marker)
        if found and before.replace(b" ", b"") == b"data:{":
            reader.prefix = before + marker
    for no_finish in NO_FINISH_REASONS:
        if no_finish in event:
            reader.no_finish = no_finish
    if not reader.no_finish:
        reader.prefix = b""


def read_choices(reader: Reader, event: bytes, value: dict[str, Any]) -> bytes:
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


def hold(reader: Reader, event: bytes) -> Fault | None:
    """Keep an event until the end of the stream is seen."""
    reader.held.append(event + SEPARATOR)
    reader.held_size_bytes += len(event)
    if reader.held_size_bytes > MAX_HELD_SIZE_BYTES:
        return Fault(FaultKind.TOO_LARGE, "too many events after the finish chunk")
    return None


def keep(reader: Reader, data: bytes) -> None:
    """Keep passed events until their text is wanted, within a bound."""
    if not reader.resumable:
        return
    reader.raw.append(data)
    reader.raw_size_bytes += len(data)
    if reader.raw_size_bytes > RAW_KEPT_SIZE_BYTES:
        pack(reader)


def pack(reader: Reader) -> None:
    """Compress kept events; a stream with too many of them can't be resumed."""
    packed = zlib.compress(b"".join(reader.raw), FASTEST_COMPRESSION)
    reader.raw.clear()
    reader.raw_size_bytes = 0
    reader.packed.append(packed)
    reader.packed_size_bytes += len(packed)
    if reader.packed_size_bytes > PACKED_KEPT_SIZE_BYTES:
        reader.resumable = False
        reader.packed.clear()


def text_so_far(reader: Reader) -> str | None:
    """Return the text passed on in this attempt; None if it can't be resumed."""
    if not reader.resumable:
        return None
    kept = [*map(zlib.decompress, reader.packed), *reader.raw]
    texts: list[str] = []
    for event in b"".join(kept).split(SEPARATOR):
        text = text_of(event)
        if text is None:
            reader.resumable = False
            return None
        texts.append(text)
    return "".join(texts)


def text_of(event: bytes) -> str | None:
    """Return an event's text; None if the event is more than its text."""
    data = data_of(event)
    if data is None:
        return ""
    try:
        choices = json.loads(data)["choices"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not isinstance(choices, list):
        return None
    texts = [text_of_choice(choice) for choice in choices]
    return None if None in texts else "".join(texts)


def text_of_choice(choice: Any) -> str | None:
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
