"""Virtual time and simulated engines, and the interface of a policy."""

import dataclasses
import heapq
from collections.abc import Callable

from hickoryweir.configuration import model
from hickoryweir.policy import settings
from hickoryweir.testing import engine_model

LINK_DELAY_S = 0.001
CACHE_CAPACITY_BLOCKS = 96
PREFILL_TOKENS_PER_S = 4000.0


@dataclasses.dataclass(slots=True)
class Clock:
    """Virtual clock with its scheduled callbacks."""

    now_s: float = 0.0
    sequence: int = 0
    heap: list[tuple[float, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )


def call_at(clock: Clock, at_s: float, callback: Callable[[], None]) -> None:
    """Schedule a callback; a time in the past means now."""
    clock.sequence += 1
    heapq.heappush(clock.heap, (max(at_s, clock.now_s), clock.sequence, callback))


def run_until(clock: Clock, until_s: float) -> None:
    """Run the callbacks that are due by a time."""
    while clock.heap and clock.heap[0][0] <= until_s:
        clock.now_s, _, callback = heapq.heappop(clock.heap)
        callback()


@dataclasses.dataclass(slots=True)
class Sequence:
    """An attempt inside an engine; it resumes after ``resumed_tokens``."""

    resumed_tokens: int
    on_first_token: Callable[[float], None]
    on_finished: Callable[[float], None]
    on_crashed: Callable[[int], None]
    crash_downtime_s: float
    output_tokens: int


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine on virtual time, with its sequences and counters."""

    backend_server: model.BackendServer
    settings: engine_model.EngineModelSettings
    state: engine_model.State
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)
    down_until_s: float = 0.0
    is_stopped: bool = False
    timer_version: int = 0
    cache_sequence: int = 0
    cache_events: list = dataclasses.field(default_factory=list)
    generated_tokens: int = 0
    crashes: int = 0


def make_engine(backend_server: model.BackendServer) -> Engine:
    """Return an idle engine for a backend server of the configuration."""
    engine_settings = engine_model.EngineModelSettings(
        decode_tokens_per_s=backend_server.tokens_per_s,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        max_batch=backend_server.max_concurrency,
        cache_capacity_blocks=CACHE_CAPACITY_BLOCKS,
    )
    return Engine(backend_server, engine_settings, engine_model.make_state())


def is_up(engine: Engine, now_s: float) -> bool:
    """Return whether an engine accepts connections."""
    return not engine.is_stopped and engine.down_until_s <= now_s


def apply(clock: Clock, engine: Engine, event: engine_model.Event) -> None:
    """Advance an engine to now, handle its outputs and schedule its next change."""
    engine.state, outputs = engine_model.step(
        engine.settings, engine.state, event, clock.now_s
    )
    for output in outputs:
        _handle_output(clock, engine, output)
    engine.timer_version += 1
    version = engine.timer_version
    next_s = engine_model.next_change_s(engine.settings, engine.state)
    if next_s < float("inf"):
        call_at(clock, next_s, lambda: _advance_if_current(clock, engine, version))


def _advance_if_current(clock: Clock, engine: Engine, version: int) -> None:
    if engine.timer_version == version:
        apply(clock, engine, engine_model.Advance())


def _handle_output(clock: Clock, engine: Engine, output: engine_model.Output) -> None:
    match output:
        case engine_model.FirstToken(request_id, at_s):
            sequence = engine.sequences.get(request_id)
            if sequence is None:
                return
            if sequence.crash_downtime_s:
                call_at(
                    clock, at_s, lambda: crash(clock, engine, sequence.crash_downtime_s)
                )
                return
            sequence.on_first_token(at_s)
        case engine_model.Finished(request_id, at_s):
            sequence = engine.sequences.pop(request_id, None)
            if sequence is not None:
                engine.generated_tokens += (
                    sequence.output_tokens - sequence.resumed_tokens
                )
                sequence.on_finished(at_s)
        case engine_model.CacheChanged(stored, removed):
            engine.cache_events.append((stored, removed))


def submit(
    clock: Clock, engine: Engine, call: engine_model.Submit, sequence: Sequence
) -> None:
    """Start a sequence."""
    engine.sequences[call.request_id] = sequence
    apply(clock, engine, call)


def cancel(clock: Clock, engine: Engine, key: str) -> int:
    """Cancel a sequence and return its tokens without the resumed ones."""
    sequence = engine.sequences.pop(key, None)
    if sequence is None:
        return 0
    apply(clock, engine, engine_model.Advance())
    tokens = max(0, tokens_by_request(engine).get(key, 0) - sequence.resumed_tokens)
    engine.generated_tokens += tokens
    apply(clock, engine, engine_model.Cancel(key))
    return tokens


def tokens_by_request(engine: Engine) -> dict[str, int]:
    """Return the tokens of each sequence as of the engine's last step."""
    state = engine.state
    found = {
        item.call.request_id: engine_model.produced_tokens(state, item)
        for item in state.decoding
    }
    for item in (*state.prefilling, *state.waiting):
        found[item.call.request_id] = item.produced_tokens
    return found


def crash(clock: Clock, engine: Engine, downtime_s: float) -> None:
    """Crash an engine: it loses its sequences and cache and stays down for a time."""
    if not is_up(engine, clock.now_s):
        return
    apply(clock, engine, engine_model.Advance())
    tokens = tokens_by_request(engine)
    lost_sequences = engine.sequences
    engine.sequences = {}
    speed_factor = engine.state.speed_factor
    engine.state = dataclasses.replace(
        engine_model.make_state(clock.now_s), speed_factor=speed_factor
    )
    engine.timer_version += 1
    engine.down_until_s = clock.now_s + downtime_s
    engine.crashes += 1
    for key, sequence in lost_sequences.items():
        generated_tokens = max(0, tokens.get(key, 0) - sequence.resumed_tokens)
        engine.generated_tokens += generated_tokens
        sequence.on_crashed(generated_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Functions of a policy under test."""

    name: str
    make_state: Callable[[settings.CoreSettings, model.Configuration], object]
    handle: Callable
    digest: Callable
