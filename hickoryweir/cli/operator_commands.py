"""Arguments of the operators' commands."""

import dataclasses
import os
import pathlib
from typing import Annotated

import cappa

from hickoryweir.cli import operate
from hickoryweir.configuration import commands, fields
from hickoryweir.operators import client

URLS_VARIABLE = "HICKORYWEIR_OPERATOR_URLS"
KEY_VARIABLE = "HICKORYWEIR_OPERATOR_KEY"
DEFAULT_WAIT_S = 10.0

ChangeId = Annotated[
    str | None, cappa.Arg(long=True, help="Id of an earlier change to resend.")
]
ExpectedVersion = Annotated[
    int | None,
    cappa.Arg(long=True, help="Version to change; default: the one in force."),
]
WaitSeconds = Annotated[
    float, cappa.Arg(long=True, help="Maximum time to wait for all zones, in seconds.")
]
DryRun = Annotated[
    bool, cappa.Arg(long=True, help="Only show the differences and effects.")
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]


@dataclasses.dataclass(kw_only=True)
class Access:
    """Arguments that all operators' commands share."""

    url: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help=f"Comma-separated operators' URLs; default: ${URLS_VARIABLE}.",
        ),
    ] = None
    key_file: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help=f"File with the key; default: ${KEY_VARIABLE}."),
    ] = None
    authority_file: Annotated[
        str, cappa.Arg(long=True, help="Certificate authority file.")
    ] = ""


def _make_access(command: Access) -> client.Access:
    key = os.environ.get(KEY_VARIABLE, "")
    if command.key_file is not None:
        key = command.key_file.read_text(encoding="utf-8").strip()
    text = command.url or os.environ.get(URLS_VARIABLE, "")
    urls = tuple(url.rstrip("/") for url in fields.split(text))
    return client.Access(urls, key, command.authority_file)


def _run_submit(command: "Submit") -> int:
    options = operate.make_change_options(
        command.change_id, command.expected_version, command.wait_s, command.dry_run
    )
    return operate.submit(
        _make_access(command), command.answers, options, command.summary
    )


@cappa.command(invoke=_run_submit, help="Submit answers as a change.")
@dataclasses.dataclass(kw_only=True)
class Submit(Access):
    """Arguments of ``submit``."""

    answers: Annotated[pathlib.Path, cappa.Arg(help="Answers file.")]
    summary: Annotated[
        str, cappa.Arg(long=True, help="One-line summary for the history.")
    ] = ""
    dry_run: DryRun = False
    change_id: ChangeId = None
    expected_version: ExpectedVersion = None
    wait_s: WaitSeconds = DEFAULT_WAIT_S


def _run_rollback(command: "Rollback") -> int:
    options = operate.make_change_options(
        command.change_id, command.expected_version, command.wait_s, command.dry_run
    )
    return operate.rollback(_make_access(command), command.version, options)


@cappa.command(invoke=_run_rollback, help="Submit the answers of an earlier version.")
@dataclasses.dataclass(kw_only=True)
class Rollback(Access):
    """Arguments of ``rollback``."""

    version: Annotated[int, cappa.Arg(help="Version whose answers are submitted.")]
    dry_run: DryRun = False
    change_id: ChangeId = None
    expected_version: ExpectedVersion = None
    wait_s: WaitSeconds = DEFAULT_WAIT_S


def _run_stop(command: "Stop") -> int:
    options = operate.make_change_options(
        command.change_id, None, command.wait_s, False
    )
    return operate.stop(
        _make_access(command),
        command.kind.value,
        command.name,
        options,
        command.even_so,
        command.cancel,
    )


@cappa.command(invoke=_run_stop, help="Start or cancel a planned stop.")
@dataclasses.dataclass(kw_only=True)
class Stop(Access):
    """Arguments of ``stop``."""

    kind: Annotated[commands.SubjectKind, cappa.Arg(help="Kind of subject to stop.")]
    name: Annotated[str, cappa.Arg(help="Its name.")]
    cancel: Annotated[bool, cappa.Arg(long=True, help="Cancel the stop.")] = False
    even_so: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Stop even if no backend server or no quorum is left."
        ),
    ] = False
    change_id: ChangeId = None
    wait_s: WaitSeconds = DEFAULT_WAIT_S


def _run_status(command: "Status") -> int:
    return operate.status(_make_access(command), command.as_json)


@cappa.command(
    invoke=_run_status,
    help="Show versions in force by zone, planned stops, and this entry VM.",
)
@dataclasses.dataclass(kw_only=True)
class Status(Access):
    """Arguments of ``status``."""

    as_json: AsJson = False


def _run_keys(command: "Keys") -> int:
    return operate.open_keys(_make_access(command), command.as_json)


@cappa.command(invoke=_run_keys, help="List idempotency keys without a known outcome.")
@dataclasses.dataclass(kw_only=True)
class Keys(Access):
    """Arguments of ``keys``."""

    as_json: AsJson = False


def _run_history(command: "History") -> int:
    if command.version is not None:
        return operate.answers_of_version(_make_access(command), command.version)
    return operate.history(_make_access(command), command.as_json)


@cappa.command(
    invoke=_run_history, help="Show the audit history, or the answers of a version."
)
@dataclasses.dataclass(kw_only=True)
class History(Access):
    """Arguments of ``history``."""

    version: Annotated[
        int | None, cappa.Arg(help="Print the answers of this version.")
    ] = None
    as_json: AsJson = False
