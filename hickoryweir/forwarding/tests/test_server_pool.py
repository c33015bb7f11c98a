"""What one router knows of the backend servers."""

import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.forwarding import header_codec, server_pool

SERVER = listing.BackendServer(
    "s1", "app", "10.0.0.1:80", "a", listing.ServerState.READY, 8, 0.0
)


def make_pool(*servers):
    pool = server_pool.Pool()
    server_pool.update_servers(pool, listing.ServerList(servers or (SERVER,), 0.0))
    return pool, pool.servers.get("s1")


def test_own_requests_are_told_apart_from_the_sum_of_all():
    pool, view = make_pool()
    view.in_flight[1] = server_pool.InFlightRequest(500, 0.0)
    server_pool.note_loads_announced(pool, server_pool.own_loads(pool, 0.0))
    server_pool.update_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 10.5) == 4
    assert server_pool.backlog_tokens_count(view, 10.5) == 800
    del view.in_flight[1]
    assert server_pool.requests_count(view, 10.5) == 3


def test_loads_of_others_are_forgotten_when_none_come():
    pool, view = make_pool()
    server_pool.update_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 20.0) == 0


def test_stream_that_has_begun_has_nothing_left_to_read():
    pool, view = make_pool()
    view.in_flight[1] = server_pool.InFlightRequest(500, 0.0, has_first_event=True)
    assert server_pool.backlog_tokens_count(view, 0.0) == 0


def test_leading_parts_count_as_cached_only_without_a_gap():
    _, view = make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "abc")
    server_pool.note_parts(view, (parts[0], parts[2]), 0.0)
    assert server_pool.cached_tokens_count(view, parts) == 10


def tell(sender, *receivers, now_s=0.0):
    """Hand one router's news of parts to the others, as the feeds do."""
    parts = server_pool.unannounced_parts(sender)
    server_pool.note_parts_announced(sender, now_s)
    for receiver in receivers:
        server_pool.add_announced_parts(receiver, parts, now_s)
    return parts


def test_shared_parts_that_another_router_sent_count_as_cached():
    (sender, sent), (receiver, known) = make_pool(), make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "abc")
    server_pool.note_parts(sent, parts, 0.0)
    tell(sender, receiver)
    assert server_pool.cached_tokens_count(known, parts) == 20
    assert server_pool.cached_tokens_count(sent, parts) == 30


def test_parts_are_told_once_until_they_are_due_again():
    pool, view = make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "ab")
    due_s = server_pool.ANNOUNCE_PARTS_INTERVAL_S
    server_pool.note_parts(view, parts, 0.0)
    assert tell(pool) == (messages.ServerParts("s1", ("a",)),)
    server_pool.note_parts(view, parts, due_s / 2)
    assert tell(pool, now_s=due_s / 2) == ()
    server_pool.note_parts(view, parts, due_s)
    assert tell(pool, now_s=due_s) == (messages.ServerParts("s1", ("a",)),)


def test_parts_that_another_router_told_are_not_told_again():
    (sender, sent), (receiver, known) = make_pool(), make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "ab")
    server_pool.note_parts(sent, parts, 0.0)
    tell(sender, receiver)
    server_pool.note_parts(known, parts, 0.1)
    assert tell(receiver, now_s=0.2) == ()


def test_news_of_parts_stay_bounded_while_nobody_takes_them():
    pool, view = make_pool()
    for number in range(3 * server_pool.MAX_PARTS_COUNT):
        parts = (
            header_codec.PromptPart(f"p{number}", 10),
            header_codec.PromptPart("own", 1),
        )
        server_pool.note_parts(view, parts, 0.0)
    assert len(view.unannounced_parts) <= server_pool.MAX_PARTS_COUNT
    server_pool.note_parts_announced(pool, 0.0)
    assert len(view.parts_announced_s) <= server_pool.MAX_PARTS_COUNT


def test_news_of_a_server_that_has_left_the_list_are_passed_over():
    pool, view = make_pool()
    server_pool.add_announced_parts(pool, (messages.ServerParts("gone", ("a",)),), 0.0)
    assert view.parts == {}


def test_server_that_started_again_under_its_id_is_another_one():
    pool, view = make_pool()
    view.parts["a"] = 0.0
    reborn = dataclasses.replace(SERVER, born_ms=7)
    server_pool.update_servers(pool, listing.ServerList((reborn,), 1.0))
    assert pool.servers["s1"].parts == {}


def test_failures_in_a_row_make_a_server_suspect_for_longer():
    _, view = make_pool()
    server_pool.note_failure(view, 0.0)
    first_s = view.suspect_until_s
    server_pool.note_failure(view, 0.0)
    assert view.suspect_until_s > first_s
    server_pool.note_success(view)
    assert view.suspect_until_s == 0.0
