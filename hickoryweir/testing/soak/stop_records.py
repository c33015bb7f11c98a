"""What clients and backend servers record of the requests around planned stops."""

import dataclasses
import random
import time
import zlib

from hickoryweir.testing.soak import stop_delays, wire

GRACE_S = 8.0
# The signal, the close of the listener, and the end of open connections.
SIGNAL_S, LISTENER_CLOSE_S, CONNECTIONS_CLOSE_S = 0.0, 2.6, 7.4
EVENTS_COUNT = 10
# Routes of streams; the requests of one are short, but for those sent late.
STREAM_KINDS = ("stream", "short")


@dataclasses.dataclass(slots=True)
class Plan:
    """What a backend server does with one request.

    Attributes
    ----------
    queue_s : float
        Time until the request starts to run; no byte is sent before.
    work_s : float
        Duration of the run; a stream sends its events over this time.
    silence_s : float
        Pause in the middle of a stream, which adds to its duration.
    refuses, breaks : bool
        Whether the server states that it did not run the request, or resets.
    early : str
        How it answers before it has read the request, one of
        ``stop_backends.EARLY_ENDS``; `silence_s` is the time until the end of a part.
    """

    queue_s: float = 0.0
    work_s: float = 0.05
    silence_s: float = 0.0
    size_bytes: int = 100
    refuses: bool = False
    breaks: bool = False
    early: str = ""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One arrival of a request at a backend server; times of the event loop.

    Attributes
    ----------
    run_s, finished_s : float or None
        When the server began to work on the request, and when its answer was complete.
    broke_off : bool
        Whether the server reset the connection while it had the request.
    left_s : float or None
        When the server no longer had the request.
    """

    server: str
    received_s: float
    run_s: float | None = None
    finished_s: float | None = None
    broke_off: bool = False
    left_s: float | None = None


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a client; times are relative to the signal.

    Attributes
    ----------
    is_whole, is_correct : bool
        Whether the answer was complete, and whether its body was the server's for
        this request.
    sent_bytes : int
        Bytes of the body that a client of large uploads has sent.
    end : str
        How the answer ended; empty while the client still reads.
    before : Request or None
        Request whose answer comes first on the connection.
    is_kept : bool
        Whether the connection has had another request before.
    has_ended_sending : bool
        Whether the client has ended its sending side, and still reads.
    reason : str
        Why the router answered itself with 502; empty for other answers.
    """

    request_id: str
    behaviour: str
    router: str
    plan: Plan
    kind: str = "once"
    sent_s: float = 0.0
    last_byte_s: float | None = None
    status: int = 0
    is_whole: bool = False
    is_correct: bool = True
    received_bytes: int = 0
    sent_bytes: int = 0
    ended_s: float = 0.0
    end: str = ""
    left: bool = False
    before: "Request | None" = None
    is_kept: bool = False
    has_ended_sending: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Target:
    """A router about to be stopped, as its clients see it.

    Attributes
    ----------
    attempts : dict
        Arrivals at backend servers by request id, of all routers.
    exit_s : float or None
        When the process ended, relative to the signal.
    prefix : str
        Tells the ids of its requests from those of another process of the router.
    signal_delay_s : float
        How much later than planned the soak sent the signal.
    kills_successor : bool
        Whether the soak kills the process that follows.
    link_port : int or None
        Port of the link through which clients connect; None without one.
    gaps, soak_gaps : list of Gap
        When the process, and the soak itself, was not scheduled.
    formats : Formats
        Formats of the router.
    """

    host: str
    port: int
    signal_s: float
    generator: random.Random
    attempts: dict[str, list[Attempt]]
    seed: int = 0
    prefix: str = ""
    requests: list[Request] = dataclasses.field(default_factory=list)
    exit_s: float | None = None
    exit_code: int | None = None
    signal_delay_s: float = 0.0
    kills_successor: bool = False
    link_port: int | None = None
    gaps: list[stop_delays.Gap] = dataclasses.field(default_factory=list)
    soak_gaps: list[stop_delays.Gap] = dataclasses.field(default_factory=list)
    formats: wire.Formats = wire.OWN

    def now_s(self) -> float:
        """Return the time since the signal."""
        return time.monotonic() - self.signal_s


def make_body(request_id: str, size_bytes: int) -> bytes:
    """Return the body of the only correct answer to a plain request.

    Examples
    --------
    >>> make_body("r-1", 9)
    b'r-1 r-1 r'
    """
    word = f"{request_id} ".encode()
    return (word * (size_bytes // len(word) + 1))[:size_bytes]


def make_event(request_id: str, plan: Plan, number: int) -> bytes:
    """Return one event of the only correct stream."""
    data = make_body(request_id, plan.size_bytes // EVENTS_COUNT)
    return b"id: %d\ndata: " % number + data + b"\n\n"


def expected_checksum(request: Request) -> int:
    """Return the checksum of the only correct body of a successful answer."""
    if request.kind not in STREAM_KINDS:
        return zlib.crc32(make_body(request.request_id, request.plan.size_bytes))
    checksum = 0
    for number in range(EVENTS_COUNT):
        event = make_event(request.request_id, request.plan, number)
        checksum = zlib.crc32(event, checksum)
    return checksum
