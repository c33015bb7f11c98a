"""A prefix cache of limited size, least recently used out first.

A cache is a tuple of digests, the least recently used first.

Examples
--------
>>> store((1, 2, 3), (2, 4), capacity_blocks=3)
((3, 2, 4), (4,), (1,))
>>> held_blocks((3, 2, 4), (2, 4, 5))
2
"""


def held_blocks(cache: tuple[int, ...], prefix_digests: tuple[int, ...]) -> int:
    """Return how many leading blocks of a prompt the cache holds."""
    held = set(cache)
    for count, digest in enumerate(prefix_digests):
        if digest not in held:
            return count
    return len(prefix_digests)


def store(
    cache: tuple[int, ...], prefix_digests: tuple[int, ...], capacity_blocks: int
) -> tuple[tuple[int, ...], tuple[int, ...], tuple[int, ...]]:
    """Use or add blocks.

    Parameters
    ----------
    cache : tuple of int
        The cache before.
    prefix_digests : tuple of int
        Blocks of a prompt, shortest prefix first.
    capacity_blocks : int
        Blocks that are kept.

    Returns
    -------
    tuple of tuple of int
        The cache after, the blocks that entered and those that left.
    """
    if not prefix_digests:
        return cache, (), ()
    wanted = set(prefix_digests)
    kept = [digest for digest in cache if digest not in wanted]
    stored = tuple(wanted.difference(cache))
    used = [*kept, *prefix_digests]
    excess = max(0, len(used) - capacity_blocks)
    return tuple(used[excess:]), stored, tuple(used[:excess])
