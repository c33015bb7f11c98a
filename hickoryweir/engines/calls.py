"""Types of calls to model engines and of their results."""

import dataclasses
import json
from collections.abc import Callable

import multidict

from hickoryweir.outcomes import refusals
from hickoryweir.policy import events

# Called with the status and headers of each response, before its body is read.
OnHead = Callable[[int, multidict.CIMultiDictProxy], None]


def ignore_head(status: int, headers: multidict.CIMultiDictProxy) -> None:
    """Do nothing with the head of a response."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt at a model engine.

    Attributes
    ----------
    request_id : str
        Identifies the call in the cluster; the engine's response contains it.
    path : str
        Path of the public API, such as ``/v1/chat/completions``.
    body : bytes
        The client's request body, unchanged.
    stream : bool
        Whether the body asks for server-sent events.
    priority : int
        Tier of the request class; 0 is the highest.
    resume_tokens, resume_text : int, str
        Number of tokens that the client already has, and their text; 0 and empty
        for a first attempt.
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
    """Connect timeout, and read timeout between two reads of the socket."""

    connect_timeout_s: float = 1.0
    read_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineResponse:
    """A complete non-streaming response; it may be an error of the engine."""

    status: int
    content_type: str
    body: bytes
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFailure:
    """An attempt that ended without a complete response.

    Attributes
    ----------
    cause : events.FailureCause
        Kind of the failure.
    ran : refusals.Ran
        ``NO`` only if no byte of the call was written, or if the engine stated
        that it did not run the call.
    message : str
        Description in one sentence, without any content of the bodies.
    """

    cause: events.FailureCause
    ran: refusals.Ran
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamChunk:
    """Complete server-sent events, ready to be forwarded.

    Attributes
    ----------
    data : bytes
        Encoded events.
    output_tokens : int
        Number of tokens in these events only.
    finished : bool
        Whether ``data`` includes the finish chunk and ``[DONE]``.
    """

    data: bytes
    output_tokens: int
    finished: bool


def request_body(call: EngineCall) -> bytes:
    """Return the request body, with the resume fields added if the call is resumed.

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
