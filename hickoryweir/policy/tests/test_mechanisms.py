"""Each mechanism of the policy does what it is for."""

import collections
import dataclasses

from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals
from hickoryweir.policy import (
    actions,
    core,
    events,
    examples,
    inspection,
    placement,
    providers,
    settings,
    state,
)

CRASHED = events.FailureCause.CRASHED
MAYBE = refusals.Ran.MAYBE


def make(classes, engines, router="router-1", accounts=None, shares=()):
    names = [examples.engine(n) if isinstance(n, str) else n for n in engines]
    configuration = examples.configuration(classes, names, accounts, shares)
    return core.make_core(settings.CoreSettings(router, "a"), configuration)


def arrive(it, request_id, name="balance", now_s=0.0, **changes):
    changes = {"deadline_s": now_s + 60.0} | changes
    return core.handle(it, examples.arrival(request_id, name, **changes), now_s)


def sent(done):
    return [item for item in done if isinstance(item, actions.Dispatch)]


def refused(done):
    return {
        item.request_id: item.refusal
        for item in done
        if isinstance(item, actions.Refuse)
    }


def serve_in_order(it, now_s=1.0):
    """Complete what runs, oldest first; return the calls in order of dispatch."""
    order = []
    running = collections.deque(
        (key, number) for key, call in it.calls.items() for number in call.attempts
    )
    while running:
        key, number = running.popleft()
        done = core.handle(it, events.Completed(key, number, 100), now_s)
        order += [item.request_id for item in sent(done)]
        running += [(item.request_id, item.attempt) for item in sent(done)]
    return order


def test_accounts_of_a_class_share_by_weight_not_by_arrivals():
    accounts = [
        examples.account("large", ("balance",), weight=1.0),
        examples.account("small", ("balance",), weight=1.0),
    ]
    engines = [examples.engine("e1", max_concurrency=1)]
    it = make([examples.request_class("balance")], engines, accounts=accounts)
    for number in range(20):
        arrive(it, f"large-{number}", account="large")
    for number in range(5):
        arrive(it, f"small-{number}", account="small")
    order = serve_in_order(it, 0.5)
    assert sum(key.startswith("small") for key in order[:10]) == 5


def test_floor_share_serves_a_low_tier_through_a_burst():
    classes = [
        examples.request_class("balance", max_queue_length=500),
        examples.request_class("summary", 1, floor_share=0.2, max_queue_length=500),
    ]
    it = make(classes, [examples.engine("e1", max_concurrency=2)])
    patient = {"deadline_s": 500.0}
    for number in range(100):
        arrive(it, f"b{number}", "balance", **patient)
        arrive(it, f"s{number}", "summary", **patient)
    order = serve_in_order(it, 0.95)
    summaries = sum(key.startswith("s") for key in order[:50])
    assert 7 <= summaries <= 13


def test_late_calls_do_not_hold_up_those_in_time():
    engines = [examples.engine("e1", max_concurrency=1)]
    it = make([examples.request_class("balance")], engines)
    for number in range(4):
        arrive(it, f"old{number}")
    arrive(it, "new", now_s=5.0)
    done = core.handle(it, events.Completed("old0", 1, 10), 5.0)
    assert [item.request_id for item in sent(done)] == ["new"]


def test_hopeless_calls_are_refused_before_their_deadline():
    engines = [examples.engine("e1", max_concurrency=1)]
    classes = [examples.request_class("balance", expected_output_tokens=1000)]
    it = make(classes, engines)
    for number in range(3):
        arrive(it, f"r{number}", deadline_s=60.0)
    done = core.handle(it, events.Ticked(), 50.0)
    assert refused(done)["r2"].reason is refusals.Reason.SHED
    assert refused(done)["r2"].retry_after_s > 0


def test_slow_server_is_ejected_probed_and_restored():
    names = ["e1", "e2", "e3"]
    it = make([examples.request_class("balance")], names)
    slow = {"e1": 1.0}
    now_s = 0.0
    uses = collections.Counter()
    for number in range(600):
        if number == 300:
            slow = {}
        now_s += 0.5
        for item in sent(arrive(it, f"r{number}", now_s=now_s)):
            pause_s = slow.get(item.backend_server, 0.02)
            phase = "slow" if 30 < number < 300 else "after"
            uses[phase, item.backend_server] += number > 30
            for step in range(1, 8):
                event = events.Progressed(f"r{number}", 1, step)
                core.handle(it, event, now_s + pause_s * step)
            now_s += pause_s * 7
            core.handle(it, events.Completed(f"r{number}", 1, 8), now_s)
        core.handle(it, events.Ticked(), now_s)
    assert uses["slow", "e1"] < 15
    assert uses["after", "e1"] > 60


def test_never_more_than_a_third_of_a_pool_is_ejected():
    names = [f"e{n}" for n in range(6)]
    it = make([examples.request_class("balance")], names)
    for number, server in enumerate(it.servers.values()):
        server.speed.between_tokens_s = 0.02 if number < 3 else 1.0
        server.speed.samples = 10
    for number in range(20):
        core.handle(it, events.Ticked(), float(number) / 5)
    assert sum(server.speed.ejected for server in it.servers.values()) <= 2


def test_hedge_loser_is_cancelled_at_the_first_token():
    it = make([examples.request_class("balance")], ["e1", "e2"])
    (first,) = sent(arrive(it, "r"))
    (hedge,) = sent(core.handle(it, events.Ticked(), 0.8))
    assert hedge.hedge
    assert hedge.backend_server != first.backend_server
    done = core.handle(it, events.Progressed("r", hedge.attempt, 1), 0.9)
    assert done == [actions.CancelAttempt("r", first.attempt)]


def test_one_time_calls_are_never_hedged():
    it = make([examples.request_class("charge", idempotent=False)], ["e1", "e2"])
    arrive(it, "r", "charge")
    assert core.handle(it, events.Ticked(), 5.0) == []


def crash(it, server_name, now_s):
    """Crash a server: every attempt there fails; return the actions."""
    done = []
    for key, call in list(it.servers[server_name].calls.items()):
        for attempt in list(call.attempts.values()):
            if attempt.server == server_name:
                event = events.AttemptFailed(key, attempt.number, CRASHED, MAYBE, 0)
                done += core.handle(it, event, now_s)
    return done


def test_poison_is_quarantined_after_two_crashes_and_innocents_go_on():
    it = make([examples.request_class("balance")], ["e1", "e2", "e3", "e4"])
    for number in range(8):
        arrive(it, f"r{number}")
    (victim,) = it.calls["r0"].attempts.values()
    crash(it, victim.server, 1.0)
    (again,) = it.calls["r0"].attempts.values()
    assert len(it.servers[again.server].suspects) == 1
    done = crash(it, again.server, 2.0)
    assert refused(done)["r0"].reason is refusals.Reason.QUARANTINED
    assert len(refused(done)) == 1
    later = arrive(it, "again", now_s=3.0, fingerprint="r0")
    assert refused(later)["again"].reason is refusals.Reason.QUARANTINED


def test_quarantine_reaches_other_routers():
    classes = [examples.request_class("balance")]
    mine = make(classes, ["e1", "e2", "e3"], "router-1")
    other = make(classes, ["e1", "e2", "e3"], "router-2")
    arrive(mine, "r")
    for now_s in (1.0, 2.0):
        (attempt,) = mine.calls["r"].attempts.values()
        crash(mine, attempt.server, now_s)
    core.handle(other, inspection.digest(mine), 2.5)
    found = refused(arrive(other, "resent", now_s=3.0, fingerprint="r"))
    assert found["resent"].reason is refusals.Reason.QUARANTINED


def test_routers_place_suspects_on_different_servers():
    classes = [examples.request_class("balance")]
    names = ["e1", "e2", "e3", "e4"]
    routers = [make(classes, names, f"router-{n}") for n in range(3)]
    for number, it in enumerate(routers):
        arrive(it, f"r{number}")
        (attempt,) = it.calls[f"r{number}"].attempts.values()
        for other in routers:
            if other is not it:
                core.handle(other, inspection.digest(it), 0.5)
        crash(it, attempt.server, 1.0)
    for it in routers:
        for other in routers:
            if other is not it:
                core.handle(other, inspection.digest(it), 1.2)
    places = []
    for number, it in enumerate(routers):
        core.handle(it, events.Ticked(), 2.0)
        (attempt,) = it.calls[f"r{number}"].attempts.values()
        places.append(attempt.server)
    assert len(set(places)) == 3


def test_finished_suspect_is_cleared_everywhere():
    classes = [examples.request_class("balance")]
    mine = make(classes, ["e1", "e2"], "router-1")
    other = make(classes, ["e1", "e2"], "router-2")
    arrive(mine, "r")
    (attempt,) = mine.calls["r"].attempts.values()
    crash(mine, attempt.server, 1.0)
    core.handle(other, inspection.digest(mine), 1.1)
    assert "r" in other.peer_suspects
    (attempt,) = mine.calls["r"].attempts.values()
    core.handle(mine, events.Completed("r", attempt.number, 10), 2.0)
    core.handle(other, inspection.digest(mine), 2.1)
    assert "r" not in other.peer_suspects


def test_lost_peer_ages_out():
    it = make([examples.request_class("balance")], ["e1"])
    digest = events.PeerDigestReceived("p", "a", (("e1", 5),), (), (), ())
    core.handle(it, digest, 0.0)
    assert it.servers["e1"].peers_running == 5
    core.handle(it, events.Ticked(), 10.0)
    assert it.servers["e1"].peers_running == 0


def test_report_is_corrected_by_own_calls_at_its_time():
    it = make([examples.request_class("balance")], ["e1"])
    for number in range(3):
        arrive(it, f"r{number}")
    arrive(it, "r3", now_s=2.0)
    core.handle(it, events.LoadReported("e1", 5, 0, 0.1, 1.0), 2.5)
    assert it.servers["e1"].others == 2
    (view,) = inspection.servers(it, 2.5)
    assert view.estimated_in_flight == 6


def test_prefix_draws_calls_to_one_server_until_it_is_loaded():
    names = [examples.engine(f"e{n}", max_concurrency=10) for n in range(4)]
    it = make([examples.request_class("balance")], names)
    uses = collections.Counter()
    for number in range(8):
        (item,) = sent(arrive(it, f"r{number}", prefix_digests=(1, 2, 3)))
        uses[item.backend_server] += 1
    assert uses.most_common(1)[0][1] >= 2
    assert len(uses) > 1


def provider_core():
    engines = [
        examples.engine("e1", provider="new", max_concurrency=1000),
        examples.engine("e2", provider="old", max_concurrency=1000),
    ]
    shares = (
        model.ProviderShare("balance", "new", 0.25),
        model.ProviderShare("balance", "old", 0.75),
    )
    classes = [examples.request_class("balance", max_queue_length=5000)]
    return make(classes, engines, shares=shares)


def test_provider_gets_its_share_and_conversations_stay():
    it = provider_core()
    places = {}
    for number in range(800):
        (item,) = sent(arrive(it, f"r{number}", conversation=number % 400))
        places.setdefault(number % 400, set()).add(item.backend_server)
        core.handle(it, events.Completed(f"r{number}", 1, 5), 0.1)
    assert all(len(seen) == 1 for seen in places.values())
    share = sum(seen == {"e1"} for seen in places.values()) / 400
    assert 0.18 < share < 0.32


def test_provider_whose_attainment_falls_is_held_back():
    it = provider_core()
    request_class = it.classes["balance"]
    call = state.Call(examples.arrival("r"), request_class, 0.0, 1.0)
    for number in range(200):
        providers.observe(it, call, "old", True, float(number))
        providers.observe(it, call, "new", number % 2 == 0, float(number))
    assert providers.held(it, "balance", "new") < 0.3
    for number in range(200, 500):
        providers.observe(it, call, "new", True, float(number))
    assert providers.held(it, "balance", "new") == 1.0


def test_account_over_its_rate_is_told_when_to_come_back():
    limited = examples.account("school", ("balance",), rate_per_s=2.0, burst_calls=2.0)
    it = make([examples.request_class("balance")], ["e1"], accounts=[limited])
    done = [arrive(it, f"r{n}") for n in range(3)]
    refusal = refused(done[2])["r2"]
    assert refusal.reason is refusals.Reason.RATE_LIMITED
    assert refusal.retry_after_s == 0.5
    assert sent(arrive(it, "r4", now_s=0.5))


def test_newer_configuration_keeps_calls_in_flight():
    it = make([examples.request_class("balance")], ["e1", "e2"])
    (first,) = sent(arrive(it, "r"))
    left = [item for item in it.configuration.backend_servers if item.name != "e1"]
    changed = dataclasses.replace(it.configuration, backend_servers=tuple(left))
    core.handle(it, events.ConfigurationChanged(changed, 1), 1.0)
    core.handle(it, events.ConfigurationChanged(it.configuration, 1), 1.1)
    assert it.version == 1
    for number in range(5):
        (item,) = sent(arrive(it, f"n{number}", now_s=2.0))
        assert item.backend_server == "e2"
    assert core.handle(it, events.Completed("r", first.attempt, 5), 3.0) == []


def test_a_suspect_that_waits_is_served_after_a_change_of_configuration():
    it = make([examples.request_class("balance")], ["e1", "e2"])
    place = sent(arrive(it, "r1"))[0].backend_server
    other = {"e1": "e2", "e2": "e1"}[place]
    gone, live = events.ServerState.GONE, events.ServerState.LIVE
    core.handle(it, events.ServerStateChanged(other, gone), 0.1)
    core.handle(it, events.AttemptFailed("r1", 1, CRASHED, MAYBE, 0), 0.2)
    core.handle(it, events.ConfigurationChanged(it.configuration, 2), 0.3)
    done = core.handle(it, events.ServerStateChanged(other, live), 0.4)
    for step in range(100):
        done += core.handle(it, events.Ticked(), 0.5 + step * 0.05)
    assert [item.request_id for item in sent(done)] == ["r1"]


def tell(it, router, now_s, suspects=(), placed=(), quarantined=()):
    digest = events.PeerDigestReceived(
        router, "b", (), suspects, quarantined, (), (), placed
    )
    return core.handle(it, digest, now_s)


def run_until(it, since_s, until_s):
    steps = int((until_s - since_s) / 0.05)
    done = []
    for step in range(steps):
        done += core.handle(it, events.Ticked(), since_s + step * 0.05)
    return done


def crash_first(it):
    """Let a call crash its first backend server at 0.1 s, with a peer known."""
    tell(it, "router-9", 0.0)
    arrive(it, "r1")
    core.handle(it, events.AttemptFailed("r1", 1, CRASHED, MAYBE, 0), 0.1)


def test_one_router_at_a_time_runs_a_suspect_of_several():
    it = make([examples.request_class("balance")], ["e1", "e2", "e3"], "router-2")
    crash_first(it)
    tell(it, "router-1", 0.2, ("r1",), (("r1", "assistant"),))
    assert sent(run_until(it, 0.3, 2.0)) == []
    done = tell(it, "router-1", 2.0) + run_until(it, 2.1, 3.0)
    assert len(sent(done)) == 1


def test_a_peers_crash_counts_towards_the_quarantine():
    it = make([examples.request_class("balance")], ["e1", "e2", "e3"])
    crash_first(it)
    tell(it, "router-2", 0.2, ("r1",))
    assert len(sent(run_until(it, 0.3, 2.0))) == 1
    done = core.handle(it, events.AttemptFailed("r1", 2, CRASHED, MAYBE, 0), 2.0)
    assert refused(done)["r1"].reason is refusals.Reason.QUARANTINED


def test_a_peers_suspect_that_arrives_waits_for_news_of_its_quarantine():
    it = make([examples.request_class("balance")], ["e1", "e2", "e3"])
    tell(it, "router-2", 0.0, ("r1",))
    assert sent(arrive(it, "r1", now_s=0.1)) == []
    done = tell(it, "router-2", 0.3, quarantined=("r1",))
    assert refused(done)["r1"].reason is refusals.Reason.QUARANTINED


def report(it, name, now_s):
    core.handle(it, events.LoadReported(name, 0, 0, 0.0, now_s), now_s)


def test_a_server_asked_seldom_has_not_fallen_silent():
    it = make([examples.request_class("balance")], ["e1", "e2"])
    for now_s in (0.0, 7.0):
        report(it, "e1", now_s)
    assert not placement.fell_silent(it.servers["e1"], 13.0)
    assert placement.fell_silent(it.servers["e1"], 29.0)


def test_a_server_asked_often_falls_silent_soon():
    it = make([examples.request_class("balance")], ["e1", "e2"])
    for now_s in (0.0, 0.5):
        report(it, "e1", now_s)
    assert placement.fell_silent(it.servers["e1"], 4.5)
