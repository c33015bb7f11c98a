"""Calls to the stand-in engine: request parsing and OpenAI-compatible responses."""

import dataclasses
import enum
import json
import time
import zlib
from typing import Any

import pydantic

from hickoryweir.engines import prefixes
from hickoryweir.testing import engine_model, texts

CHARACTERS_PER_TOKEN = 4
MIN_OUTPUT_TOKENS = 8
OUTPUT_SPREAD_TOKENS = 25


class Endpoint(enum.Enum):
    """The endpoint that a call uses, by the ``object`` field of its response."""

    CHAT = "chat.completion"
    TEXT = "text_completion"


class Body(pydantic.BaseModel):
    """The fields of a request body that the stand-in uses; others are ignored."""

    model: str
    stream: bool = False
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream_options: dict[str, Any] | None = None
    resume_from_tokens: int = pydantic.Field(default=0, ge=0)
    resume_text: str = ""
    stand_in_output_tokens: int | None = pydantic.Field(default=None, ge=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated call, with the length of the answer that it will get."""

    request_id: str
    endpoint: Endpoint
    model: str
    stream: bool
    include_usage: bool
    prompt_text: str
    prompt_tokens: int
    output_tokens: int
    resume_tokens: int
    priority: int
    created_s: int

    @property
    def completion_id(self) -> str:
        """Return the ``id`` field of the response."""
        prefix = "chatcmpl-" if self.endpoint is Endpoint.CHAT else "cmpl-"
        return prefix + self.request_id


def make_call(request_id: str, endpoint: Endpoint, priority: int, raw: bytes) -> Call:
    """Parse and validate a request body.

    Raises
    ------
    ValueError
        The body is not JSON, or a field is missing or invalid.
    """
    decoded = json.loads(raw)
    body = Body.model_validate(decoded)
    text = prefixes.prompt_text(decoded)
    return Call(
        request_id=request_id,
        endpoint=endpoint,
        model=body.model,
        stream=body.stream,
        include_usage=bool((body.stream_options or {}).get("include_usage")),
        prompt_text=text,
        prompt_tokens=len(text) // CHARACTERS_PER_TOKEN + 1,
        output_tokens=output_tokens(body, text),
        resume_tokens=body.resume_from_tokens,
        priority=priority,
        created_s=int(time.time()),
    )


def output_tokens(body: Body, prompt_text: str) -> int:
    """Return the answer's length: as requested, else from the prompt's checksum."""
    spread = zlib.crc32(prompt_text.encode()) % OUTPUT_SPREAD_TOKENS
    length_tokens = body.stand_in_output_tokens or MIN_OUTPUT_TOKENS + spread
    limit = body.max_completion_tokens or body.max_tokens or length_tokens
    return max(1, min(length_tokens, limit))


def make_submit_event(call: Call) -> engine_model.Submit:
    """Return the engine model's event for a new call."""
    return engine_model.Submit(
        request_id=call.request_id,
        priority=call.priority,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix_digests=prefixes.digest_text(call.prompt_text),
        resumed_tokens=min(call.resume_tokens, call.output_tokens),
    )


def encode_event(value: object) -> bytes:
    """Encode a JSON value as a server-sent event."""
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def role_event(call: Call) -> bytes:
    """Return the first event of a chat stream."""
    return _chunk(call, {"role": "assistant", "content": ""}, "", None)


def token_events(call: Call, first: int, last: int) -> bytes:
    """Return the events of tokens ``first`` up to, not including, ``last``."""
    events = []
    for index in range(first, last):
        text = texts.token_text(call.request_id, index, call.output_tokens)
        events.append(_chunk(call, {"content": text}, text, None))
    return b"".join(events)


def final_events(call: Call) -> bytes:
    """Return the finish chunk, the usage chunk if requested, and ``[DONE]``."""
    events = [_chunk(call, {}, "", "stop")]
    if call.include_usage:
        chunk = _envelope(call, chunk=True) | {"choices": [], "usage": _usage(call)}
        events.append(encode_event(chunk))
    return b"".join([*events, b"data: [DONE]\n\n"])


def answer_body(call: Call) -> bytes:
    """Return the response body of a call without streaming."""
    text = texts.answer_text(call.request_id, call.output_tokens)
    choice: dict[str, Any] = {"index": 0, "logprobs": None, "finish_reason": "stop"}
    if call.endpoint is Endpoint.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    envelope = _envelope(call, chunk=False)
    return json.dumps(envelope | {"choices": [choice], "usage": _usage(call)}).encode()


def _envelope(call: Call, *, chunk: bool) -> dict[str, Any]:
    kind = call.endpoint.value
    if chunk and call.endpoint is Endpoint.CHAT:
        kind += ".chunk"
    return {
        "id": call.completion_id,
        "object": kind,
        "created": call.created_s,
        "model": call.model,
    }


def _chunk(
    call: Call, delta: dict[str, str], text: str, finish_reason: str | None
) -> bytes:
    choice: dict[str, Any] = {"index": 0}
    if call.endpoint is Endpoint.CHAT:
        choice["delta"] = delta
    else:
        choice["text"] = text
    choice |= {"logprobs": None, "finish_reason": finish_reason}
    return encode_event(_envelope(call, chunk=True) | {"choices": [choice]})


def _usage(call: Call) -> dict[str, int]:
    return {
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": call.output_tokens,
        "total_tokens": call.prompt_tokens + call.output_tokens,
    }
