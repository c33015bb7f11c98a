"""Operators' commands: changes, planned stops, status and history."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from typing import Any

from returns import result

from hickoryweir.cli import exits, files, tables
from hickoryweir.configuration import change_ids
from hickoryweir.operators import client, documents

ExitCode = exits.ExitCode
EXIT_BY_REASON = {
    documents.Reason.ANSWERS_INVALID: ExitCode.INVALID_FILE,
    documents.Reason.CONFLICT: ExitCode.CONFLICT,
    documents.Reason.OUTCOME_UNKNOWN: ExitCode.UNREACHABLE,
    documents.Reason.NO_QUORUM: ExitCode.UNREACHABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Id and options of a change; resending it needs the same id and version."""

    change_id: str
    expected_version: int | None
    wait_s: float
    dry_run: bool = False

    def body(self) -> dict[str, Any]:
        """Return the fields that the requests of all changes share."""
        return {"change_id": self.change_id, "wait_s": self.wait_s}


def make_change_options(
    change_id: str | None, expected_version: int | None, wait_s: float, dry_run: bool
) -> ChangeOptions:
    """Return the options of a change, with a new id unless one is given."""
    change_id = change_id or change_ids.make(time.time())
    return ChangeOptions(change_id, expected_version, wait_s, dry_run)


def _request(access, method, path, cls, body=None):
    if not access.urls or not access.key:
        print("an operators' URL and a key are required, see --help", file=sys.stderr)
        raise SystemExit(int(ExitCode.USAGE))
    return asyncio.run(client.request(access, method, path, cls, body))


def submit(
    access: client.Access, answers: pathlib.Path, options: ChangeOptions, summary: str
) -> int:
    """Preview or submit an answers file and return the exit code.

    Parameters
    ----------
    access : client.Access
        URLs and key of the operators' interface.
    answers : path
        The answers file.
    options : ChangeOptions
        Id, expected version and time to wait.
    summary : str
        One-line summary for the history.

    Returns
    -------
    int
        Exit code.
    """
    text = files.read_text(answers)
    if not isinstance(text, result.Success):
        return files.report(text.failure())
    body = options.body() | {
        "answers": text.unwrap(),
        "file": str(answers),
        "summary": summary,
    }
    return _send_change(access, "/changes", options, body)


def rollback(access: client.Access, to_version: int, options: ChangeOptions) -> int:
    """Submit the answers of an earlier version and return the exit code."""
    body = options.body() | {"to_version": to_version}
    return _send_change(access, "/rollbacks", options, body)


def _send_change(access, path, options, body):
    body["dry_run"] = options.dry_run
    if options.dry_run:
        preview = _request(access, "POST", path, documents.PreviewDocument, body)
        return _show(preview, _show_preview)
    if options.expected_version is None:
        status = _request(access, "GET", "/status", documents.StatusDocument)
        if not isinstance(status, result.Success):
            return _show(status, None)
        if status.unwrap().log_error:
            print(
                f"the log can't be read: {status.unwrap().log_error}", file=sys.stderr
            )
            return ExitCode.UNREACHABLE
        options = dataclasses.replace(options, expected_version=status.unwrap().version)
    body["expected_version"] = options.expected_version
    print(
        f"to send it again: --change-id {options.change_id} "
        f"--expected-version {options.expected_version}",
        file=sys.stderr,
    )
    accepted = _request(access, "POST", path, documents.AcceptedDocument, body)
    return _show(accepted, _show_accepted)


def stop(
    access: client.Access,
    kind: str,
    name: str,
    options: ChangeOptions,
    even_so: bool,
    cancel: bool,
) -> int:
    """Start or cancel a planned stop and return the exit code."""
    body = options.body() | {"kind": kind, "name": name, "even_so": even_so}
    path = "/stops/cancel" if cancel else "/stops"
    print(f"to send it again: --change-id {options.change_id}", file=sys.stderr)
    accepted = _request(access, "POST", path, documents.AcceptedDocument, body)
    return _show(accepted, _show_accepted)


def status(access: client.Access, as_json: bool) -> int:
    """Print the status and return the exit code."""
    found = _request(access, "GET", "/status", documents.StatusDocument)
    return _show(found, _print_json if as_json else _show_status)


def history(access: client.Access, as_json: bool) -> int:
    """Print the audit history and return the exit code."""
    found = _request(access, "GET", "/history", documents.HistoryDocument)
    return _show(found, _print_json if as_json else _show_history)


def open_keys(access: client.Access, as_json: bool) -> int:
    """Print the idempotency keys without a known outcome; return the exit code."""
    found = _request(access, "GET", "/keys", documents.OpenKeysDocument)
    return _show(found, _print_json if as_json else _show_open_keys)


def answers_of_version(access: client.Access, version: int) -> int:
    """Print the answers of a version and return the exit code."""
    path = f"/changes/{version}/answers"
    found = _request(access, "GET", path, documents.AnswersDocument)
    return _show(found, _show_answers)


def _show(outcome, show):
    if isinstance(outcome, result.Success):
        return show(outcome.unwrap())
    failure = outcome.failure()
    if isinstance(failure, client.Unreachable):
        print("no entry VM answered", *failure.errors, sep="\n  ", file=sys.stderr)
        return ExitCode.UNREACHABLE
    lines = (*failure.details, *failure.differences)
    print(f"refused, {failure.reason}: {failure.message}", file=sys.stderr)
    for line in lines:
        print(f"  {line}", file=sys.stderr)
    return EXIT_BY_REASON.get(failure.reason, ExitCode.REFUSED)


def _show_preview(preview):
    print(f"against version {preview.version}:")
    for line in preview.differences or ("no difference",):
        print(f"  {line}")
    print("effect:")
    for line in preview.effects or ("none beyond these numbers",):
        print(f"  {line}")
    return ExitCode.SUCCESS


def _show_accepted(accepted):
    done = [zone.availability_zone for zone in accepted.zones if zone.is_in_force]
    pending = [zone for zone in accepted.zones if not zone.is_in_force]
    print(
        f"accepted as version {accepted.version}, in force in {', '.join(done) or '-'}"
    )
    for zone in pending:
        print(f"  pending in {zone.availability_zone}: {_explain_pending(zone)}")
    if pending:
        print("  unreachable zones catch up within seconds once the network recovers")
        return ExitCode.PENDING
    return ExitCode.SUCCESS


def _explain_pending(zone):
    if not zone.expected_count:
        return "not reached from here"
    parts = [f"{zone.live_count} of {zone.expected_count} routers heard"]
    if zone.lagging:
        parts.append("behind: " + ", ".join(zone.lagging))
    if zone.missing:
        parts.append("not heard: " + ", ".join(zone.missing))
    return "; ".join(parts)


def _show_status(found):
    print(f"version {found.version}, configuration {found.digest[:12] or '-'}")
    if found.log_error:
        print(f"the log can't be read: {found.log_error}")
    print("\nAvailability zones")
    print(tables.render_records([dataclasses.asdict(zone) for zone in found.zones]))
    print("\nPlanned stops")
    print(tables.render_records([_stop_row(stop) for stop in found.running_stops]))
    for title, value in found.daemon.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"\n{title.replace('_', ' ').capitalize()}")
            print(tables.render_records(value))
    print("\nThis entry VM")
    scalars = [
        (name, value)
        for name, value in found.daemon.items()
        if not isinstance(value, list | dict)
    ]
    print(tables.render(("what", "value"), scalars))
    return ExitCode.SUCCESS


def _stop_row(stop):
    row = dataclasses.asdict(stop)
    row["since"] = tables.format_time(row.pop("since_s"))
    return row


def _show_history(found):
    for day in found.days:
        counts = ", ".join(f"{name} {count}" for name, count in day.operators)
        first = tables.format_time(day.day * 86_400.0)[:10]
        print(f"{first}: versions {day.first_version} to {day.last_version}: {counts}")
    rows = [
        (
            entry.version,
            tables.format_time(entry.time_s),
            entry.operator,
            entry.kind,
            entry.summary,
            entry.change_id,
        )
        for entry in found.entries
    ]
    print(
        tables.render(("version", "time", "operator", "kind", "what", "change"), rows)
    )
    return ExitCode.SUCCESS


def _show_open_keys(found):
    rows = [
        (
            each.account,
            each.key,
            "in progress" if each.is_in_progress else "ended, outcome unknown",
            each.router,
            each.backend_server,
            tables.format_time(each.since_s),
            f"{each.age_s:.1f}",
        )
        for each in found.keys
    ]
    headers = ("account", "key", "state", "router", "backend server", "since", "age s")
    print(tables.render(headers, rows))
    if len(rows) < found.total_count:
        print(f"the oldest {len(rows)} of {found.total_count}")
    return ExitCode.SUCCESS


def _show_answers(found):
    print(found.answers, end="")
    return ExitCode.SUCCESS


def _print_json(found):
    print(json.dumps(dataclasses.asdict(found), indent=2))
    return ExitCode.SUCCESS
