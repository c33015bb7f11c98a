"""A simulated model engine with continuous batching, as pure functions.

The caller passes the time: the stand-in (:mod:`hickoryweir.testing.engine`) uses
the monotonic clock, experiments use simulated time.  Sequences wait in order of
priority, are prefilled one after the other, then decode together at a rate that
falls as the batch grows.  A waiting sequence of higher priority preempts a running
one, which later prefills its prompt and its output so far again.  Prefixes of whole
blocks are kept in an LRU cache of limited size.

All decoding sequences have the same rate, so the state has one work counter
(tokens decoded by each sequence) instead of a counter per sequence.

Examples
--------
>>> settings = EngineModelSettings(decode_tokens_per_s=10.0)
>>> state = make_state()
>>> call = Submit("r1", 0, prompt_tokens=200, output_tokens=11, prefix_digests=())
>>> state, outputs = step(settings, state, call, 0.0)
>>> next_change_s(settings, state)
0.1
>>> state, outputs = step(settings, state, Advance(), 0.1)
>>> outputs
(FirstToken(request_id='r1', at_s=0.1),)
>>> state, outputs = step(settings, state, Advance(), 2.0)
>>> outputs
(Finished(request_id='r1', at_s=1.1),)
"""

import dataclasses
import math

from hickoryweir.testing import prefix_cache

ROUNDING_TOLERANCE_TOKENS = 1e-6  # absorbs floating-point errors in token counts


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModelSettings:
    """Speed and limits of an engine.

    Attributes
    ----------
    decode_tokens_per_s : float
        Decode rate of a sequence that runs alone.
    batch_slowdown : float
        In a batch of ``n``, each sequence decodes ``1 + batch_slowdown * (n - 1)``
        times slower than alone.
    prefill_tokens_per_s : float
        Prefill rate of uncached tokens.
    decode_share_in_prefill : float
        Share of the decode rate that remains while a sequence is prefilled.
    max_batch : int
        Maximum number of running sequences, prefilling ones included.
    block_tokens, cache_capacity_blocks : int
        Size of a prefix block and maximum number of cached blocks.
    preempts : bool
        Whether sequences of higher priority preempt running ones.
    """

    decode_tokens_per_s: float = 50.0
    batch_slowdown: float = 0.05
    prefill_tokens_per_s: float = 2000.0
    decode_share_in_prefill: float = 0.7
    max_batch: int = 16
    block_tokens: int = 64
    cache_capacity_blocks: int = 512
    preempts: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """A call arrives; ``resumed_tokens`` of its output exist already.

    Lower ``priority`` numbers are served first.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix_digests: tuple[int, ...]
    resumed_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """A sequence is cancelled."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ImportPrefixes:
    """Prefix blocks are imported from another engine."""

    prefix_digests: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SetSpeed:
    """The engine slows down (factor below 1) or returns to full speed (1)."""

    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """Time has passed."""


Event = Submit | Cancel | ImportPrefixes | SetSpeed | Advance


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The prefill of a sequence has ended and produced its next token."""

    request_id: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """A sequence has produced all its tokens."""

    request_id: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preempted:
    """A running sequence went back to the queue; ``tokens`` are produced so far."""

    request_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """Prefix blocks were added to the cache or evicted from it."""

    stored: tuple[int, ...]
    removed: tuple[int, ...]


Output = FirstToken | Finished | Preempted | CacheChanged


@dataclasses.dataclass(frozen=True, slots=True)
class Sequence:
    """One call in the engine.

    Attributes
    ----------
    arrival_index : int
        Order of arrival among all calls.
    produced_tokens : int
        Output tokens at the start of the current decode phase, resumed tokens
        included.
    started_at_work_tokens : float
        The engine's work counter at the start of the current decode phase.
    """

    call: Submit
    arrival_index: int
    produced_tokens: int
    remaining_prefill_tokens: float = 0.0
    started_at_work_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of an engine; ``cache`` has the least recently used block first."""

    now_s: float
    speed_factor: float
    next_arrival_index: int
    work_tokens: float
    waiting: tuple[Sequence, ...]
    prefilling: tuple[Sequence, ...]
    decoding: tuple[Sequence, ...]
    cache: tuple[int, ...]


def make_state(now_s: float = 0.0) -> State:
    """Return the state of an idle engine with an empty cache."""
    return State(now_s, 1.0, 0, 0.0, (), (), (), ())


def running_count(state: State) -> int:
    """Return the number of sequences in the batch."""
    return len(state.prefilling) + len(state.decoding)


def cache_used_share(settings: EngineModelSettings, state: State) -> float:
    """Return the used share of the prefix cache, from 0 to 1."""
    return len(state.cache) / max(1, settings.cache_capacity_blocks)


def decode_rate_tokens_per_s(settings: EngineModelSettings, state: State) -> float:
    """Return the current decode rate of each decoding sequence."""
    if not state.decoding:
        return 0.0
    slowdown = 1.0 + settings.batch_slowdown * (len(state.decoding) - 1)
    rate = settings.decode_tokens_per_s * state.speed_factor / slowdown
    return rate * settings.decode_share_in_prefill if state.prefilling else rate


def produced_tokens(state: State, sequence: Sequence) -> int:
    """Return the number of output tokens that a decoding sequence has now."""
    decoded = state.work_tokens - sequence.started_at_work_tokens
    tokens = sequence.produced_tokens + int(decoded + ROUNDING_TOLERANCE_TOKENS)
    return min(tokens, sequence.call.output_tokens)


def next_change_s(settings: EngineModelSettings, state: State) -> float:
    """Return the time at which the next prefill or sequence ends; inf if idle."""
    times = [math.inf]
    if state.prefilling:
        rate = settings.prefill_tokens_per_s * state.speed_factor
        times.append(_duration_s(state.prefilling[0].remaining_prefill_tokens, rate))
    if state.decoding:
        left = min(_remaining_tokens(state, sequence) for sequence in state.decoding)
        times.append(_duration_s(left, decode_rate_tokens_per_s(settings, state)))
    return state.now_s + min(times)


def step(
    settings: EngineModelSettings, state: State, event: Event, now_s: float
) -> tuple[State, tuple[Output, ...]]:
    """Advance the engine to a time and apply an event.

    Parameters
    ----------
    settings : EngineModelSettings
        Speed and limits.
    state : State
        State before the event.
    event : Event
        Event at ``now_s``.
    now_s : float
        Time of the event, not before ``state.now_s``.

    Returns
    -------
    tuple of State and tuple of Output
        State after the event, and the outputs in order.
    """
    outputs: list[Output] = []
    while (change_s := next_change_s(settings, state)) <= now_s:
        state = _advance_to(settings, state, change_s)
        state = _end_prefill(state, outputs)
        state = _end_sequences(state, outputs)
        state = _fill_batch(settings, state, outputs)
    state = _advance_to(settings, state, max(now_s, state.now_s))
    state = _apply_event(settings, state, event, outputs)
    state = _fill_batch(settings, state, outputs)
    return state, tuple(outputs)


def _duration_s(tokens: float, rate_tokens_per_s: float) -> float:
    if tokens <= 0.0:
        return 0.0
    return tokens / rate_tokens_per_s if rate_tokens_per_s > 0.0 else math.inf


def _remaining_tokens(state: State, sequence: Sequence) -> float:
    decoded = state.work_tokens - sequence.started_at_work_tokens
    left = sequence.call.output_tokens - sequence.produced_tokens - decoded
    return left if left > ROUNDING_TOLERANCE_TOKENS else 0.0


def _advance_to(settings: EngineModelSettings, state: State, now_s: float) -> State:
    passed_s = now_s - state.now_s
    decoded = passed_s * decode_rate_tokens_per_s(settings, state)
    prefilling = state.prefilling
    if prefilling:
        head = prefilling[0]
        read = passed_s * settings.prefill_tokens_per_s * state.speed_factor
        left = max(0.0, head.remaining_prefill_tokens - read)
        if left < ROUNDING_TOLERANCE_TOKENS:
            left = 0.0
        head = dataclasses.replace(head, remaining_prefill_tokens=left)
        prefilling = (head, *prefilling[1:])
    return dataclasses.replace(
        state,
        now_s=now_s,
        work_tokens=state.work_tokens + decoded,
        prefilling=prefilling,
    )


def _end_prefill(state: State, outputs: list[Output]) -> State:
    if not state.prefilling or state.prefilling[0].remaining_prefill_tokens > 0.0:
        return state
    head, *rest = state.prefilling
    outputs.append(FirstToken(head.call.request_id, state.now_s))
    started = dataclasses.replace(
        head,
        produced_tokens=min(head.produced_tokens + 1, head.call.output_tokens),
        started_at_work_tokens=state.work_tokens,
    )
    return dataclasses.replace(
        state, prefilling=tuple(rest), decoding=(*state.decoding, started)
    )


def _end_sequences(state: State, outputs: list[Output]) -> State:
    ended = [s for s in state.decoding if _remaining_tokens(state, s) <= 0.0]
    if not ended:
        return state
    outputs.extend(Finished(s.call.request_id, state.now_s) for s in ended)
    decoding = tuple(s for s in state.decoding if s not in ended)
    return dataclasses.replace(state, decoding=decoding)


def _apply_event(
    settings: EngineModelSettings, state: State, event: Event, outputs: list[Output]
) -> State:
    match event:
        case Submit():
            sequence = Sequence(event, state.next_arrival_index, event.resumed_tokens)
            state = dataclasses.replace(
                state, next_arrival_index=state.next_arrival_index + 1
            )
            return _enqueue(state, sequence)
        case Cancel(request_id):
            return _remove(state, request_id)
        case ImportPrefixes(prefix_digests):
            return _store_prefixes(settings, state, prefix_digests, outputs)
        case SetSpeed(factor):
            return dataclasses.replace(state, speed_factor=factor)
        case Advance():
            return state


def _scheduling_key(sequence: Sequence) -> tuple[int, int]:
    return sequence.call.priority, sequence.arrival_index


def _enqueue(state: State, sequence: Sequence) -> State:
    waiting = tuple(sorted((*state.waiting, sequence), key=_scheduling_key))
    return dataclasses.replace(state, waiting=waiting)


def _without(sequences: tuple[Sequence, ...], request_id: str) -> tuple[Sequence, ...]:
    return tuple(s for s in sequences if s.call.request_id != request_id)


def _remove(state: State, request_id: str) -> State:
    return dataclasses.replace(
        state,
        waiting=_without(state.waiting, request_id),
        prefilling=_without(state.prefilling, request_id),
        decoding=_without(state.decoding, request_id),
    )


def _fill_batch(
    settings: EngineModelSettings, state: State, outputs: list[Output]
) -> State:
    while state.waiting:
        if running_count(state) >= settings.max_batch:
            preempted = _preempt(settings, state, outputs)
            if preempted is None:
                return state
            state = preempted
        state = _admit(settings, state, outputs)
    return state


def _preempt(
    settings: EngineModelSettings, state: State, outputs: list[Output]
) -> State | None:
    victim = max((*state.prefilling, *state.decoding), key=_scheduling_key)
    if not settings.preempts or victim.call.priority <= state.waiting[0].call.priority:
        return None
    tokens = victim.produced_tokens
    if victim in state.decoding:
        tokens = produced_tokens(state, victim)
    outputs.append(Preempted(victim.call.request_id, tokens))
    state = _remove(state, victim.call.request_id)
    return _enqueue(state, dataclasses.replace(victim, produced_tokens=tokens))


def _admit(settings: EngineModelSettings, state: State, outputs: list[Output]) -> State:
    head, *rest = state.waiting
    blocks = prefix_cache.count_cached_blocks(state.cache, head.call.prefix_digests)
    cached = blocks * settings.block_tokens
    needed = head.call.prompt_tokens + head.produced_tokens - cached
    head = dataclasses.replace(head, remaining_prefill_tokens=float(max(0, needed)))
    state = dataclasses.replace(
        state, waiting=tuple(rest), prefilling=(*state.prefilling, head)
    )
    return _store_prefixes(settings, state, head.call.prefix_digests, outputs)


def _store_prefixes(
    settings: EngineModelSettings,
    state: State,
    prefix_digests: tuple[int, ...],
    outputs: list[Output],
) -> State:
    capacity = settings.cache_capacity_blocks
    cache, stored, removed = prefix_cache.insert(state.cache, prefix_digests, capacity)
    if stored or removed:
        outputs.append(CacheChanged(stored, removed))
    return dataclasses.replace(state, cache=cache)
