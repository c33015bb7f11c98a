"""What one router knows of the backend servers."""

import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.forwarding import border, server_pool

SERVER = listing.BackendServer(
    "s1", "app", "10.0.0.1:80", "a", listing.ServerState.READY, 8, 0.0
)


def make_pool(*servers):
    pool = server_pool.Pool()
    server_pool.take_list(pool, listing.ServerList(servers or (SERVER,), 0.0))
    return pool, pool.servers.get("s1")


def test_own_requests_are_told_apart_from_the_sum_of_all():
    pool, view = make_pool()
    view.running[1] = server_pool.Running(500, 0.0)
    server_pool.note_told(pool, server_pool.own_loads(pool, 0.0))
    server_pool.take_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 10.5) == 4
    assert server_pool.backlog_count(view, 10.5) == 800
    del view.running[1]
    assert server_pool.requests_count(view, 10.5) == 3


def test_loads_of_others_are_forgotten_when_none_come():
    pool, view = make_pool()
    server_pool.take_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 20.0) == 0


def test_stream_that_has_begun_has_nothing_left_to_read():
    pool, view = make_pool()
    view.running[1] = server_pool.Running(500, 0.0, has_begun=True)
    assert server_pool.backlog_count(view, 0.0) == 0


def test_leading_parts_count_as_cached_only_without_a_gap():
    _, view = make_pool()
    parts = tuple(border.PromptPart(name, 10) for name in "abc")
    server_pool.note_parts(view, (parts[0], parts[2]), 0.0)
    assert server_pool.cached_count(view, parts) == 10


def test_server_that_started_again_under_its_id_is_another_one():
    pool, view = make_pool()
    view.parts["a"] = 0.0
    reborn = dataclasses.replace(SERVER, born_ms=7)
    server_pool.take_list(pool, listing.ServerList((reborn,), 1.0))
    assert pool.servers["s1"].parts == {}


def test_failures_in_a_row_make_a_server_suspect_for_longer():
    _, view = make_pool()
    server_pool.note_failure(view, 0.0)
    first_s = view.suspect_until_s
    server_pool.note_failure(view, 0.0)
    assert view.suspect_until_s > first_s
    server_pool.note_success(view)
    assert view.suspect_until_s == 0.0
