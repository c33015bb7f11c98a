"""Tests of a router's view of the backend servers."""

import dataclasses
import random

import pytest

from hickoryweir.discovery import listing
from hickoryweir.feeds import messages
from hickoryweir.forwarding import header_codec, server_pool, server_reachability
from hickoryweir.forwarding_policy import unreachable_servers

SERVER = listing.BackendServer(
    "s1", "app", "10.0.0.1:80", "a", listing.ServerState.READY, 8, 0.0
)
PROBE_INTERVAL_MAX_S = unreachable_servers.PROBE_INTERVAL_MAX_S


def make_pool(*servers):
    pool = server_pool.Pool()
    server_pool.update_servers(pool, listing.ServerList(servers or (SERVER,), 0.0))
    return pool, pool.servers.get("s1")


FOREIGN = dataclasses.replace(
    SERVER, service_name="host-metrics", address="10.0.0.1:9100"
)


@pytest.mark.parametrize("entries", [(SERVER, FOREIGN), (FOREIGN, SERVER)])
@pytest.mark.parametrize("is_table_first", [True, False])
def test_entry_of_an_unknown_service_does_not_hide_the_engine_with_its_id(
    entries, is_table_first
):
    pool = server_pool.Pool()
    if is_table_first:
        server_pool.update_services(pool, ["app"])
    server_pool.update_servers(pool, listing.ServerList(entries, 0.0))
    if not is_table_first:
        server_pool.update_services(pool, ["app"])
    (view,) = server_pool.available_servers(pool, "app")
    assert view.listed == SERVER


def test_list_counts_for_a_service_that_a_later_table_adds():
    pool = server_pool.Pool()
    server_pool.update_services(pool, ["jobs"])
    server_pool.update_servers(pool, listing.ServerList((SERVER,), 0.0))
    assert server_pool.available_servers(pool, "app") == []
    server_pool.update_services(pool, ["app"])
    assert len(server_pool.available_servers(pool, "app")) == 1


def test_requests_of_an_earlier_table_keep_their_servers():
    # A table that drops a service would refuse requests that are already admitted.
    pool = server_pool.Pool()
    server_pool.update_services(pool, ["app"])
    server_pool.update_servers(pool, listing.ServerList((SERVER,), 0.0))
    view = pool.servers["s1"]
    server_pool.update_services(pool, ["jobs"])
    assert server_pool.available_servers(pool, "app") == [view]


def test_foreign_entries_say_nothing_of_whether_servers_can_be_reached():
    # They were probed, and one that accepts connections hid an isolation.
    pool = server_pool.Pool()
    server_pool.update_services(pool, ["app"])
    other = dataclasses.replace(FOREIGN, server_id="s2", availability_zone="x")
    server_pool.update_servers(pool, listing.ServerList((SERVER, other), 0.0))
    server_reachability.record_unreachable(pool, pool.servers["s1"], "a", 0.0)
    assert server_reachability.reaches_none(pool)


def test_entry_that_started_later_wins_over_a_stale_one_with_its_id():
    reborn = dataclasses.replace(SERVER, started_at_ms=2, address="10.0.0.2:80")
    stale = dataclasses.replace(SERVER, started_at_ms=1)
    for entries in ((reborn, stale), (stale, reborn)):
        _, view = make_pool(*entries)
        assert view.listed == reborn


def test_known_server_wins_over_a_copy_at_another_address():
    # Without a start time nothing else says which of the two is the engine.
    copy = dataclasses.replace(SERVER, address="10.0.0.1:9100")
    pool, view = make_pool()
    for entries in ((SERVER, copy), (copy, SERVER)):
        server_pool.update_servers(pool, listing.ServerList(entries, 1.0))
        assert pool.servers["s1"] is view


def test_unusable_server_in_the_list_of_an_earlier_replica_is_left_out():
    # A probe of port 65,616 would connect to port 80, of any service.
    pool, _ = make_pool(SERVER, dataclasses.replace(SERVER, address="10.0.0.1:65536"))
    assert pool.servers["s1"].listed == SERVER


def test_server_that_fails_thousands_of_times_is_avoided_for_a_bounded_time():
    # The power overflowed after 1,025 failures in a row; requests were answered 500.
    _, view = make_pool()
    for _ in range(3000):
        server_pool.record_failure(view, 10.0)
        assert 10.0 < view.suspect_until_s <= 10.0 + server_pool.SUSPECT_MAX_S


def test_server_that_is_not_reached_thousands_of_times_is_probed_at_intervals():
    # The power overflowed after 1,025 probes in a row; probes had no pause any more.
    _, view = make_pool()
    generator = random.Random(1)
    for _ in range(3000):
        server_reachability.record_failed_probe(view, 10.0, generator)
        assert 10.0 < view.next_probe_s <= 10.0 + 2 * PROBE_INTERVAL_MAX_S


def test_own_load_is_subtracted_from_the_sum_of_all_routers():
    pool, view = make_pool()
    view.in_flight[1] = server_pool.InFlightRequest(500, 0.0)
    server_pool.record_loads_announced(pool, server_pool.own_loads(pool, 0.0))
    server_pool.update_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 10.5) == 4
    assert server_pool.backlog_tokens_count(view, 10.5) == 800
    del view.in_flight[1]
    assert server_pool.requests_count(view, 10.5) == 3


def test_stale_loads_of_other_routers_are_ignored():
    pool, view = make_pool()
    server_pool.update_loads(pool, (messages.ServerLoad("s1", 4, 800),), 10.0)
    assert server_pool.requests_count(view, 20.0) == 0


def test_stream_with_a_first_event_has_no_backlog():
    pool, view = make_pool()
    view.in_flight[1] = server_pool.InFlightRequest(500, 0.0, has_first_event=True)
    assert server_pool.backlog_tokens_count(view, 0.0) == 0


def test_leading_parts_count_as_cached_only_without_a_gap():
    _, view = make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "abc")
    server_pool.record_parts(view, (parts[0], parts[2]), 0.0)
    assert server_pool.cached_tokens_count(view, parts) == 10


def announce(sender, *receivers, now_s=0.0):
    """Deliver one router's announcement of parts to others, as the feeds do."""
    parts = server_pool.unannounced_parts(sender)
    server_pool.record_parts_announced(sender, now_s)
    for receiver in receivers:
        server_pool.add_announced_parts(receiver, parts, now_s)
    return parts


def test_shared_parts_that_another_router_sent_count_as_cached():
    (sender, sent), (receiver, known) = make_pool(), make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "abc")
    server_pool.record_parts(sent, parts, 0.0)
    announce(sender, receiver)
    assert server_pool.cached_tokens_count(known, parts) == 20
    assert server_pool.cached_tokens_count(sent, parts) == 30


def test_parts_are_announced_once_per_interval():
    pool, view = make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "ab")
    due_s = server_pool.ANNOUNCE_PARTS_INTERVAL_S
    server_pool.record_parts(view, parts, 0.0)
    assert announce(pool) == (messages.ServerParts("s1", ("a",)),)
    server_pool.record_parts(view, parts, due_s / 2)
    assert announce(pool, now_s=due_s / 2) == ()
    server_pool.record_parts(view, parts, due_s)
    assert announce(pool, now_s=due_s) == (messages.ServerParts("s1", ("a",)),)


def test_parts_announced_by_another_router_are_not_announced_again():
    (sender, sent), (receiver, known) = make_pool(), make_pool()
    parts = tuple(header_codec.PromptPart(name, 10) for name in "ab")
    server_pool.record_parts(sent, parts, 0.0)
    announce(sender, receiver)
    server_pool.record_parts(known, parts, 0.1)
    assert announce(receiver, now_s=0.2) == ()


def test_unannounced_parts_stay_bounded_while_nothing_is_sent():
    pool, view = make_pool()
    for number in range(3 * server_pool.MAX_PARTS_COUNT):
        parts = (
            header_codec.PromptPart(f"p{number}", 10),
            header_codec.PromptPart("own", 1),
        )
        server_pool.record_parts(view, parts, 0.0)
    assert len(view.unannounced_parts) <= server_pool.MAX_PARTS_COUNT
    server_pool.record_parts_announced(pool, 0.0)
    assert len(view.parts_announced_s) <= server_pool.MAX_PARTS_COUNT


def test_parts_announced_for_an_unlisted_server_are_ignored():
    pool, view = make_pool()
    server_pool.add_announced_parts(pool, (messages.ServerParts("gone", ("a",)),), 0.0)
    assert view.parts == {}


def test_restarted_server_with_the_same_id_starts_without_state():
    pool, view = make_pool()
    view.parts["a"] = 0.0
    reborn = dataclasses.replace(SERVER, started_at_ms=7)
    server_pool.update_servers(pool, listing.ServerList((reborn,), 1.0))
    assert pool.servers["s1"].parts == {}


def test_consecutive_failures_make_a_server_suspect_for_longer():
    _, view = make_pool()
    server_pool.record_failure(view, 0.0)
    first_s = view.suspect_until_s
    server_pool.record_failure(view, 0.0)
    assert view.suspect_until_s > first_s
    server_pool.record_success(view)
    assert view.suspect_until_s == 0.0


def make_zoned_pool():
    return make_pool(
        *(
            dataclasses.replace(SERVER, server_id=name, availability_zone=zone)
            for name, zone in (("s1", "a"), ("n1", "b"), ("n2", "b"), ("n3", "b"))
        )
    )


def unreachable_ids(pool):
    return {name for name, view in pool.servers.items() if view.is_unreachable}


def test_one_unreachable_server_does_not_mark_its_zone():
    pool, _ = make_zoned_pool()
    server_reachability.record_unreachable(pool, pool.servers["n1"], "a", 1.0)
    assert unreachable_ids(pool) == {"n1"}


def test_two_unreachable_servers_mark_their_zone():
    pool, _ = make_zoned_pool()
    server_reachability.record_unreachable(pool, pool.servers["n1"], "a", 1.0)
    server_reachability.record_unreachable(pool, pool.servers["n2"], "a", 1.4)
    assert unreachable_ids(pool) == {"n1", "n2", "n3"}


def test_own_zone_is_never_marked_as_a_whole():
    pool, _ = make_zoned_pool()
    server_reachability.record_unreachable(pool, pool.servers["n1"], "b", 1.0)
    server_reachability.record_unreachable(pool, pool.servers["n2"], "b", 1.4)
    assert unreachable_ids(pool) == {"n1", "n2"}


def test_failures_long_apart_do_not_mark_the_zone():
    pool, _ = make_zoned_pool()
    server_reachability.record_unreachable(pool, pool.servers["n1"], "a", 1.0)
    server_reachability.record_reachable(pool.servers["n1"])
    server_reachability.record_unreachable(pool, pool.servers["n2"], "a", 9.0)
    assert unreachable_ids(pool) == {"n2"}


def test_probes_of_an_unreachable_server_back_off():
    pool, view = make_zoned_pool()
    server_reachability.record_unreachable(pool, view, "a", 1.0)
    assert server_reachability.due_probes(pool, 1.0) == [view]
    generator, now_s, waits_s = random.Random(1), 1.0, []
    for _ in range(8):
        server_reachability.record_failed_probe(view, now_s, generator)
        waits_s.append(view.next_probe_s - now_s)
        now_s = view.next_probe_s
    assert waits_s[0] < 0.5
    assert 1.0 < waits_s[-1] < 3.0
    server_reachability.record_reachable(view)
    assert server_reachability.due_probes(pool, now_s) == []
