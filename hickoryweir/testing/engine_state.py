"""State of a stand-in engine, and the task that advances its model in real time."""

import asyncio
import collections
import dataclasses
import time

from aiohttp import web

from hickoryweir.testing import engine_model, engine_orders, faults

MAX_HISTORY_COUNT = 1000
MIN_TICK_S = 0.002
ENGINE = web.AppKey("engine", "Engine")


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Name, speed and behavior of a stand-in engine.

    Attributes
    ----------
    models : tuple of str
        Models loaded at the start, in version ``version``.
    tick_s : float
        Longest time between two updates of the model while calls are running.
    report_lag_s : float
        Delay after which a load sample is reported.
    cache_event_lag_s : float
        Delay after which a cache event is published.
    lost_cache_event_interval : int
        Every n-th cache event is lost; 0 means that none is.
    checks_fencing : bool
        Whether orders with a stale fencing token are refused.
    load_s : float
        Time that loading a model or an adapter takes.
    """

    name: str = "engine"
    models: tuple[str, ...] = ("assistant",)
    version: str = "1"
    model_settings: engine_model.EngineModelSettings = (
        engine_model.EngineModelSettings()
    )
    tick_s: float = 0.01
    report_lag_s: float = 0.2
    cache_event_lag_s: float = 0.1
    lost_cache_event_interval: int = 0
    checks_fencing: bool = True
    load_s: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the engine at one time."""

    measured_at_s: float
    running: int
    waiting: int
    cache_used_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache, published after ``cache_event_lag_s``."""

    sequence: int
    changed_at_s: float
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@dataclasses.dataclass(slots=True, eq=False)
class SequenceProgress:
    """Progress of one sequence, for the handler that sends its answer.

    Attributes
    ----------
    tokens : int
        Output tokens that exist so far.
    changed : asyncio.Event
        Set after each change of the other fields.
    """

    tokens: int
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """State of a stand-in engine.

    Attributes
    ----------
    runs : collections.Counter
        Number of runs by request ID, for tests.
    cancelled_count : int
        Calls whose client disconnected before the end of the answer.
    wake : asyncio.Event
        Set after each event, so that the time of the next update is computed anew.
    """

    settings: EngineSettings
    model_state: engine_model.State
    orders: engine_orders.OrderState
    active_faults: faults.EngineFaults = dataclasses.field(
        default_factory=faults.EngineFaults
    )
    progress_by_id: dict[str, SequenceProgress] = dataclasses.field(
        default_factory=dict
    )
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    load_samples: collections.deque[LoadSample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_HISTORY_COUNT)
    )
    cache_events: collections.deque[CacheEvent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_HISTORY_COUNT)
    )
    cache_sequence: int = 0
    previous_request_id: str = "nobody"
    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    cancelled_count: int = 0
    connections: set[asyncio.BaseTransport] = dataclasses.field(default_factory=set)


def make_engine(settings: EngineSettings) -> Engine:
    """Return an idle engine."""
    models = {
        name: engine_orders.LoadedModel(settings.version, [])
        for name in settings.models
    }
    orders = engine_orders.OrderState(settings.checks_fencing, models)
    return Engine(settings, engine_model.make_state(time.monotonic()), orders)


async def run_model(app: web.Application):
    """Advance the model while the application runs."""
    engine = app[ENGINE]
    engine.model_state = engine_model.make_state(time.monotonic())
    task = asyncio.create_task(advance_periodically(engine))
    yield
    task.cancel()


async def advance_periodically(engine: Engine) -> None:
    """Advance the model at each change and at least once a tick while calls run."""
    while True:
        apply_event(engine, engine_model.Advance())
        left_s = next_wake_s(engine) - time.monotonic()
        engine.wake.clear()
        try:
            async with asyncio.timeout(max(MIN_TICK_S, left_s)):
                await engine.wake.wait()
        except TimeoutError:
            continue


def next_wake_s(engine: Engine) -> float:
    """Return when the model must be advanced at the latest."""
    settings = engine.settings
    change_s = engine_model.next_change_s(settings.model_settings, engine.model_state)
    tick_s = settings.tick_s if engine.progress_by_id else settings.report_lag_s
    return min(change_s, engine.model_state.now_s + max(tick_s, MIN_TICK_S))


def apply_event(engine: Engine, event: engine_model.Event) -> None:
    """Apply an event to the model now and notify the waiting handlers."""
    now_s = max(time.monotonic(), engine.model_state.now_s)
    settings = engine.settings.model_settings
    engine.model_state, outputs = engine_model.step(
        settings, engine.model_state, event, now_s
    )
    for output in outputs:
        match output:
            case engine_model.Finished(request_id):
                finish(engine, request_id)
            case engine_model.CacheChanged(stored, removed):
                record_cache_event(engine, stored, removed)
    for sequence in engine.model_state.decoding:
        progress = engine.progress_by_id.get(sequence.call.request_id)
        tokens = engine_model.produced_tokens(engine.model_state, sequence)
        if progress is not None and tokens > progress.tokens:
            progress.tokens = tokens
            progress.changed.set()
    engine.load_samples.append(sample_load(engine))
    engine.wake.set()


def finish(engine: Engine, request_id: str) -> None:
    """Mark a sequence as finished and notify its handler."""
    progress = engine.progress_by_id.get(request_id)
    if progress is not None:
        progress.finished = True
        progress.changed.set()


def record_cache_event(
    engine: Engine, stored: tuple[int, ...], removed: tuple[int, ...]
) -> None:
    """Record a cache event for publication, unless it is to be lost."""
    engine.cache_sequence += 1
    interval = engine.settings.lost_cache_event_interval
    if interval and engine.cache_sequence % interval == 0:
        return
    event = CacheEvent(engine.cache_sequence, engine.model_state.now_s, stored, removed)
    engine.cache_events.append(event)


def sample_load(engine: Engine) -> LoadSample:
    """Return the current load."""
    state = engine.model_state
    share = engine_model.cache_used_share(engine.settings.model_settings, state)
    running = engine_model.running_count(state)
    return LoadSample(state.now_s, running, len(state.waiting), share)


def crash(engine: Engine) -> None:
    """Drop all sequences, the cache and all connections.

    The engine recovers after ``recovery_s`` if that is above 0.
    """
    engine.active_faults.crashed = True
    engine.model_state = engine_model.make_state(time.monotonic())
    engine.progress_by_id.clear()
    for transport in list(engine.connections):
        transport.abort()
    if engine.active_faults.recovery_s > 0.0:
        loop = asyncio.get_running_loop()
        loop.call_later(engine.active_faults.recovery_s, recover, engine)


def recover(engine: Engine) -> None:
    """Accept connections again after a crash."""
    engine.active_faults.crashed = False


def cancel(engine: Engine, request_id: str) -> bool:
    """Cancel a sequence; return whether it was found."""
    progress = engine.progress_by_id.pop(request_id, None)
    if progress is None:
        return False
    apply_event(engine, engine_model.Cancel(request_id))
    progress.cancelled = True
    progress.changed.set()
    return True


def make_idle_sample(measured_at_s: float) -> LoadSample:
    """Return the load of an idle engine."""
    return LoadSample(measured_at_s, 0, 0, 0.0)
