"""An LRU prefix cache of limited size.

A cache is a tuple of block digests, the least recently used first.

Examples
--------
>>> insert((1, 2, 3), (2, 4), capacity_blocks=3)
((3, 2, 4), (4,), (1,))
>>> count_cached_blocks((3, 2, 4), (2, 4, 5))
2
"""


def count_cached_blocks(cache: tuple[int, ...], prefix_digests: tuple[int, ...]) -> int:
    """Return how many leading blocks of a prompt are cached."""
    cached = set(cache)
    for count, digest in enumerate(prefix_digests):
        if digest not in cached:
            return count
    return len(prefix_digests)


def insert(
    cache: tuple[int, ...], prefix_digests: tuple[int, ...], capacity_blocks: int
) -> tuple[tuple[int, ...], tuple[int, ...], tuple[int, ...]]:
    """Add blocks or mark them as most recently used, and evict the excess.

    Parameters
    ----------
    cache : tuple of int
        The cache before.
    prefix_digests : tuple of int
        Blocks of a prompt, shortest prefix first.
    capacity_blocks : int
        Maximum number of cached blocks.

    Returns
    -------
    tuple of tuple of int
        The cache after, the blocks added and the blocks evicted.
    """
    if not prefix_digests:
        return cache, (), ()
    prompt_digests = set(prefix_digests)
    unused = [digest for digest in cache if digest not in prompt_digests]
    stored = tuple(prompt_digests.difference(cache))
    blocks = [*unused, *prefix_digests]
    excess = max(0, len(blocks) - capacity_blocks)
    return tuple(blocks[excess:]), stored, tuple(blocks[:excess])
