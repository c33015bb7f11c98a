"""Tests of the simulated engine."""

import hypothesis
from hypothesis import strategies as st

from hickoryweir.testing import engine_model

SETTINGS = engine_model.EngineModelSettings(
    decode_tokens_per_s=10.0,
    prefill_tokens_per_s=1000.0,
    max_batch=2,
    block_tokens=10,
    cache_capacity_blocks=4,
)


def submit(name, priority=1, prompt=10, output=11, digests=(), resumed=0):
    return engine_model.Submit(name, priority, prompt, output, digests, resumed)


def run(*steps, settings=SETTINGS):
    """Apply (time, event) steps and return the last state and all outputs."""
    state, outputs = engine_model.make_state(), []
    for now_s, event in steps:
        state, done = engine_model.step(settings, state, event, now_s)
        outputs += done
    return state, outputs


def finish_s(outputs, name):
    ends = [o for o in outputs if isinstance(o, engine_model.Finished)]
    return next(o.at_s for o in ends if o.request_id == name)


ADVANCE = (1000.0, engine_model.Advance())


def test_larger_batch_is_slower():
    _, alone = run((0.0, submit("a")), ADVANCE)
    _, batched = run((0.0, submit("a")), (0.0, submit("b")), ADVANCE)
    assert finish_s(batched, "a") > finish_s(alone, "a")


def test_higher_priority_preempts_and_preempted_call_finishes():
    _, outputs = run(
        (0.0, submit("low1", 3)),
        (0.0, submit("low2", 3)),
        (0.5, submit("top", 0)),
        ADVANCE,
    )
    preempted = [o for o in outputs if isinstance(o, engine_model.Preempted)]
    assert [o.request_id for o in preempted] == ["low2"]
    assert finish_s(outputs, "top") < finish_s(outputs, "low2")


def test_equal_priority_does_not_preempt():
    _, outputs = run(*((0.0, submit(name, 1)) for name in "abc"), ADVANCE)
    assert not any(isinstance(o, engine_model.Preempted) for o in outputs)


def test_cached_prefix_is_not_prefilled_again():
    digests = (1, 2, 3)
    first = (0.0, submit("a", prompt=30, digests=digests))
    again = (50.0, submit("b", prompt=30, digests=digests))
    _, outputs = run(first, again, ADVANCE)
    first_tokens = [o.at_s for o in outputs if isinstance(o, engine_model.FirstToken)]
    assert first_tokens == [0.03, 50.0]


def test_cache_evicts_the_least_recently_used_block():
    first = (0.0, submit("a", digests=(1, 2, 3)))
    state, outputs = run(first, (50.0, submit("b", digests=(4, 5))))
    assert state.cache == (2, 3, 4, 5)
    assert outputs[-1] == engine_model.CacheChanged((4, 5), (1,))


def test_resumed_call_decodes_only_the_remaining_tokens():
    _, whole = run((0.0, submit("a", output=101)), ADVANCE)
    _, resumed = run((0.0, submit("a", output=101, resumed=91)), ADVANCE)
    assert finish_s(resumed, "a") < finish_s(whole, "a") / 5


def test_lower_speed_factor_slows_running_calls():
    slow = (0.5, engine_model.SetSpeed(0.1))
    _, outputs = run((0.0, submit("a")), slow, ADVANCE)
    assert finish_s(outputs, "a") > 5.0


CALLS = st.lists(
    st.tuples(
        st.floats(0.0, 3.0),
        st.integers(0, 3),
        st.integers(1, 50),
        st.integers(1, 30),
        st.lists(st.integers(0, 9), max_size=5, unique=True),
        st.booleans(),
    ),
    max_size=15,
)


@hypothesis.given(CALLS)
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=100)
def test_each_call_ends_once_or_is_cancelled_before(drawn):
    steps, now_s, cancelled = [], 0.0, {}
    for number, (wait_s, priority, prompt, output, digests, cancel) in enumerate(drawn):
        now_s += wait_s
        call = submit(str(number), priority, prompt, output, tuple(digests))
        steps.append((now_s, call))
        if cancel:
            steps.append((now_s, engine_model.Cancel(str(number))))
            cancelled[str(number)] = now_s
    state, outputs = run(*steps, (now_s + 1e6, engine_model.Advance()))
    ended = {o.request_id: o for o in outputs if isinstance(o, engine_model.Finished)}
    ends_count = sum(isinstance(o, engine_model.Finished) for o in outputs)
    kept = {str(number) for number in range(len(drawn))} - set(cancelled)
    assert ends_count == len(ended)
    assert kept <= set(ended)
    assert all(ended[name].at_s <= cancelled[name] for name in set(ended) - kept)
    assert engine_model.running_count(state) == len(state.waiting) == 0
    assert len(state.cache) <= SETTINGS.cache_capacity_blocks
