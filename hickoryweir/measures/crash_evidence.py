"""Measure evidence and grants: ``python -m hickoryweir.measures.crash_evidence``.

Prints the time of a request and of a lost one, the bytes and memory of the evidence on
a part of prompts, and the bytes and time of grants for limited servers.
"""

import random
import timeit
import tracemalloc

from hickoryweir.feeds import evidence, losses, messages
from hickoryweir.forwarding_policy import crash_counts, crashing_parts, server_limits
from hickoryweir.streams import codec

SERVICE = "assistant"
PARTS_PER_PROMPT = 3
REQUESTS_COUNT = 20_000
LOSSES_COUNT = 200
LOST_IN_CRASH_COUNT = 64
GRANTS_COUNT = 2_000
MICROSECONDS_PER_SECOND = 1e6


def make_parts(generator: random.Random) -> tuple[str, ...]:
    """Return the ids of the shared parts of a prompt that was never seen before."""
    return tuple(f"{generator.getrandbits(48):012x}" for _ in range(PARTS_PER_PROMPT))


def make_full_state(generator: random.Random) -> crashing_parts.CrashingParts:
    """Return a state with evidence of one crash on as many parts as it holds."""
    state = crashing_parts.CrashingParts()
    for number in range(crashing_parts.MAX_PARTS_COUNT // PARTS_PER_PROMPT):
        crash = crashing_parts.Crash(f"i-{number:08x}", float(number))
        parts = make_parts(generator)
        crashing_parts.record_loss(state, SERVICE, parts, number, crash)
    return state


def print_time(name: str, action, count: int) -> None:
    """Print the time of one action."""
    seconds = timeit.timeit(action, number=count)
    print(f"{name}: {seconds / count * MICROSECONDS_PER_SECOND:.1f} us")


def measure_requests(generator: random.Random) -> None:
    """Print the times of a request, of a lost request, and the sizes of evidence."""
    tracemalloc.start()
    state = make_full_state(generator)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    parts_count = len(state.evidence)
    print(f"memory: {memory_bytes / parts_count:.0f} bytes a part, {parts_count} parts")
    prompts = [make_parts(generator) for _ in range(1_000)]

    def serve() -> None:
        parts = generator.choice(prompts)
        crashing_parts.find_blocked(state, SERVICE, parts)
        crashing_parts.record_progress(state, SERVICE, parts, 1e6)

    def lose() -> None:
        crash = crashing_parts.Crash("i-crashed", generator.uniform(1e6, 2e6))
        crashing_parts.record_loss(state, SERVICE, make_parts(generator), 1, crash)
        crashing_parts.update_blocked(state)

    print_time("a request with three shared parts", serve, REQUESTS_COUNT)
    print_time("a lost request, with the most evidence", lose, LOSSES_COUNT)


def print_message_size(generator: random.Random) -> None:
    """Print the bytes of the evidence on a part with three crashes."""
    state = crashing_parts.CrashingParts()
    parts = make_parts(generator)
    for number in range(crashing_parts.MIN_CRASHES_COUNT):
        crash = crashing_parts.Crash(f"i-{number:010x}", float(number))
        request = generator.getrandbits(64)
        crashing_parts.record_loss(state, SERVICE, parts, request, crash)
    (message,) = evidence.make_messages(state, state.evidence, 10.0)
    size_bytes = len(codec.encode(message)) / len(parts)
    print(f"evidence: {size_bytes:.0f} bytes a part with three crashes")


def print_losses_size(generator: random.Random) -> None:
    """Print the bytes of a crash's lost requests, and of all that a new router gets."""
    counts = crash_counts.CrashCounts()
    for number in range(crash_counts.MAX_REQUESTS_COUNT):
        crash_number, request = number // LOST_IN_CRASH_COUNT, generator.getrandbits(64)
        server_id = f"i-{crash_number:010x}"
        crash_counts.record_loss(counts, request, server_id, float(crash_number))
    sizes_bytes = [
        len(codec.encode(message)) for message in losses.make_messages(counts, 100.0)
    ]
    print(f"lost requests: {sizes_bytes[0]} bytes for {LOST_IN_CRASH_COUNT} of a crash")
    print(f"lost requests: {sum(sizes_bytes)} bytes for a router that starts, at most")


def measure_grants(generator: random.Random) -> None:
    """Print the bytes of a grant, and the time to issue grants to many routers."""
    grant = messages.ServerGrant("i-0123456789", "10.1.64.8:8362", 1_700_000_000_000, 1)
    size_bytes = len(codec.encode(messages.SendGrants((grant,))))
    print(f"grant: {size_bytes} bytes")
    for routers_count in (30, 300, 1_404):
        limits = server_limits.Limits()
        key = ("i-0123456789", "10.1.64.8:8362", 0)
        server_limits.record(limits, key, server_limits.Limit(10.0, 0.0))
        weights = [1.0] * routers_count
        times = iter(range(GRANTS_COUNT + 1))
        print_time(
            f"grants of a second for one server, {routers_count} routers",
            lambda limits=limits, weights=weights, times=times: server_limits.issue(
                limits, weights, float(next(times)), generator
            ),
            GRANTS_COUNT,
        )


def measure() -> None:
    """Print sizes, memory and times."""
    generator = random.Random(1)
    measure_requests(generator)
    print_message_size(generator)
    print_losses_size(generator)
    measure_grants(generator)


if __name__ == "__main__":
    measure()
