"""Who records software versions in the replicated log, and when they are removed."""

import asyncio

import pytest
from returns import result

from hickoryweir.discovery import listing, version_log, version_record
from hickoryweir.replicas import machine

LIFETIME_S = 20.0
LIST_INTERVAL_S = 0.8


class FakeLog:
    """Applies commands at once, unless it has no leader or is of an earlier build."""

    def __init__(self):
        self.state = version_record.initial_state()
        self.commands = []
        self.has_leader = True
        self.is_earlier_build = False

    async def read(self, query, timeout_s):
        """Answer a query."""
        if self.is_earlier_build:
            return result.Success(machine.CommandUnknown("ReadVersions"))
        if not self.has_leader:
            return result.Failure("no_quorum")
        return result.Success(version_record.make_record(self.state))

    async def propose(self, command, timeout_s):
        """Apply a command."""
        if not self.has_leader:
            return result.Failure("no_quorum")
        self.commands.append(command)
        index = len(self.commands)
        return result.Success(version_record.apply(self.state, command, index, 0.0))

    def versions(self):
        """Return the recorded versions."""
        return sorted(pair.software_version for pair in self.state.indexes)


def make_list(read_at_s, *versions):
    return listing.ServerList(
        tuple(
            listing.BackendServer(
                f"s-{version}",
                "llm",
                "10.0.0.1:80",
                "a",
                listing.ServerState.READY,
                8,
                0.0,
                software_version=version,
            )
            for version in versions
        ),
        read_at_s,
    )


def make_recorder(log):
    recorder = version_log.Recorder(log, lambda: log.state, lambda name: LIFETIME_S)
    recorder.begin_term()
    return recorder


def read_lists(recorder, since_s, until_s, *versions):
    """Let the recorder read the same list again and again."""
    count = round((until_s - since_s) / LIST_INTERVAL_S)
    for number in range(count + 1):
        read_at_s = since_s + number * LIST_INTERVAL_S
        server_list = make_list(read_at_s, *versions)
        asyncio.run(recorder.record_new(server_list))
        asyncio.run(recorder.refresh(server_list))


def test_leader_records_the_versions_of_a_list_once():
    log = FakeLog()
    recorder = make_recorder(log)
    read_lists(recorder, 0.0, 4.0, "v1")
    read_lists(recorder, 4.8, 8.0, "v1", "v2")
    assert log.versions() == ["v1", "v2"]
    assert len(log.commands) == 2


def test_absurd_version_of_a_listed_server_is_not_kept_in_the_log():
    log = FakeLog()
    read_lists(make_recorder(log), 0.0, 1.6, "v1", "v" * 5000)
    assert log.versions() == ["v1"]


def test_leader_records_a_version_later_if_the_log_did_not_answer():
    log = FakeLog()
    log.has_leader = False
    recorder = make_recorder(log)
    read_lists(recorder, 0.0, 0.0, "v1")
    log.has_leader = True
    read_lists(recorder, 0.8, 0.8, "v1")
    assert log.versions() == ["v1"]


def test_new_leader_sends_a_list_of_recorded_versions_without_waiting_for_the_log():
    log = FakeLog()
    read_lists(make_recorder(log), 0.0, 0.0, "v1")
    recorder, server_list = make_recorder(log), make_list(0.8, "v1")
    asyncio.run(recorder.record_new(server_list))
    before = len(log.commands)
    asyncio.run(recorder.refresh(server_list))
    assert (before, len(log.commands)) == (1, 2)


def test_version_is_removed_once_no_stream_of_it_can_be_alive():
    log = FakeLog()
    recorder = make_recorder(log)
    read_lists(recorder, 0.0, 0.0, "v1", "v2")
    read_lists(recorder, 0.8, LIFETIME_S, "v2")
    before = log.versions()
    read_lists(recorder, LIFETIME_S + 0.8, LIFETIME_S + 2.4, "v2")
    assert (before, log.versions()) == (["v1", "v2"], ["v2"])


def test_version_is_not_removed_by_a_leader_that_has_not_watched_the_list_for_as_long():
    log = FakeLog()
    read_lists(make_recorder(log), 0.0, 0.0, "v1", "v2")
    read_lists(make_recorder(log), LIFETIME_S, 2 * LIFETIME_S - 1.0, "v2")
    assert log.versions() == ["v1", "v2"]


def test_version_is_not_removed_if_lists_between_were_not_read():
    log = FakeLog()
    recorder = make_recorder(log)
    read_lists(recorder, 0.0, 0.0, "v1", "v2")
    read_lists(recorder, 0.8, 10.0, "v2")
    read_lists(recorder, 14.0, 2 * LIFETIME_S - 7.0, "v2")
    assert log.versions() == ["v1", "v2"]


def test_shorter_lifetime_in_a_later_table_does_not_remove_a_version_sooner():
    absences, recorded = version_log.Absences(), frozenset({("llm", "v1")})
    found = [
        version_log.find_expired(
            absences,
            recorded,
            make_list(at_s, "v2"),
            lambda name, at_s=at_s: 9.0 - at_s,
        )
        for at_s in (0.0, 2.5, 5.0, 7.5, 10.0)
    ]
    assert found == [frozenset()] * 4 + [recorded]


def test_version_that_comes_back_is_recorded_again():
    log = FakeLog()
    recorder = make_recorder(log)
    read_lists(recorder, 0.0, 0.0, "v1", "v2")
    decided = version_record.make_record(log.state).versions
    read_lists(recorder, 0.8, 0.8, "v1")
    read_lists(recorder, 1.6, 1.6, "v1", "v2")
    asyncio.run(log.propose(version_record.RemoveVersions(decided), 1.0))
    assert log.versions() == ["v2"]


@pytest.mark.parametrize(
    ("has_leader", "is_earlier_build", "may_begin", "versions"),
    [
        (True, False, True, ["v1", "v2"]),
        (False, False, False, []),
        (True, True, True, []),
    ],
    ids=["answers", "no leader", "earlier build"],
)
def test_router_records_what_the_leader_did_not(
    has_leader, is_earlier_build, may_begin, versions
):
    log = FakeLog()
    log.has_leader, log.is_earlier_build = has_leader, is_earlier_build
    pairs = frozenset({("llm", "v1"), ("llm", "v2")})
    assert asyncio.run(version_log.VersionLog(log).record(pairs)) is may_begin
    assert log.versions() == versions


def test_router_does_not_record_what_is_recorded():
    log = FakeLog()
    read_lists(make_recorder(log), 0.0, 0.0, "v1")
    asyncio.run(version_log.VersionLog(log).record(frozenset({("llm", "v1")})))
    assert len(log.commands) == 1


@pytest.mark.parametrize("is_earlier_build", [True, False])
def test_record_that_cannot_be_read_is_not_taken_for_an_empty_one(is_earlier_build):
    log = FakeLog()
    log.has_leader, log.is_earlier_build = False, is_earlier_build
    assert asyncio.run(version_log.VersionLog(log).read()) is None
