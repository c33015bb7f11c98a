"""Makes the C library return freed buffers to the system.

glibc raises the size from which it maps blocks by themselves with each freed one, up to
32 MB; later buffers then share a heap that never shrinks, and a process that has once
held many responses stays that large.
"""

import ctypes

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
MAPPED_FROM_SIZE_BYTES = 128 * 1024


def return_freed_memory() -> bool:
    """Fix the size from which blocks are mapped; return whether that was possible.

    Examples
    --------
    >>> isinstance(return_freed_memory(), bool)
    True
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    is_set = mallopt(M_MMAP_THRESHOLD, MAPPED_FROM_SIZE_BYTES)
    return bool(is_set and mallopt(M_TRIM_THRESHOLD, MAPPED_FROM_SIZE_BYTES))
