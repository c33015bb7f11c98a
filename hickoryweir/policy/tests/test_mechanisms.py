"""Effects of the mechanisms of the policy."""

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


def make_state(classes, engines, router="router-1", accounts=None, shares=()):
    names = [examples.engine(n) if isinstance(n, str) else n for n in engines]
    configuration = examples.configuration(classes, names, accounts, shares)
    return core.make_core(settings.CoreSettings(router, "a"), configuration)


def arrive(core_state, request_id, name="balance", now_s=0.0, **changes):
    changes = {"deadline_s": now_s + 60.0} | changes
    return core.handle(core_state, examples.arrival(request_id, name, **changes), now_s)


def sent(result):
    return [item for item in result if isinstance(item, actions.Dispatch)]


def refused(result):
    return {
        item.request_id: item.refusal
        for item in result
        if isinstance(item, actions.Refuse)
    }


def serve_in_order(core_state, now_s=1.0):
    """Complete attempts, oldest first; return the calls in order of dispatch."""
    order = []
    running = collections.deque(
        (key, number)
        for key, call in core_state.calls.items()
        for number in call.attempts
    )
    while running:
        key, number = running.popleft()
        result = core.handle(core_state, events.Completed(key, number, 100), now_s)
        order += [item.request_id for item in sent(result)]
        running += [(item.request_id, item.attempt) for item in sent(result)]
    return order


def test_accounts_of_a_class_share_by_weight_not_by_arrivals():
    accounts = [
        examples.account("large", ("balance",), weight=1.0),
        examples.account("small", ("balance",), weight=1.0),
    ]
    engines = [examples.engine("e1", max_concurrency=1)]
    core_state = make_state(
        [examples.request_class("balance")], engines, accounts=accounts
    )
    for number in range(20):
        arrive(core_state, f"large-{number}", account="large")
    for number in range(5):
        arrive(core_state, f"small-{number}", account="small")
    order = serve_in_order(core_state, 0.5)
    assert sum(key.startswith("small") for key in order[:10]) == 5


def test_floor_share_serves_a_low_tier_through_a_burst():
    classes = [
        examples.request_class("balance", max_queue_length=500),
        examples.request_class("summary", 1, floor_share=0.2, max_queue_length=500),
    ]
    core_state = make_state(classes, [examples.engine("e1", max_concurrency=2)])
    long_deadline = {"deadline_s": 500.0}
    for number in range(100):
        arrive(core_state, f"b{number}", "balance", **long_deadline)
        arrive(core_state, f"s{number}", "summary", **long_deadline)
    order = serve_in_order(core_state, 0.95)
    summaries = sum(key.startswith("s") for key in order[:50])
    assert 7 <= summaries <= 13


def test_late_calls_do_not_delay_calls_that_are_on_time():
    engines = [examples.engine("e1", max_concurrency=1)]
    core_state = make_state([examples.request_class("balance")], engines)
    for number in range(4):
        arrive(core_state, f"old{number}")
    arrive(core_state, "new", now_s=5.0)
    result = core.handle(core_state, events.Completed("old0", 1, 10), 5.0)
    assert [item.request_id for item in sent(result)] == ["new"]


def test_calls_that_cannot_finish_in_time_are_refused_before_their_deadline():
    engines = [examples.engine("e1", max_concurrency=1)]
    classes = [examples.request_class("balance", expected_output_tokens=1000)]
    core_state = make_state(classes, engines)
    for number in range(3):
        arrive(core_state, f"r{number}", deadline_s=60.0)
    result = core.handle(core_state, events.Ticked(), 50.0)
    assert refused(result)["r2"].reason is refusals.Reason.SHED
    assert refused(result)["r2"].retry_after_s > 0


def test_slow_server_is_ejected_probed_and_restored():
    names = ["e1", "e2", "e3"]
    core_state = make_state([examples.request_class("balance")], names)
    slow = {"e1": 1.0}
    now_s = 0.0
    uses = collections.Counter()
    for number in range(600):
        if number == 300:
            slow = {}
        now_s += 0.5
        for item in sent(arrive(core_state, f"r{number}", now_s=now_s)):
            pause_s = slow.get(item.backend_server, 0.02)
            phase = "slow" if 30 < number < 300 else "after"
            uses[phase, item.backend_server] += number > 30
            for step in range(1, 8):
                event = events.Progressed(f"r{number}", 1, step)
                core.handle(core_state, event, now_s + pause_s * step)
            now_s += pause_s * 7
            core.handle(core_state, events.Completed(f"r{number}", 1, 8), now_s)
        core.handle(core_state, events.Ticked(), now_s)
    assert uses["slow", "e1"] < 15
    assert uses["after", "e1"] > 60


def test_never_more_than_a_third_of_a_pool_is_ejected():
    names = [f"e{n}" for n in range(6)]
    core_state = make_state([examples.request_class("balance")], names)
    for number, server in enumerate(core_state.servers.values()):
        server.speed.between_tokens_s = 0.02 if number < 3 else 1.0
        server.speed.samples = 10
    for number in range(20):
        core.handle(core_state, events.Ticked(), float(number) / 5)
    assert sum(server.speed.ejected for server in core_state.servers.values()) <= 2


def test_hedge_loser_is_cancelled_at_the_first_token():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2"])
    (first,) = sent(arrive(core_state, "r"))
    (hedge,) = sent(core.handle(core_state, events.Ticked(), 0.8))
    assert hedge.hedge
    assert hedge.backend_server != first.backend_server
    result = core.handle(core_state, events.Progressed("r", hedge.attempt, 1), 0.9)
    assert result == [actions.CancelAttempt("r", first.attempt)]


def test_non_idempotent_calls_are_never_hedged():
    core_state = make_state(
        [examples.request_class("charge", idempotent=False)], ["e1", "e2"]
    )
    arrive(core_state, "r", "charge")
    assert core.handle(core_state, events.Ticked(), 5.0) == []


def crash(core_state, server_name, now_s):
    """Crash a server: every attempt there fails; return the actions."""
    result = []
    for key, call in list(core_state.servers[server_name].calls.items()):
        for attempt in list(call.attempts.values()):
            if attempt.server == server_name:
                event = events.AttemptFailed(key, attempt.number, CRASHED, MAYBE, 0)
                result += core.handle(core_state, event, now_s)
    return result


def test_poison_request_is_quarantined_after_two_crashes_and_others_continue():
    core_state = make_state(
        [examples.request_class("balance")], ["e1", "e2", "e3", "e4"]
    )
    for number in range(8):
        arrive(core_state, f"r{number}")
    (victim,) = core_state.calls["r0"].attempts.values()
    crash(core_state, victim.server, 1.0)
    (again,) = core_state.calls["r0"].attempts.values()
    assert len(core_state.servers[again.server].suspects) == 1
    result = crash(core_state, again.server, 2.0)
    assert refused(result)["r0"].reason is refusals.Reason.QUARANTINED
    assert len(refused(result)) == 1
    later = arrive(core_state, "again", now_s=3.0, fingerprint="r0")
    assert refused(later)["again"].reason is refusals.Reason.QUARANTINED


def test_quarantine_reaches_other_routers():
    classes = [examples.request_class("balance")]
    mine = make_state(classes, ["e1", "e2", "e3"], "router-1")
    other = make_state(classes, ["e1", "e2", "e3"], "router-2")
    arrive(mine, "r")
    for now_s in (1.0, 2.0):
        (attempt,) = mine.calls["r"].attempts.values()
        crash(mine, attempt.server, now_s)
    core.handle(other, inspection.digest(mine, 2.5), 2.5)
    found = refused(arrive(other, "resent", now_s=3.0, fingerprint="r"))
    assert found["resent"].reason is refusals.Reason.QUARANTINED


def test_routers_place_suspects_on_different_servers():
    classes = [examples.request_class("balance")]
    names = ["e1", "e2", "e3", "e4"]
    routers = [make_state(classes, names, f"router-{n}") for n in range(3)]
    for number, core_state in enumerate(routers):
        arrive(core_state, f"r{number}")
        (attempt,) = core_state.calls[f"r{number}"].attempts.values()
        for other in routers:
            if other is not core_state:
                core.handle(other, inspection.digest(core_state, 0.5), 0.5)
        crash(core_state, attempt.server, 1.0)
    for core_state in routers:
        for other in routers:
            if other is not core_state:
                core.handle(other, inspection.digest(core_state, 1.2), 1.2)
    places = []
    for number, core_state in enumerate(routers):
        core.handle(core_state, events.Ticked(), 2.0)
        (attempt,) = core_state.calls[f"r{number}"].attempts.values()
        places.append(attempt.server)
    assert len(set(places)) == 3


def test_finished_suspect_is_cleared_everywhere():
    classes = [examples.request_class("balance")]
    mine = make_state(classes, ["e1", "e2"], "router-1")
    other = make_state(classes, ["e1", "e2"], "router-2")
    arrive(mine, "r")
    (attempt,) = mine.calls["r"].attempts.values()
    crash(mine, attempt.server, 1.0)
    core.handle(other, inspection.digest(mine, 1.1), 1.1)
    assert "r" in other.peer_suspects
    (attempt,) = mine.calls["r"].attempts.values()
    core.handle(mine, events.Completed("r", attempt.number, 10), 2.0)
    core.handle(other, inspection.digest(mine, 2.1), 2.1)
    assert "r" not in other.peer_suspects


def test_lost_peer_ages_out():
    core_state = make_state([examples.request_class("balance")], ["e1"])
    digest = events.PeerDigestReceived("p", "a", (("e1", 5),), (), (), ())
    core.handle(core_state, digest, 0.0)
    assert core_state.servers["e1"].peers_running == 5
    core.handle(core_state, events.Ticked(), 10.0)
    assert core_state.servers["e1"].peers_running == 0


def test_report_is_corrected_by_own_calls_at_its_time():
    core_state = make_state([examples.request_class("balance")], ["e1"])
    for number in range(3):
        arrive(core_state, f"r{number}")
    arrive(core_state, "r3", now_s=2.0)
    core.handle(core_state, events.LoadReported("e1", 5, 0, 0.1, 1.0), 2.5)
    assert core_state.servers["e1"].others_in_flight == 2
    (view,) = inspection.servers(core_state, 2.5)
    assert view.estimated_in_flight == 6


def test_calls_prefer_the_server_with_their_prefix_until_it_is_loaded():
    names = [examples.engine(f"e{n}", max_concurrency=10) for n in range(4)]
    core_state = make_state([examples.request_class("balance")], names)
    uses = collections.Counter()
    for number in range(8):
        (item,) = sent(arrive(core_state, f"r{number}", prefix_digests=(1, 2, 3)))
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
    return make_state(classes, engines, shares=shares)


def test_provider_gets_its_share_and_conversations_keep_their_provider():
    core_state = provider_core()
    places = {}
    for number in range(800):
        (item,) = sent(arrive(core_state, f"r{number}", conversation=number % 400))
        places.setdefault(number % 400, set()).add(item.backend_server)
        core.handle(core_state, events.Completed(f"r{number}", 1, 5), 0.1)
    assert all(len(seen) == 1 for seen in places.values())
    share = sum(seen == {"e1"} for seen in places.values()) / 400
    assert 0.18 < share < 0.32


def test_provider_with_low_attainment_gets_a_smaller_share():
    core_state = provider_core()
    request_class = core_state.classes["balance"]
    call = state.Call(examples.arrival("r"), request_class, 0.0, 1.0)
    for number in range(200):
        providers.observe(core_state, call, "old", True, float(number))
        providers.observe(core_state, call, "new", number % 2 == 0, float(number))
    assert providers.share_factor(core_state, "balance", "new") < 0.3
    for number in range(200, 500):
        providers.observe(core_state, call, "new", True, float(number))
    assert providers.share_factor(core_state, "balance", "new") == 1.0


def test_account_over_its_rate_gets_a_retry_after():
    limited = examples.account("school", ("balance",), rate_per_s=2.0, burst_calls=2.0)
    core_state = make_state(
        [examples.request_class("balance")], ["e1"], accounts=[limited]
    )
    result = [arrive(core_state, f"r{n}") for n in range(3)]
    refusal = refused(result[2])["r2"]
    assert refusal.reason is refusals.Reason.RATE_LIMITED
    assert refusal.retry_after_s == 0.5
    assert sent(arrive(core_state, "r4", now_s=0.5))


def test_newer_configuration_keeps_calls_in_flight():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2"])
    (first,) = sent(arrive(core_state, "r"))
    left = [
        item for item in core_state.configuration.backend_servers if item.name != "e1"
    ]
    changed = dataclasses.replace(core_state.configuration, backend_servers=tuple(left))
    core.handle(core_state, events.ConfigurationChanged(changed, 1), 1.0)
    core.handle(
        core_state, events.ConfigurationChanged(core_state.configuration, 1), 1.1
    )
    assert core_state.version == 1
    for number in range(5):
        (item,) = sent(arrive(core_state, f"n{number}", now_s=2.0))
        assert item.backend_server == "e2"
    assert core.handle(core_state, events.Completed("r", first.attempt, 5), 3.0) == []


def test_a_suspect_that_waits_is_served_after_a_change_of_configuration():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2"])
    place = sent(arrive(core_state, "r1"))[0].backend_server
    other = {"e1": "e2", "e2": "e1"}[place]
    gone, live = events.ServerState.GONE, events.ServerState.LIVE
    core.handle(core_state, events.ServerStateChanged(other, gone), 0.1)
    core.handle(core_state, events.AttemptFailed("r1", 1, CRASHED, MAYBE, 0), 0.2)
    core.handle(
        core_state, events.ConfigurationChanged(core_state.configuration, 2), 0.3
    )
    result = core.handle(core_state, events.ServerStateChanged(other, live), 0.4)
    for step in range(100):
        result += core.handle(core_state, events.Ticked(), 0.5 + step * 0.05)
    assert [item.request_id for item in sent(result)] == ["r1"]


def receive_digest(core_state, router, now_s, suspects=(), placed=(), quarantined=()):
    digest = events.PeerDigestReceived(
        router, "b", (), suspects, quarantined, (), (), placed
    )
    return core.handle(core_state, digest, now_s)


def run_until(core_state, since_s, until_s):
    steps = int((until_s - since_s) / 0.05)
    result = []
    for step in range(steps):
        result += core.handle(core_state, events.Ticked(), since_s + step * 0.05)
    return result


def crash_first_attempt(core_state):
    """Let a call crash its first backend server at 0.1 s while a peer is known."""
    receive_digest(core_state, "router-9", 0.0)
    arrive(core_state, "r1")
    core.handle(core_state, events.AttemptFailed("r1", 1, CRASHED, MAYBE, 0), 0.1)


def test_one_router_at_a_time_runs_a_suspect_of_several():
    core_state = make_state(
        [examples.request_class("balance")], ["e1", "e2", "e3"], "router-2"
    )
    crash_first_attempt(core_state)
    receive_digest(core_state, "router-1", 0.2, ("r1",), (("r1", "assistant"),))
    assert sent(run_until(core_state, 0.3, 2.0)) == []
    result = receive_digest(core_state, "router-1", 2.0) + run_until(
        core_state, 2.1, 3.0
    )
    assert len(sent(result)) == 1


def test_a_peers_crash_counts_towards_the_quarantine():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2", "e3"])
    crash_first_attempt(core_state)
    receive_digest(core_state, "router-2", 0.2, ("r1",))
    assert len(sent(run_until(core_state, 0.3, 2.0))) == 1
    result = core.handle(
        core_state, events.AttemptFailed("r1", 2, CRASHED, MAYBE, 0), 2.0
    )
    assert refused(result)["r1"].reason is refusals.Reason.QUARANTINED


def test_a_peers_suspect_waits_until_its_quarantine_would_be_known():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2", "e3"])
    receive_digest(core_state, "router-2", 0.0, ("r1",))
    assert sent(arrive(core_state, "r1", now_s=0.1)) == []
    result = receive_digest(core_state, "router-2", 0.3, quarantined=("r1",))
    assert refused(result)["r1"].reason is refusals.Reason.QUARANTINED


def report(core_state, name, now_s):
    core.handle(core_state, events.LoadReported(name, 0, 0, 0.0, now_s), now_s)


def test_report_timeout_grows_with_the_report_interval():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2"])
    for now_s in (0.0, 7.0):
        report(core_state, "e1", now_s)
    assert not placement.has_stopped_reporting(core_state.servers["e1"], 13.0)
    assert placement.has_stopped_reporting(core_state.servers["e1"], 29.0)


def test_report_timeout_is_short_for_frequent_reports():
    core_state = make_state([examples.request_class("balance")], ["e1", "e2"])
    for now_s in (0.0, 0.5):
        report(core_state, "e1", now_s)
    assert placement.has_stopped_reporting(core_state.servers["e1"], 4.5)
