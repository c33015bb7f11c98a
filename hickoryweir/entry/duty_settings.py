"""Limits of the duties, from the settings of a replica."""

from hickoryweir.duties import replica_duties, usage_plan
from hickoryweir.entry import settings
from hickoryweir.observability import logs

MS_PER_S = 1000.0


def make_limits(entry_settings: settings.EntrySettings) -> replica_duties.Limits | None:
    """Return the limits of the duties that the settings name.

    Returns
    -------
    Limits or None
        None without duties, or if the infrastructure has no address.
    """
    duties = entry_settings.duties
    if not duties.names:
        return None
    if not entry_settings.discovery.address:
        names = ", ".join(name.value for name in duties.names)
        fields = logs.Fields(reason="no address in section discovery", detail=names)
        logs.error("duties are off", fields)
        return None
    usage = None
    if settings.Duty.USAGE_REPORTING in duties.names:
        usage = usage_plan.Settings(duties.usage_window_s, duties.usage_due_s)
    return replica_duties.Limits(
        calls_per_s=duties.calls_per_s,
        checks_fencing=duties.checks_fencing,
        lease_s=duties.lease_ms / MS_PER_S,
        usage=usage,
    )
