"""Load estimate of a backend server from three sources of different age.

The router's own calls are known exactly.  Calls of other routers come from the
server's load report or from the other routers' digests, whichever is newer.
Reports are delayed, so the router subtracts the calls that it had in flight
when the report was measured.  The reported load decays with the report's age.
"""

from hickoryweir.policy import events, state

# Reported load counts fully up to this age, then decays linearly to zero.
DECAY_AFTER_S = 5.0
DECAY_DURATION_S = 10.0


def own_in_flight_at(server: state.Server, time_s: float) -> int:
    """Return how many own calls were in flight at an earlier time."""
    count = 0
    for sent_s, in_flight in reversed(server.in_flight_history):
        count = in_flight
        if sent_s <= time_s:
            return count
    return count


def record_in_flight(server: state.Server, now_s: float) -> None:
    """Record the number of own calls in flight from now on."""
    server.in_flight_history.append((now_s, len(server.calls)))


def apply_report(
    core: state.Core, server: state.Server, report: events.LoadReported
) -> None:
    """Apply a load report unless a newer one is known."""
    known = server.report
    if known is not None and known.measured_at_s >= report.measured_at_s:
        return
    server.report = report
    own_in_flight = 0
    if core.settings.mechanisms.corrected_load:
        own_in_flight = own_in_flight_at(server, report.measured_at_s)
    server.others_in_flight = max(
        0.0, float(report.running + report.waiting - own_in_flight)
    )
    server.others_measured_at_s = report.measured_at_s


def occupancy(server: state.Server, now_s: float) -> float:
    """Return the estimated number of calls of all routers at a backend server."""
    own_in_flight = len(server.calls)
    if server.peers_updated_at_s >= server.others_measured_at_s:
        return own_in_flight + server.peers_running
    age_s = now_s - server.others_measured_at_s
    if age_s <= DECAY_AFTER_S:
        return own_in_flight + server.others_in_flight
    decay = max(0.0, 1.0 - (age_s - DECAY_AFTER_S) / DECAY_DURATION_S)
    return own_in_flight + server.others_in_flight * decay


def top_occupancy(server: state.Server) -> int:
    """Return the number of calls that run with the top tier's priority."""
    return server.top_calls + server.peers_top
