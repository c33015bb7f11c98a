"""Where a request goes: close to its cached prompt parts, bounded by load.

Answers these loads: prompts that share long parts, so that a part is read by few
engines; long prompts beside short ones, whose tokens wait while a long prompt is
read; and hot parts, which spill over to the next engine.  All routers order the
servers of a prompt alike by rendezvous hashing, so they agree without messages.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
   IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
.. [2] V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
   loads", SODA 2018.
"""

import dataclasses

import xxhash

# Prompts above this read for longer than a short request may wait for a token.
LONG_PROMPT_TOKENS_COUNT = 3_500
# Requests above the least loaded server's at which a prompt goes to its next server.
MAX_EXCESS_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may take a request.

    Attributes
    ----------
    load_count : float
        Requests at it that this router knows of.
    is_suspect : bool
        Whether it failed just now.
    is_near : bool
        Whether it stands in the router's availability zone.
    """

    server_id: str
    load_count: float
    is_suspect: bool = False
    is_near: bool = False


def rank(server_id: str, text: str) -> int:
    """Return the rendezvous weight of a server for a text; the highest is first."""
    return xxhash.xxh64_intdigest(f"{server_id}\n{text}".encode())


def choose_for_prompt(
    candidates: list[Candidate],
    affinity: str,
    prompt_tokens_count: int,
    long_share: float,
) -> Candidate | None:
    """Return the server for a request with a prompt.

    Parameters
    ----------
    candidates : list of Candidate
        Servers that may take it.
    affinity : str
        Id of the prompt part that it shares with others.
    prompt_tokens_count : int
        Length of the prompt.
    long_share : float
        Share of the servers, in an order on which all routers agree, that long
        prompts go to; short ones prefer the rest.
    """
    sound = [item for item in candidates if not item.is_suspect] or candidates
    if not sound:
        return None
    least_count = min(item.load_count for item in sound)
    preferred = _split(sound, prompt_tokens_count, long_share)
    for group in (preferred, sound):
        ordered = sorted(
            group, key=lambda item: rank(item.server_id, affinity), reverse=True
        )
        for item in ordered:
            if item.load_count < least_count + MAX_EXCESS_COUNT:
                return item
    return min(sound, key=lambda item: item.load_count)


def _split(
    candidates: list[Candidate], prompt_tokens_count: int, long_share: float
) -> list[Candidate]:
    if len(candidates) < 2:
        return candidates
    ordered = sorted(candidates, key=lambda item: rank(item.server_id, ""))
    long_count = min(len(ordered) - 1, max(1, round(len(ordered) * long_share)))
    if prompt_tokens_count > LONG_PROMPT_TOKENS_COUNT:
        return ordered[:long_count]
    return ordered[long_count:]


def choose_least_loaded(candidates: list[Candidate], salt: str) -> Candidate | None:
    """Return the least loaded server for a plain call, near ones first.

    `salt` breaks ties differently for each request, so that routers don't herd.
    """
    sound = [item for item in candidates if not item.is_suspect] or candidates
    return min(
        sound,
        key=lambda item: (
            item.load_count,
            not item.is_near,
            rank(item.server_id, salt),
        ),
        default=None,
    )
