"""What a router knows of the memory of one server; see :mod:`.memory_room`."""

import dataclasses
import math

from hickoryweir.forwarding_policy import server_room


@dataclasses.dataclass(slots=True)
class Memory:
    """Tokens that the other routers' requests take in a server's memory.

    Attributes
    ----------
    others_tokens_count : int
        As of `summed_at_s`, at most.
    summed_at_s : float
        When the sums of all routers last covered the server.
    announced : list of (float, int)
        This router's tokens as it has announced them, with their times, oldest first.
    """

    others_tokens_count: int = 0
    summed_at_s: float = -math.inf
    announced: list[tuple[float, int]] = dataclasses.field(default_factory=list)


def record_announced(memory: Memory, tokens_count: int, now_s: float) -> None:
    """Record this router's tokens as it announces them."""
    if not memory.announced:
        memory.announced.append((-math.inf, 0))
    memory.announced.append((now_s, tokens_count))
    _remove_old(memory, now_s)


def _remove_old(memory: Memory, now_s: float) -> None:
    """Remove announcements that no sum which arrives now can contain."""
    while (
        len(memory.announced) > 1
        and memory.announced[1][0] < now_s - server_room.UNSEEN_S
    ):
        del memory.announced[0]


def record_sum(memory: Memory, tokens_count: int, now_s: float) -> None:
    """Record the tokens of all routers, of which some are this router's own.

    It is not known which of the recent announcements the sum contains; the least one
    leaves the most to the others.

    Examples
    --------
    >>> memory = Memory()
    >>> record_announced(memory, 100, 1.0)
    >>> record_sum(memory, 500, 1.1)
    >>> memory.others_tokens_count
    500
    >>> record_sum(memory, 500, 1.6)
    >>> memory.others_tokens_count
    400
    """
    _remove_old(memory, now_s)
    own = min((count for _, count in memory.announced), default=0)
    memory.others_tokens_count = max(0, tokens_count - own)
    memory.summed_at_s = now_s
