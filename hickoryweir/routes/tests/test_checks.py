"""Tests of the validation of routing tables."""

from hickoryweir.routes import checks, model
from hickoryweir.routes.tests import tables


def problems_of(*routes, accounts=()):
    return checks.find_problems(tables.make_table(routes, accounts))


def test_valid_table_has_no_problem():
    assert problems_of(tables.make_route()) == ()


def test_unknown_service_is_named():
    route = tables.make_route(destinations=(model.Destination("gone", 1),))
    assert problems_of(route) == ("route chat names the unknown service gone",)


def test_routes_may_not_share_host_and_prefix():
    other = tables.make_route("other", host="SITE.example")
    assert problems_of(tables.make_route(), other) == (
        "two routes share host site.example and prefix /chat/",
    )


def test_weights_may_not_sum_to_zero():
    route = tables.make_route(destinations=(model.Destination("app", 0),))
    assert problems_of(route) == (
        "route chat has a negative weight or weights that sum to 0",
    )


def test_timeout_must_be_above_zero():
    assert len(problems_of(tables.make_route(timeout_s=0.0))) == 1


def test_prefix_must_end_with_a_slash():
    assert len(problems_of(tables.make_route(prefix="/chat"))) == 1


def test_accounts_may_not_share_a_key():
    accounts = [
        model.ClientAccount("north", ("k1", "k2"), None),
        model.ClientAccount("south", ("k2",), None),
    ]
    found = problems_of(tables.make_route(), accounts=accounts)
    assert found == ("two client accounts share a key",)
    assert "k2" not in found[0]
