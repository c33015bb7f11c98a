"""The time line of one request over clients, backend servers and routers' logs."""

import pathlib

from hickoryweir.testing.soak import stop_events, stop_oracle, stop_records

COMMAND = "bin/soak stops --seed {seed} --rounds 1 {options}"


def make_lines(
    finding: stop_oracle.Finding,
    events: list[stop_events.Event],
    round_start_s: float,
    logs: list[pathlib.Path],
    options: str,
) -> list[str]:
    """Return what happened to the request of a finding, and how to play it again.

    Parameters
    ----------
    events : list of Event
        Events of the round; shown beside the request's own.
    round_start_s : float
        Time of the event loop at the first signal of the round.
    logs : list of Path
        Logs of all processes; lines that name the request are shown.
    options : str
        The command's arguments beside the seed.
    """
    violation, target = finding.violation, finding.target
    lines = [
        f"BROKEN: {violation.promise}: {violation.detail}",
        f"  seed {target.seed}, router {target.host}; times since its SIGTERM",
    ]
    offset_s = target.signal_s - round_start_s
    moments = [(event.at_s - offset_s, _describe_event(event)) for event in events]
    if target.exit_s is not None:
        moments.append((target.exit_s, f"exit of the process with {target.exit_code}"))
    if finding.request is not None:
        moments += list_moments(target, finding.request)
        lines.append(f"  {finding.request.plan}")
    moments.sort(key=lambda moment: moment[0])
    lines += [f"  {at_s:8.3f} {text}" for at_s, text in moments]
    if finding.lateness is not None:
        lines.append(f"  no excuse: {stop_oracle.describe_delays(finding)}")
    if finding.request is not None:
        lines += [f"  log {line}" for line in find_log_lines(logs, finding.request)]
    command = COMMAND.format(seed=target.seed, options=options).rstrip()
    return [*lines, f"  again: {command}"]


def _describe_event(event: stop_events.Event) -> str:
    text = f"event {event.kind}, number {event.index}"
    return f"{text} for {event.duration_s:.3f} s" if event.duration_s else text


def list_moments(
    target: stop_records.Target, request: stop_records.Request
) -> list[tuple[float, str]]:
    """Return the moments of a request at its client and at the backend servers."""
    moments = [(request.sent_s, "client sends")]
    if request.last_byte_s is not None:
        moments.append((request.last_byte_s, "client has sent the last byte"))
    ending = f"client: {request.end or 'open'}, status {request.status or 'none'}"
    moments.append((request.ended_s, ending))
    for attempt in target.attempts.get(request.request_id, []):
        named = (
            (attempt.received_s, "received"),
            (attempt.run_s, "began to run"),
            (attempt.finished_s, "completed the answer"),
        )
        suffix = ", broke off" if attempt.broke_off else ""
        moments += [
            (at_s - target.signal_s, f"server {attempt.server} {word}{suffix}")
            for at_s, word in named
            if at_s is not None
        ]
    return moments


def find_log_lines(
    logs: list[pathlib.Path], request: stop_records.Request
) -> list[str]:
    """Return the log lines that name a request, with the name of the process."""
    name = f'"{request.request_id}"'
    return [
        f"{path.parent.name}: {line}"
        for path in logs
        for line in path.read_text(errors="replace").splitlines()
        if name in line
    ]
