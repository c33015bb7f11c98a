"""Server states derived from the platform's list, probes and planned stops."""

import hypothesis
from hypothesis import strategies as st

from hickoryweir.discovery import decisions
from hickoryweir.policy import events

NAMES = ("e1", "e2")
LIVE, LEAVING = decisions.VmState.LIVE, decisions.VmState.LEAVING


def listed(version, **states):
    vms = tuple(decisions.Vm(name, state) for name, state in states.items())
    return decisions.Listed(version, vms)


def observe_all(*observations):
    state, changes = decisions.make_state(NAMES), []
    for observation in observations:
        state, changed = decisions.observe(state, observation)
        changes += [(change.backend_server, change.state.value) for change in changed]
    return changes


def test_leaving_vm_takes_no_new_work():
    assert observe_all(listed(1, e1=LEAVING, e2=LIVE)) == [("e1", "leaving")]


def test_missing_vm_is_not_gone():
    assert observe_all(listed(1, e1=LIVE, e2=LIVE), listed(2, e1=LIVE)) == []


def test_leaving_vm_that_disappears_from_the_list_stays_leaving():
    changes = observe_all(listed(1, e1=LEAVING, e2=LIVE), listed(2, e2=LIVE))
    assert changes == [("e1", "leaving")]


def test_old_list_changes_nothing():
    changes = observe_all(listed(5, e1=LIVE, e2=LIVE), listed(4, e1=LEAVING, e2=LIVE))
    assert changes == []


def test_empty_list_changes_nothing():
    assert observe_all(listed(1, e1=LEAVING, e2=LIVE), listed(2)) == [("e1", "leaving")]


def test_failed_probe_marks_the_server_gone():
    changes = observe_all(decisions.Probed("e1", False), decisions.Probed("e1", True))
    assert changes == [("e1", "gone"), ("e1", "live")]


def test_successful_probe_keeps_a_leaving_server_leaving():
    changes = observe_all(
        decisions.StopPlanned("e1", True),
        decisions.Probed("e1", False),
        decisions.Probed("e1", True),
        decisions.StopPlanned("e1", False),
    )
    states = ["leaving", "gone", "leaving", "live"]
    assert changes == [("e1", state) for state in states]


def test_new_server_is_announced():
    assert observe_all(decisions.Configured(("e1", "e3"))) == [("e3", "live")]


VM_LISTS = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([LIVE, LEAVING]))
LISTED = st.builds(
    lambda number, vms: listed(number, **vms), st.integers(0, 9), VM_LISTS
)


@hypothesis.given(st.lists(LISTED, max_size=10))
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=100)
def test_lists_alone_never_make_a_server_gone(lists):
    assert all(state != events.ServerState.GONE for _, state in observe_all(*lists))
