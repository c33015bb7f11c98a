"""The leader's lease to give orders."""

import hypothesis
from hypothesis import strategies as st

from hickoryweir.daemon import office
from hickoryweir.engines import orders_plan

LEASE_S = 10.0


def sight(seen_at_s, round_number, quorum_round, *, term=7, is_leader=True):
    return office.Sight(seen_at_s, term, is_leader, round_number, quorum_round)


def observe_all(*sights):
    made = office.NO_OFFICE
    for each in sights:
        made = office.observe(made, each)
    return made


def test_new_leader_without_a_confirmed_round_has_no_office():
    made = observe_all(sight(0.0, 1, 0))
    assert office.issuer_at(made, 0.0, LEASE_S) is None


def test_lease_runs_from_before_the_round_and_not_from_its_answers():
    made = observe_all(sight(0.0, 1, 0), sight(9.0, 2, 2))
    assert office.issuer_at(made, 9.9, LEASE_S) is not None
    assert office.issuer_at(made, 10.0, LEASE_S) is None


def test_answers_of_an_older_round_confirm_nothing():
    made = observe_all(sight(0.0, 5, 0), sight(1.0, 6, 5))
    assert office.issuer_at(made, 1.0, LEASE_S) is None


def test_isolated_leader_loses_the_office():
    made = observe_all(
        sight(0.0, 1, 0), sight(1.0, 2, 2), *(sight(t, t + 2, 2) for t in range(2, 20))
    )
    assert office.issuer_at(made, 19.0, LEASE_S) is None


def test_follower_has_no_office():
    made = observe_all(sight(0.0, 1, 0), sight(1.0, 2, 2, is_leader=False))
    assert made is office.NO_OFFICE


def test_new_term_starts_a_new_office():
    made = observe_all(
        sight(0.0, 1, 0), sight(1.0, 2, 2), sight(2.0, 3, 0, term=9), sight(3.0, 4, 4)
    )
    assert made.term == 7
    made = observe_all(sight(2.0, 3, 0, term=9), sight(3.0, 4, 4, term=9))
    assert office.issuer_at(made, 3.0, LEASE_S) == orders_plan.Issuer(9, 2.0)


STEPS = st.lists(
    st.tuples(st.floats(0.01, 3.0), st.integers(0, 3), st.integers(0, 5)), max_size=40
)


@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=100)
def test_lease_never_starts_after_an_answered_round_began(steps):
    made, now_s, begun_at_s, quorum = office.NO_OFFICE, 0.0, [0.0], 0
    for wait_s, rounds, lag in steps:
        now_s += wait_s
        begun_at_s += [now_s] * rounds
        last = len(begun_at_s) - 1
        quorum = max(quorum, last - lag)
        made = office.observe(made, sight(now_s, last, quorum))
        assert made.confirmed_at_s <= begun_at_s[quorum]
