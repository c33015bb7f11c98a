"""Tests of which orders are due and which are held back."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from hickoryweir.configuration import model
from hickoryweir.engines import orders, orders_plan
from hickoryweir.engines.tests import benches
from hickoryweir.policy import events
from hickoryweir.weights import rates

ISSUER = orders_plan.Issuer(fencing=7, elected_at_s=100.0)
LEASE_SETTINGS = orders_plan.LeaseSettings()
NOW_S = 1000.0
SIZE_BYTES = 10
WANTED = model.Model("assistant", "2", ("lora",), SIZE_BYTES)
CONFIGURATION = model.Configuration(
    customer="c",
    digest="d",
    classes=(),
    accounts=(),
    models=(WANTED,),
    services=(),
    backend_servers=(),
    provider_shares=(),
    idempotency_retention_s=1.0,
    order_rate_bytes_per_s=1.0,
)


def make_view(name, version="1", *, adapters=(), checks_fencing=True, **fields):
    server = benches.make_server("http://127.0.0.1:1", checks_fencing=checks_fencing)
    loaded = orders.LoadedModel(
        name="assistant", version=version, adapters=list(adapters)
    )
    health = orders.ServerHealth(status="ok", models=[loaded])
    view = orders_plan.ServerView(
        dataclasses.replace(server, name=name), events.ServerState.LIVE, health
    )
    return dataclasses.replace(view, **fields)


def make_plan(*views, now_s=NOW_S, available_bytes=1000.0):
    bucket = rates.make_bucket(1.0, available_bytes, now_s)
    return orders_plan.make_plan(
        CONFIGURATION, views, bucket, ISSUER, LEASE_SETTINGS, now_s
    )


def names(planned):
    return [order.backend_server for order in planned]


def reasons(plan):
    return [held.reason for held in plan.held]


def test_one_of_two_servers_loads_at_a_time():
    plan = make_plan(make_view("e1"), make_view("e2"))
    assert names(plan.due) == ["e1"]
    assert reasons(plan) == [orders_plan.HoldReason.LAST_HEALTHY_SERVER]


def test_last_healthy_server_is_never_reloaded():
    gone = make_view("e2", state=events.ServerState.GONE)
    plan = make_plan(make_view("e1"), gone)
    assert plan.due == ()


def test_server_with_an_order_in_progress_does_not_count_as_healthy():
    plan = make_plan(make_view("e1"), make_view("e2", has_order_in_progress=True))
    assert plan.due == ()


def test_load_by_a_previous_issuer_holds_new_orders():
    loading = orders.ServerHealth(status="loading")
    plan = make_plan(make_view("e1", health=loading), make_view("e2"))
    assert reasons(plan) == [
        orders_plan.HoldReason.ORDER_IN_PROGRESS,
        orders_plan.HoldReason.LAST_HEALTHY_SERVER,
    ]


def test_empty_server_is_loaded_without_other_healthy_servers():
    empty = orders.ServerHealth(status="ok")
    plan = make_plan(make_view("e1", health=empty))
    assert [order.kind for order in plan.due] == [orders.OrderKind.LOAD_MODEL]


def test_adapter_is_loaded_after_its_model():
    plan = make_plan(make_view("e1", "2"))
    assert [order.adapter for order in plan.due] == ["lora"]


def test_nothing_is_due_when_everything_is_loaded():
    plan = make_plan(make_view("e1", "2", adapters=("lora",)))
    assert (plan.due, plan.held) == ((), ())


def test_server_of_unknown_health_gets_no_order():
    assert make_plan(make_view("e1", health=None)).due == ()


def test_weight_store_rate_holds_the_second_load():
    views = [make_view(f"e{number}") for number in range(3)]
    plan = make_plan(*views, available_bytes=float(SIZE_BYTES))
    assert names(plan.due) == ["e0"]
    assert orders_plan.HoldReason.WEIGHT_STORE_RATE in reasons(plan)


def test_server_that_ignores_fencing_waits_for_the_previous_issuer():
    views = (
        make_view("e1", checks_fencing=False),
        make_view("e2", "2", adapters=("lora",)),
    )
    stopped_s = orders_plan.previous_issuer_stopped_at_s(ISSUER, LEASE_SETTINGS)
    early = make_plan(*views, now_s=stopped_s - 0.001)
    assert reasons(early) == [orders_plan.HoldReason.PREVIOUS_ISSUER]
    assert names(make_plan(*views, now_s=stopped_s).due) == ["e1"]


def test_resent_order_has_the_same_id():
    first, second = make_plan(make_view("e1", "2")), make_plan(make_view("e1", "2"))
    assert first.due == second.due


VIEWS = st.lists(
    st.tuples(
        st.sampled_from(["1", "2", None]),
        st.sampled_from(list(events.ServerState)),
        st.booleans(),
        st.sampled_from(["ok", "loading"]),
    ),
    max_size=6,
)


@hypothesis.given(VIEWS)
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
def test_plan_never_stops_the_last_server_of_a_model(servers):
    views = []
    for number, (version, state, in_progress, status) in enumerate(servers):
        view = make_view(f"e{number}", version or "", state=state)
        models = view.health.models if version else []
        health = orders.ServerHealth(status=status, models=models)
        views.append(
            dataclasses.replace(view, health=health, has_order_in_progress=in_progress)
        )
    plan = make_plan(*views)
    loading = {
        order.backend_server
        for order in plan.due
        if order.kind is orders.OrderKind.LOAD_MODEL
    }
    serving = {
        view.backend_server.name
        for view in views
        if orders_plan.healthy_models(view) and not view.has_order_in_progress
    }
    assert not serving or serving - loading
