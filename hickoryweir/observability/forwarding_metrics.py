"""Metrics of a forwarding router, or of a replica of its routing table."""

import dataclasses
import functools

import prometheus_client

from hickoryweir.observability import latencies, metrics


@dataclasses.dataclass(slots=True)
class ForwardingMetrics:
    """The metrics of one process.

    Attributes
    ----------
    answers : prometheus_client.Counter
        Final answers by route and reason; ``passed_on`` for a server's own answer.
    attempts : prometheus_client.Counter
        Attempts at backend servers by service and outcome.
    second_sends : prometheus_client.Counter
        Further attempts by service, and whether the budget allowed them.
    notices : prometheus_client.Counter
        Notices of servers by service and kind: ``leaving``, ``pause``, ``return``,
        ``limit``, ``limit_end``, ``ignored``.
    response_ends : prometheus_client.Counter
        Responses of servers by service and end: ``whole``, or how they fell short.
    given_up_connections : prometheus_client.Counter
        Connections closed because of bytes that their servers sent, by reason.
    given_up_responses : prometheus_client.Counter
        Responses of servers that were given up beyond a bound, by service and bound.
    resumptions : prometheus_client.Counter
        Resumptions by clients, by service and outcome: ``resumed``, ``refused``.
    grants : prometheus_client.Counter
        Grants for servers that name a limit, by service: ``received``, ``used``.
    crash_evidence : prometheus_client.Counter
        Evidence on parts of prompts that crash servers, by service and kind: ``loss``
        and ``progress`` of own requests, ``reported`` by others, ``blocked`` and
        ``released`` parts.
    checked_losses : prometheus_client.Counter
        Lost requests by service and what became of their servers: ``survived`` a
        request that does not count, ``crashed``, or ``counted`` although it survived.
    blocked_parts : prometheus_client.Gauge
        Parts of prompts that are refused.
    relayed : prometheus_client.Counter
        Requests through another router, by direction, ``sent`` or ``received``, and
        outcome.
    rejection_limits : prometheus_client.Counter
        Servers that bear few rejections, by service and kind: ``begun``, ``ended``,
        ``rejected`` requests.
    isolations : prometheus_client.Counter
        Changes of whether any server can be reached: ``begun``, ``ended``.
    account_work : prometheus_client.Counter
        Work of prompts in tokens, by client account and verdict: ``admitted``,
        ``refused``.
    account_shares : prometheus_client.Gauge
        Work a second that accounts are due while capacity is short, by service.
    servers : prometheus_client.Gauge
        Servers of the list by service and state: ``ready``, ``draining``, ``leaving``,
        ``paused``, ``returning``, ``limited``.
    server_orders : prometheus_client.Counter
        Orders of servers by service, zone, kind (``ordinary``, ``spot``) and outcome.
    ordered_servers : prometheus_client.Gauge
        Servers that the holder has ordered, by service, zone and kind.
    table_version : prometheus_client.Gauge
        Table version in force on a router, or stored on a replica.
    list_age_s : prometheus_client.Gauge
        Age of the list of servers.
    skipped_entries : prometheus_client.Counter
        Unusable entries that reads of the list of servers have skipped.
    limit_use : prometheus_client.Gauge
        Used share of the VM's limits, by resource.
    open_requests : prometheus_client.Gauge
        Requests without a final answer.
    server_slowness : prometheus_client.Gauge
        Expected slowness of the slowest servers that announce it, by server.
    prefill_rate : prometheus_client.Gauge
        Prefill rate in force, by service whose servers announce their slowness.
    held_size_bytes, resident_size_bytes : prometheus_client.Gauge
        What is held for requests, and the memory of the process.
    longest_turn_s : prometheus_client.Gauge
        Longest time by which the event loop ran late, over the last seconds.
    """

    registry: prometheus_client.CollectorRegistry
    answers: prometheus_client.Counter
    attempts: prometheus_client.Counter
    second_sends: prometheus_client.Counter
    notices: prometheus_client.Counter
    response_ends: prometheus_client.Counter
    given_up_connections: prometheus_client.Counter
    given_up_responses: prometheus_client.Counter
    resumptions: prometheus_client.Counter
    grants: prometheus_client.Counter
    crash_evidence: prometheus_client.Counter
    checked_losses: prometheus_client.Counter
    blocked_parts: prometheus_client.Gauge
    relayed: prometheus_client.Counter
    rejection_limits: prometheus_client.Counter
    isolations: prometheus_client.Counter
    account_work: prometheus_client.Counter
    account_shares: prometheus_client.Gauge
    servers: prometheus_client.Gauge
    server_orders: prometheus_client.Counter
    ordered_servers: prometheus_client.Gauge
    table_version: prometheus_client.Gauge
    list_age_s: prometheus_client.Gauge
    skipped_entries: prometheus_client.Counter
    limit_use: prometheus_client.Gauge
    open_requests: prometheus_client.Gauge
    server_slowness: prometheus_client.Gauge
    prefill_rate: prometheus_client.Gauge
    held_size_bytes: prometheus_client.Gauge
    resident_size_bytes: prometheus_client.Gauge
    longest_turn_s: prometheus_client.Gauge
    latencies: latencies.Latencies


def make_metrics() -> ForwardingMetrics:
    """Return the metrics of one process, all at zero."""
    registry = prometheus_client.CollectorRegistry()
    counter = functools.partial(metrics.make_counter, registry)
    gauge = functools.partial(metrics.make_gauge, registry)
    store = latencies.make_latencies()
    registry.register(metrics.LatencyCollector(store))
    registry.register(metrics.SilentConnectionCollector())
    return ForwardingMetrics(
        registry=registry,
        answers=counter("answers", "Final answers.", "route", "reason"),
        attempts=counter("attempts", "Attempts at servers.", "service", "outcome"),
        second_sends=counter("second_sends", "Repeats.", "service", "allowed"),
        notices=counter("server_notices", "Notices of servers.", "service", "kind"),
        response_ends=counter("response_ends", "Responses.", "service", "end"),
        given_up_connections=metrics.make_given_up_counter(registry),
        given_up_responses=counter(
            "given_up_responses", "Responses beyond a bound.", "service", "bound"
        ),
        resumptions=counter(
            "resumptions", "Resumptions by clients.", "service", "outcome"
        ),
        grants=counter("grants", "Grants for limited servers.", "service", "kind"),
        crash_evidence=counter(
            "crash_evidence", "Evidence on prompt parts.", "service", "kind"
        ),
        checked_losses=counter(
            "checked_losses", "Lost requests.", "service", "outcome"
        ),
        blocked_parts=gauge("blocked_parts", "Prompt parts that are refused."),
        relayed=counter("relayed", "Relayed requests.", "direction", "outcome"),
        rejection_limits=counter(
            "rejection_limits", "Servers that bear few rejections.", "service", "kind"
        ),
        isolations=counter("isolations", "Loss of all servers.", "change"),
        account_work=counter(
            "account_work", "Work of prompts, in tokens.", "account", "verdict"
        ),
        account_shares=gauge(
            "account_shares", "Fair shares, tokens a second.", "service", "account"
        ),
        servers=gauge("servers", "Servers in the list.", "service", "state"),
        server_orders=counter(
            "server_orders", "Orders of servers.", "service", "zone", "kind", "outcome"
        ),
        ordered_servers=gauge(
            "ordered_servers", "Servers ordered.", "service", "zone", "kind"
        ),
        table_version=gauge("table_version", "Version of the routing table."),
        list_age_s=gauge("list_age_seconds", "Age of the list of servers."),
        skipped_entries=counter("skipped_entries", "Unusable entries of the list."),
        limit_use=gauge("limit_use", "Used share of the VM's limits.", "resource"),
        open_requests=gauge("open_requests", "Requests without a final answer."),
        server_slowness=gauge("server_slowness", "Slowness of servers.", "server"),
        prefill_rate=gauge("prefill_tokens_per_second", "Prefill rate.", "service"),
        held_size_bytes=gauge("held_bytes", "Bytes held for requests."),
        resident_size_bytes=gauge("resident_bytes", "Memory of the process."),
        longest_turn_s=gauge("longest_turn_seconds", "Delay of the event loop."),
        latencies=store,
    )


def expose(process_metrics: ForwardingMetrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(process_metrics.registry)
