"""Log lines on the state of a replica."""

import asyncio
import io
import json
import random

from hickoryweir.entry import replica_log
from hickoryweir.observability import logs
from hickoryweir.replicas import messages
from hickoryweir.replicas import state as states


def make_state(leader_id="b~1"):
    state = states.State("a~1", states.Timing(), random.Random(1))
    members = (
        messages.Member("a~1", "a:1", "a", True),
        messages.Member("b~1", "b:1", "b", False),
    )
    state.memberships = [(1, messages.Membership(members))]
    state.leader_id = leader_id
    state.term, state.commit_index, state.applied_index = 3, 9, 8
    state.heard_from_ids = {"c~1"}
    return state


def test_line_names_leader_term_indexes_members_and_table():
    fields = replica_log.make_fields(replica_log.summarize(make_state(), 7))
    assert fields == logs.Fields(
        reason="leader known",
        peer="b~1",
        version=7,
        detail="follower in term 3, committed 9, applied 8, "
        "members: a~1, b~1 (learner)",
    )


def test_line_without_a_leader_names_the_replicas_that_respond():
    fields = replica_log.make_fields(replica_log.summarize(make_state(""), 7))
    assert fields.reason == "no leader"
    assert fields.detail == (
        "follower in term 3, heard from: c, committed 9, applied 8, "
        "members: a~1, b~1 (learner)"
    )


def test_line_is_due_on_a_change_of_leader_table_or_members():
    known = replica_log.summarize(make_state(), 7)
    state = make_state()
    state.commit_index = 10
    assert not replica_log.is_due(replica_log.summarize(state, 7), known, 60.0)
    assert replica_log.is_due(replica_log.summarize(state, 8), known, 0.0)
    state.leader_id = "c~1"
    assert replica_log.is_due(replica_log.summarize(state, 7), known, 0.0)
    state = make_state()
    state.memberships = []
    assert replica_log.is_due(replica_log.summarize(state, 7), known, 0.0)


def test_state_without_a_leader_is_repeated_once_a_second():
    known = replica_log.summarize(make_state(""), 7)
    assert not replica_log.is_due(known, known, 0.9)
    assert replica_log.is_due(known, known, 1.0)


def test_changing_state_writes_few_lines():
    stream = io.StringIO()
    versions = iter(range(1_000_000))

    async def main():
        task = asyncio.create_task(
            replica_log.log_changes(
                lambda: replica_log.summarize(make_state(), next(versions))
            )
        )
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    logs.configure("info", stream)
    try:
        asyncio.run(main())
    finally:
        logs.configure()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert 1 <= len(lines) <= 6
    assert {line["message"] for line in lines} == {"state of the replica"}
