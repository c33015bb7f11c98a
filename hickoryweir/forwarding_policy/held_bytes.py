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

Where room is not divided among accounts, a part of the memory is for the bodies of
requests and another one for responses.  Bodies beyond their part are refused, the less
urgent ones first; small ones have room of their own.  Responses of usual size are
always read; larger ones wait unread until there is room, and the newest of the least
urgent ones is given up once a more urgent or older one has waited for too long.
"""

import dataclasses
from collections.abc import Hashable, Mapping

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
# Where room is not divided among accounts: what a process may take of the memory, with
# what it needs when idle.
MEMORY_SHARE = 0.8
# A response and a body of the largest size fit in any VM.
MIN_PROCESS_SIZE_BYTES = 16 * MB
# Part of the bound of the process that is for the bodies of requests; the rest is for
# responses.
BODIES_SHARE = 0.6
# Room for small bodies alone, in addition to the common room, as a part of it.
SMALL_BODIES_SHARE = 0.1
# Parts of each by priority, which no less urgent body uses.
BODY_SHARES = (0.4, 0.2, 0.4)
# Room for a body without a stated length at first; a body up to this size does not wait
# behind larger ones.
USUAL_BODY_SIZE_BYTES = 128 * KB
# Part of the room for bodies, by priority, up to which what was received of bodies that
# wait for room lets another one wait.
WAITING_BODY_SHARES = (0.3, 0.25, 0.2)
# Leaves time to answer, or to come back to another router.
BODY_WAIT_SHARE = 0.5
# A response of up to this size never waits for room.
USUAL_RESPONSE_SIZE_BYTES = FIRST_STEP_SIZE_BYTES
# The largest response, and one step that shows that another one is larger.
LARGEST_RESPONSE_SIZE_BYTES = 4 * MB + FIRST_STEP_SIZE_BYTES
# What may be received ahead of a response that is read: aiohttp's buffer, and what the
# kernel hands over at once.
LARGE_READ_AHEAD_SIZE_BYTES = 3 * READ_AHEAD_SIZE_BYTES
# A response counts as large with what is held of it beyond this.
USUAL_HELD_SIZE_BYTES = USUAL_RESPONSE_SIZE_BYTES + LARGE_READ_AHEAD_SIZE_BYTES
# Part of the room for large responses that is left to the first of them, if that is
# more than the largest one.
FIRST_RESPONSE_SHARE = 0.25
# For so long the first response waits before others are given up for it one by one.
MAX_WAIT_FOR_ROOM_S = 1.0
GIVE_UP_INTERVAL_S = 0.1
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
    divides_accounts : bool
        Whether room is divided among client accounts, and requests are admitted by the
        size that their responses are expected to have.
    """

    process_size_bytes: int
    account_size_bytes: int
    stream_size_bytes: int
    socket_size_bytes: int
    resident_size_bytes: int
    send_size_bytes: int = 0
    divides_accounts: bool = True

    @property
    def bodies_size_bytes(self) -> int:
        """Return the part for bodies where room is not divided among accounts."""
        return int(BODIES_SHARE * self.process_size_bytes)

    @property
    def small_bodies_size_bytes(self) -> int:
        """Return the room for small bodies only, beside the part for all bodies."""
        return int(SMALL_BODIES_SHARE * self.bodies_size_bytes)

    @property
    def responses_size_bytes(self) -> int:
        """Return the part for responses where room is not divided among accounts."""
        return self.process_size_bytes - self.bodies_size_bytes


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


@dataclasses.dataclass(frozen=True, slots=True)
class BodyDemand:
    """A body that waits for room.

    Attributes
    ----------
    priority : int
        Priority of its request; 0 is the most urgent.
    began_at_s : float
        Time at which its request was received.
    held_size_bytes : int
        What room it has already, as it counts.
    size_bytes : int
        What room it needs, as it counts.
    is_length_known : bool
        Whether this is all that it needs.
    """

    priority: int
    began_at_s: float
    held_size_bytes: int
    size_bytes: int
    is_length_known: bool

    @property
    def rank(self) -> tuple[int, float]:
        """Return the key by which bodies get room: the most urgent, then the oldest."""
        return self.priority, self.began_at_s

    @property
    def is_usual(self) -> bool:
        """Return whether it does not wait behind larger ones."""
        return self.size_bytes <= BODY_COPIES_COUNT * USUAL_BODY_SIZE_BYTES

    @property
    def is_small(self) -> bool:
        """Return whether it may use the room for small bodies."""
        return self.is_length_known and self.is_usual

    def resolve(self, received_size_bytes: int) -> "BodyDemand":
        """Return the demand once the body has been received whole.

        A small one without a stated length then needs no more than that.

        Examples
        --------
        >>> demand = BodyDemand(0, 1.0, 0, 256 * KB, is_length_known=False)
        >>> demand.is_small, demand.resolve(KB).is_small, demand.resolve(KB).size_bytes
        (False, True, 2048)
        >>> demand.resolve(MB).is_small
        False
        """
        if self.is_length_known or received_size_bytes > USUAL_BODY_SIZE_BYTES:
            return self
        size_bytes = BODY_COPIES_COUNT * received_size_bytes
        return dataclasses.replace(self, size_bytes=size_bytes, is_length_known=True)


@dataclasses.dataclass(slots=True)
class Reading:
    """A response that is being read.

    Attributes
    ----------
    priority : int
        Priority of its request; 0 is the most urgent.
    began_at_s : float
        Loop time at which it began to be read.
    size_bytes : int
        What is held or may be held of it, if that is more than usual.
    waits_since_s : float or None
        Loop time since which it waits for room, or is the first of those that do; None
        while it does not.
    is_given_up : bool
        Whether it is given up for others.
    received_size_bytes, received_at_s : int, float
        What had been received of it when this was last looked at, and since when.
    is_idle : bool
        Whether it waits for room although its server has sent nothing for a while.
    """

    priority: int = 0
    began_at_s: float = 0.0
    size_bytes: int = 0
    waits_since_s: float | None = None
    is_given_up: bool = False
    received_size_bytes: int = -1
    received_at_s: float = 0.0
    is_idle: bool = False

    @property
    def rank(self) -> tuple[int, float]:
        """Return what orders responses, the most urgent and oldest first."""
        return self.priority, self.began_at_s


@dataclasses.dataclass(slots=True)
class Estimate:
    """What is held for responses, by the last sum and what was allowed since.

    Attributes
    ----------
    size_bytes : int
        What is held of them beyond the usual.
    all_size_bytes : int
        What is held of them, and of the bodies of requests.
    first : hashable or None
        Key of the most urgent and oldest response that is read.
    summed_at_s : float
        Loop time of the sum.
    given_up_at_s : float
        Loop time at which a response was last given up.
    """

    size_bytes: int = 0
    all_size_bytes: int = 0
    first: Hashable | None = None
    summed_at_s: float = float("-inf")
    given_up_at_s: float = float("-inf")


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


def derive_vm_limits(memory_mb: float, socket_kb: int = 64) -> Limits:
    """Return the bounds of a process that divides no room among accounts.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM.
    socket_kb : int, optional
        Size of the kernel's receive buffer of a socket to a server.

    Examples
    --------
    >>> limits = derive_vm_limits(150.0)
    >>> limits.process_size_bytes // MB, limits.responses_size_bytes // MB
    (48, 19)
    >>> derive_vm_limits(50.0).process_size_bytes // MB
    16
    """
    derived_size_bytes = int((MEMORY_SHARE * memory_mb - IDLE_MEMORY_MB) * MB)
    process_size_bytes = max(MIN_PROCESS_SIZE_BYTES, derived_size_bytes)
    stream_size_bytes = min(
        MAX_STREAM_SIZE_BYTES, process_size_bytes // FULL_STREAMS_COUNT
    )
    return Limits(
        process_size_bytes,
        process_size_bytes,
        max(MIN_STREAM_SIZE_BYTES, stream_size_bytes),
        socket_kb * KB,
        int(MEMORY_SHARE * memory_mb * MB),
        divides_accounts=False,
    )


def fits_body(
    limits: Limits, held_sizes_bytes: Mapping[int, int], size_bytes: int, priority: int
) -> bool:
    """Return whether a body fits beside those of the other requests.

    This answers any load of bodies: whenever one is refused, all less urgent ones are.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    held_sizes_bytes : mapping
        What the bodies of the other requests take, by priority.
    size_bytes : int
        What this one takes.
    priority : int
        Its priority; 0 is the most urgent.

    Examples
    --------
    >>> limits = Limits(1_000, 1_000, 10, 0, 5_000, divides_accounts=False)
    >>> limits.bodies_size_bytes
    600
    >>> [fits_body(limits, {2: 200}, 40, priority) for priority in (0, 1, 2)]
    [True, True, True]
    >>> [fits_body(limits, {2: 200}, 50, priority) for priority in (0, 1, 2)]
    [True, True, False]
    >>> [fits_body(limits, {0: 360, 2: 200}, 50, priority) for priority in (0, 1, 2)]
    [False, False, False]
    >>> fits_body(limits, {}, 600, 2), fits_body(limits, {}, 601, 0)
    (True, False)
    """
    part_size_bytes = limits.bodies_size_bytes
    return _fits_part(part_size_bytes, held_sizes_bytes, size_bytes, priority)


def _fits_part(
    part_size_bytes: int,
    held_sizes_bytes: Mapping[int, int],
    size_bytes: int,
    priority: int,
) -> bool:
    """Return whether a body fits in a part of the memory beside others."""
    total_size_bytes = sum(held_sizes_bytes.values())
    if not total_size_bytes:
        return size_bytes <= part_size_bytes
    kept_size_bytes = sum(
        max(0.0, share * part_size_bytes - held_sizes_bytes.get(urgent, 0))
        for urgent, share in enumerate(BODY_SHARES[: min(priority, 2)])
    )
    return total_size_bytes + size_bytes <= part_size_bytes - kept_size_bytes


def find_small_bodies_with_room(
    limits: Limits,
    held_sizes_bytes: Mapping[int, int],
    demands: Mapping[Hashable, BodyDemand],
) -> dict[Hashable, int]:
    """Return the waiting bodies that have room in the part for small ones.

    This answers small bodies beside any load of larger ones, which hold their room for
    as long as a server takes to read them.  A body without a stated length is small
    once all of it has been received; until then nothing shows that it is.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    held_sizes_bytes : mapping
        What the bodies in that part take, by priority.
    demands : mapping
        The bodies that wait.

    Examples
    --------
    >>> limits = Limits(10 * MB, 10 * MB, 10, 0, 50 * MB, divides_accounts=False)
    >>> small = BodyDemand(0, 2.0, 0, 256 * KB, is_length_known=True)
    >>> large = BodyDemand(0, 1.0, 0, 257 * KB, is_length_known=True)
    >>> unknown = dataclasses.replace(small, is_length_known=False)
    >>> demands = {"large": large, "unknown": unknown, "small": small}
    >>> find_small_bodies_with_room(limits, {}, demands)
    {'small': 262144}
    >>> find_small_bodies_with_room(limits, {0: 500 * KB}, demands)
    {}
    """
    sizes_bytes, granted = dict(held_sizes_bytes), {}
    small = {key: demand for key, demand in demands.items() if demand.is_small}
    for key in sorted(small, key=lambda key: small[key].rank):
        size_bytes, priority = small[key].size_bytes, small[key].priority
        part_size_bytes = limits.small_bodies_size_bytes
        if _fits_part(part_size_bytes, sizes_bytes, size_bytes, priority):
            granted[key] = size_bytes
            sizes_bytes[priority] = sizes_bytes.get(priority, 0) + size_bytes
    return granted


def find_bodies_with_room(
    limits: Limits,
    held_sizes_bytes: Mapping[int, int],
    demands: Mapping[Hashable, BodyDemand],
    largest_size_bytes: int = 0,
    first_rank: tuple[int, float] | None = None,
    unknown_size_bytes: int = 0,
) -> dict[Hashable, int]:
    """Return the waiting bodies that may be read further now, with what room each has.

    This answers more uploads than there is room for: the most urgent and oldest get
    room first, and small ones do not wait behind large ones.  Bodies whose length is
    not known leave the room of the largest body to the first of them, which gets what
    it has received; each other one gets the room of the largest body at once, since
    many that are read in part would leave room to none.  The first one waits for no
    other body that waits, since that one may wait for the room of those behind it.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    held_sizes_bytes : mapping
        What the bodies of all requests take, by priority, with the waiting ones.
    demands : mapping
        The bodies that wait.
    largest_size_bytes : int, optional
        What the largest body takes.
    first_rank : tuple, optional
        Rank of the most urgent and oldest body without a stated length of which a part
        is held.
    unknown_size_bytes : int, optional
        What all bodies without a stated length take that are being read.

    Examples
    --------
    >>> limits = Limits(10 * MB, 10 * MB, 10, 0, 50 * MB, divides_accounts=False)
    >>> later = BodyDemand(0, 2.0, 0, 3 * MB, is_length_known=True)
    >>> demands = {"later": later, "old": dataclasses.replace(later, began_at_s=1.0)}
    >>> find_bodies_with_room(limits, {}, demands)
    {'old': 3145728, 'later': 3145728}
    >>> find_bodies_with_room(limits, {0: MB}, demands)
    {'old': 3145728}
    >>> urgent = BodyDemand(0, 9.0, 0, 5 * MB, is_length_known=True)
    >>> demands = {"old": BodyDemand(1, 1.0, 0, MB, True), "urgent": urgent}
    >>> find_bodies_with_room(limits, {1: 2 * MB}, demands)
    {}
    >>> first = BodyDemand(0, 1.0, MB, 2 * MB, is_length_known=False)
    >>> demands = {"first": first, "second": dataclasses.replace(first, began_at_s=2.0)}
    >>> find_bodies_with_room(limits, {0: 3 * MB}, demands, 4 * MB, first.rank)
    {'first': 2097152}
    >>> demands |= {"large": BodyDemand(0, 0.0, 0, 9 * MB, is_length_known=True)}
    >>> find_bodies_with_room(limits, {0: 3 * MB}, demands, 4 * MB, first.rank)
    {'first': 2097152}
    >>> new = BodyDemand(0, 3.0, 0, 256 * KB, is_length_known=False)
    >>> find_bodies_with_room(limits, {}, {"new": new}, 4 * MB, None, MB)
    {'new': 262144}
    >>> find_bodies_with_room(limits, {}, {"new": new}, 4 * MB, None, 2 * MB)
    {}
    >>> find_bodies_with_room(limits, {}, {"new": new}, 9 * MB)
    {'new': 262144}
    """
    sizes_bytes = dict(held_sizes_bytes)
    granted, is_blocked = {}, False
    for key in sorted(demands, key=lambda key: demands[key].rank):
        demand, priority = demands[key], demands[key].priority
        is_first = not demand.is_length_known and demand.rank == first_rank
        if is_blocked and not (demand.is_usual or is_first):
            continue
        own_size_bytes = sizes_bytes.get(priority, 0) - demand.held_size_bytes
        others = sizes_bytes | {priority: own_size_bytes}
        if demand.is_length_known:
            size_bytes = demand.size_bytes
            has_room = fits_body(limits, others, size_bytes, priority)
        elif is_first:
            size_bytes = demand.size_bytes
            has_room = sum(others.values()) + size_bytes <= limits.bodies_size_bytes
        else:
            size_bytes, has_room = _find_room_beside_first(
                limits, others, demand, largest_size_bytes, unknown_size_bytes
            )
        if has_room:
            granted[key] = size_bytes
            sizes_bytes[priority] = own_size_bytes + size_bytes
            if not demand.is_length_known:
                unknown_size_bytes += size_bytes - demand.held_size_bytes
        elif not demand.is_usual:
            is_blocked = True
    return granted


def _find_room_beside_first(
    limits: Limits,
    others: Mapping[int, int],
    demand: BodyDemand,
    largest_size_bytes: int,
    unknown_size_bytes: int,
) -> tuple[int, bool]:
    """Return the room for a body without a stated length, and whether there is as much.

    The room of the largest body is left to the first body without a stated length.
    """
    if not demand.is_usual:
        fits_two = fits_body(limits, others, 2 * largest_size_bytes, demand.priority)
        return largest_size_bytes, fits_two
    left_size_bytes = limits.bodies_size_bytes - largest_size_bytes
    leaves_room = unknown_size_bytes + demand.size_bytes <= left_size_bytes
    leaves_room |= not unknown_size_bytes
    fits = fits_body(limits, others, demand.size_bytes, demand.priority)
    return demand.size_bytes, leaves_room and fits


def may_wait(limits: Limits, received_size_bytes: int, priority: int) -> bool:
    """Return whether another body may wait for room instead of being refused.

    This answers more uploads than may wait: what was received of those that wait stays
    within a part of the room, and less urgent ones are refused first.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    received_size_bytes : int
        What was received of the bodies that wait.
    priority : int
        Priority of the request; 0 is the most urgent.

    Examples
    --------
    >>> limits = Limits(1_000, 1_000, 10, 0, 5_000, divides_accounts=False)
    >>> [may_wait(limits, 160, priority) for priority in (0, 1, 2)]
    [True, False, False]
    """
    share = WAITING_BODY_SHARES[min(priority, len(WAITING_BODY_SHARES) - 1)]
    return received_size_bytes <= share * limits.bodies_size_bytes


def may_grow(limits: Limits, others_size_bytes: int, received_size_bytes: int) -> bool:
    """Return whether a body without a stated length may wait to be received whole.

    This answers small bodies beside more uploads than may wait: one of which little has
    been received may be small.  Once it has grown it waits as a large one, or is
    refused.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    others_size_bytes : int
        What the room for small bodies holds, with what was received of the other ones
        that wait for this.
    received_size_bytes : int
        What was received of this one.

    Examples
    --------
    >>> limits = Limits(10 * MB, 10 * MB, 10, 0, 50 * MB, divides_accounts=False)
    >>> may_grow(limits, 0, KB), may_grow(limits, 0, 64 * KB), may_grow(limits, MB, KB)
    (True, False, False)
    """
    if received_size_bytes >= READ_AHEAD_SIZE_BYTES:
        return False
    return others_size_bytes + received_size_bytes <= limits.small_bodies_size_bytes


def large_size_bytes(size_bytes: int) -> int:
    """Return how much of what is held of a response is beyond the usual.

    Examples
    --------
    >>> large_size_bytes(100 * KB), large_size_bytes(257 * KB) // KB
    (0, 1)
    """
    return max(0, size_bytes - USUAL_HELD_SIZE_BYTES)


def fits_response(
    limits: Limits, others: Usage, size_bytes: int, is_first: bool = False
) -> bool:
    """Return whether a response may be read up to a size.

    This answers any load of responses: those of usual size are served beside any number
    of larger ones, and one larger one at a time always completes.

    Parameters
    ----------
    limits : Limits
        The bounds, which are not divided among accounts.
    others : Usage
        What is held of all other responses beyond the usual.
    size_bytes : int
        The size.
    is_first : bool, optional
        Whether no response that is read is more urgent, or as urgent and older.

    Examples
    --------
    >>> limits = Limits(100 * MB, 100 * MB, 10, 0, 500 * MB, divides_accounts=False)
    >>> others = Usage(28 * MB, 0, 100 * MB)
    >>> [fits_response(limits, others, size) for size in (MB, 3 * MB)]
    [True, False]
    >>> fits_response(limits, others, 11 * MB, is_first=True)
    True
    >>> fits_response(limits, Usage(90 * MB, 0, 100 * MB), 64 * KB)
    True
    """
    if size_bytes <= USUAL_RESPONSE_SIZE_BYTES:
        return True
    room_size_bytes = limits.responses_size_bytes - others.size_bytes
    room_size_bytes -= large_size_bytes(size_bytes + LARGE_READ_AHEAD_SIZE_BYTES)
    if is_first:
        return room_size_bytes >= 0
    kept_size_bytes = max(
        FIRST_RESPONSE_SHARE * limits.responses_size_bytes, LARGEST_RESPONSE_SIZE_BYTES
    )
    return room_size_bytes >= kept_size_bytes and not _is_resident_high(limits, others)


def find_given_up(
    reading: Mapping[Hashable, Reading], now_s: float, beyond_size_bytes: int = 0
) -> list[Hashable]:
    """Return the keys of the responses to give up for others.

    This answers responses that were read in part and hold the room of a more urgent or
    older one: once the first one has waited for too long, the last one that holds more
    than usual is given up.  While the first one is read, all others wait.  No response
    is given up for one whose server sends nothing.  It also answers more responses than
    there is memory for: the last of those that wait are given up at once.

    Parameters
    ----------
    reading : mapping
        The responses that are read.
    now_s : float
        Loop time.
    beyond_size_bytes : int, optional
        What the process holds beyond its bound.

    Examples
    --------
    >>> reading = {
    ...     "oldest": Reading(1, 0.0, MB, waits_since_s=5.0),
    ...     "newest": Reading(1, 1.0, MB, waits_since_s=5.5),
    ...     "read": Reading(1, 2.0, 0),
    ... }
    >>> find_given_up(reading, 5.9), find_given_up(reading, 6.0)
    ([], ['newest'])
    >>> find_given_up({"urgent": Reading(0, 9.0)} | reading, 99.0)
    []
    >>> idle = dataclasses.replace(reading["oldest"], is_idle=True)
    >>> find_given_up(reading | {"oldest": idle}, 99.0)
    []
    >>> find_given_up(reading, 5.6, 1), find_given_up(reading, 5.6, 3 * MB)
    (['newest'], ['newest'])
    >>> find_given_up({"oldest": reading["oldest"]}, 99.0, MB)
    []
    """
    ranked = sorted(reading, key=lambda key: reading[key].rank)
    given_up = []
    for key in reversed(ranked[1:]):
        if beyond_size_bytes <= 0:
            break
        if reading[key].waits_since_s is not None:
            given_up.append(key)
            beyond_size_bytes -= reading[key].size_bytes
    first = reading[ranked[0]] if ranked else None
    if given_up or first is None:
        return given_up
    if first.waits_since_s is None or first.is_idle:
        return []
    if now_s - first.waits_since_s < MAX_WAIT_FOR_ROOM_S:
        return []
    holding = [key for key in ranked[1:] if large_size_bytes(reading[key].size_bytes)]
    return holding[-1:]


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
