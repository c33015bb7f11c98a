"""The interface of the daemon to the operators' HTTP server."""

from hickoryweir.configuration import commands, stops
from hickoryweir.daemon import components, replicated_log, status
from hickoryweir.operators import documents, service


def make_daemon_interface(process: components.Process) -> service.DaemonInterface:
    """Return the interface that the operators' HTTP server needs."""
    process_settings = process.settings
    voters = tuple(
        commands.Voter(address.name, address.availability_zone)
        for address in replicated_log.replica_addresses(process_settings)
    )
    zones = {peer.availability_zone for peer in process_settings.other_processes}
    zones.add(process_settings.process.availability_zone)

    def count_refusal(reason: documents.Reason) -> None:
        process.metrics.operator_refusals.labels(reason).inc()

    return service.DaemonInterface(
        operators=process_settings.operator_keys,
        voters=voters,
        zones=tuple(sorted(zones)),
        propose=process.log.propose,
        read=process.log.read,
        watch=process.router.watch,
        zone_reports=process.router.zone_reports,
        running_stops=lambda: running_stops(process),
        status=lambda: status.make_document(status.make_source(process)),
        count_refusal=count_refusal,
    )


def running_stops(process: components.Process) -> tuple[stops.Stop, ...]:
    """Return the planned stops in force at this router."""
    in_force = process.router.in_force
    return in_force.running_stops if in_force else ()
