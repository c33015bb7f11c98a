"""Operations of the operators' interface: changes, previews, stops and status.

The functions are independent of HTTP; :mod:`hickoryweir.operators.app` maps requests
to them.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from returns import result

from hickoryweir.claims import queries as claim_queries
from hickoryweir.configuration import (
    change_ids,
    commands,
    deltas,
    effects,
    generator,
    model,
    parse,
    queries,
    render,
    settings,
    stops,
)
from hickoryweir.operators import documents, replies
from hickoryweir.replicas import client
from hickoryweir.routers import acknowledgements, messages

LOG_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
MAX_HISTORY_ENTRIES_COUNT = 200
# About one page; the response also contains the total count.
MAX_OPEN_KEYS_COUNT = 200

Outcome = result.Result[Any, documents.RefusalDocument]
LogRequest = Callable[[Any, float], Awaitable[result.Result[Any, client.Unavailable]]]


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonInterface:
    """Functions and values that the daemon provides to the operators' HTTP server.

    Attributes
    ----------
    operators : tuple of settings.Operator
        Keys and permissions.
    voters : tuple of commands.Voter
        All replicas.
    zones : tuple of str
        All availability zones with entry VMs.
    propose, read : function
        Access the replicated log: ``await propose(command, timeout_s)``.
    watch : function
        Requests zone reports from the routers.
    zone_reports : function
        Returns the latest zone reports.
    running_stops : function
        Returns the planned stops in force at this entry VM.
    status : function
        Returns this daemon's status document.
    count_refusal : function
        Counts a refusal by reason.
    """

    operators: tuple[settings.Operator, ...]
    voters: tuple[commands.Voter, ...]
    zones: tuple[str, ...]
    propose: LogRequest
    read: LogRequest
    watch: Callable[[], None]
    zone_reports: Callable[[], tuple[messages.ZoneReport, ...]]
    running_stops: Callable[[], tuple[stops.Stop, ...]]
    status: Callable[[], dict[str, Any]]
    count_refusal: Callable[[documents.Reason], None]


def refuse(reason: documents.Reason, message: str, details=()) -> result.Failure:
    """Return a refusal as an outcome."""
    return result.Failure(documents.RefusalDocument(reason, message, tuple(details)))


async def submit(
    daemon: DaemonInterface, operator: str, request: documents.SubmitRequest
) -> Outcome:
    """Preview or submit new answers.

    Parameters
    ----------
    daemon : DaemonInterface
        Interface to the daemon.
    operator : str
        Name of the submitting operator.
    request : documents.SubmitRequest
        The change.

    Returns
    -------
    Result
        An accepted change, a preview, or a refusal.
    """
    generated = generator.generate_text(request.answers, request.file)
    if not isinstance(generated, result.Success):
        lines = [str(problem) for problem in generated.failure().problems]
        message = "the answers are invalid"
        return refuse(documents.Reason.ANSWERS_INVALID, message, lines)
    configuration = generated.unwrap()
    if request.dry_run or request.expected_version is None:
        current_state = await read_current_state(daemon)
        if not isinstance(current_state, result.Success):
            return current_state
        if request.dry_run:
            return result.Success(preview(current_state.unwrap(), configuration))
        version = current_state.unwrap().version
        request = request.model_copy(update={"expected_version": version})
    return await _propose_change(daemon, operator, request, configuration)


async def _propose_change(daemon, operator, request, configuration):
    issued_at_s = change_ids.issued_at_s(request.change_id)
    if issued_at_s is None:
        return _refuse_change_id()
    command = commands.make_submit(
        request.change_id,
        operator,
        issued_at_s,
        request.expected_version,
        request.answers,
        render.render(configuration),
        request.summary,
    )
    return await _propose(daemon, command, request.wait_s, request.answers)


def _refuse_change_id():
    message = "a change id consists of the issue time in ms, '-' and a random part"
    return refuse(documents.Reason.CHANGE_ID_INVALID, message)


async def read_current_state(daemon: DaemonInterface) -> Outcome:
    """Return the state of the log by a linearizable read."""
    current_state = await daemon.read(queries.ReadCurrentState(), LOG_TIMEOUT_S)
    return current_state.alt(replies.refuse_unavailable)


def preview(
    current_state: queries.CurrentState, configuration: model.Configuration
) -> documents.PreviewDocument:
    """Return the differences and effects of a change."""
    before_text = ""
    before = None
    if current_state.configuration:
        before_text = commands.decompress(current_state.configuration)
        before = parse.parse(before_text, "configuration in force").value_or(None)
    text = render.render(configuration)
    return documents.PreviewDocument(
        current_state.version,
        configuration.digest,
        deltas.describe(before_text, text),
        effects.describe(before, configuration),
    )


async def rollback(
    daemon: DaemonInterface, operator: str, request: documents.RollbackRequest
) -> Outcome:
    """Submit the answers of an earlier version as a new change."""
    content = await read_answers(daemon, request.to_version)
    if not isinstance(content, result.Success):
        return content
    change = documents.SubmitRequest(
        change_id=request.change_id,
        expected_version=request.expected_version,
        answers=content.unwrap().answers,
        file=f"answers of version {request.to_version}",
        summary=f"rollback to version {request.to_version}",
        dry_run=request.dry_run,
        wait_s=request.wait_s,
    )
    return await submit(daemon, operator, change)


async def read_answers(daemon: DaemonInterface, version: int) -> Outcome:
    """Return the answers of a version."""
    outcome = await daemon.read(queries.ReadContent(version), LOG_TIMEOUT_S)
    if not isinstance(outcome, result.Success):
        return outcome.alt(replies.refuse_unavailable)
    content = outcome.unwrap().content
    if content is None:
        message = f"the answers of version {version} are not kept"
        return refuse(documents.Reason.VERSION_UNKNOWN, message)
    answers = commands.decompress(content.answers)
    return result.Success(documents.AnswersDocument(version, answers))


async def start_stop(
    daemon: DaemonInterface, operator: str, request: documents.StopRequest
) -> Outcome:
    """Start a planned stop."""
    issued_at_s = change_ids.issued_at_s(request.change_id)
    if issued_at_s is None:
        return _refuse_change_id()
    command = commands.StartStop(
        request.change_id,
        operator,
        issued_at_s,
        request.kind,
        request.name,
        request.even_so,
        daemon.voters,
    )
    return await _propose(daemon, command, request.wait_s)


async def cancel_stop(
    daemon: DaemonInterface, operator: str, request: documents.StopRequest
) -> Outcome:
    """Cancel a planned stop."""
    issued_at_s = change_ids.issued_at_s(request.change_id)
    if issued_at_s is None:
        return _refuse_change_id()
    command = commands.CancelStop(
        request.change_id, operator, issued_at_s, request.kind, request.name
    )
    return await _propose(daemon, command, request.wait_s)


async def _propose(daemon, command, wait_s, answers=""):
    proposed = await daemon.propose(command, LOG_TIMEOUT_S)
    if not isinstance(proposed, result.Success):
        return proposed.alt(replies.refuse_unavailable)
    reply = proposed.unwrap()
    if not isinstance(reply, commands.Accepted):
        return result.Failure(replies.refuse(reply, answers))
    zones = await wait_in_force(daemon, reply.version, wait_s)
    return result.Success(
        documents.AcceptedDocument(command.change_id, reply.version, zones)
    )


async def wait_in_force(
    daemon: DaemonInterface, version: int, wait_s: float
) -> tuple[documents.ZoneState, ...]:
    """Wait up to `wait_s` until a version is in force in every zone."""
    daemon.watch()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    zones = zone_states(daemon, version)
    while not all(zone.is_in_force for zone in zones) and loop.time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
        daemon.watch()
        zones = zone_states(daemon, version)
    return zones


def zone_states(
    daemon: DaemonInterface, version: int
) -> tuple[documents.ZoneState, ...]:
    """Return the state of a version in each zone without a planned stop."""
    reports = {report.availability_zone: report for report in daemon.zone_reports()}
    stopped = {
        stop.name
        for stop in daemon.running_stops()
        if stop.kind is commands.SubjectKind.AVAILABILITY_ZONE
    }
    return tuple(
        _zone_state(zone, reports.get(zone), version)
        for zone in daemon.zones
        if zone not in stopped
    )


def _zone_state(zone, report, version):
    if report is None:
        return documents.ZoneState(zone, False, 0, 0, 0, (), ())
    return documents.ZoneState(
        zone,
        acknowledgements.is_in_force(report, version),
        report.in_force_version,
        report.live_count,
        report.expected_count,
        report.lagging,
        report.missing,
    )


async def status(daemon: DaemonInterface) -> Outcome:
    """Return the status document; `log_error` is set if the log is unavailable."""
    daemon.watch()
    outcome = await daemon.read(queries.ReadCurrentState(), LOG_TIMEOUT_S)
    log_error = ""
    current_state = queries.CurrentState(0, 0, "", b"", b"", ())
    if isinstance(outcome, result.Success):
        current_state = outcome.unwrap()
    else:
        log_error = str(outcome.failure().reason)
    running = tuple(
        documents.RunningStop(
            stop.kind.value, stop.name, stop.operator, stop.version, stop.since_s
        )
        for stop in current_state.running_stops
    )
    return result.Success(
        documents.StatusDocument(
            current_state.version,
            current_state.configuration_version,
            current_state.digest,
            zone_states(daemon, current_state.version),
            running,
            log_error,
            daemon.status(),
        )
    )


async def read_history(daemon: DaemonInterface) -> Outcome:
    """Return the audit history."""
    outcome = await daemon.read(
        queries.ReadHistory(MAX_HISTORY_ENTRIES_COUNT), LOG_TIMEOUT_S
    )
    return outcome.alt(replies.refuse_unavailable).map(
        lambda found: documents.HistoryDocument(
            tuple(documents.DaySummary(*_values(day)) for day in found.days),
            tuple(documents.HistoryEntry(*_values(each)) for each in found.entries),
        )
    )


async def read_open_keys(daemon: DaemonInterface) -> Outcome:
    """Return the idempotency keys without a known outcome, oldest first."""
    outcome = await daemon.read(
        claim_queries.ReadOpenKeys(MAX_OPEN_KEYS_COUNT), LOG_TIMEOUT_S
    )
    return outcome.alt(replies.refuse_unavailable).map(
        lambda found: documents.OpenKeysDocument(
            tuple(documents.OpenKey(*_values(each)) for each in found.keys),
            found.total_count,
        )
    )


def _values(value):
    return [getattr(value, field.name) for field in dataclasses.fields(value)]
