"""Checks promises against what callers, backend servers and the operator observed."""

import collections

from hickoryweir.testing import promises
from hickoryweir.testing.soak import callers, faults

# Statuses with which a router promises that the request was not executed.
NOT_RUN_STATUSES = (408, 429, 503)
# Kinds of faults that may end a connection abruptly, unlike a planned stop.
DISRUPTIVE_KINDS = ("kill", "pause")
# Time within which a caller detects a lost connection.
DETECTION_TOLERANCE_S = 1.0
# Time in which an acknowledged table is in force at each router, and time that
# processes have after a fault; both are those of the smallest sites.
IN_FORCE_S = 2.0
CONTACT_S = 3.0
# Kinds of faults that may delay what processes send each other.
DELAYING_KINDS = (
    *("cut_off", "delay_links", "pause", "slow_down"),
    *("silence_link", "silence_links", "silence_all"),
)


def find_violations(
    observations: callers.Observations,
    runs: collections.Counter,
    injected: list[faults.InjectedFault],
    exit_codes: list[tuple[str, int]],
) -> list[promises.Violation]:
    """Return every violation of a promise.

    Parameters
    ----------
    observations : callers.Observations
        Observations of the callers and the operator.
    runs : collections.Counter
        Number of executions by request id, summed over the backend servers.
    injected : list of InjectedFault
        Injected faults and their intervals.
    exit_codes : list of tuple
        Hosts and exit codes of planned stops.
    """
    return [
        *check_calls(observations.calls, runs),
        *find_lost_answers(observations.calls, runs, injected),
        *find_stale_reads(observations),
        *find_reverted(observations.in_force),
        *find_late(observations, injected),
        *(
            promises.Violation("a planned stop ends clean", f"{host} ended with {code}")
            for host, code in exit_codes
            if code != 0
        ),
    ]


def check_calls(
    calls: list[callers.Call], runs: collections.Counter
) -> list[promises.Violation]:
    """Check answers, refusals and the number of executions of each call."""
    violations = []
    for call in calls:
        count = runs[call.request_id]
        if call.status == 200 and not call.is_correct:
            violations.append(
                promises.Violation("each caller gets its own whole answer", f"{call}")
            )
        if call.status in NOT_RUN_STATUSES and count:
            violations.append(
                promises.Violation("not run is true", f"ran {count} times: {call}")
            )
        if call.kind == "once" and count > 1:
            violations.append(
                promises.Violation("at most once", f"ran {count} times: {call}")
            )
    return violations


def find_lost_answers(
    calls: list[callers.Call],
    runs: collections.Counter,
    injected: list[faults.InjectedFault],
) -> list[promises.Violation]:
    """Check that only a kill or a pause loses the answer to an executed request.

    Streams are exempt: a stream whose servers all fail ends with a visible error.
    """
    violations = []
    for call in calls:
        if not call.error or call.kind == "stream" or not runs[call.request_id]:
            continue
        is_expected = any(
            item.kind in DISRUPTIVE_KINDS
            and item.target == call.router
            and item.began_s <= call.ended_s + DETECTION_TOLERANCE_S
            and item.ended_s >= call.started_s - DETECTION_TOLERANCE_S
            for item in injected
        )
        if not is_expected:
            violations.append(
                promises.Violation("a planned stop cuts nothing off", f"{call}")
            )
    return violations


def find_stale_reads(observations: callers.Observations) -> list[promises.Violation]:
    """Check that no read returns a version older than one acknowledged before."""
    violations = []
    for reading in observations.read_back:
        before = [
            version
            for version, at_s in observations.accepted
            if at_s <= reading.asked_s
        ]
        if before and reading.version < max(before):
            detail = f"{max(before)} was acknowledged: {reading}"
            violations.append(promises.Violation("what is read is the newest", detail))
    return violations


def find_reverted(readings: list[callers.VersionReading]) -> list[promises.Violation]:
    """Check that the version in force never decreases within a router process."""
    violations = []
    newest: dict[tuple[str, int], int] = {}
    for reading in readings:
        process_key = (reading.host, reading.process_id)
        if reading.version < newest.get(process_key, 0):
            detail = f"{newest[process_key]} was in force: {reading}"
            violations.append(promises.Violation("a table never goes back", detail))
        newest[process_key] = max(newest.get(process_key, 0), reading.version)
    return violations


def find_late(
    observations: callers.Observations, injected: list[faults.InjectedFault]
) -> list[promises.Violation]:
    """Check that acknowledged tables are in force, whether replicas are lost or not.

    Not checked: routers without a table, which refuse requests as not run, and readings
    shortly after a fault of the router, or of any process's connections or speed.
    """
    violations = []
    for reading in observations.in_force:
        due = [
            version
            for version, at_s in observations.accepted
            if at_s <= reading.asked_s - IN_FORCE_S
        ]
        is_late = due and 0 < reading.version < max(due)
        if is_late and not _is_excused(reading, injected):
            detail = f"{max(due)} was acknowledged: {reading}"
            promise = "an acknowledged table is in force"
            violations.append(promises.Violation(promise, detail))
    return violations


def _is_excused(
    reading: callers.VersionReading, injected: list[faults.InjectedFault]
) -> bool:
    """Return whether a fault may have delayed a router's table."""
    return any(
        (fault.target == reading.host or fault.kind in DELAYING_KINDS)
        and fault.began_s <= reading.asked_s <= fault.ended_s + CONTACT_S
        for fault in injected
    )


def find_unrecovered(
    versions: dict[str, int], expected_version: int, calls: list[callers.Call]
) -> list[promises.Violation]:
    """Check that the cluster has recovered after the end of all faults.

    Parameters
    ----------
    versions : dict
        Version in force at each router at the end.
    expected_version : int
        Highest acknowledged version.
    calls : list of Call
        The last call of each kind at each router.
    """
    late = [
        promises.Violation(
            "an accepted table is in force everywhere", f"{host} has {version}"
        )
        for host, version in versions.items()
        if version < expected_version
    ]
    return late + [
        promises.Violation("all is served again", f"{call}")
        for call in calls
        if not call.is_correct
    ]
