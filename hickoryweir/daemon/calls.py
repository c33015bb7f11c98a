"""A call in flight: its state, its mailbox and the ends of its attempts."""

import asyncio
import dataclasses

from returns import result

from hickoryweir.callers import interface, requests, sinks
from hickoryweir.engines import assembly
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events

LONG_ANSWER_TOKENS = 64


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """The state of one call, owned by the task that runs it.

    Attributes
    ----------
    request : requests.CallerRequest
        The caller's request.
    sink : sinks.Sink
        Receives a streamed answer.
    mailbox : asyncio.Queue
        Receives the policy core's actions and the ends of attempts.
    winner : int or None
        Attempt whose output is sent to the caller.
    last_writer : int
        Attempt that wrote last; 0 before the first.
    sent_tokens : int
        Tokens already sent to the caller.
    sent_text : str
        Text of these tokens, kept to resume the stream.
    first_token_at_s, last_token_at_s : float
        Monotonic times; 0 before the first token.
    dispatched : bool
        Whether a byte of the call may have reached a backend server.
    claim_proposed : bool
        Whether a claim was proposed; another attempt may hold the key.
    resumable : bool
        Whether the stream can be resumed from the text that was sent.
    is_writing : bool
        Whether a part of the answer is being written to the caller.
    cancelled_attempts : set of int
        Attempts to end after the write in progress, so that no part is lost.
    assembled : assembly.Assembly or None
        Collects a plain answer that engines stream in parts.
    assembled_body : bytes
        Request body that asks for such a stream.
    """

    request: requests.CallerRequest
    sink: sinks.Sink
    mailbox: asyncio.Queue
    winner: int | None = None
    last_writer: int = 0
    sent_tokens: int = 0
    sent_text: str = ""
    first_token_at_s: float = 0.0
    last_token_at_s: float = 0.0
    dispatched: bool = False
    claim_proposed: bool = False
    resumable: bool = True
    is_writing: bool = False
    cancelled_attempts: set[int] = dataclasses.field(default_factory=set)
    assembled: assembly.Assembly | None = None
    assembled_body: bytes = b""


def make_call(request: requests.CallerRequest, sink: sinks.Sink) -> Call:
    """Return a call that has no attempt yet."""
    return Call(request, sink, asyncio.Queue())


def enable_assembly(call: Call) -> None:
    """Request a long plain answer as a stream, so that it can be resumed when cut.

    Running a short answer again costs less than resuming it.
    """
    request = call.request
    is_long = request.request_class.expected_output_tokens >= LONG_ANSWER_TOKENS
    if call.assembled or request.stream or not request.request_class.idempotent:
        return
    body = assembly.streaming_body(request.body) if is_long else None
    if body is not None:
        call.assembled = assembly.make_assembly()
        call.assembled_body = body


def acquire_output(call: Call, attempt: int, resumed_from_tokens: int) -> bool:
    """Return whether an attempt may write to the caller; make it the winner if so.

    The first attempt with output wins.  When the winner has ended, another attempt
    may write only if it resumes exactly after the tokens that were sent.

    Examples
    --------
    >>> call = Call(None, None, None)
    >>> acquire_output(call, 1, 0), acquire_output(call, 2, 0)
    (True, False)
    >>> acquire_output(call, 1, 0)
    True
    """
    if call.winner == attempt:
        return True
    if call.winner is None and call.sent_tokens == resumed_from_tokens:
        call.winner = attempt
        call.last_writer = attempt
        return True
    return False


def has_begun(call: Call) -> bool:
    """Return whether an engine has answered a part of the call."""
    return call.sink.response is not None or call.sent_tokens > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """An attempt received the complete answer."""

    answer: interface.Response
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without a complete answer."""

    cause: events.FailureCause
    ran: refusals.Ran
    output_tokens: int
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The attempt ends the call with a stored answer or a refusal."""

    outcome: result.Result[interface.Response, refusals.Refusal]


AttemptEnd = Finished | Failed | Settled


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Message to the call's mailbox that an attempt ended."""

    attempt: int
    end: AttemptEnd
