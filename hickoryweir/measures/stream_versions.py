"""Measure streams and versions: ``python -m hickoryweir.measures.stream_versions``.

Prints the bytes of messages that tell where streams began, the memory of an entry and
the time of a decision.
"""

import random
import timeit
import tracemalloc

from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.streams import codec

SERVICE, VERSION = "assistant", "v1.2"
BATCH_SIZES = (1, 10, 100, 400)
ENTRIES_COUNT = stream_versions.MAX_ORIGINS_COUNT
DECISIONS_COUNT = 20_000
LIFETIME_S = 24.0
MICROSECONDS_PER_SECOND = 1e6


def print_message_sizes(generator: random.Random) -> None:
    """Print the bytes per stream for batches of several sizes."""
    for count in BATCH_SIZES:
        keys = tuple(generator.getrandbits(64) for _ in range(count))
        message = messages.StreamOrigins(SERVICE, VERSION, keys)
        size_bytes = len(codec.encode(message))
        print(f"batch of {count}: {size_bytes / count:.1f} bytes per stream")


def make_state(generator: random.Random) -> stream_versions.StreamVersions:
    """Return a state with the greatest number of entries."""
    state = stream_versions.StreamVersions()
    for number in range(ENTRIES_COUNT):
        origin = stream_versions.Origin(
            SERVICE,
            VERSION,
            stream_versions.Source.OWN,
            float(number),
            number + ENTRIES_COUNT + LIFETIME_S,
        )
        stream_versions.record_origin(state, generator.getrandbits(64), origin)
    return state


def measure() -> None:
    """Print sizes, memory and times."""
    generator = random.Random(1)
    print_message_sizes(generator)
    tracemalloc.start()
    state = make_state(generator)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {memory_bytes / ENTRIES_COUNT:.0f} bytes per entry")
    now_s = float(ENTRIES_COUNT)
    pairs = [(SERVICE, "v1.1"), (SERVICE, VERSION)]
    stream_versions.record_listed(state, pairs, now_s)
    seconds = timeit.timeit(
        lambda: stream_versions.decide(
            state, SERVICE, 5, now_s, LIFETIME_S, 1.0, pairs
        ),
        number=DECISIONS_COUNT,
    )
    print(f"decision: {seconds / DECISIONS_COUNT * MICROSECONDS_PER_SECOND:.1f} us")


if __name__ == "__main__":
    measure()
