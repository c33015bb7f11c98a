"""Tests of the look-up of a route and a service."""

import random

from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables


def route_index():
    routes = (
        tables.make_route("outer", "/a/"),
        tables.make_route("inner", "/a/b/"),
        tables.make_route("root", "/", host="other.example"),
    )
    return matching.make_index(tables.make_table(routes))


def route_name(host, path):
    route = matching.find_route(route_index(), host, path)
    return None if route is None else route.name


def test_longest_prefix_wins():
    assert route_name("site.example", "/a/b/c") == "inner"
    assert route_name("site.example", "/a/x") == "outer"


def test_prefix_matches_whole_segments_only():
    assert route_name("site.example", "/a/bc") == "outer"
    assert route_name("site.example", "/a") is None


def test_host_match_ignores_case():
    assert route_name("SITE.Example", "/a/") == "outer"


def test_routes_of_other_hosts_do_not_match():
    assert route_name("other.example", "/a/b/") == "root"
    assert route_name("third.example", "/a/b/") is None


def test_services_are_chosen_by_weight():
    destinations = (model.Destination("app", 9), model.Destination("new", 1))
    route = tables.make_route(destinations=destinations)
    generator = random.Random(7)
    chosen = [matching.choose_service(route, generator) for _ in range(1000)]
    assert 60 <= chosen.count("new") <= 140


def test_service_without_weight_is_never_chosen():
    destinations = (model.Destination("app", 1), model.Destination("new", 0))
    route = tables.make_route(destinations=destinations)
    generator = random.Random(7)
    assert {matching.choose_service(route, generator) for _ in range(200)} == {"app"}
