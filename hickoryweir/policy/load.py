"""How loaded a backend server is, from three sources of different age.

The router's own calls are exact.  Calls of other routers come from the
server's load report (late, and corrected by what this router had in flight
when the report was measured) or from the other routers' digests; the newer
source counts, and reports fade with age.
"""

from hickoryweir.policy import events, state

FADE_AFTER_S = 5.0
FADE_OVER_S = 10.0


def own_in_flight_at(server: state.Server, time_s: float) -> int:
    """Return how many own calls were in flight at an earlier time."""
    count = 0
    for sent_s, value in reversed(server.sent):
        count = value
        if sent_s <= time_s:
            return count
    return count


def note_in_flight(server: state.Server, now_s: float) -> None:
    """Remember the number of own calls in flight from now on."""
    server.sent.append((now_s, len(server.calls)))


def apply_report(
    core: state.Core, server: state.Server, report: events.LoadReported
) -> None:
    """Take a load report unless a newer one is known."""
    known = server.report
    if known is not None and known.measured_at_s >= report.measured_at_s:
        return
    server.report = report
    own = 0
    if core.settings.mechanisms.corrected_load:
        own = own_in_flight_at(server, report.measured_at_s)
    server.others = max(0.0, float(report.running + report.waiting - own))
    server.others_at_s = report.measured_at_s


def occupancy(server: state.Server, now_s: float) -> float:
    """Return the estimated number of calls at a backend server, all routers'."""
    own = len(server.calls)
    if server.peers_at_s >= server.others_at_s:
        return own + server.peers_running
    age_s = now_s - server.others_at_s
    if age_s <= FADE_AFTER_S:
        return own + server.others
    fade = max(0.0, 1.0 - (age_s - FADE_AFTER_S) / FADE_OVER_S)
    return own + server.others * fade


def top_occupancy(server: state.Server) -> int:
    """Return the number of calls that run with the top tier's priority."""
    return server.top_calls + server.peers_top
