"""The operators' interface over HTTP, with an in-memory log."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib

import pytest
from returns import result

from hickoryweir.claims import commands as claim_commands
from hickoryweir.claims import machine
from hickoryweir.claims import queries as claim_queries
from hickoryweir.configuration import (
    change_ids,
    changes,
    commands,
    key_digests,
    queries,
    settings,
)
from hickoryweir.operators import (
    app,
    authentication,
    client,
    documents,
    server,
    service,
)
from hickoryweir.replicas import client as log_client
from hickoryweir.routers import messages

ANSWERS = (
    pathlib.Path(__file__).parents[3] / "examples" / "kitamori" / "answers.ini"
).read_text()
NOW_S = 1_000_000.0
ZONES = ("asahikawa", "hakodate", "sapporo")
Reason = documents.Reason


@dataclasses.dataclass
class Log:
    """An in-memory log; `failure` makes it unavailable."""

    state: changes.State = dataclasses.field(default_factory=changes.initial_state)
    claims: machine.State = dataclasses.field(default_factory=machine.initial_state)
    failure: log_client.Unavailable | None = None
    pending: set = dataclasses.field(default_factory=set)
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    async def propose(self, command, timeout_s):
        """Apply a command."""
        if self.failure is not None:
            return result.Failure(self.failure)
        return result.Success(changes.apply(self.state, command, 1, NOW_S))

    async def read(self, query, timeout_s):
        """Answer a query."""
        if self.failure is not None:
            return result.Failure(self.failure)
        if isinstance(query, claim_queries.ReadOpenKeys):
            return result.Success(claim_queries.answer(self.claims, query, NOW_S))
        return result.Success(queries.answer(self.state, query, NOW_S))

    def zone_reports(self):
        """Return reports of the newest version from all zones that are not pending."""
        version = self.state.version
        return tuple(
            messages.ZoneReport(zone, "r", 1, 1, version, 2, 2, (), ())
            for zone in ZONES
            if zone not in self.pending
        )


def make_daemon(log):
    everything = tuple(settings.Permission)
    ann = settings.Operator("ann", (key_digests.digest_key("k-ann"),), everything)
    bob = settings.Operator("bob", (key_digests.digest_key("k-bob"),), everything)
    reader = settings.Operator(
        "eve", (key_digests.digest_key("k-eve"),), (settings.Permission.READ,)
    )
    return service.DaemonInterface(
        operators=(ann, bob, reader),
        voters=tuple(commands.Voter(f"{zone}-1", zone) for zone in ZONES),
        zones=ZONES,
        propose=log.propose,
        read=log.read,
        watch=lambda: None,
        zone_reports=log.zone_reports,
        running_stops=lambda: tuple(log.state.running_stops.values()),
        status=lambda: {"classes": []},
        count_refusal=lambda reason: log.refused.update([reason]),
    )


@contextlib.asynccontextmanager
async def serving(log):
    values = settings.Operators("127.0.0.1", 0, plain_text=True)
    listening = await server.start(app.make_app(make_daemon(log)), values)
    try:
        yield f"http://127.0.0.1:{listening.port}"
    finally:
        await server.stop(listening)


def ask(log, key, method, path, cls, body=None):
    async def run():
        async with serving(log) as url:
            access = client.Access((url,), key)
            return await client.request(access, method, path, cls, body)

    return asyncio.run(run())


def submit(log, key="k-ann", random_part="a", answers=ANSWERS, **more):
    body = {"change_id": change_ids.make(NOW_S, random_part), "answers": answers}
    cls = documents.PreviewDocument if more.get("dry_run") else None
    cls = cls or documents.AcceptedDocument
    return ask(log, key, "POST", "/changes", cls, {**body, "wait_s": 0.2, **more})


def stop(log, kind, name, path="/stops", random_part="s", **more):
    body = {"change_id": change_ids.make(NOW_S, random_part), "wait_s": 0.2}
    body |= {"kind": kind, "name": name, **more}
    return ask(log, "k-ann", "POST", path, documents.AcceptedDocument, body)


def test_accepted_change_lists_the_zones_where_it_is_in_force():
    log = Log(pending={"hakodate"})
    accepted = submit(log, expected_version=0).unwrap()
    states = {each.availability_zone: each.is_in_force for each in accepted.zones}
    assert accepted.version == 1
    assert states == {"asahikawa": True, "hakodate": False, "sapporo": True}


def test_conflicting_change_gets_the_differences():
    log = Log()
    submit(log, expected_version=0)
    other = ANSWERS.replace("entry_vms = 6", "entry_vms = 7")
    refusal = submit(log, "k-bob", "b", other, expected_version=0).failure()
    assert refusal.reason is Reason.CONFLICT
    assert refusal.message.startswith("ann was first: version 1")
    assert refusal.differences == ("[team] entry_vms: 6 -> 7",)


def test_preview_changes_nothing():
    log = Log()
    submit(log, expected_version=0)
    other = ANSWERS.replace("calls_at_once = 16", "calls_at_once = 8")
    preview = submit(log, random_part="p", answers=other, dry_run=True).unwrap()
    assert "model assistant: room for 96 -> 48 calls at once" in preview.effects
    assert log.state.version == 1


def test_rollback_is_a_new_change_with_old_answers():
    log = Log()
    submit(log, expected_version=0)
    first_digest = log.state.digest
    submit(log, random_part="b", answers=ANSWERS.replace("= 0.8", "= 0.9"))
    body = {"change_id": change_ids.make(NOW_S, "r"), "to_version": 1, "wait_s": 0.1}
    cls = documents.AcceptedDocument
    accepted = ask(log, "k-ann", "POST", "/rollbacks", cls, body).unwrap()
    assert (accepted.version, log.state.digest) == (3, first_digest)
    history = ask(log, "k-eve", "GET", "/history", documents.HistoryDocument).unwrap()
    assert history.entries[-1].summary == "rollback to version 1"


def test_stop_and_cancel_show_in_the_status():
    log = Log()
    submit(log, expected_version=0)
    assert stop(log, "backend-server", "assistant-1").unwrap().version == 2
    status = ask(log, "k-eve", "GET", "/status", documents.StatusDocument).unwrap()
    assert [each.name for each in status.running_stops] == ["assistant-1"]
    stop(log, "backend-server", "assistant-1", "/stops/cancel", "c").unwrap()
    assert log.state.running_stops == {}


def test_stopped_zone_is_not_waited_for():
    log = Log(pending={"hakodate"})
    submit(log, expected_version=0)
    accepted = stop(log, "availability-zone", "hakodate").unwrap()
    assert [each.availability_zone for each in accepted.zones] == [
        "asahikawa",
        "sapporo",
    ]


@pytest.mark.parametrize(
    ("send", "reason"),
    [
        (lambda log: submit(log, "wrong"), Reason.AUTHENTICATION_INVALID),
        (lambda log: submit(log, "k-eve"), Reason.PERMISSION_MISSING),
        (lambda log: submit(log, more=1), Reason.BODY_INVALID),
        (lambda log: submit(log, answers="[team]\n"), Reason.ANSWERS_INVALID),
        (lambda log: submit(log, change_id="x"), Reason.CHANGE_ID_INVALID),
        (lambda log: submit(log, "k-bob", "first"), Reason.CHANGE_ID_REUSED),
        (lambda log: submit(log, change_id="1-a"), Reason.EXPIRED),
        (
            lambda log: submit(log, change_id="9999999999-a"),
            Reason.ISSUED_IN_FUTURE,
        ),
        (lambda log: stop(log, "provider", "x"), Reason.SUBJECT_UNKNOWN),
        (lambda log: stop(log, "provider", "kitamori"), Reason.LAST_SERVER),
        (
            lambda log: stop(log, "provider", "x", "/stops/cancel"),
            Reason.NOT_STOPPING,
        ),
        (
            lambda log: ask(
                log, "k-eve", "GET", "/changes/9/answers", documents.AnswersDocument
            ),
            Reason.VERSION_UNKNOWN,
        ),
    ],
)
def test_each_refusal_has_its_reason_and_is_counted(send, reason):
    log = Log()
    submit(log, random_part="first", expected_version=0)
    assert send(log).failure().reason is reason
    assert log.refused == {reason: 1}


@pytest.mark.parametrize(
    ("may_commit", "reason"),
    [(True, Reason.OUTCOME_UNKNOWN), (False, Reason.NO_QUORUM)],
)
def test_unavailable_log_is_refused_with_the_possible_outcome(may_commit, reason):
    timed_out = log_client.Reason.TIMED_OUT
    log = Log(failure=log_client.Unavailable(timed_out, may_commit, 1.0))
    refusal = submit(log, expected_version=0).failure()
    assert (refusal.reason, refusal.retry_after_s) == (reason, 1.0)


def test_unreachable_entry_vm_is_skipped():
    async def run():
        log = Log()
        async with serving(log) as url:
            access = client.Access(("http://127.0.0.1:1", url), "k-ann")
            cls = documents.StatusDocument
            return await client.request(access, "GET", "/status", cls)

    assert asyncio.run(run()).unwrap().version == 0


def test_unreachable_entry_vms_are_reported_with_each_error():
    access = client.Access(("http://127.0.0.1:1",), "k")
    cls = documents.StatusDocument
    failure = asyncio.run(client.request(access, "GET", "/status", cls)).failure()
    assert len(failure.errors) == 1


def test_a_key_that_is_not_utf_8_is_refused():
    found = authentication.authenticate((), "Bearer \udcff", settings.Permission.READ)
    assert found.failure().reason is documents.Reason.AUTHENTICATION_INVALID


def test_keys_without_a_known_outcome_are_listed():
    log = Log()
    claim = claim_commands.Claim("school", "k", None, b"d", "one", "till-1", "vm-1@7")
    machine.apply(log.claims, claim, 1, NOW_S - 30.0)
    found = ask(log, "k-eve", "GET", "/keys", documents.OpenKeysDocument).unwrap()
    assert found.total_count == 1
    (key,) = found.keys
    assert (key.account, key.key, key.router) == ("school", "k", "vm-1@7")
    assert (key.is_in_progress, key.age_s) == (True, 30.0)
