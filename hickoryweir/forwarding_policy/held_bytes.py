"""Bounds on the bytes that a router holds for its clients and servers.

What a router has read and not delivered yet counts towards the memory of its process,
which is killed beyond its limit.  The bounds of a process, of each client account and
of each stream follow from that limit:

- a new request is refused while the process, or the request's account, holds too much,
  the less urgent ones first; it has not run then;
- a response is read only once there is room for all of it, and one of them at a time in
  any case, so that some response always completes;
- a stream for a slow client is buffered up to the bound of a stream, so that its server
  is not stalled, and up to a small part of it while memory is short.

The estimates cover what the router counts; the resident memory of the process is a
second bound for what it does not count.
"""

import dataclasses

KB = 1024
MB = 1024 * 1024
# An idle router has 50 to 68 MB resident.
IDLE_MEMORY_MB = 72.0
# Below this, less would be left for buffers than a few requests take.
MIN_MEMORY_MB = 96.0
# The rest is for pieces of a body beside the whole one and for fragmentation.
HELD_SHARE = 0.4
# aiohttp copies a request's body when it writes it to a server.
BODY_COPIES_COUNT = 2
# Part of the bound of the process that is divided among the accounts which hold
# something, so that one that reads at once is served beside any number of slow ones.
RESERVED_SHARE = 0.25
# Beyond this share of the process's memory nothing new is begun, whatever is counted.
MAX_RESIDENT_SHARE = 0.85
# Free lists keep memory resident that nothing uses; without much held, a high resident
# size is no reason to refuse.
MIN_HELD_SHARE_TO_REFUSE = 0.25
# Objects of one request with its two connections.
REQUEST_OVERHEAD_SIZE_BYTES = 40 * KB
# A parsed request that waits behind another one of its connection.
QUEUED_OVERHEAD_SIZE_BYTES = 4 * KB
# Of a server's response, received ahead of what is forwarded.
READ_AHEAD_SIZE_BYTES = 64 * KB
# A response whose length is not stated is read in steps that double from this.
FIRST_STEP_SIZE_BYTES = 64 * KB
# Pieces in which a stream is forwarded.
PIECE_SIZE_BYTES = 16 * KB
# Expected size of a response on a route that has had none.
UNKNOWN_RESPONSE_SIZE_BYTES = 128 * KB
# Below this, a stream is always buffered; a usual one with 25 events fits.
MIN_STREAM_SIZE_BYTES = 64 * KB
MAX_STREAM_SIZE_BYTES = 1 * MB
# Fewer streams than this with full buffers reach the bound of the process.
FULL_STREAMS_COUNT = 64
# The rest of the pool is left for the responses of requests that were admitted.
ADMISSION_SHARES = (0.9, 0.8, 0.7)
# Clients give up after the route's timeout; one that has read nothing for several of
# them will not read.  A reader of 1 kB/s with a large receive window acknowledges
# nothing for up to 64 s, since the window opens by one segment at a time.
STALL_TIMEOUTS_COUNT = 6
MIN_STALL_TIMEOUT_S = 90.0
# Without the other bounds, the bodies of requests may take this share of the memory.
BODIES_SHARE = 0.5
# Parts of it by priority; none is refused because of the bytes of another one.
BODY_SHARES = (0.5, 0.3, 0.2)
# Weight of the newest response in the expected size of a route's responses.
SIZE_LEARNING_RATE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on held bytes.

    Attributes
    ----------
    process_size_bytes : int
        Bytes held for all requests.
    account_size_bytes : int
        Bytes held for the requests of one client account.
    stream_size_bytes : int
        Bytes of one stream that wait for its client.
    socket_size_bytes : int
        Size of the kernel's receive buffer of a socket, which also bounds what is read
        at once; 0 leaves it to the kernel.
    resident_size_bytes : int
        Resident memory of the process beyond which no request is admitted.
    send_size_bytes : int
        Size of the kernel's send buffer of a client's socket; 0 leaves it to the
        kernel, which takes a few MB that do not count as the process's memory.
    """

    process_size_bytes: int
    account_size_bytes: int
    stream_size_bytes: int
    socket_size_bytes: int
    resident_size_bytes: int
    send_size_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Bytes that a router holds now.

    Attributes
    ----------
    size_bytes, account_size_bytes : int
        For all requests, and for those of the client account in question.
    resident_size_bytes : int
        Resident memory of the process.
    accounts_count : int
        Accounts for which something is held, with the one in question.
    """

    size_bytes: int
    account_size_bytes: int
    resident_size_bytes: int
    accounts_count: int = 1


def derive_limits(
    memory_mb: float,
    process_mb: float = 0.0,
    account_share: float = 0.25,
    stream_kb: int = 0,
    socket_kb: int = 64,
    send_kb: int = 0,
) -> Limits | None:
    """Return the bounds for a memory limit; None if neither it nor a bound is known.

    Parameters
    ----------
    memory_mb : float
        Memory limit of the process; 0 if unknown.
    process_mb : float, optional
        Bound of the process; 0 derives it from the memory limit.
    account_share : float, optional
        Part of the process's bound that one client account may use.
    stream_kb : int, optional
        Bound of one stream; 0 derives it from that of the process.
    socket_kb, send_kb : int, optional
        Sizes of the kernel's receive and send buffers of a socket.

    Examples
    --------
    >>> limits = derive_limits(200.0)
    >>> limits.process_size_bytes // MB, limits.account_size_bytes // MB
    (51, 12)
    >>> limits.stream_size_bytes // KB, limits.resident_size_bytes // MB
    (819, 170)
    >>> derive_limits(0.0) is None
    True
    """
    if not memory_mb and not process_mb:
        return None
    derived_mb = HELD_SHARE * (memory_mb - IDLE_MEMORY_MB)
    process_size_bytes = int((process_mb or derived_mb) * MB)
    stream_size_bytes = stream_kb * KB or min(
        MAX_STREAM_SIZE_BYTES, process_size_bytes // FULL_STREAMS_COUNT
    )
    return Limits(
        process_size_bytes,
        int(account_share * process_size_bytes),
        max(MIN_STREAM_SIZE_BYTES, stream_size_bytes),
        socket_kb * KB,
        int(MAX_RESIDENT_SHARE * memory_mb * MB),
        send_kb * KB,
    )


def fits(
    limits: Limits,
    usage: Usage,
    size_bytes: int,
    share: float = 1.0,
    is_first: bool = False,
) -> bool:
    """Return whether more bytes may be held for a request.

    What an account holds within its guarantee always fits.  Beyond that, accounts share
    a pool, of which each may use a part.

    Parameters
    ----------
    limits : Limits
        The bounds.
    usage : Usage
        What is held now.
    size_bytes : int
        Bytes to be held more.
    share : float, optional
        Part of the pool that may be used.
    is_first : bool, optional
        Whether the request reads its response for longer than all others.  Without an
        exception for it, responses that are read in part would wait for each other.

    Examples
    --------
    >>> limits = Limits(1_000, 300, 10, 0, 5_000)
    >>> [fits(limits, Usage(700, 250, 1_000), size) for size in (50, 51)]
    [True, False]
    >>> fits(limits, Usage(760, 300, 1_000), 0)
    False
    >>> fits(limits, Usage(800, 260, 1_000), 100, is_first=True)
    True
    >>> [fits(limits, Usage(990, 0, 1_000, 5), size) for size in (50, 51)]
    [True, False]
    """
    guaranteed = RESERVED_SHARE * limits.process_size_bytes / usage.accounts_count
    if usage.account_size_bytes + size_bytes <= guaranteed:
        return True
    left_size_bytes = limits.process_size_bytes - usage.size_bytes
    if is_first:
        return size_bytes <= left_size_bytes
    if usage.account_size_bytes + size_bytes > limits.account_size_bytes:
        return False
    pool_size_bytes = (1.0 - RESERVED_SHARE) * limits.process_size_bytes
    if usage.size_bytes + size_bytes > share * pool_size_bytes:
        return False
    return not _is_resident_high(limits, usage)


def admits(limits: Limits, usage: Usage, size_bytes: int, priority: int) -> bool:
    """Return whether a new request of a size is admitted.

    Parameters
    ----------
    limits : Limits
        The bounds.
    usage : Usage
        What is held now.
    size_bytes : int
        Bytes that the request and its response are expected to take.
    priority : int
        Priority of the request; 0 is the most urgent.

    Examples
    --------
    >>> limits, usage = Limits(1_000, 400, 10, 0, 5_000), Usage(600, 200, 1_000)
    >>> [admits(limits, usage, 70, priority) for priority in (0, 1, 2)]
    [True, False, False]
    >>> admits(limits, Usage(200, 200, 5_000), 200, 0)
    True
    >>> admits(limits, Usage(300, 200, 5_000), 200, 0)
    False
    """
    share = ADMISSION_SHARES[min(priority, len(ADMISSION_SHARES) - 1)]
    return fits(limits, usage, size_bytes, share)


def _is_resident_high(limits: Limits, usage: Usage) -> bool:
    """Return whether the process is large because of what it holds."""
    if not limits.resident_size_bytes:
        return False
    if usage.size_bytes < MIN_HELD_SHARE_TO_REFUSE * limits.process_size_bytes:
        return False
    return usage.resident_size_bytes >= limits.resident_size_bytes


def max_bodies_size_bytes(memory_size_bytes: int, priority: int) -> int:
    """Return how much the bodies of all requests with a priority may take.

    Parameters
    ----------
    memory_size_bytes : int
        Memory of the VM.
    priority : int
        The priority; 0 is the most urgent.

    Examples
    --------
    >>> [max_bodies_size_bytes(1_000, priority) for priority in (0, 1, 2, 9)]
    [250, 150, 100, 100]
    """
    share = BODY_SHARES[min(priority, len(BODY_SHARES) - 1)]
    return int(BODIES_SHARE * share * memory_size_bytes)


def stall_timeout_s(route_timeout_s: float) -> float:
    """Return after how long a client that reads nothing is disconnected.

    Examples
    --------
    >>> stall_timeout_s(5.0), stall_timeout_s(60.0)
    (90.0, 360.0)
    """
    return max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUTS_COUNT * route_timeout_s)


def learn_size(known_size_bytes: float, size_bytes: int) -> float:
    """Return the expected size of a route's responses after another one.

    Examples
    --------
    >>> learn_size(0.0, 1_000), learn_size(100.0, 1_100)
    (1000, 200.0)
    """
    if not known_size_bytes:
        return size_bytes
    return known_size_bytes + SIZE_LEARNING_RATE * (size_bytes - known_size_bytes)
