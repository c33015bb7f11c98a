"""One call in flight: its state, its mailbox and what ends an attempt."""

import asyncio
import dataclasses

from returns import result

from hickoryweir.callers import ports, requests, sinks
from hickoryweir.engines import assembly
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events

LONG_ANSWER_TOKENS = 64


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """The state of one call, owned by the task that drives it.

    Attributes
    ----------
    request : requests.CallerRequest
        What is to be answered.
    sink : sinks.Sink
        Where a stream goes.
    mailbox : asyncio.Queue
        Actions of the core and ends of attempts.
    winner : int or None
        Attempt whose output goes to the caller.
    last_writer : int
        Attempt that wrote last; 0 before the first.
    sent_tokens : int
        Tokens already sent to the caller.
    sent_text : str
        Their text, kept for a resume.
    first_token_at_s, last_token_at_s : float
        Monotonic times; 0 before the first token.
    dispatched : bool
        Whether a byte of the call may have reached a backend server.
    claim_proposed : bool
        Whether a claim was proposed; its key may be another attempt's.
    resumable : bool
        Whether the text that was sent is enough to resume from.
    is_writing : bool
        Whether a part of the answer is being written to the caller.
    cancelled_attempts : set of int
        Attempts that end after the write in progress, so that no part is lost.
    assembled : assembly.Assembly or None
        Gets the parts of a plain answer that engines stream.
    assembled_body : bytes
        Body that asks for such a stream.
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
    """Let engines stream a long plain answer, so that a cut one can be resumed.

    A short answer costs less when it is run again.
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
    """Return whether an attempt may write to the caller, and note that it does.

    The first attempt with output wins.  Later attempts may write only if they
    go on from exactly what was sent.

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


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """An attempt has the whole answer."""

    answer: ports.Answer
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without the whole answer."""

    cause: events.FailureCause
    ran: refusals.Ran
    output_tokens: int
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The call is decided without this attempt: stored answer or refusal."""

    outcome: result.Result[ports.Answer, refusals.Refusal]


AttemptEnd = Finished | Failed | Settled


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Message to the call's mailbox: how an attempt ended."""

    attempt: int
    end: AttemptEnd
