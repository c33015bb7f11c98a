"""Calls to model engines and their ends, as values."""

import dataclasses
import json

from hickoryweir.outcomes import refusals
from hickoryweir.policy import events


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt at a model engine.

    Attributes
    ----------
    request_id : str
        Names the call in the cluster; the engine's answer carries it.
    path : str
        Path of the published interface, such as ``/v1/chat/completions``.
    body : bytes
        The caller's body, as it came.
    stream : bool
        Whether the body asks for server-sent events.
    priority : int
        Tier of the class; 0 is the highest.
    resume_tokens, resume_text : int, str
        Tokens that the caller already has, and their text; 0 for a first attempt.
    """

    request_id: str
    path: str
    body: bytes
    stream: bool
    priority: int
    resume_tokens: int = 0
    resume_text: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """Longest waits for a connection and for the next byte."""

    connect_s: float = 1.0
    read_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAnswer:
    """A whole answer that is no stream; the engine's own errors included."""

    status: int
    content_type: str
    body: bytes
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailure:
    """An attempt that ended without its whole answer.

    Attributes
    ----------
    cause : events.FailureCause
        What happened.
    ran : refusals.Ran
        ``NO`` only if no byte of the call was written, or if the engine itself
        said that it did not run it.
    message : str
        One sentence; holds nothing of the body.
    """

    cause: events.FailureCause
    ran: refusals.Ran
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamChunk:
    """Whole server-sent events, ready to be forwarded.

    Attributes
    ----------
    data : bytes
        The events' bytes.
    output_tokens : int
        Tokens in these events alone.
    finished : bool
        Whether finish chunk and ``[DONE]`` are part of ``data``.
    """

    data: bytes
    output_tokens: int
    finished: bool


def request_body(call: EngineCall) -> bytes:
    """Return the body to send: the caller's, with the resume fields if resumed.

    Examples
    --------
    >>> request_body(EngineCall("r1", "/v1/completions", b'{ "a": 1 }', True, 0))
    b'{ "a": 1 }'
    >>> request_body(EngineCall("r1", "/", b'{"a": 1}', True, 0, 2, "x y"))
    b'{"a": 1, "resume_from_tokens": 2, "resume_text": "x y"}'
    """
    if call.resume_tokens == 0:
        return call.body
    body = json.loads(call.body)
    body["resume_from_tokens"] = call.resume_tokens
    body["resume_text"] = call.resume_text
    return json.dumps(body).encode()
