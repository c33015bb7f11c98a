"""Which entries of the list of servers a router uses.

Several writers share the list.  An entry of a service that no table names is of another
writer: it gets no requests, and no probes either, since whether it can be reached says
nothing of the servers that are used.  Of several entries with one id a single one is in
force, since servers are told apart by their ids.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from hickoryweir.discovery import listing

# Longer than requests last that were admitted while an earlier table named the service.
SERVICE_RETENTION_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class NamedServices:
    """Services that the table in force names, and those that earlier ones have named.

    Attributes
    ----------
    current : frozenset of str or None
        Names in the table in force; None before the first table.
    earlier_s : dict
        When services of earlier tables were last named.
    """

    current: frozenset[str] | None = None
    earlier_s: Mapping[str, float] = dataclasses.field(default_factory=dict)


NO_TABLE = NamedServices()


def record_table(
    services: NamedServices, names: Iterable[str], now_s: float
) -> NamedServices:
    """Return the services after a table with these names has come into force.

    Examples
    --------
    >>> services = record_table(record_table(NO_TABLE, ["a"], 0.0), ["b"], 1.0)
    >>> [is_named(services, name) for name in "abc"]
    [True, True, False]
    >>> services = record_table(services, ["b"], 1.0 + 2 * SERVICE_RETENTION_S)
    >>> [is_named(services, name) for name in "abc"]
    [False, True, False]
    """
    current = frozenset(names)
    earlier_s = {
        name: last_s
        for name, last_s in services.earlier_s.items()
        if now_s - last_s < SERVICE_RETENTION_S
    }
    earlier_s |= dict.fromkeys((services.current or frozenset()) - current, now_s)
    return NamedServices(current, earlier_s)


def is_named(services: NamedServices, name: str) -> bool:
    """Return whether a service may have requests; any may before the first table."""
    if services.current is None:
        return True
    return name in services.current or name in services.earlier_s


def select(
    servers: Iterable[listing.BackendServer],
    services: NamedServices,
    known: Mapping[str, listing.BackendServer],
) -> tuple[listing.BackendServer, ...]:
    """Return the entries in force, one for each id.

    Parameters
    ----------
    servers : iterable of BackendServer
        All entries, in the order of the list.
    services : NamedServices
        Services that tables name.
    known : mapping of str to BackendServer
        Entries that were in force until now, by id.

    Returns
    -------
    tuple of BackendServer
        Usable entries of named services.  Of those with one id, one whose service is
        in the table in force comes first, then the one that started last, then the one
        that continues the known entry, then the last in the list.

    Examples
    --------
    >>> ready = listing.ServerState.READY
    >>> engine = listing.BackendServer("i", "app", "10.0.0.1:80", "", ready, 8, 0.0)
    >>> other = dataclasses.replace(engine, service_name="x", address="10.0.0.1:9")
    >>> services = record_table(NO_TABLE, ["app"], 0.0)
    >>> select([engine, other], services, {}) == (engine,)
    True
    """
    chosen: dict[str, tuple[tuple[bool, int, bool], listing.BackendServer]] = {}
    for server in servers:
        earlier = known.get(server.server_id)
        if not is_named(services, server.service_name) or (
            server != earlier and listing.find_problem(server)
        ):
            continue
        rank = _rank(server, services, earlier)
        best = chosen.get(server.server_id)
        if best is None or rank >= best[0]:
            chosen[server.server_id] = rank, server
    return tuple(server for _, server in chosen.values())


def _rank(
    server: listing.BackendServer,
    services: NamedServices,
    known: listing.BackendServer | None,
) -> tuple[bool, int, bool]:
    is_current = services.current is not None and (
        server.service_name in services.current
    )
    continues = known is not None and (known.service_name, known.address) == (
        server.service_name,
        server.address,
    )
    return is_current, server.started_at_ms, continues
