"""Prefix caches of the backend servers, estimated from cache events.

Events arrive with a delay, and some are lost.
"""

from hickoryweir.policy import events, state

PREFIXES_PER_SERVER_MAX_COUNT = 4096
INDEX_MAX_COUNT = 16_384


def apply(server: state.Server, event: events.CacheChanged) -> None:
    """Apply a cache event; after a gap in the sequence, drop the older half."""
    expected = server.cache_sequence
    server.cache_sequence = event.sequence
    if expected is not None and event.sequence > expected + 1:
        _drop_oldest(server, len(server.prefixes) // 2)
    for digest in event.removed:
        server.prefixes.pop(digest, None)
    _store(server, event.stored)


def record_sent(core: state.Core, server: state.Server, call: state.Call) -> None:
    """Assume that a call's prefix will be cached where it was sent."""
    digests = call.arrived.prefix_digests
    _store(server, digests)
    index = core.prefix_servers
    for digest in digests:
        index.pop(digest, None)
        index[digest] = server
    while len(index) > INDEX_MAX_COUNT:
        del index[next(iter(index))]


def last_server(
    core: state.Core, prefix_digests: tuple[int, ...]
) -> state.Server | None:
    """Return the server to which the longest known prefix was last sent."""
    for digest in reversed(prefix_digests):
        server = core.prefix_servers.get(digest)
        if server is not None:
            return server
    return None


def matched_blocks(server: state.Server, prefix_digests: tuple[int, ...]) -> int:
    """Return how many leading blocks of a prompt a backend server has cached."""
    prefixes = server.prefixes
    for count in range(len(prefix_digests), 0, -1):
        if prefix_digests[count - 1] in prefixes:
            return count
    return 0


def clear(server: state.Server) -> None:
    """Clear the prefixes of a backend server after its crash."""
    server.prefixes.clear()
    server.cache_sequence = None


def _store(server: state.Server, digests: tuple[int, ...]) -> None:
    for digest in digests:
        server.prefixes[digest] = None
        server.prefixes.move_to_end(digest)
    _drop_oldest(server, len(server.prefixes) - PREFIXES_PER_SERVER_MAX_COUNT)


def _drop_oldest(server: state.Server, count: int) -> None:
    for _ in range(count):
        server.prefixes.popitem(last=False)
