"""Tests of the bounds on held bytes where room is not divided among accounts."""

import random

import pytest

from hickoryweir.forwarding_policy import held_bytes

MEMORY_MB = (50.0, 96.0, 128.0, 150.0, 300.0)
PRIORITIES = (0, 1, 2, 5)
DRAWS_COUNT = 3_000
LARGEST_BODY_SIZE_BYTES = 4 * held_bytes.MB
LARGEST_SIZE_BYTES = 4 * held_bytes.MB
RESPONSES_COUNT = 60
TICK_S = 0.02
# What a server sends in that time.
SENT_SIZE_BYTES = 256 * held_bytes.KB
MAX_TICKS_COUNT = 20_000


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_bodies_stay_within_their_part_and_urgent_ones_are_refused_last(memory_mb):
    """Guards against bodies that fill the memory, or keep out more urgent ones."""
    limits = held_bytes.derive_vm_limits(memory_mb)
    part_size_bytes = limits.bodies_size_bytes
    generator = random.Random(memory_mb)
    held, open_bodies = dict.fromkeys(PRIORITIES, 0), []
    for _ in range(DRAWS_COUNT):
        if open_bodies and generator.random() < 0.45:
            priority, size_bytes = open_bodies.pop(
                generator.randrange(len(open_bodies))
            )
            held[priority] -= size_bytes
            continue
        size_bytes = int(LARGEST_BODY_SIZE_BYTES * generator.random() ** 4)
        verdicts = [
            held_bytes.fits_body(limits, held, size_bytes, priority)
            for priority in PRIORITIES
        ]
        assert verdicts == sorted(verdicts, reverse=True)
        if held[0] + size_bytes <= held_bytes.BODY_SHARES[0] * part_size_bytes:
            assert verdicts[0]
        priority = generator.choice(PRIORITIES)
        if verdicts[PRIORITIES.index(priority)]:
            held[priority] += size_bytes
            open_bodies.append((priority, size_bytes))
        assert sum(held.values()) <= part_size_bytes


@pytest.mark.parametrize("memory_mb", [128.0, 150.0, 300.0])
@pytest.mark.parametrize("priority", PRIORITIES)
def test_largest_body_alone_fits_in_any_vm(memory_mb, priority):
    """Guards against a request that is refused where nothing is held."""
    limits = held_bytes.derive_vm_limits(memory_mb)
    size_bytes = held_bytes.BODY_COPIES_COUNT * LARGEST_BODY_SIZE_BYTES
    assert held_bytes.fits_body(limits, {}, size_bytes, priority)


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("priority", PRIORITIES)
def test_small_body_does_not_wait_while_large_ones_hold_all_room(memory_mb, priority):
    """Guards against small calls that wait for uploads which hold all room."""
    limits = held_bytes.derive_vm_limits(memory_mb)
    size_bytes = held_bytes.BODY_COPIES_COUNT * held_bytes.KB
    small = held_bytes.BodyDemand(priority, 9.0, 0, size_bytes, is_length_known=True)
    large = held_bytes.BodyDemand(0, 1.0, 0, held_bytes.MB, is_length_known=True)
    demands = {"large": large, "small": small}
    granted = held_bytes.find_small_bodies_with_room(limits, {}, demands)
    assert granted == {"small": size_bytes}
    del demands["small"]
    largest_size_bytes = held_bytes.BODY_COPIES_COUNT * LARGEST_BODY_SIZE_BYTES
    held_sizes_bytes = {0: limits.bodies_size_bytes}
    assert not held_bytes.find_bodies_with_room(
        limits, held_sizes_bytes, demands, largest_size_bytes
    )


def draw_responses(generator, states_length):
    """Return sizes, and records in the order of arrival."""
    sizes = [
        int(LARGEST_SIZE_BYTES * generator.random() ** 2)
        for _ in range(RESPONSES_COUNT)
    ]
    reading = {
        key: held_bytes.Reading(generator.choice(PRIORITIES), float(key))
        for key in range(RESPONSES_COUNT)
    }
    first_steps = [
        size if states_length else held_bytes.FIRST_STEP_SIZE_BYTES for size in sizes
    ]
    return sizes, reading, first_steps


def held_large(allowed):
    """Return what is held of responses beyond the usual, with what comes ahead."""
    ahead_size_bytes = held_bytes.LARGE_READ_AHEAD_SIZE_BYTES
    return sum(
        held_bytes.large_size_bytes(size + ahead_size_bytes)
        for size in allowed.values()
    )


def grant(limits, allowed, size_bytes, key, is_first):
    """Return up to which size a response may be read; None if it has to wait."""
    usage = held_bytes.Usage(held_large(allowed | {key: 0}), 0, 0)
    if held_bytes.fits_response(limits, usage, size_bytes):
        return size_bytes
    size_bytes = held_bytes.LARGEST_RESPONSE_SIZE_BYTES
    if is_first and held_bytes.fits_response(limits, usage, size_bytes, is_first):
        return size_bytes
    return None


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("states_length", [True, False])
def test_sound_responses_at_once_all_complete_within_their_part(
    memory_mb, states_length
):
    """Guards against responses that wait for each other, and against lost ones."""
    limits = held_bytes.derive_vm_limits(memory_mb)
    generator = random.Random(memory_mb)
    sizes, reading, wanted = draw_responses(generator, states_length)
    allowed, received = dict.fromkeys(reading, 0), dict.fromkeys(reading, 0)
    completed, known_first = set(), None
    for tick in range(MAX_TICKS_COUNT):
        for key in tuple(reading):
            first = min(reading, key=lambda other: reading[other].rank)
            if received[key] >= allowed[key]:
                granted = grant(limits, allowed, wanted[key], key, key == first)
                if states_length and granted is not None:
                    granted = wanted[key]
                if granted is None:
                    reading[key].waits_since_s = reading[key].waits_since_s or (
                        tick * TICK_S
                    )
                    continue
                reading[key].waits_since_s = None
                reading[key].size_bytes = allowed[key] = granted
                wanted[key] = min(2 * granted, held_bytes.LARGEST_RESPONSE_SIZE_BYTES)
            received[key] += min(SENT_SIZE_BYTES, allowed[key] - received[key])
            if received[key] >= sizes[key]:
                completed.add(key)
                allowed[key] = 0
                del reading[key]
        assert held_large(allowed) <= limits.responses_size_bytes
        if not reading:
            break
        first = min(reading, key=lambda other: reading[other].rank)
        if first != known_first and reading[first].waits_since_s is not None:
            reading[first].waits_since_s = (tick + 1) * TICK_S
        known_first = first
        assert not held_bytes.find_given_up(reading, tick * TICK_S)
    assert len(completed) == RESPONSES_COUNT


def test_usual_response_is_read_however_much_is_held():
    """Guards against small calls that wait for the large responses of others."""
    limits = held_bytes.derive_vm_limits(128.0)
    usage = held_bytes.Usage(10 * limits.process_size_bytes, 0, 1_000 * held_bytes.MB)
    size_bytes = held_bytes.USUAL_RESPONSE_SIZE_BYTES
    assert held_bytes.fits_response(limits, usage, size_bytes)
    assert not held_bytes.fits_response(limits, usage, size_bytes + 1)
