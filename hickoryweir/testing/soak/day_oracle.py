"""Checks promises of a whole day from what clients, servers and operators saw."""

import dataclasses

from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    callers,
    faults,
    oracle,
    stop_oracle,
    stop_records,
)

FINAL_READ_S = 12.0
# A machine may close so many kept connections with requests that it passed on.
KEPT_CLOSED_COUNT = 3
# A process that waits for a processor for this time, within that window, counts as
# frozen: the others take it for lost.
FROZEN_S, FROZEN_WINDOW_S = 1.2, 1.6
KEPT = "kept"
UNREAD = "an acknowledged table can be read after the final fault"
LOST = "an acknowledged table is not lost"
UNREADY = "a router becomes ready"
KEPT_CLOSED = "kept connections are not closed without an answer"
NOT_ACKNOWLEDGED = "a change is acknowledged with one replica lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """For how long a process, or the soak itself, waited for a processor."""

    host: str
    began_s: float
    ended_s: float
    waited_s: float


@dataclasses.dataclass(slots=True)
class Record:
    """What was seen of a day; times of the steady clock.

    Attributes
    ----------
    stops : list of Target
        The clients' views of the planned stops of routers.
    clients : list of Target
        The views of clients that call through the whole day, one for each router;
        its time of the signal is after the day.
    exit_codes, ended : list of (str, int)
        Of replicas that were stopped, and of processes that ended by themselves.
    replicas : list of str
        Hosts of all replicas.
    unready : list of str
        Hosts of added routers that did not become ready in time.
    final_s : float or None
        When the final fault began.
    final_version : int or None
        Version acknowledged right before it; None if none was in time.
    final_reads : dict
        First version read from each replica after it; None if none was in time.
    excused : list of (Finding, str)
        Losses that a delay of this run excuses, with the evidence.
    """

    observations: callers.Observations
    injected: list[faults.InjectedFault] = dataclasses.field(default_factory=list)
    stops: list[stop_records.Target] = dataclasses.field(default_factory=list)
    clients: list[stop_records.Target] = dataclasses.field(default_factory=list)
    exit_codes: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    ended: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    replicas: list[str] = dataclasses.field(default_factory=list)
    delays: list[Delay] = dataclasses.field(default_factory=list)
    unready: list[str] = dataclasses.field(default_factory=list)
    final_s: float | None = None
    final_version: int | None = None
    final_reads: dict[str, int | None] = dataclasses.field(default_factory=dict)
    excused: list[tuple[stop_oracle.Finding, str]] = dataclasses.field(
        default_factory=list
    )


def find_violations(record: Record) -> list[promises.Violation]:
    """Return every violation of a promise in a day."""
    observations = record.observations
    return [
        *check_final(record),
        *oracle.find_stale_reads(observations),
        *oracle.find_reverted(observations.in_force),
        *oracle.find_late(judge_earlier(record), record.injected + find_frozen(record)),
        *check_requests(record),
        *check_kept(record),
        *(
            promises.Violation(stop_oracle.ENDS_CLEAN, f"{host} ended with {code}")
            for host, code in record.exit_codes
            if code != 0
        ),
        *(
            promises.Violation("processes go on", f"{host} ended with {code}")
            for host, code in record.ended
        ),
        *(promises.Violation(UNREADY, host) for host in record.unready),
    ]


def check_final(record: Record) -> list[promises.Violation]:
    """Check that the newest table is acknowledged, and read after the final fault."""
    version, versions = record.final_version, record.final_reads
    if version is None:
        return [promises.Violation(NOT_ACKNOWLEDGED, "none before the final fault")]
    if all(read is None for read in versions.values()):
        detail = f"{version} was acknowledged, no read within {FINAL_READ_S} s"
        return [promises.Violation(UNREAD, detail)]
    return [
        promises.Violation(LOST, f"{version} was acknowledged, {host} has {read}")
        for host, read in versions.items()
        if read is not None and read < version
    ]


def judge_earlier(record: Record) -> callers.Observations:
    """Return readings as if asked earlier by the time that processes waited for."""
    readings = [
        dataclasses.replace(
            reading, asked_s=reading.asked_s - waited_s(record, reading)
        )
        for reading in record.observations.in_force
    ]
    return dataclasses.replace(record.observations, in_force=readings)


def waited_s(record: Record, reading: callers.VersionReading) -> float:
    """Return for how long a router, a replica and the soak waited for a processor."""
    began_s = reading.asked_s - oracle.IN_FORCE_S
    waits_s: dict[str, float] = {}
    for delay in record.delays:
        if delay.ended_s >= began_s and delay.began_s <= reading.asked_s:
            waits_s[delay.host] = waits_s.get(delay.host, 0.0) + delay.waited_s
    of_replicas_s = max(
        (waits_s.get(host, 0.0) for host in record.replicas), default=0.0
    )
    return waits_s.get("", 0.0) + waits_s.get(reading.host, 0.0) + of_replicas_s


def find_frozen(record: Record) -> list[faults.InjectedFault]:
    """Return when processes were frozen, by how long they waited for a processor.

    One that is frozen before the final fault can catch up once replicas are back.
    """
    finals = [item for item in record.injected if item.began_s == record.final_s]
    back_s = max((item.ended_s for item in finals), default=0.0)
    frozen: dict[str, list[faults.InjectedFault]] = {}
    for last in record.delays:
        began_s, ended_s = last.ended_s - FROZEN_WINDOW_S, last.ended_s
        total_s = sum(
            item.waited_s
            for item in record.delays
            if item.host == last.host and began_s <= item.began_s < ended_s
        )
        if not last.host or total_s < FROZEN_S:
            continue
        if finals and ended_s + oracle.CONTACT_S >= record.final_s:
            ended_s = max(ended_s, back_s)
        detail = f"waited {total_s:.2f} s of {FROZEN_WINDOW_S} for a processor"
        found = frozen.setdefault(last.host, [])
        if found and began_s <= found[-1].ended_s:
            found[-1] = dataclasses.replace(found[-1], ended_s=ended_s)
        else:
            found.append(
                faults.InjectedFault("frozen", last.host, began_s, ended_s, detail)
            )
    return [item for each in frozen.values() for item in each]


def longest_wait_s(record: Record) -> float:
    """Return the longest time by which a reading is judged as earlier."""
    readings = record.observations.in_force
    return max((waited_s(record, reading) for reading in readings), default=0.0)


def check_requests(record: Record) -> list[promises.Violation]:
    """Check all requests, and the losses of those beside planned stops."""
    targets, beside = [], set()
    for stop in record.stops:
        requests = [
            request
            for client in record.clients
            if client.host == stop.host
            for request in requests_beside(stop, client)
        ]
        beside |= {request.request_id for request in requests}
        targets.append(dataclasses.replace(stop, requests=stop.requests + requests))
    findings = stop_oracle.find_violations(targets)
    for client in record.clients:
        for request in client.requests:
            if request.request_id not in beside:
                findings += check_client_request(client, request)
    counted, record.excused = stop_oracle.split(findings)
    return [finding.violation for finding in counted]


def requests_beside(
    stop: stop_records.Target, client: stop_records.Target
) -> list[stop_records.Request]:
    """Return the requests of a client beside a stop, with times since its signal."""
    shift_s = client.signal_s - stop.signal_s
    shifted = [
        dataclasses.replace(
            request,
            sent_s=request.sent_s + shift_s,
            ended_s=request.ended_s + shift_s,
            last_byte_s=None
            if request.last_byte_s is None
            else request.last_byte_s + shift_s,
        )
        for request in client.requests
    ]
    return [
        request
        for request in shifted
        if request.end
        and request.ended_s >= stop_records.SIGNAL_S
        and request.sent_s <= stop.exit_s
    ]


def check_client_request(client, request) -> list[stop_oracle.Finding]:
    """Check a request away from planned stops: all but its loss, see `check_kept`."""
    return [
        finding
        for finding in stop_oracle.check_request(client, request)
        if finding.violation.promise != stop_oracle.GIVEN_UP
    ]


def check_kept(record: Record) -> list[promises.Violation]:
    """Check how many kept connections each router closed with passed on requests."""
    violations = []
    for client in record.clients:
        closed = [item for item in client.requests if was_closed(record, client, item)]
        if len(closed) > KEPT_CLOSED_COUNT:
            lines = "; ".join(stop_oracle.describe(client, item) for item in closed)
            detail = f"{client.host} closed {len(closed)}: {lines}"
            violations.append(promises.Violation(KEPT_CLOSED, detail))
    return violations


def was_closed(record: Record, client, request: stop_records.Request) -> bool:
    """Return whether a kept connection ended while a sound server had its request."""
    attempts = client.attempts.get(request.request_id, [])
    return (
        request.behaviour == KEPT
        and bool(request.end)
        and not request.status
        and bool(attempts)
        and not any(attempt.broke_off for attempt in attempts)
        and (
            record.final_s is None or client.signal_s + request.ended_s < record.final_s
        )
    )
