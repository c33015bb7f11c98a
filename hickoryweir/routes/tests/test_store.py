"""Tests of the routing table in the replicated log."""

import hypothesis
from hypothesis import strategies

from hickoryweir.routes import store


def put(state, version, content):
    command = store.make_command(version, content)
    return store.apply(state, command, 1, 0.0).version


def test_content_is_read_back_as_sent():
    state = store.initial_state()
    put(state, 3, b'{"odd":   "spacing"}')
    assert store.read_content(state.stored) == b'{"odd":   "spacing"}'


def test_other_content_with_the_stored_version_changes_nothing():
    state = store.initial_state()
    put(state, 3, b"first")
    assert put(state, 3, b"second") == 3
    assert store.read_content(state.stored) == b"first"


@hypothesis.given(strategies.lists(strategies.integers(0, 9), min_size=1))
def test_highest_version_wins_in_any_order(versions):
    state = store.initial_state()
    held = [put(state, version, b"%d" % version) for version in versions]
    assert held == sorted(held)
    assert store.read_content(state.stored) == b"%d" % max(versions)


def test_dump_and_load_keep_the_table():
    machine = store.make_submachine()
    state = store.initial_state()
    put(state, 5, b"x" * 1000)
    assert machine.load(machine.dump(state)) == state
