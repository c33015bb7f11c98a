"""Guarantees of the policy core to the daemon."""

from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, core, events, examples, inspection, settings
from hickoryweir.routers import digests
from hickoryweir.streams import codec


def make_state(configuration=None):
    return core.make_core(
        settings.CoreSettings("router-1", "a"), configuration or examples.small()
    )


def dispatched(result):
    return [item for item in result if isinstance(item, actions.Dispatch)]


def refused(result):
    return [item.refusal for item in result if isinstance(item, actions.Refuse)]


def one_engine(**changes):
    classes = [
        examples.request_class("balance"),
        examples.request_class("charge", idempotent=False, retries=False),
        examples.request_class("summary", 1),
    ]
    return examples.configuration(classes, [examples.engine("e1", **changes)])


def failure(request_id, attempt, cause, ran, tokens=0):
    return events.AttemptFailed(request_id, attempt, cause, ran, tokens)


def test_calls_beyond_max_concurrency_wait_for_a_slot():
    core_state = make_state(one_engine(max_concurrency=2))
    calls = [examples.arrival(f"r{n}", "summary") for n in range(3)]
    first = [core.handle(core_state, call, 0.0) for call in calls]
    assert [len(dispatched(result)) for result in first] == [1, 0, 0]
    result = core.handle(core_state, events.Completed("r0", 1, 10), 1.0)
    assert [item.request_id for item in dispatched(result)] == ["r1"]


def test_top_tier_goes_to_an_engine_full_of_lower_tiers():
    core_state = make_state(one_engine(max_concurrency=4))
    for number in range(5):
        core.handle(core_state, examples.arrival(f"s{number}", "summary"), 0.0)
    result = [core.handle(core_state, examples.arrival(f"r{n}"), 0.1) for n in range(5)]
    assert [len(dispatched(item)) for item in result] == [1, 1, 1, 1, 1]


def test_non_idempotent_call_that_may_have_run_is_never_sent_again():
    core_state = make_state(one_engine())
    core.handle(core_state, examples.arrival("r", "charge"), 0.0)
    result = core.handle(
        core_state,
        failure("r", 1, events.FailureCause.CRASHED, refusals.Ran.MAYBE),
        1.0,
    )
    assert [(item.reason, item.ran) for item in refused(result)] == [
        (refusals.Reason.OUTCOME_UNKNOWN, refusals.Ran.MAYBE)
    ]
    assert not dispatched(core.handle(core_state, events.Ticked(), 20.0))


def test_non_idempotent_call_that_did_not_run_is_sent_elsewhere():
    core_state = make_state(
        examples.configuration(
            [examples.request_class("charge", idempotent=False)],
            [examples.engine("e1"), examples.engine("e2")],
        )
    )
    (first,) = core.handle(core_state, examples.arrival("r", "charge"), 0.0)
    result = core.handle(
        core_state,
        failure("r", 1, events.FailureCause.CONNECT_REFUSED, refusals.Ran.NO),
        1.0,
    )
    assert dispatched(result)[0].backend_server != first.backend_server


def test_cut_stream_resumes_on_another_server():
    core_state = make_state()
    (first,) = core.handle(core_state, examples.arrival("r"), 0.0)
    core.handle(core_state, events.Progressed("r", 1, 7), 0.5)
    result = core.handle(
        core_state,
        failure("r", 1, events.FailureCause.CRASHED, refusals.Ran.YES, 7),
        1.0,
    )
    (again,) = dispatched(result)
    assert again.resume
    assert again.backend_server != first.backend_server


def test_call_whose_deadline_passes_in_the_queue_is_refused():
    core_state = make_state(one_engine(max_concurrency=1))
    for number in range(2):
        core.handle(core_state, examples.arrival(f"r{number}", deadline_s=60.0), 0.0)
    core.handle(core_state, examples.arrival("r2", deadline_s=28.0), 0.0)
    (refusal,) = refused(core.handle(core_state, events.Ticked(), 28.0))
    assert refusal.reason is refusals.Reason.DEADLINE_EXCEEDED
    assert refusal.ran is refusals.Ran.NO
    assert refusal.retry_after_s > 0


def test_leaving_server_gets_no_new_work():
    core_state = make_state(one_engine())
    leaving = events.ServerStateChanged("e1", events.ServerState.LEAVING)
    core.handle(core_state, leaving, 0.0)
    (refusal,) = refused(core.handle(core_state, examples.arrival("r"), 0.1))
    assert refusal.reason is refusals.Reason.NO_BACKEND_SERVER


def test_withdrawn_call_frees_its_slot():
    core_state = make_state(one_engine(max_concurrency=1))
    for number in range(3):
        core.handle(core_state, examples.arrival(f"r{number}"), 0.0)
    result = core.handle(core_state, events.Withdrawn("r1"), 0.2)
    assert [item.request_id for item in dispatched(result)] == ["r2"]


def test_queue_is_bounded():
    classes = [examples.request_class("balance", max_queue_length=2)]
    engines = [examples.engine("e1", max_concurrency=1)]
    core_state = make_state(examples.configuration(classes, engines))
    result = [core.handle(core_state, examples.arrival(f"r{n}"), 0.0) for n in range(5)]
    assert [item.reason for item in refused(result[4])] == [refusals.Reason.QUEUE_FULL]


def test_server_views_give_the_reason_a_server_is_unused():
    core_state = make_state()
    core.handle(
        core_state, events.ServerStateChanged("e2", events.ServerState.GONE), 0.0
    )
    uses = {item.name: item.use for item in inspection.servers(core_state, 1.0)}
    assert uses["e2"] is inspection.Use.GONE
    assert uses["e1"] is inspection.Use.USED


def test_digest_fits_the_size_limit_of_router_messages():
    engines = [examples.engine(f"engine-{n}") for n in range(200)]
    classes = [examples.request_class("balance", max_queue_length=1000)]
    core_state = make_state(examples.configuration(classes, engines))
    crash = events.FailureCause.CRASHED
    for number in range(300):
        call = examples.arrival(f"r{number}", fingerprint=f"{number:064x}")
        core.handle(core_state, call, 0.0)
        if number % 3 == 0:
            core.handle(
                core_state, failure(f"r{number}", 1, crash, refusals.Ran.MAYBE), 0.0
            )
    spread = digests.State()
    digests.add_local(spread, inspection.digest(core_state, 0.0), 1, 0.0)
    (digest, _) = spread.known["router-1"]
    assert len(digest.suspects) > 5
    assert len(codec.encode(digest)) <= digests.MAX_DIGEST_SIZE_BYTES


def test_progress_reports_at_the_same_time_are_accepted():
    core_state = make_state()
    for number in range(2):
        (sent,) = core.handle(core_state, examples.arrival(f"r{number}"), 0.0)
        for tokens in range(1, 8):
            core.handle(
                core_state, events.Progressed(f"r{number}", sent.attempt, tokens), 0.0
            )
    assert core.handle(core_state, events.Ticked(), 0.1) == []
