"""Operators' commands against a server with scripted responses."""

import asyncio
import json
import pathlib
import threading

import pytest
from aiohttp import web

from hickoryweir.cli import exits, main
from hickoryweir.testing import running

ANSWERS = pathlib.Path(__file__).parents[3] / "examples" / "kitamori" / "answers.ini"
ExitCode = exits.ExitCode
ZONE = {
    "availability_zone": "a",
    "is_in_force": True,
    "in_force_version": 4,
    "live_count": 2,
    "expected_count": 2,
    "lagging": [],
    "missing": [],
}
PENDING = {**ZONE, "availability_zone": "b", "is_in_force": False, "missing": ["b-1"]}
STATUS = {
    "version": 4,
    "configuration_version": 4,
    "digest": "abc",
    "zones": [ZONE, PENDING],
    "running_stops": [],
    "log_error": "",
    "daemon": {"ready": True, "classes": [{"class_name": "top-up", "length": 3}]},
}


class ScriptedServer:
    """An HTTP server in its own thread, with a scripted response for each path."""

    def __init__(self, answers):
        self.answers = answers
        self.bodies = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.server = self.run(running.start(app))

    def run(self, work):
        """Run a coroutine in the server's event loop."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    async def handle(self, request):
        """Record the body and return the scripted response."""
        text = await request.text()
        self.bodies.append(json.loads(text) if text else None)
        status, document = self.answers[request.path]
        return web.json_response(document, status=status)

    def close(self):
        """Stop the server and its thread."""
        self.run(self.server.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.fixture
def command(monkeypatch):
    servers = []

    def run(answers, *arguments):
        scripted_server = ScriptedServer(answers)
        servers.append(scripted_server)
        monkeypatch.setenv("HICKORYWEIR_OPERATOR_URLS", scripted_server.server.url)
        monkeypatch.setenv("HICKORYWEIR_OPERATOR_KEY", "key")
        with pytest.raises(SystemExit) as caught:
            main.main([str(each) for each in arguments])
        return caught.value.code, scripted_server.bodies

    yield run
    for scripted_server in servers:
        scripted_server.close()


def accepted(*zones):
    return 200, {"change_id": "1-a", "version": 5, "zones": zones}


def refused(reason):
    return 409, {"reason": reason, "message": "m", "differences": ["[team] x: 1 -> 2"]}


def test_submit_expects_the_version_in_force_and_prints_how_to_resend(command, capsys):
    script = {"/status": (200, STATUS), "/changes": accepted(ZONE)}
    code, bodies = command(script, "submit", ANSWERS)
    assert (code, bodies[-1]["expected_version"]) == (ExitCode.SUCCESS, 4)
    printed = capsys.readouterr()
    assert "accepted as version 5, in force in a" in printed.out
    assert f"--change-id {bodies[-1]['change_id']}" in printed.err


def test_pending_zone_has_a_distinct_exit_code(command, capsys):
    script = {"/changes": accepted(ZONE, PENDING)}
    code, _ = command(script, "submit", ANSWERS, "--expected-version", 4)
    assert code == ExitCode.PENDING
    assert "pending in b: 2 of 2 routers heard; not heard: b-1" in (
        capsys.readouterr().out
    )


@pytest.mark.parametrize(
    ("reason", "code"),
    [
        ("conflict", ExitCode.CONFLICT),
        ("last_server", ExitCode.REFUSED),
        ("no_quorum", ExitCode.UNREACHABLE),
        ("answers_invalid", ExitCode.INVALID_FILE),
    ],
)
def test_each_refusal_has_its_exit_code(command, capsys, reason, code):
    script = {"/rollbacks": refused(reason)}
    found, _ = command(script, "rollback", 2, "--expected-version", 4)
    assert found == code
    assert "[team] x: 1 -> 2" in capsys.readouterr().err


def test_stop_and_cancel_use_separate_paths(command):
    script = {"/stops": accepted(ZONE), "/stops/cancel": accepted(ZONE)}
    code, bodies = command(script, "stop", "entry-vm", "a-1", "--even-so")
    assert (code, bodies[0]["even_so"]) == (ExitCode.SUCCESS, True)
    code, _ = command(script, "stop", "entry-vm", "a-1", "--cancel")
    assert code == ExitCode.SUCCESS


def test_status_shows_tables_or_json(command, capsys):
    assert command({"/status": (200, STATUS)}, "status")[0] == ExitCode.SUCCESS
    assert "top-up      3" in capsys.readouterr().out
    command({"/status": (200, STATUS)}, "status", "--json")
    assert json.loads(capsys.readouterr().out)["version"] == 4


def test_missing_url_is_a_usage_error(monkeypatch):
    monkeypatch.delenv("HICKORYWEIR_OPERATOR_URLS", raising=False)
    with pytest.raises(SystemExit) as caught:
        main.main(["status"])
    assert caught.value.code == ExitCode.USAGE


def test_keys_shows_a_table_or_json(command, capsys):
    key = {
        "account": "school",
        "key": "k-1",
        "is_in_progress": False,
        "router": "vm-1@7",
        "backend_server": "till-1",
        "since_s": 0.0,
        "age_s": 30.0,
    }
    answers = {"/keys": (200, {"keys": [key], "total_count": 3})}
    assert command(answers, "keys")[0] == ExitCode.SUCCESS
    shown = capsys.readouterr().out
    assert "ended, outcome unknown" in shown
    assert "the oldest 1 of 3" in shown
    command(answers, "keys", "--json")
    assert json.loads(capsys.readouterr().out)["total_count"] == 3
