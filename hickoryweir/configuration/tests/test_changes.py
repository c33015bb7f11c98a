"""The state machine of operators' changes."""

import dataclasses
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from hickoryweir.configuration import (
    changes,
    commands,
    deltas,
    generator,
    history,
    render,
)

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
ANSWERS = (EXAMPLES / "kitamori" / "answers.ini").read_text()
CONFIGURATION = render.render(generator.generate_text(ANSWERS, "a").unwrap())
VOTERS = tuple(
    commands.Voter(f"{zone}-1", zone) for zone in ("sapporo", "asahikawa", "hakodate")
)
SEEDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)


def submit(change_id, expected, operator="ann", issued_at_s=10.0, text="text"):
    return commands.make_submit(
        change_id, operator, issued_at_s, expected, f"answers of {change_id}", text
    )


def stop(change_id, kind, name, even_so=False, issued_at_s=10.0):
    kind = commands.SubjectKind(kind)
    return commands.StartStop(
        change_id, "ann", issued_at_s, kind, name, even_so, VOTERS
    )


def started():
    state = changes.initial_state()
    changes.apply(state, submit("first", 0, text=CONFIGURATION), 1, 10.0)
    return state


def test_loser_of_a_race_sees_the_winner():
    state = changes.initial_state()
    changes.apply(state, submit("a", 0, "ann"), 1, 10.0)
    reply = changes.apply(state, submit("b", 0, "bob"), 2, 10.0)
    assert (reply.winning_version, reply.operator, reply.change_id) == (1, "ann", "a")
    assert commands.decompress(reply.answers) == "answers of a"


def test_same_change_id_with_other_content_is_refused():
    state = changes.initial_state()
    changes.apply(state, submit("a", 0), 1, 10.0)
    other = submit("a", 0, text="other")
    assert changes.apply(state, other, 2, 10.0) == commands.ChangeIdReused()


def test_planned_stop_does_not_make_a_change_conflict():
    state = started()
    changes.apply(state, stop("s", "backend-server", "assistant-1"), 2, 10.0)
    change = submit("a", 1, text=CONFIGURATION)
    assert changes.apply(state, change, 3, 10.0) == commands.Accepted(3)


@pytest.mark.parametrize(
    ("kind", "name", "reply"),
    [
        ("backend-server", "nobody", commands.SubjectUnknown),
        ("availability-zone", "otaru", commands.SubjectUnknown),
        ("provider", "kitamori", commands.LastServer),
        ("backend-server", "top-up-1", commands.Accepted),
        ("availability-zone", "sapporo", commands.Accepted),
        ("entry-vm", "sapporo-1", commands.Accepted),
    ],
)
def test_stop_is_accepted_or_refused_by_what_it_takes(kind, name, reply):
    assert isinstance(changes.apply(started(), stop("s", kind, name), 2, 10.0), reply)


def test_stop_of_the_last_server_needs_even_so():
    state = started()
    for number in (1, 2):
        name = f"top-up-{number}"
        changes.apply(state, stop(name, "backend-server", name), 2, 10.0)
    last = stop("s", "backend-server", "top-up-3")
    assert changes.apply(state, last, 4, 10.0).names == ("service top-ups",)
    forced = stop("t", "backend-server", "top-up-3", even_so=True)
    assert isinstance(changes.apply(state, forced, 5, 10.0), commands.Accepted)


def test_stop_that_takes_the_quorum_needs_even_so():
    state = started()
    changes.apply(state, stop("s", "entry-vm", "sapporo-1"), 2, 10.0)
    reply = changes.apply(state, stop("t", "availability-zone", "hakodate"), 3, 10.0)
    assert reply == commands.QuorumLost(remaining_count=1, needed_count=2)


def test_stop_runs_once_and_can_be_cancelled():
    state = started()
    first = stop("s", "provider", "tokachi")
    changes.apply(state, first, 2, 10.0)
    again = changes.apply(state, stop("t", "provider", "tokachi"), 3, 10.0)
    assert again == commands.AlreadyStopping("ann", "s")
    cancel = commands.CancelStop("u", "bob", 10.0, first.kind, first.name)
    assert changes.apply(state, cancel, 4, 10.0) == commands.Accepted(3)
    other = dataclasses.replace(cancel, change_id="v")
    assert changes.apply(state, other, 5, 10.0) == commands.NotStopping()


def test_stop_ends_when_its_server_leaves_the_configuration():
    state = started()
    changes.apply(state, stop("s", "backend-server", "top-up-1"), 2, 10.0)
    smaller = deltas.patch(
        CONFIGURATION, deltas.Delta("#\n", (), ("backend-server top-up-1",))
    )
    changes.apply(state, submit("a", 2, text=smaller), 3, 10.0)
    assert state.running_stops == {}


def test_command_older_than_every_kept_reply_never_runs(monkeypatch):
    monkeypatch.setattr(changes, "MAX_REPLY_COUNT", 2)
    state = changes.initial_state()
    old = submit("a", 0, issued_at_s=1.0)
    changes.apply(state, old, 1, 10.0)
    for number in range(2):
        changes.apply(state, submit(f"b{number}", 0, issued_at_s=5.0), 2, 10.0)
    assert changes.apply(state, old, 4, 10.0) == commands.Expired(1.0)


def test_damaged_content_is_refused():
    state = changes.initial_state()
    damaged = dataclasses.replace(submit("a", 0), configuration=b"junk")
    assert changes.apply(state, damaged, 1, 10.0) == commands.ContentInvalid()
    assert state.version == 0


def test_command_from_the_future_is_refused():
    reply = changes.apply(changes.initial_state(), submit("a", 0), 1, -1000.0)
    assert reply == commands.IssuedInFuture(-1000.0)


def test_old_history_is_summed_up_by_day(monkeypatch):
    monkeypatch.setattr(history, "MAX_ENTRY_COUNT", 5)
    state = changes.initial_state()
    for number in range(30):
        time_s = number * 20_000.0
        command = submit(f"c{number}", number, f"op{number % 2}", time_s)
        changes.apply(state, command, number, time_s)
    assert len(state.audit.entries) == 5
    assert sum(n for day in state.audit.days for _, n in day.operators) == 25
    assert len(state.audit.contents) == history.MAX_CONTENT_COUNT


sends = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5), strategies.integers(0, 4), strategies.booleans()
    ),
    max_size=30,
)


@SEEDED
@hypothesis.given(sends)
def test_racing_and_resending_operators_make_one_history(sent):
    state = changes.initial_state()
    first_replies = {}
    for index, (number, expected, is_stop) in enumerate(sent):
        change_id = f"{number}-{expected}-{is_stop}"
        command = submit(change_id, expected, f"op{number}", text=CONFIGURATION)
        if is_stop:
            command = stop(change_id, "backend-server", f"assistant-{number + 1}")
        before = changes.dump(state)
        reply = changes.apply(state, command, index, 10.0)
        known = first_replies.setdefault(change_id, reply)
        assert reply == known
        if not isinstance(reply, commands.Accepted) or index != len(first_replies) - 1:
            continue
        assert state.version == changes.load(before).version + 1
    versions = [entry.version for entry in state.audit.entries]
    accepted = {r.version for r in first_replies.values() if hasattr(r, "version")}
    assert versions == list(range(1, state.version + 1))
    assert accepted == set(versions)
    assert changes.load(changes.dump(state)) == state


texts = strategies.dictionaries(
    strategies.sampled_from(["class a", "class b", "model a", "account c"]),
    strategies.integers(0, 3),
).map(
    lambda sections: (
        "# h\n" + "".join(f"\n[{t}]\nk = {sections[t]}\n" for t in sorted(sections))
    )
)


@SEEDED
@hypothesis.given(texts, texts, texts)
def test_deltas_lead_from_text_to_text_and_compose(first, second, third):
    one = deltas.diff(first, second)
    two = deltas.diff(second, third)
    assert deltas.patch(first, one) == second
    assert deltas.patch(first, deltas.compose(one, two)) == third
