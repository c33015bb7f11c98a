"""Assembles the response to a non-streaming call from a stream.

A non-streaming call that fails has to be run again from its first token.  If the
router requests a stream instead and assembles the response, it can resume the call
after the tokens that it has received.

Examples
--------
>>> assembly = make_assembly()
>>> for text, reason in (("a", "null"), ("b", '"stop"')):
...     choice = '{"index":0,"text":"%s","finish_reason":%s}' % (text, reason)
...     add_events(assembly, b'data: {"id":"cmpl-1","choices":[%b]}' % choice.encode())
>>> assembled_response(assembly)["choices"]
[{'index': 0, 'text': 'ab', 'finish_reason': 'stop'}]
"""

import dataclasses
import json
from typing import Any

from hickoryweir.engines import events_reader

CHUNK_SUFFIX = ".chunk"
UNSUPPORTED_FIELDS = frozenset(
    {
        "audio",
        "best_of",
        "echo",
        "function_call",
        "functions",
        "logprobs",
        "modalities",
        "response_format",
        "stream_options",
        "tool_choice",
        "tools",
        "top_logprobs",
    }
)


@dataclasses.dataclass(slots=True, eq=False)
class Assembly:
    """A partially assembled response.

    Attributes
    ----------
    envelope : dict
        Fields of the response, except its choices.
    choice : dict
        Fields of the only choice, except its message.
    message : dict
        Fields of the chat message; empty for completions.
    texts : dict
        Fragments of each text field of the message or choice.
    """

    envelope: dict[str, Any] = dataclasses.field(default_factory=dict)
    choice: dict[str, Any] = dataclasses.field(default_factory=dict)
    message: dict[str, Any] = dataclasses.field(default_factory=dict)
    texts: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    is_chat: bool = False


def make_assembly() -> Assembly:
    """Return an empty response."""
    return Assembly()


def streaming_body(body: bytes) -> bytes | None:
    """Convert the body of a non-streaming call to that of a streaming call.

    Parameters
    ----------
    body : bytes
        The client's request body.

    Returns
    -------
    bytes or None
        None if the body is invalid or its response can't be assembled from a stream.

    Examples
    --------
    >>> streaming_body(b'{"model": "m", "tools": []}') is None
    False
    >>> streaming_body(b'{"model": "m", "n": 2}') is None
    True
    """
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(decoded, dict) or decoded.get("n") not in (None, 1):
        return None
    if any(decoded.get(name) for name in UNSUPPORTED_FIELDS):
        return None
    overrides = {"stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(decoded | overrides).encode()


def add_events(assembly: Assembly, data: bytes) -> None:
    """Add complete events that the reader has validated."""
    for event in data.split(events_reader.SEPARATOR):
        text = events_reader.event_data(event)
        if text is not None and text != events_reader.DONE:
            add_event(assembly, json.loads(text))


def add_event(assembly: Assembly, value: dict[str, Any]) -> None:
    """Add one decoded event."""
    choices = value.pop("choices")
    for name, field in value.items():
        if field is not None:
            assembly.envelope.setdefault(name, field)
    if value.get("usage"):
        assembly.envelope["usage"] = value["usage"]
    for choice in choices:
        delta = choice.pop("delta", None)
        if isinstance(delta, dict):
            assembly.is_chat = True
            merge_fields(assembly, assembly.message, delta)
        merge_fields(assembly, assembly.choice, choice)


def merge_fields(
    assembly: Assembly, target: dict[str, Any], fields: dict[str, Any]
) -> None:
    """Concatenate text fields; of other fields, keep the last value."""
    for name, field in fields.items():
        if isinstance(field, str) and name not in ("role", "finish_reason"):
            assembly.texts.setdefault(name, []).append(field)
            target[name] = ""
        elif field is not None or name not in target:
            target[name] = field


def assembled_response(assembly: Assembly) -> dict[str, Any]:
    """Return the response in the format of a non-streaming one."""
    for name, parts in assembly.texts.items():
        target = assembly.message if name in assembly.message else assembly.choice
        target[name] = "".join(parts)
    choice = dict(assembly.choice)
    if assembly.is_chat:
        choice["message"] = {"role": "assistant", "content": ""} | assembly.message
    envelope = dict(assembly.envelope)
    object_type = str(envelope.get("object", ""))
    envelope["object"] = object_type.removesuffix(CHUNK_SUFFIX)
    return envelope | {"choices": [choice]}


def assembled_body(assembly: Assembly) -> bytes:
    """Return the response as JSON text."""
    return json.dumps(assembled_response(assembly)).encode()
